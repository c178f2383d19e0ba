//! The groups of a step that the trainer has.

/// A bitmap with one bit a group; bit 0 of byte 0 is group 0.
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

    /// Adds a group and tells whether it was missing.
    pub(super) fn add(&mut self, group: u32) -> bool {
        let mask = 1 << (group % 8);
        let Some(byte) = self.bytes.get_mut((group / 8) as usize) else {
            return false;
        };
        let missing = *byte & mask == 0;
        *byte |= mask;
        self.missing -= u32::from(missing);
        missing
    }

    pub(super) fn is_whole(&self) -> bool {
        self.missing == 0
    }

    pub(super) fn to_hex(&self) -> String {
        data_encoding::HEXLOWER.encode(&self.bytes)
    }
}
