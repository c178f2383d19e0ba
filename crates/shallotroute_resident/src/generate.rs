//! One run of an item at a model server.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use shallotroute_adapter::answer::{self, Events};
use shallotroute_batch::{
    record::Specification,
    run::{Close, Event},
};
use shallotroute_fleet::server::Outcome;
use shallotroute_types::{name::Name, version::Version};

use crate::{
    job::Owned,
    metric::Metrics,
    pool::{Connection, Failure},
    shared::{InFlight, Shared},
};

/// How long a connection to a model server is kept when its answer names no time.
const KEEP_TIME: Duration = Duration::from_secs(4);

/// The part of a server's stated keep-alive time that is used, in quarters; the rest covers the
/// way of the next request.
const KEEP_QUARTERS: u32 = 3;

/// The least time that a server gets for an item.
const MIN_DEADLINE: Duration = Duration::from_secs(1);

/// A run of an item.
pub(crate) struct Task {
    pub(crate) shared: Arc<Shared>,
    pub(crate) specification: Arc<Specification>,
    pub(crate) owned: Arc<Owned>,
    pub(crate) attempt: u64,
    pub(crate) item: usize,
    /// The last event that the item has.
    pub(crate) after: u64,
}

/// How a run ended, for the job and for what is known of the server.
struct End {
    close: Close,
    outcome: Outcome,
    reason: String,
}

impl Task {
    /// Runs the item at a server and reports each event and the end.
    pub(crate) async fn run(self, server: Name, running: InFlight) {
        let begun = self.shared.now();
        let end = self.attempt_at(&server).await;
        running.finish(end.outcome);
        Metrics::count(&self.shared.metrics.runs, close_name(end.close));
        let item = &self.specification.items[self.item];
        if end.close != Close::Whole {
            spdlog::info!("run ended early", kv: {
                request = item.id.as_str(),
                job = self.owned.id.as_str(),
                server = server.as_str(),
                attempt = self.attempt,
                after = self.after,
                outcome = close_name(end.close),
                reason = end.reason.as_str(),
                taken_ms = self.shared.now().saturating_duration_since(begun).as_millis(),
            });
        }
        self.tell(Event::Closed(end.close));
    }

    async fn attempt_at(&self, server: &Name) -> End {
        let entry = self.shared.roster().get(server).cloned();
        let Some(entry) = entry.filter(|entry| !entry.draining) else {
            return End::new(Close::Refused, Outcome::Dropped, "the server is leaving");
        };
        let id = self.specification.items[self.item].id.clone();
        let request = match self.request(server) {
            Ok(request) => request,
            Err(error) => {
                return End::new(Close::Impossible, Outcome::Dropped, &error.to_string());
            }
        };
        let mut connection = match self.shared.pool.get(entry.address).await {
            Ok(connection) => connection,
            Err(failure) => {
                return End::new(Close::Refused, Outcome::Failed, failure.reason());
            }
        };
        let reused = connection.is_reused;
        let mut result = connection.send(request.clone()).await;
        if result.is_err() && reused {
            // A kept connection that fails at once was closed by the server in the meantime.
            connection = match self.shared.pool.open(entry.address).await {
                Ok(connection) => connection,
                Err(failure) => {
                    return End::new(Close::Refused, Outcome::Failed, failure.reason());
                }
            };
            result = connection.send(request).await;
        }
        match result {
            Ok(response) => self.receive(server, &id, connection, response).await,
            Err(Failure::Unsent(reason)) => End::new(Close::Refused, Outcome::Failed, &reason),
            Err(Failure::NoResponse(reason)) => End::new(Close::Broken, Outcome::Failed, &reason),
        }
    }

