//! Forwards requests to backend servers and returns their whole responses.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{Either, Full};
use shallotroute_adapter::backend::{self, Head};
use shallotroute_fleet::{
    access::{Denial, Grant},
    admission::governor::End,
    limit::Class,
    retry::{AttemptFailure, Attempts, Decision, Policy, RequestFailure},
    route::{Kind, Route},
    server::{Outcome, Requirements, Server},
    suspect::Fingerprint,
};
use shallotroute_http::{body, memory};
use shallotroute_types::name::Name;
use tokio::task::JoinSet;

use crate::{
    access::Outgoing,
    admission, answer,
    generate::{discard_response, idle_timeout},
    limit::{self, Unavailable},
    link::Sender,
    metric::Metrics,
    pool::{Connection, Failure},
    shared::Shared,
    suspect,
    usage::{self, Meter},
};

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// The timeout of [`send_once`], in multiples of the route's target latency.
const SEND_ONCE_TIMEOUT_FACTOR: u32 = 2;

/// A request for backend servers, in a form that can be sent more than once.
#[derive(Clone, Debug)]
pub(crate) struct BackendRequest {
    /// The identity that its sender gave it.
    pub(crate) id: Arc<str>,
    /// What is the same when a caller sends it again; `None` if no caller has sent it.
    pub(crate) fingerprint: Option<Fingerprint>,
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    /// The decision that it may be sent. It is checked again at each send.
    pub(crate) grant: Grant,
    pub(crate) body: Bytes,
    /// How long the sender waits for a response.
    pub(crate) timeout: Duration,
}

/// What becomes of the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Content {
    /// It is held in memory, in the budget of the caller's request.
    Kept,
    /// It is read to its end, and is empty in the outcome. No budget bounds the requests that have no caller.
    Discarded,
}

/// The outcome of sending a request to one server.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The server's whole response.
    Answer {
        status: StatusCode,
        headers: HeaderMap,
        head: Head,
        body: Bytes,
    },
    /// The server answered that it did not run the request, or the request could not be built.
    NotRun(String),
    /// The server could not be reached and did not run the request.
    Unreachable(String),
    /// Neither this node nor another one reaches servers, so that the request did not run.
    NoWay(String),
    /// The caller may not have the request sent any more, so that it did not run.
    Denied(Denial),
    /// There is no usable response, and the server may have run the request.
    MayHaveRun(String),
    /// The connection broke before the whole response, and the server may have run the request.
    Broken(String),
    /// This node lost its links before the whole response, and the server may have run the request.
    LinkLost(String),
}

/// The outcome of forwarding a request, as the caller gets it.
#[derive(Debug)]
pub(crate) enum ForwardOutcome {
    /// The whole response of a server.
    Answer {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        server: Name,
    },
    /// No server gave a usable response.
    NoAnswer {
        failure: RequestFailure,
        /// Why the last attempt failed, for the log.
        reason: String,
        /// The servers to which the request was sent.
        servers: Vec<Name>,
    },
}

/// Sends a request to one server, without retries at another. The body of its response is discarded.
///
/// # Errors
///
/// Returns why no server can be sent the request.
pub(crate) async fn send_once(
    shared: &Arc<Shared>,
    route: &Route,
    request: &BackendRequest,
) -> Result<AttemptOutcome, Unavailable> {
    let service = route.service_for(&request.id);
    let requirements = requirements(service, None, &[], Class::Batch);
    let server = limit::acquire_server(shared, &requirements).await?;
    let timeout = request
        .timeout
        .min(route.target_latency * SEND_ONCE_TIMEOUT_FACTOR);
    let deadline = shared.now() + timeout;
    // The sender sends it again when there is no answer.
    let is_idempotent = true;
    let request = request.clone();
    let shared = Arc::clone(shared);
    let attempt = run_attempt(
        shared,
        server,
        request,
        deadline,
        is_idempotent,
        Meter::none(),
        Content::Discarded,
    );
    Ok(attempt.await.1)
}

/// Returns the workspace whose usage a caller's request counts for.
pub(crate) fn workspace(request: &BackendRequest) -> Option<&Name> {
    request.grant.workspace()
}

