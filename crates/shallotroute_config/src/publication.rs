//! The state machine of one publication: writes parts, record and head, and finds out what became of
//! a write whose answer was lost.
//!
//! The head is written by compare-and-swap, so at most one write of each version of the head takes
//! effect. A write without an answer may still be under way while the head has the version that it
//! expects. Rewriting the head with the same content (a barrier write) moves the version on, after
//! which the lost write can't take effect any more.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{
    bundle::{Bundle, HEAD_KEY, Head, Part, part_key, record_key},
    snapshot::Record,
};

/// How long a publication may take before its result is "unknown": 8 s for the four calls to a
/// key-value service that answers after 2 s, and 9 s to find out what became of a lost answer.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// How long the result of an unknown publication is looked for afterwards.
pub const RESOLVE_TIMEOUT: Duration = Duration::from_secs(600);

/// The first pause after a failed call; doubled for each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause between calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What is published and on top of what.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The identity of the publication.
    pub publication: String,
    /// The head on which the record is based.
    pub parent: Head,
    /// The version of the head's key; 0 when it has no value.
    pub version: u64,
    /// The record and its parts.
    pub bundle: Bundle,
    /// The hashes of the parent's parts, which are stored already.
    pub stored: Vec<String>,
}

/// The answer to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Done,
    /// It found another version and has no effect.
    Conflict,
    /// It has no effect and never will.
    NotRun,
    /// It may have taken effect or may still.
    Lost,
}

/// The end of an action.
#[derive(Clone, Debug)]
pub enum Event {
    /// Of [`Action::Write`].
    Written(WriteResult),
    /// Of [`Action::Read`]: the version and the head; none if it could not be read.
    Read(Option<(u64, Head)>),
    /// Of [`Action::Record`]; none if it could not be read.
    Record(Option<Box<Record>>),
    /// Of [`Action::Wait`].
    WaitEnded,
}

/// What the driver does next; exactly one at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes a key if it has the expected version.
    Write {
        /// The key.
        key: String,
        /// The expected version; 0 when the key should have no value.
        expected: u64,
        /// The value.
        value: Vec<u8>,
    },
    /// Reads the head; an absent one is [`Head::initial`] with version 0.
    Read,
    /// Reads the record of that hash.
    Record(String),
    /// Waits.
    Wait(Duration),
    /// Stops.
    Done(Outcome),
}

/// What became of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in the chain.
    Published,
    /// It is not and will not be in the chain, because another one is in its place.
    Conflict {
        /// The newest head.
        winner: Head,
    },
    /// It is not and will not be in the chain.
    NotPublished {
        /// Why.
        reason: &'static str,
    },
    /// It may or may not be in the chain, now or later.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Store(usize),
    Swap,
    Read,
    Barrier,
    Walk { hash: String, winner: Head },
}

/// A publication under way.
#[derive(Clone, Debug)]
pub struct Publication {
    plan: Plan,
    /// The parts to write.
    parts: Vec<Part>,
    head: Head,
    step: Step,
    /// Whether a write of the new head may have taken effect or may still.
    uncertain: bool,
    /// Whether new attempts to write the head are over.
    resolving: bool,
    deadline: Instant,
    failures: u32,
}

impl Publication {
    /// Makes a publication that has to end before `deadline`, and its first action.
    ///
    /// # Errors
    ///
    /// The bundle has no readable record.
    pub fn new(plan: Plan, deadline: Instant) -> crate::bundle::Result<(Self, Action)> {
        let head = Head {
            revision: plan.bundle.record()?.revision,
            record: Some(plan.bundle.hash()),
            publication: plan.publication.clone(),
        };
        let stored = |part: &&Part| !plan.stored.contains(&crate::bundle::hash(part));
        let parts = plan.bundle.parts.iter().filter(stored).cloned().collect();
        let publication = Self {
            plan,
            parts,
            head,
            step: Step::Store(0),
            uncertain: false,
            resolving: false,
            deadline,
            failures: 0,
        };
        let action = publication.next();
        Ok((publication, action))
    }

    /// Returns the head that the publication writes.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the record and the parts.
    pub fn bundle(&self) -> &Bundle {
        &self.plan.bundle
    }

    /// Goes on after [`Outcome::Unknown`] until `deadline`, only to find out what became of it.
    pub fn resolve(&mut self, deadline: Instant) -> Action {
        self.resolving = true;
        self.deadline = deadline;
        self.failures = 0;
        self.step = Step::Read;
        self.next()
    }

