//! Frames of connections between nodes, and the `postcard` codec of their content, which `tarpc`
//! lacks.

use std::{io, marker::PhantomData, pin::Pin, sync::Arc};

use bytes::{Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use shallotroute_http::{
    budget::Phase,
    memory::{Connection, Hold},
};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The maximum length of a frame, in bytes. The specification of a trainer's step is the largest
/// message.
pub const MAX_FRAME_BYTES: usize = 32 << 20;

/// The capacity above which a connection's buffer is released after a frame, in bytes.
///
/// A batch job's specification takes half a megabyte, and a node has connections to all others, so
/// that retained buffers would add up.
pub const MAX_RETAINED_BYTES: usize = 64 << 10;

/// A codec of length-prefixed frames of at most [`MAX_FRAME_BYTES`] that releases large buffers.
///
/// On an accepted connection, the bytes of a frame that has not arrived completely count against the memory budget.
#[derive(Debug)]
pub struct FrameCodec {
    codec: LengthDelimitedCodec,
    /// The bytes in the budget, and their number.
    held: Option<(Hold, usize)>,
    /// The accepted connection; `None` on an outgoing one.
    connection: Option<Arc<Connection>>,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        let connection = Connection::current();
        Self {
            codec,
            held: connection.as_ref().map(|it| (it.hold(Phase::Arriving), 0)),
            connection,
        }
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let arrived = buffer.len();
        let frame = self.codec.decode(buffer)?;
        if let (Some(connection), Some(_)) = (&self.connection, &frame) {
            connection.record_use();
        }
        if let Some((hold, held)) = &mut self.held {
            // A complete frame is decoded and dropped at once, or answered.
            let now_held = if frame.is_some() { 0 } else { arrived };
            if now_held > MAX_RETAINED_BYTES || *held > 0 {
                hold.resize(*held, now_held)
                    .map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))?;
                *held = now_held;
            }
        }
        if frame
            .as_ref()
            .is_some_and(|it| it.len() > MAX_RETAINED_BYTES)
        {
            // The remaining bytes share the frame's allocation; a copy lets it be freed with the
            // frame.
            *buffer = BytesMut::from(&buffer[..]);
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        if buffer.is_empty() && buffer.capacity() > MAX_RETAINED_BYTES {
            *buffer = BytesMut::new();
        }
        self.codec.encode(frame, buffer)
    }
}

/// A `postcard` codec that encodes `Out` and decodes `In`.
#[derive(Debug)]
pub struct Postcard<In, Out>(PhantomData<fn(In) -> Out>);

impl<In, Out> Default for Postcard<In, Out> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<In: DeserializeOwned, Out> Deserializer<In> for Postcard<In, Out> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, bytes: &BytesMut) -> io::Result<In> {
        postcard::from_bytes(bytes)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

impl<In, Out: Serialize> Serializer<Out> for Postcard<In, Out> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Out) -> io::Result<Bytes> {
        postcard::to_stdvec(item)
            .map(Bytes::from)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))
    }
}
