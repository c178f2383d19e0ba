//! A node on the users' platform, which serves callers and trainers and stores all persistent data
//! in the platform's store. The entry point is [`run`].

mod access;
mod admission;
mod answer;
mod capacity;
mod checkpoint;
mod claim;
mod drain;
mod dump;
mod duty;
pub mod error;
mod explain;
mod follow;
mod forward;
mod freshness;
mod generate;
mod ingress;
mod job;
mod leader;
mod ledger;
mod limit;
mod link;
mod log;
mod member;
mod metric;
mod object;
mod peer;
mod pool;
mod presence;
mod relay;
mod response;
mod resume;
mod runner;
mod scaler;
mod score;
mod shared;
mod store;
mod stream;
mod suspect;
mod trainer;
mod usage;
mod view;
mod write_body;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use error_stack::ResultExt;
use shallotroute_http::{
    memory::{Bounds, Memory},
    server,
};
use shallotroute_peer::{
    service::Kind,
    stream::{Service, Services, serve_within},
};
use shallotroute_settings::site::{Listen, Role, SiteSettings as Settings};
use shallotroute_types::clock::System;
use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::JoinHandle,
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    error::{Error, Result},
    ingress::{Ingress, Readiness},
    metric::{Endpoint, Metrics},
    peer::Acceptor,
    presence::Lease,
    shared::{Inbox, Shared},
};

/// How long the callers' listener and idle connections stay open after SIGTERM: the load balancer
/// opens new connections for up to two seconds after the first failed readiness check.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2500);

/// How long before the end of the grace period the process exits.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// The interval between two checks for open requests while the node drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The interval at which expired idle connections are closed and missing servers are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which the number of calls to the store is logged.
const CALL_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The signals that a node handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// Runs a node until SIGTERM or SIGINT, then drains it. `file` is the settings file, which SIGHUP
/// validates again.
///
/// # Errors
///
/// Returns an error if the log can't be set up, a signal handler can't be installed, or a listener
/// can't bind its address.
pub async fn run(settings: Settings, file: PathBuf) -> Result<()> {
    log::init(settings.log_level)?;
    let mut signals = Signals::new()?;
    spdlog::info!("starting node", kv: {
        node = settings.node.id.as_str(),
        zone = settings.node.zone.as_str(),
        role = format!("{:?}", settings.role),
        version = env!("CARGO_PKG_VERSION"),
    });
    match settings.role {
        Role::Entry => run_entry(settings, &file, &mut signals).await?,
        Role::Standby => run_standby(&settings, &file, &mut signals).await?,
    }
    spdlog::info!("node stopped");
    log::finish().await;
    Ok(())
}

/// Runs a standby node, which serves only metrics and stores nothing on the host's disk.
async fn run_standby(settings: &Settings, file: &Path, signals: &mut Signals) -> Result<()> {
    let endpoint = Arc::new(Endpoint {
        metrics: Arc::new(Metrics::new()),
        shared: None,
    });
    let listener = listen("metrics", settings.listen.metrics).await?;
    let shutdown = CancellationToken::new();
    let memory = Memory::new(Bounds::new(settings.memory_mb, settings.descriptors));
    tokio::spawn(server::serve_within(
        listener,
        endpoint,
        shutdown,
        memory.operators(),
    ));
    signals.wait_for_stop(file).await;
    Ok(())
}

/// The running tasks of a node that serves callers.
struct Node {
    shared: Arc<Shared>,
    /// The number of callers' requests in progress.
    open_requests: Arc<AtomicUsize>,
    /// Cancelled to close the callers' listener and idle connections.
    callers_shutdown: CancellationToken,
    /// Cancelled to close the other listeners and to stop renewing the node's lease.
    shutdown: CancellationToken,
    /// The listener for callers; `None` if the settings have no address for it.
    callers: Option<JoinHandle<()>>,
    /// The task that campaigns for leadership and does the leader's work.
    leader: JoinHandle<()>,
    /// The node's own lease; `None` while the node is not registered.
    lease: watch::Receiver<Option<Lease>>,
}

async fn run_entry(settings: Settings, file: &Path, signals: &mut Signals) -> Result<()> {
    let grace = settings.grace;
    let node = Node::start(settings).await?;
    signals.wait_for_stop(file).await;
    node.drain(grace).await;
    Ok(())
}

impl Node {
    async fn start(settings: Settings) -> Result<Self> {
        let listen_at = settings.listen;
        let (shared, inbox) = Shared::new(settings, Arc::new(System));
        let open_requests = Arc::new(AtomicUsize::new(0));
        let callers_shutdown = CancellationToken::new();
        let shutdown = CancellationToken::new();
        let peers = listen("other nodes", listen_at.peers).await?;
        let acceptor: Arc<dyn Service> = Arc::new(Acceptor(Arc::clone(&shared)));
        let relay: Arc<dyn Service> = Arc::new(relay::Acceptor {
            shared: Arc::clone(&shared),
            open_requests: Arc::clone(&open_requests),
        });
        let services: Services = [(Kind::Jobs, acceptor), (Kind::Relay, relay)]
            .into_iter()
            .collect();
        let memory = Arc::clone(&shared.memory);
        let stop = shutdown.clone();
        tokio::spawn(serve_within(
            peers,
            Arc::new(services),
            stop,
            memory.nodes(),
        ));
        serve_operators(&shared, listen_at, &shutdown).await?;
        let mut callers = None;
        if let Some(address) = listen_at.callers {
            let listener = listen("callers", address).await?;
            let handler = Arc::new(Ingress {
                shared: Arc::clone(&shared),
                open_requests: Arc::clone(&open_requests),
            });
            let drain = callers_shutdown.clone();
            let serving = server::serve_within(listener, handler, drain, memory.clients());
            callers = Some(tokio::spawn(serving));
        }
        let (lease, lease_receiver) = watch::channel(None);
        tokio::spawn(presence::run(Arc::clone(&shared), lease, shutdown.clone()));
        tokio::spawn(link::publish(Arc::clone(&shared), lease_receiver.clone()));
        spawn_tasks(&shared, inbox);
        let leader = tokio::spawn(leader::run(Arc::clone(&shared), lease_receiver.clone()));
        Ok(Self {
            shared,
            open_requests,
            callers_shutdown,
            shutdown,
            callers,
            leader,
            lease: lease_receiver,
        })
    }

