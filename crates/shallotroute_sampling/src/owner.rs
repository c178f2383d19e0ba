//! Trainers' operations: forwarded to the owner of the pool, or performed when this node is the
//! owner.
//!
//! The owner replicates specifications and announcements to other members. A new owner reads them
//! from there.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use shallotroute_rollout::{
    delivery::{Refusal, Response},
    scheduler::Event,
    step::{Key, Specification},
};
use shallotroute_types::{member::Member, name::Name};

use crate::{
    Sampler,
    failure::{Failure, Result},
    peers::CALL_TIMEOUT,
    pool::{Handle, Message},
    service::{Announcement, Pull, RolloutsClient},
};

/// The number of replicas of a specification or announcement besides the owner's own.
const REPLICAS: usize = 2;

/// The number of members that are asked for a replica, and that may get one when higher-ranked
/// members can't be reached.
const MAX_REPLICA_MEMBERS: usize = 6;

/// The timeout of a call that reads or writes a replica.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(1);

/// The time that a call to the owner may take beyond the wait of its pull.
const PULL_MARGIN: Duration = Duration::from_secs(3);

/// Returns the rendezvous-hashing key that determines the owner of a pool and the ranks of the
/// other members.
pub(crate) fn pool_key(pool: &str) -> String {
    format!("pool/{pool}")
}

impl Sampler {
    /// Submits a step to the pool's owner, which may be this node.
    ///
    /// # Errors
    ///
    /// As for [`Sampler::submit_as_owner`], or the owner can't be reached.
    pub(crate) async fn submit(
        &self,
        pool: &Name,
        key: Key,
        specification: Arc<Specification>,
    ) -> Result<()> {
        let Some(owner) = self.remote_owner(pool)? else {
            return self.submit_as_owner(pool, key, specification).await;
        };
        let call = |client: RolloutsClient, context| {
            let (pool, key, body) = (pool.clone(), key.clone(), (*specification).clone());
            async move { client.submit(context, pool, key, body).await }
        };
        self.peers.call(owner.address, SUBMIT_TIMEOUT, call).await?
    }

    /// Pulls groups from the pool's owner, which may be this node.
    ///
    /// # Errors
    ///
    /// As for [`Sampler::pull_as_owner`], or the owner can't be reached.
    pub(crate) async fn pull(&self, pool: &Name, pull: Pull) -> Result<Response> {
        let Some(owner) = self.remote_owner(pool)? else {
            return self.pull_as_owner(pool, pull).await;
        };
        let timeout = Duration::from_millis(pull.wait_ms) + PULL_MARGIN;
        let call = |client: RolloutsClient, context| {
            let (pool, pull) = (pool.clone(), pull.clone());
            async move { client.pull(context, pool, pull).await }
        };
        self.peers.call(owner.address, timeout, call).await?
    }

    /// Announces a version to the pool's owner, which may be this node.
    ///
    /// # Errors
    ///
    /// As for [`Sampler::announce_as_owner`], or the owner can't be reached.
    pub(crate) async fn announce(&self, pool: &Name, announcement: Announcement) -> Result<()> {
        let Some(owner) = self.remote_owner(pool)? else {
            return self.announce_as_owner(pool, announcement).await;
        };
        let call = |client: RolloutsClient, context| {
            let (pool, announcement) = (pool.clone(), announcement.clone());
            async move { client.announce(context, pool, announcement).await }
        };
        self.peers.call(owner.address, SUBMIT_TIMEOUT, call).await?
    }

    /// Deletes a step at the pool's owner, which may be this node.
    ///
    /// # Errors
    ///
    /// As for [`Sampler::delete_as_owner`], or the owner can't be reached.
    pub(crate) async fn delete(&self, pool: &Name, key: Key) -> Result<()> {
        let Some(owner) = self.remote_owner(pool)? else {
            return self.delete_as_owner(pool, key).await;
        };
        let call = |client: RolloutsClient, context| {
            let (pool, key) = (pool.clone(), key.clone());
            async move { client.delete(context, pool, key).await }
        };
        self.peers.call(owner.address, CALL_TIMEOUT, call).await?
    }

    /// Submits a step at this node, the pool's owner. The specification is replicated before the
    /// scheduler gets it.
    ///
    /// # Errors
    ///
    /// The node does not own the pool, the step was submitted before with another specification,
    /// the trainer has too many open steps, or too few members confirmed a replica.
    pub(crate) async fn submit_as_owner(
        &self,
        pool: &Name,
        key: Key,
        specification: Arc<Specification>,
    ) -> Result<()> {
        let handle = self.owned_pool(pool)?;
        // Serializes the submissions of a step: otherwise the replicas could hold one
        // specification and the scheduler another.
        let _guard = self.submit_lock(&key).lock().await;
        if let Some(known) = self.load_specification(pool, &handle, &key).await?
            && *known != *specification
        {
            return Err(Failure::Conflict);
        }
        self.replicate_specification(pool, &key, &specification)
            .await?;
        handle
            .request(|reply| Message::Submit(key, specification, reply))
            .await?
    }

