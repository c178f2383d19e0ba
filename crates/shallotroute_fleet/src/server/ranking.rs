//! Ranks the servers of a service for a request, by the rule of [`Balancer::choose`].
//!
//! Answers an operator's question where a request would go now: it is called rarely and changes nothing.

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

use super::{Balancer, Entry, Requirements, Summary};
use crate::limit::{self, Class};

/// How readily a server is chosen. All servers of an earlier tier are chosen before those of a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// The server is in order.
    Preferred,
    /// The server is in back-off or missing from the host list.
    LastResort,
}

/// Why a server does not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The server belongs to another service.
    OtherService,
    /// The server is about to leave.
    Draining,
    /// The server has not loaded the oldest acceptable version of the model.
    Version,
    /// The server runs another software version than the one that began the stream.
    Software,
    /// All slots are taken by batch items of the same or a lower rank.
    Slots,
    /// The server's limit denies requests of this class.
    Limit,
    /// The request has been tried there.
    Avoided,
    /// The entry is missing from the host list.
    Missing,
    /// The server has rejected requests or advised a delay.
    Rejecting,
    /// The server has failed.
    BackOff,
}

/// A server, its place in the ranking and what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranked {
    /// The server and what this node has observed of it.
    pub summary: Summary,
    /// The requests of other nodes' batch jobs in flight at the server.
    pub foreign: usize,
    /// The time that is left of the delay that the server has advised; zero if there is none.
    pub advised: Duration,
    /// Whether the server is in the zone of this node.
    pub is_in_zone: bool,
    /// The cost by which servers of one tier are ordered, in requests in flight per slot.
    pub cost: f64,
    /// The tier.
    ///
    /// # Errors
    ///
    /// The reason why the server is not chosen at all.
    pub tier: Result<Tier, Reason>,
}

impl Tier {
    /// Returns the name of the tier for operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Preferred => "preferred",
            Self::LastResort => "last_resort",
        }
    }
}

impl Reason {
    /// Returns the name of the reason for operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::OtherService => "other_service",
            Self::Draining => "draining",
            Self::Version => "version",
            Self::Software => "software",
            Self::Slots => "no_free_slot",
            Self::Limit => "limit",
            Self::Avoided => "avoided",
            Self::Missing => "entry_missing",
            Self::Rejecting => "rejecting",
            Self::BackOff => "back_off",
        }
    }
}

/// Compares two servers by tier and cost.
pub(super) fn compare(
    (tier, cost): (Tier, f64),
    (other_tier, other_cost): (Tier, f64),
) -> Ordering {
    tier.cmp(&other_tier).then(cost.total_cmp(&other_cost))
}

impl Balancer {
    /// Returns the servers of a service in the order in which [`Balancer::choose`] prefers them, followed by
    /// those that it does not choose at all.
    pub fn ranked(&self, requirements: &Requirements<'_>, now: Instant) -> Vec<Ranked> {
        let median = self.median_seconds(requirements.service);
        let of_service = self
            .entries
            .values()
            .filter(|entry| &*entry.server.service == requirements.service);
        let mut ranked: Vec<Ranked> = of_service
            .map(|entry| Ranked {
                summary: entry.summary(now),
                foreign: entry.foreign,
                advised: entry
                    .advised_until
                    .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
                is_in_zone: self.zone.as_ref() == Some(&entry.server.zone),
                cost: self.cost(entry, requirements, median),
                tier: entry.tier(requirements, now),
            })
            .collect();
        // The sort is stable, so that servers of equal cost stay in the order of their identities.
        ranked.sort_by(|one, other| match (one.tier, other.tier) {
            (Ok(tier), Ok(other_tier)) => compare((tier, one.cost), (other_tier, other.cost)),
            (Ok(_), Err(_)) => Ordering::Less,
            (Err(_), Ok(_)) => Ordering::Greater,
            (Err(_), Err(_)) => Ordering::Equal,
        });
        ranked
    }
}

impl Entry {
    /// Returns what operators see of the server.
    pub(super) fn summary(&self, now: Instant) -> Summary {
        Summary {
            server: self.server.clone(),
            in_flight: self.in_flight,
            failures: self.failures,
            back_off: self
                .back_off_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
            mean_latency: self.mean_latency.map(Duration::from_secs_f64),
            is_missing: self.missing_since.is_some(),
            limit: self.limit.as_ref().map(limit::Known::rate),
        }
    }

    /// Returns the first requirement of a request that the server does not meet, apart from its limit.
    pub(super) fn obstacle(&self, requirements: &Requirements<'_>) -> Option<Reason> {
        let server = &self.server;
        let has_version = requirements.model.is_none_or(|(model, oldest)| {
            server
                .models
                .get(model)
                .is_some_and(|version| *version >= oldest)
        });
        let has_software = requirements
            .software
            .is_none_or(|software| *server.software == *software);
        let has_slot = requirements
            .batch_rank
            .is_none_or(|rank| self.has_slot(rank));
        match () {
            () if &*server.service != requirements.service => Some(Reason::OtherService),
            () if server.is_draining => Some(Reason::Draining),
            () if !has_version => Some(Reason::Version),
            () if !has_software => Some(Reason::Software),
            () if !has_slot => Some(Reason::Slots),
            () => None,
        }
    }

    /// Returns the server's tier for a request.
    ///
    /// # Errors
    ///
    /// Returns the reason why the server does not get the request.
    pub(super) fn tier(
        &self,
        requirements: &Requirements<'_>,
        now: Instant,
    ) -> Result<Tier, Reason> {
        if let Some(reason) = self.obstacle(requirements) {
            return Err(reason);
        }
        if self.denied_until(requirements.class, now).is_some() {
            return Err(Reason::Limit);
        }
        if requirements.avoid.contains(&self.server.id) {
            return Err(Reason::Avoided);
        }
        let is_rejecting = self.is_rejecting(now);
        let is_backing_off = self.back_off_until.is_some_and(|until| now < until);
        let trouble = match () {
            () if self.missing_since.is_some() => Reason::Missing,
            () if is_rejecting => Reason::Rejecting,
            () if is_backing_off => Reason::BackOff,
            () => return Ok(Tier::Preferred),
        };
        // Batch items wait for a preferred server; a caller's request takes any other.
        let takes_any =
            requirements.model.is_none() && (requirements.class == Class::Caller || !is_rejecting);
        match takes_any {
            true => Ok(Tier::LastResort),
            false => Err(trouble),
        }
    }
}
