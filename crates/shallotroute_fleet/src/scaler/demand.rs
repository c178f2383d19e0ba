//! The demand of a service over time, and the servers that it needs.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::Need;

/// How long a demand counts for raising numbers: two steps of a trainer, which begins one about every
/// four seconds.
const PEAK_WINDOW: Duration = Duration::from_secs(8);

/// How long a demand counts against lowering numbers: five steps, so that a trainer that skips one
/// does not lose its servers.
const LASTING_WINDOW: Duration = Duration::from_secs(20);

/// How long an item keeps a slot of a crowded server, whose requests share its time. Alone it takes
/// about a second.
const ITEM_TIME: f64 = 1.25;

/// The part of the time until they are due within which the open items are to end. The rest is for
/// scoring, for writing results, for items that are repeated, and for a demand that grows while servers boot.
/// In the simulation of `tests/scaler/steps.rs` a larger part was not cheaper: items that end later are open
/// longer and raise the peak.
const FINISH_SHARE: f64 = 0.2;

/// The same after the loss of the zone with the most spot servers: later, and still in time.
const FINISH_SHARE_AFTER_LOSS: f64 = 0.35;

/// The part of a server's time in which it generates. Loading a version takes about a second of the
/// four between two versions.
const GENERATING_SHARE: f64 = 0.75;

/// The maximum number of items or requests that are believed.
const MAX_BELIEVED: usize = 1_000_000;

/// What a service has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The items of batch jobs that wait or generate.
    pub items: usize,
    /// The requests of callers in flight.
    pub requests: usize,
}

impl Demand {
    fn max(self, other: Self) -> Self {
        Self {
            items: self.items.max(other.items),
            requests: self.requests.max(other.requests),
        }
    }

    /// Returns what a demand needs of servers with `slots` slots, times `margin`.
    ///
    /// All servers finish the items within [`FINISH_SHARE`] of the time until they are due, and what is left
    /// after the loss of one zone's spot servers within [`FINISH_SHARE_AFTER_LOSS`]. The on-demand servers
    /// alone finish them just when they are due: when all spot servers go, running steps end late rather
    /// than never, until others have booted.
    pub(super) fn need(self, due_after: Option<Duration>, slots: f64, margin: f64) -> Need {
        let due = due_after.map_or(0.0, |due| due.as_secs_f64());
        let servers = |time: f64| {
            let waves = (time / ITEM_TIME).max(1.0);
            let items = self.items.min(MAX_BELIEVED) as f64 / waves;
            let busy = items + self.requests.min(MAX_BELIEVED) as f64;
            let count = busy / GENERATING_SHARE * margin / slots;
            count.ceil() as u32
        };
        Need {
            servers: servers(due * FINISH_SHARE),
            survivors: servers(due * FINISH_SHARE_AFTER_LOSS),
            on_demand: servers(due),
        }
    }
}

/// The demand of the last [`LASTING_WINDOW`].
#[derive(Debug, Default)]
pub(super) struct History {
    samples: VecDeque<(Instant, Demand)>,
}

impl History {
    /// Records a demand. While reports are missing, the last one still holds.
    pub(super) fn record(&mut self, demand: Option<Demand>, now: Instant) {
        match (demand, self.samples.back_mut()) {
            (Some(demand), _) => self.samples.push_back((now, demand)),
            (None, Some(last)) => {
                let held = last.1;
                self.samples.push_back((now, held));
            }
            (None, None) => {}
        }
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) > LASTING_WINDOW)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the highest demand of the last two steps.
    pub(super) fn peak(&self, now: Instant) -> Demand {
        let is_recent =
            |(at, _): &&(Instant, Demand)| now.saturating_duration_since(*at) <= PEAK_WINDOW;
        let recent = self.samples.iter().filter(is_recent);
        recent.fold(Demand::default(), |peak, (_, demand)| peak.max(*demand))
    }

    /// Returns the highest demand of [`LASTING_WINDOW`].
    pub(super) fn lasting_peak(&self) -> Demand {
        let all = self.samples.iter();
        all.fold(Demand::default(), |peak, (_, demand)| peak.max(*demand))
    }
}
