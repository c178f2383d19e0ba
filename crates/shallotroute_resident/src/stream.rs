//! Forwards event streams. Where the route allows it, a broken stream resumes at another server of the
//! software version that began it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallotroute_adapter::backend::{self, EventDecoder, Head};
use shallotroute_fleet::{
    access::Denial,
    admission::governor::End,
    limit::Class,
    resume::{self as decision, Origin, Source},
    retry::{AttemptFailure, Attempts, Decision, Policy, RequestFailure},
    route::{Route, Table},
    server::{Outcome, Server},
    stall::Watchdog,
};
use shallotroute_http::body::{self, Body};
use shallotroute_types::name::Name;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::error::Elapsed,
};

use crate::{
    admission::{self, Governors},
    answer,
    forward::{self, BackendRequest},
    generate::{discard_response, idle_timeout},
    ingress::{failure_response, server_response},
    limit::{self, Unavailable},
    link::Sender,
    metric::Metrics,
    pool::{Connection, Failure},
    response, resume,
    shared::{InFlight, Shared},
    suspect,
    usage::{self, Attempt, Meter},
};

/// The maximum number of chunks that are buffered for a slow caller.
const QUEUE_CHUNKS: usize = 64;

/// The maximum size of these chunks together, in bytes. A larger one is buffered alone.
const QUEUE_BYTES: u32 = 64 << 10;

/// What the response of a caller consists of.
enum Part {
    /// Bytes of the body, with their share of [`QUEUE_BYTES`].
    Bytes(Bytes, OwnedSemaphorePermit),
    /// The regular end of the body.
    End,
}

/// An open stream from a server.
struct OpenStream {
    /// The server according to the host list when it was chosen.
    server: Server,
    in_flight: InFlight,
    connection: Connection,
    status: StatusCode,
    headers: HeaderMap,
    head: Head,
    body: Incoming,
    /// Counts the request when the stream ends, unless it was counted with an event.
    _attempt: Attempt,
}

/// The servers that may run a stream.
#[derive(Clone, Debug)]
struct Target {
    service: Name,
    /// The software version that began the stream; `None` until the caller has its first event.
    software: Option<Name>,
}

/// What a caller takes up.
struct TakeUp {
    /// The identity of the request that brought the stream's first event.
    id: Name,
    origin: Origin,
    /// How the origin was found.
    source: Source,
}

impl Target {
    fn new(route: &Route, request: &str, take_up: Option<&TakeUp>) -> Self {
        match take_up {
            Some(TakeUp { id, origin, .. }) => Self {
                service: decision::service(route, Some(origin), id).clone(),
                software: Some(origin.software.clone()),
            },
            None => Self {
                service: route.service_for(request).clone(),
                software: None,
            },
        }
    }
}

/// Why an attempt to open a stream failed.
enum OpenError {
    /// The server did not run the request.
    NotRun(String),
    /// The server could not be reached and did not run the request.
    Unreachable(String),
    /// Neither this node nor another one reaches servers, so that the request did not run.
    NoWay(String),
    /// The caller may not have the request sent any more, so that it did not run.
    Denied(Denial),
    /// The server may have run the request.
    MayHaveRun(String),
    /// The server's whole response does not continue the stream, such as one with an error status.
    NoContinuation(String),
    /// The connection broke before the response, and the server may have run the request.
    Broken(String),
    /// This node lost its links before the response, and the server may have run the request.
    LinkLost(String),
}

/// How copying a stream to its caller ended.
enum CopyEnd {
    /// The stream is complete.
    Complete,
    /// The stream broke off, or had no event for too long.
    Broken(String),
    /// The stream broke off because this node or a relay lost its links.
    LinkLost(String),
    /// The caller closed its connection.
    CallerLeft,
    /// The caller has not read its stream until the deadline of its request.
    CallerStalled,
}

