//! One attempt to generate an item at a model server.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, header};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use shallotroute_adapter::backend::{self, EventDecoder};
use shallotroute_batch::{
    job::{Event, GenerationEnd},
    record::Specification,
};
use shallotroute_fleet::{
    access::Grant,
    limit::Class,
    server::{Outcome, Server},
};
use shallotroute_types::{name::Name, version::Version};

use crate::{
    access::Outgoing,
    answer, capacity,
    job::Owned,
    limit,
    link::Sender,
    metric::Metrics,
    pool::{Connection, Failure, RequestBody},
    shared::{InFlight, Shared},
};

/// How long a connection is kept idle when the server's response names no keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The part of a server's keep-alive time that is used, in quarters; the rest covers the transit
/// time of the next request.
const KEEP_ALIVE_QUARTERS: u32 = 3;

/// The maximum size of a body that is read only so that its connection can be reused.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// How long such a body may take; the retry of its request waits meanwhile.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// The minimum time that a server gets for an item.
const MIN_ITEM_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt to generate an item.
pub(crate) struct Attempt {
    pub(crate) shared: Arc<Shared>,
    pub(crate) specification: Arc<Specification>,
    pub(crate) owned: Arc<Owned>,
    /// The number of the attempt in its job.
    pub(crate) attempt: u64,
    /// The item's position in the specification.
    pub(crate) item: usize,
    /// The software version of the server when it was chosen.
    pub(crate) software: Name,
    /// The number of the last event that the item has; the server resumes after it.
    pub(crate) resume_after: u64,
}

/// The end of an attempt: `generation_end` is for the job, `outcome` for the balancer.
struct End {
    generation_end: GenerationEnd,
    outcome: Outcome,
    reason: String,
}

impl Attempt {
    /// Generates the item at a server, and sends each event and the end to the job.
    pub(crate) async fn run(self, server: Name, in_flight: InFlight) {
        let started_at = self.shared.now();
        let mut end = self.execute(&server).await;
        if !self.has_same_software(&server) {
            end = End::software_changed();
        }
        in_flight.finish(end.outcome);
        Metrics::count(
            &self.shared.metrics.runs,
            generation_end_name(end.generation_end),
        );
        let item = &self.specification.items[self.item];
        if end.generation_end != GenerationEnd::Complete {
            spdlog::info!("generation attempt did not complete", kv: {
                request = item.id.as_str(),
                job = self.owned.id.as_str(),
                server = server.as_str(),
                attempt = self.attempt,
                after = self.resume_after,
                outcome = generation_end_name(end.generation_end),
                reason = end.reason.as_str(),
                taken_ms = self.shared.now().saturating_duration_since(started_at).as_millis(),
            });
        }
        if end.generation_end == GenerationEnd::Complete && self.resume_after == 0 {
            let elapsed = self.shared.now().saturating_duration_since(started_at);
            capacity::record_hold(&self.shared, &self.owned, elapsed);
        }
        self.emit(Event::GenerationEnded(end.generation_end));
    }

    async fn execute(&self, server: &Name) -> End {
        let entry = self.shared.balancer().get(server).cloned();
        let is_usable = |entry: &Server| !entry.is_draining && entry.software == self.software;
        let Some(entry) = entry.filter(is_usable) else {
            return End::new(
                GenerationEnd::Rejected,
                Outcome::Neutral,
                "the server is draining or unknown, or has other software",
            );
        };
        if !limit::acquire_permit(&self.shared, server, Class::Batch).await {
            return End::limited();
        }
        let id = self.specification.items[self.item].id.clone();
        let request = match self.request(server) {
            Ok(request) => request,
            Err(error) => {
                return End::new(
                    GenerationEnd::Unprocessable,
                    Outcome::Neutral,
                    &error.to_string(),
                );
            }
        };
        let sender = Sender::new(&self.shared, &entry).with_idempotent(true);
        let grant = self.grant();
        let build = || Ok(Outgoing::new(request.clone(), &grant));
        let mut result = sender.send(build).await;
        if let Err(Failure::NoResponse {
            is_reused: true, ..
        }) = &result
        {
            // The server may have closed a pooled connection since its last use. If it got the request, the
            // next one is another one to its limit.
            if !limit::acquire_permit(&self.shared, server, Class::Batch).await {
                return End::limited();
            }
            result = sender.with_new_connection().send(build).await;
        }
        match result {
            Ok((connection, response)) => {
                self.read_response(server, &id, connection, response).await
            }
            Err(failure @ (Failure::Unsent(_) | Failure::Denied(_))) => {
                End::new(GenerationEnd::Rejected, Outcome::Failed, failure.reason())
            }
            Err(Failure::NoWay(reason)) => {
                End::new(GenerationEnd::Rejected, Outcome::Rejected, &reason)
            }
            Err(Failure::NoResponse { reason, .. }) => {
                End::new(GenerationEnd::Interrupted, Outcome::Failed, &reason)
            }
            Err(Failure::LinkLost(reason)) => {
                End::new(GenerationEnd::Interrupted, Outcome::Neutral, &reason)
            }
        }
    }

