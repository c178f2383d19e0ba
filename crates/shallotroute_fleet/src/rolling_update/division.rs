//! How many servers of a service follow each model.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use shallotroute_types::name::Name;

/// The minimum time between two divisions. A server that changes its model has to load, and serves
/// neither well meanwhile.
const MIN_DURATION: Duration = Duration::from_secs(4);

/// The part of a model's servers by which its number has to be wrong before the servers are divided
/// anew.
const TOLERANCE: usize = 5;

/// The number of servers of one service for each model.
#[derive(Debug)]
pub(super) struct Division {
    counts: BTreeMap<Name, usize>,
    servers: usize,
    decided_at: Instant,
}

impl Division {
    /// Divides a number of servers by what the models need.
    pub(super) fn new(servers: usize, needs: &BTreeMap<Name, f64>, now: Instant) -> Self {
        Self {
            counts: divide(servers, needs),
            servers,
            decided_at: now,
        }
    }

    /// Divides the servers anew if their number has changed, or if the needs have changed enough to be
    /// worth the loads.
    pub(super) fn update(&mut self, servers: usize, needs: &BTreeMap<Name, f64>, now: Instant) {
        let counts = divide(servers, needs);
        let is_wrong = |(model, count): (&Name, &usize)| {
            let current = self.count(model);
            current.abs_diff(*count) > current / TOLERANCE
        };
        let may_change = now >= self.decided_at + MIN_DURATION;
        if servers != self.servers || (may_change && counts.iter().any(is_wrong)) {
            *self = Self {
                counts,
                servers,
                decided_at: now,
            };
        }
    }

    /// Returns the number of servers for a model.
    pub(super) fn count(&self, model: &str) -> usize {
        self.counts.get(model).copied().unwrap_or_default()
    }
}

/// Divides servers between models that need these numbers of them. If there are enough, each gets more
/// in proportion; otherwise those that need least get what they need, and the others the same number
/// (max-min fairness). Each model gets one server first, as far as there are enough.
fn divide(servers: usize, needs: &BTreeMap<Name, f64>) -> BTreeMap<Name, usize> {
    let total: f64 = needs.values().sum();
    let scale = match total > 0.0 {
        true => (servers as f64 / total).max(1.0),
        false => 1.0,
    };
    let mut ascending: Vec<(f64, &Name)> = needs
        .iter()
        .map(|(model, need)| ((need * scale).max(1.0), model))
        .collect();
    ascending.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let mut left = servers as f64;
    let mut counts = BTreeMap::new();
    let mut remainders = Vec::new();
    for (index, (need, model)) in ascending.iter().enumerate() {
        let equal = left / (ascending.len() - index) as f64;
        let ideal = need.min(equal);
        left -= ideal;
        counts.insert((*model).clone(), ideal as usize);
        remainders.push((ideal.fract(), *model));
    }
    remainders.sort_by(|(one, _), (other, _)| other.total_cmp(one));
    let assigned: usize = counts.values().sum();
    let unassigned = servers.saturating_sub(assigned);
    for (_, model) in remainders.into_iter().cycle().take(unassigned) {
        if let Some(count) = counts.get_mut(model) {
            *count += 1;
        }
    }
    counts
}