/// Forwards a request, with retries and hedged attempts as the route allows, until a server answers
/// or the attempts are exhausted.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    route: &Route,
    request: BackendRequest,
) -> ForwardOutcome {
    let started_at = shared.now();
    let policy = retry_policy(route, &request, started_at);
    let service = route.service_for(&request.id).clone();
    let governors = &shared.governors;
    let attempts =
        match governors.begin(&service, request.grant.priority(route), policy, started_at) {
            Ok(attempts) => attempts,
            Err(failure) => {
                return ForwardOutcome::NoAnswer {
                    failure,
                    reason: admission::REFUSAL_REASON.to_owned(),
                    servers: Vec::new(),
                };
            }
        };
    let mut forwarding = Forwarding {
        shared,
        route,
        meter: usage::meter(shared, workspace(&request)),
        request,
        policy,
        attempts,
        pending: JoinSet::new(),
        reason: String::new(),
        last_error_response: None,
    };
    loop {
        suspect::judge(
            shared,
            &forwarding.request,
            &service,
            &mut forwarding.attempts,
        );
        match forwarding.attempts.decide(shared.now()) {
            Decision::Send => {
                if let Some(outcome) = forwarding.start_attempt().await {
                    return outcome;
                }
            }
            Decision::WaitUntil(until) => {
                if forwarding.pending.is_empty() {
                    governors.record_wait(&service, until, shared.now());
                }
                if let Some(outcome) = forwarding.wait_for_attempt(until).await {
                    return outcome;
                }
            }
            Decision::Fail(failure) => {
                governors.record_failure(&service, &forwarding.attempts, failure, shared.now());
                return forwarding.conclude(failure);
            }
        }
    }
}

fn retry_policy(route: &Route, request: &BackendRequest, started_at: Instant) -> Policy {
    Policy {
        is_idempotent: route.kind == Kind::Idempotent,
        max_attempts: route.max_attempts,
        started_at,
        target_latency: route.target_latency,
        deadline: started_at + request.timeout,
    }
}

/// The state of forwarding one request.
struct Forwarding<'a> {
    shared: &'a Arc<Shared>,
    route: &'a Route,
    request: BackendRequest,
    /// Counts the request once over all its attempts.
    meter: Meter,
    policy: Policy,
    /// The attempts so far, which decide what happens next.
    attempts: Attempts,
    /// The attempts in progress.
    pending: JoinSet<(Name, AttemptOutcome)>,
    /// Why the last attempt failed.
    reason: String,
    /// The last error response, which the caller gets if no other server succeeds.
    last_error_response: Option<ForwardOutcome>,
}

impl Forwarding<'_> {
    /// Starts an attempt at another server. Returns the outcome for the caller if an attempt in progress
    /// answers meanwhile, or `None` to go on.
    async fn start_attempt(&mut self) -> Option<ForwardOutcome> {
        let service = self.route.service_for(&self.request.id).clone();
        let avoid = self.attempts.servers().to_vec();
        let requirements = requirements(&service, None, &avoid, Class::Caller);
        let shared = self.shared;
        let is_repeat = self.attempts.is_repeat();
        if !shared
            .governors
            .may_send(&service, &self.attempts, shared.now())
        {
            self.attempts.record_denied(shared.now());
            return None;
        }
        let mut acquiring = std::pin::pin!(limit::acquire_server(shared, &requirements));
        let acquired = loop {
            tokio::select! {
                acquired = &mut acquiring => break acquired,
                Some(Ok(ended)) = self.pending.join_next() => {
                    if let Some(outcome) = self.end_attempt(ended) {
                        return Some(outcome);
                    }
                }
            }
        };
        match acquired {
            Ok(server) => self.spawn_attempt(server, service.clone(), is_repeat),
            Err(unavailable) => {
                unavailable.reason().clone_into(&mut self.reason);
                let now = shared.now();
                shared
                    .governors
                    .finish(&service, is_repeat, End::Unsent(None), now);
                record_unavailable(&mut self.attempts, unavailable, shared.now());
            }
        }
        None
    }

    /// Starts an attempt at a server, and tells the governor of its service how it ends.
    fn spawn_attempt(&mut self, server: Server, service: Name, is_repeat: bool) {
        self.attempts.record_attempt(&server.id);
        let Policy {
            deadline,
            is_idempotent,
            ..
        } = self.policy;
        let shared = Arc::clone(self.shared);
        let started_at = shared.now();
        let attempt = memory::for_request(run_attempt(
            Arc::clone(&shared),
            server,
            self.request.clone(),
            deadline,
            is_idempotent,
            self.meter.clone(),
            Content::Kept,
        ));
        self.pending.spawn(async move {
            let (server, outcome) = attempt.await;
            let now = shared.now();
            let elapsed = now.saturating_duration_since(started_at);
            let end = admission::end(&outcome, elapsed);
            shared.governors.finish(&service, is_repeat, end, now);
            (server, outcome)
        });
    }

    /// Waits until an attempt ends, at most until `deadline`. Returns the outcome for the caller,
    /// or `None` to go on.
    async fn wait_for_attempt(&mut self, deadline: Instant) -> Option<ForwardOutcome> {
        let ended = tokio::time::timeout_at(deadline.into(), self.pending.join_next()).await;
        let Ok(Some(Ok(ended))) = ended else {
            // `join_next` does not wait if no attempt is in progress.
            if self.pending.is_empty() {
                tokio::time::sleep_until(deadline.into()).await;
            }
            return None;
        };
        self.end_attempt(ended)
    }

    /// Records the end of an attempt. Returns the outcome for the caller, or `None` to go on.
    fn end_attempt(
        &mut self,
        (server, attempt_outcome): (Name, AttemptOutcome),
    ) -> Option<ForwardOutcome> {
        let (attempt_failure, reason) = match attempt_outcome {
            AttemptOutcome::NotRun(reason) => (AttemptFailure::NotRun, reason),
            AttemptOutcome::Unreachable(reason) => (AttemptFailure::Unreachable, reason),
            AttemptOutcome::MayHaveRun(reason) | AttemptOutcome::Broken(reason) => {
                (AttemptFailure::MayHaveRun, reason)
            }
            AttemptOutcome::NoWay(reason) => (AttemptFailure::NoWay, reason),
            AttemptOutcome::Denied(denial) => {
                denial.reason().clone_into(&mut self.reason);
                self.attempts.record_denial(denial);
                return None;
            }
            AttemptOutcome::LinkLost(reason) => {
                self.reason = reason;
                self.attempts.record_link_loss(&server);
                return None;
            }
            AttemptOutcome::Answer {
                status,
                headers,
                body,
                ..
            } => {
                let answer = ForwardOutcome::Answer {
                    status,
                    headers,
                    body,
                    server,
                };
                if !status.is_server_error() || !self.policy.is_idempotent {
                    // The other attempts may finish, since their servers are already working on
                    // them.
                    self.pending.detach_all();
                    return Some(answer);
                }
                self.last_error_response = Some(answer);
                (
                    AttemptFailure::MayHaveRun,
                    format!("the server answered {status}"),
                )
            }
        };
        self.reason = reason;
        self.attempts
            .record_failure(attempt_failure, self.shared.now());
        None
    }

    /// Returns the outcome for the caller: an error response of a server if there is one, otherwise
    /// the failure.
    fn conclude(self, failure: RequestFailure) -> ForwardOutcome {
        let reason = match self.pending.len() {
            0 => self.reason,
            count => format!("{count} attempts still pending; {}", self.reason),
        };
        self.last_error_response
            .unwrap_or(ForwardOutcome::NoAnswer {
                failure,
                reason,
                servers: self.attempts.servers().to_vec(),
            })
    }
}

