//! Records of non-idempotent requests: copies before a request is sent, and its end.

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

/// The records of this node and the way to those of others.
pub(crate) struct Records {
    pub(crate) context: Context,
    pub(crate) local: RequestService,
    pub(crate) peers: Arc<Peers>,
}

/// Where a copy of a record is.
#[derive(Clone, Copy, Debug)]
enum Replica {
    Local,
    Remote(SocketAddr),
}

/// A record whose request may be sent. When it is dropped without an end, the outcome is unknown.
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
    /// The request may not be sent; an earlier one with the same identity may give its response.
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

    /// Returns when a caller whose key is not vouched for should come back; none if that won't help.
    pub(crate) fn retry_after(&self, identity: &Identity) -> Option<Duration> {
        let now = self.context.clock.wall_time();
        self.local
            .with_store(|store| store.authoritative_in(identity, now))
    }

    /// Returns the replicas of an identity; none while this node is cut off from the majority, where
    /// another part of the fleet may accept the same request.
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
    /// Collects copies until they suffice or the time is over.
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
                    // A copy that comes late is still worth having, so it has a task of its own.
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

    /// Stores the end of the request at the replicas.
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
                            spdlog::debug!("the end of a request was not stored: {}", error);
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
