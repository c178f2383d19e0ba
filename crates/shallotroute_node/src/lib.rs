//! A node with the project's own API: connects its components, runs them, and drains them on a
//! signal. The entry point is [`run`].

mod admin;
mod callers;
mod drain;
pub mod error;
pub mod log;
mod node;

use shallotroute_settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    error::{Error, Result},
    node::Node,
};

/// Runs a node until it has received SIGTERM or SIGINT and has finished all requests in progress.
///
/// # Errors
///
/// Returns an error if a listener's address can't be used or if the handlers of signals can't be
/// installed.
pub async fn run(settings: Settings) -> Result<()> {
    use error_stack::ResultExt;
    let mut terminate = signal(SignalKind::terminate()).change_context(Error::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Signal)?;
    let node = Node::start(&settings).await?;
    spdlog::info!(
        "node {} listens for callers on {}",
        settings.node.id,
        settings.listen.callers
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain::drain(node).await;
    spdlog::info!(
        "node {} stopped after finishing all requests",
        settings.node.id
    );
    spdlog::default_logger().flush();
    Ok(())
}
