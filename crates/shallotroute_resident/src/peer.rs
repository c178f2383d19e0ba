//! Remote procedure calls between nodes: batch jobs at their owners, checkpoints of jobs, changes
//! of the platform's store, relayed calls to the store, and records of callers' streams.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use shallotroute_adapter::store::Call;
use shallotroute_batch::record::{self, Owner};
use shallotroute_fleet::{
    admission::share,
    capacity::Report,
    limit::{Claim, Observation, Reply},
    link::Finding,
    resume::{Answer, Group},
    usage::{Receipt, Tally},
};
use shallotroute_peer::{
    client::Clients,
    service::Kind,
    stream::{self, Service},
};
use shallotroute_types::name::Name;
use tarpc::{
    ServerError,
    client::RpcError,
    context::Context,
    server::{BaseChannel, Channel, Serve},
};
use tokio::net::TcpStream;

use crate::{
    capacity, limit, link, resume,
    shared::Shared,
    view::{self, Followed, Revisions, ViewUpdate},
};

/// Why a call to another node failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallError {
    /// The node does not own the job.
    NotOwner,
    /// The node can't be reached or did not answer in time.
    Unreachable(String),
    /// The job belongs to another workspace.
    OtherWorkspace,
}

/// The status and body of the store's answer to a relayed call, or `None` if the store did not
/// answer the relay.
pub(crate) type RelayedResponse = Option<(u16, Vec<u8>)>;

/// The calls that a node answers to other nodes.
#[tarpc::service]
pub(crate) trait Peer {
    /// Returns a page of a job's results in the trainer's format. Waits up to `wait_ms` for a
    /// result after position `after`.
    async fn read_results(job: Name, after: usize, wait_ms: u64) -> Result<Vec<u8>, CallError>;
    /// Returns the body of an item, or `None` if the job has no such item.
    async fn item_body(job: Name, item: Name) -> Result<Option<Vec<u8>>, CallError>;
    /// Ends a job. Returns whether its end is stored.
    async fn end_job(job: Name) -> Result<bool, CallError>;
    /// Starts a job that another node has accepted on behalf of this one. Returns whether this node
    /// runs it.
    async fn start_job(job: Name, head: Vec<u8>, revision: u64, specification: Vec<u8>) -> bool;
    /// Takes over a job unless this node owns it already. Returns whether this node owns it now.
    async fn adopt_job(job: Name) -> bool;
    /// Holds checkpoints of a job's items in memory for its next owner.
    async fn hold_checkpoints(job: Name, checkpoints: Vec<u8>);
    /// Returns and drops the checkpoints that are held for a job.
    async fn take_checkpoints(job: Name) -> Vec<u8>;
    /// Returns what the caller lacks of the store's entries that all nodes follow. Waits up to
    /// `wait_ms` for a change. Returns `None` if this node's own view is not current.
    async fn view_updates(revisions: Revisions, wait_ms: u64) -> Option<ViewUpdate>;
    /// Records what the caller's batch jobs lack and have in flight.
    async fn report_load(sender: Owner, report: Report);
    /// Decides, as the home of a server or its deputy, whether the calling node may send it a request.
    async fn take_permit(claim: Claim) -> Reply;
    /// Records that the limit of a server whose home this node is has changed.
    async fn report_limit(observation: Observation);
    /// Makes a call to the platform's store on behalf of the calling node.
    async fn relay_store_call(call: Call, timeout_ms: u64) -> RelayedResponse;
    /// Returns how this node finds some servers, of which one suffices.
    async fn find_servers(servers: Vec<Name>) -> Finding;
    /// Holds records of streams that the calling node has begun.
    async fn hold_streams(groups: Vec<Group>);
    /// Returns what this node knows of the origin of a stream. `id` is the identity of the request
    /// that brought its first event, `period` the time that a stream of `service` can last.
    async fn find_stream(id: Name, service: Name, period: Duration) -> Answer;
    /// Returns a page of a job's results, as [`Peer::read_results`] does, to a caller of a workspace.
    async fn read_results_for(
        workspace: Name,
        job: Name,
        after: usize,
        wait_ms: u64,
    ) -> Result<Vec<u8>, CallError>;
    /// Returns the body of an item, as [`Peer::item_body`] does, to a caller of a workspace.
    async fn item_body_for(
        workspace: Name,
        job: Name,
        item: Name,
    ) -> Result<Option<Vec<u8>>, CallError>;
    /// Ends a job, as [`Peer::end_job`] does, for a caller of a workspace.
    async fn end_job_for(workspace: Name, job: Name) -> Result<bool, CallError>;
    /// Returns what the caller lacks, as `view_updates` does, with this node's proof that its copy of the
    /// operators' objects is complete. `proof_age` is the age of the caller's proof. Since protocol 1.
    async fn follow(
        revisions: Revisions,
        proof_age: Option<Duration>,
        wait_ms: u64,
    ) -> Option<Followed>;
    /// Records the cumulative counts of a process, by window. Returns `None` if this node does not lead.
    async fn report_usage(sender: Owner, tallies: Vec<Tally>) -> Option<Receipt>;
    /// Records what the caller's batch jobs need and have in flight.
    async fn report_needs(sender: Owner, report: share::Report);
}