    /// Takes the end of the last action and returns the next one.
    pub fn handle(&mut self, event: Event, now: Instant, rng: &mut ChaCha8Rng) -> Action {
        let end = match event {
            Event::Written(answer) => self.written(answer),
            Event::Read(Some((version, head))) => self.read(version, head),
            Event::Record(Some(record)) => self.walked(&record),
            Event::Read(None) | Event::Record(None) => {
                self.failures += 1;
                None
            }
            Event::WaitEnded => return self.unless_expired(now, Self::next),
        };
        match end {
            Some(outcome) => Action::Done(outcome),
            None if self.failures > 0 => {
                let pause = self.pause(rng);
                self.unless_expired(now, |_| Action::Wait(pause))
            }
            None => self.unless_expired(now, Self::next),
        }
    }

    fn unless_expired(&self, now: Instant, action: impl FnOnce(&Self) -> Action) -> Action {
        match now < self.deadline {
            true => action(self),
            false if self.uncertain => Action::Done(Outcome::Unknown),
            false => Action::Done(Outcome::NotPublished {
                reason: "the key-value service did not take the publication within the time limit",
            }),
        }
    }

    fn next(&self) -> Action {
        let write = |key: String, expected, value| Action::Write {
            key,
            expected,
            value,
        };
        let bundle = &self.plan.bundle;
        match &self.step {
            Step::Store(index) => match self.parts.get(*index) {
                Some(part) => write(part_key(&crate::bundle::hash(part)), 0, part.to_vec()),
                None => write(record_key(&bundle.hash()), 0, bundle.record.clone()),
            },
            Step::Swap => write(HEAD_KEY.into(), self.plan.version, self.head.to_bytes()),
            Step::Barrier => {
                let parent = self.plan.parent.to_bytes();
                write(HEAD_KEY.into(), self.plan.version, parent)
            }
            Step::Read => Action::Read,
            Step::Walk { hash, .. } => Action::Record(hash.clone()),
        }
    }

    fn pause(&self, rng: &mut ChaCha8Rng) -> Duration {
        let factor = 1 << (self.failures - 1).min(8);
        let longest = (FIRST_PAUSE * factor).min(LONGEST_PAUSE);
        longest.mul_f64(rng.random_range(0.5..=1.0))
    }

    fn written(&mut self, answer: WriteResult) -> Option<Outcome> {
        match (&self.step, answer) {
            // Records and parts are named by their hashes, so an existing one is the same one.
            (Step::Store(index), WriteResult::Done | WriteResult::Conflict) => {
                self.failures = 0;
                self.step = match *index < self.parts.len() {
                    true => Step::Store(index + 1),
                    false => Step::Swap,
                };
            }
            (Step::Store(_) | Step::Swap, WriteResult::NotRun)
            | (Step::Store(_), WriteResult::Lost) => {
                self.failures += 1;
            }
            (Step::Swap, WriteResult::Done) => return Some(Outcome::Published),
            (Step::Swap, WriteResult::Lost) => {
                self.uncertain = true;
                self.step = Step::Read;
                self.failures += 1;
            }
            (Step::Barrier, WriteResult::Done) => {
                self.uncertain = false;
                self.step = Step::Read;
            }
            (Step::Swap | Step::Barrier, WriteResult::Conflict) => self.step = Step::Read,
            (Step::Barrier, WriteResult::NotRun | WriteResult::Lost) => {
                self.step = Step::Read;
                self.failures += 1;
            }
            (Step::Read | Step::Walk { .. }, _) => {}
        }
        None
    }

    fn read(&mut self, version: u64, head: Head) -> Option<Outcome> {
        self.failures = 0;
        if head.record == self.head.record {
            return Some(Outcome::Published);
        }
        if head.record == self.plan.parent.record {
            return self.read_parent(version);
        }
        self.plan.version = version;
        match head.record.clone() {
            Some(hash) if self.uncertain && head.revision > self.head.revision => {
                self.step = Step::Walk { hash, winner: head };
                None
            }
            Some(_) | None => Some(Outcome::Conflict { winner: head }),
        }
    }

    fn read_parent(&mut self, version: u64) -> Option<Outcome> {
        if version != self.plan.version {
            // The parent was written again, so a write that expects the old version fails.
            self.uncertain = false;
            self.plan.version = version;
        }
        match (self.uncertain, self.resolving) {
            (true, _) => self.step = Step::Barrier,
            (false, false) => self.step = Step::Swap,
            (false, true) => {
                return Some(Outcome::NotPublished {
                    reason: "the write of the head did not take effect",
                });
            }
        }
        None
    }

    fn walked(&mut self, record: &Record) -> Option<Outcome> {
        let Step::Walk { hash, winner } = &mut self.step else {
            return None;
        };
        self.failures = 0;
        match &record.parent {
            parent if parent.is_some() && *parent == self.head.record => Some(Outcome::Published),
            Some(parent) if record.revision > self.head.revision.next() => {
                *hash = parent.clone();
                None
            }
            Some(_) | None => Some(Outcome::Conflict {
                winner: winner.clone(),
            }),
        }
    }
}
