//! The stand-in of the host list, which lags.

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
    reply,
    server::{Handler, Reply, Server},
};

/// A host list that shows each change after its lag.
#[derive(Debug)]
pub struct List {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug, Default)]
struct Shared {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    lag: Duration,
    truth: Vec<Host>,
    shown: Vec<Host>,
    changes: VecDeque<(Instant, Vec<Host>)>,
    reads: u64,
}

impl List {
    /// Starts the list with hosts that are visible at once.
    ///
    /// # Errors
    ///
    /// No address can be bound.
    pub async fn start(hosts: Vec<Host>) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        {
            let mut table = shared.lock();
            table.truth.clone_from(&hosts);
            table.shown = hosts;
        }
        let server = Server::start(shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the lag of later changes.
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

    /// Returns how often the list was read.
    pub fn reads(&self) -> u64 {
        self.shared.lock().reads
    }

    /// Stops or starts answering.
    ///
    /// # Errors
    ///
    /// The address can't be bound again.
    pub async fn set_down(&self, down: bool) -> io::Result<()> {
        if down {
            self.server.stop();
            return Ok(());
        }
        self.server.restart(self.shared.clone()).await
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<Host>)) {
        let mut table = self.shared.lock();
        edit(&mut table.truth);
        let due = Instant::now() + table.lag;
        let hosts = table.truth.clone();
        table.changes.push_back((due, hosts));
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the lock panics")
    }

    fn read(&self) -> Vec<Host> {
        let mut table = self.lock();
        table.reads += 1;
        let now = Instant::now();
        while table.changes.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, hosts)) = table.changes.pop_front() {
                table.shown = hosts;
            }
        }
        table.shown.clone()
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            match request.uri().path() {
                "/hosts" => Ok(reply::json(&self.read())),
                _ => reply::not_found(),
            }
        })
    }
}
