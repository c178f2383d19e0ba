//! Server-sent events of an engine's streamed answer.

use bytes::{Buf, Bytes, BytesMut};

/// The longest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub(super) struct Decoder {
    buffer: BytesMut,
    searched: usize,
}

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug)]
pub(super) struct Overlong;

impl Decoder {
    /// Adds received bytes, after all whole events before them have been taken.
    ///
    /// # Errors
    ///
    /// The event in progress is too long.
    pub(super) fn push(&mut self, bytes: &Bytes) -> Result<(), Overlong> {
        self.buffer.extend_from_slice(bytes);
        match self.buffer.len() > MAX_EVENT_BYTES {
            true => Err(Overlong),
            false => Ok(()),
        }
    }

    /// Returns the data of the next whole `data:` line; other fields and comments are skipped.
    pub(super) fn next(&mut self) -> Option<Bytes> {
        loop {
            let newline = self.buffer[self.searched..]
                .iter()
                .position(|&byte| byte == b'\n');
            let Some(end) = newline.map(|offset| offset + self.searched) else {
                self.searched = self.buffer.len();
                return None;
            };
            let mut line = self.buffer.split_to(end + 1).freeze();
            self.searched = 0;
            line.truncate(end);
            if let Some(data) = data_of(line) {
                return Some(data);
            }
        }
    }
}

fn data_of(mut line: Bytes) -> Option<Bytes> {
    const FIELD: &[u8] = b"data:";
    if line.last() == Some(&b'\r') {
        line.truncate(line.len() - 1);
    }
    if !line.starts_with(FIELD) {
        return None;
    }
    line.advance(FIELD.len());
    if line.first() == Some(&b' ') {
        line.advance(1);
    }
    Some(line)
}