    /// Pulls groups at this node, the pool's owner. Returns when a group is complete or the pull's
    /// wait is over.
    ///
    /// # Errors
    ///
    /// The node does not own the pool, no reachable member has the step, the receipt is invalid, or
    /// a later pull of the step superseded this one.
    pub(crate) async fn pull_as_owner(&self, pool: &Name, pull: Pull) -> Result<Response> {
        let handle = self.owned_pool(pool)?;
        if self
            .load_specification(pool, &handle, &pull.key)
            .await?
            .is_none()
        {
            return Err(Failure::UnknownStep);
        }
        let response = handle.request(|reply| Message::Pull(pull, reply)).await?;
        response.map_err(Failure::from)
    }

    /// Announces a version at this node, the pool's owner. The announcement is replicated before
    /// the scheduler gets it.
    ///
    /// # Errors
    ///
    /// The node does not own the pool, or too few members confirmed a replica.
    pub(crate) async fn announce_as_owner(
        &self,
        pool: &Name,
        announcement: Announcement,
    ) -> Result<()> {
        let handle = self.owned_pool(pool)?;
        self.replicas.insert_announcement(announcement.clone());
        let call = |client: RolloutsClient, context| {
            let announcement = announcement.clone();
            async move { client.store_announcement(context, announcement).await }
        };
        self.replicate(pool, call).await?;
        let event = Event::Announced(announcement.trainer.clone(), announcement.version);
        handle.send_event(event).await;
        Ok(())
    }

    /// Deletes a step and its replicas at this node, the pool's owner. Replicas at members that
    /// can't be reached remain.
    ///
    /// # Errors
    ///
    /// The node does not own the pool.
    pub(crate) async fn delete_as_owner(&self, pool: &Name, key: Key) -> Result<()> {
        let handle = self.owned_pool(pool)?;
        self.replicas.remove_specification(&key);
        handle.send_event(Event::StepDeleted(key.clone())).await;
        let call = |client: RolloutsClient, context| {
            let key = key.clone();
            async move { client.remove_specification(context, key).await }
        };
        self.call_replica_members(pool, call).await;
        Ok(())
    }

    /// Returns the specification of a step from this node's replicas or from a pool that it owns,
    /// or `None` when it has neither.
    pub(crate) async fn local_specification(&self, key: &Key) -> Option<Arc<Specification>> {
        if let Some(specification) = self.replicas.get_specification(key) {
            return Some(specification);
        }
        for handle in self.pool_handles() {
            let pending = handle.request(|reply| Message::Specification(key.clone(), reply));
            if let Ok(Some(specification)) = pending.await {
                return Some(specification);
            }
        }
        None
    }

    /// Returns the specification of a step, or `None` when no reachable member has it. When the
    /// scheduler does not have the step, submits it from a replica of this node or another member.
    async fn load_specification(
        &self,
        pool: &Name,
        handle: &Handle,
        key: &Key,
    ) -> Result<Option<Arc<Specification>>> {
        let known = handle
            .request(|reply| Message::Specification(key.clone(), reply))
            .await?;
        if known.is_some() {
            return Ok(known);
        }
        let replica = match self.replicas.get_specification(key) {
            Some(replica) => Some(replica),
            None if self.replicas.is_deleted(key) => None,
            None => {
                let call = |client: RolloutsClient, context| {
                    let key = key.clone();
                    async move { client.fetch_specification(context, key).await }
                };
                let fetched = self.call_replica_members(pool, call).await;
                fetched.into_iter().flatten().next().map(Arc::new)
            }
        };
        let Some(replica) = replica else {
            return Ok(None);
        };
        spdlog::info!("recovered step {} from a replica", key);
        handle
            .request(|reply| Message::Submit(key.clone(), Arc::clone(&replica), reply))
            .await??;
        Ok(Some(replica))
    }

    /// Stores a specification at this node and replicates it.
    async fn replicate_specification(
        &self,
        pool: &Name,
        key: &Key,
        specification: &Arc<Specification>,
    ) -> Result<()> {
        self.replicas
            .insert_specification(key.clone(), Arc::clone(specification));
        let call = |client: RolloutsClient, context| {
            let (key, body) = (key.clone(), (**specification).clone());
            async move { client.store_specification(context, key, body).await }
        };
        self.replicate(pool, call).await
    }

