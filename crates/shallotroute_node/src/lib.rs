//! Puts the parts of a node together, runs them, and drains them on a signal. Start with [`run`].

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

/// Runs a node until it gets SIGTERM or SIGINT and all requests in progress are finished.
///
/// # Errors
///
/// A listener's address can't be used, or the signals can't be received.
pub async fn run(settings: Settings) -> Result<()> {
    use error_stack::ResultExt;
    let mut terminate = signal(SignalKind::terminate()).change_context(Error::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Signal)?;
    let node = Node::start(&settings).await?;
    spdlog::info!(
        "node {} is listening for callers on {}",
        settings.node.id,
        settings.listen.callers
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain::drain(node).await;
    spdlog::info!("node {} has finished all requests", settings.node.id);
    spdlog::default_logger().flush();
    Ok(())
}
