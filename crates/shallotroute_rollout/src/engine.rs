//! What a scheduler knows of an engine.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use shallotroute_types::{location::Zone, name::Name, version::Version};

use crate::step::AttemptId;

/// How often an engine's state is read.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How long a report counts when no newer one comes.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// An engine's own report, as read by a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// A number that changes with each start of the engine.
    pub incarnation: u64,
    /// The version of each model that is loaded whole.
    pub models: BTreeMap<Name, Version>,
    /// A model whose weights are being replaced.
    pub swapping: Option<Name>,
    /// Requests in progress and waiting, of all senders.
    pub load: u32,
    /// Requests that can be in progress at once.
    pub slots: u32,
    /// Whether the engine wants no new work.
    pub is_leaving: bool,
}

/// A poll in flight.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    /// Its number.
    pub number: u64,
    /// The attempts that ran when it was sent.
    pub running_attempts: usize,
}

/// An engine of the pool.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The slots that the operators configured.
    pub slots: u32,
    /// Whether operators or the host list say that it leaves.
    pub is_leaving: bool,
    /// The last report; none until the state was read, and after the state became unknown.
    pub report: Option<Report>,
    /// When the report was read.
    pub reported_at: Option<Instant>,
    /// Requests of others at the last report.
    pub other_load: u32,
    /// The attempts of this scheduler.
    pub attempts: BTreeSet<AttemptId>,
    /// The poll in flight.
    pub pending_poll: Option<Poll>,
    /// When the state was last asked for.
    pub poll_sent_at: Option<Instant>,
    /// A command to load this model is in progress.
    pub loading_model: Option<Name>,
    /// No attempt starts before this time; set after a failure.
    pub backoff_until: Option<Instant>,
    /// Failures since the last whole answer.
    pub failures: u32,
    /// Mean seconds for a token, exponentially weighted.
    pub token_seconds: Option<f64>,
}

impl Engine {
    /// Makes an engine whose state is not known yet.
    pub fn new(address: SocketAddr, zone: Zone, slots: u32) -> Self {
        Self {
            address,
            zone,
            slots,
            is_leaving: false,
            report: None,
            reported_at: None,
            other_load: 0,
            attempts: BTreeSet::new(),
            pending_poll: None,
            poll_sent_at: None,
            loading_model: None,
            backoff_until: None,
            failures: 0,
            token_seconds: None,
        }
    }

    /// Forgets the engine's state, so that it gets no attempts until it is read back.
    pub fn invalidate(&mut self) {
        self.report = None;
        self.pending_poll = None;
        self.poll_sent_at = None;
    }

    /// Takes the report that poll `number` asked for. A report that was asked for before the state
    /// was forgotten does not count.
    pub fn record_report(&mut self, now: Instant, number: u64, report: Report) {
        let Some(poll) = self.pending_poll.take_if(|poll| poll.number == number) else {
            return;
        };
        let ours = poll.running_attempts;
        // Attempts that started after the poll may or may not be in the report. Those before it
        // are, as far as they still run.
        let ours = ours.min(self.attempts.len());
        self.other_load = report.load.saturating_sub(ours as u32);
        self.report = Some(report);
        self.reported_at = Some(now);
    }

    /// Returns the usable version of a model, or why the engine gets no attempt for it.
    ///
    /// # Errors
    ///
    /// The engine leaves, its state is unknown, or the model is not loaded whole.
    pub fn usable_version(&self, now: Instant, model: &Name) -> Result<Version, Blocked> {
        let report = self.report.as_ref().ok_or(Blocked::StateUnknown)?;
        if self.is_leaving || report.is_leaving {
            return Err(Blocked::Leaving);
        }
        if self.reported_at.is_none_or(|at| now > at + REPORT_MAX_AGE) {
            return Err(Blocked::ReportOld);
        }
        if self.backoff_until.is_some_and(|time| now < time) {
            return Err(Blocked::Failed);
        }
        if report.swapping.as_ref() == Some(model) || self.loading_model.as_ref() == Some(model) {
            return Err(Blocked::Swapping);
        }
        report.models.get(model).copied().ok_or(Blocked::NotLoaded)
    }

    /// Returns the requests in progress as far as known.
    pub fn load(&self) -> u32 {
        self.other_load + self.attempts.len() as u32
    }

    /// Returns how many attempts may start when `reserve` slots stay free.
    pub fn free_slots(&self, reserve: u32) -> u32 {
        let slots = match &self.report {
            Some(report) if report.slots > 0 => report.slots.min(self.slots),
            _ => self.slots,
        };
        slots.saturating_sub(reserve).saturating_sub(self.load())
    }
}

/// Why an engine gets no attempt.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Blocked {
    /// Its state was not read since it became unknown.
    #[display("state unknown")]
    StateUnknown,
    /// It leaves.
    #[display("leaving")]
    Leaving,
    /// Its last report is too old.
    #[display("report too old")]
    ReportOld,
    /// It failed a short time ago.
    #[display("failed lately")]
    Failed,
    /// The model's weights are being replaced.
    #[display("swapping")]
    Swapping,
    /// The model is not loaded whole.
    #[display("model not loaded")]
    NotLoaded,
    /// Its version would make samples too stale or was withdrawn.
    #[display("version too old or withdrawn")]
    Version,
    /// All slots are in use.
    #[display("no free slot")]
    Full,
}
