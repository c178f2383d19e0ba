//! Commands to load a version.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallotroute_http::body;
use shallotroute_platform::engine::Load;

use super::{
    fault::SwapFault,
    record::{Command, Result as CommandResult},
    shared::Shared,
};
use crate::{
    message,
    server::{Disconnect, Reply},
};

/// How long a fetch of weights may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);

impl Shared {
    pub(super) async fn load(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let content = message::read_body(request.into_body()).await?;
        let Ok(load) = serde_json::from_slice::<Load>(&content) else {
            return Ok(message::text(StatusCode::BAD_REQUEST, "not a load command"));
        };
        let index = self.receive(&load);
        // A command once received is carried out even if its sender closes the connection.
        let work = tokio::spawn(Arc::clone(&self).carry_out(load, index));
        let result = work.await.map_err(|_| Disconnect)?;
        let result = result.ok_or(Disconnect)?;
        match result {
            CommandResult::Done => match self.lock().fault.swap {
                Some(SwapFault::ResponseLost) => Err(Disconnect),
                _ => Ok(message::text(StatusCode::OK, "loaded")),
            },
            CommandResult::Fenced => Ok(message::text(StatusCode::CONFLICT, "fenced")),
            CommandResult::NotFetched => Ok(message::text(
                StatusCode::UNPROCESSABLE_ENTITY,
                "the weights could not be fetched",
            )),
            CommandResult::Partial => Ok(message::text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "failed partway",
            )),
        }
    }

    fn receive(&self, load: &Load) -> usize {
        let mut table = self.lock();
        table.commands.push(Command {
            load: load.clone(),
            received: Instant::now(),
            end: None,
        });
        table.commands.len() - 1
    }

    /// Returns none when the engine crashed meanwhile.
    async fn carry_out(self: Arc<Self>, load: Load, index: usize) -> Option<CommandResult> {
        let incarnation = self.lock().incarnation;
        let result = match self.is_fenced(&load) {
            true => CommandResult::Fenced,
            false => {
                let _turn = self.loading.lock().await;
                match self.fetch(&load).await {
                    true => self.replace(&load, incarnation).await?,
                    false => CommandResult::NotFetched,
                }
            }
        };
        let mut table = self.lock();
        table.commands[index].end = Some((result, Instant::now()));
        (table.incarnation == incarnation).then_some(result)
    }

    fn is_fenced(&self, load: &Load) -> bool {
        if !self.settings.fencing {
            return false;
        }
        let mut table = self.lock();
        let fenced = load.fence < table.fence;
        table.fence = table.fence.max(load.fence);
        fenced
    }

    async fn fetch(&self, load: &Load) -> bool {
        let key = (load.model.clone(), load.version);
        if self.lock().held.contains(&key) {
            return true;
        }
        let Some(address) = load.source.or(self.settings.weights) else {
            return true;
        };
        tokio::time::timeout(FETCH_TIMEOUT, self.download(address, load))
            .await
            .unwrap_or(false)
    }

    async fn download(&self, address: SocketAddr, load: &Load) -> bool {
        let uri = format!("http://{address}/weights/{}/{}", load.model, load.version);
        let Ok(request) = Request::get(uri).body(body::empty()) else {
            return false;
        };
        let Ok(response) = self.client.send(request).await else {
            return false;
        };
        if !response.status().is_success() {
            return false;
        }
        let mut content = response.into_body();
        while let Some(frame) = content.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    }

    async fn replace(&self, load: &Load, incarnation: u64) -> Option<CommandResult> {
        self.lock().swapping = Some(load.model.clone());
        let half = self.settings.load_time / 2;
        tokio::time::sleep(half).await;
        if self.fails_partway(load, incarnation)? {
            return Some(CommandResult::Partial);
        }
        tokio::time::sleep(half).await;
        let mut table = self.lock();
        if table.incarnation != incarnation {
            return None;
        }
        table.swapping = None;
        table.models.insert(load.model.clone(), load.version);
        table.held.insert((load.model.clone(), load.version));
        Some(CommandResult::Done)
    }

    fn fails_partway(&self, load: &Load, incarnation: u64) -> Option<bool> {
        let mut table = self.lock();
        if table.incarnation != incarnation {
            return None;
        }
        let fails = table.fault.swap == Some(SwapFault::Partial);
        if fails {
            table.swapping = None;
            table.models.remove(&load.model);
        }
        Some(fails)
    }
}
