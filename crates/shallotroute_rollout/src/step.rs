//! A trainer's step: its specification and the progress of its samples.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use shallotroute_types::{name::Name, sample::Identity};

use crate::{delivery::Sample as Delivered, provenance::Completion, receipt::Receipt};

/// The most samples of one step; bounds the memory that one request takes.
pub const MAX_SAMPLES: usize = 1 << 16;

/// What a trainer asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Specification {
    /// The prompts, one for each group.
    pub prompts: Vec<Arc<str>>,
    /// How many samples each group has.
    pub group_size: u32,
    /// The most tokens of a sample.
    pub max_tokens: u32,
}

impl Specification {
    /// Tells whether the step has samples and not more than [`MAX_SAMPLES`].
    pub fn is_valid(&self) -> bool {
        let samples = self.prompts.len().saturating_mul(self.group_size as usize);
        (1..=MAX_SAMPLES).contains(&samples) && self.max_tokens > 0
    }

    /// Returns the number of groups.
    pub fn group_count(&self) -> u32 {
        self.prompts.len() as u32
    }
}

/// Names a step.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{trainer}/{step}")]
pub struct Key {
    /// The trainer.
    pub trainer: Name,
    /// The trainer's number of the step.
    pub step: u64,
}

/// A number of an attempt, unique within a scheduler.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// How far a sample is.
#[derive(Clone, Debug)]
pub enum Progress {
    /// No attempt runs.
    Waiting,
    /// These attempts run; never empty.
    Running(Vec<AttemptId>),
    /// An answer is being scored.
    Scoring(Box<Scoring>),
    /// Scored and not acknowledged by the trainer.
    Done(Box<Delivered>),
    /// The trainer has it.
    Acknowledged,
}

/// An answer whose score is outstanding.
#[derive(Clone, Debug)]
pub struct Scoring {
    /// The attempt that gave the answer.
    pub attempt: AttemptId,
    /// The answer, without its score.
    pub sample: Delivered,
    /// When to ask the scorer; none while it is being asked.
    pub due_at: Option<Instant>,
    /// How often the scorer failed.
    pub failures: u32,
}

/// One sample of a step.
#[derive(Clone, Debug)]
pub struct Sample {
    /// How far it is.
    pub progress: Progress,
    /// Attempts started.
    pub attempts: u32,
    /// No attempt starts before this time; set after failures.
    pub backoff_until: Option<Instant>,
    /// Whether it was stopped or discarded because of its staleness and not attempted since.
    pub was_undeliverable: bool,
}

/// A step in progress.
#[derive(Clone, Debug)]
pub struct Step {
    /// What the trainer asked for.
    pub specification: Arc<Specification>,
    /// When it was submitted here.
    pub submitted_at: Instant,
    /// A number that rises with each submitted step of the pool.
    pub sequence: u64,
    /// The samples, group by group.
    pub samples: Vec<Sample>,
    /// The samples without an attempt.
    pub waiting: BTreeSet<u32>,
    /// The samples with attempts.
    pub running: BTreeSet<u32>,
    /// The samples that wait for their score.
    pub scoring: BTreeSet<u32>,
    /// The groups whose samples are all scored and not acknowledged.
    pub ready_groups: BTreeSet<u32>,
    /// What the trainer has, by its last pull.
    pub receipt: Receipt,
    /// What the trainer has if the answers since then have arrived.
    pub offered: Receipt,
}

impl Step {
    /// Makes a step without progress.
    pub fn new(specification: Arc<Specification>, submitted_at: Instant, sequence: u64) -> Self {
        let count = specification.group_count() * specification.group_size;
        let sample = Sample {
            progress: Progress::Waiting,
            attempts: 0,
            backoff_until: None,
            was_undeliverable: false,
        };
        Self {
            specification,
            submitted_at,
            sequence,
            samples: vec![sample; count as usize],
            waiting: (0..count).collect(),
            running: BTreeSet::new(),
            scoring: BTreeSet::new(),
            ready_groups: BTreeSet::new(),
            receipt: Receipt::default(),
            offered: Receipt::default(),
        }
    }

    /// Returns the group and the index within it of the sample at `position`.
    pub fn group_and_index(&self, position: u32) -> (u32, u32) {
        let size = self.specification.group_size;
        (position / size, position % size)
    }

    /// Returns the positions of a group's samples.
    pub fn positions(&self, group: u32) -> std::ops::Range<u32> {
        let size = self.specification.group_size;
        group * size..(group + 1) * size
    }