/// Returns the requirements of a request without a model for a server of a service, with the version
/// `software` if one is required. Servers in `avoid` are not chosen.
pub(crate) fn requirements<'a>(
    service: &'a str,
    software: Option<&'a str>,
    avoid: &'a [Name],
    class: Class,
) -> Requirements<'a> {
    Requirements {
        service,
        model: None,
        software,
        avoid,
        cached_on: None,
        batch_rank: None,
        class,
    }
}

/// Records that no server can be sent an attempt.
pub(crate) fn record_unavailable(attempts: &mut Attempts, unavailable: Unavailable, now: Instant) {
    match unavailable {
        Unavailable::NoServer => attempts.record_no_server(now),
        Unavailable::Limited(wait) => attempts.record_limited(wait, now),
    }
}

/// Sends a request to a server and records the outcome. Dropping the future cancels the request.
async fn run_attempt(
    shared: Arc<Shared>,
    server: Server,
    request: BackendRequest,
    deadline: Instant,
    is_idempotent: bool,
    meter: Meter,
    content: Content,
) -> (Name, AttemptOutcome) {
    let in_flight = shared.start_request(&server.id, None);
    let started_at = shared.now();
    let attempt = meter.begin();
    let pending = exchange(&shared, &server, &request, deadline, is_idempotent, content);
    let pending = tokio::time::timeout_at(deadline.into(), pending);
    let attempt_outcome = match attempt.observe(pending).await {
        Ok(attempt_outcome) => attempt_outcome,
        Err(_) => AttemptOutcome::MayHaveRun(format!("{} did not answer in time", server.id)),
    };
    let elapsed = shared.now().saturating_duration_since(started_at);
    let (outcome, label) = match &attempt_outcome {
        AttemptOutcome::Answer { status, .. } if status.is_success() => {
            (Outcome::Succeeded(elapsed), "answered")
        }
        AttemptOutcome::Answer { .. } => (Outcome::Neutral, "error"),
        AttemptOutcome::NotRun(_) => (Outcome::Rejected, "not_run"),
        AttemptOutcome::Unreachable(_) => (Outcome::Failed, "unreachable"),
        AttemptOutcome::NoWay(_) => (Outcome::Rejected, "no_way"),
        AttemptOutcome::Denied(_) => (Outcome::Neutral, "denied"),
        AttemptOutcome::LinkLost(_) => (Outcome::Neutral, "link_lost"),
        AttemptOutcome::MayHaveRun(_) | AttemptOutcome::Broken(_) => (Outcome::Failed, "unknown"),
    };
    in_flight.finish(outcome);
    if let AttemptOutcome::NotRun(_) | AttemptOutcome::Unreachable(_) | AttemptOutcome::NoWay(_) =
        &attempt_outcome
    {
        attempt.dismiss();
    }
    if let Some(fingerprint) = &request.fingerprint {
        match &attempt_outcome {
            AttemptOutcome::Answer { .. } => suspect::record_answer(&shared, fingerprint),
            AttemptOutcome::Broken(_) => {
                suspect::record_break(&shared, fingerprint, &server).await;
            }
            _ => {}
        }
    }
    Metrics::count(&shared.metrics.attempts, label);
    if let AttemptOutcome::NotRun(reason)
    | AttemptOutcome::Unreachable(reason)
    | AttemptOutcome::NoWay(reason)
    | AttemptOutcome::MayHaveRun(reason)
    | AttemptOutcome::Broken(reason)
    | AttemptOutcome::LinkLost(reason) = &attempt_outcome
    {
        spdlog::info!("attempt failed", kv: {
            request = &*request.id,
            server = server.id.as_str(),
            outcome = label,
            reason = reason.as_str(),
            taken_ms = elapsed.as_millis(),
        });
    }
    (server.id, attempt_outcome)
}

