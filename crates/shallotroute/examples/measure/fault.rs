//! What goes wrong during a run.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use shallotroute_standin::{
    engine::{self, Refusal, StreamFault, SwapFault},
    service, store,
};

use crate::{
    Error,
    world::{LEAVING, World},
};

/// A change to the world.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// The key-value service is down.
    StoreDown,
    /// The key-value service is up again, without faults.
    StoreUp,
    /// The key-value service answers after 2 s and loses one answer to a write in ten.
    StoreSlow,
    /// SIGKILL for the node that ran the last delivered sample.
    KillOwner,
    /// The killed node starts again.
    RestartNode,
    /// SIGSTOP for the node that ran the last delivered sample.
    PauseOwner,
    /// SIGCONT for the paused node.
    ResumeNode,
    /// The first sampler crashes.
    CrashEngine,
    /// The crashed sampler starts again with old weights.
    RestartEngine,
    /// The second sampler cuts, reorders or mixes up every fifth stream, or no longer.
    BadStreams(bool),
    /// The first sampler takes this many times as long for each token.
    SlowEngine(f64),
    /// Swaps of the second sampler fail partway, or no longer.
    PartialSwaps(bool),
    /// The last sampler leaves by its own signals; the host list lags.
    EngineLeaves,
    /// A plain service leaves by its own signals; the host list lags.
    ServiceLeaves,
    /// A sampler leaves by the operator's object only.
    OperatorLeaves,
}

/// What the faults did, for the report.
#[derive(Debug, Default)]
pub(crate) struct Injector {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    killed: Option<usize>,
    paused: Option<usize>,
    outages: Vec<Outage>,
}

/// A time in which a node was killed or paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    pub(crate) node: usize,
    pub(crate) from: Instant,
    pub(crate) to: Option<Instant>,
}

impl Injector {
    /// Carries out a scenario's faults at their times.
    pub(crate) async fn run(
        &self,
        world: &World,
        faults: &[(Duration, Fault)],
        start: Instant,
    ) -> Result<(), Error> {
        for (after, fault) in faults {
            tokio::time::sleep_until((start + *after).into()).await;
            self.inject(world, *fault).await?;
        }
        Ok(())
    }

    /// Ends the faults that would keep the run from ending.
    pub(crate) async fn heal(&self, world: &World) -> Result<(), Error> {
        self.inject(world, Fault::StoreUp).await?;
        self.inject(world, Fault::ResumeNode).await
    }

    /// Returns when nodes were killed or paused.
    pub(crate) fn outages(&self) -> Vec<Outage> {
        self.lock().outages.clone()
    }

    async fn inject(&self, world: &World, fault: Fault) -> Result<(), Error> {
        let nodes = &world.fleet.nodes;
        match fault {
            Fault::StoreDown => world.fleet.store.set_down(true).await?,
            Fault::StoreUp => {
                world.fleet.store.set_fault(store::Fault::default());
                world.fleet.store.set_down(false).await?;
            }
            Fault::StoreSlow => world.fleet.store.set_fault(store::Fault {
                delay: Duration::from_secs(2),
                lose_every: 10,
            }),
            Fault::KillOwner => {
                // A paused node may still be the one that delivered last; it is to be resumed later.
                let owner = match owner(world) {
                    owner if self.lock().paused == Some(owner) => (owner + 1) % nodes.len(),
                    owner => owner,
                };
                self.lock().lose(owner).killed = Some(owner);
                nodes[owner].kill();
            }
            Fault::RestartNode => {
                let node = self.lock().killed.take();
                if let Some(node) = node {
                    nodes[node].restart()?;
                    self.lock().recover(node);
                }
            }
            Fault::PauseOwner => {
                let owner = owner(world);
                self.lock().lose(owner).paused = Some(owner);
                nodes[owner].pause();
            }
            Fault::ResumeNode => {
                let node = self.lock().paused.take();
                if let Some(node) = node {
                    nodes[node].resume();
                    self.lock().recover(node);
                }
            }
            _ => inject_backend(world, fault).await?,
        }
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn lose(&mut self, node: usize) -> &mut Self {
        self.outages.push(Outage {
            node,
            from: Instant::now(),
            to: None,
        });
        self
    }

    fn recover(&mut self, node: usize) {
        let open = |outage: &&mut Outage| outage.node == node && outage.to.is_none();
        for outage in self.outages.iter_mut().filter(open) {
            outage.to = Some(Instant::now());
        }
    }
}

async fn inject_backend(world: &World, fault: Fault) -> Result<(), Error> {
    let first = &world.samplers[0];
    let second = &world.samplers[1];
    let last = &world.samplers[world.samplers.len() - 1];
    match fault {
        Fault::CrashEngine => first.crash(),
        Fault::RestartEngine => first.restart().await?,
        Fault::SlowEngine(slow) => first.set_fault(engine::Fault {
            slow,
            ..first.fault()
        }),
        Fault::BadStreams(on) => second.set_fault(engine::Fault {
            stream: on.then_some(StreamFault::Reordered),
            stream_every: 5,
            ..second.fault()
        }),
        Fault::PartialSwaps(on) => second.set_fault(engine::Fault {
            swap: on.then_some(SwapFault::Partial),
            ..second.fault()
        }),
        Fault::EngineLeaves => {
            last.set_fault(engine::Fault {
                refusal: Some(Refusal::Leaving),
                ..last.fault()
            });
            world.fleet.hosts.set(last.name(), LEAVING);
            world.note_leaving(last.name());
        }
        Fault::ServiceLeaves => {
            let desk = &world.desks[1];
            desk.set_fault(service::Fault {
                leaving: true,
                ..service::Fault::default()
            });
            world.fleet.hosts.set(desk.name(), LEAVING);
            world.note_leaving(desk.name());
        }
        Fault::OperatorLeaves => {
            let _edit = world.edits.write().await;
            let name = world.samplers[2].name();
            world.configuration().set_server_state(name, "leaving");
            let text = world.configuration().to_yaml();
            let admin = world.fleet.admin(0);
            world.note_leaving(name);
            world
                .fleet
                .operator
                .publish(admin, &text, "a sampler leaves")
                .await?;
        }
        _ => {}
    }
    Ok(())
}

/// Returns the node that ran the last delivered sample, or the first node before any was.
fn owner(world: &World) -> usize {
    let last = world
        .trainers
        .iter()
        .filter_map(|trainer| trainer.last_node())
        .max_by_key(|(at, _)| *at);
    let nodes = &world.fleet.nodes;
    last.and_then(|(_, name)| {
        nodes
            .iter()
            .position(|node| node.settings().id == name.as_str())
    })
    .unwrap_or_default()
}
