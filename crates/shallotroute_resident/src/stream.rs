//! Forwards streams of events, and continues a broken one at another server where the route allows
//! it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallotroute_adapter::answer::{self, Events, Head};
use shallotroute_fleet::{
    attempt::{Miss, Plan, Step, Tries, Verdict},
    route::{Route, Table},
    server::Outcome,
};
use shallotroute_http::body::{self, Body};
use shallotroute_types::name::Name;
use tokio::sync::mpsc;

use crate::{
    forward::{self, BackendRequest},
    generate::{drained, keep_time},
    ingress::{failure_response, server_response},
    metric::Metrics,
    pool::{Connection, Failure},
    site::{InFlight, Site},
};

/// A resumable stream without an event for this long goes on at another server: half of the gap
/// after which callers leave.
const MAX_GAP: Duration = Duration::from_secs(1);

/// The events that wait for a slow caller.
const QUEUE_EVENTS: usize = 64;

/// An open stream at a server.
struct Opened {
    server: Name,
    running: InFlight,
    connection: Connection,
    status: StatusCode,
    headers: HeaderMap,
    head: Head,
    body: Incoming,
}

/// Why a stream could not be opened.
enum Closed {
    NotRun(String),
    Unknown(String),
}

/// How the copying of a stream ended.
enum Copied {
    /// It came to its end.
    Whole,
    /// It broke off or made no event for too long.
    Broken(String),
    /// Its caller left.
    Left,
}

/// Forwards a request whose answer is a stream.
pub(crate) async fn forward(
    site: &Arc<Site>,
    table: &Table,
    route: &Arc<Route>,
    exchange: BackendRequest,
    resumable: bool,
) -> Response<Body> {
    let begun = site.now();
    let plan = Plan {
        repeatable: false,
        attempts: route.attempts,
        begun,
        objective: route.objective,
        deadline: begun + exchange.limit,
    };
    let mut tries = Tries::new(plan);
    let opened = match open(site, route, &exchange, &mut tries, plan.deadline).await {
        Ok(opened) => opened,
        Err((verdict, reason)) => {
            let (response, outcome) = failure_response(verdict);
            Metrics::count(&site.metrics.requests, outcome);
            spdlog::info!("stream not opened", kv: {
                request = &*exchange.request,
                route = route.name.as_str(),
                configuration = table.version(),
                outcome,
                reason = reason.as_str(),
            });
            return response;
        }
    };
    let (status, headers) = (opened.status, opened.headers.clone());
    let (sender, receiver) = mpsc::channel(QUEUE_EVENTS);
    let copy = Copy {
        site: Arc::clone(site),
        route: Arc::clone(route),
        after: answer::resumed_after(&exchange.headers).unwrap_or(0),
        exchange,
        resumable,
        deadline: plan.deadline,
        sender,
    };
    tokio::spawn(copy.run(opened, tries));
    let chunks = futures::stream::unfold(receiver, |mut receiver| async move {
        let chunk: Result<Bytes, body::Error> = receiver.recv().await?;
        Some((chunk, receiver))
    });
    server_response(status, headers, body::stream(chunks))
}

/// Opens a stream at a server, at another one if the first did not run the request.
async fn open(
    site: &Arc<Site>,
    route: &Route,
    exchange: &BackendRequest,
    tries: &mut Tries,
    deadline: Instant,
) -> Result<Opened, (Verdict, String)> {
    let mut reason = String::new();
    loop {
        match tries.step(site.now()) {
            Step::Give(verdict) => return Err((verdict, reason)),
            Step::Wait(until) => tokio::time::sleep_until(until.into()).await,
            Step::Send => {
                let Some(server) =
                    forward::choose_server(site, route, &exchange.request, tries.servers())
                else {
                    "no server takes requests".clone_into(&mut reason);
                    tries.no_server(site.now());
                    continue;
                };
                tries.sent(&server.id);
                let running = site.start_request(&server.id);
                let attempt = attempt(site, &server, exchange, deadline, running);
                let miss = match tokio::time::timeout_at(deadline.into(), attempt).await {
                    Ok(Ok(opened)) => return Ok(opened),
                    Ok(Err(Closed::NotRun(why))) => {
                        reason = why;
                        Miss::NotRun
                    }
                    Ok(Err(Closed::Unknown(why))) => {
                        reason = why;
                        Miss::Unknown
                    }
                    Err(_) => {
                        "the server did not answer in time".clone_into(&mut reason);
                        Miss::Unknown
                    }
                };
                tries.missed(miss, site.now());
            }
        }
    }
}

async fn attempt(
    site: &Site,
    server: &shallotroute_fleet::server::Server,
    exchange: &BackendRequest,
    deadline: Instant,
    running: InFlight,
) -> Result<Opened, Closed> {
    let fail = |running: InFlight, closed: Closed| {
        running.finish(match closed {
            Closed::NotRun(_) => Outcome::Refused,
            Closed::Unknown(_) => Outcome::Failed,
        });
        Err(closed)
    };
    let mut connection = match site.pool.get(server.address).await {
        Ok(connection) => connection,
        Err(failure) => return fail(running, Closed::NotRun(failure.reason().to_owned())),
    };
    let request = match forward::build_request(site, server, exchange, deadline) {
        Ok(request) => request,
        Err(error) => return fail(running, Closed::NotRun(error.to_string())),
    };
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(Failure::Unsent(reason)) => return fail(running, Closed::NotRun(reason)),
        Err(Failure::NoResponse(reason)) => return fail(running, Closed::Unknown(reason)),
    };
    let (parts, body) = response.into_parts();
    let head = answer::read_head(parts.status, &parts.headers, &exchange.request);
    if head.not_run {
        if drained(body).await
            && let Some(period) = keep_time(&parts.headers)
        {
            site.pool.put(connection, period);
        }
        let reason = format!("the server answered {}", parts.status);
        return fail(running, Closed::NotRun(reason));
    }
    let own = head.own && !head.encoded && (head.stamp.is_some() || !parts.status.is_success());
    if !own {
        let reason = "the answer is not the server's own".to_owned();
        return fail(running, Closed::Unknown(reason));
    }
    Ok(Opened {
        server: server.id.clone(),
        running,
        connection,
        status: parts.status,
        headers: parts.headers,
        head,
        body,
    })
}

