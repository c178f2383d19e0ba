//! The `Configuration` service between nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report as Trace, ResultExt};
use futures::StreamExt;
use shallotroute_config::{adoption::Report, bundle::Bundle};
use shallotroute_peer::{
    service::Kind,
    stream::{self, Framed, Service},
};
use shallotroute_types::revision::Revision;
use tarpc::{
    client,
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpStream, time::timeout};

use crate::{
    adopter::Adopter,
    error::{Error, Result},
};

/// How long a peer may take to answer; a bundle of several megabytes takes well under a second.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an incoming connection stays open. A node makes one call on each.
const CONNECTION_LIMIT: Duration = Duration::from_secs(30);

/// What nodes ask each other about the configuration.
#[tarpc::service]
pub(crate) trait Configuration {
    /// Exchanges reports.
    async fn head(report: Report) -> Report;

    /// Returns the newest revision if it is at least `revision`.
    async fn snapshot(revision: Revision) -> Option<Bundle>;
}

/// Answers other nodes.
#[derive(Clone)]
pub(crate) struct Server(pub(crate) Arc<Adopter>);

impl Configuration for Server {
    async fn head(self, _: Context, report: Report) -> Report {
        self.0.reported(report)
    }

    async fn snapshot(self, _: Context, revision: Revision) -> Option<Bundle> {
        self.0.bundle(revision).map(Arc::unwrap_or_clone)
    }
}

impl Service for Server {
    fn accept(&self, stream: TcpStream, peer: SocketAddr) {
        let server = self.clone();
        tokio::spawn(async move {
            let channel = BaseChannel::with_defaults(stream::frame(stream));
            let answers = channel
                .execute(server.serve())
                .for_each_concurrent(None, |answer| answer);
            if timeout(CONNECTION_LIMIT, answers).await.is_err() {
                spdlog::debug!("configuration connection of {} was open too long", peer);
            }
        });
    }
}

/// Exchanges reports with the node at `address`.
///
/// # Errors
///
/// The node did not answer.
pub(crate) async fn compare(address: SocketAddr, report: Report) -> Result<Report> {
    call(address, "comparing revisions", async move |client| {
        client.head(tarpc::context::current(), report).await
    })
    .await
}

/// Gets `revision` or a later one from the node at `address`; none if it has neither.
///
/// # Errors
///
/// The node did not answer.
pub(crate) async fn fetch(address: SocketAddr, revision: Revision) -> Result<Option<Bundle>> {
    call(address, "fetching a revision", async move |client| {
        client.snapshot(tarpc::context::current(), revision).await
    })
    .await
}

async fn call<T>(
    address: SocketAddr,
    step: &'static str,
    ask: impl AsyncFnOnce(ConfigurationClient) -> std::result::Result<T, client::RpcError>,
) -> Result<T> {
    let failed = || Error::Peer {
        step,
        peer: address.to_string(),
    };
    let exchange = async {
        let stream = stream::open(address, Kind::Configuration)
            .await
            .change_context_lazy(failed)?;
        let transport: Framed<_, _> = stream::frame(stream);
        let client = ConfigurationClient::new(client::Config::default(), transport).spawn();
        ask(client).await.change_context_lazy(failed)
    };
    match timeout(CALL_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Trace::new(failed())),
    }
}
