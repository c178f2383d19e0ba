//! Calls to the platform's API for duties, which the leader performs. Whether a call may be sent is decided in
//! [`shallotroute_fleet::duty`].

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::{Either, Full};
use prometheus_client::metrics::counter::Counter;
use shallotroute_adapter::cloud::{self, Scale, Usage};
use shallotroute_fleet::{
    duty::{CallEnd, Holder, Permit, Refusal, Timing},
    usage::Tally,
};
use shallotroute_settings::site::{Duties, Duty, SiteSettings as Settings};
use shallotroute_types::{clock::Clock, fence::Fence, node::Id};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

use crate::{
    generate::idle_timeout,
    metric::{DutyLabel, Metrics},
    pool::{Connection, Failure, Pool, RequestBody, UNACKNOWLEDGED_TIMEOUT},
    presence::Lease,
};

/// The timeout for connecting to the platform's API.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout of a call from its first byte.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How much longer than a call's timeout the lease has to last. Covers a pause of the process between the check and
/// the first byte; hosts are paused for 0.3 s before others must not rely on them.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// How much longer than an abandoned call may take the first call of a new holder waits at least.
const SETTLING_MARGIN: Duration = Duration::from_millis(500);

/// The share of the platform's rate that is used. Calls that are sent evenly arrive less evenly.
const RATE_SHARE: f64 = 0.8;

/// The lowest rate of calls, in calls per second, so that a rate of zero leaves a finite interval.
const MIN_RATE: f64 = 0.1;

/// The maximum size of the body of a response, which is not used.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The number of calls that the dump shows.
const LOGGED_CALLS: usize = 16;

/// A call of a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Request {
    /// Reports the usage of a window.
    Usage(Tally),
    /// Sets a number of servers.
    Scale(Scale),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// The platform has carried out the call.
    Accepted,
    /// No servers are available there at present, or the platform has seen a higher token. Which one it is decides a
    /// read of the leadership, and calls are refused until then.
    Unavailable,
    /// The platform has seen a higher token, and this node steps down.
    Fenced,
    /// The platform has not carried out the call.
    NotRun {
        /// After which time it wants the next call, if it says so.
        retry_after: Option<Duration>,
    },
    /// The platform does not understand the call.
    Invalid(StatusCode),
    /// The call may be carried out, now or later.
    Unknown(String),
    /// No byte was sent, because this node may not call now.
    Refused(Refusal),
    /// No byte was sent, because the platform can't be reached.
    Unreachable(String),
}

/// A call that has ended, for the dump.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) duty: &'static str,
    /// What the call was about.
    pub(crate) subject: String,
    pub(crate) token: Fence,
    pub(crate) outcome: &'static str,
    /// When it ended, since boot.
    pub(crate) at: Duration,
}

/// The leadership under which calls are sent.
struct Tenure {
    lease: watch::Receiver<Option<Lease>>,
    /// The lease to which the leadership is bound.
    lease_id: Option<u64>,
}

struct State {
    holder: Holder,
    tenure: Option<Tenure>,
    /// The last calls, oldest first.
    entries: VecDeque<Entry>,
}

/// Performs the calls of duties while this node leads.
pub(crate) struct Caller {
    node: Id,
    address: SocketAddr,
    kinds: BTreeSet<Duty>,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    pool: Arc<Pool>,
    state: Mutex<State>,
}

impl Request {
    fn duty(&self) -> Duty {
        match self {
            Self::Usage(_) => Duty::Usage,
            Self::Scale(_) => Duty::Scale,
        }
    }

    /// Returns what the call is about, for logs.
    fn subject(&self) -> String {
        match self {
            Self::Usage(tally) => format!("window {}", tally.window),
            Self::Scale(scale) => {
                let kind = match scale.is_spot {
                    true => "spot",
                    false => "on demand",
                };
                format!(
                    "{} {kind} of {} in {}",
                    scale.servers, scale.service, scale.zone
                )
            }
        }
    }

    fn build(&self, holder: &str, token: Fence) -> http::Request<RequestBody> {
        let request = match self {
            Self::Usage(tally) => {
                let usage = Usage {
                    window: tally.window,
                    counts: &tally.counts,
                };
                cloud::usage_request(usage, holder, token)
            }
            Self::Scale(scale) => cloud::scale_request(scale, holder, token),
        };
        request.map(|body| Either::Left(Full::new(Bytes::from(body))))
    }
}

