//! Drives the state machine by which the node adopts revisions: feeds it events, executes its
//! actions and publishes its state to the other parts of the node.

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

/// The driver of the [`Adoption`] state machine.
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

    /// Processes an event, starts the resulting actions in the background and updates the outputs.
    pub(crate) fn handle_event(self: &Arc<Self>, event: Event) {
        let now = self.context.clock.now();
        let mut state = self.lock();
        let State { adoption, rng } = &mut *state;
        let actions = adoption.handle(event, now, rng);
        for action in actions {
            self.start_action(action);
        }
        self.write_outputs(&state.adoption, now);
    }

    /// Records the report of another node and returns this node's own.
    pub(crate) fn record_report(self: &Arc<Self>, report: Report) -> Report {
        self.handle_event(Event::Reported(report));
        self.report()
    }

    /// Returns this node's report for other nodes.
    pub(crate) fn report(&self) -> Report {
        self.lock().adoption.report()
    }

    /// Returns the encoded record of the newest revision that the node holds; `None` if that is
    /// older than `revision`.
    pub(crate) fn record(&self, revision: Revision) -> Option<Vec<u8>> {
        let state = self.lock();
        let replica = state.adoption.newest()?;
        (replica.snapshot.revision() >= revision).then(|| replica.bundle.record.clone())
    }

    /// Returns the part with this hash; `None` if no revision that the node holds contains it.
    pub(crate) fn part(&self, hash: &str) -> Option<Part> {
        self.lock().adoption.part(hash)
    }

    /// Returns the result of `read` on the state machine and the current time. `read` runs under
    /// the lock.
    pub(crate) fn inspect<T>(&self, read: impl FnOnce(&Adoption, Instant) -> T) -> T {
        read(&self.lock().adoption, self.context.clock.now())
    }

    /// Publishes the host list to the other parts of the node.
    pub(crate) fn set_hosts(&self, hosts: Vec<shallotroute_platform::host::Host>) {
        self.outputs.hosts.send_if_modified(|current| {
            let is_changed = **current != hosts;
            if is_changed {
                *current = Arc::new(hosts);
            }
            is_changed
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_outputs(&self, adoption: &Adoption, now: Instant) {
        send_if_changed(&self.outputs.known, adoption.known());
        send_if_changed(&self.outputs.confirmed, adoption.is_confirmed(now));
        if let Some(as_of) = adoption.current_as_of() {
            self.context
                .freshness
                .record_read(Input::Configuration, as_of);
        }
        self.metrics.update(adoption, now);
    }

    fn start_action(self: &Arc<Self>, action: Action) {
        if let Action::Apply(snapshot) = action {
            spdlog::info!("revision {} is in force", snapshot.revision());
            self.metrics.count_applied_revision();
            self.repository.cache_in_force(Arc::clone(&snapshot));
            self.outputs.configuration.send_replace(Some(snapshot));
            return;
        }
        let adopter = Arc::clone(self);
        let stop = self.context.stop.clone();
        tokio::spawn(async move {
            let outcome = stop.run_until_cancelled(adopter.execute(action)).await;
            if let Some(Some(event)) = outcome {
                adopter.handle_event(event);
            }
        });
    }

    /// Executes an action to its end and returns the event that reports it.
    async fn execute(&self, action: Action) -> Option<Event> {
        match action {
            Action::Watch { .. } | Action::Read => Some(self.read_head(action).await),
            Action::Load(hash) => Some(Event::Received {
                origin: Origin::Store,
                bundle: ok_or_log(self.repository.bundle(&hash, |part| self.part(part)).await),
            }),
            Action::Fetch {
                peer,
                address,
                revision,
            } => Some(Event::Received {
                origin: Origin::Peer(peer),
                bundle: ok_or_log(peer::fetch(address, revision, |part| self.part(part)).await)
                    .flatten(),
            }),
            Action::Compare { address, .. } => {
                ok_or_log(peer::exchange_reports(address, self.report()).await).map(Event::Reported)
            }
            Action::Apply(_) => None,
        }
    }

    /// Watches the head for [`Action::Watch`] and reads it for any other action.
    async fn read_head(&self, action: Action) -> Event {
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
        self.store_health.log_change(&result);
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

/// Returns the value of `result`, or logs its error at debug level and returns `None`.
fn ok_or_log<T>(result: crate::error::Result<T>) -> Option<T> {
    result
        .inspect_err(|report| spdlog::debug!("{:?}", report))
        .ok()
}

/// Sets the value of a watch channel without waking the receivers if it is the same.
fn send_if_changed<T: PartialEq>(sender: &tokio::sync::watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| {
        let is_changed = *current != value;
        if is_changed {
            *current = value;
        }
        is_changed
    });
}