    /// Drains the node: announces that it is leaving, hands over its jobs, and finishes open
    /// requests, within the grace period.
    async fn drain(self, grace: Duration) {
        let started_at = Instant::now();
        let deadline = started_at + grace.saturating_sub(GRACE_MARGIN);
        spdlog::info!("starting to drain", kv: { open = self.open_requests.load(Ordering::Relaxed) });
        self.shared.drain.cancel();
        // A hand-over may take most of the grace period; a request that is taken then would be cut at its end.
        let closing = async {
            tokio::time::sleep_until(started_at + LOAD_BALANCER_DELAY.min(grace / 2)).await;
            self.callers_shutdown.cancel();
        };
        let lease = *self.lease.borrow();
        let handing_over = async {
            if let Some(lease) = lease
                && let Err(error) = presence::write_entry(&self.shared, lease.id).await
            {
                spdlog::warn!("failed to announce that this node is leaving", kv: { error = error.to_string() });
            }
            if let Err(error) = self.leader.await {
                spdlog::error!("leader election task failed", kv: { error = error.to_string() });
            }
            drain::jobs(&self.shared).await;
        };
        tokio::join!(closing, handing_over);
        let has_work =
            || self.open_requests.load(Ordering::Relaxed) > 0 || self.shared.jobs.has_endings();
        while has_work() && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        if let Some(callers) = self.callers {
            let closed = tokio::time::timeout_at(deadline, callers).await;
            spdlog::info!("closed callers' connections", kv: { in_time = closed.is_ok() });
        }
        usage::flush(&self.shared).await;
        self.shutdown.cancel();
        let lease = *self.lease.borrow();
        presence::deregister(&self.shared, lease).await;
    }
}

/// Starts the tasks that run until the process exits.
fn spawn_tasks(shared: &Arc<Shared>, inbox: Inbox) {
    tokio::spawn(follow::run(Arc::clone(shared)));
    tokio::spawn(freshness::run(Arc::clone(shared)));
    tokio::spawn(remove_expired(Arc::clone(shared)));
    tokio::spawn(capacity::run(Arc::clone(shared)));
    tokio::spawn(resume::run(Arc::clone(shared)));
    tokio::spawn(link::run(Arc::clone(shared)));
    tokio::spawn(limit::notice::run(Arc::clone(shared)));
    tokio::spawn(limit::run(Arc::clone(shared), inbox.limits));
    tokio::spawn(suspect::run(Arc::clone(shared), inbox.suspects));
    usage::start(shared);
}

/// Serves the metrics and the readiness check.
async fn serve_operators(
    shared: &Arc<Shared>,
    listen_at: Listen,
    shutdown: &CancellationToken,
) -> Result<()> {
    let memory = &shared.memory;
    let metrics = listen("metrics", listen_at.metrics).await?;
    let endpoint = Arc::new(Endpoint {
        metrics: Arc::clone(&shared.metrics),
        shared: Some(Arc::clone(shared)),
    });
    tokio::spawn(server::serve_within(
        metrics,
        endpoint,
        shutdown.clone(),
        memory.operators(),
    ));
    if let Some(address) = listen_at.readiness {
        let readiness = listen("the readiness check", address).await?;
        tokio::spawn(server::serve_within(
            readiness,
            Arc::new(Readiness(Arc::clone(shared))),
            shutdown.clone(),
            memory.operators(),
        ));
    }
    Ok(())
}

/// Closes expired idle connections and removes the servers that stay missing from the host list,
/// until the process exits.
async fn remove_expired(shared: Arc<Shared>) {
    let mut next_log = Instant::now() + CALL_LOG_INTERVAL;
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        if Instant::now() >= next_log {
            next_log += CALL_LOG_INTERVAL;
            shared.store.log_calls();
        }
        shared.pool.close_expired();
        if let Some(duties) = &shared.duties {
            duties.close_expired();
        }
        let now = shared.now();
        shared.balancer().remove_missing(now);
    }
}

impl Signals {
    fn new() -> Result<Self> {
        let open = |kind| signal(kind).change_context(Error::Signal);
        Ok(Self {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            reload: open(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP only validates the settings file, because all settings
    /// are addresses and identities that take effect at the next start.
    async fn wait_for_stop(&mut self, file: &Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => validate_settings(file),
            }
        }
    }
}

fn validate_settings(file: &Path) {
    match shallotroute_settings::site::NodeSettings::read(file) {
        Ok(_) => spdlog::info!("settings are valid", kv: { file = file.display().to_string() }),
        Err(findings) => spdlog::error!("settings are invalid", kv: {
            findings = findings.to_string(),
        }),
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .change_context(Error::Listen { purpose, address })
}
