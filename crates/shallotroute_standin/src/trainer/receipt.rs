//! The receipt with which a trainer acknowledges the groups of a step.

/// The groups of a step that have arrived: a bitmap in which bit 0 of byte 0 is group 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Receipt {
    bytes: Vec<u8>,
    missing: u32,
}

impl Receipt {
    pub(super) fn new(groups: u32) -> Self {
        Self {
            bytes: vec![0; groups.div_ceil(8) as usize],
            missing: groups,
        }
    }

    /// Adds a group and returns whether it was missing; false for a group beyond the bitmap.
    pub(super) fn add(&mut self, group: u32) -> bool {
        let mask = 1 << (group % 8);
        let Some(byte) = self.bytes.get_mut((group / 8) as usize) else {
            return false;
        };
        let is_missing = *byte & mask == 0;
        *byte |= mask;
        self.missing -= u32::from(is_missing);
        is_missing
    }

    /// Returns whether all groups have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.missing == 0
    }

    pub(super) fn to_hex(&self) -> String {
        data_encoding::HEXLOWER.encode(&self.bytes)
    }
}
