//! Sends callers' requests to backend servers and returns whole answers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use shallotroute_adapter::answer::{self, Head};
use shallotroute_fleet::{
    attempt::{Miss, Plan, Step, Tries, Verdict},
    route::{Kind, Route},
    server::{Need, Outcome, Server},
};
use shallotroute_http::body;
use shallotroute_types::name::Name;
use tokio::task::JoinSet;

use crate::{
    generate::{drained, keep_time},
    metric::Metrics,
    pool::{Connection, Failure},
    site::Site,
};

/// The longest answer that is held in memory, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// A send that may be repeated is given up after this many times its route's objective.
const SEND_OBJECTIVES: u32 = 2;

/// A request on its way to backend servers.
#[derive(Clone, Debug)]
pub(crate) struct BackendRequest {
    /// Its identity.
    pub(crate) request: Arc<str>,
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// How long its sender waits.
    pub(crate) limit: Duration,
}

/// What came of one send.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The server's whole answer.
    Answer {
        status: StatusCode,
        headers: HeaderMap,
        head: Head,
        body: Bytes,
    },
    /// The server did not run the request.
    NotRun(String),
    /// The server could not be reached; it did not run the request.
    Unreachable(String),
    /// The request may have run.
    Unknown(String),
}

/// What a caller gets.
#[derive(Debug)]
pub(crate) enum ForwardOutcome {
    /// A server's whole answer.
    Answer {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        server: Name,
    },
    /// No answer.
    None {
        verdict: Verdict,
        reason: String,
        /// The servers to which the request was sent.
        servers: Vec<Name>,
    },
}

/// Sends a request to one server and waits for its answer.
pub(crate) async fn send_once(
    site: &Arc<Site>,
    route: &Route,
    exchange: &BackendRequest,
) -> AttemptOutcome {
    let Some(server) = choose_server(site, route, &exchange.request, &[]) else {
        return AttemptOutcome::NotRun("no server takes requests".to_owned());
    };
    let limit = exchange.limit.min(route.objective * SEND_OBJECTIVES);
    let deadline = site.now() + limit;
    send(Arc::clone(site), server, exchange.clone(), deadline)
        .await
        .1
}

/// Sends a request until a server answers it or the caller has to be told that none does.
pub(crate) async fn forward(
    site: &Arc<Site>,
    route: &Route,
    exchange: BackendRequest,
) -> ForwardOutcome {
    let begun = site.now();
    let plan = Plan {
        repeatable: route.kind == Kind::Idempotent,
        attempts: route.attempts,
        begun,
        objective: route.objective,
        deadline: begun + exchange.limit,
    };
    let mut forwarding = Forwarding {
        site,
        route,
        exchange,
        plan,
        tries: Tries::new(plan),
        sends: JoinSet::new(),
        reason: String::new(),
        last_answer: None,
    };
    loop {
        match forwarding.tries.step(site.now()) {
            Step::Send => forwarding.send(),
            Step::Wait(until) => {
                if let Some(answer) = forwarding.wait(until).await {
                    return answer;
                }
            }
            Step::Give(verdict) => return forwarding.give(verdict),
        }
    }
}

/// The sends of one request.
struct Forwarding<'a> {
    site: &'a Arc<Site>,
    route: &'a Route,
    exchange: BackendRequest,
    plan: Plan,
    tries: Tries,
    sends: JoinSet<(Name, AttemptOutcome)>,
    /// Why the last send had no answer.
    reason: String,
    /// A server's failure, which the caller gets if no other server does better.
    last_answer: Option<ForwardOutcome>,
}

impl Forwarding<'_> {
    /// Sends the request to another server.
    fn send(&mut self) {
        let chosen = choose_server(
            self.site,
            self.route,
            &self.exchange.request,
            self.tries.servers(),
        );
        match chosen {
            Some(server) => {
                self.tries.sent(&server.id);
                let exchange = self.exchange.clone();
                let send = send(Arc::clone(self.site), server, exchange, self.plan.deadline);
                self.sends.spawn(send);
            }
            None => {
                "no server takes requests".clone_into(&mut self.reason);
                self.tries.no_server(self.site.now());
            }
        }
    }

    /// Waits for the end of a send; returns the answer that the caller gets.
    async fn wait(&mut self, until: Instant) -> Option<ForwardOutcome> {
        let ended = tokio::time::timeout_at(until.into(), self.sends.join_next()).await;
        let Ok(Some(Ok((server, reply)))) = ended else {
            if self.sends.is_empty() {
                tokio::time::sleep_until(until.into()).await;
            }
            return None;
        };
        let (miss, reason) = match reply {
            AttemptOutcome::NotRun(reason) => (Miss::NotRun, reason),
            AttemptOutcome::Unreachable(reason) => (Miss::Unreachable, reason),
            AttemptOutcome::Unknown(reason) => (Miss::Unknown, reason),
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
                if !status.is_server_error() || !self.plan.repeatable {
                    // The other sends may finish; their servers are at work already.
                    self.sends.detach_all();
                    return Some(answer);
                }
                self.last_answer = Some(answer);
                (Miss::Unknown, format!("the server answered {status}"))
            }
        };
        self.reason = reason;
        self.tries.missed(miss, self.site.now());
        None
    }

    fn give(self, verdict: Verdict) -> ForwardOutcome {
        let reason = match self.sends.len() {
            0 => self.reason,
            open => format!("{open} sends without an answer; {}", self.reason),
        };
        self.last_answer.unwrap_or(ForwardOutcome::None {
            verdict,
            reason,
            servers: self.tries.servers().to_vec(),
        })
    }
}

