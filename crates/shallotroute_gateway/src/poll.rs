//! The background poll of engines' states, which is the load report of selection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotroute_config::object::Backend;
use shallotroute_platform::error::Kind;
use shallotroute_routing::server::{Mark, Report, Weights};
use shallotroute_types::name::Name;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::{Gateway, admission, runtime::Cell};

/// How often engines are asked.
const INTERVAL: Duration = Duration::from_millis(500);

/// How long an engine may take to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The most engines that are asked in one interval; with more engines the rounds take longer. At
/// about 300 bytes per exchange this keeps the poll under 40 KB/s.
const MAX_POLLS: usize = 64;

/// Polls until the node stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut turn = 0;
    loop {
        tokio::select! {
            () = gateway.context.stop.cancelled() => return,
            _ = ticks.tick() => turn = round(&gateway, turn),
        }
    }
}

/// Asks the engines from number `turn` on and returns the number of the next one.
fn round(gateway: &Arc<Gateway>, turn: usize) -> usize {
    let Some(runtime) = gateway.runtime() else {
        return 0;
    };
    let now = gateway.context.clock.now();
    let pools = runtime.pools.values();
    let engines: Vec<_> = pools
        .filter(|cell| cell.backend == Backend::Engine)
        .flat_map(|cell| {
            let marks = cell.state().pool.marks(now);
            marks.into_iter().map(move |mark| (cell, mark))
        })
        .collect();
    let count = engines.len().min(MAX_POLLS);
    let chosen = engines.iter().cycle().skip(turn).take(count);
    for (cell, (name, address, mark)) in chosen {
        let (gateway, cell) = (Arc::clone(gateway), Arc::clone(cell));
        tokio::spawn(ask(gateway, cell, name.clone(), *address, *mark));
    }
    (turn + count) % engines.len().max(1)
}

async fn ask(gateway: Arc<Gateway>, cell: Arc<Cell>, name: Name, address: SocketAddr, mark: Mark) {
    let report = match timeout(TIMEOUT, gateway.engine.state(address)).await {
        Ok(Ok(state)) => {
            let weights = Weights {
                versions: state.models,
                swapping: state.swapping,
            };
            cell.state().pool.weights(&name, mark, weights);
            Some(Report {
                load: state.running.saturating_add(state.waiting),
                leaving: state.leaving,
            })
        }
        Ok(Err(error)) if error.current_context().kind == Kind::Unreachable => None,
        // A late or unreadable report says nothing about the engine's requests.
        Ok(Err(_)) | Err(_) => return,
    };
    let now = gateway.context.clock.now();
    cell.state().pool.report(&name, mark, report, now);
    admission::wake(&cell, &gateway.context.clock);
}
