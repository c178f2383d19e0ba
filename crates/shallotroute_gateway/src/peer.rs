//! Connects nodes for records of non-idempotent requests, notices of leaving servers, and shares of
//! callers' limits.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use derive_more::Display;
use error_stack::{Report, ResultExt};
use futures::StreamExt;
use shallotroute_peer::{
    service::Kind,
    stream::{self, Service},
};
use shallotroute_routing::{
    idempotency::{Begin, Export, Finish, Reply, Store},
    quota::{Allocator, ShareRequest},
    server::LeavingNotice,
};
use shallotroute_types::{clock::Clock, member::View, node::Id};
use tarpc::{
    client::RpcError,
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpStream, sync::watch};

use crate::{leaving::Gossip, quota::MAX_SHARE_REQUESTS};

/// The result of a call to another node.
pub(crate) type Result<T> = std::result::Result<T, Report<Error>>;

/// A call to another node failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("the request service of node {_0} can't be reached")]
pub(crate) struct Error(SocketAddr);

impl std::error::Error for Error {}

/// The service that nodes offer each other for callers' requests.
///
/// Calls are encoded by the position of the method in this trait, so that the order must not change.
#[tarpc::service]
pub(crate) trait Requests {
    /// Stores a record before its request is sent.
    async fn begin(begin: Begin) -> Reply;
    /// Stores how a request ended.
    async fn finish(finish: Finish);
    /// Returns all records without their responses.
    async fn records() -> Export;
    /// Returns notices of the servers that the node knows to be leaving.
    async fn leaving_notices() -> Vec<LeavingNotice>;
    /// Records notices of leaving servers.
    async fn announce_leaving(notices: Vec<LeavingNotice>);
    /// Returns the shares that `node` gets of the callers' limits, in the order of `requests`.
    async fn allocate_shares(node: Id, requests: Vec<ShareRequest>) -> Vec<f32>;
}

/// This node's side of the service: its records, and its allocator of callers' limits.
#[derive(Clone)]
pub(crate) struct RequestService {
    pub(crate) store: Arc<Mutex<Store>>,
    pub(crate) allocator: Arc<Mutex<Allocator>>,
    pub(crate) members: watch::Receiver<Arc<View>>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) leaving: Gossip,
}

impl RequestService {
    pub(crate) fn with_store<T>(&self, action: impl FnOnce(&mut Store) -> T) -> T {
        action(&mut self.store.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Grants a node shares of callers' limits, in the order of `requests`. Requests beyond
    /// [`MAX_SHARE_REQUESTS`] are ignored.
    pub(crate) fn grant_shares(&self, node: &Id, requests: &[ShareRequest]) -> Vec<f32> {
        let members = self.members.borrow().live().count();
        let now = self.clock.now();
        let mut allocator = self
            .allocator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let requests = requests.iter().take(MAX_SHARE_REQUESTS);
        requests
            .map(|request| allocator.allocate(node, request, members, now))
            .collect()
    }

    /// Records that the set of live members has changed.
    pub(crate) fn record_member_change(&self, now: Instant) {
        let mut allocator = self
            .allocator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        allocator.record_member_change(now);
    }
}

impl Requests for RequestService {
    async fn begin(self, _: Context, begin: Begin) -> Reply {
        let now = self.clock.wall_time();
        self.with_store(|store| store.begin(&begin, now))
    }

    async fn finish(self, _: Context, finish: Finish) {
        let now = self.clock.wall_time();
        self.with_store(|store| store.finish(finish, now));
    }

    async fn records(self, _: Context) -> Export {
        self.with_store(|store| store.export())
    }

    async fn leaving_notices(self, _: Context) -> Vec<LeavingNotice> {
        self.leaving.active_notices()
    }

    async fn announce_leaving(self, _: Context, notices: Vec<LeavingNotice>) {
        self.leaving.receive(notices);
    }

    async fn allocate_shares(self, _: Context, node: Id, requests: Vec<ShareRequest>) -> Vec<f32> {
        self.grant_shares(&node, &requests)
    }
}

impl Service for RequestService {
    fn accept(&self, stream: TcpStream, _peer: SocketAddr) {
        let channel = BaseChannel::with_defaults(stream::frame(stream));
        let calls = channel.execute(self.clone().serve());
        tokio::spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
    }
}

/// The connections to other nodes, opened on demand.
#[derive(Default)]
pub(crate) struct Peers {
    clients: Mutex<HashMap<SocketAddr, RequestsClient>>,
}

impl Peers {
    pub(crate) async fn begin(
        &self,
        address: SocketAddr,
        begin: Begin,
        timeout: Duration,
    ) -> Result<Reply> {
        let client = self.client(address).await?;
        let result = client.begin(context(timeout), begin).await;
        self.close_on_error(address, result)
    }

    pub(crate) async fn finish(
        &self,
        address: SocketAddr,
        finish: Finish,
        timeout: Duration,
    ) -> Result<()> {
        let client = self.client(address).await?;
        let result = client.finish(context(timeout), finish).await;
        self.close_on_error(address, result)
    }

    pub(crate) async fn records(&self, address: SocketAddr, timeout: Duration) -> Result<Export> {
        let client = self.client(address).await?;
        let result = client.records(context(timeout)).await;
        self.close_on_error(address, result)
    }

    pub(crate) async fn leaving_notices(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Vec<LeavingNotice>> {
        let client = self.client(address).await?;
        let result = client.leaving_notices(context(timeout)).await;
        self.close_on_error(address, result)
    }

    pub(crate) async fn announce_leaving(
        &self,
        address: SocketAddr,
        notices: Vec<LeavingNotice>,
        timeout: Duration,
    ) -> Result<()> {
        let client = self.client(address).await?;
        let result = client.announce_leaving(context(timeout), notices).await;
        self.close_on_error(address, result)
    }

    pub(crate) async fn allocate_shares(
        &self,
        address: SocketAddr,
        node: Id,
        requests: Vec<ShareRequest>,
        timeout: Duration,
    ) -> Result<Vec<f32>> {
        let client = self.client(address).await?;
        let result = client
            .allocate_shares(context(timeout), node, requests)
            .await;
        self.close_on_error(address, result)
    }

    async fn client(&self, address: SocketAddr) -> Result<RequestsClient> {
        let existing = self.clients().get(&address).cloned();
        if let Some(client) = existing {
            return Ok(client);
        }
        let stream = stream::connect(address, Kind::Requests).await;
        let stream = stream.change_context_lazy(|| Error(address))?;
        let config = tarpc::client::Config::default();
        let client = RequestsClient::new(config, stream::frame(stream)).spawn();
        self.clients().insert(address, client.clone());
        Ok(client)
    }

    /// Closes the connection after a failed call, so that the next call opens a new one.
    fn close_on_error<T>(
        &self,
        address: SocketAddr,
        result: std::result::Result<T, RpcError>,
    ) -> Result<T> {
        if result.is_err() {
            self.clients().remove(&address);
        }
        result.change_context_lazy(|| Error(address))
    }

    fn clients(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, RequestsClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn context(timeout: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + timeout;
    context
}