/// Forwards a request whose response is a stream. Returns as soon as a server has opened the
/// stream; a background task copies its body.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    table: &Table,
    route: &Arc<Route>,
    request: BackendRequest,
    is_resumable: bool,
) -> Response<Body> {
    let started_at = shared.now();
    let policy = retry_policy(route, &request, is_resumable, started_at);
    let last_event = backend::last_event_id(&request.headers).unwrap_or(0);
    let mut attempts = match admit(shared, route, &request, policy, last_event) {
        Ok(attempts) => attempts,
        Err(failure) => {
            let reason = admission::REFUSAL_REASON;
            return refuse_stream(shared, table, route, &request, failure, reason);
        }
    };
    if is_resumable {
        shared.streams.record_wait(route, &request);
    }
    let take_up = match is_resumable && last_event > 0 {
        true => match find_origin(shared, route, &request, policy.deadline).await {
            Some(take_up) => Some(take_up),
            None => return refuse_take_up(shared, route, &request),
        },
        false => None,
    };
    let target = Target::new(route, &request.id, take_up.as_ref());
    let meter = usage::meter(shared, forward::workspace(&request));
    let opened = open(shared, &target, &request, None, &meter, &mut attempts).await;
    if let Some(take_up) = &take_up {
        log_take_up(shared, &request, take_up, &opened);
    }
    let opened = match opened {
        Ok(opened) => opened,
        Err((failure, reason)) => {
            return refuse_stream(shared, table, route, &request, failure, &reason);
        }
    };
    let (status, headers) = (opened.status, opened.headers.clone());
    let (sender, receiver) = mpsc::channel(QUEUE_CHUNKS);
    let copier = Copier {
        shared: Arc::clone(shared),
        route: Arc::clone(route),
        last_event,
        target,
        take_up,
        is_software_checked: false,
        is_recorded: false,
        has_event: false,
        meter,
        request,
        is_resumable,
        deadline: policy.deadline,
        sender,
        queue_bytes: Arc::new(Semaphore::new(QUEUE_BYTES as usize)),
    };
    tokio::spawn(copier.run(opened, attempts));
    let chunks = futures::stream::unfold(Some(receiver), next_chunk);
    server_response(status, headers, body::stream(chunks))
}

/// Begins the attempts of a stream, or returns why it is turned away.
fn admit(
    shared: &Shared,
    route: &Route,
    request: &BackendRequest,
    policy: Policy,
    last_event: u64,
) -> Result<Attempts, RequestFailure> {
    // The work of a stream that its caller takes up would be lost.
    let priority = match last_event {
        0 => request.grant.priority(route),
        _ => 0,
    };
    let service = route.service_for(&request.id);
    let governors = &shared.governors;
    governors.begin(service, priority, policy, policy.started_at)
}

fn retry_policy(
    route: &Route,
    request: &BackendRequest,
    is_resumable: bool,
    started_at: Instant,
) -> Policy {
    Policy {
        // A stream that may resume may also run again, so that a server that has crashed costs the
        // caller no attempt of its own.
        is_idempotent: is_resumable,
        max_attempts: route.max_attempts,
        started_at,
        target_latency: route.target_latency,
        deadline: started_at + request.timeout,
    }
}

/// Returns the next chunk of a caller's response and the receiver of those after it. Without [`Part::End`] the body ends
/// with an error, so that it does not look complete.
async fn next_chunk(
    receiver: Option<mpsc::Receiver<Part>>,
) -> Option<(Result<Bytes, body::Error>, Option<mpsc::Receiver<Part>>)> {
    let mut receiver = receiver?;
    match receiver.recv().await {
        Some(Part::Bytes(bytes, room)) => {
            drop(room);
            Some((Ok(bytes), Some(receiver)))
        }
        Some(Part::End) => None,
        None => Some((Err("the stream was given up before its end".into()), None)),
    }
}

/// Logs and counts a stream that no server has opened, and returns the response for its caller.
fn refuse_stream(
    shared: &Shared,
    table: &Table,
    route: &Route,
    request: &BackendRequest,
    failure: RequestFailure,
    reason: &str,
) -> Response<Body> {
    let (response, outcome) = failure_response(failure);
    Metrics::count(&shared.metrics.requests, outcome);
    spdlog::info!("failed to open stream", kv: {
        request = &*request.id,
        route = route.name.as_str(),
        configuration = table.version(),
        outcome,
        reason,
    });
    response
}

/// Finds what began the stream that a caller takes up. Returns `None` if the software version is
/// unknown.
async fn find_origin(
    shared: &Arc<Shared>,
    route: &Route,
    request: &BackendRequest,
    deadline: Instant,
) -> Option<TakeUp> {
    // A caller that names no request has no record, but the service may have one version only.
    let id = Name::from(backend::resumed_request(&request.headers).unwrap_or(&request.id));
    let finding = resume::find(shared, route, &id);
    let (origin, source) = tokio::time::timeout_at(deadline.into(), finding)
        .await
        .ok()??;
    Some(TakeUp { id, origin, source })
}

