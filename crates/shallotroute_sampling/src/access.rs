//! Authenticates a caller by its key and checks that it may act for a trainer.

use http::{HeaderMap, header};
use shallotroute_config::set::Set;
use shallotroute_types::name::Name;
use subtle::{Choice, ConstantTimeEq};

/// Why access to a trainer is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The request has no key, or its key belongs to no caller.
    Unauthorized,
    /// The key belongs to a caller that may not act for the trainer.
    Forbidden,
}

/// Returns the name of the caller whose key stands in the `authorization` header, as `Bearer KEY`.
///
/// # Errors
///
/// The key is missing or unknown, or its caller may not act for `trainer`.
pub(crate) fn authorize(headers: &HeaderMap, set: &Set, trainer: &str) -> Result<Name, Denied> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(Denied::Unauthorized)?;
    let hash = blake3::hash(key.as_bytes()).to_hex();
    let mut matched = None;
    // Compares with all callers, so that the time taken does not reveal which one matched.
    for caller in set.callers.values() {
        let is_equal: Choice = caller.key_hash.as_bytes().ct_eq(hash.as_bytes());
        if bool::from(is_equal) {
            matched = Some(caller);
        }
    }
    let caller = matched.ok_or(Denied::Unauthorized)?;
    match caller.trainer.as_deref() == Some(trainer) {
        true => Ok(caller.name.clone()),
        false => Err(Denied::Forbidden),
    }
}
