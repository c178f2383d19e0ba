//! Decodes the server-sent events of an engine's streamed response.

use bytes::{Buf, Bytes, BytesMut};

/// The maximum length of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into the `data` fields of its events.
///
/// Each `data:` line counts as one event, since engines send one line per event.
#[derive(Debug, Default)]
pub(super) struct Decoder {
    buffer: BytesMut,
    /// The length of the buffer's start that is known to contain no newline.
    searched: usize,
}

/// The error of an event that exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug)]
pub(super) struct EventTooLong;

impl Decoder {
    /// Appends received bytes. Must be called only after [`Decoder::next`] has returned `None`,
    /// since complete events count against the limit too.
    ///
    /// # Errors
    ///
    /// Returns an error if the buffered bytes exceed [`MAX_EVENT_BYTES`].
    pub(super) fn push(&mut self, bytes: &Bytes) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        match self.buffer.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(()),
        }
    }

    /// Returns the content of the next complete `data:` line, or `None` until more bytes arrive.
    /// Other fields and comments are skipped.
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
            if let Some(data) = data_content(line) {
                return Some(data);
            }
        }
    }
}

/// Returns the content of a `data:` line, or `None` for any other line.
fn data_content(mut line: Bytes) -> Option<Bytes> {
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
