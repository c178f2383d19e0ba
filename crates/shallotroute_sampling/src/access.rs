//! Which caller may act for which trainer.

use http::{HeaderMap, header};
use shallotroute_config::set::Set;
use shallotroute_types::name::Name;
use subtle::{Choice, ConstantTimeEq};

/// Why a request is not let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// No key, or a key of no caller.
    Unauthorized,
    /// The key's caller may not act for the trainer.
    Forbidden,
}

/// Checks that the request's key belongs to a caller that may act for `trainer`.
///
/// # Errors
///
/// There is no such caller.
pub(crate) fn check(headers: &HeaderMap, set: &Set, trainer: &str) -> Result<Name, Denied> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(Denied::Unauthorized)?;
    let hash = blake3::hash(key.as_bytes()).to_hex();
    let mut found = None;
    // All callers are compared, so that the time does not tell which one matched.
    for caller in set.callers.values() {
        let equal: Choice = caller.key_hash.as_bytes().ct_eq(hash.as_bytes());
        if bool::from(equal) {
            found = Some(caller);
        }
    }
    let caller = found.ok_or(Denied::Unauthorized)?;
    match caller.trainer.as_deref() == Some(trainer) {
        true => Ok(caller.name.clone()),
        false => Err(Denied::Forbidden),
    }
}
