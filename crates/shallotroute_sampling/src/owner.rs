//! What the owner of a pool does for trainers' requests, and how other nodes reach it.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use shallotroute_rollout::{
    delivery::{Answer, Refusal},
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

/// Copies of a specification besides the owner's own.
const REPLICAS: usize = 2;

/// How many ranked members are asked for a copy, or to keep one when others can't be reached.
const MAX_REPLICA_MEMBERS: usize = 6;

/// How long a member may take to answer about a copy.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(1);

/// Added to a pull's wait for the call to the owner.
const PULL_MARGIN: Duration = Duration::from_secs(3);

/// Returns the key by which members agree on the owner of a pool.
pub(crate) fn pool_key(pool: &str) -> String {
    format!("pool/{pool}")
}

impl Sampler {
    /// Submits a step at the pool's owner.
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

    /// Pulls groups from the pool's owner.
    pub(crate) async fn pull(&self, pool: &Name, pull: Pull) -> Result<Answer> {
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

    /// Announces a version at the pool's owner.
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

    /// Deletes a step at the pool's owner.
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

    /// Submits a step at this node, the owner. The specification is copied before it returns.
    ///
    /// # Errors
    ///
    /// The node does not own the pool, the step differs from a known one, or too few members can
    /// be reached for its copies.
    pub(crate) async fn submit_as_owner(
        &self,
        pool: &Name,
        key: Key,
        specification: Arc<Specification>,
    ) -> Result<()> {
        let handle = self.owned_pool(pool)?;
        // Submissions of a step take turns: copies of one body must not be kept while the
        // scheduler takes the other.
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

    /// Pulls groups at this node, the owner.
    ///
    /// # Errors
    ///
    /// The node does not own the pool or no live member has the step.
    pub(crate) async fn pull_as_owner(&self, pool: &Name, pull: Pull) -> Result<Answer> {
        let handle = self.owned_pool(pool)?;
        if self
            .load_specification(pool, &handle, &pull.key)
            .await?
            .is_none()
        {
            return Err(Failure::UnknownStep);
        }
        let answer = handle.request(|reply| Message::Pull(pull, reply)).await?;
        answer.map_err(Failure::from)
    }

    /// Announces a version at this node, the owner.
    ///
    /// # Errors
    ///
    /// The node does not own the pool.
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

    /// Deletes a step at this node, the owner.
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

    /// Returns a specification that this node has, as a copy or as the owner.
    pub(crate) async fn local_specification(&self, key: &Key) -> Option<Arc<Specification>> {
        if let Some(specification) = self.replicas.get_specification(key) {
            return Some(specification);
        }
        for handle in self.pool_handles() {
            let asked = handle.request(|reply| Message::Specification(key.clone(), reply));
            if let Ok(Some(specification)) = asked.await {
                return Some(specification);
            }
        }
        None
    }

    /// Returns the step's specification and makes sure that the scheduler has it, from a copy here
    /// or at another member if need be.
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
        let copy = match self.replicas.get_specification(key) {
            Some(copy) => Some(copy),
            None if self.replicas.is_deleted(key) => None,
            None => {
                let call = |client: RolloutsClient, context| {
                    let key = key.clone();
                    async move { client.fetch_specification(context, key).await }
                };
                let found = self.call_replica_members(pool, call).await;
                found.into_iter().flatten().next().map(Arc::new)
            }
        };
        let Some(copy) = copy else {
            return Ok(None);
        };
        spdlog::info!("step {} taken over from a copy", key);
        handle
            .request(|reply| Message::Submit(key.clone(), Arc::clone(&copy), reply))
            .await??;
        Ok(Some(copy))
    }

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

    /// Makes a call at the two next-ranked members, or at later ones in place of those that don't
    /// answer.
    async fn replicate<F>(
        &self,
        pool: &Name,
        call: impl Fn(RolloutsClient, tarpc::context::Context) -> F,
    ) -> Result<()>
    where
        F: Future<Output = std::result::Result<(), tarpc::client::RpcError>>,
    {
        let members = self.replica_members(pool);
        let wanted = REPLICAS.min(members.len());
        let mut rest = members.into_iter();
        let mut calls: FuturesUnordered<_> = rest
            .by_ref()
            .take(wanted)
            .map(|member| self.peers.call(member.address, REPLICA_TIMEOUT, &call))
            .collect();
        let mut done = 0;
        while let Some(result) = calls.next().await {
            match result {
                Ok(()) => done += 1,
                Err(failure) => {
                    spdlog::warn!("a copy for pool {} failed: {}", pool, failure);
                    if let Some(member) = rest.next() {
                        calls.push(self.peers.call(member.address, REPLICA_TIMEOUT, &call));
                    }
                }
            }
        }
        match done >= wanted {
            true => Ok(()),
            false => Err(Failure::Lost("too few members keep a copy".to_owned())),
        }
    }

    /// Makes a call at all ranked members and returns the answers that came.
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
        let answers = futures::future::join_all(calls).await;
        answers.into_iter().filter_map(Result::ok).collect()
    }

    fn replica_members(&self, pool: &str) -> Vec<Member> {
        let view = self.context.members.borrow();
        view.ranked(&pool_key(pool), MAX_REPLICA_MEMBERS + 1)
            .into_iter()
            .filter(|member| member.id != self.context.local.id)
            .take(MAX_REPLICA_MEMBERS)
            .cloned()
            .collect()
    }

    /// Returns the pool's owner if it is another node.
    fn remote_owner(&self, pool: &str) -> Result<Option<Member>> {
        let view = self.context.members.borrow();
        match view.owner(&pool_key(pool)) {
            None => Err(Failure::Unavailable("no live member is known".to_owned())),
            Some(owner) if owner.id == self.context.local.id => Ok(None),
            Some(owner) => Ok(Some(owner.clone())),
        }
    }

    fn submit_lock(&self, key: &Key) -> &tokio::sync::Mutex<()> {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        &self.submit_locks[hasher.finish() as usize % self.submit_locks.len()]
    }

    fn owned_pool(&self, pool: &Name) -> Result<Handle> {
        if !self.context.is_ready() {
            return Err(Failure::Unavailable(
                "the node takes no new work".to_owned(),
            ));
        }
        self.pool(pool).ok_or_else(|| Failure::from(Refusal::Moved))
    }
}

/// How long a submission or announcement at the owner may take, copies included.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

impl Sampler {
    /// Tells a new scheduler of the versions that trainers announced to an earlier owner.
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

    /// Asks the pool's owner, if it is another node, for a trainer's last announcement.
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
