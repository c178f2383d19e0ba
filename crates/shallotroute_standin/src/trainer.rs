//! A trainer that submits steps, pulls their samples, trains for a set time and announces the next
//! version. Start with [`Trainer`].

mod api;
mod receipt;
mod record;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::json;
use shallotroute_http::client::Client;
use shallotroute_types::{name::Name, version::Version};

pub use self::{
    api::Sample,
    record::{Delivery, Record, Step},
};
use self::{
    api::{Api, Failure, Group},
    receipt::Receipt,
};
use crate::weight;

/// What a trainer does.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the trainer object.
    pub name: Name,
    /// The model that it trains.
    pub model: Name,
    /// The key of the caller that acts for it.
    pub key: String,
    /// The nodes, of which one is asked at a time and the next one after a failure.
    pub nodes: Vec<SocketAddr>,
    /// How many steps it trains.
    pub steps: u64,
    /// Groups in a step.
    pub groups: u32,
    /// Samples in a group.
    pub group_size: u32,
    /// The most tokens of a sample.
    pub max_tokens: u32,
    /// How long it trains on one step.
    pub train_time: Duration,
    /// How many steps it submits before it has the samples of the current one.
    pub steps_ahead: u64,
    /// How long a pull waits for groups.
    pub pull_wait: Duration,
    /// The most groups of one pull.
    pub max_groups: u32,
    /// The seed of the prompts.
    pub seed: u64,
}

/// A trainer.
#[derive(Debug)]
pub struct Trainer {
    settings: Settings,
    api: Api,
    weights: Option<Arc<weight::Store>>,
    record: Mutex<Record>,
    finishing: AtomicBool,
}

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

impl Trainer {
    /// Makes a trainer that puts its versions in `weights`.
    pub fn new(settings: Settings, client: Client, weights: Option<Arc<weight::Store>>) -> Self {
        Self {
            api: Api::new(client, &settings),
            record: Mutex::new(Record::default()),
            finishing: AtomicBool::new(false),
            settings,
            weights,
        }
    }

    /// Returns the trainer's settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns what has happened so far.
    pub fn record(&self) -> Record {
        self.lock().clone()
    }

    /// Returns when the last sample arrived and the node that ran it.
    pub fn last_node(&self) -> Option<(Instant, Name)> {
        let record = self.lock();
        let last = record.deliveries.last()?;
        Some((last.at, last.sample.node.clone()?))
    }

    /// Submits no more steps; those submitted are still collected, without training on them.
    pub fn finish(&self) {
        self.finishing.store(true, Ordering::Relaxed);
        self.lock().finished = Some(Instant::now());
    }

    /// Trains until all steps are done or `deadline` has passed, and tells whether all are done.
    pub async fn run(&self, deadline: Instant) -> bool {
        self.lock().started = Some(Instant::now());
        let done = tokio::time::timeout_at(deadline.into(), self.train()).await;
        let mut record = self.lock();
        record.close(Instant::now());
        done.is_ok()
    }

    async fn train(&self) {
        let mut version = Version(0);
        let mut submitted = 0;
        for step in 0..self.settings.steps {
            self.lock().waiting_since(step, Instant::now());
            let last = self
                .settings
                .steps
                .min(step + self.settings.steps_ahead + 1);
            while submitted < last && !self.is_finishing() {
                self.submit(submitted).await;
                submitted += 1;
            }
            if step == submitted {
                return;
            }
            self.collect(step, version).await;
            self.lock().completed_at(step, Instant::now());
            if !self.is_finishing() {
                tokio::time::sleep(self.settings.train_time).await;
                version = version.next();
                self.announce(version).await;
            }
        }
    }

    fn is_finishing(&self) -> bool {
        self.finishing.load(Ordering::Relaxed)
    }

    async fn submit(&self, step: u64) {
        self.lock().submitted(step, &self.settings, Instant::now());
        let settings = &self.settings;
        let prompts: Vec<String> = (0..settings.groups)
            .map(|group| prompt(settings, step, group))
            .collect();
        let specification = json!({
            "prompts": prompts,
            "group_size": settings.group_size,
            "max_tokens": settings.max_tokens,
        });
        while let Err(failure) = self.api.submit(step, &specification).await {
            self.pause(&failure).await;
        }
    }

    async fn collect(&self, step: u64, version: Version) {
        let mut receipt = Receipt::new(self.settings.groups);
        while !receipt.is_whole() {
            let pull = json!({
                "receipt": receipt.to_hex(),
                "version": version,
                "wait_ms": u64::try_from(self.settings.pull_wait.as_millis()).unwrap_or(u64::MAX),
                "max_groups": self.settings.max_groups,
            });
            match self.api.pull(step, &pull).await {
                Ok(answer) => {
                    let whole = answer.complete;
                    self.accept(step, version, answer.groups, &mut receipt);
                    if whole && !receipt.is_whole() {
                        self.lock().ended_early += 1;
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
                Err(Failure::UnknownStep) => {
                    self.lock().resubmitted += 1;
                    self.submit(step).await;
                }
                Err(failure) => self.pause(&failure).await,
            }
        }
    }

    fn accept(&self, step: u64, version: Version, groups: Vec<Group>, receipt: &mut Receipt) {
        let mut record = self.lock();
        for group in groups {
            let expected = self.settings.group_size as usize;
            if !receipt.add(group.group) {
                record.duplicates += group.samples.len() as u64;
                continue;
            }
            record.lost += expected.saturating_sub(group.samples.len()) as u64;
            for sample in group.samples {
                record.deliver(&self.settings.name, step, group.group, version, sample);
            }
        }
    }

    async fn announce(&self, version: Version) {
        if let Some(weights) = &self.weights {
            weights.put(&self.settings.model, version);
        }
        while let Err(failure) = self.api.announce(version).await {
            self.pause(&failure).await;
        }
        self.lock().announced.push((version, Instant::now()));
    }

    async fn pause(&self, failure: &Failure) {
        self.lock().failures.push(failure.to_string());
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("no holder of the lock panics")
    }
}

/// Makes the prompt of a group; the prompts of a trainer share their beginning.
fn prompt(settings: &Settings, step: u64, group: u32) -> String {
    format!(
        "You advise members of a trade association on prices and doses. Answer in one sentence \
         and give the reason first. Trainer {}, seed {}, step {step}, question {group}.",
        settings.name, settings.seed
    )
}
