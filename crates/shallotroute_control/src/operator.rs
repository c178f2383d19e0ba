//! Authentication of operators by their keys.

use http::{HeaderMap, header};
use shallotroute_types::name::Name;
use subtle::ConstantTimeEq;

/// An operator who may use the administration API.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The operator's name, which records show.
    pub name: Name,
    /// BLAKE3 hash of the key, 64 lower-case hexadecimal digits.
    pub key_hash: String,
}

/// Returns the operator whose key the request carries as `Authorization: Bearer KEY`.
///
/// All hashes are compared, each in constant time, so the duration tells nothing about the keys.
pub(crate) fn identify(operators: &[Operator], headers: &HeaderMap) -> Option<Name> {
    let key = headers.get(header::AUTHORIZATION)?.as_bytes();
    let key = key.strip_prefix(b"Bearer ")?;
    let hash = blake3::hash(key).to_hex();
    let mut found = None;
    for operator in operators {
        let equal = hash
            .as_bytes()
            .ct_eq(operator.key_hash.as_bytes())
            .unwrap_u8();
        if equal == 1 {
            found = Some(operator.name.clone());
        }
    }
    found
}
