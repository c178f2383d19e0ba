//! A simulated trainer, which submits steps, pulls their samples, sleeps for the training time and
//! announces the next version. Start with [`Trainer`].

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

/// The settings of a trainer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the trainer object.
    pub name: Name,
    /// The model that the trainer trains.
    pub model: Name,
    /// The API key of the caller that acts for the trainer.
    pub key: String,
    /// The nodes; calls go to one of them, and to the next one after a failure.
    pub nodes: Vec<SocketAddr>,
    /// The number of steps to train.
    pub steps: u64,
    /// The number of groups in a step.
    pub groups: u32,
    /// The number of samples in a group.
    pub group_size: u32,
    /// The maximum number of tokens of a sample.
    pub max_tokens: u32,
    /// The training time of a step.
    pub train_time: Duration,
    /// The number of later steps that are submitted before the samples of the current step are
    /// complete.
    pub steps_ahead: u64,
    /// The maximum time that a node holds a pull until groups are ready.
    pub pull_wait: Duration,
    /// The maximum number of groups in the response to a pull.
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
    should_finish: AtomicBool,
}

/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl Trainer {
    /// Creates a trainer that stores its versions in `weights`, if given.
    pub fn new(settings: Settings, client: Client, weights: Option<Arc<weight::Store>>) -> Self {
        Self {
            api: Api::new(client, &settings),
            record: Mutex::new(Record::default()),
            should_finish: AtomicBool::new(false),
            settings,
            weights,
        }
    }

    /// Returns the trainer's settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the record so far.
    pub fn record(&self) -> Record {
        self.lock().clone()
    }

    /// Returns the arrival time and the node of the last delivered sample; none before the first
    /// sample or if the sample names no node.
    pub fn last_node(&self) -> Option<(Instant, Name)> {
        let record = self.lock();
        let last = record.deliveries.last()?;
        Some((last.at, last.sample.node.clone()?))
    }

    /// Makes the trainer submit no more steps. The samples of submitted steps are still collected,
    /// but no longer trained on.
    pub fn finish(&self) {
        self.should_finish.store(true, Ordering::Relaxed);
        self.lock().finished = Some(Instant::now());
    }

    /// Trains until all steps are done or `deadline` has passed. Returns whether all are done, or
    /// all submitted ones after [`Trainer::finish`].
    pub async fn run(&self, deadline: Instant) -> bool {
        self.lock().started = Some(Instant::now());
        let done = tokio::time::timeout_at(deadline.into(), self.train()).await;
        let mut record = self.lock();
        record.record_end(Instant::now());
        done.is_ok()
    }

    async fn train(&self) {
        let mut version = Version(0);
        let mut submitted = 0;
        for step in 0..self.settings.steps {
            self.lock().record_wait_start(step, Instant::now());
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
            self.lock().record_completion(step, Instant::now());
            if !self.is_finishing() {
                tokio::time::sleep(self.settings.train_time).await;
                version = version.next();
                self.announce(version).await;
            }
        }
    }

    fn is_finishing(&self) -> bool {
        self.should_finish.load(Ordering::Relaxed)
    }

    async fn submit(&self, step: u64) {
        self.lock()
            .record_submission(step, &self.settings, Instant::now());
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
            self.back_off(&failure).await;
        }
    }

    /// Pulls the groups of a step until all have arrived.
    async fn collect(&self, step: u64, version: Version) {
        let mut receipt = Receipt::new(self.settings.groups);
        while !receipt.is_complete() {
            let pull = json!({
                "receipt": receipt.to_hex(),
                "version": version,
                "wait_ms": u64::try_from(self.settings.pull_wait.as_millis()).unwrap_or(u64::MAX),
                "max_groups": self.settings.max_groups,
            });
            match self.api.pull(step, &pull).await {
                Ok(response) => {
                    let is_reported_complete = response.complete;
                    self.accept(step, version, response.groups, &mut receipt);
                    if is_reported_complete && !receipt.is_complete() {
                        self.lock().ended_early += 1;
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
                Err(Failure::UnknownStep) => {
                    self.lock().resubmitted += 1;
                    self.submit(step).await;
                }
                Err(failure) => self.back_off(&failure).await,
            }
        }
    }

    /// Records the groups of a pull and adds them to the receipt.
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
                record.record_delivery(&self.settings.name, step, group.group, version, sample);
            }
        }
    }

    async fn announce(&self, version: Version) {
        if let Some(weights) = &self.weights {
            weights.put(&self.settings.model, version);
        }
        while let Err(failure) = self.api.announce(version).await {
            self.back_off(&failure).await;
        }
        self.lock().announced.push((version, Instant::now()));
    }

    /// Records a failed call and waits before the retry.
    async fn back_off(&self, failure: &Failure) {
        self.lock().failures.push(failure.to_string());
        tokio::time::sleep(RETRY_DELAY).await;
    }

    fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("no holder of the lock panics")
    }
}

/// Returns the prompt of a group. The prompts of a trainer share a prefix.
fn prompt(settings: &Settings, step: u64, group: u32) -> String {
    format!(
        "You advise members of a trade association on prices and doses. Answer in one sentence \
         and give the reason first. Trainer {}, seed {}, step {step}, question {group}.",
        settings.name, settings.seed
    )
}
