//! How fresh this node's copy of the operators' objects provably is (strict revocation).
//!
//! [`Chain`] keeps the proof, which the store's answers and the node's sources renew;
//! [`Fetcher`] decides when this module fetches one from the store. Only active where
//! [`Shared::requires_freshness`] holds.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use shallotroute_fleet::freshness::{Chain, Fetcher, Passed, Path, Standing};
use tokio::sync::watch;

use crate::{
    follow,
    metric::Metrics,
    shared::Shared,
    view::{self, Prefix},
};

/// The interval at which the standing is checked for logs and metrics, and the longest sleep before a fetch:
/// timers stand still while the host is suspended.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The proof that this node's copy of the operators' objects is complete.
pub(crate) struct Freshness {
    /// `None` without a bound in the settings.
    chain: Option<Mutex<Chain>>,
    /// Locked from the change of the copy of the operators' objects until the change is in force.
    application: Mutex<()>,
    /// Incremented with each newer proof.
    generation: watch::Sender<u64>,
}

impl Freshness {
    /// Creates the state of a node without a proof.
    pub(crate) fn new(bound: Option<Duration>) -> Self {
        Self {
            chain: bound.map(|bound| Mutex::new(Chain::new(bound))),
            application: Mutex::default(),
            generation: watch::channel(0).0,
        }
    }

    /// Returns a guard to hold while a change of the operators' objects is added to the copy and put in force.
    pub(crate) fn lock_application(&self) -> MutexGuard<'_, ()> {
        lock(&self.application)
    }

    /// Records that the store has answered a read or a watch of all operators' objects that was sent at
    /// `sent_at`, since boot. The answer has been applied.
    pub(crate) fn confirm(&self, sent_at: Duration) {
        self.record(|chain| chain.confirm(sent_at));
    }

    /// Records the proof of a source, whose response has been applied.
    pub(crate) fn confirm_from_source(&self, sent_at: Duration, passed: Passed, now: Duration) {
        self.record(|chain| chain.confirm_from_source(sent_at, passed, now));
    }

    fn record(&self, confirm: impl FnOnce(&mut Chain) -> bool) {
        let Some(chain) = &self.chain else {
            return;
        };
        // A change that another task has added to the copy may not be in force yet.
        let applied = self.lock_application();
        let is_newer = confirm(&mut lock(chain));
        drop(applied);
        if is_newer {
            self.generation.send_modify(|generation| *generation += 1);
        }
    }

    /// Returns as of when the copy is complete, since boot; `None` without a proof.
    pub(crate) fn confirmed_at(&self) -> Option<Duration> {
        lock(self.chain.as_ref()?).confirmed_at()
    }

    /// Returns the age of the proof; `None` without one.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        lock(self.chain.as_ref()?).age(now)
    }

    /// Returns whether a follower should get this node's proof before there is a change.
    pub(crate) fn is_worth_passing(
        &self,
        follower_age: Option<Duration>,
        held: Duration,
        now: Duration,
    ) -> bool {
        let chain = self.chain.as_ref();
        chain.is_some_and(|chain| lock(chain).is_worth_passing(follower_age, held, now))
    }

    /// Returns a receiver that changes with each newer proof.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.generation.subscribe()
    }

    /// Returns whether this node may decide about keys; without a bound it always may.
    pub(crate) fn standing(&self, now: Duration) -> Standing {
        match &self.chain {
            Some(chain) => lock(chain).standing(now),
            None => Standing::Fresh,
        }
    }
}

/// Fetches proofs from the store when none has come another way, until the process exits.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Some(bound) = shared.settings.revocation else {
        return;
    };
    tokio::spawn(observe(Arc::clone(&shared)));
    let mut fetcher = None;
    let mut table = shared.active_table.subscribe();
    loop {
        table.mark_unchanged();
        if !shared.requires_freshness() {
            fetcher = None;
            // The sender lives as long as the process.
            let _ = table.changed().await;
            continue;
        }
        let now = shared.boot_time();
        let fetcher = fetcher.get_or_insert_with(|| Fetcher::new(bound, now, rand::random()));
        let path = path(&shared);
        let due_at = fetcher.due_at(shared.freshness.confirmed_at(), path);
        if now < due_at {
            tokio::time::sleep((due_at - now).min(CHECK_INTERVAL)).await;
            continue;
        }
        match follow::fetch_proof(&shared).await {
            Ok(()) => {
                fetcher.record_success(rand::random());
                Metrics::count(&shared.metrics.proofs, "fetched");
            }
            Err(error) => {
                fetcher.record_failure(path, shared.boot_time(), rand::random());
                Metrics::count(&shared.metrics.proofs, "failed");
                spdlog::debug!("failed to confirm the configuration at the platform store", kv: {
                    prefix = Prefix::Operators.key(), error = error.to_string(),
                });
            }
        }
    }
}

fn path(shared: &Shared) -> Path {
    if view::is_watching(shared) {
        return Path::Watching;
    }
    let source = view::standing(shared).source;
    let members = shared.members.borrow();
    let is_unproven = source
        .and_then(|source| members.nodes.get(&source))
        .is_some_and(|member| !members.speaks(&member.owner, follow::FOLLOW_PROTOCOL));
    match is_unproven {
        true => Path::Unproven,
        false => Path::Following,
    }
}

/// Logs and counts changes of the standing, and keeps the metric of the age current.
async fn observe(shared: Arc<Shared>) {
    let mut last = None;
    loop {
        if shared.requires_freshness() && shared.active_table.borrow().is_some() {
            let now = shared.boot_time();
            let age = shared.freshness.age(now);
            let state = shared.freshness_standing().name();
            shared
                .metrics
                .configuration_age
                .set(age.unwrap_or(now).as_secs_f64());
            if last != Some(state) {
                Metrics::count(&shared.metrics.freshness, state);
                spdlog::info!("freshness of the configuration", kv: {
                    state, confirmed_ms_ago = format!("{:?}", age.map(|age| age.as_millis())),
                });
                last = Some(state);
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
