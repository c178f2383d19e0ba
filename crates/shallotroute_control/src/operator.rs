//! Authentication of operators by their keys.

use http::{HeaderMap, header};
use shallotroute_types::name::Name;
use subtle::ConstantTimeEq;

/// An operator who may use the administration API.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The operator's name, stored as the author in the records of published revisions.
    pub name: Name,
    /// The BLAKE3 hash of the key as 64 lower-case hexadecimal digits.
    pub key_hash: String,
}

/// Returns the name of the operator whose key the request carries as `Authorization: Bearer KEY`;
/// `None` if the header is missing or no operator has that key.
///
/// Compares all hashes, each in constant time, so that the duration reveals nothing about the keys.
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
