//! Tests of the frame codec.

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use shallotroute_peer::codec::{FrameCodec, MAX_RETAINED_BYTES};
use tokio_util::codec::{Decoder, Encoder};

/// Guards against connections whose buffers stay as large as the longest frame that they carried.
#[gtest]
fn buffers_shrink_after_a_long_frame() -> Result<()> {
    let mut codec = FrameCodec::default();
    let mut buffer = BytesMut::new();
    let long = Bytes::from(vec![7; 1 << 20]);
    codec.encode(long.clone(), &mut buffer)?;
    codec.encode(Bytes::from_static(b"next"), &mut buffer)?;
    let decoded = codec.decode(&mut buffer)?;
    expect_true!(decoded.is_some_and(|it| it == long));
    expect_that!(buffer.capacity(), le(MAX_RETAINED_BYTES));
    let decoded = codec.decode(&mut buffer)?;
    expect_true!(decoded.is_some_and(|it| it == b"next"[..]));

    let mut sent = BytesMut::with_capacity(1 << 20);
    codec.encode(Bytes::from_static(b"short"), &mut sent)?;
    expect_that!(sent.capacity(), le(MAX_RETAINED_BYTES));
    Ok(())
}
