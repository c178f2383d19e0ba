//! Polls engines for their load and weights, which the selection of servers depends on.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use shallotroute_config::object::Backend;
use shallotroute_context::freshness::Input;
use shallotroute_platform::error::Kind;
use shallotroute_routing::server::{Counters, Report, Weights};
use shallotroute_types::name::Name;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::{
    Gateway, admission,
    routing_state::{RoutingState, SharedPool},
};

/// The interval between two batches of polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of engines that are polled in one interval; with more engines, each one is
/// polled less often. At about 300 bytes per exchange, polling takes less than 40 KB/s.
const MAX_BATCH_SIZE: usize = 64;

/// An engine to poll: its pool, name and address, and its request counters at the start of the
/// poll.
type Target = (Arc<SharedPool>, Name, SocketAddr, Counters);

/// Polls engines until the node stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut resumption = gateway.context.freshness.resumed();
    let mut configuration = gateway.context.configuration.clone();
    let mut next_index = 0;
    refresh_if_stale(&gateway);
    loop {
        tokio::select! {
            () = gateway.context.stop.cancelled() => return,
            _ = ticks.tick() => next_index = poll_next_batch(&gateway, next_index),
            Ok(()) = resumption.changed() => refresh_if_stale(&gateway),
            Ok(()) = configuration.changed() => refresh_if_stale(&gateway),
        }
    }
}

/// Polls all engines and fetches other nodes' notices of leaving servers, if this node's state of
/// the servers is stale: after a start or a pause of the process.
fn refresh_if_stale(gateway: &Arc<Gateway>) {
    let requested_at = gateway.context.clock.now();
    if !gateway
        .context
        .freshness
        .is_stale(Input::Servers, requested_at)
    {
        return;
    }
    let Some(routing_state) = gateway.routing_state() else {
        return;
    };
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let poll_engines = async {
            for targets in targets(&routing_state, requested_at).chunks(MAX_BATCH_SIZE) {
                let batch = targets.iter().cloned();
                join_all(batch.map(|target| poll_engine(Arc::clone(&gateway), target))).await;
            }
        };
        tokio::join!(poll_engines, gateway.leaving.fetch());
        gateway
            .context
            .freshness
            .record_read(Input::Servers, requested_at);
    });
}

fn targets(routing_state: &RoutingState, now: Instant) -> Vec<Target> {
    let pools = routing_state.pools.values();
    pools
        .filter(|shared_pool| shared_pool.backend == Backend::Engine)
        .flat_map(|shared_pool| {
            let servers = shared_pool.state().pool.server_counters(now).into_iter();
            servers.map(move |(name, address, counters)| {
                (Arc::clone(shared_pool), name, address, counters)
            })
        })
        .collect()
}

/// Polls a batch of engines from index `next_index` on and returns the index after the batch.
fn poll_next_batch(gateway: &Arc<Gateway>, next_index: usize) -> usize {
    let Some(routing_state) = gateway.routing_state() else {
        return 0;
    };
    let now = gateway.context.clock.now();
    let engines = targets(&routing_state, now);
    let count = engines.len().min(MAX_BATCH_SIZE);
    let chosen = engines.iter().cycle().skip(next_index).take(count);
    for target in chosen {
        tokio::spawn(poll_engine(Arc::clone(gateway), target.clone()));
    }
    (next_index + count) % engines.len().max(1)
}

async fn poll_engine(gateway: Arc<Gateway>, (shared_pool, name, address, counters): Target) {
    let report = match timeout(POLL_TIMEOUT, gateway.engine.state(address)).await {
        Ok(Ok(state)) => {
            let weights = Weights {
                versions: state.models,
                swapping: state.swapping,
            };
            shared_pool
                .state()
                .pool
                .apply_weights(&name, counters, weights);
            Some(Report {
                load: state.running.saturating_add(state.waiting),
                is_leaving: state.leaving,
            })
        }
        Ok(Err(error)) if error.current_context().kind == Kind::Unreachable => None,
        // A late or malformed report tells nothing about the engine's load.
        Ok(Err(_)) | Err(_) => return,
    };
    let now = gateway.context.clock.now();
    shared_pool
        .state()
        .pool
        .apply_report(&name, counters, report, now);
    admission::admit_waiting(&shared_pool, &gateway.context.clock);
}
