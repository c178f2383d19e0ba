//! Compact ages of news: members are grouped into buckets by the hash of their names, so that both
//! sides agree on the order within a bucket and an age takes one byte.

use shallotroute_types::{
    member::State,
    node::{Id, Incarnation},
};

/// Members per bucket; a change of membership makes the ages of one bucket unusable for a moment.
const MEMBERS_PER_BUCKET: usize = 16;

/// The most buckets as a power of two; a bucket's index is one byte.
pub(crate) const MAX_BITS: u8 = 8;

/// The buckets of one view.
#[derive(Debug, Default)]
pub(crate) struct Groups {
    pub(crate) bits: u8,
    pub(crate) buckets: Vec<Group>,
}

/// The members of a bucket in the order of their names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) ids: Vec<Id>,
    check: u64,
}

impl Groups {
    /// Returns the number of bits for a number of members.
    pub(crate) fn bits_for(members: usize) -> u8 {
        let buckets = members.div_ceil(MEMBERS_PER_BUCKET).max(1);
        (buckets.next_power_of_two().trailing_zeros() as u8).min(MAX_BITS)
    }

    /// Groups members that arrive in the order of their names, with the hash of each name.
    pub(crate) fn new<'a>(
        bits: u8,
        members: impl Iterator<Item = (&'a Id, u64, Incarnation, State)>,
    ) -> Self {
        let mut buckets = vec![Group::default(); 1 << bits];
        for (id, hash, incarnation, state) in members {
            let index = hash.checked_shr(64 - u32::from(bits)).unwrap_or(0);
            let group = &mut buckets[index as usize];
            group.ids.push(id.clone());
            let leaving = u64::from(state == State::Leaving);
            group.check = mix(mix(group.check ^ hash) ^ (incarnation.0 << 1 | leaving));
        }
        Self { bits, buckets }
    }
}

impl Group {
    /// Returns the hash of the members.
    pub(crate) fn check(&self) -> [u8; 4] {
        let [first, second, third, fourth, ..] = self.check.to_le_bytes();
        [first, second, third, fourth]
    }
}

/// Hashes a name.
pub(crate) fn hash(id: &Id) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(id.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// The finalizer of SplitMix64: G. Steele, D. Lea and C. Flood, "Fast splittable pseudorandom number
/// generators", OOPSLA 2014.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
