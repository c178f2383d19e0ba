//! The order in which servers move to new versions: a few at a time, so that the others go on
//! serving and the loads do not slow one another down.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use shallotroute_types::{name::Name, version::Version};

use crate::server::Server;

/// One server of this many may load at a time; more loads at once slow one another down.
const SERVERS_PER_LOAD: usize = 5;

/// How long the host list may lag behind what a server itself reported.
const LIST_LAG: Duration = Duration::from_secs(3);

/// The pause after an order that was refused or lost, before the server is asked for its state.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// An order to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub server: Name,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: Version,
    /// The orders that the server has accepted before, as it last reported; it refuses the order
    /// when the count differs. None when it has not reported since its start.
    pub accepted_before: Option<u64>,
}

/// What a server said of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The Unix time of its start, in milliseconds.
    pub born: u64,
    /// Whether it carries out an order.
    pub busy: bool,
    /// The orders that it has accepted.
    pub orders: u64,
    /// The version of each model.
    pub models: BTreeMap<Name, Version>,
}

/// Decides which server gets which order.
#[derive(Debug, Default)]
pub struct Planner {
    loading: BTreeMap<Name, Order>,
    reports: BTreeMap<Name, (Report, Instant)>,
    paused: BTreeMap<Name, Instant>,
}

impl Planner {
    /// Returns the orders to give now.
    pub fn plan(
        &mut self,
        targets: &BTreeMap<Name, Version>,
        servers: &[Server],
        now: Instant,
    ) -> Vec<Order> {
        self.forget_gone(servers);
        self.paused.retain(|_, until| now < *until);
        let mut orders = Vec::new();
        for (model, target) in targets {
            let having: Vec<&Server> = servers
                .iter()
                .filter(|server| server.models.contains_key(model) && !server.draining)
                .collect();
            let most = having.len().div_ceil(SERVERS_PER_LOAD).max(1);
            let loading = self
                .loading
                .values()
                .filter(|order| order.model == *model)
                .count();
            let mut behind: Vec<(Version, Order)> = having
                .iter()
                .filter(|server| !self.loading.contains_key(&server.id))
                .filter(|server| !self.paused.contains_key(&server.id))
                .filter_map(|server| self.order(server, model, *target, now))
                .collect();
            behind.sort_by(|one, other| (one.0, &one.1.server).cmp(&(other.0, &other.1.server)));
            for (_, order) in behind.into_iter().take(most.saturating_sub(loading)) {
                self.loading.insert(order.server.clone(), order.clone());
                orders.push(order);
            }
        }
        orders
    }

    /// Notes what a server reported.
    pub fn report(&mut self, server: &Name, report: Report, now: Instant) {
        self.reports.insert(server.clone(), (report, now));
    }

    /// Notes that an order has ended: carried out, refused or lost.
    pub fn finish(&mut self, server: &str, done: bool, now: Instant) {
        if let Some(order) = self.loading.remove(server)
            && !done
        {
            self.paused.insert(order.server, now + RETRY_PAUSE);
        }
    }

    /// Forgets all orders in progress, as when the duty passes to another node.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn forget_gone(&mut self, servers: &[Server]) {
        let lives = |id: &Name| servers.iter().any(|server| server.id == *id);
        self.reports.retain(|id, (report, _)| {
            servers
                .iter()
                .any(|server| server.id == *id && server.born == report.born)
        });
        self.loading.retain(|id, _| lives(id));
    }

    /// Returns the version behind the target and the order that mends it.
    fn order(
        &self,
        server: &Server,
        model: &Name,
        target: Version,
        now: Instant,
    ) -> Option<(Version, Order)> {
        let report = self.reports.get(&server.id);
        let models = match report {
            Some((report, at)) if now < *at + LIST_LAG => &report.models,
            _ => &server.models,
        };
        let current = *models.get(model)?;
        let order = Order {
            server: server.id.clone(),
            model: model.clone(),
            version: target,
            accepted_before: report.map(|(report, _)| report.orders),
        };
        (current < target).then_some((current, order))
    }
}
