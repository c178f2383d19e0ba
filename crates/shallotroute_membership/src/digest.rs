//! Hashes of member names, and the short keys by which the ages in datagrams refer to members.
//!
//! A key has 16 bits, so in a large fleet several members share one. Each datagram has its own salt, so
//! that other members share a key in the next datagram. A receiver ignores keys that match several of
//! its members.

use shallotroute_types::node::Id;

/// Returns the first 64 bits of the BLAKE3 hash of a name, little-endian.
pub(crate) fn name_hash(id: &Id) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(id.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns the key of a member in a datagram with that salt.
pub(crate) fn short_key(name_hash: u64, salt: u16) -> u16 {
    (mix(name_hash ^ u64::from(salt)) >> 48) as u16
}

/// Returns a hash of a set of members, given by the hashes of their names in any order.
pub(crate) fn set_hash(name_hashes: impl Iterator<Item = u64>) -> u32 {
    let sum = name_hashes.fold(0, |sum: u64, name_hash| sum.wrapping_add(mix(name_hash)));
    (sum >> 32) as u32
}

/// Applies the finalizer of SplitMix64: G. Steele, D. Lea and C. Flood, "Fast splittable pseudorandom number
/// generators", OOPSLA 2014.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
