//! The background poll of engines' states, which is the load report of selection.

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
    runtime::{Cell, Runtime},
};

/// How often engines are asked.
const INTERVAL: Duration = Duration::from_millis(500);

/// How long an engine may take to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The most engines that are asked in one interval; with more engines the rounds take longer. At
/// about 300 bytes per exchange this keeps the poll under 40 KB/s.
const MAX_POLLS: usize = 64;

/// An engine to ask: its pool, its name, its address, and the counters at the time.
type Question = (Arc<Cell>, Name, SocketAddr, Counters);

/// Polls until the node stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut woken = gateway.context.freshness.resumed();
    let mut configuration = gateway.context.configuration.clone();
    let mut turn = 0;
    refresh(&gateway);
    loop {
        tokio::select! {
            () = gateway.context.stop.cancelled() => return,
            _ = ticks.tick() => turn = round(&gateway, turn),
            Ok(()) = woken.changed() => refresh(&gateway),
            Ok(()) = configuration.changed() => refresh(&gateway),
        }
    }
}

/// Asks all engines, and other nodes, when what this node knows of servers is from before the start or a
/// pause of the process.
fn refresh(gateway: &Arc<Gateway>) {
    let asked = gateway.context.clock.now();
    if !gateway.context.freshness.is_stale(Input::Servers, asked) {
        return;
    }
    let Some(runtime) = gateway.runtime() else {
        return;
    };
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let ask_engines = async {
            for questions in questions(&runtime, asked).chunks(MAX_POLLS) {
                let asks = questions.iter().cloned();
                join_all(asks.map(|question| ask(Arc::clone(&gateway), question))).await;
            }
        };
        tokio::join!(ask_engines, gateway.leaving.ask());
        gateway.context.freshness.record_read(Input::Servers, asked);
    });
}

fn questions(runtime: &Runtime, now: Instant) -> Vec<Question> {
    let pools = runtime.pools.values();
    pools
        .filter(|cell| cell.backend == Backend::Engine)
        .flat_map(|cell| {
            let marks = cell.state().pool.server_counters(now).into_iter();
            marks.map(move |(name, address, mark)| (Arc::clone(cell), name, address, mark))
        })
        .collect()
}

/// Asks the engines from number `turn` on and returns the number of the next one.
fn round(gateway: &Arc<Gateway>, turn: usize) -> usize {
    let Some(runtime) = gateway.runtime() else {
        return 0;
    };
    let now = gateway.context.clock.now();
    let engines = questions(&runtime, now);
    let count = engines.len().min(MAX_POLLS);
    let chosen = engines.iter().cycle().skip(turn).take(count);
    for question in chosen {
        tokio::spawn(ask(Arc::clone(gateway), question.clone()));
    }
    (turn + count) % engines.len().max(1)
}

async fn ask(gateway: Arc<Gateway>, (cell, name, address, mark): Question) {
    let report = match timeout(TIMEOUT, gateway.engine.state(address)).await {
        Ok(Ok(state)) => {
            let weights = Weights {
                versions: state.models,
                swapping: state.swapping,
            };
            cell.state().pool.apply_weights(&name, mark, weights);
            Some(Report {
                load: state.running.saturating_add(state.waiting),
                is_leaving: state.leaving,
            })
        }
        Ok(Err(error)) if error.current_context().kind == Kind::Unreachable => None,
        // A late or unreadable report says nothing about the engine's requests.
        Ok(Err(_)) | Err(_) => return,
    };
    let now = gateway.context.clock.now();
    cell.state().pool.apply_report(&name, mark, report, now);
    admission::wake(&cell, &gateway.context.clock);
}
