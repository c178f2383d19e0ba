//! Creates and reads the bodies of requests and responses.

use bytes::Bytes;
use futures::Stream;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body as HttpBody, Frame};
use serde::Serialize;

/// The error of reading or producing a body.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// A body from any source: bytes in memory or a stream.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Creates a body that is sent whole, with a known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Creates a body that sends each chunk as it arrives. An error in the stream aborts the body.
pub fn stream(chunks: impl Stream<Item = Result<Bytes, Error>> + Send + 'static) -> Body {
    use futures::StreamExt;
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Reads a whole body.
///
/// # Errors
///
/// Returns an error if the body exceeds `limit` bytes or ends before it is complete.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Error>,
{
    Ok(Limited::new(body, limit).collect().await?.to_bytes())
}

/// Reads a whole body without keeping it.
///
/// # Errors
///
/// Fails as [`read`] does.
pub async fn discard<B>(body: B, limit: usize) -> Result<(), Error>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Error>,
{
    let mut body = std::pin::pin!(Limited::new(body, limit));
    while let Some(frame) = body.frame().await {
        frame?;
    }
    Ok(())
}

/// Reads the whole body of the request that the current task handles, within the memory budget of its server.
///
/// # Errors
///
/// Fails as [`read`] does, and with [`Exhausted`](crate::memory::Exhausted) if the budget has no room for the body.
pub async fn read_request<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Error>,
{
    crate::memory::read_request(body, limit).await
}

/// Reads the whole body of a server's response, which goes to the client of the request that the current task handles. If
/// the memory budget has no room for it, the client's connection is closed: the request may have run.
///
/// # Errors
///
/// Fails as [`read`] does.
pub async fn read_response<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Error>,
{
    crate::memory::read_response(body, limit).await
}

/// Creates a response with a JSON body and its content type.
///
/// # Panics
///
/// Panics if `value` can't be serialized as JSON, as with a map whose keys are not strings.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("the value should be serializable as JSON");
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}
