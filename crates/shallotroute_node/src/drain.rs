//! Graceful shutdown: tell the balancer and the other nodes, finish the requests, then stop.

use std::time::Duration;

use crate::node::Node;

/// How long the node still takes new requests after it has said that it leaves. Balancers check
/// readiness about once a second, and requests that they send until then must not be refused.
const BALANCER_GRACE: Duration = Duration::from_secs(2);

/// Drains a node and returns when nothing is in progress.
pub(crate) async fn drain(node: Node) {
    spdlog::info!("leaving: not ready for the balancer, roles go to other nodes");
    node.leaving.cancel();
    tokio::time::sleep(BALANCER_GRACE).await;
    spdlog::info!("draining: no new requests, finishing those in progress");
    node.context.drain.cancel();
    if let Err(error) = node.callers.await {
        spdlog::error!("the listener for callers failed: {}", error);
    }
    node.context.stop.cancel();
    for task in node.tasks {
        if let Err(error) = task.await {
            spdlog::error!("a part of the node failed: {}", error);
        }
    }
}
