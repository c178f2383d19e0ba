//! Sends requests to backend servers over the node's own links or, while these are lost, through other nodes. Finds
//! out which of the two holds. The decisions are in [`shallotroute_fleet::link`].

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::{StreamExt, stream::FuturesUnordered};
use http::Response;
use hyper::body::Incoming;
use shallotroute_fleet::{
    link::{Check, Finding, Links, RECHECK_INTERVAL, Relays, SILENCE, State},
    server::Server,
};
use shallotroute_types::{name::Name, node::Id};
use tokio::{
    sync::{Mutex as AsyncMutex, watch},
    task::JoinHandle,
    time::timeout,
};

use crate::{
    access::Outgoing,
    metric::Metrics,
    peer::Peers,
    pool::{Connection, Endpoint, Failure},
    presence::{self, Lease},
    relay,
    shared::Shared,
};

/// How long a connection that tells whether a process has ended may take. A process that has crashed refuses it at
/// once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// How long a connection of another node's check may take. A node with a small share of a core may pause for a tenth
/// of a second.
const REMOTE_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The timeout of a call that asks another node whether it reaches servers: two connections in a row, and the call.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a connection may take before the links are checked; a packet to a server takes a few milliseconds.
const SLOW_CONNECT: Duration = Duration::from_millis(100);

/// How long the connection of a check is kept for the next request.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of servers that a check tries before other nodes are asked.
const CHECKED_SERVERS: usize = 2;

/// The number of other servers that have to accept connections when a node says that one does not.
const STEADY_WITNESSES: usize = 4;

/// The number of servers that have to be out of reach before the node gives up trying.
const MAX_CHECKED_SERVERS: usize = 8;

/// How often other nodes are asked whether they reach servers, each time some that were not asked before.
const MAX_ASK_ROUNDS: usize = 3;

/// A response whose body is still to be read, and the connection that it arrives on.
pub(crate) type Exchange = (Connection, Response<Incoming>);

/// What this node knows of its links, and its calls to other nodes about theirs.
pub(crate) struct Monitor {
    links: Mutex<Links>,
    relays: Mutex<Relays>,
    state: watch::Sender<State>,
    /// Held while the links are checked, so that requests that fail together share one check.
    checking: AsyncMutex<()>,
    /// Calls with a short timeout, whose failures must not close the connections of other calls.
    peers: Peers,
}

/// How a request is sent to a server.
#[derive(Clone, Copy)]
pub(crate) struct Sender<'a> {
    shared: &'a Arc<Shared>,
    server: &'a Server,
    /// Whether the request may run again elsewhere when the links are lost while it waits for its answer.
    is_idempotent: bool,
    /// Whether an idle connection may carry it.
    uses_idle: bool,
}

impl Monitor {
    /// Creates the state of a node whose links work.
    pub(crate) fn new() -> Self {
        Self {
            links: Mutex::default(),
            relays: Mutex::default(),
            state: watch::Sender::default(),
            checking: AsyncMutex::default(),
            peers: Peers::new(),
        }
    }

    /// Returns the state of the links.
    pub(crate) fn state(&self) -> State {
        *self.state.borrow()
    }

    /// Returns a receiver of the state.
    pub(crate) fn subscribe(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// Records that bytes arrived on a connection.
    pub(crate) fn record_heard(&self, connection: &Connection, now: Instant) {
        if connection.is_direct() {
            self.lock().record_heard(now);
        }
    }

    /// Returns whether the failure of a connection is the fault of its server, as far as this node can tell.
    pub(crate) fn blames_server(&self, connection: &Connection) -> bool {
        connection.is_direct() && self.lock().blames_server(connection.opened_at)
    }

    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn relays(&self) -> MutexGuard<'_, Relays> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a relay is of no use at present.
    pub(crate) fn record_relay_failure(&self, relay: &Id, reason: &str, now: Instant) {
        if self.relays().record_failure(relay, now) {
            spdlog::info!("another node relays no requests to servers", kv: {
                node = relay.as_str(), reason,
            });
        }
    }
}

impl<'a> Sender<'a> {
    /// Creates a sender of a request that may run once at most.
    pub(crate) fn new(shared: &'a Arc<Shared>, server: &'a Server) -> Self {
        Self {
            shared,
            server,
            is_idempotent: false,
            uses_idle: true,
        }
    }

