//! Faults that are injected during a run.

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
    testbed::{HOST_LEAVING, Testbed},
};

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// The key-value service is down.
    StoreDown,
    /// The key-value service is up again, without faults.
    StoreUp,
    /// The key-value service responds after 2 s and drops the response to every tenth write.
    StoreSlow,
    /// Sends SIGKILL to the node that ran the last delivered sample.
    KillOwner,
    /// Starts the killed node again.
    RestartNode,
    /// Sends SIGSTOP to the node that ran the last delivered sample.
    PauseOwner,
    /// Sends SIGCONT to the paused node.
    ResumeNode,
    /// The first sampler crashes.
    CrashEngine,
    /// The crashed sampler starts again with old weights.
    RestartEngine,
    /// The second sampler reorders chunks in every fifth stream (`true`), or no longer (`false`).
    BadStreams(bool),
    /// The first sampler takes this many times as long for each token, where 1 is the normal speed.
    SlowEngine(f64),
    /// Weight swaps of the second sampler fail partway (`true`), or no longer (`false`).
    PartialSwaps(bool),
    /// The last sampler signals that it leaves; the host list shows it only after its lag.
    EngineLeaves,
    /// The second order desk signals that it leaves; the host list shows it only after its lag.
    ServiceLeaves,
    /// An operator publishes that the third sampler leaves; the sampler itself signals nothing.
    OperatorLeaves,
}

/// Injects faults and records the outages of nodes that they cause.
#[derive(Debug, Default)]
pub(crate) struct Injector {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Index of the node that was killed last and not restarted.
    killed: Option<usize>,
    /// Index of the node that was paused last and not resumed.
    paused: Option<usize>,
    outages: Vec<Outage>,
}

/// A period in which a node was killed or paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    pub(crate) node: usize,
    pub(crate) from: Instant,
    /// `None` while the outage lasts.
    pub(crate) to: Option<Instant>,
}

impl Injector {
    /// Injects the faults at their times after `start`; `faults` must be in order of time.
    pub(crate) async fn run(
        &self,
        testbed: &Testbed,
        faults: &[(Duration, Fault)],
        start: Instant,
    ) -> Result<(), Error> {
        for (after, fault) in faults {
            tokio::time::sleep_until((start + *after).into()).await;
            self.inject(testbed, *fault).await?;
        }
        Ok(())
    }

    /// Brings the key-value service up and resumes a paused node, so that the run can end.
    pub(crate) async fn clear_faults(&self, testbed: &Testbed) -> Result<(), Error> {
        self.inject(testbed, Fault::StoreUp).await?;
        self.inject(testbed, Fault::ResumeNode).await
    }

    /// Returns the periods in which nodes were killed or paused.
    pub(crate) fn outages(&self) -> Vec<Outage> {
        self.lock().outages.clone()
    }

    async fn inject(&self, testbed: &Testbed, fault: Fault) -> Result<(), Error> {
        let nodes = &testbed.cluster.nodes;
        match fault {
            Fault::StoreDown => testbed.cluster.store.set_down(true).await?,
            Fault::StoreUp => {
                testbed.cluster.store.set_fault(store::Fault::default());
                testbed.cluster.store.set_down(false).await?;
            }
            Fault::StoreSlow => testbed.cluster.store.set_fault(store::Fault {
                delay: Duration::from_secs(2),
                lose_every: 10,
            }),
            Fault::KillOwner => {
                // If the last node that delivered is paused, another one is killed, so that the
                // paused one can be resumed.
                let owner = match last_deliverer(testbed) {
                    owner if self.lock().paused == Some(owner) => (owner + 1) % nodes.len(),
                    owner => owner,
                };
                self.lock().begin_outage(owner).killed = Some(owner);
                nodes[owner].kill();
            }
            Fault::RestartNode => {
                let node = self.lock().killed.take();
                if let Some(node) = node {
                    nodes[node].restart()?;
                    self.lock().end_outage(node);
                }
            }
            Fault::PauseOwner => {
                let owner = last_deliverer(testbed);
                self.lock().begin_outage(owner).paused = Some(owner);
                nodes[owner].pause();
            }
            Fault::ResumeNode => {
                let node = self.lock().paused.take();
                if let Some(node) = node {
                    nodes[node].resume();
                    self.lock().end_outage(node);
                }
            }
            _ => inject_backend_fault(testbed, fault).await?,
        }
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn begin_outage(&mut self, node: usize) -> &mut Self {
        self.outages.push(Outage {
            node,
            from: Instant::now(),
            to: None,
        });
        self
    }

    fn end_outage(&mut self, node: usize) {
        let is_open = |outage: &&mut Outage| outage.node == node && outage.to.is_none();
        for outage in self.outages.iter_mut().filter(is_open) {
            outage.to = Some(Instant::now());
        }
    }
}

async fn inject_backend_fault(testbed: &Testbed, fault: Fault) -> Result<(), Error> {
    let first = &testbed.samplers[0];
    let second = &testbed.samplers[1];
    let last = &testbed.samplers[testbed.samplers.len() - 1];
    match fault {
        Fault::CrashEngine => first.crash(),
        Fault::RestartEngine => first.restart().await?,
        Fault::SlowEngine(slowdown) => first.set_fault(engine::Fault {
            slowdown,
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
            testbed.cluster.hosts.set(last.name(), HOST_LEAVING);
            testbed.record_leaving(last.name());
        }
        Fault::ServiceLeaves => {
            let desk = &testbed.desks[1];
            desk.set_fault(service::Fault {
                leaving: true,
                ..service::Fault::default()
            });
            testbed.cluster.hosts.set(desk.name(), HOST_LEAVING);
            testbed.record_leaving(desk.name());
        }
        Fault::OperatorLeaves => {
            let _lock = testbed.publication_lock.write().await;
            let name = testbed.samplers[2].name();
            testbed.configuration().set_server_state(name, "leaving");
            let text = testbed.configuration().to_yaml();
            let admin = testbed.cluster.admin(0);
            testbed.record_leaving(name);
            testbed
                .cluster
                .operator
                .publish(admin, &text, "a sampler leaves")
                .await?;
        }
        _ => {}
    }
    Ok(())
}

/// Returns the index of the node that ran the last delivered sample, or 0 before the first
/// delivery.
fn last_deliverer(testbed: &Testbed) -> usize {
    let last_delivery = testbed
        .trainers
        .iter()
        .filter_map(|trainer| trainer.last_node())
        .max_by_key(|(at, _)| *at);
    let nodes = &testbed.cluster.nodes;
    last_delivery
        .and_then(|(_, name)| {
            nodes
                .iter()
                .position(|node| node.settings().id == name.as_str())
        })
        .unwrap_or_default()
}
