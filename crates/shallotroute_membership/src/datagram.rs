//! The heartbeat datagram.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotroute_types::member::Member;

/// The longest datagram in bytes; fits an Ethernet frame with room for tunnel headers.
pub const MAX_BYTES: usize = 1_200;

/// The most member states in a datagram.
pub const MAX_NEWS: usize = 8;

/// The unit of [`Age`].
const AGE_UNIT: Duration = Duration::from_millis(50);

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender and its state.
    pub sender: Member,
    /// Rises with each datagram of a process.
    pub sequence: u64,
    /// Milliseconds since the sender last heard from a majority; `u32::MAX` when it never did.
    pub confirmation_age_ms: u32,
    /// Requests in progress at the sender.
    pub load: u32,
    /// States of other members, at most [`MAX_NEWS`].
    pub news: Vec<News>,
    /// A hash of the set of members that the sender takes for alive; 0 without `ages`.
    pub members: u32,
    /// The salt of the keys in `ages`.
    pub salt: u16,
    /// The first key of the range that `ages` covers.
    pub start: u16,
    /// Whether `ages` covers all keys, not only those up to its last one.
    pub whole: bool,
    /// How long ago the sender had news of the members whose keys lie in a range; keys wrap around.
    /// Members that the sender suspects or does not know are left out.
    pub ages: Vec<Seen>,
}

/// What the sender knows of another member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The member.
    pub member: Member,
    /// How long ago it was known to be alive.
    pub age: Age,
}

/// How long ago there was news of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The key of the member's name, counted from the key before or from the start of the range.
    pub gap: u16,
    /// The age of the news.
    pub age: Age,
}

/// A duration in units of 50 ms, rounded up; 255 is anything longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(pub u8);

impl Age {
    /// Stands for any age too long to be expressed.
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Rounds a duration up.
    pub fn new(duration: Duration) -> Self {
        let units = duration.as_millis().div_ceil(AGE_UNIT.as_millis());
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }

    /// Returns the duration; none for [`Age::UNKNOWN`].
    pub fn duration(self) -> Option<Duration> {
        (self != Self::UNKNOWN).then(|| AGE_UNIT * u32::from(self.0))
    }
}
