//! The heartbeat datagram.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotroute_types::member::Member;

/// Length of the longest datagram in bytes. It fits an Ethernet frame with room for tunnel headers.
pub const MAX_BYTES: usize = 1_200;

/// The greatest number of member updates in a datagram.
pub const MAX_UPDATES: usize = 8;

/// The resolution of [`Age`].
const AGE_UNIT: Duration = Duration::from_millis(50);

/// The content of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender, as it describes itself.
    pub sender: Member,
    /// Rises with each datagram that the sender's process sends.
    pub sequence: u64,
    /// Milliseconds since the sender last heard from a majority; `u32::MAX` if it never did.
    pub confirmation_age_ms: u32,
    /// The number of requests in progress at the sender.
    pub load: u32,
    /// Other members as the sender knows them, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
    /// A hash of the set of members that the sender does not regard as dead; 0 if the datagram has no
    /// `ages`.
    pub participant_hash: u32,
    /// The salt of the members' keys in `ages`.
    pub key_salt: u16,
    /// The start of the range of keys that `ages` covers. Keys wrap around after `u16::MAX`.
    pub range_start: u16,
    /// Whether `ages` covers all keys, not only those up to its last key.
    pub is_full_range: bool,
    /// How long ago the sender last knew the members in a range of keys to be alive. Members that the
    /// sender suspects or does not know are omitted.
    pub ages: Vec<KeyedAge>,
}

/// The state of a member as the sender knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub member: Member,
    /// How long ago the sender last knew the member to be alive.
    pub age: Age,
}

/// How long ago the sender last knew one member to be alive, with the member's short key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedAge {
    /// The distance of the member's key from the previous key, or from the start of the range.
    pub gap: u16,
    /// The time since the sender last knew the member to be alive.
    pub age: Age,
}

/// A duration in units of 50 ms, rounded up; 255 stands for any longer or unknown one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(pub u8);

impl Age {
    /// An age that is too long to be expressed, or unknown.
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Converts a duration, rounded up to the next unit.
    pub fn new(duration: Duration) -> Self {
        let units = duration.as_millis().div_ceil(AGE_UNIT.as_millis());
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }

    /// Returns the duration, or `None` for [`Age::UNKNOWN`].
    pub fn duration(self) -> Option<Duration> {
        (self != Self::UNKNOWN).then(|| AGE_UNIT * u32::from(self.0))
    }
}