/// Sends a request to a server and reads its response.
async fn exchange(
    shared: &Arc<Shared>,
    server: &Server,
    request: &BackendRequest,
    deadline: Instant,
    is_idempotent: bool,
    content: Content,
) -> AttemptOutcome {
    let sender = Sender::new(shared, server).with_idempotent(is_idempotent);
    let sent = sender.send(|| build_request(shared, server, request, deadline));
    match sent.await {
        Ok((connection, response)) => {
            read_response(
                shared,
                &server.id,
                connection,
                &request.id,
                response,
                content,
            )
            .await
        }
        Err(Failure::Unsent(reason)) => AttemptOutcome::Unreachable(reason),
        Err(Failure::NoResponse { reason, .. }) => AttemptOutcome::Broken(reason),
        Err(Failure::NoWay(reason)) => AttemptOutcome::NoWay(reason),
        Err(Failure::Denied(denial)) => AttemptOutcome::Denied(denial),
        Err(Failure::LinkLost(reason)) => AttemptOutcome::LinkLost(reason),
    }
}

/// Builds the HTTP request for a server, with the time that is left until `deadline` as its
/// timeout.
///
/// # Errors
///
/// Returns an error if the request's target is not a valid URI, or if the caller may not have it sent any more.
pub(crate) fn build_request(
    shared: &Shared,
    server: &Server,
    request: &BackendRequest,
    deadline: Instant,
) -> Result<Outgoing, Failure> {
    let grant = shared.recheck(&request.grant).map_err(Failure::Denied)?;
    let mut http_request = Request::builder()
        .method(request.method.clone())
        .uri(&request.target)
        .body(Either::Left(Full::new(request.body.clone())))?;
    let mut headers = request.headers.clone();
    let left = deadline.saturating_duration_since(shared.now());
    backend::set_attempt_headers(&mut headers, &request.id, &server.id, left);
    *http_request.headers_mut() = headers;
    Ok(Outgoing::new(http_request, &grant))
}

async fn read_response(
    shared: &Shared,
    server: &Name,
    connection: Connection,
    id: &str,
    response: http::Response<hyper::body::Incoming>,
    content: Content,
) -> AttemptOutcome {
    let (parts, incoming) = response.into_parts();
    let head = backend::parse_head(parts.status, &parts.headers, id);
    shared.record_head(server, &head);
    if head.is_rejected {
        discard_response(shared, connection, &parts.headers, incoming).await;
        return AttemptOutcome::NotRun(format!("the server answered {}", parts.status));
    }
    if let Some(flaw) = answer::flaw(parts.status, &head) {
        return AttemptOutcome::MayHaveRun(flaw);
    }
    let reading = async {
        match content {
            Content::Kept => body::read_response(incoming, MAX_RESPONSE_BYTES).await,
            Content::Discarded => {
                body::discard(incoming, MAX_RESPONSE_BYTES).await?;
                Ok(Bytes::new())
            }
        }
    };
    let body = match reading.await {
        Ok(body) => body,
        Err(error) => {
            let reason = format!("failed to read the response body: {error}");
            return match shared.links.blames_server(&connection) {
                true => AttemptOutcome::Broken(reason),
                false => AttemptOutcome::LinkLost(reason),
            };
        }
    };
    if let Some(max_idle) = idle_timeout(&parts.headers) {
        shared.pool.put(connection, max_idle);
    }
    AttemptOutcome::Answer {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
    }
}
