//! A simulated host list, which shows changes after a configurable lag.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use shallotroute_platform::host::{Host, State};
use shallotroute_types::name::Name;

use crate::{
    message,
    server::{Handler, Reply, Server},
};

/// A host list that shows each change only after the lag that was set when the change was made.
#[derive(Debug)]
pub struct List {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug, Default)]
struct Shared {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    lag: Duration,
    /// The hosts after all changes.
    current: Vec<Host>,
    /// The hosts that a reader sees.
    visible: Vec<Host>,
    /// The changes that are not visible yet, each with its due time and the hosts after it.
    pending: VecDeque<(Instant, Vec<Host>)>,
    reads: u64,
}

impl List {
    /// Starts a list with hosts that are visible at once.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(hosts: Vec<Host>) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        {
            let mut inner = shared.lock();
            inner.current.clone_from(&hosts);
            inner.visible = hosts;
        }
        let server = Server::start(shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address at which the list is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the lag of later changes, which is zero at first.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lock().lag = lag;
    }

    /// Adds a host or changes its state.
    pub fn set(&self, name: &str, state: State) {
        self.change(|hosts| {
            hosts.retain(|host| host.name.as_str() != name);
            hosts.push(Host {
                name: Name::from(name),
                state,
            });
        });
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        self.change(|hosts| hosts.retain(|host| host.name.as_str() != name));
    }

    /// Returns the number of times that the list was read.
    pub fn reads(&self) -> u64 {
        self.shared.lock().reads
    }

    /// Stops the server with all its connections, or starts it again on the same address.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound again.
    pub async fn set_down(&self, is_down: bool) -> io::Result<()> {
        if is_down {
            self.server.stop();
            return Ok(());
        }
        self.server.restart(self.shared.clone()).await
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<Host>)) {
        let mut inner = self.shared.lock();
        edit(&mut inner.current);
        let due = Instant::now() + inner.lag;
        let hosts = inner.current.clone();
        inner.pending.push_back((due, hosts));
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    fn read(&self) -> Vec<Host> {
        let mut inner = self.lock();
        inner.reads += 1;
        let now = Instant::now();
        while inner.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, hosts)) = inner.pending.pop_front() {
                inner.visible = hosts;
            }
        }
        inner.visible.clone()
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            match request.uri().path() {
                "/hosts" => Ok(message::json(&self.read())),
                _ => message::not_found(),
            }
        })
    }
}
