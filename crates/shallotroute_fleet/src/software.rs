//! Which software versions the servers of a service have had of late.
//!
//! While they have had only one for as long as a stream can last, every stream was begun by it, and
//! nothing has to be recorded or looked up for it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_types::name::Name;

/// How long versions without servers are kept. Longer than any stream.
const RETENTION: Duration = Duration::from_secs(3600);

/// What a node knows of the software versions of a service's servers during a period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Knowledge {
    /// All servers had this version for the whole period.
    Sole(Name),
    /// There were servers of several versions.
    Several,
    /// The node has not known the host list for the whole period, or knew no server.
    Incomplete,
}

impl Knowledge {
    /// Returns the knowledge of a node that has not followed the host list since.
    #[must_use]
    pub fn without_present(self) -> Self {
        match self {
            Self::Sole(_) | Self::Incomplete => Self::Incomplete,
            Self::Several => Self::Several,
        }
    }
}

/// What the host list says of a service's software versions during a period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The versions that are known.
    pub versions: BTreeSet<Name>,
    /// What these are worth.
    pub known: Knowledge,
}

/// The software versions of servers that are no longer in the host list, and since when the list is
/// known.
#[derive(Debug, Default)]
pub struct History {
    /// When the host list was read for the first time; `None` before.
    since: Option<Instant>,
    /// When a server of a service and version was last known. `None` until the first request for it
    /// after the server has changed its version; a later time than the true one is the safe side.
    former: BTreeMap<(Name, Name), Option<Instant>>,
}

impl History {
    /// Records that the host list has been read completely. Only the first time counts.
    pub fn record_first_read(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Records that changes of the host list may have been missed until `now`.
    pub fn record_gap(&mut self, now: Instant) {
        if let Some(since) = &mut self.since {
            *since = now;
        }
    }

    /// Records that a server of a service had a version until `at`; `None` if the time is not known
    /// yet.
    pub fn record_former(&mut self, service: &Name, software: &Name, at: Option<Instant>) {
        let key = (service.clone(), software.clone());
        self.former.insert(key, at);
    }

    /// Returns the versions that a service is known to have had in the `period` before `now`. `present` are those of
    /// its servers in the host list.
    pub fn versions<'a>(
        &mut self,
        service: &str,
        present: impl Iterator<Item = &'a Name>,
        period: Duration,
        now: Instant,
    ) -> BTreeSet<Name> {
        self.former.retain(|_, at| {
            let at = *at.get_or_insert(now);
            now < at + RETENTION
        });
        let former = self
            .former
            .iter()
            .filter(|((of, _), at)| **of == *service && at.is_some_and(|at| now <= at + period));
        let former = former.map(|((_, software), _)| software);
        let mut versions: BTreeSet<Name> = present.cloned().collect();
        versions.extend(former.cloned());
        versions
    }

    /// Returns what is known of the [`History::versions`] of a service, if they are these.
    pub fn knowledge(
        &self,
        versions: &BTreeSet<Name>,
        period: Duration,
        now: Instant,
    ) -> Knowledge {
        let is_complete = self.since.is_some_and(|since| now >= since + period);
        match (versions.len(), versions.first()) {
            (1, Some(software)) if is_complete => Knowledge::Sole(software.clone()),
            (0 | 1, _) => Knowledge::Incomplete,
            _ => Knowledge::Several,
        }
    }
}
