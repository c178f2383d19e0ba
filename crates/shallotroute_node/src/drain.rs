//! Graceful shutdown: notifies the balancer and the other nodes, finishes the requests in
//! progress, and stops the components.

use std::time::Duration;

use crate::node::Node;

/// How long a leaving node still accepts requests after it has become unready. Balancers check
/// readiness about once a second, and requests that they send before the check must not be
/// refused.
const UNREADY_GRACE: Duration = Duration::from_secs(2);

/// Drains a node. Returns when all requests are finished and all components have stopped.
pub(crate) async fn drain(node: Node) {
    spdlog::info!("leaving: unready for the balancer, handing roles over to other nodes");
    node.leaving.cancel();
    tokio::time::sleep(UNREADY_GRACE).await;
    spdlog::info!("draining: refusing new requests, finishing those in progress");
    node.context.drain.cancel();
    if let Err(error) = node.callers.await {
        spdlog::error!("listener for callers failed: {}", error);
    }
    node.context.stop.cancel();
    for task in node.tasks {
        if let Err(error) = task.await {
            spdlog::error!("component of the node failed: {}", error);
        }
    }
}
