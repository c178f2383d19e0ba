//! HTTP calls whose errors tell whether the peer can have acted on the request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use shallotroute_http::{
    body,
    client::{self, Client},
};

use crate::error::{Error, Kind, Result};

/// The response header with the version of a key.
pub(super) const VERSION_HEADER: &str = "x-version";

/// The response header with the state of a server that takes no work.
pub(super) const SERVER_STATE_HEADER: &str = "x-server-state";

/// The maximum length of a rejection's body in an error, in characters.
const MAX_REASON_CHARS: usize = 200;

/// An operation at one peer. Its errors name both.
#[derive(Clone, Copy)]
pub(super) struct Call<'a> {
    pub(super) client: &'a Client,
    pub(super) operation: &'static str,
    pub(super) address: SocketAddr,
}

/// A response with its complete body.
pub(super) struct FullResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl Call<'_> {
    /// Creates an error of this call.
    pub(super) fn error(&self, kind: Kind) -> Report<Error> {
        Report::new(Error::new(self.operation, self.address.to_string(), kind))
    }

    /// Returns the builder of a request to `path` with the JSON content type.
    pub(super) fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
    }

    /// Sends a request and returns the response once its head has arrived, with the body unread.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if no byte was sent, and `Lost` if the connection failed later or no
    /// head arrived within `timeout`.
    pub(super) async fn send_request(
        &self,
        request: http::request::Builder,
        content: Bytes,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        let request = request
            .body(body::full(content))
            .change_context_lazy(|| self.context(Kind::Unreachable))?;
        match tokio::time::timeout(timeout, self.client.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(report)) => {
                let kind = match report.current_context() {
                    client::Error::Connect(_) => Kind::Unreachable,
                    _ => Kind::Lost,
                };
                Err(report.change_context(self.context(kind)))
            }
            Err(_) => Err(self.error(Kind::Lost)),
        }
    }

    /// Sends a request and reads the whole response within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Call::send_request`], and `Lost` if the body is cut off, too long or
    /// late.
    pub(super) async fn exchange(
        &self,
        request: http::request::Builder,
        content: Bytes,
        timeout: Duration,
    ) -> Result<FullResponse> {
        let whole = async {
            let response = self.send_request(request, content, timeout).await?;
            let (head, content) = response.into_parts();
            let body = body::read(content, Client::MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| self.error(Kind::Lost).attach(error.to_string()))?;
            Ok(FullResponse {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(_) => Err(self.error(Kind::Lost)),
        }
    }

    /// Returns the error for a response with an unexpected status.
    ///
    /// A client error, and a 503 that names the server's state, mean that the server did not act on
    /// the request. Any other status leaves that open, because a server can fail after it acted; so
    /// does 408, by which a server reports its own timeout.
    pub(super) fn status_error(&self, response: &FullResponse) -> Report<Error> {
        let state = response.headers.get(SERVER_STATE_HEADER);
        let kind = match (response.status, state) {
            (StatusCode::SERVICE_UNAVAILABLE, Some(state)) => {
                Kind::Refused(String::from_utf8_lossy(state.as_bytes()).into_owned())
            }
            (StatusCode::REQUEST_TIMEOUT, _) => Kind::Lost,
            (status, _) if status.is_client_error() => {
                let text = String::from_utf8_lossy(&response.body);
                let reason: String = text.chars().take(MAX_REASON_CHARS).collect();
                Kind::Refused(format!("status {}: {reason}", status.as_u16()))
            }
            (status, _) if status.is_success() => {
                Kind::Malformed(format!("unexpected status {}", status.as_u16()))
            }
            _ => Kind::Lost,
        };
        self.error(kind)
            .attach(format!("status {}", response.status.as_u16()))
    }

    /// Decodes the JSON body of a response.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the body is not the expected JSON.
    pub(super) fn decode<T: DeserializeOwned>(&self, response: &FullResponse) -> Result<T> {
        serde_json::from_slice(&response.body)
            .map_err(|error| self.error(Kind::Malformed(error.to_string())))
    }

    fn context(&self, kind: Kind) -> Error {
        Error::new(self.operation, self.address.to_string(), kind)
    }
}

/// Percent-encodes a key for the path or query of a URI. Slashes are kept.
pub(super) fn percent_encode(key: &str) -> String {
    use std::fmt::Write;
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            write!(encoded, "%{byte:02X}").expect("writing to a string should succeed");
        }
    }
    encoded
}
