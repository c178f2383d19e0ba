//! Encoding of datagrams: protocol version, tag of the key, [`Frame`] in `postcard` format, and a keyed
//! checksum over all of these.

use blake3::Hash;
use derive_more::Display;

use crate::datagram::{Frame, MAX_BYTES, MAX_UPDATES};

/// The protocol version, the first byte of each datagram.
pub const VERSION: u8 = 1;

/// Length of the tag derived from the key, which tells datagrams of another fleet apart.
const TAG_BYTES: usize = 4;

/// Length of the checksum, the first bytes of a keyed BLAKE3 hash.
const CHECKSUM_BYTES: usize = 16;

/// Length of the shortest datagram that can hold a frame.
const MIN_BYTES: usize = 1 + TAG_BYTES + CHECKSUM_BYTES + 1;

/// The result of encoding or decoding.
pub type Result<T> = std::result::Result<T, Rejection>;

/// The reason for which a datagram is not sent or is dropped after it was received.
///
/// A plain value rather than an `error_stack` report, so that hostile datagrams cost no allocations.
/// Displayed as the reason in metrics and in the dump.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rejection {
    /// Too short to hold a frame.
    #[display("truncated")]
    Truncated,
    /// Longer than [`MAX_BYTES`].
    #[display("oversized")]
    Oversized,
    /// Of another protocol version.
    #[display("version")]
    Version,
    /// Encoded with the key of another fleet.
    #[display("foreign")]
    Foreign,
    /// Damaged, or encoded without knowledge of the key.
    #[display("checksum")]
    Checksum,
    /// Authentic, but not a valid frame.
    #[display("malformed")]
    Malformed,
    /// Received before, or received after a later datagram of the same sender.
    #[display("replayed")]
    Replayed,
    /// Names the receiving node as its sender.
    #[display("own")]
    Own,
    /// Waited in the socket while the process was paused, so that its ages are wrong.
    #[display("late")]
    Late,
}

impl Rejection {
    /// All reasons, in the order of the variants.
    pub const ALL: [Self; 9] = [
        Self::Truncated,
        Self::Oversized,
        Self::Version,
        Self::Foreign,
        Self::Checksum,
        Self::Malformed,
        Self::Replayed,
        Self::Own,
        Self::Late,
    ];
}

/// Encodes and decodes datagrams with the key of the fleet. `Debug` does not show the key.
#[derive(Clone)]
pub struct Codec {
    key: [u8; 32],
    tag: [u8; TAG_BYTES],
}

impl std::fmt::Debug for Codec {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Codec").finish_non_exhaustive()
    }
}

impl Codec {
    /// Creates a codec for the fleet's key.
    pub fn new(key: [u8; 32]) -> Self {
        let derived = blake3::derive_key("shallotroute heartbeat tag v1", &key);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&derived[..TAG_BYTES]);
        Self { key, tag }
    }

    /// Encodes a frame.
    ///
    /// # Errors
    ///
    /// [`Rejection::Oversized`] when the frame does not fit a datagram, [`Rejection::Malformed`] when it
    /// cannot be serialized.
    pub fn encode(&self, frame: &Frame) -> Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(MAX_BYTES);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.tag);
        let mut bytes = postcard::to_extend(frame, bytes).map_err(|_| Rejection::Malformed)?;
        let checksum = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(&checksum.as_bytes()[..CHECKSUM_BYTES]);
        if bytes.len() > MAX_BYTES {
            return Err(Rejection::Oversized);
        }
        Ok(bytes)
    }

    /// Decodes a datagram. Its content is parsed only if its checksum is correct.
    ///
    /// # Errors
    ///
    /// The reason for which the datagram must be dropped.
    pub fn decode(&self, bytes: &[u8]) -> Result<Frame> {
        if bytes.len() > MAX_BYTES {
            return Err(Rejection::Oversized);
        }
        if bytes.len() < MIN_BYTES {
            return Err(Rejection::Truncated);
        }
        if bytes[0] != VERSION {
            return Err(Rejection::Version);
        }
        if bytes[1..=TAG_BYTES] != self.tag {
            return Err(Rejection::Foreign);
        }
        let (payload, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        if !self.is_authentic(payload, checksum) {
            return Err(Rejection::Checksum);
        }
        let (frame, rest) = postcard::take_from_bytes::<Frame>(&payload[1 + TAG_BYTES..])
            .map_err(|_| Rejection::Malformed)?;
        if !rest.is_empty() || !is_valid(&frame) {
            return Err(Rejection::Malformed);
        }
        Ok(frame)
    }

    /// Compares the checksum in constant time, so that a sender cannot find it byte by byte.
    fn is_authentic(&self, payload: &[u8], checksum: &[u8]) -> bool {
        let hash = blake3::keyed_hash(&self.key, payload);
        let mut expected = [0; blake3::OUT_LEN];
        expected[..CHECKSUM_BYTES].copy_from_slice(&hash.as_bytes()[..CHECKSUM_BYTES]);
        let mut found = [0; blake3::OUT_LEN];
        found[..CHECKSUM_BYTES].copy_from_slice(checksum);
        Hash::from_bytes(expected) == Hash::from_bytes(found)
    }
}

fn is_valid(frame: &Frame) -> bool {
    frame.updates.len() <= MAX_UPDATES
        && std::iter::once(&frame.sender)
            .chain(frame.updates.iter().map(|update| &update.member))
            .all(|member| {
                member.id.is_valid() && member.region.is_valid() && member.zone.is_valid()
            })
}