    fn request(&self, server: &str) -> Result<Request<Full<Bytes>>, http::Error> {
        let item = &self.specification.items[self.item];
        let mut headers = HeaderMap::new();
        for (name, value) in &item.headers {
            let name = HeaderName::from_bytes(name.as_bytes())?;
            headers.append(name, HeaderValue::from_str(value)?);
        }
        answer::strip_connection_headers(&mut headers);
        headers.insert(
            header::HOST,
            HeaderValue::from_str(&self.specification.host)?,
        );
        answer::address(&mut headers, &item.id, server, self.deadline());
        if self.after > 0 {
            answer::resume(&mut headers, self.after);
        }
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(&item.path)
            .body(Full::new(Bytes::copy_from_slice(&item.body)))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Returns the time that is left until the results are due.
    fn deadline(&self) -> Duration {
        let due = self
            .shared
            .table()
            .and_then(|table| {
                let specification = &self.specification;
                table.find(&specification.host, &specification.path)?.batch
            })
            .map_or(MIN_DEADLINE, |batch| batch.give_up);
        let submitted = self.owned.state().head.submitted;
        let age = Duration::from_millis(self.shared.unix_ms().saturating_sub(submitted));
        due.saturating_sub(age).max(MIN_DEADLINE)
    }

    async fn receive(
        &self,
        server: &Name,
        id: &str,
        connection: Connection,
        response: http::Response<Incoming>,
    ) -> End {
        let (parts, body) = response.into_parts();
        let head = answer::read_head(parts.status, &parts.headers, id);
        if head.not_run {
            let reason = format!("the server answered {} and did not run it", parts.status);
            if drained(body).await {
                self.keep(connection, &parts.headers);
            }
            return End::new(Close::Refused, Outcome::Refused, &reason);
        }
        if !head.own {
            return End::new(
                Close::Broken,
                Outcome::Failed,
                "the answer belongs to another request",
            );
        }
        let status = parts.status;
        match status.as_u16() {
            200..=299 if !head.encoded => {
                self.stream(server, connection, &parts.headers, body, head.version)
                    .await
            }
            422 => End::new(
                Close::Impossible,
                Outcome::Dropped,
                "the server answered 422",
            ),
            500 => {
                if drained(body).await {
                    self.keep(connection, &parts.headers);
                }
                End::new(Close::Failed, Outcome::Dropped, "the server answered 500")
            }
            other => End::new(
                Close::Broken,
                Outcome::Failed,
                &format!("the server answered {other}"),
            ),
        }
    }

    /// Reads the events of a stream to its end.
    async fn stream(
        &self,
        server: &Name,
        connection: Connection,
        headers: &HeaderMap,
        mut body: Incoming,
        mut version: Option<Version>,
    ) -> End {
        let mut events = Events::default();
        let mut first = None;
        let mut last = self.shared.now();
        let mut count = 0_u32;
        let broken = |reason: &str| End::new(Close::Broken, Outcome::Failed, reason);
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return broken(&format!("the stream broke off: {error}")),
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            events.push(bytes);
            loop {
                let event = match events.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(error) => return broken(&error.to_string()),
                };
                version = event.version.or(version);
                let Some(version) = version else {
                    return broken("an event has no version");
                };
                let now = self.shared.now();
                match first {
                    Some(_) => {
                        let gap = now.saturating_duration_since(last);
                        self.shared.roster().observe_event(server, gap);
                    }
                    None => first = Some(now),
                }
                last = now;
                count += 1;
                self.tell(Event::Piece {
                    number: event.number,
                    data: event.data,
                    version,
                });
            }
        }
        if events.partial() {
            return broken("the stream ended in the middle of an event");
        }
        // A run that was asked for the events after the last one has none, and names no version.
        if let Some(version) = version {
            let model = &self.specification.model;
            self.shared.roster().observe_version(server, model, version);
        }
        self.keep(connection, headers);
        let pace = match (first, count) {
            (Some(first), 2..) => {
                Outcome::Answered(last.saturating_duration_since(first) / (count - 1))
            }
            _ => Outcome::Dropped,
        };
        End::new(Close::Whole, pace, "")
    }

    fn keep(&self, connection: Connection, headers: &HeaderMap) {
        if let Some(period) = keep_time(headers) {
            self.shared.pool.put(connection, period);
        }
    }

    fn tell(&self, event: Event) {
        // The job has ended when nobody receives.
        let _ = self.owned.events.send((self.attempt, event));
    }
}

impl End {
    fn new(close: Close, outcome: Outcome, reason: &str) -> Self {
        Self {
            close,
            outcome,
            reason: reason.to_owned(),
        }
    }
}

/// Returns how long a connection may be kept after an answer with these headers; none if its server
/// closes it.
pub(crate) fn keep_time(headers: &HeaderMap) -> Option<Duration> {
    if answer::closes(headers) {
        return None;
    }
    let stated = answer::keep_alive(headers);
    Some(stated.map_or(KEEP_TIME, |stated| stated * KEEP_QUARTERS / 4))
}

/// Reads a short body to its end. Returns whether it was whole.
pub(crate) async fn drained(body: Incoming) -> bool {
    shallotroute_http::body::read(body, 64 << 10).await.is_ok()
}

fn close_name(close: Close) -> &'static str {
    match close {
        Close::Whole => "whole",
        Close::Broken => "broken",
        Close::Refused => "refused",
        Close::Failed => "failed",
        Close::Impossible => "impossible",
    }
}
