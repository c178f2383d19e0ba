//! The `Configuration` service between nodes.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report as Trace, ResultExt};
use futures::StreamExt;
use shallotroute_config::{
    adoption::Report,
    bundle::{self, Bundle, Part},
};
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

    /// Returns the record of the newest revision if it is at least `revision`.
    async fn record(revision: Revision) -> Option<Vec<u8>>;

    /// Returns the parts with these hashes; fewer if the node does not hold all of them.
    async fn parts(hashes: Vec<String>) -> Vec<Part>;
}

/// Answers other nodes.
#[derive(Clone)]
pub(crate) struct Server(pub(crate) Arc<Adopter>);

impl Configuration for Server {
    async fn head(self, _: Context, report: Report) -> Report {
        self.0.reported(report)
    }

    async fn record(self, _: Context, revision: Revision) -> Option<Vec<u8>> {
        self.0.record(revision)
    }

    async fn parts(self, _: Context, hashes: Vec<String>) -> Vec<Part> {
        hashes.iter().filter_map(|hash| self.0.part(hash)).collect()
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

/// Gets `revision` or a later one from the node at `address`, without the parts that `held` has;
/// none if the node does not have it.
///
/// # Errors
///
/// The node did not answer.
pub(crate) async fn fetch(
    address: SocketAddr,
    revision: Revision,
    held: impl Fn(&str) -> Option<Part>,
) -> Result<Option<Bundle>> {
    call(address, "fetching a revision", async move |client| {
        let context = tarpc::context::current;
        let Some(record) = client.record(context(), revision).await? else {
            return Ok(None);
        };
        let Ok(names) = bundle::record(&record).map(|record| record.parts) else {
            return Ok(None);
        };
        let missing = names.iter().filter(|name| held(name).is_none());
        let missing: Vec<String> = missing.cloned().collect();
        let fetched = match missing.is_empty() {
            true => Vec::new(),
            false => client.parts(context(), missing.clone()).await?,
        };
        let fetched: HashMap<&String, Part> = missing.iter().zip(fetched).collect();
        let part = |name: &String| held(name).or_else(|| fetched.get(name).cloned());
        let parts: Option<Vec<Part>> = names.iter().map(part).collect();
        Ok(parts.map(|parts| Bundle { record, parts }))
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