impl Reply {
    /// Returns the outcome for metrics and logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Unavailable => "unavailable",
            Self::Fenced => "fenced",
            Self::NotRun { .. } => "not_run",
            Self::Invalid(_) => "invalid",
            Self::Unknown(_) => "unknown",
            Self::Refused(_) => "refused",
            Self::Unreachable(_) => "unreachable",
        }
    }

    /// Returns why the call failed, for logs.
    fn reason(&self) -> String {
        match self {
            Self::Accepted | Self::Unavailable | Self::Fenced | Self::NotRun { .. } => {
                String::new()
            }
            Self::Invalid(status) => status.to_string(),
            Self::Unknown(reason) | Self::Unreachable(reason) => reason.clone(),
            Self::Refused(refusal) => refusal.to_string(),
        }
    }

    fn end(&self) -> CallEnd {
        match self {
            Self::Accepted
            | Self::NotRun { .. }
            | Self::Invalid(_)
            | Self::Refused(_)
            | Self::Unreachable(_) => CallEnd::Settled,
            Self::Unavailable => CallEnd::Doubtful,
            Self::Fenced => CallEnd::Fenced,
            Self::Unknown(_) => CallEnd::Unanswered,
        }
    }
}

impl Caller {
    /// Creates the caller of a node; `None` if the deployment has no duties.
    pub(crate) fn new(
        settings: &Settings,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
    ) -> Option<Self> {
        let Duties {
            address,
            kinds,
            calls_per_second,
            ..
        } = settings.duties.clone()?;
        let rate = (calls_per_second * RATE_SHARE).max(MIN_RATE);
        let timing = Timing {
            settling: settings.lease.max(UNACKNOWLEDGED_TIMEOUT + SETTLING_MARGIN),
            call_timeout: CALL_TIMEOUT,
            abandoned: UNACKNOWLEDGED_TIMEOUT,
            margin: LEASE_MARGIN,
            interval: Duration::from_secs_f64(1.0 / rate),
        };
        Some(Self {
            node: settings.node.id.clone(),
            address,
            kinds,
            clock,
            metrics,
            // The metric counts only connections to backend servers.
            pool: Pool::new(CONNECT_TIMEOUT, Counter::default()),
            state: Mutex::new(State {
                holder: Holder::new(timing),
                tenure: None,
                entries: VecDeque::new(),
            }),
        })
    }

    /// Returns whether the deployment has a duty.
    pub(crate) fn performs(&self, duty: Duty) -> bool {
        self.kinds.contains(&duty)
    }

    /// Records that this node leads with a fencing number, for as long as a lease lasts.
    pub(crate) fn gain(
        &self,
        token: Fence,
        lease: watch::Receiver<Option<Lease>>,
        lease_id: Option<u64>,
    ) {
        let mut state = self.lock();
        state.holder.gain(token, self.clock.boot_time());
        state.tenure = Some(Tenure { lease, lease_id });
    }

    /// Records that this node does not lead.
    pub(crate) fn lose(&self) {
        let mut state = self.lock();
        state.holder.lose();
        state.tenure = None;
    }

    /// Sets whether this node is about to step down, so that no further call is sent.
    pub(crate) fn set_resigning(&self, is_resigning: bool) {
        self.lock().holder.set_resigning(is_resigning);
    }

    /// Ends the use of a token, before this node steps down.
    pub(crate) fn retire(&self, token: Fence) {
        self.lock().holder.retire(token);
    }

    /// Returns whether no call of this node can arrive any more.
    pub(crate) fn can_step_down(&self) -> bool {
        let now = self.clock.boot_time();
        self.lock().holder.can_step_down(now)
    }

    /// Returns whether the token must not be used any more, so that this node has to step down.
    pub(crate) fn is_fenced(&self) -> bool {
        self.lock().holder.is_fenced()
    }

    /// Returns the call after which the leadership has to be read before the next one.
    pub(crate) fn doubted(&self) -> Option<Permit> {
        self.lock().holder.doubted()
    }

    /// Records what a linearizable read of the leadership after [`Caller::doubted`] has shown.
    pub(crate) fn resolve_doubt(&self, permit: Permit, is_highest: bool) {
        self.lock().holder.resolve_doubt(permit, is_highest);
    }

    /// Returns the token; `None` if this node does not lead.
    pub(crate) fn token(&self) -> Option<Fence> {
        self.lock().holder.token()
    }

    /// Closes the idle connection when it has expired.
    pub(crate) fn close_expired(&self) {
        self.pool.close_expired();
    }