/// Refuses to take up a stream whose software version is unknown.
fn refuse_take_up(shared: &Shared, route: &Route, request: &BackendRequest) -> Response<Body> {
    Metrics::count(&shared.metrics.take_ups, "unknown");
    Metrics::count(&shared.metrics.requests, "not_run");
    spdlog::info!("stream not taken up; no node knows the software version that began it", kv: {
        request = &*request.id,
        resumes = backend::resumed_request(&request.headers).unwrap_or_default(),
        route = route.name.as_str(),
        found = "unknown",
        outcome = "not_run",
    });
    response::not_run(resume::RETRY_AFTER)
}

/// Logs and counts how a stream was taken up whose software version is known.
fn log_take_up(
    shared: &Shared,
    request: &BackendRequest,
    take_up: &TakeUp,
    opened: &Result<OpenStream, (RequestFailure, String)>,
) {
    let found = take_up.source.label();
    Metrics::count(&shared.metrics.take_ups, found);
    let (outcome, server) = match opened {
        Ok(opened) => ("opened", opened.server.id.as_str()),
        Err(_) => ("failed", ""),
    };
    spdlog::info!("stream taken up", kv: {
        request = &*request.id,
        resumes = take_up.id.as_str(),
        service = take_up.origin.service.as_str(),
        software = take_up.origin.software.as_str(),
        found,
        outcome,
        server,
    });
}

/// Opens a stream at a server, or at another one if the first did not run the request. `begun` is the status that
/// the caller has of a stream that is to continue; another response is not passed on. On failure, returns the failure
/// and, for the log, why the last attempt failed.
async fn open(
    shared: &Arc<Shared>,
    target: &Target,
    request: &BackendRequest,
    begun: Option<StatusCode>,
    meter: &Meter,
    attempts: &mut Attempts,
) -> Result<OpenStream, (RequestFailure, String)> {
    let governors = &shared.governors;
    let mut reason = String::new();
    loop {
        suspect::judge(shared, request, &target.service, attempts);
        match attempts.decide(shared.now()) {
            Decision::Fail(failure) => {
                governors.record_failure(&target.service, attempts, failure, shared.now());
                return Err((failure, reason));
            }
            Decision::WaitUntil(until) => tokio::time::sleep_until(until.into()).await,
            Decision::Send if !may_send(governors, target, begun, attempts, shared.now()) => {
                attempts.record_denied(shared.now());
            }
            Decision::Send => {
                let software = target.software.as_deref();
                let avoid = attempts.servers();
                let requirements =
                    forward::requirements(&target.service, software, avoid, Class::Caller);
                let acquired = limit::acquire_server(shared, &requirements).await;
                let server = match acquired {
                    Ok(server) => server,
                    Err(Unavailable::NoServer) if target.software.is_some() && avoid.is_empty() => {
                        // Servers of a version that is being replaced do not come back soon.
                        let failure = RequestFailure::NotRun {
                            retry_after: resume::RETRY_AFTER,
                        };
                        let reason = "no server of the software version takes requests";
                        return Err((failure, reason.to_owned()));
                    }
                    Err(unavailable) => {
                        unavailable.reason().clone_into(&mut reason);
                        forward::record_unavailable(attempts, unavailable, shared.now());
                        continue;
                    }
                };
                match open_once(shared, target, request, begun, &server, attempts, meter).await {
                    Ok(opened) => return Ok(opened),
                    Err(error) => reason = error,
                }
            }
        }
    }
}