/// Copies one stream to its caller.
struct Copy {
    site: Arc<Site>,
    route: Arc<Route>,
    exchange: BackendRequest,
    resumable: bool,
    deadline: Instant,
    /// The last event that the caller has.
    after: u64,
    sender: mpsc::Sender<Result<Bytes, body::Error>>,
}

impl Copy {
    async fn run(mut self, opened: Opened, mut tries: Tries) {
        let mut opened = opened;
        loop {
            let server = opened.server.clone();
            let resumable =
                self.resumable && opened.status.is_success() && opened.head.stamp.is_some();
            let copied = match resumable {
                true => self.copy_events(opened).await,
                false => self.copy_bytes(opened).await,
            };
            let reason = match copied {
                Copied::Whole => return self.log(&server, "answered", ""),
                Copied::Left => return self.log(&server, "caller_left", ""),
                Copied::Broken(reason) => reason,
            };
            if !resumable {
                return self.give_up(&server, reason).await;
            }
            spdlog::info!("stream goes on elsewhere", kv: {
                request = &*self.exchange.request,
                server = server.as_str(),
                after = self.after,
                reason = reason.as_str(),
            });
            if self.after > 0 {
                answer::resume(&mut self.exchange.headers, self.after);
            }
            tries.missed(Miss::NotRun, self.site.now());
            let next = open(
                &self.site,
                &self.route,
                &self.exchange,
                &mut tries,
                self.deadline,
            );
            opened = match next.await {
                Ok(next) => next,
                Err((_, reason)) => return self.give_up(&server, reason).await,
            };
        }
    }

    /// Copies a stream as it is; it can't go on elsewhere.
    async fn copy_bytes(&mut self, opened: Opened) -> Copied {
        let Opened {
            running,
            connection,
            headers,
            mut body,
            ..
        } = opened;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.sender.closed() => return Copied::Left,
                () = tokio::time::sleep_until(self.deadline.into()) => {
                    return Copied::Broken("its time is over".to_owned());
                }
            };
            match frame {
                None => {
                    running.finish(Outcome::Dropped);
                    if let Some(period) = keep_time(&headers) {
                        self.site.pool.put(connection, period);
                    }
                    return Copied::Whole;
                }
                Some(Err(error)) => {
                    running.finish(Outcome::Failed);
                    return Copied::Broken(error.to_string());
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data()
                        && self.sender.send(Ok(bytes)).await.is_err()
                    {
                        return Copied::Left;
                    }
                }
            }
        }
    }

    /// Copies whole events, so that the stream can go on after the last one.
    async fn copy_events(&mut self, opened: Opened) -> Copied {
        let Opened {
            running,
            connection,
            headers,
            mut body,
            ..
        } = opened;
        let mut events = Events::default();
        loop {
            let gap = self.deadline.min(self.site.now() + MAX_GAP);
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.sender.closed() => return Copied::Left,
                () = tokio::time::sleep_until(gap.into()) => {
                    running.finish(Outcome::Failed);
                    return Copied::Broken("no event came in time".to_owned());
                }
            };
            let bytes = match frame {
                None if events.partial() => {
                    running.finish(Outcome::Failed);
                    return Copied::Broken("it ended in the middle of an event".to_owned());
                }
                None => {
                    running.finish(Outcome::Dropped);
                    if let Some(period) = keep_time(&headers) {
                        self.site.pool.put(connection, period);
                    }
                    return Copied::Whole;
                }
                Some(Err(error)) => {
                    running.finish(Outcome::Failed);
                    return Copied::Broken(error.to_string());
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
            };
            events.push(&bytes);
            match self.pass_on(&mut events).await {
                Ok(()) => {}
                Err(Copied::Broken(reason)) => {
                    running.finish(Outcome::Failed);
                    return Copied::Broken(reason);
                }
                Err(other) => return other,
            }
        }
    }

    /// Sends the whole events that have come in to the caller.
    async fn pass_on(&mut self, events: &mut Events) -> Result<(), Copied> {
        while let Some((block, number)) = events
            .next_block()
            .map_err(|error| Copied::Broken(error.to_string()))?
        {
            if number <= self.after {
                continue;
            }
            if number != self.after + 1 {
                return Err(Copied::Broken("an event is missing".to_owned()));
            }
            if self.sender.send(Ok(block)).await.is_err() {
                return Err(Copied::Left);
            }
            self.after = number;
        }
        Ok(())
    }

    /// Breaks the caller's stream off, so that it does not look complete.
    async fn give_up(&self, server: &Name, reason: String) {
        self.log(server, "broken", &reason);
        // The caller may have left already.
        let _ = self.sender.send(Err(reason.into())).await;
    }

    fn log(&self, server: &Name, outcome: &'static str, reason: &str) {
        Metrics::count(&self.site.metrics.requests, outcome);
        spdlog::info!("stream", kv: {
            request = &*self.exchange.request,
            route = self.route.name.as_str(),
            server = server.as_str(),
            outcome,
            after = self.after,
            reason,
        });
    }
}