    /// Returns the address of the platform's API.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the last calls, oldest first.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.lock().entries.iter().cloned().collect()
    }

    /// Makes one call if this node may. Neither waits until it may nor tries again.
    pub(crate) async fn call(&self, request: &Request) -> Reply {
        let (permit, reply) = match self.connect().await {
            Ok(connection) => self.send(connection, request).await,
            Err(reply) => (None, reply),
        };
        self.record(request, permit, &reply);
        reply
    }

    /// Opens a connection, unless no call may be sent now.
    async fn connect(&self) -> Result<Connection, Reply> {
        match self.lock().holder.next_call() {
            Ok(at) if at > self.clock.boot_time() => {
                return Err(Reply::Refused(Refusal::NotBefore(at)));
            }
            Ok(_) => {}
            Err(refusal) => return Err(Reply::Refused(refusal)),
        }
        let connection = self.pool.get(self.address).await;
        connection.map_err(|failure| Reply::Unreachable(failure.reason().to_owned()))
    }

    /// Sends a call on an open connection, so that only the write follows the check of the lease.
    async fn send(&self, mut connection: Connection, request: &Request) -> (Option<Permit>, Reply) {
        let permit = match self.permit() {
            Ok(permit) => permit,
            Err(refusal) => {
                self.pool.put(connection, CALL_TIMEOUT);
                return (None, Reply::Refused(refusal));
            }
        };
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut message = request.build(&self.node, permit.token);
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            message.headers_mut().insert(header::HOST, host);
        }
        let reply = match timeout_at(deadline, connection.send(message)).await {
            Err(_) => Reply::Unknown("no answer in time".to_owned()),
            Ok(Err(failure @ (Failure::Unsent(_) | Failure::NoWay(_) | Failure::Denied(_)))) => {
                Reply::Unreachable(failure.reason().to_owned())
            }
            Ok(Err(Failure::NoResponse { reason, .. } | Failure::LinkLost(reason))) => {
                Reply::Unknown(reason)
            }
            Ok(Ok(response)) => {
                let (parts, body) = response.into_parts();
                let body = shallotroute_http::body::read(body, MAX_RESPONSE_BYTES);
                // The head says all; without the whole body only the connection is of no further use.
                if let Ok(Ok(_)) = timeout_at(deadline, body).await
                    && let Some(max_idle) = idle_timeout(&parts.headers)
                {
                    self.pool.put(connection, max_idle);
                }
                reply(request.duty(), parts.status, &parts.headers)
            }
        };
        (Some(permit), reply)
    }

    /// Checks that a call may be sent now.
    fn permit(&self) -> Result<Permit, Refusal> {
        let mut state = self.lock();
        let lease = state.tenure.as_ref().and_then(|tenure| {
            let lease = (*tenure.lease.borrow())?;
            (Some(lease.id) == tenure.lease_id).then_some(lease.valid_until)
        });
        state.holder.permit(lease, self.clock.boot_time())
    }

    fn record(&self, request: &Request, permit: Option<Permit>, reply: &Reply) {
        let outcome = reply.name();
        let duty = duty_name(request.duty());
        let label = DutyLabel { duty, outcome };
        self.metrics.duty_calls.get_or_create(&label).inc();
        let Some(permit) = permit else {
            spdlog::debug!("call for a duty not sent", kv: {
                duty, subject = request.subject(), outcome, reason = reply.reason(),
            });
            return;
        };
        let entry = Entry {
            duty,
            subject: request.subject(),
            token: permit.token,
            outcome,
            at: self.clock.boot_time(),
        };
        spdlog::info!("call for a duty ended", kv: {
            duty, subject = entry.subject.as_str(), fence = permit.token.0, outcome,
            reason = reply.reason(),
        });
        let mut state = self.lock();
        state.holder.end(permit, reply.end());
        state.entries.push_back(entry);
        if state.entries.len() > LOGGED_CALLS {
            state.entries.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the name of a duty for metrics and logs.
fn duty_name(duty: Duty) -> &'static str {
    match duty {
        Duty::Usage => "usage",
        Duty::Scale => "scale",
    }
}

fn reply(duty: Duty, status: StatusCode, headers: &HeaderMap) -> Reply {
    match (cloud::parse_reply(status, headers), duty) {
        (cloud::Reply::Accepted, _) => Reply::Accepted,
        (cloud::Reply::Conflict, Duty::Usage) => Reply::Fenced,
        (cloud::Reply::Conflict, Duty::Scale) => Reply::Unavailable,
        (cloud::Reply::NotRun { retry_after }, _) => Reply::NotRun { retry_after },
        (cloud::Reply::Invalid(status), _) => Reply::Invalid(status),
        (cloud::Reply::Unknown(status), _) => Reply::Unknown(status.to_string()),
    }
}