/// Opens a stream at a server and records the outcome. On failure, returns why, for the log.
async fn open_once(
    shared: &Arc<Shared>,
    target: &Target,
    request: &BackendRequest,
    begun: Option<StatusCode>,
    server: &Server,
    attempts: &mut Attempts,
    meter: &Meter,
) -> Result<OpenStream, String> {
    let is_repeat = attempts.is_repeat();
    attempts.record_attempt(&server.id);
    let started_at = shared.now();
    let in_flight = shared.start_request(&server.id, None);
    let policy = *attempts.policy();
    let in_flight = (in_flight, meter.begin());
    let opening = open_at(shared, server, request, begun, &policy, in_flight);
    let opening = tokio::time::timeout_at(policy.deadline.into(), opening).await;
    let now = shared.now();
    let end = opening_end(&opening, now.saturating_duration_since(started_at));
    let governors = &shared.governors;
    governors.finish(&target.service, is_repeat, end, now);
    let error = match opening {
        Ok(Ok(opened)) => return Ok(opened),
        Ok(Err(error)) => error,
        Err(_) => OpenError::MayHaveRun("the server did not answer in time".to_owned()),
    };
    if matches!(error, OpenError::Broken(_)) {
        record_break(shared, request, server).await;
    }
    let reason = record_error(attempts, &server.id, error, shared.now());
    spdlog::info!("attempt to open a stream failed", kv: {
        request = &*request.id,
        server = server.id.as_str(),
        after = backend::last_event_id(&request.headers).unwrap_or(0),
        reason = reason.as_str(),
    });
    Err(reason)
}

/// Returns whether the next attempt to open a stream may be sent. A continuation always may: the work of the stream so
/// far would be lost.
fn may_send(
    governors: &Governors,
    target: &Target,
    begun: Option<StatusCode>,
    attempts: &Attempts,
    now: Instant,
) -> bool {
    governors.may_send(&target.service, attempts, now) || begun.is_some()
}

/// Returns how an attempt to open a stream ended that took `elapsed`.
fn opening_end(opening: &Result<Result<OpenStream, OpenError>, Elapsed>, elapsed: Duration) -> End {
    match opening {
        Ok(Ok(_)) => End::Responded(elapsed),
        Ok(Err(OpenError::NotRun(_))) => End::Rejected,
        Ok(Err(_)) | Err(_) => End::NoResponse,
    }
}

/// Records that an attempt to open a stream failed. Returns why, for the log.
fn record_error(attempts: &mut Attempts, server: &Name, error: OpenError, now: Instant) -> String {
    let (failure, reason) = match error {
        OpenError::NotRun(reason) | OpenError::Unreachable(reason) => {
            (AttemptFailure::NotRun, reason)
        }
        OpenError::NoWay(reason) => (AttemptFailure::NoWay, reason),
        OpenError::Denied(denial) => {
            attempts.record_denial(denial);
            return denial.reason().to_owned();
        }
        OpenError::MayHaveRun(reason)
        | OpenError::NoContinuation(reason)
        | OpenError::Broken(reason) => (AttemptFailure::MayHaveRun, reason),
        OpenError::LinkLost(reason) => {
            attempts.record_link_loss(server);
            return reason;
        }
    };
    attempts.record_failure(failure, now);
    reason
}

/// Records that a connection broke before the first event of a stream.
async fn record_break(shared: &Shared, request: &BackendRequest, server: &Server) {
    if let Some(fingerprint) = &request.fingerprint {
        suspect::record_break(shared, fingerprint, server).await;
    }
}

/// Opens a stream at one server.
async fn open_at(
    shared: &Arc<Shared>,
    server: &Server,
    request: &BackendRequest,
    begun: Option<StatusCode>,
    policy: &Policy,
    (in_flight, attempt): (InFlight, Attempt),
) -> Result<OpenStream, OpenError> {
    let fail = |in_flight: InFlight, attempt: Attempt, error: OpenError| {
        if let OpenError::NotRun(_) | OpenError::NoWay(_) = &error {
            attempt.dismiss();
        }
        in_flight.finish(match error {
            OpenError::NotRun(_) | OpenError::Unreachable(_) | OpenError::NoWay(_) => {
                Outcome::Rejected
            }
            OpenError::MayHaveRun(_) | OpenError::Broken(_) => Outcome::Failed,
            OpenError::NoContinuation(_) | OpenError::LinkLost(_) | OpenError::Denied(_) => {
                Outcome::Neutral
            }
        });
        Err(error)
    };
    let sender = Sender::new(shared, server).with_idempotent(policy.is_idempotent);
    let sent = sender.send(|| forward::build_request(shared, server, request, policy.deadline));
    let (connection, response) = match sent.await {
        Ok(exchange) => exchange,
        Err(failure) => {
            let error = match failure {
                Failure::Unsent(reason) => OpenError::Unreachable(reason),
                Failure::NoResponse { reason, .. } => OpenError::Broken(reason),
                Failure::NoWay(reason) => OpenError::NoWay(reason),
                Failure::Denied(denial) => OpenError::Denied(denial),
                Failure::LinkLost(reason) => OpenError::LinkLost(reason),
            };
            return fail(in_flight, attempt, error);
        }
    };
    let (parts, body) = response.into_parts();
    let head = backend::parse_head(parts.status, &parts.headers, &request.id);
    shared.record_head(&server.id, &head);
    if let Err(error) = check_head(parts.status, &head, begun) {
        if !matches!(error, OpenError::MayHaveRun(_)) {
            discard_response(shared, connection, &parts.headers, body).await;
        }
        return fail(in_flight, attempt, error);
    }
    Ok(OpenStream {
        server: server.clone(),
        in_flight,
        connection,
        status: parts.status,
        headers: parts.headers,
        head,
        body,
        _attempt: attempt,
    })
}

