//! Bodies of requests and responses.

use bytes::Bytes;
use futures::Stream;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Body as HttpBody, Frame};
use serde::Serialize;

/// The error of a body, whatever its source.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// A body of any kind.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Makes a body of bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Makes a body of a stream of chunks.
pub fn stream(chunks: impl Stream<Item = Result<Bytes, Error>> + Send + 'static) -> Body {
    use futures::StreamExt;
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// The body is longer than `limit` bytes or its sender failed.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Error>,
{
    Ok(Limited::new(body, limit).collect().await?.to_bytes())
}

/// Makes a response with a JSON body.
///
/// # Panics
///
/// The value can't be written as JSON, as with a map whose keys are not strings.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("the value should have a JSON form");
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}