    /// Returns whether the host list still gives the server the software for which it was chosen. A
    /// start of another process with the same software does no harm.
    ///
    /// A server that starts again under its identity with other software may answer before its new
    /// entry arrives here, and responses don't name the software. If the entry arrives during the
    /// attempt, the events of the attempt are discarded. If the attempt has ended before, or is cancelled
    /// before its next event, that remains undetected.
    fn has_same_software(&self, server: &Name) -> bool {
        let balancer = self.shared.balancer();
        balancer
            .get(server)
            .is_none_or(|entry| entry.software == self.software)
    }

    /// Returns the grant of the item, which belongs to the workspace of its job.
    fn grant(&self) -> Grant {
        let table = self.shared.table();
        Grant::for_item(self.specification.workspace.as_ref(), table.as_deref())
    }

    /// Builds the request, which only `server` may run.
    fn request(&self, server: &str) -> Result<Request<RequestBody>, http::Error> {
        let item = &self.specification.items[self.item];
        let mut headers = HeaderMap::new();
        for (name, value) in &item.headers {
            let name = HeaderName::from_bytes(name.as_bytes())?;
            headers.append(name, HeaderValue::from_str(value)?);
        }
        backend::remove_hop_by_hop_headers(&mut headers);
        headers.insert(
            header::HOST,
            HeaderValue::from_str(&self.specification.host)?,
        );
        backend::set_attempt_headers(&mut headers, &item.id, server, self.remaining_time());
        let priority = capacity::item_priority(&self.shared, &self.owned);
        backend::set_priority(&mut headers, priority);
        if self.resume_after > 0 {
            backend::set_last_event_id(&mut headers, self.resume_after);
        }
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(&item.path)
            .body(Either::Left(Full::new(Bytes::copy_from_slice(&item.body))))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Returns the time until the job's unfinished items are abandoned, at least
    /// [`MIN_ITEM_TIMEOUT`].
    fn remaining_time(&self) -> Duration {
        let abandon_after = self
            .shared
            .table()
            .and_then(|table| {
                let specification = &self.specification;
                table.find(&specification.host, &specification.path)?.batch
            })
            .map_or(MIN_ITEM_TIMEOUT, |batch| batch.abandon_after);
        let submitted = self.owned.state().head.submitted_ms;
        let age = Duration::from_millis(self.shared.unix_ms().saturating_sub(submitted));
        abandon_after.saturating_sub(age).max(MIN_ITEM_TIMEOUT)
    }

    async fn read_response(
        &self,
        server: &Name,
        id: &str,
        connection: Connection,
        response: http::Response<Incoming>,
    ) -> End {
        let (parts, body) = response.into_parts();
        let head = backend::parse_head(parts.status, &parts.headers, id);
        self.shared.record_head(server, &head);
        if head.is_rejected {
            let reason = format!(
                "the server responded {} and did not run the request",
                parts.status
            );
            discard_response(&self.shared, connection, &parts.headers, body).await;
            return End::new(GenerationEnd::Rejected, Outcome::Rejected, &reason);
        }
        if let Some(flaw) = answer::flaw(parts.status, &head) {
            return End::new(GenerationEnd::Interrupted, Outcome::Failed, &flaw);
        }
        let status = parts.status;
        match status.as_u16() {
            200..=299 => {
                self.read_stream(server, connection, &parts.headers, body, head.version)
                    .await
            }
            422 => End::new(
                GenerationEnd::Unprocessable,
                Outcome::Neutral,
                "the server responded 422",
            ),
            500 => {
                discard_response(&self.shared, connection, &parts.headers, body).await;
                End::new(
                    GenerationEnd::Failed,
                    Outcome::Neutral,
                    "the server responded 500",
                )
            }
            other => End::new(
                GenerationEnd::Interrupted,
                Outcome::Failed,
                &format!("the server responded {other}"),
            ),
        }
    }

    /// Reads the events of a stream to its end, and records its version and the time between
    /// events in the balancer.
    async fn read_stream(
        &self,
        server: &Name,
        connection: Connection,
        headers: &HeaderMap,
        mut body: Incoming,
        mut version: Option<Version>,
    ) -> End {
        let mut events = EventDecoder::default();
        let mut first_event_at = None;
        let mut last_event_at = self.shared.now();
        let mut event_count = 0_u32;
        let fail = |reason: &str| End::new(GenerationEnd::Interrupted, Outcome::Failed, reason);
        while let Some(bytes) = self.next_bytes(server, &connection, &mut body).await {
            match bytes {
                Ok(bytes) => events.push(&bytes),
                Err(end) => return end,
            }
            self.shared
                .links
                .record_heard(&connection, self.shared.now());
            loop {
                let event = match events.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(error) => return fail(&error.to_string()),
                };
                version = event.version.or(version);
                let Some(version) = version else {
                    return fail("an event has no version");
                };
                let now = self.shared.now();
                match first_event_at {
                    Some(_) => {
                        let gap = now.saturating_duration_since(last_event_at);
                        self.shared.balancer().record_event_interval(server, gap);
                    }
                    None => first_event_at = Some(now),
                }
                last_event_at = now;
                event_count += 1;
                self.emit(Event::Generated {
                    number: event.number,
                    data: event.data,
                    version,
                });
            }
        }
        if events.has_partial_event() {
            return fail("the stream ended in the middle of an event");
        }
        // An attempt that resumes after the last event of the output has no event and no version.
        if let Some(version) = version {
            let model = &self.specification.model;
            self.shared
                .balancer()
                .record_version(server, model, version);
        }
        self.pool_connection(connection, headers);
        let server_outcome = match (first_event_at, event_count) {
            (Some(first_event_at), 2..) => Outcome::Succeeded(
                last_event_at.saturating_duration_since(first_event_at) / (event_count - 1),
            ),
            _ => Outcome::Neutral,
        };
        End::new(GenerationEnd::Complete, server_outcome, "")
    }