/// The server side of one connection from another node.
#[derive(Clone)]
struct Server(Arc<Shared>);

impl Peer for Server {
    async fn read_results(
        self,
        _: Context,
        job: Name,
        after: usize,
        wait_ms: u64,
    ) -> Result<Vec<u8>, CallError> {
        let wait = Duration::from_millis(wait_ms);
        let owned = self.0.jobs.owned(&job).ok_or(CallError::NotOwner)?;
        owned
            .page(&self.0, after, wait)
            .await
            .ok_or(CallError::NotOwner)
    }

    async fn item_body(
        self,
        _: Context,
        job: Name,
        item: Name,
    ) -> Result<Option<Vec<u8>>, CallError> {
        let owned = self.0.jobs.owned(&job).ok_or(CallError::NotOwner)?;
        owned.body(&item)
    }

    async fn end_job(self, _: Context, job: Name) -> Result<bool, CallError> {
        let owned = self.0.jobs.owned(&job).ok_or(CallError::NotOwner)?;
        Ok(owned.end(&self.0).await)
    }

    async fn start_job(
        self,
        _: Context,
        job: Name,
        head: Vec<u8>,
        revision: u64,
        specification: Vec<u8>,
    ) -> bool {
        crate::claim::start_assigned(&self.0, &job, &head, revision, &specification)
    }

    async fn adopt_job(self, _: Context, job: Name) -> bool {
        crate::claim::adopt(&self.0, &job).await
    }

    async fn hold_checkpoints(self, _: Context, job: Name, checkpoints: Vec<u8>) {
        match record::decode("drafts", &checkpoints) {
            Ok(checkpoints) => self.0.held_checkpoints.put(job, checkpoints, self.0.now()),
            Err(error) => spdlog::warn!("failed to decode checkpoints", kv: {
                job = job.as_str(), error = error.to_string(),
            }),
        }
    }

    async fn take_checkpoints(self, _: Context, job: Name) -> Vec<u8> {
        record::encode(&self.0.held_checkpoints.take(&job))
    }

    async fn view_updates(
        self,
        _: Context,
        revisions: Revisions,
        wait_ms: u64,
    ) -> Option<ViewUpdate> {
        view::updates(&self.0, revisions, Duration::from_millis(wait_ms)).await
    }

    async fn report_load(self, _: Context, sender: Owner, report: Report) {
        capacity::record(&self.0, &sender, report);
    }

    async fn take_permit(self, _: Context, claim: Claim) -> Reply {
        limit::decide(&self.0, &claim)
    }

    async fn report_limit(self, _: Context, observation: Observation) {
        limit::record(&self.0, &observation);
    }

    async fn relay_store_call(self, _: Context, call: Call, timeout_ms: u64) -> RelayedResponse {
        let timeout = Duration::from_millis(timeout_ms);
        let answer = self.0.store.call_for_peer(&call, timeout).await.ok()?;
        Some((answer.status.as_u16(), answer.body.to_vec()))
    }

    async fn find_servers(self, _: Context, servers: Vec<Name>) -> Finding {
        link::find(&self.0, &servers).await
    }

    async fn hold_streams(self, _: Context, groups: Vec<Group>) {
        self.0.streams.hold(groups, self.0.now());
    }

    async fn find_stream(self, _: Context, id: Name, service: Name, period: Duration) -> Answer {
        resume::answer(&self.0, &id, &service, period)
    }

    async fn read_results_for(
        self,
        context: Context,
        workspace: Name,
        job: Name,
        after: usize,
        wait_ms: u64,
    ) -> Result<Vec<u8>, CallError> {
        self.check_workspace(&workspace, &job)?;
        self.read_results(context, job, after, wait_ms).await
    }

    async fn item_body_for(
        self,
        context: Context,
        workspace: Name,
        job: Name,
        item: Name,
    ) -> Result<Option<Vec<u8>>, CallError> {
        self.check_workspace(&workspace, &job)?;
        self.item_body(context, job, item).await
    }

    async fn end_job_for(
        self,
        context: Context,
        workspace: Name,
        job: Name,
    ) -> Result<bool, CallError> {
        self.check_workspace(&workspace, &job)?;
        self.end_job(context, job).await
    }

    async fn follow(
        self,
        _: Context,
        revisions: Revisions,
        proof_age: Option<Duration>,
        wait_ms: u64,
    ) -> Option<Followed> {
        let wait = Duration::from_millis(wait_ms);
        view::follow(&self.0, revisions, proof_age, wait).await
    }

