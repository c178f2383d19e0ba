//! The calls between nodes about trainers' steps, with their messages.

use std::{net::SocketAddr, sync::Arc};

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use shallotroute_peer::stream::{self, Service};
use shallotroute_rollout::{
    delivery::Response,
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

/// A pull, as sent to the pool's owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Pull {
    /// The step to pull groups of.
    pub(crate) key: Key,
    /// The groups that the trainer already has.
    pub(crate) receipt: Receipt,
    /// The version of the weights that the trainer has reached.
    pub(crate) version: Version,
    /// How long the owner may wait for a complete group, in milliseconds.
    pub(crate) wait_ms: u64,
    /// The maximum number of groups in the response.
    pub(crate) max_groups: usize,
}

/// A version of the weights that a trainer has announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Announcement {
    /// The trainer that announced it.
    pub(crate) trainer: Name,
    /// The announced version.
    pub(crate) version: Version,
    /// When the announcement arrived, in milliseconds since the Unix epoch. The later of two
    /// announcements counts, not the higher version, so that a trainer may return to an earlier
    /// version.
    pub(crate) at: u64,
}

/// Calls between nodes. `submit`, `pull`, `announce` and `delete` go to the pool's owner, the
/// others read and write the replicas of any member.
///
/// Calls are encoded by the position of the method in this trait, so that the order must not
/// change.
#[tarpc::service]
pub(crate) trait Rollouts {
    /// Submits a step to the owner of `pool`.
    async fn submit(pool: Name, key: Key, specification: Specification) -> Result<()>;
    /// Pulls complete groups of a step from the owner of `pool`.
    async fn pull(pool: Name, pull: Pull) -> Result<Response>;
    /// Announces a trainer's version to the owner of `pool`.
    async fn announce(pool: Name, announcement: Announcement) -> Result<()>;
    /// Deletes a step at the owner of `pool`.
    async fn delete(pool: Name, key: Key) -> Result<()>;
    /// Stores a replica of a specification.
    async fn store_specification(key: Key, specification: Specification);
    /// Stores a replica of an announcement.
    async fn store_announcement(announcement: Announcement);
    /// Returns the specification of a step from a replica or from a pool that the member owns.
    async fn fetch_specification(key: Key) -> Option<Specification>;
    /// Returns a trainer's latest announcement that the member has a replica of.
    async fn fetch_announcement(trainer: Name) -> Option<Announcement>;
    /// Drops the replica of the specification of a step that its trainer deleted.
    async fn remove_specification(key: Key);
}

/// Serves the calls on one connection from another node.
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

    async fn pull(self, _: Context, pool: Name, pull: Pull) -> Result<Response> {
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

/// Accepts connections from other nodes.
pub(crate) struct Acceptor(pub(crate) Arc<Sampler>);

impl Service for Acceptor {
    fn accept(&self, stream: TcpStream, peer: SocketAddr) {
        let server = Server(Arc::clone(&self.0));
        let stop = self.0.context.stop.clone();
        let channel = BaseChannel::with_defaults(stream::frame(stream));
        tokio::spawn(async move {
            let serve = channel.execute(server.serve()).for_each(|call| async {
                tokio::spawn(call);
            });
            tokio::select! {
                () = serve => spdlog::debug!("connection for rollout calls from {} closed", peer),
                () = stop.cancelled() => {}
            }
        });
    }
}
