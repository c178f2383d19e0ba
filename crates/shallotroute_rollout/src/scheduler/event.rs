//! What happens to a scheduler and what it wants done.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use shallotroute_types::{name::Name, outcome::Outcome, sample::Identity, version::Version};

use crate::{
    configuration::Configuration,
    delivery::{Answer, Refusal},
    engine::Report,
    provenance::Chunk,
    receipt::Receipt,
    step::{AttemptId, Key, Specification},
};

/// What happens to a scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another revision is in force.
    Configured(Arc<Configuration>),
    /// A trainer submitted a step that was checked with [`Scheduler::admit`](super::Scheduler::admit).
    Submitted(Key, Arc<Specification>),
    /// A trainer is at a version whose weights are in the store.
    Announced(Name, Version),
    /// A copy tells what a trainer announced to an earlier owner. It counts only until the trainer
    /// itself says something.
    VersionRecovered(Name, Version),
    /// A trainer asks for groups.
    Pulled(Pull),
    /// A trainer gave up a pull.
    PullAbandoned(u64),
    /// A trainer needs no more of a step.
    StepDeleted(Key),
    /// A poll gave an engine's state, or none when the engine could not be read.
    Polled(Name, u64, Option<Report>),
    /// A command to load a model was sent to an engine.
    LoadStarted(Name, Name),
    /// The command ended, whatever its result.
    LoadEnded(Name),
    /// Tokens arrived on an attempt's stream with the identity that the engine reports.
    Tokens(AttemptId, String, Chunk),
    /// The end marker arrived with that identity and the count of tokens.
    AttemptEnded(AttemptId, String, u32),
    /// The stream failed or closed.
    AttemptFailed(AttemptId, Outcome),
    /// The scorer answered, or none when it failed.
    Scored(Key, u32, AttemptId, Option<f64>),
    /// The process was stopped for a while, and the engines' reports may be old.
    Resumed,
    /// Time passed.
    Tick,
}

/// A trainer's request for groups.
#[derive(Clone, Debug, PartialEq)]
pub struct Pull {
    /// A number that the caller chose, unique within the scheduler.
    pub number: u64,
    /// The step.
    pub key: Key,
    /// The groups that the trainer has.
    pub receipt: Receipt,
    /// The trainer's version.
    pub version: Version,
    /// The most groups in the answer.
    pub max_groups: usize,
    /// When it was opened.
    pub opened_at: Instant,
    /// When an empty answer is given.
    pub deadline: Instant,
}

/// What a scheduler wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start an attempt on an engine.
    Start(Box<Start>),
    /// Drop the stream of an attempt, which frees its place in the engine.
    Cancel(AttemptId),
    /// Ask the trainer's scorer.
    Score(Box<Score>),
    /// Answer a pull.
    Answer(u64, Result<Answer, Refusal>),
    /// Read an engine's state.
    Poll {
        /// The engine.
        server: Name,
        /// Where it listens.
        address: SocketAddr,
        /// The number of the poll.
        number: u64,
    },
}

/// An attempt to start.
#[derive(Clone, Debug)]
pub struct Start {
    /// The attempt.
    pub attempt: AttemptId,
    /// The sample.
    pub sample: Identity,
    /// The identity that the engine repeats; unique over all nodes and restarts.
    pub identity: String,
    /// The engine.
    pub server: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model.
    pub model: Name,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// A lower number is served first.
    pub priority: u8,
}

/// A sample to score.
#[derive(Clone, Debug)]
pub struct Score {
    /// The step.
    pub key: Key,
    /// The sample's position in the step.
    pub position: u32,
    /// The attempt that gave the sample.
    pub attempt: AttemptId,
    /// The sample.
    pub sample: Identity,
    /// The scorer's name.
    pub scorer: Name,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The text.
    pub text: String,
}

/// Why a step is not taken.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum AdmissionError {
    /// The trainer is not one of the pool's.
    #[display("the trainer does not sample on this pool")]
    UnknownTrainer,
    /// The step exists with another specification.
    #[display("the step exists with another specification")]
    Conflict,
    /// The trainer has too many open steps.
    #[display("the trainer has too many open steps")]
    TooMany,
}
