//! A node on the users' platform: it serves callers and trainers, and keeps all that lasts in the
//! platform's store. Start with [`run`].

mod claim;
mod drain;
mod dump;
mod duty;
pub mod error;
mod follow;
mod forward;
mod generate;
mod ingress;
mod job;
mod ledger;
mod log;
mod member;
mod metric;
mod peer;
mod pool;
mod presence;
mod response;
mod runner;
mod score;
mod site;
mod spare;
mod store;
mod stream;
mod trainer;

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
use shallotroute_http::server;
use shallotroute_peer::{
    service::Kind,
    stream::{Service, Services, serve},
};
use shallotroute_settings::site::{Role, Site as Settings};
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
    follow::Prefix,
    ingress::{Entry, Readiness},
    metric::{Metrics, Page},
    peer::Acceptor,
    presence::Held,
    site::Site,
};

/// How long after SIGTERM idle connections stay open: the balancer sends new ones for two seconds
/// after the first answer that is not ready.
const BALANCER_TIME: Duration = Duration::from_millis(2500);

/// How long before the end of the grace period the process ends.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// The pause between two looks at requests in progress while the process stops.
const STOP_PAUSE: Duration = Duration::from_millis(50);

/// The pause between two looks at what expires.
const EXPIRY_PAUSE: Duration = Duration::from_millis(500);

/// The signals that a node heeds.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// Runs a node until SIGTERM or SIGINT.
///
/// # Errors
///
/// A listener's address can't be used, or the signals can't be received.
pub async fn run(settings: Settings, file: PathBuf) -> Result<()> {
    log::init(settings.log_level)?;
    let mut signals = Signals::new()?;
    spdlog::info!("node starts", kv: {
        node = settings.node.id.as_str(),
        zone = settings.node.zone.as_str(),
        role = format!("{:?}", settings.role),
        version = env!("CARGO_PKG_VERSION"),
    });
    match settings.role {
        Role::Entry => run_entry(settings, &file, &mut signals).await?,
        Role::Standby => run_standby(&settings, &file, &mut signals).await?,
    }
    spdlog::info!("node stops");
    log::finish().await;
    Ok(())
}

/// Waits for the signal to stop; the host's disk is not used.
async fn run_standby(settings: &Settings, file: &Path, signals: &mut Signals) -> Result<()> {
    let metrics = Arc::new(Page {
        metrics: Arc::new(Metrics::new()),
        site: None,
    });
    let listener = listen("metrics", settings.listen.metrics).await?;
    let stop = CancellationToken::new();
    tokio::spawn(server::serve(listener, metrics, stop));
    signals.wait(file).await;
    Ok(())
}

/// The running parts of a node that serves callers.
struct Node {
    site: Arc<Site>,
    /// The requests that are being answered.
    open: Arc<AtomicUsize>,
    /// Cancelled when callers' idle connections are closed.
    closing: CancellationToken,
    /// Cancelled when the other listeners are closed.
    stop: CancellationToken,
    callers: Option<JoinHandle<()>>,
    duty: JoinHandle<()>,
    held: watch::Receiver<Option<Held>>,
}

async fn run_entry(settings: Settings, file: &Path, signals: &mut Signals) -> Result<()> {
    let grace = settings.grace;
    let node = Node::start(settings).await?;
    signals.wait(file).await;
    node.stop(grace).await;
    Ok(())
}

impl Node {
    async fn start(settings: Settings) -> Result<Self> {
        let listen_at = settings.listen;
        let site = Site::new(settings, Arc::new(System));
        let open = Arc::new(AtomicUsize::new(0));
        let closing = CancellationToken::new();
        let stop = CancellationToken::new();
        let peers = listen("other nodes", listen_at.peers).await?;
        let acceptor: Arc<dyn Service> = Arc::new(Acceptor(Arc::clone(&site)));
        let services: Services = [(Kind::Jobs, acceptor)].into_iter().collect();
        tokio::spawn(serve(peers, Arc::new(services), stop.clone()));
        let metrics = listen("metrics", listen_at.metrics).await?;
        let page = Arc::new(Page {
            metrics: Arc::clone(&site.metrics),
            site: Some(Arc::clone(&site)),
        });
        tokio::spawn(server::serve(metrics, page, stop.clone()));
        if let Some(address) = listen_at.readiness {
            let readiness = listen("the readiness check", address).await?;
            let handler = Arc::new(Readiness(Arc::clone(&site)));
            tokio::spawn(server::serve(readiness, handler, stop.clone()));
        }
        let mut callers = None;
        if let Some(address) = listen_at.callers {
            let listener = listen("callers", address).await?;
            let handler = Arc::new(Entry {
                site: Arc::clone(&site),
                open: Arc::clone(&open),
            });
            let served = server::serve(listener, handler, closing.clone());
            callers = Some(tokio::spawn(served));
        }
        let (held, held_receiver) = watch::channel(None);
        for prefix in [Prefix::Operators, Prefix::Servers, Prefix::Members] {
            tokio::spawn(follow::run(Arc::clone(&site), prefix));
        }
        tokio::spawn(presence::run(Arc::clone(&site), held, stop.clone()));
        tokio::spawn(expire(Arc::clone(&site)));
        tokio::spawn(claim::resume_own(Arc::clone(&site)));
        let duty = tokio::spawn(duty::run(Arc::clone(&site), held_receiver.clone()));
        Ok(Self {
            site,
            open,
            closing,
            stop,
            callers,
            duty,
            held: held_receiver,
        })
    }

    /// Stops taking new work, hands over what is in progress, and finishes open requests.
    async fn stop(self, grace: Duration) {
        let begun = Instant::now();
        let end = begun + grace.saturating_sub(GRACE_MARGIN);
        spdlog::info!("node drains", kv: { open = self.open.load(Ordering::Relaxed) });
        self.site.drain.cancel();
        let held = *self.held.borrow();
        if let Some(held) = held
            && let Err(error) = presence::write_entry(&self.site, held.lease).await
        {
            spdlog::warn!("leaving not announced", kv: { error = error.to_string() });
        }
        if let Err(error) = self.duty.await {
            spdlog::error!("the duty ended abnormally", kv: { error = error.to_string() });
        }
        drain::jobs(&self.site).await;
        tokio::time::sleep_until(begun + BALANCER_TIME.min(grace / 2)).await;
        self.closing.cancel();
        while self.open.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            tokio::time::sleep(STOP_PAUSE).await;
        }
        if let Some(callers) = self.callers {
            let closed = tokio::time::timeout_at(end, callers).await;
            spdlog::info!("connections closed", kv: { in_time = closed.is_ok() });
        }
        self.stop.cancel();
        let held = *self.held.borrow();
        presence::leave(&self.site, held).await;
    }
}

/// Drops what has been kept for too long.
async fn expire(site: Arc<Site>) {
    loop {
        tokio::time::sleep(EXPIRY_PAUSE).await;
        site.pool.close_expired();
        let now = site.now();
        site.roster().expire(now);
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

    /// Waits for the signal to stop. On SIGHUP the settings are checked again; they take effect at
    /// the next start, because all of them are addresses and identities.
    async fn wait(&mut self, file: &Path) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => check_settings(file),
            }
        }
    }
}

fn check_settings(file: &Path) {
    match shallotroute_settings::site::Program::read(file) {
        Ok(_) => spdlog::info!("settings read again", kv: { file = file.display().to_string() }),
        Err(findings) => spdlog::error!("settings have errors", kv: {
            findings = findings.to_string(),
        }),
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .change_context(Error::Listen { purpose, address })
}
