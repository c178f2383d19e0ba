//! The typed service between nodes for trainers' steps.

use std::{net::SocketAddr, sync::Arc};

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use shallotroute_peer::stream::{self, Service};
use shallotroute_rollout::{
    delivery::Answer,
    receipt::Receipt,
    step::{Key, Specification},
};
use shallotroute_types::{name::Name, version::Version};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpStream;

use crate::{Sampler, failure::Result};

/// A pull as sent to the pool's owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Pull {
    /// The step.
    pub(crate) key: Key,
    /// The groups that the trainer has.
    pub(crate) receipt: Receipt,
    /// The trainer's version.
    pub(crate) version: Version,
    /// How long the owner may wait for groups.
    pub(crate) wait_ms: u64,
    /// The most groups in the answer.
    pub(crate) max_groups: usize,
}

/// A version that a trainer announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Announcement {
    /// The trainer.
    pub(crate) trainer: Name,
    /// The version.
    pub(crate) version: Version,
    /// Milliseconds of calendar time when it came in; the later of two announcements counts, so
    /// that a trainer may return to an earlier version.
    pub(crate) at: u64,
}

/// Calls between nodes. `submit`, `pull`, `announce` and `delete` go to the pool's owner; `store`,
/// `record`, `fetch` and `remove` concern copies.
#[tarpc::service]
pub(crate) trait Rollouts {
    /// Submits a step.
    async fn submit(pool: Name, key: Key, specification: Specification) -> Result<()>;
    /// Pulls groups.
    async fn pull(pool: Name, pull: Pull) -> Result<Answer>;
    /// Announces a version.
    async fn announce(pool: Name, announcement: Announcement) -> Result<()>;
    /// Deletes a step.
    async fn delete(pool: Name, key: Key) -> Result<()>;
    /// Keeps a copy of a specification.
    async fn store_specification(key: Key, specification: Specification);
    /// Keeps a copy of an announcement.
    async fn store_announcement(announcement: Announcement);
    /// Returns a copy of a specification.
    async fn fetch_specification(key: Key) -> Option<Specification>;
    /// Returns a copy of a trainer's last announcement.
    async fn fetch_announcement(trainer: Name) -> Option<Announcement>;
    /// Drops the copy of a specification.
    async fn remove_specification(key: Key);
}

/// Serves one connection of another node.
#[derive(Clone)]
struct Server(Arc<Sampler>);

impl Rollouts for Server {
    async fn submit(
        self,
        _: Context,
        pool: Name,
        key: Key,
        specification: Specification,
    ) -> Result<()> {
        self.0
            .submit_as_owner(&pool, key, Arc::new(specification))
            .await
    }

    async fn pull(self, _: Context, pool: Name, pull: Pull) -> Result<Answer> {
        self.0.pull_as_owner(&pool, pull).await
    }

    async fn announce(self, _: Context, pool: Name, announcement: Announcement) -> Result<()> {
        self.0.announce_as_owner(&pool, announcement).await
    }

    async fn delete(self, _: Context, pool: Name, key: Key) -> Result<()> {
        self.0.delete_as_owner(&pool, key).await
    }

    async fn store_specification(self, _: Context, key: Key, specification: Specification) {
        self.0
            .replicas
            .insert_specification(key, Arc::new(specification));
    }

    async fn store_announcement(self, _: Context, announcement: Announcement) {
        self.0.replicas.insert_announcement(announcement);
    }

    async fn fetch_specification(self, _: Context, key: Key) -> Option<Specification> {
        let specification = self.0.local_specification(&key).await;
        specification.map(Arc::unwrap_or_clone)
    }

    async fn fetch_announcement(self, _: Context, trainer: Name) -> Option<Announcement> {
        self.0.replicas.get_announcement(&trainer)
    }

    async fn remove_specification(self, _: Context, key: Key) {
        self.0.replicas.remove_specification(&key);
    }
}

/// Accepts connections of other nodes.
pub(crate) struct Acceptor(pub(crate) Arc<Sampler>);

impl Service for Acceptor {
    fn accept(&self, stream: TcpStream, peer: SocketAddr) {
        let server = Server(Arc::clone(&self.0));
        let stop = self.0.context.stop.clone();
        tokio::spawn(async move {
            let channel = BaseChannel::with_defaults(stream::frame(stream));
            let serve = channel.execute(server.serve()).for_each(|call| async {
                tokio::spawn(call);
            });
            tokio::select! {
                () = serve => spdlog::debug!("rollouts connection of {} closed", peer),
                () = stop.cancelled() => {}
            }
        });
    }
}
