//! The `postcard` codec of `tarpc` transports, which `tarpc` itself does not have.

use std::{io, marker::PhantomData, pin::Pin};

use bytes::{Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use tokio_serde::{Deserializer, Serializer};

/// Encodes `Out` and decodes `In`.
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