    async fn report_usage(self, _: Context, sender: Owner, tallies: Vec<Tally>) -> Option<Receipt> {
        self.0.usage.as_ref()?.receive(&self.0, &sender, tallies)
    }

    async fn report_needs(self, _: Context, sender: Owner, report: share::Report) {
        capacity::record_needs(&self.0, &sender, report);
    }
}

impl Server {
    /// Checks that a job of this node may be accessed by callers of a workspace.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotOwner`] if this node does not own the job, and
    /// [`CallError::OtherWorkspace`] if it belongs to another workspace.
    fn check_workspace(&self, workspace: &Name, job: &Name) -> Result<(), CallError> {
        let owned = self.0.jobs.owned(job).ok_or(CallError::NotOwner)?;
        match &owned.workspace {
            Some(other) if other != workspace => Err(CallError::OtherWorkspace),
            _ => Ok(()),
        }
    }
}

/// Serves the calls that change the store in tasks of their own. A call is dropped when its caller gives it up or its
/// connection ends; one of these would leave the node with something other than what the store has.
#[derive(Clone)]
struct Detached(ServePeer<Server>);

impl Serve for Detached {
    type Req = PeerRequest;
    type Resp = PeerResponse;

    async fn serve(
        self,
        context: Context,
        request: PeerRequest,
    ) -> Result<PeerResponse, ServerError> {
        if !outlives_caller(&request) {
            return self.0.serve(context, request).await;
        }
        let task = tokio::spawn(self.0.serve(context, request));
        task.await
            .unwrap_or_else(|error| Err(ServerError::new(ErrorKind::Other, error.to_string())))
    }
}

/// Returns whether a call is served to its end although its caller does not wait for the response.
fn outlives_caller(request: &PeerRequest) -> bool {
    match request {
        PeerRequest::EndJob { .. }
        | PeerRequest::EndJobFor { .. }
        | PeerRequest::StartJob { .. }
        | PeerRequest::AdoptJob { .. } => true,
        // These change nothing, or everything at once.
        PeerRequest::ReadResults { .. }
        | PeerRequest::ReadResultsFor { .. }
        | PeerRequest::ItemBody { .. }
        | PeerRequest::ItemBodyFor { .. }
        | PeerRequest::HoldCheckpoints { .. }
        | PeerRequest::TakeCheckpoints { .. }
        | PeerRequest::ViewUpdates { .. }
        | PeerRequest::Follow { .. }
        | PeerRequest::ReportLoad { .. }
        | PeerRequest::ReportNeeds { .. }
        | PeerRequest::ReportUsage { .. }
        | PeerRequest::TakePermit { .. }
        | PeerRequest::ReportLimit { .. }
        | PeerRequest::FindServers { .. }
        | PeerRequest::HoldStreams { .. }
        | PeerRequest::FindStream { .. } => false,
        // The caller takes the outcome of a write for unknown if it has no response.
        PeerRequest::RelayStoreCall { .. } => false,
    }
}

/// A service that accepts connections from other nodes.
pub(crate) struct Acceptor(pub(crate) Arc<Shared>);

impl Service for Acceptor {
    fn accept(&self, stream: TcpStream, _peer: SocketAddr) {
        let channel = BaseChannel::with_defaults(stream::frame(stream));
        let calls = channel.execute(Detached(Server(Arc::clone(&self.0)).serve()));
        tokio::spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
    }
}

/// The clients of other nodes, one connection to each.
#[derive(Debug)]
pub(crate) struct Peers(Clients<PeerClient>);

impl Peers {
    /// Creates the clients without connecting to any node.
    pub(crate) fn new() -> Self {
        Self(Clients::new(Kind::Jobs, |stream| {
            PeerClient::new(tarpc::client::Config::default(), stream::frame(stream)).spawn()
        }))
    }

    /// Calls the node at `address`. After a failure, the next call opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unreachable`] if the node can't be reached or does not answer within
    /// `timeout`.
    pub(crate) async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(PeerClient, Context) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let unreachable = |reason: String| CallError::Unreachable(format!("{address}: {reason}"));
        let mut context = tarpc::context::current();
        context.deadline = std::time::Instant::now() + timeout;
        let attempt = async {
            let client = self
                .0
                .get(address)
                .await
                .map_err(|error| error.to_string())?;
            call(client, context)
                .await
                .map_err(|error| error.to_string())
        };
        let result = match tokio::time::timeout(timeout, attempt).await {
            Ok(result) => result,
            Err(_) => Err("timed out waiting for the answer".to_owned()),
        };
        result.map_err(|reason| {
            self.0.remove(address);
            unreachable(reason)
        })
    }
}
