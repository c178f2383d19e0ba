//! Tracks a trainer's step: its specification and the progress of its samples.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use shallotroute_types::{name::Name, sample::Identity};

use crate::{delivery::Sample as GeneratedSample, provenance::Completion, receipt::Receipt};

/// The most samples of one step, which bounds the memory that one request takes.
pub const MAX_SAMPLES: usize = 1 << 16;

/// The work that a trainer submits as one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Specification {
    /// The prompts, one for each group.
    pub prompts: Vec<Arc<str>>,
    /// The number of samples of each group.
    pub group_size: u32,
    /// The most tokens that a sample may have.
    pub max_tokens: u32,
}

impl Specification {
    /// Returns whether the step has between one and [`MAX_SAMPLES`] samples of at least one token.
    pub fn is_valid(&self) -> bool {
        let samples = self.prompts.len().saturating_mul(self.group_size as usize);
        (1..=MAX_SAMPLES).contains(&samples) && self.max_tokens > 0
    }

    /// Returns the number of groups.
    pub fn group_count(&self) -> u32 {
        self.prompts.len() as u32
    }
}

/// Identifies a step.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{trainer}/{step}")]
pub struct Key {
    /// The trainer.
    pub trainer: Name,
    /// The number that the trainer gave the step.
    pub step: u64,
}

/// The number of an attempt, unique within a scheduler.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// The progress of a sample.
#[derive(Clone, Debug)]
pub enum Progress {
    /// No attempt is running.
    Waiting,
    /// These attempts are running. Never empty.
    Running(Vec<AttemptId>),
    /// The sample is generated and its score is outstanding.
    Scoring(Box<Scoring>),
    /// The sample is scored and not yet acknowledged by the trainer.
    Done(Box<GeneratedSample>),
    /// The trainer's receipt contains the sample's group.
    Acknowledged,
}

/// A generated sample whose score is outstanding.
#[derive(Clone, Debug)]
pub struct Scoring {
    /// The attempt that generated the sample.
    pub attempt: AttemptId,
    /// The sample without its score.
    pub sample: GeneratedSample,
    /// When to call the scorer, or `None` while a call is in progress.
    pub due_at: Option<Instant>,
    /// How many calls of the scorer failed.
    pub failures: u32,
}

/// One sample of a step.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The sample's progress.
    pub progress: Progress,
    /// How many attempts were started.
    pub attempts: u32,
    /// The end of the back-off after a failed attempt; no attempt starts before it.
    pub backoff_until: Option<Instant>,
    /// Whether the sample was cancelled or discarded as too stale or of a withdrawn version, and no
    /// attempt has started since.
    pub was_undeliverable: bool,
}

/// A step in progress.
#[derive(Clone, Debug)]
pub struct Step {
    /// The work that the trainer submitted.
    pub specification: Arc<Specification>,
    /// When this scheduler accepted the step.
    pub submitted_at: Instant,
    /// A number that increases with each submitted step of the pool.
    pub sequence: u64,
    /// The samples, group by group. The index of a sample is its position.
    pub samples: Vec<Sample>,
    /// The positions of the samples without a running attempt.
    pub waiting: BTreeSet<u32>,
    /// The positions of the samples with running attempts.
    pub running: BTreeSet<u32>,
    /// The positions of the samples that wait for their score.
    pub scoring: BTreeSet<u32>,
    /// The groups whose samples are all scored and not yet acknowledged.
    pub ready_groups: BTreeSet<u32>,
    /// The groups that the trainer has according to its last pull.
    pub receipt: Receipt,
    /// The groups that the trainer has if it has received all responses since its last pull.
    pub sent: Receipt,
}

impl Step {
    /// Creates a step whose samples are all waiting.
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
            sent: Receipt::default(),
        }
    }

    /// Returns the group of the sample at `position` and the sample's index within the group.
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

    /// Returns how many samples are still to be generated.
    pub fn unfinished(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Returns whether all groups were sent in responses. The trainer pulls again if one was lost.
    pub fn is_fully_sent(&self) -> bool {
        self.sent.count() == self.specification.group_count()
    }

    /// Returns whether the trainer's last receipt contains all groups.
    pub fn is_acknowledged(&self) -> bool {
        self.receipt.count() == self.specification.group_count()
    }

    /// Sets the progress of a sample. Returns the attempts that it was running with before; the
    /// caller cancels those that have not ended.
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
        let is_done = matches!(progress, Progress::Done(_));
        let sample = &mut self.samples[position as usize];
        let before = std::mem::replace(&mut sample.progress, progress);
        let group = self.group_and_index(position).0;
        if is_done && self.scored_group(group).is_some() {
            self.ready_groups.insert(group);
        } else if !is_done {
            self.ready_groups.remove(&group);
        }
        match before {
            Progress::Running(attempts) => attempts,
            _ => Vec::new(),
        }
    }

    /// Records a new attempt at a sample. Returns whether it replaces an undeliverable one.
    pub fn add_attempt(&mut self, position: u32, attempt: AttemptId) -> bool {
        let sample = &mut self.samples[position as usize];
        sample.attempts += 1;
        let is_replacement = std::mem::take(&mut sample.was_undeliverable);
        match &mut sample.progress {
            Progress::Running(attempts) => attempts.push(attempt),
            _ => drop(self.set_progress(position, Progress::Running(vec![attempt]))),
        }
        is_replacement
    }

    /// Returns the identity of the sample at `position`. `key` is the key of this step.
    pub fn sample_identity(&self, key: &Key, position: u32) -> Identity {
        let (group, index) = self.group_and_index(position);
        Identity {
            trainer: key.trainer.clone(),
            step: key.step,
            group,
            index,
        }
    }

    /// Applies the receipt of a pull. Groups in it need no more work. Groups that the previous
    /// receipt had and this one lacks, as after the trainer's restart from a checkpoint, are
    /// generated again. Returns the attempts that are no longer needed.
    pub fn apply_receipt(&mut self, receipt: Receipt) -> Vec<AttemptId> {
        let mut obsolete = Vec::new();
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
                obsolete.extend(self.set_progress(position, progress));
            }
        }
        self.sent = receipt.clone();
        self.receipt = receipt;
        obsolete
    }

    /// Returns the samples of a group, or `None` unless all of them are scored and not yet
    /// acknowledged.
    pub fn scored_group(&self, group: u32) -> Option<Vec<&GeneratedSample>> {
        self.positions(group)
            .map(|position| match &self.samples[position as usize].progress {
                Progress::Done(sample) => Some(&**sample),
                _ => None,
            })
            .collect()
    }
}

/// Creates a sample without a score from the completion of an attempt.
pub fn unscored_sample(
    index: u32,
    completion: Completion,
    attempts: u32,
    origin: &Origin,
) -> GeneratedSample {
    GeneratedSample {
        index,
        text: completion.text,
        tokens: completion.tokens,
        spans: completion.spans,
        backend_server: origin.server.clone(),
        attempts,
        revision: origin.revision,
        node: origin.node.clone(),
        route: format!("pool/{}", origin.pool),
        score: None,
    }
}

/// The origin of a sample: where and under which revision its attempt ran.
#[derive(Clone, Debug)]
pub struct Origin {
    /// The engine.
    pub server: Name,
    /// The revision that was active when the attempt started.
    pub revision: shallotroute_types::revision::Revision,
    /// The node that ran the attempt.
    pub node: Name,
    /// The pool that the engine belongs to.
    pub pool: Name,
}
