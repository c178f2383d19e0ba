//! The inputs and outputs of a scheduler.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use shallotroute_types::{name::Name, outcome::Outcome, sample::Identity, version::Version};

use crate::{
    configuration::Configuration,
    delivery::{Refusal, Response},
    engine::Report,
    provenance::Chunk,
    receipt::Receipt,
    step::{AttemptId, Key, Specification},
};

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new revision is active.
    Configured(Arc<Configuration>),
    /// A trainer submitted a step that passed [`Scheduler::admit`](super::Scheduler::admit).
    Submitted(Key, Arc<Specification>),
    /// A trainer announced a version whose weights are in the weight store.
    Announced(Name, Version),
    /// A replica returned the version that a trainer announced to an earlier owner of the pool.
    /// Ignored when the scheduler already knows a version of the trainer.
    VersionRecovered(Name, Version),
    /// A trainer opened a pull.
    Pulled(Pull),
    /// The trainer no longer waits for the pull of this number.
    PullAbandoned(u64),
    /// A trainer deleted a step.
    StepDeleted(Key),
    /// The poll of this number returned an engine's state, or `None` when it failed.
    Polled(Name, u64, Option<Report>),
    /// An engine (first name) was commanded to load a model (second name).
    LoadStarted(Name, Name),
    /// The load command of an engine ended with any outcome.
    LoadEnded(Name),
    /// Tokens arrived on the stream of an attempt, with the identity that the engine reported.
    Tokens(AttemptId, String, Chunk),
    /// The end marker arrived on the stream of an attempt, with the identity that the engine
    /// reported and the number of tokens.
    AttemptEnded(AttemptId, String, u32),
    /// The stream of an attempt failed or closed before the end marker.
    AttemptFailed(AttemptId, Outcome),
    /// The scorer returned the score of the sample at a position, or `None` when the call failed.
    Scored(Key, u32, AttemptId, Option<f64>),
    /// The process continues after a pause, during which the engines' reports may have become
    /// outdated.
    Resumed,
    /// Time has passed since the last event.
    Tick,
}

/// A trainer's request for complete groups of a step, which stays open until some are ready.
#[derive(Clone, Debug, PartialEq)]
pub struct Pull {
    /// A number that the sender of the event chooses, unique within the scheduler.
    pub number: u64,
    /// The step to return groups of.
    pub key: Key,
    /// The groups that the trainer has.
    pub receipt: Receipt,
    /// The trainer's version, against which staleness is measured.
    pub version: Version,
    /// The most groups in the response.
    pub max_groups: usize,
    /// When the pull was opened.
    pub opened_at: Instant,
    /// When the pull gets an empty response.
    pub deadline: Instant,
}

/// An output of the scheduler, which the caller carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start an attempt on an engine.
    Start(Box<Start>),
    /// Close the stream of an attempt, which frees its slot in the engine.
    Cancel(AttemptId),
    /// Call the trainer's scorer.
    Score(Box<Score>),
    /// Respond to the pull of this number.
    Respond(u64, Result<Response, Refusal>),
    /// Read an engine's state.
    Poll {
        /// The engine.
        server: Name,
        /// The address that the engine listens on.
        address: SocketAddr,
        /// The number to pass to [`Event::Polled`].
        number: u64,
    },
}

/// An attempt to start.
#[derive(Clone, Debug)]
pub struct Start {
    /// The number of the attempt, to pass to its events.
    pub attempt: AttemptId,
    /// The sample to generate.
    pub sample: Identity,
    /// The identity that the engine repeats in its events, unique over all nodes and their
    /// restarts.
    pub identity: String,
    /// The engine.
    pub server: Name,
    /// The address that the engine listens on.
    pub address: SocketAddr,
    /// The model or adapter to sample from.
    pub model: Name,
    /// The prompt of the sample's group.
    pub prompt: Arc<str>,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// The priority in the engine's queue. Lower numbers are served first.
    pub priority: u8,
}

/// A sample to score.
#[derive(Clone, Debug)]
pub struct Score {
    /// The step of the sample.
    pub key: Key,
    /// The sample's position in the step.
    pub position: u32,
    /// The attempt that generated the sample.
    pub attempt: AttemptId,
    /// The identity of the sample.
    pub sample: Identity,
    /// The name of the trainer's scorer.
    pub scorer: Name,
    /// The prompt of the sample's group.
    pub prompt: Arc<str>,
    /// The generated text.
    pub text: String,
}

/// The reason why a step may not be submitted.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum AdmissionError {
    /// The trainer does not sample on the pool.
    #[display("the trainer does not sample on this pool")]
    UnknownTrainer,
    /// The trainer has submitted the same step with another specification.
    #[display("the step exists with another specification")]
    Conflict,
    /// The trainer has [`MAX_OPEN_STEPS`](super::MAX_OPEN_STEPS) open steps.
    #[display("the trainer has too many open steps")]
    TooMany,
}