/// Chooses a server for a request; servers that it was sent to come last.
pub(crate) fn choose_server(
    site: &Site,
    route: &Route,
    request: &str,
    avoid: &[Name],
) -> Option<Server> {
    let need = Need {
        service: route.service(request),
        model: None,
        avoid,
        cached: None,
        within_slots: false,
    };
    site.roster().choose(&need, site.now()).cloned()
}

/// Sends a request to a server. The future may be dropped at any time, which ends the request there.
async fn send(
    site: Arc<Site>,
    server: Server,
    exchange: BackendRequest,
    deadline: Instant,
) -> (Name, AttemptOutcome) {
    let running = site.start_request(&server.id);
    let begun = site.now();
    let attempt = attempt(&site, &server, &exchange, deadline);
    let reply = match tokio::time::timeout_at(deadline.into(), attempt).await {
        Ok(reply) => reply,
        Err(_) => AttemptOutcome::Unknown(format!("{} did not answer in time", server.id)),
    };
    let taken = site.now().saturating_duration_since(begun);
    let (outcome, name) = match &reply {
        AttemptOutcome::Answer { status, .. } if status.is_success() => {
            (Outcome::Answered(taken), "answered")
        }
        AttemptOutcome::Answer { .. } => (Outcome::Dropped, "error"),
        AttemptOutcome::NotRun(_) => (Outcome::Refused, "not_run"),
        AttemptOutcome::Unreachable(_) => (Outcome::Failed, "unreachable"),
        AttemptOutcome::Unknown(_) => (Outcome::Failed, "unknown"),
    };
    running.finish(outcome);
    Metrics::count(&site.metrics.attempts, name);
    if let AttemptOutcome::NotRun(reason)
    | AttemptOutcome::Unreachable(reason)
    | AttemptOutcome::Unknown(reason) = &reply
    {
        spdlog::info!("send without an answer", kv: {
            request = &*exchange.request,
            server = server.id.as_str(),
            outcome = name,
            reason = reason.as_str(),
            taken_ms = taken.as_millis(),
        });
    }
    (server.id, reply)
}

async fn attempt(
    site: &Site,
    server: &Server,
    exchange: &BackendRequest,
    deadline: Instant,
) -> AttemptOutcome {
    let mut connection = match site.pool.get(server.address).await {
        Ok(connection) => connection,
        Err(failure) => return AttemptOutcome::Unreachable(failure.reason().to_owned()),
    };
    let reused = connection.reused;
    let mut result = match build_request(site, server, exchange, deadline) {
        Ok(request) => connection.send(request).await,
        Err(error) => return AttemptOutcome::NotRun(error.to_string()),
    };
    if let Err(Failure::Unsent(_)) = &result
        && reused
    {
        connection = match site.pool.open(server.address).await {
            Ok(connection) => connection,
            Err(failure) => return AttemptOutcome::Unreachable(failure.reason().to_owned()),
        };
        result = match build_request(site, server, exchange, deadline) {
            Ok(request) => connection.send(request).await,
            Err(error) => return AttemptOutcome::NotRun(error.to_string()),
        };
    }
    match result {
        Ok(response) => receive(site, connection, &exchange.request, response).await,
        Err(Failure::Unsent(reason)) => AttemptOutcome::Unreachable(reason),
        Err(Failure::NoResponse(reason)) => AttemptOutcome::Unknown(reason),
    }
}

/// Makes the request for a server with the time that is left now.
pub(crate) fn build_request(
    site: &Site,
    server: &Server,
    exchange: &BackendRequest,
    deadline: Instant,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(exchange.method.clone())
        .uri(&exchange.target)
        .body(Full::new(exchange.body.clone()))?;
    let mut headers = exchange.headers.clone();
    let left = deadline.saturating_duration_since(site.now());
    answer::address(&mut headers, &exchange.request, &server.id, left);
    *request.headers_mut() = headers;
    Ok(request)
}

async fn receive(
    site: &Site,
    connection: Connection,
    request: &str,
    response: http::Response<hyper::body::Incoming>,
) -> AttemptOutcome {
    let (parts, content) = response.into_parts();
    let head = answer::read_head(parts.status, &parts.headers, request);
    let keep = keep_time(&parts.headers);
    if head.not_run {
        if drained(content).await
            && let Some(period) = keep
        {
            site.pool.put(connection, period);
        }
        return AttemptOutcome::NotRun(format!("the server answered {}", parts.status));
    }
    if !head.own {
        return AttemptOutcome::Unknown("the answer belongs to another request".to_owned());
    }
    if parts.status.is_success() && (head.stamp.is_none() || head.encoded) {
        return AttemptOutcome::Unknown("the answer is not a server's own".to_owned());
    }
    let body = match body::read(content, MAX_ANSWER_BYTES).await {
        Ok(body) => body,
        Err(error) => return AttemptOutcome::Unknown(format!("the answer broke off: {error}")),
    };
    if let Some(period) = keep {
        site.pool.put(connection, period);
    }
    AttemptOutcome::Answer {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
    }
}
