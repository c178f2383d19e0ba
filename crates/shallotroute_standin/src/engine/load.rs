//! Commands to load a version of a model.

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
    record::{Command, CommandResult},
    shared::Shared,
};
use crate::{
    message,
    server::{Disconnect, Reply},
};

/// The timeout of a fetch of weights.
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);

impl Shared {
    pub(super) async fn load(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let content = message::read_body(request.into_body()).await?;
        let Ok(load) = serde_json::from_slice::<Load>(&content) else {
            return Ok(message::text(StatusCode::BAD_REQUEST, "not a load command"));
        };
        let index = self.record_command(&load);
        // A received command is executed even if its sender closes the connection.
        let execution = tokio::spawn(Arc::clone(&self).execute(load, index));
        let result = execution.await.map_err(|_| Disconnect)?;
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

    fn record_command(&self, load: &Load) -> usize {
        let mut inner = self.lock();
        inner.commands.push(Command {
            load: load.clone(),
            received: Instant::now(),
            end: None,
        });
        inner.commands.len() - 1
    }

    /// Executes a recorded command. Returns none when the engine crashes meanwhile.
    async fn execute(self: Arc<Self>, load: Load, index: usize) -> Option<CommandResult> {
        let incarnation = self.lock().incarnation;
        let result = match self.check_fence(&load) {
            true => CommandResult::Fenced,
            false => {
                let _guard = self.load_lock.lock().await;
                match self.fetch_weights(&load).await {
                    true => self.swap_weights(&load, incarnation).await?,
                    false => CommandResult::NotFetched,
                }
            }
        };
        let mut inner = self.lock();
        inner.commands[index].end = Some((result, Instant::now()));
        (inner.incarnation == incarnation).then_some(result)
    }

    /// Remembers the highest fencing number and returns whether the command's is older and has to
    /// be rejected.
    fn check_fence(&self, load: &Load) -> bool {
        if !self.settings.fencing {
            return false;
        }
        let mut inner = self.lock();
        let is_fenced = load.fence < inner.fence;
        inner.fence = inner.fence.max(load.fence);
        is_fenced
    }

    /// Fetches the weights if they are not held, and returns whether they can be loaded.
    async fn fetch_weights(&self, load: &Load) -> bool {
        let key = (load.model.clone(), load.version);
        if self.lock().held_weights.contains(&key) {
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
        let mut body_stream = response.into_body();
        while let Some(frame) = body_stream.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    }

    /// Replaces the loaded version of the model. Returns none when the engine crashes meanwhile.
    async fn swap_weights(&self, load: &Load, incarnation: u64) -> Option<CommandResult> {
        self.lock().swapping = Some(load.model.clone());
        let half = self.settings.load_time / 2;
        tokio::time::sleep(half).await;
        if self.inject_partial_fault(load, incarnation)? {
            return Some(CommandResult::Partial);
        }
        tokio::time::sleep(half).await;
        let mut inner = self.lock();
        if inner.incarnation != incarnation {
            return None;
        }
        inner.swapping = None;
        inner.models.insert(load.model.clone(), load.version);
        inner
            .held_weights
            .insert((load.model.clone(), load.version));
        Some(CommandResult::Done)
    }

    /// Unloads the model if the fault [`SwapFault::Partial`] is set, and returns whether it is.
    /// Returns none when the engine has crashed.
    fn inject_partial_fault(&self, load: &Load, incarnation: u64) -> Option<bool> {
        let mut inner = self.lock();
        if inner.incarnation != incarnation {
            return None;
        }
        let is_partial = inner.fault.swap == Some(SwapFault::Partial);
        if is_partial {
            inner.swapping = None;
            inner.models.remove(&load.model);
        }
        Some(is_partial)
    }
}
