//! One HTTP exchange whose error tells whether the peer can have acted on the request.

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

/// The header with the version of a key.
pub(super) const VERSION_HEADER: &str = "x-version";

/// The header with which a server says that it takes no work.
pub(super) const SERVER_STATE_HEADER: &str = "x-server-state";

/// The longest text of a refusal that an error keeps, in characters.
const MAX_REASON_CHARS: usize = 200;

/// A peer and what is being done with it.
#[derive(Clone, Copy)]
pub(super) struct Call<'a> {
    pub(super) client: &'a Client,
    pub(super) operation: &'static str,
    pub(super) address: SocketAddr,
}

/// A whole answer.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl Call<'_> {
    /// Makes an error of this call.
    pub(super) fn error(&self, kind: Kind) -> Report<Error> {
        Report::new(Error::new(self.operation, self.address.to_string(), kind))
    }

    /// Starts a request to `path`.
    pub(super) fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// `Unreachable` when no connection was made; `Lost` when the answer did not come in time.
    pub(super) async fn head(
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

    /// Sends a request and reads the whole answer within `timeout`.
    ///
    /// # Errors
    ///
    /// As for [`Call::head`]; `Lost` when the answer ends early.
    pub(super) async fn exchange(
        &self,
        request: http::request::Builder,
        content: Bytes,
        timeout: Duration,
    ) -> Result<Answer> {
        let whole = async {
            let response = self.head(request, content, timeout).await?;
            let (head, content) = response.into_parts();
            let body = body::read(content, Client::MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| self.error(Kind::Lost).attach(error.to_string()))?;
            Ok(Answer {
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

    /// Turns an answer without the expected status into an error.
    ///
    /// A client error and a refusal that names the server's state say that nothing was done. Any
    /// other answer leaves that open, because a server can fail after it acted.
    pub(super) fn rejected(&self, answer: &Answer) -> Report<Error> {
        let state = answer.headers.get(SERVER_STATE_HEADER);
        let kind = match (answer.status, state) {
            (StatusCode::SERVICE_UNAVAILABLE, Some(state)) => {
                Kind::Refused(String::from_utf8_lossy(state.as_bytes()).into_owned())
            }
            (StatusCode::REQUEST_TIMEOUT, _) => Kind::Lost,
            (status, _) if status.is_client_error() => {
                let text = String::from_utf8_lossy(&answer.body);
                let reason: String = text.chars().take(MAX_REASON_CHARS).collect();
                Kind::Refused(format!("status {}: {reason}", status.as_u16()))
            }
            (status, _) if status.is_success() => {
                Kind::Malformed(format!("unexpected status {}", status.as_u16()))
            }
            _ => Kind::Lost,
        };
        self.error(kind)
            .attach(format!("status {}", answer.status.as_u16()))
    }

    /// Reads a JSON answer.
    ///
    /// # Errors
    ///
    /// `Malformed` when the answer is not the expected JSON.
    pub(super) fn decode<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T> {
        serde_json::from_slice(&answer.body)
            .map_err(|error| self.error(Kind::Malformed(error.to_string())))
    }

    fn context(&self, kind: Kind) -> Error {
        Error::new(self.operation, self.address.to_string(), kind)
    }
}

/// Encodes a key for the path or query of a URI.
pub(super) fn encode(key: &str) -> String {
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