/// Checks whether the caller may get a server's response. `begun` is the status that the caller has already.
fn check_head(status: StatusCode, head: &Head, begun: Option<StatusCode>) -> Result<(), OpenError> {
    if head.is_rejected {
        return Err(OpenError::NotRun(format!("the server answered {status}")));
    }
    if let Some(flaw) = answer::flaw(status, head) {
        return Err(OpenError::MayHaveRun(flaw));
    }
    match begun {
        Some(begun) if status != begun => Err(OpenError::NoContinuation(format!(
            "the server answered {status} to the continuation of a stream that began with {begun}"
        ))),
        _ => Ok(()),
    }
}

/// Copies one stream to its caller.
struct Copier {
    shared: Arc<Shared>,
    route: Arc<Route>,
    request: BackendRequest,
    is_resumable: bool,
    deadline: Instant,
    /// The number of the last event that the caller has.
    last_event: u64,
    /// Where the stream may run.
    target: Target,
    /// What the caller takes up; `None` if it had no event of the stream before.
    take_up: Option<TakeUp>,
    /// Whether the software version of the present server has been checked.
    is_software_checked: bool,
    /// Whether the origin of the stream has been recorded at this node.
    is_recorded: bool,
    /// Whether the present server has sent an event.
    has_event: bool,
    /// Counts the request once over all its attempts.
    meter: Meter,
    /// The response of the caller, which is aborted if this is dropped before [`Part::End`].
    sender: mpsc::Sender<Part>,
    /// The rest of [`QUEUE_BYTES`].
    queue_bytes: Arc<Semaphore>,
}

impl Copier {
    async fn run(mut self, opened: OpenStream, mut attempts: Attempts) {
        let mut opened = opened;
        let begun = opened.status;
        let mut is_continuation = false;
        let mut has_empty_end = false;
        loop {
            let server = opened.server.id.clone();
            let chosen = opened.server.clone();
            self.has_event = false;
            let can_resume =
                self.is_resumable && opened.status.is_success() && opened.head.stamp.is_some();
            let end = match can_resume {
                true => self.copy_events(opened).await,
                false => self.copy_bytes(opened).await,
            };
            let mut failure = AttemptFailure::NotRun;
            let reason = match end {
                CopyEnd::Complete if is_continuation && !self.has_event && !has_empty_end => {
                    has_empty_end = true;
                    failure = AttemptFailure::MayHaveRun;
                    "the continuation has no event; another server has to agree that the stream has ended".to_owned()
                }
                CopyEnd::Complete => return self.finish(&server).await,
                CopyEnd::CallerLeft => return self.record_end(&server, "caller_left", ""),
                CopyEnd::CallerStalled => return self.record_end(&server, "caller_stalled", ""),
                CopyEnd::Broken(reason) => {
                    // A server that has sent an event has begun the request without a crash.
                    if !self.has_event {
                        record_break(&self.shared, &self.request, &chosen).await;
                    }
                    reason
                }
                CopyEnd::LinkLost(reason) => reason,
            };
            if !can_resume {
                return self.record_end(&server, "broken", &reason);
            }
            spdlog::info!("resuming stream at another server", kv: {
                request = &*self.request.id,
                server = server.as_str(),
                after = self.last_event,
                reason = reason.as_str(),
            });
            if self.last_event > 0 {
                backend::set_last_event_id(&mut self.request.headers, self.last_event);
            }
            // A broken attempt is recorded as not run, so that the request is sent to another server.
            attempts.record_failure(failure, self.shared.now());
            is_continuation = true;
            opened = match self.open_next(begun, &mut attempts).await {
                Ok(next) => next,
                Err((_, reason)) => return self.record_end(&server, "broken", &reason),
            };
        }
    }

