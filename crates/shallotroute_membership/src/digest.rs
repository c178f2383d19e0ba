//! Short keys of members for the ages in datagrams.
//!
//! A key has 16 bits, so that several members of a large fleet share one. Each datagram has its own
//! salt, so that the members that share a key differ from datagram to datagram; a receiver ignores
//! keys that fit several of its members.

use shallotroute_types::node::Id;

/// Hashes a name.
pub(crate) fn hash(id: &Id) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(id.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns the key of a hashed name under a salt.
pub(crate) fn key(hash: u64, salt: u16) -> u16 {
    (mix(hash ^ u64::from(salt)) >> 48) as u16
}

/// Hashes a set of hashed names, in any order.
pub(crate) fn set(hashes: impl Iterator<Item = u64>) -> u32 {
    let sum = hashes.fold(0, |sum: u64, hash| sum.wrapping_add(mix(hash)));
    (sum >> 32) as u32
}

/// The finalizer of SplitMix64: G. Steele, D. Lea and C. Flood, "Fast splittable pseudorandom number
/// generators", OOPSLA 2014.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
