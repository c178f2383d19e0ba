//! The scheduler's view of an engine: its reported state, its load and its back-off.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use shallotroute_types::{location::Zone, name::Name, version::Version};

use crate::step::AttemptId;

/// The time between two polls of an engine's state.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The age beyond which a report is no longer trusted and the engine gets no attempts.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// The state that an engine reports in response to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// A number that changes each time the engine starts.
    pub incarnation: u64,
    /// The version of each model that is completely loaded.
    pub models: BTreeMap<Name, Version>,
    /// The model whose weights are being replaced, if any.
    pub swapping: Option<Name>,
    /// Requests of all clients that run or are queued.
    pub load: u32,
    /// Requests that the engine can run at the same time, 0 when it does not report them.
    pub slots: u32,
    /// Whether the engine is draining and takes no new work.
    pub is_leaving: bool,
}

/// A poll that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    /// The number that the response is matched by.
    pub number: u64,
    /// How many attempts the scheduler ran on the engine when it sent the poll.
    pub running_attempts: usize,
}

/// An engine of the pool.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The address that the engine listens on.
    pub address: SocketAddr,
    /// The engine's availability zone.
    pub zone: Zone,
    /// The configured number of slots.
    pub slots: u32,
    /// Whether the configuration or the host list says that the engine is leaving.
    pub is_leaving: bool,
    /// The last report, or `None` while the engine's state is unknown.
    pub report: Option<Report>,
    /// When the last report was recorded.
    pub reported_at: Option<Instant>,
    /// The part of the load at the last report that does not come from this scheduler's attempts.
    pub other_load: u32,
    /// The attempts of this scheduler that run on the engine.
    pub attempts: BTreeSet<AttemptId>,
    /// The poll that is not answered yet.
    pub pending_poll: Option<Poll>,
    /// When the last poll was sent.
    pub poll_sent_at: Option<Instant>,
    /// The model that the engine was last commanded to load, until that command ends.
    pub loading_model: Option<Name>,
    /// The end of the back-off after a failure; no attempt starts before it.
    pub backoff_until: Option<Instant>,
    /// Failed attempts since the last one that completed.
    pub failures: u32,
    /// Exponentially weighted mean of the seconds that a token takes.
    pub token_seconds: Option<f64>,
}

impl Engine {
    /// Creates an engine whose state is unknown.
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

    /// Marks the engine's state as unknown, so that it gets no attempts until a new poll is
    /// answered.
    pub fn invalidate(&mut self) {
        self.report = None;
        self.pending_poll = None;
        self.poll_sent_at = None;
    }

    /// Records the report that answers poll `number`. Ignores responses to polls that were sent
    /// before the state was invalidated.
    pub fn record_report(&mut self, now: Instant, number: u64, report: Report) {
        let Some(poll) = self.pending_poll.take_if(|poll| poll.number == number) else {
            return;
        };
        let own_load = poll.running_attempts;
        // The report includes the attempts from before the poll that still run. Attempts that
        // started after the poll may or may not be included and are counted as not included.
        let own_load = own_load.min(self.attempts.len());
        self.other_load = report.load.saturating_sub(own_load as u32);
        self.report = Some(report);
        self.reported_at = Some(now);
    }

    /// Returns the loaded version of a model if attempts for it may start on the engine.
    ///
    /// # Errors
    ///
    /// Returns the reason when the engine is leaving or in back-off, its state is unknown or too
    /// old, or the model is being swapped or not completely loaded.
    pub fn usable_version(&self, now: Instant, model: &Name) -> Result<Version, Blocked> {
        let report = self.report.as_ref().ok_or(Blocked::StateUnknown)?;
        if self.is_leaving || report.is_leaving {
            return Err(Blocked::Leaving);
        }
        if self.reported_at.is_none_or(|at| now > at + MAX_REPORT_AGE) {
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

    /// Returns the estimated number of requests on the engine, those of other clients included.
    pub fn load(&self) -> u32 {
        self.other_load + self.attempts.len() as u32
    }

    /// Returns how many attempts may start when `reserved` slots stay free.
    pub fn free_slots(&self, reserved: u32) -> u32 {
        let slots = match &self.report {
            Some(report) if report.slots > 0 => report.slots.min(self.slots),
            _ => self.slots,
        };
        slots.saturating_sub(reserved).saturating_sub(self.load())
    }
}

/// The reason why an engine gets no attempt.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Blocked {
    /// The engine's state has not been read since it became unknown.
    #[display("state unknown")]
    StateUnknown,
    /// The engine is draining.
    #[display("leaving")]
    Leaving,
    /// The last report is older than [`MAX_REPORT_AGE`].
    #[display("report too old")]
    ReportOld,
    /// The engine is in back-off after a failed attempt.
    #[display("failed lately")]
    Failed,
    /// The model's weights are being replaced.
    #[display("swapping")]
    Swapping,
    /// The model is not loaded, or only partly.
    #[display("model not loaded")]
    NotLoaded,
    /// Samples of the loaded version would be too stale, or the version was withdrawn.
    #[display("version too old or withdrawn")]
    Version,
    /// All slots are in use or reserved for callers.
    #[display("no free slot")]
    Full,
}