    /// Sets whether the request may run again elsewhere.
    pub(crate) fn with_idempotent(self, is_idempotent: bool) -> Self {
        Self {
            is_idempotent,
            ..self
        }
    }

    /// Has the request sent on a new connection.
    pub(crate) fn with_new_connection(self) -> Self {
        Self {
            uses_idle: false,
            ..self
        }
    }

    /// Sends a request to the server, through another node if this one has lost its links. `build` builds the
    /// request with the time that is left.
    ///
    /// # Errors
    ///
    /// Returns how far the request got. If it was unsent or denied, it will not run.
    pub(crate) async fn send(
        &self,
        build: impl Fn() -> Result<Outgoing, Failure>,
    ) -> Result<Exchange, Failure> {
        let shared = self.shared;
        if shared.links.state() == State::Sound {
            match self.send_direct(&build).await {
                Err(Failure::Unsent(_)) if shared.links.state() != State::Sound => {}
                result => return result,
            }
        }
        if shared.links.lock().may_use_open_connections() {
            match self.send_on_idle(&build).await {
                Err(Failure::Unsent(_)) => {}
                result => return result,
            }
        }
        match shared.links.state() {
            State::Isolated => Err(Failure::NoWay(
                "this node reaches no server, and no other node does".to_owned(),
            )),
            State::Sound | State::Lost => relay::send(shared, self.server, &build).await,
        }
    }

    /// Sends a request over the node's own links. If no connection can be opened, returns when it is known whether
    /// that is the fault of the links.
    ///
    /// # Errors
    ///
    /// Returns how far the request got.
    pub(crate) async fn send_direct(
        &self,
        build: impl Fn() -> Result<Outgoing, Failure>,
    ) -> Result<Exchange, Failure> {
        let shared = self.shared;
        match self.send_on_idle(&build).await {
            // The server may have closed the connection since its last use.
            Err(Failure::Unsent(_)) => {}
            result => return result,
        }
        let began_at = shared.now();
        let result = match self.open().await {
            Ok(connection) => self.exchange(connection, build()?).await,
            Err(failure) => Err(failure),
        };
        if matches!(result, Err(Failure::Unsent(_)))
            && let Some(check) = self.start_check(began_at)
        {
            // It only fails if the process exits.
            let _ = check.await;
        }
        result
    }

    /// Sends a request on an idle connection that has carried no earlier attempt of it.
    ///
    /// # Errors
    ///
    /// Returns how far the request got. It is unsent if there is no such connection.
    async fn send_on_idle(
        &self,
        build: impl Fn() -> Result<Outgoing, Failure>,
    ) -> Result<Exchange, Failure> {
        let request = build()?;
        let endpoint = Endpoint::Server(self.server.address);
        let idle = match self.uses_idle {
            true => self.shared.pool.take_idle_for(endpoint, request.request()),
            false => None,
        };
        match idle {
            Some(connection) => self.exchange(connection, request).await,
            None => Err(Failure::Unsent("no connection is idle".to_owned())),
        }
    }

    /// Opens a connection to the server. The links are checked meanwhile if that takes long: the sender may give up
    /// before it is known to have failed.
    async fn open(&self) -> Result<Connection, Failure> {
        let shared = self.shared;
        let began_at = shared.now();
        let mut opening = std::pin::pin!(shared.pool.open(self.server.address));
        let opened = match timeout(SLOW_CONNECT, &mut opening).await {
            Ok(opened) => opened,
            Err(_) => {
                self.start_check(began_at);
                opening.await
            }
        };
        if opened.is_ok() {
            shared.links.lock().record_opened(shared.now());
        }
        opened
    }

