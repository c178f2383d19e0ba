//! The bitmap of the groups that a trainer has received.

use serde::{Deserialize, Serialize};

/// A set of groups of one step. Group `g` is bit `g % 8`, least significant first, of byte `g / 8`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt(Vec<u8>);

impl Receipt {
    /// Creates a receipt from its bytes. Groups beyond the last byte are absent.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// Returns the bitmap.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns whether `group` is in the receipt.
    pub fn contains(&self, group: u32) -> bool {
        self.0
            .get(group as usize / 8)
            .is_some_and(|byte| byte & (1 << (group % 8)) != 0)
    }

    /// Adds `group` and extends the bitmap if needed.
    pub fn insert(&mut self, group: u32) {
        let byte = group as usize / 8;
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        self.0[byte] |= 1 << (group % 8);
    }

    /// Returns the number of groups in the receipt.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Returns whether all groups of the receipt have an index below `groups`.
    pub fn is_within(&self, groups: u32) -> bool {
        let full_bytes = groups as usize / 8;
        self.0.iter().enumerate().all(|(index, &byte)| {
            index < full_bytes
                || (index == full_bytes && u32::from(byte) >> (groups % 8) == 0)
                || byte == 0
        })
    }
}
