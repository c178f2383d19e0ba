//! Replicates records of non-idempotent requests: a record before its request is sent, and its
//! outcome.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use shallotroute_context::Context;
use shallotroute_routing::{
    idempotency::{BEGIN_TIMEOUT, Begin, Finish, Identity, Reply, Response, Store},
    quorum::{Decision, REPLICAS, Refusal, Round},
    quota::Allocator,
};
use shallotroute_types::outcome::Outcome;
use tokio::{sync::mpsc, time::timeout};
use uuid::Uuid;

use crate::{
    leaving::Gossip,
    peer::{Peers, RequestService},
};

/// The records of this node and the connections to other replicas.
pub(crate) struct Records {
    pub(crate) context: Context,
    pub(crate) local: RequestService,
    pub(crate) peers: Arc<Peers>,
}

/// The location of a copy of a record.
#[derive(Clone, Copy, Debug)]
enum Replica {
    Local,
    Remote(SocketAddr),
}

/// A stored record, whose request may be sent. Dropping this before [`RecordGuard::finish`] stores
/// that the outcome is unknown.
pub(crate) struct RecordGuard {
    records: Arc<Records>,
    replicas: Vec<Replica>,
    identity: Identity,
    token: Uuid,
    is_finished: bool,
}

impl Records {
    pub(crate) fn new(context: Context, leaving: Gossip) -> Arc<Self> {
        let store = Store::new(context.clock.wall_time());
        Arc::new(Self {
            local: RequestService {
                store: Arc::new(Mutex::new(store)),
                allocator: Arc::new(Mutex::new(Allocator::new(context.clock.now()))),
                members: context.members.clone(),
                clock: Arc::clone(&context.clock),
                leaving: leaving.clone(),
            },
            peers: leaving.peers,
            context,
        })
    }

    /// Stores the record of a request at its replicas.
    ///
    /// # Errors
    ///
    /// The request must not be sent. The decision is to replay the response of an earlier request
    /// with the same identity, or to refuse.
    pub(crate) async fn begin(
        self: &Arc<Self>,
        identity: Identity,
        token: Uuid,
        lifetime: Duration,
    ) -> Result<RecordGuard, Decision> {
        let no_quorum = || Decision::Refuse(Refusal::NoQuorum);
        let replicas = self.replicas(&identity).ok_or_else(no_quorum)?;
        let mut guard = RecordGuard {
            records: Arc::clone(self),
            identity,
            token,
            replicas,
            is_finished: false,
        };
        let begin = Begin {
            identity,
            token,
            lifetime,
        };
        match guard.replicate(begin).await {
            Decision::Send => Ok(guard),
            decision => {
                guard.send_finish(Outcome::NotRun, None);
                Err(decision)
            }
        }
    }

    /// Returns how long a caller has to wait until this node is authoritative for an identity.
    /// Returns `None` if it never will be.
    pub(crate) fn retry_after(&self, identity: &Identity) -> Option<Duration> {
        let now = self.context.clock.wall_time();
        self.local
            .with_store(|store| store.authoritative_in(identity, now))
    }

    /// Returns the replicas for an identity. Returns `None` while this node is cut off from the
    /// majority, since another part of the fleet may accept the same request.
    fn replicas(&self, identity: &Identity) -> Option<Vec<Replica>> {
        let view = self.context.members.borrow();
        if view.members.len() <= 1 {
            return Some(vec![Replica::Local]);
        }
        let ranked = view.ranked(&identity.rank_key(), REPLICAS);
        let replicas = ranked
            .into_iter()
            .map(|member| match member.id == self.context.local.id {
                true => Replica::Local,
                false => Replica::Remote(member.address),
            });
        view.majority.then(|| replicas.collect())
    }
}

impl RecordGuard {
    /// Sends the record to its replicas and waits until their replies suffice for a decision or the
    /// time is over.
    async fn replicate(&self, begin: Begin) -> Decision {
        let clock = &self.records.context.clock;
        let mut round = Round::new(self.replicas.len(), clock.now());
        let (sender, mut replies) = mpsc::channel(REPLICAS);
        for (index, replica) in self.replicas.iter().copied().enumerate() {
            match replica {
                Replica::Local => {
                    let now = clock.wall_time();
                    let reply = self
                        .records
                        .local
                        .with_store(|store| store.begin(&begin, now));
                    round.record_reply(index, Some(reply));
                }
                Replica::Remote(address) => {
                    let (records, sender) = (Arc::clone(&self.records), sender.clone());
                    // A copy that is stored late is still useful, so the call is not cancelled with
                    // this future.
                    tokio::spawn(async move {
                        let reply = records.peers.begin(address, begin, BEGIN_TIMEOUT).await;
                        let _ = sender.send((index, reply.ok())).await;
                    });
                }
            }
        }
        drop(sender);
        loop {
            let now = clock.now();
            if let Some(decision) = round.decide(now) {
                return decision;
            }
            let received: Option<(usize, Option<Reply>)> =
                timeout(round.time_left(now), replies.recv())
                    .await
                    .unwrap_or(None);
            match received {
                Some((index, reply)) => round.record_reply(index, reply),
                None => (0..self.replicas.len()).for_each(|index| round.record_reply(index, None)),
            }
        }
    }

    /// Stores the outcome and the response of the request at the replicas, without waiting for
    /// them.
    pub(crate) fn finish(mut self, outcome: Outcome, response: Option<Response>) {
        self.send_finish(outcome, response);
    }

    fn send_finish(&mut self, outcome: Outcome, response: Option<Response>) {
        self.is_finished = true;
        let finish = Finish {
            identity: self.identity,
            token: self.token,
            outcome,
            response,
        };
        for replica in &self.replicas {
            match *replica {
                Replica::Local => {
                    let now = self.records.context.clock.wall_time();
                    let finish = finish.clone();
                    self.records
                        .local
                        .with_store(|store| store.finish(finish, now));
                }
                Replica::Remote(address) => {
                    let (records, finish) = (Arc::clone(&self.records), finish.clone());
                    tokio::spawn(async move {
                        let sent = records.peers.finish(address, finish, BEGIN_TIMEOUT).await;
                        if let Err(error) = sent {
                            spdlog::debug!(
                                "failed to store the outcome of a request at a replica: {}",
                                error
                            );
                        }
                    });
                }
            }
        }
    }
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.send_finish(Outcome::Unknown, None);
        }
    }
}