    /// Has the links checked if they may be at fault that a connection which was begun at `began_at` is not open. The
    /// check goes on if the request is given up.
    fn start_check(&self, began_at: Instant) -> Option<JoinHandle<()>> {
        let shared = self.shared;
        if !shared.links.lock().is_doubtful(shared.now()) {
            return None;
        }
        let (shared, server) = (Arc::clone(shared), self.server.clone());
        let check = async move { check(&shared, &server, began_at).await };
        Some(tokio::spawn(check))
    }

    /// Sends a request on a connection and waits for the head of the response. Has the links checked if no server
    /// is heard of meanwhile.
    async fn exchange(
        &self,
        mut connection: Connection,
        request: Outgoing,
    ) -> Result<Exchange, Failure> {
        let shared = self.shared;
        let sent_at = shared.now();
        let result = {
            let mut sending = std::pin::pin!(connection.send(request.into_request()));
            loop {
                tokio::select! {
                    result = &mut sending => break result,
                    () = tokio::time::sleep(SILENCE) => {}
                }
                let now = shared.now();
                let links = shared.links.lock();
                if self.is_idempotent && links.is_stranded(sent_at, now) {
                    break Err(Failure::LinkLost(format!(
                        "{}: lost the links to the servers",
                        self.server.id
                    )));
                }
                if links.is_suspiciously_silent(sent_at, now) {
                    let (shared, server) = (Arc::clone(shared), self.server.clone());
                    tokio::spawn(async move { check(&shared, &server, now).await });
                }
            }
        };
        match result {
            Ok(response) => {
                shared.links.record_heard(&connection, shared.now());
                Ok((connection, response))
            }
            Err(Failure::NoResponse { reason, .. }) if !shared.links.blames_server(&connection) => {
                Err(Failure::LinkLost(reason))
            }
            Err(failure) => Err(failure),
        }
    }
}

/// Checks the links after the connection to a server has failed or was silent, unless that was done since
/// `failed_at`.
async fn check(shared: &Shared, suspect: &Server, failed_at: Instant) {
    let _checking = shared.links.checking.lock().await;
    if !shared.links.lock().is_checked_since(failed_at) {
        perform_check(shared, Some(suspect), true).await;
    }
}

/// Tries to open connections to servers and, with `should_ask`, asks other nodes if there is none.
async fn perform_check(shared: &Shared, suspect: Option<&Server>, should_ask: bool) {
    let began_at = shared.now();
    let mut servers = witnesses(shared, suspect);
    servers.splice(0..0, suspect.cloned());
    servers.truncate(MAX_CHECKED_SERVERS);
    if servers.is_empty() {
        return;
    }
    let rest = servers.split_off(CHECKED_SERVERS.min(servers.len()));
    let mut has_opened = reaches_any(shared, &servers).await;
    let mut is_reached_by_others = None;
    if !has_opened && should_ask {
        let ids: Vec<Name> = servers.iter().map(|server| server.id.clone()).collect();
        let is_reached = ask(shared, &ids).await == Finding::Reached;
        // Before no way is left, all ways are tried.
        has_opened = !is_reached && reaches_any(shared, &rest).await;
        is_reached_by_others = Some(is_reached);
    }
    let check = Check {
        has_opened,
        is_reached_by_others,
    };
    let changed = shared
        .links
        .lock()
        .record_check(check, began_at, shared.now());
    if let Some(state) = changed {
        record_state(shared, state);
    }
}

/// Tells the parts of this node that the state of the links has changed.
fn record_state(shared: &Shared, state: State) {
    let name = state.name();
    Metrics::count(&shared.metrics.links, name);
    spdlog::info!("state of the links to the servers changed", kv: { state = name });
    if state != State::Sound {
        // What this node has observed since the loss says nothing about the servers.
        shared.balancer().clear_failures();
        shared.suspects.discard_broken();
    }
    shared.links.state.send_replace(state);
}

/// Finds out whether a server's process still accepts connections. That it refuses them has to be seen by two nodes
/// whose links work: links may be lost one after the other, and some only.
pub(crate) async fn examine(shared: &Shared, server: &Server) -> Finding {
    if shared.links.state() == State::Sound {
        let began_at = shared.now();
        let finding = probe(shared, server, PROBE_TIMEOUT).await;
        if finding != Finding::Refused {
            return finding;
        }
        check(shared, server, began_at).await;
        if !are_links_steady(shared, std::slice::from_ref(&server.id)).await {
            return Finding::Unknown;
        }
    }
    let has_others = {
        let members = shared.members.borrow();
        let mut others = members
            .linked_nodes()
            .filter(|(id, _)| **id != shared.owner.node);
        others.next().is_some()
    };
    match shared.links.state() {
        State::Isolated => Finding::Unknown,
        State::Sound if !has_others => Finding::Refused,
        State::Sound | State::Lost => ask(shared, std::slice::from_ref(&server.id)).await,
    }
}

/// Answers another node that asks whether this one reaches any of some servers.
pub(crate) async fn find(shared: &Shared, servers: &[Name]) -> Finding {
    if shared.links.state() != State::Sound {
        return Finding::Unknown;
    }
    let known: Vec<Server> = {
        let balancer = shared.balancer();
        servers
            .iter()
            .filter_map(|id| balancer.get(id).cloned())
            .collect()
    };
    let mut probes: FuturesUnordered<_> = known
        .iter()
        .map(|server| probe(shared, server, REMOTE_PROBE_TIMEOUT))
        .collect();
    let mut finding = Finding::Refused;
    while let Some(found) = probes.next().await {
        match found {
            Finding::Reached => return Finding::Reached,
            Finding::Refused => {}
            Finding::Silent | Finding::Unknown => finding = Finding::Silent,
        }
    }
    match !known.is_empty() && are_links_steady(shared, servers).await {
        true => finding,
        false => Finding::Unknown,
    }
}

/// Returns whether all of several servers without failures, other than `except`, accept connections. Links that are
/// lost may go one after the other, so that one connection proves little.
async fn are_links_steady(shared: &Shared, except: &[Name]) -> bool {
    let witnesses: Vec<Server> = {
        let balancer = shared.balancer();
        balancer
            .witnesses(None, rand::random())
            .into_iter()
            .filter(|server| !except.contains(&server.id) && !balancer.has_failures(&server.id))
            .take(STEADY_WITNESSES)
            .collect()
    };
    let openings = witnesses.iter().map(|server| open(shared, server));
    let opened = futures::future::join_all(openings).await;
    !opened.is_empty() && opened.into_iter().all(|is_open| is_open)
}

/// Asks other nodes whether they reach any of some servers, several at a time, until one can tell.
async fn ask(shared: &Shared, servers: &[Name]) -> Finding {
    let Some(first) = servers.first() else {
        return Finding::Unknown;
    };
    for _ in 0..MAX_ASK_ROUNDS {
        // Those that could not tell are not chosen again.
        let relays = relays(shared, first);
        let mut answers: FuturesUnordered<_> = relays
            .iter()
            .map(|relay| ask_one(shared, relay, servers))
            .collect();
        while let Some(finding) = answers.next().await {
            if finding != Finding::Unknown {
                return finding;
            }
        }
    }
    Finding::Unknown
}

async fn ask_one(shared: &Shared, relay: &RelayNode, servers: &[Name]) -> Finding {
    let asked = servers.to_vec();
    let call = shared
        .links
        .peers
        .call(relay.address, CALL_TIMEOUT, |client, context| async move {
            client.find_servers(context, asked).await
        });
    let reason = match call.await {
        Ok(Finding::Unknown) => "it can't tell whether it reaches servers".to_owned(),
        Ok(finding) => return finding,
        Err(error) => format!("{error:?}"),
    };
    let now = shared.now();
    shared.links.record_relay_failure(&relay.id, &reason, now);
    Finding::Unknown
}

/// A node that may relay requests, and its address.
pub(crate) struct RelayNode {
    pub(crate) id: Id,
    pub(crate) address: std::net::SocketAddr,
}

/// Returns the nodes that may relay requests to a server, in the order in which they are tried.
pub(crate) fn relays(shared: &Shared, server: &Name) -> Vec<RelayNode> {
    let members = shared.members.borrow();
    let candidates = members
        .linked_nodes()
        .map(|(id, member)| (id, member.capacity));
    let now = shared.now();
    let chosen = shared
        .links
        .relays()
        .choose(candidates, &shared.owner.node, server, now);
    chosen
        .into_iter()
        .filter_map(|id| {
            let address = members.address(&id)?;
            Some(RelayNode { id, address })
        })
        .collect()
}

/// Returns whether a node is left that may relay requests.
fn has_relay(shared: &Shared) -> bool {
    let any_server = Name::from("");
    !relays(shared, &any_server).is_empty()
}

/// Returns other servers than `suspect`, by which the links are checked.
fn witnesses(shared: &Shared, suspect: Option<&Server>) -> Vec<Server> {
    let except = suspect.map(|server| &*server.id);
    shared.balancer().witnesses(except, rand::random())
}

/// Returns whether a connection to any of the servers can be opened.
async fn reaches_any(shared: &Shared, servers: &[Server]) -> bool {
    let mut openings: FuturesUnordered<_> =
        servers.iter().map(|server| open(shared, server)).collect();
    while let Some(is_open) = openings.next().await {
        if is_open {
            return true;
        }
    }
    false
}

async fn open(shared: &Shared, server: &Server) -> bool {
    let opened = shared.pool.open(Endpoint::Server(server.address)).await;
    let Ok(connection) = opened else {
        return false;
    };
    shared.links.lock().record_opened(shared.now());
    shared.pool.put(connection, PROBE_IDLE_TIMEOUT);
    true
}

/// Opens a connection to a server within `limit`.
async fn probe(shared: &Shared, server: &Server, limit: Duration) -> Finding {
    match timeout(limit, open(shared, server)).await {
        Ok(true) => Finding::Reached,
        Ok(false) => Finding::Refused,
        Err(_) => Finding::Silent,
    }
}

/// Has the other nodes know whether this one has lost its links, for as long as the process runs. Only a registered
/// node is asked to relay requests, to run jobs or to lead.
pub(crate) async fn publish(shared: Arc<Shared>, mut lease: watch::Receiver<Option<Lease>>) {
    let mut state = shared.links.subscribe();
    // The lease under which the loss is published.
    let mut published = None;
    loop {
        let is_sound = *state.borrow_and_update() == State::Sound;
        let current = lease.borrow_and_update().map(|lease| lease.id);
        let wanted = current.filter(|_| !is_sound);
        if wanted != published {
            match presence::write_stranded(&shared, wanted).await {
                Ok(()) => published = wanted,
                Err(error) => {
                    spdlog::debug!("failed to publish the state of the links; retrying", kv: {
                        error = error.to_string(),
                    });
                    tokio::time::sleep(RECHECK_INTERVAL).await;
                    continue;
                }
            }
        }
        let changed = tokio::select! {
            changed = state.changed() => changed,
            changed = lease.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Checks lost links until they are back, for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut state = shared.links.subscribe();
    loop {
        if state
            .wait_for(|state| *state != State::Sound)
            .await
            .is_err()
        {
            return;
        }
        tokio::time::sleep(RECHECK_INTERVAL).await;
        let _checking = shared.links.checking.lock().await;
        let should_ask = shared.links.state() == State::Isolated || !has_relay(&shared);
        perform_check(&shared, None, should_ask).await;
    }
}