    /// Opens the stream at another server. `begun` is the status that the caller has.
    async fn open_next(
        &self,
        begun: StatusCode,
        attempts: &mut Attempts,
    ) -> Result<OpenStream, (RequestFailure, String)> {
        open(
            &self.shared,
            &self.target,
            &self.request,
            Some(begun),
            &self.meter,
            attempts,
        )
        .await
    }

    /// Copies the bytes of a stream that can't be resumed.
    async fn copy_bytes(&mut self, opened: OpenStream) -> CopyEnd {
        let OpenStream {
            in_flight,
            connection,
            headers,
            mut body,
            ..
        } = opened;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.sender.closed() => return CopyEnd::CallerLeft,
                () = tokio::time::sleep_until(self.deadline.into()) => {
                    return CopyEnd::Broken("the deadline of the request has passed".to_owned());
                }
            };
            match frame {
                None => {
                    in_flight.finish(Outcome::Neutral);
                    if let Some(max_idle) = idle_timeout(&headers) {
                        self.shared.pool.put(connection, max_idle);
                    }
                    return CopyEnd::Complete;
                }
                Some(Err(error)) => {
                    return self.end_failed(&connection, in_flight, error.to_string());
                }
                Some(Ok(frame)) => {
                    self.shared
                        .links
                        .record_heard(&connection, self.shared.now());
                    if let Ok(bytes) = frame.into_data() {
                        self.record_event();
                        if let Err(end) = self.send_bytes(bytes).await {
                            return end;
                        }
                    }
                }
            }
        }
    }

    /// Copies whole events, so that the stream can resume after the last of them.
    async fn copy_events(&mut self, opened: OpenStream) -> CopyEnd {
        let OpenStream {
            server,
            in_flight,
            connection,
            headers,
            mut body,
            ..
        } = opened;
        self.is_software_checked = false;
        let mut events = EventDecoder::default();
        let mut watchdog = Watchdog::new(self.route.target_latency, self.shared.now());
        loop {
            let event_deadline = self.deadline.min(watchdog.deadline());
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.sender.closed() => return CopyEnd::CallerLeft,
                () = tokio::time::sleep_until(event_deadline.into()) => {
                    let reason = "timed out waiting for an event".to_owned();
                    return self.end_failed(&connection, in_flight, reason);
                }
            };
            let bytes = match frame {
                None if events.has_partial_event() => {
                    in_flight.finish(Outcome::Failed);
                    return CopyEnd::Broken(
                        "the stream ended in the middle of an event".to_owned(),
                    );
                }
                None => {
                    in_flight.finish(Outcome::Neutral);
                    if let Some(max_idle) = idle_timeout(&headers) {
                        self.shared.pool.put(connection, max_idle);
                    }
                    return CopyEnd::Complete;
                }
                Some(Err(error)) => {
                    return self.end_failed(&connection, in_flight, error.to_string());
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
            };
            self.shared
                .links
                .record_heard(&connection, self.shared.now());
            events.push(&bytes);
            match self.send_events(&mut events, &mut watchdog, &server).await {
                Ok(()) => {}
                Err(CopyEnd::Broken(reason)) => {
                    in_flight.finish(Outcome::Failed);
                    return CopyEnd::Broken(reason);
                }
                Err(other) => return other,
            }
        }
    }

    /// Records that the connection of a stream failed.
    fn end_failed(&self, connection: &Connection, in_flight: InFlight, reason: String) -> CopyEnd {
        match self.shared.links.blames_server(connection) {
            true => {
                in_flight.finish(Outcome::Failed);
                CopyEnd::Broken(reason)
            }
            false => CopyEnd::LinkLost(reason),
        }
    }

    /// Sends all complete events to the caller, except those that it already has. They come
    /// from `server`.
    async fn send_events(
        &mut self,
        events: &mut EventDecoder,
        watchdog: &mut Watchdog,
        server: &Server,
    ) -> Result<(), CopyEnd> {
        while let Some((block, number)) = events
            .next_raw_event()
            .map_err(|error| CopyEnd::Broken(error.to_string()))?
        {
            watchdog.record_event(self.shared.now());
            self.record_event();
            if number <= self.last_event {
                continue;
            }
            if number != self.last_event + 1 {
                return Err(CopyEnd::Broken("an event number is missing".to_owned()));
            }
            self.check_software(server)?;
            self.record_origin(&server.software).await;
            self.send_bytes(block).await?;
            self.last_event = number;
        }
        Ok(())
    }

    /// Records that the present server has sent an event.
    fn record_event(&mut self) {
        self.meter.record_event();
        if !std::mem::replace(&mut self.has_event, true)
            && let Some(fingerprint) = &self.request.fingerprint
        {
            suspect::record_answer(&self.shared, fingerprint);
        }
    }

    /// Checks before the first event of a server that the host list still names the software version
    /// for which the server was chosen. It may have started again under its identity; a change that is
    /// listed only after the first event is not noticed.
    fn check_software(&mut self, server: &Server) -> Result<(), CopyEnd> {
        if std::mem::replace(&mut self.is_software_checked, true) {
            return Ok(());
        }
        let balancer = self.shared.balancer();
        match balancer.get(&server.id) {
            Some(listed) if listed.software != server.software => Err(CopyEnd::Broken(
                "the server has another software version now".to_owned(),
            )),
            _ => Ok(()),
        }
    }

    /// Records what began the stream before the first event is sent, so that the stream goes on at the
    /// same software version here or at another node.
    async fn record_origin(&mut self, software: &Name) {
        if self.is_recorded {
            return;
        }
        self.is_recorded = true;
        let software = self.target.software.get_or_insert_with(|| software.clone());
        let (id, origin) = match &self.take_up {
            Some(take_up) => (take_up.id.clone(), take_up.origin.clone()),
            None => {
                let origin = Origin {
                    service: self.target.service.clone(),
                    software: software.clone(),
                };
                (Name::from(&*self.request.id), origin)
            }
        };
        // The record of a stream that was taken up has holders; more copies need not delay it.
        let waits_for_copies = self.take_up.is_none();
        resume::record(
            &self.shared,
            &self.route,
            &self.request,
            id,
            origin,
            waits_for_copies,
        )
        .await;
    }

    /// Sends bytes of the response to the caller, as [`Copier::send`] does.
    async fn send_bytes(&self, bytes: Bytes) -> Result<(), CopyEnd> {
        let size = u32::try_from(bytes.len()).unwrap_or(QUEUE_BYTES);
        let room = Arc::clone(&self.queue_bytes).acquire_many_owned(size.min(QUEUE_BYTES));
        let permit = tokio::select! {
            permit = tokio::time::timeout_at(self.deadline.into(), room) => permit,
            () = self.sender.closed() => return Err(CopyEnd::CallerLeft),
        };
        match permit {
            Ok(Ok(permit)) => self.send(Part::Bytes(bytes, permit)).await,
            // The semaphore is never closed.
            Ok(Err(_)) => Err(CopyEnd::CallerLeft),
            Err(_) => Err(CopyEnd::CallerStalled),
        }
    }

    /// Sends a part of the response to the caller. A caller that does not read is waited for until the deadline of its
    /// request.
    async fn send(&self, part: Part) -> Result<(), CopyEnd> {
        let sending = self.sender.send(part);
        match tokio::time::timeout_at(self.deadline.into(), sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(CopyEnd::CallerLeft),
            Err(_) => Err(CopyEnd::CallerStalled),
        }
    }

    /// Ends the caller's stream as complete.
    async fn finish(&self, server: &Name) {
        let outcome = match self.send(Part::End).await {
            Ok(()) => "answered",
            Err(CopyEnd::CallerStalled) => "caller_stalled",
            Err(_) => "caller_left",
        };
        self.record_end(server, outcome, "");
    }

    /// Logs and counts the end of the stream.
    fn record_end(&self, server: &Name, outcome: &'static str, reason: &str) {
        Metrics::count(&self.shared.metrics.requests, outcome);
        spdlog::info!("stream ended", kv: {
            request = &*self.request.id,
            route = self.route.name.as_str(),
            server = server.as_str(),
            outcome,
            after = self.last_event,
            reason,
        });
    }
}
