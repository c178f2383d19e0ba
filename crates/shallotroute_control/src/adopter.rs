//! Carries out what the adoption of revisions asks for.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use rand_chacha::ChaCha8Rng;
use shallotroute_config::{
    adoption::{Action, Adoption, Call, Event, Local, Origin, Report},
    bundle::Part,
};
use shallotroute_context::{Context, freshness::Input};
use shallotroute_types::revision::Revision;

use crate::{Outputs, health::Health, metric::Metrics, peer, repository::Repository};

/// The adoption of revisions with its inputs and outputs.
pub(crate) struct Adopter {
    context: Context,
    repository: Arc<Repository>,
    outputs: Outputs,
    metrics: Metrics,
    store_health: Health,
    state: Mutex<State>,
}

struct State {
    adoption: Adoption,
    rng: ChaCha8Rng,
}

impl Adopter {
    pub(crate) fn new(
        context: Context,
        repository: Arc<Repository>,
        outputs: Outputs,
        metrics: Metrics,
        rng: ChaCha8Rng,
    ) -> Self {
        let local = Local {
            id: context.local.id.clone(),
            zone: context.local.zone.clone(),
            incarnation: context.local.incarnation,
        };
        let adoption = Adoption::new(local, context.clock.now());
        Self {
            context,
            repository,
            outputs,
            metrics,
            store_health: Health::new("the key-value service"),
            state: Mutex::new(State { adoption, rng }),
        }
    }

    /// Takes an event, writes the outputs and starts what is to be done.
    pub(crate) fn feed(self: &Arc<Self>, event: Event) {
        let now = self.context.clock.now();
        let mut state = self.lock();
        let State { adoption, rng } = &mut *state;
        let actions = adoption.handle(event, now, rng);
        for action in actions {
            self.start(action);
        }
        self.write(&state.adoption, now);
    }

    /// Notes the report of a node that calls and returns this node's own.
    pub(crate) fn reported(self: &Arc<Self>, report: Report) -> Report {
        self.feed(Event::Reported(report));
        self.report()
    }

    /// Returns what other nodes are told.
    pub(crate) fn report(&self) -> Report {
        self.lock().adoption.report()
    }

    /// Returns the record of the newest revision if it is at least `revision`.
    pub(crate) fn record(&self, revision: Revision) -> Option<Vec<u8>> {
        let state = self.lock();
        let held = state.adoption.newest()?;
        (held.snapshot.revision() >= revision).then(|| held.bundle.record.clone())
    }

    /// Returns a part of any revision that the node holds.
    pub(crate) fn part(&self, hash: &str) -> Option<Part> {
        self.lock().adoption.part(hash)
    }

    /// Returns a value computed from the adoption's state and the current time.
    pub(crate) fn inspect<T>(&self, read: impl FnOnce(&Adoption, Instant) -> T) -> T {
        read(&self.lock().adoption, self.context.clock.now())
    }

    /// Writes the host list for the other parts of the node.
    pub(crate) fn write_hosts(&self, hosts: Vec<shallotroute_platform::host::Host>) {
        self.outputs.hosts.send_if_modified(|current| {
            let changed = **current != hosts;
            if changed {
                *current = Arc::new(hosts);
            }
            changed
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, adoption: &Adoption, now: Instant) {
        replace(&self.outputs.known, adoption.known());
        replace(&self.outputs.confirmed, adoption.is_confirmed(now));
        if let Some(asked) = adoption.current_as_of() {
            self.context
                .freshness
                .record_read(Input::Configuration, asked);
        }
        self.metrics.set(adoption, now);
    }

    fn start(self: &Arc<Self>, action: Action) {
        if let Action::Apply(snapshot) = action {
            spdlog::info!("revision {} is in force", snapshot.revision());
            self.metrics.applied();
            self.repository.remember(Arc::clone(&snapshot));
            self.outputs.configuration.send_replace(Some(snapshot));
            return;
        }
        let adopter = Arc::clone(self);
        let stop = self.context.stop.clone();
        tokio::spawn(async move {
            let ended = stop.run_until_cancelled(adopter.carry_out(action)).await;
            if let Some(Some(event)) = ended {
                adopter.feed(event);
            }
        });
    }

    async fn carry_out(&self, action: Action) -> Option<Event> {
        match action {
            Action::Watch { .. } | Action::Read => Some(self.ask_head(action).await),
            Action::Load(hash) => Some(Event::Received {
                origin: Origin::Store,
                bundle: logged(self.repository.bundle(&hash, |part| self.part(part)).await),
            }),
            Action::Fetch {
                peer,
                address,
                revision,
            } => Some(Event::Received {
                origin: Origin::Peer(peer),
                bundle: logged(peer::fetch(address, revision, |part| self.part(part)).await)
                    .flatten(),
            }),
            Action::Compare { address, .. } => {
                logged(peer::compare(address, self.report()).await).map(Event::Reported)
            }
            Action::Apply(_) => None,
        }
    }

    async fn ask_head(&self, action: Action) -> Event {
        let asked = self.context.clock.now();
        let (call, result) = match action {
            Action::Watch { known, wait } => {
                (Call::Watch, self.repository.watch(known, wait).await)
            }
            Action::Read
            | Action::Load(_)
            | Action::Fetch { .. }
            | Action::Compare { .. }
            | Action::Apply(_) => (Call::Read, self.repository.head().await),
        };
        self.store_health.note(&result);
        match result {
            Ok((version, head)) => Event::Head {
                call,
                version,
                head,
                asked,
            },
            Err(_) => Event::HeadFailed(call),
        }
    }
}

fn logged<T>(result: crate::error::Result<T>) -> Option<T> {
    result
        .inspect_err(|report| spdlog::debug!("{:?}", report))
        .ok()
}

fn replace<T: PartialEq>(sender: &tokio::sync::watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| {
        let changed = *current != value;
        if changed {
            *current = value;
        }
        changed
    });
}