    /// Calls [`REPLICAS`] members, the highest-ranked first, and one of the next members for each
    /// call that fails.
    ///
    /// # Errors
    ///
    /// Fewer than [`REPLICAS`] members have responded or, if there are not that many, fewer than all.
    async fn replicate<F>(
        &self,
        pool: &Name,
        call: impl Fn(RolloutsClient, tarpc::context::Context) -> F,
    ) -> Result<()>
    where
        F: Future<Output = std::result::Result<(), tarpc::client::RpcError>>,
    {
        let members = self.replica_members(pool);
        let required = REPLICAS.min(members.len());
        let mut candidates = members.into_iter();
        let mut calls: FuturesUnordered<_> = candidates
            .by_ref()
            .take(required)
            .map(|member| self.peers.call(member.address, REPLICA_TIMEOUT, &call))
            .collect();
        let mut confirmed = 0;
        while let Some(result) = calls.next().await {
            match result {
                Ok(()) => confirmed += 1,
                Err(failure) => {
                    spdlog::warn!("failed to write a replica for pool {}: {}", pool, failure);
                    if let Some(member) = candidates.next() {
                        calls.push(self.peers.call(member.address, REPLICA_TIMEOUT, &call));
                    }
                }
            }
        }
        match confirmed >= required {
            true => Ok(()),
            false => Err(Failure::Lost("too few members keep a copy".to_owned())),
        }
    }

    /// Calls all members that may hold replicas of a pool and returns the successful responses.
    async fn call_replica_members<T, F>(
        &self,
        pool: &Name,
        call: impl Fn(RolloutsClient, tarpc::context::Context) -> F,
    ) -> Vec<T>
    where
        F: Future<Output = std::result::Result<T, tarpc::client::RpcError>>,
    {
        let members = self.replica_members(pool);
        let calls = members
            .iter()
            .map(|member| self.peers.call(member.address, REPLICA_TIMEOUT, &call));
        let responses = futures::future::join_all(calls).await;
        responses.into_iter().filter_map(Result::ok).collect()
    }

    /// Returns the members other than this node that may hold replicas of a pool, in the order of
    /// rank.
    fn replica_members(&self, pool: &str) -> Vec<Member> {
        let view = self.context.members.borrow();
        view.ranked(&pool_key(pool), MAX_REPLICA_MEMBERS + 1)
            .into_iter()
            .filter(|member| member.id != self.context.local.id)
            .take(MAX_REPLICA_MEMBERS)
            .cloned()
            .collect()
    }

    /// Returns the pool's owner, or `None` when it is this node.
    ///
    /// # Errors
    ///
    /// No live member is known.
    fn remote_owner(&self, pool: &str) -> Result<Option<Member>> {
        let view = self.context.members.borrow();
        match view.owner(&pool_key(pool)) {
            None => Err(Failure::Unavailable("no live member is known".to_owned())),
            Some(owner) if owner.id == self.context.local.id => Ok(None),
            Some(owner) => Ok(Some(owner.clone())),
        }
    }

    /// Returns the lock that serializes submissions of a step; it is shared with other steps.
    fn submit_lock(&self, key: &Key) -> &tokio::sync::Mutex<()> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        &self.submit_locks[hasher.finish() as usize % self.submit_locks.len()]
    }

    /// Returns the handle of a pool that this node owns.
    ///
    /// # Errors
    ///
    /// `Unavailable` when the node takes no new work or does not own the pool.
    fn owned_pool(&self, pool: &Name) -> Result<Handle> {
        if !self.context.is_ready() {
            return Err(Failure::Unavailable(
                "the node takes no new work".to_owned(),
            ));
        }
        self.pool(pool).ok_or_else(|| Failure::from(Refusal::Moved))
    }
}

/// The timeout of a submission or announcement at the owner, replication included.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

impl Sampler {
    /// Sends a new scheduler the versions that trainers announced to earlier owners, as far as
    /// replicas at this node or other members hold them.
    pub(crate) async fn recover_announcements(
        &self,
        pool: &Name,
        handle: &Handle,
        trainers: &[Name],
    ) {
        for trainer in trainers {
            let call = |client: RolloutsClient, context| {
                let trainer = trainer.clone();
                async move { client.fetch_announcement(context, trainer).await }
            };
            for announcement in self
                .call_replica_members(pool, call)
                .await
                .into_iter()
                .flatten()
            {
                self.replicas.insert_announcement(announcement);
            }
            if let Some(announcement) = self.replicas.get_announcement(trainer) {
                let event = Event::VersionRecovered(announcement.trainer, announcement.version);
                handle.send_event(event).await;
            }
        }
    }

    /// Reads a trainer's latest announcement from the pool's owner into this node's replicas. Does
    /// nothing when this node is the owner or the read fails.
    pub(crate) async fn refresh_announcement(&self, pool: &Name, trainer: &Name) {
        let Ok(Some(owner)) = self.remote_owner(pool) else {
            return;
        };
        let call = |client: RolloutsClient, context| {
            let trainer = trainer.clone();
            async move { client.fetch_announcement(context, trainer).await }
        };
        if let Ok(Some(announcement)) = self.peers.call(owner.address, REPLICA_TIMEOUT, call).await
        {
            self.replicas.insert_announcement(announcement);
        }
    }
}