    /// Returns the next bytes of a stream, `None` at its end, or an error if the stream failed or the
    /// server's entry no longer names the software for which it was chosen.
    async fn next_bytes(
        &self,
        server: &Name,
        connection: &Connection,
        body: &mut Incoming,
    ) -> Option<Result<Bytes, End>> {
        loop {
            let frame = match body.frame().await? {
                Ok(frame) => frame,
                Err(error) => {
                    let reason = format!("the stream failed: {error}");
                    let outcome = match self.shared.links.blames_server(connection) {
                        true => Outcome::Failed,
                        false => Outcome::Neutral,
                    };
                    let end = End::new(GenerationEnd::Interrupted, outcome, &reason);
                    return Some(Err(end));
                }
            };
            if !self.has_same_software(server) {
                return Some(Err(End::software_changed()));
            }
            if let Ok(bytes) = frame.into_data() {
                return Some(Ok(bytes));
            }
        }
    }

    fn pool_connection(&self, connection: Connection, headers: &HeaderMap) {
        if let Some(max_idle) = idle_timeout(headers) {
            self.shared.pool.put(connection, max_idle);
        }
    }

    fn emit(&self, event: Event) {
        // The receiver is dropped when the job has ended.
        let _ = self.owned.events.send((self.attempt, event));
    }
}

impl End {
    fn new(generation_end: GenerationEnd, outcome: Outcome, reason: &str) -> Self {
        Self {
            generation_end,
            outcome,
            reason: reason.to_owned(),
        }
    }

    fn limited() -> Self {
        Self::new(
            GenerationEnd::Rejected,
            Outcome::Neutral,
            "the server gets as many requests as its limit allows",
        )
    }

    fn software_changed() -> Self {
        Self::new(
            GenerationEnd::SoftwareChanged,
            Outcome::Neutral,
            "the server's entry names other software than at the start of the attempt",
        )
    }
}

/// Returns how long a connection may stay idle after a response with these headers, or `None` if
/// the server closes it.
pub(crate) fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    if backend::closes_connection(headers) {
        return None;
    }
    let keep_alive_time = backend::keep_alive_timeout(headers);
    Some(
        keep_alive_time.map_or(DEFAULT_IDLE_TIMEOUT, |keep_alive_time| {
            keep_alive_time * KEEP_ALIVE_QUARTERS / 4
        }),
    )
}

/// Reads the body of a response that is of no use, and returns the connection to the pool. A body that is longer than
/// [`MAX_DISCARDED_BYTES`] or takes longer than [`DISCARD_TIMEOUT`] costs the connection.
pub(crate) async fn discard_response(
    shared: &Shared,
    connection: Connection,
    headers: &HeaderMap,
    body: Incoming,
) {
    let Some(max_idle) = idle_timeout(headers) else {
        return;
    };
    let reading = shallotroute_http::body::read(body, MAX_DISCARDED_BYTES);
    let result = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
    if result.is_ok_and(|body| body.is_ok()) {
        shared.pool.put(connection, max_idle);
    }
}

fn generation_end_name(generation_end: GenerationEnd) -> &'static str {
    match generation_end {
        GenerationEnd::Complete => "whole",
        GenerationEnd::Interrupted => "broken",
        GenerationEnd::Rejected => "refused",
        GenerationEnd::Failed => "failed",
        GenerationEnd::Unprocessable => "impossible",
        GenerationEnd::SoftwareChanged => "software_changed",
    }
}