    /// Returns the prompt of the sample at `position`.
    pub fn prompt(&self, position: u32) -> &Arc<str> {
        &self.specification.prompts[self.group_and_index(position).0 as usize]
    }

    /// Returns how many samples still need generation.
    pub fn unfinished(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Tells whether all groups were in answers. The trainer may still ask again after a lost one.
    pub fn is_fully_offered(&self) -> bool {
        self.offered.count() == self.specification.group_count()
    }

    /// Tells whether the trainer has all groups.
    pub fn is_acknowledged(&self) -> bool {
        self.receipt.count() == self.specification.group_count()
    }

    /// Sets how far a sample is and returns the attempts that ran before and no longer count.
    pub fn set_progress(&mut self, position: u32, progress: Progress) -> Vec<AttemptId> {
        self.waiting.remove(&position);
        self.running.remove(&position);
        self.scoring.remove(&position);
        match &progress {
            Progress::Waiting => drop(self.waiting.insert(position)),
            Progress::Running(_) => drop(self.running.insert(position)),
            Progress::Scoring(_) => drop(self.scoring.insert(position)),
            Progress::Done(_) | Progress::Acknowledged => {}
        }
        let done = matches!(progress, Progress::Done(_));
        let sample = &mut self.samples[position as usize];
        let before = std::mem::replace(&mut sample.progress, progress);
        let group = self.group_and_index(position).0;
        if done && self.scored_group(group).is_some() {
            self.ready_groups.insert(group);
        } else if !done {
            self.ready_groups.remove(&group);
        }
        match before {
            Progress::Running(attempts) => attempts,
            _ => Vec::new(),
        }
    }

    /// Notes a new attempt at a sample and tells whether it replaces a doomed one.
    pub fn add_attempt(&mut self, position: u32, attempt: AttemptId) -> bool {
        let sample = &mut self.samples[position as usize];
        sample.attempts += 1;
        let replaced = std::mem::take(&mut sample.was_undeliverable);
        match &mut sample.progress {
            Progress::Running(attempts) => attempts.push(attempt),
            _ => drop(self.set_progress(position, Progress::Running(vec![attempt]))),
        }
        replaced
    }

    /// Returns the identity of a sample of this step, whose key is `key`.
    pub fn sample_identity(&self, key: &Key, position: u32) -> Identity {
        let (group, index) = self.group_and_index(position);
        Identity {
            trainer: key.trainer.clone(),
            step: key.step,
            group,
            index,
        }
    }

    /// Applies a trainer's receipt: groups in it need no more work; groups that an earlier receipt
    /// had and this one lacks, as after a restart from a checkpoint, are generated again. Returns
    /// the attempts that no longer count.
    pub fn apply_receipt(&mut self, receipt: Receipt) -> Vec<AttemptId> {
        let mut stopped = Vec::new();
        for group in 0..self.specification.group_count() {
            let (had, has) = (self.receipt.contains(group), receipt.contains(group));
            if had == has {
                continue;
            }
            for position in self.positions(group) {
                let progress = if has {
                    Progress::Acknowledged
                } else {
                    Progress::Waiting
                };
                stopped.extend(self.set_progress(position, progress));
            }
        }
        self.offered = receipt.clone();
        self.receipt = receipt;
        stopped
    }

    /// Returns a group's samples if all are scored.
    pub fn scored_group(&self, group: u32) -> Option<Vec<&Delivered>> {
        self.positions(group)
            .map(|position| match &self.samples[position as usize].progress {
                Progress::Done(sample) => Some(&**sample),
                _ => None,
            })
            .collect()
    }
}

/// Makes a sample of an engine's answer, without its score.
pub fn unscored_sample(
    index: u32,
    product: Completion,
    attempts: u32,
    origin: &Origin,
) -> Delivered {
    Delivered {
        index,
        text: product.text,
        tokens: product.tokens,
        spans: product.spans,
        backend_server: origin.server.clone(),
        attempts,
        revision: origin.revision,
        node: origin.node.clone(),
        route: format!("pool/{}", origin.pool),
        score: None,
    }
}

/// Where an attempt ran.
#[derive(Clone, Debug)]
pub struct Origin {
    /// The engine.
    pub server: Name,
    /// The revision in force when it started.
    pub revision: shallotroute_types::revision::Revision,
    /// The node that ran it.
    pub node: Name,
    /// The pool.
    pub pool: Name,
}
