//! The bytes of a datagram: protocol version, tag of the key, `postcard` frame, keyed checksum.

use blake3::Hash;
use derive_more::Display;

use crate::datagram::{Frame, MAX_BYTES, MAX_NEWS};

/// The protocol version, the first byte of each datagram.
pub const VERSION: u8 = 1;

/// Bytes of the key's tag, by which datagrams of another fleet are recognised.
const TAG_BYTES: usize = 4;

/// Bytes of the keyed BLAKE3 hash that a datagram carries.
const CHECKSUM_BYTES: usize = 16;

/// The shortest datagram that can hold a frame.
const MIN_BYTES: usize = 1 + TAG_BYTES + CHECKSUM_BYTES + 1;

/// The result of decoding or encoding.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Why a datagram was not accepted.
///
/// Without a report, because hostile datagrams must not cost an allocation each.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rejection {
    /// Too short to hold a frame.
    #[display("truncated")]
    Truncated,
    /// Longer than the limit.
    #[display("oversized")]
    Oversized,
    /// Another protocol version.
    #[display("version")]
    Version,
    /// Made with the key of another fleet.
    #[display("foreign")]
    Foreign,
    /// Damaged, or made without the key.
    #[display("checksum")]
    Checksum,
    /// Authentic, but not a valid frame.
    #[display("malformed")]
    Malformed,
    /// Received before, or after a later one of the same sender.
    #[display("replayed")]
    Replayed,
    /// Claims to be from the receiving node.
    #[display("own")]
    Own,
    /// Waited in the socket while the process was paused.
    #[display("late")]
    Late,
}

impl Rejection {
    /// All reasons.
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

/// Encodes and decodes datagrams with the key of the fleet.
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
    /// Makes a codec for the fleet's key.
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
    /// `Oversized` when it does not fit a datagram, `Malformed` when it can't be serialized.
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

    /// Decodes a datagram after its checksum was found correct.
    ///
    /// # Errors
    ///
    /// The reason for which the datagram is dropped.
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
        let (signed, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        if !self.is_authentic(signed, checksum) {
            return Err(Rejection::Checksum);
        }
        let (frame, rest) = postcard::take_from_bytes::<Frame>(&signed[1 + TAG_BYTES..])
            .map_err(|_| Rejection::Malformed)?;
        if !rest.is_empty() || !is_valid(&frame) {
            return Err(Rejection::Malformed);
        }
        Ok(frame)
    }

    /// Compares in constant time, so that a sender can't find the checksum byte by byte.
    fn is_authentic(&self, signed: &[u8], checksum: &[u8]) -> bool {
        let hash = blake3::keyed_hash(&self.key, signed);
        let mut expected = [0; blake3::OUT_LEN];
        expected[..CHECKSUM_BYTES].copy_from_slice(&hash.as_bytes()[..CHECKSUM_BYTES]);
        let mut found = [0; blake3::OUT_LEN];
        found[..CHECKSUM_BYTES].copy_from_slice(checksum);
        Hash::from_bytes(expected) == Hash::from_bytes(found)
    }
}

fn is_valid(frame: &Frame) -> bool {
    frame.news.len() <= MAX_NEWS
        && std::iter::once(&frame.sender)
            .chain(frame.news.iter().map(|news| &news.member))
            .all(|member| {
                member.id.is_valid() && member.region.is_valid() && member.zone.is_valid()
            })
}
