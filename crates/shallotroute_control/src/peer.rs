//! The `Configuration` service, by which nodes exchange reports and revisions: server and client.

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

/// The timeout of a call to a peer. A bundle of several megabytes takes well under a second.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum age of an incoming connection. A node opens one for each call.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(30);

/// The calls between nodes. The order of the methods and of their parameters is part of the
/// protocol.
#[tarpc::service]
pub(crate) trait Configuration {
    /// Takes the caller's report and returns the callee's.
    async fn head(report: Report) -> Report;

    /// Returns the encoded record of the newest revision that the node holds; `None` if that is
    /// older than `revision`.
    async fn record(revision: Revision) -> Option<Vec<u8>>;

    /// Returns the parts with these hashes, in their order, without those that the node does not
    /// hold.
    async fn parts(hashes: Vec<String>) -> Vec<Part>;
}

/// The server side of the service.
#[derive(Clone)]
pub(crate) struct Server(pub(crate) Arc<Adopter>);

impl Configuration for Server {
    async fn head(self, _: Context, report: Report) -> Report {
        self.0.record_report(report)
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
        let channel = BaseChannel::with_defaults(stream::frame(stream));
        tokio::spawn(async move {
            let responses = channel
                .execute(server.serve())
                .for_each_concurrent(None, |response| response);
            if timeout(MAX_CONNECTION_AGE, responses).await.is_err() {
                spdlog::debug!(
                    "closed configuration connection from {}: open too long",
                    peer
                );
            }
        });
    }
}

/// Exchanges reports with the node at `address`.
///
/// # Errors
///
/// Returns [`Error::Peer`] if the node can't be reached or does not respond in time.
pub(crate) async fn exchange_reports(address: SocketAddr, report: Report) -> Result<Report> {
    call(address, "exchanging reports", async move |client| {
        client.head(tarpc::context::current(), report).await
    })
    .await
}

/// Fetches `revision` or a newer one from the node at `address`. Parts that `held_part` returns by
/// their hash are not fetched. Returns `None` if the node does not hold such a revision with all of
/// its parts, or if its record can't be decoded.
///
/// # Errors
///
/// Returns [`Error::Peer`] if the node can't be reached or does not respond in time.
pub(crate) async fn fetch(
    address: SocketAddr,
    revision: Revision,
    held_part: impl Fn(&str) -> Option<Part>,
) -> Result<Option<Bundle>> {
    call(address, "fetching a revision", async move |client| {
        let context = tarpc::context::current;
        let Some(record) = client.record(context(), revision).await? else {
            return Ok(None);
        };
        let Ok(part_hashes) = bundle::record(&record).map(|record| record.parts) else {
            return Ok(None);
        };
        let missing = part_hashes
            .iter()
            .filter(|part_hash| held_part(part_hash).is_none());
        let missing: Vec<String> = missing.cloned().collect();
        let fetched = match missing.is_empty() {
            true => Vec::new(),
            false => client.parts(context(), missing.clone()).await?,
        };
        let fetched: HashMap<&String, Part> = missing.iter().zip(fetched).collect();
        let part =
            |part_hash: &String| held_part(part_hash).or_else(|| fetched.get(part_hash).cloned());
        let parts: Option<Vec<Part>> = part_hashes.iter().map(part).collect();
        Ok(parts.map(|parts| Bundle { record, parts }))
    })
    .await
}

/// Opens a connection to a peer and makes a call; `step` names the call in errors.
async fn call<T>(
    address: SocketAddr,
    step: &'static str,
    send_request: impl AsyncFnOnce(ConfigurationClient) -> std::result::Result<T, client::RpcError>,
) -> Result<T> {
    let failed = || Error::Peer {
        step,
        peer: address.to_string(),
    };
    let exchange = async {
        let stream = stream::connect(address, Kind::Configuration)
            .await
            .change_context_lazy(failed)?;
        let transport: Framed<_, _> = stream::frame(stream);
        let client = ConfigurationClient::new(client::Config::default(), transport).spawn();
        send_request(client).await.change_context_lazy(failed)
    };
    match timeout(CALL_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Trace::new(failed())),
    }
}
