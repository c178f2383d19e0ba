//! How many servers a service has in each zone and of each kind.
//!
//! Answers the load of trainers' steps, which arrive as bursts of some hundred items and are worth
//! nothing when they end late, on servers that are paid by the second and of which the cheap ones (spot
//! servers) may be taken away zone by zone. The number grows at once when the peak of the open items
//! requires it, and shrinks slowly, never on missing data. The leader polls it about once a second.

mod demand;
mod plan;
mod pool;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use derive_more::Display;
use shallotroute_types::{location::Zone, name::Name};

pub use self::{demand::Demand, plan::Need};
use self::{
    demand::History,
    plan::{Plan, ZoneCount},
    pool::Pool,
};
use crate::{
    route::{Price, Scaling},
    server::Server,
};

/// How long a new leader lowers no number: until then reports and the effects of its predecessor's orders
/// have arrived.
pub const NEW_LEADER_HOLD: Duration = Duration::from_secs(10);

/// How long after its boot time a server may appear in the host list. A new leader gives no order before: a number
/// that lacks the servers which its predecessor ordered, or which start together with it, would lower theirs.
const LISTING_DELAY: Duration = Duration::from_secs(3);

/// How long no number is lowered after servers were reclaimed, an order was refused, or data was missing.
const LOSS_HOLD: Duration = Duration::from_secs(10);

/// The interval between two changes that save money. It lets the demand show the effect of the last one.
const SAVING_INTERVAL: Duration = Duration::from_secs(5);

/// The interval between two orders that raise the number of a pool. A call costs two server-seconds, a
/// late step some hundred.
pub const GROWTH_INTERVAL: Duration = Duration::from_secs(2);

/// What a number is raised beyond the need, so that the next small rise needs no further call.
const MARGIN: f64 = 1.1;

/// The saving below which numbers are left as they are, in percent of the price.
const MIN_SAVING_PERCENT: u64 = 5;

/// The part of all servers that the zones may have which the headroom does not use, as a divisor. Zones that
/// are full have no room for the spot servers that are to replace on-demand ones.
const SPARE_DIVISOR: u32 = 10;

/// The part of a pool by which one order lowers it, as a divisor.
const LOWERING_DIVISOR: u32 = 4;

/// How numbers are chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Policy {
    /// By the demand.
    #[display("by_demand")]
    ByDemand,
    /// Numbers stay as they are.
    #[display("unchanged")]
    Unchanged,
    /// Each zone has this part of its maximum, on demand.
    #[display("fixed({_0})")]
    Fixed(f64),
}

/// What the numbers of a service depend on.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The limits and prices of the service.
    pub scaling: &'a Scaling,
    /// The demand; `None` if reports are missing.
    pub demand: Option<Demand>,
    /// The time after which batch jobs are due; `None` for a service without any.
    pub due_after: Option<Duration>,
    /// The servers of the service; `None` if the host list can't be read.
    pub servers: Option<&'a [Server]>,
}

/// An order to set the number of servers of one kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The zone.
    pub zone: Zone,
    /// Whether the order is about spot servers.
    pub is_spot: bool,
    /// The number of servers.
    pub count: u32,
    /// The number before.
    pub former: u32,
    /// Why the number is ordered.
    pub reason: Reason,
}

/// Why a number is ordered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The servers, or what would be left of them after a loss, do not suffice for the demand.
    #[display("shortage")]
    Shortage,
    /// Servers were reclaimed or refused, and others replace them.
    #[display("replacement")]
    Replacement,
    /// Spot servers are added, so that on-demand ones can be removed.
    #[display("conversion")]
    Conversion,
    /// The servers are not needed.
    #[display("surplus")]
    Surplus,
    /// The zone has more servers than its maximum.
    #[display("above maximum")]
    AboveMaximum,
    /// The policy sets the number.
    #[display("fixed")]
    Fixed,
    /// The order before had no response.
    #[display("repeated")]
    Repeated,
}

/// The response to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reply {
    /// The platform has taken the number.
    #[display("accepted")]
    Accepted,
    /// None are available there at the moment.
    #[display("refused")]
    Refused,
    /// There was no response, or the call was not sent.
    #[display("unanswered")]
    Unanswered,
}

/// Why no number is lowered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Hold {
    /// This leader is new.
    #[display("new leader")]
    NewLeader,
    /// Reports are missing or were until recently.
    #[display("missing data")]
    MissingData,
    /// Servers boot.
    #[display("booting")]
    Booting,
    /// Servers were reclaimed or refused recently.
    #[display("recent loss")]
    RecentLoss,
    /// The last order is recent.
    #[display("recent order")]
    RecentOrder,
}

/// The figures behind the last poll of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// The highest demand over the last two steps.
    pub peak: Demand,
    /// What the demand needs.
    pub need: Need,
    /// The servers in force and ordered.
    pub servers: u32,
    /// Those of them that are on demand.
    pub on_demand: u32,
    /// The servers that would be left after the loss of the zone with the most spot servers.
    pub survivors: u32,
    /// Why no number is lowered; `None` if it may be.
    pub hold: Option<Hold>,
}

/// Chooses the numbers of all services while this node leads.
#[derive(Debug)]
pub struct Scaler {
    policy: Policy,
    started_at: Instant,
    services: BTreeMap<Name, State>,
}

#[derive(Debug, Default)]
struct State {
    pools: BTreeMap<(Zone, bool), Pool>,
    demand: History,
    /// The slots of a server; 0 as long as none has been seen.
    slots: f64,
    ordered_at: Option<Instant>,
    lost_at: Option<Instant>,
    missing_at: Option<Instant>,
    account: Account,
}

impl Scaler {
    /// Creates the scaler of a node that begins to lead.
    pub fn new(policy: Policy, now: Instant) -> Self {
        Self {
            policy,
            started_at: now,
            services: BTreeMap::new(),
        }
    }

    /// Returns the orders that are due for a service. Each is to be answered by
    /// [`Scaler::record_reply`].
    pub fn poll(&mut self, service: &Name, inputs: &Inputs<'_>, now: Instant) -> Vec<Order> {
        let state = self.services.entry(service.clone()).or_default();
        state.observe(inputs, now);
        if inputs.servers.is_none() || state.slots == 0.0 || self.policy == Policy::Unchanged {
            return Vec::new();
        }
        if now < self.started_at + inputs.scaling.boot_time + LISTING_DELAY {
            state.account.hold = Some(Hold::NewLeader);
            return Vec::new();
        }
        let plan = state.plan(inputs.scaling, now);
        state.account = Account {
            servers: plan.total(),
            on_demand: plan.on_demand(),
            survivors: plan.survivors(),
            hold: state.hold(self.started_at, inputs.scaling, now),
            ..Account::default()
        };
        let mut orders = match self.policy {
            Policy::Unchanged => Vec::new(),
            Policy::Fixed(factor) => state.fixed(&plan, inputs.scaling, factor, now),
            Policy::ByDemand => state.by_demand(&plan, inputs, now),
        };
        for order in &mut orders {
            order.service = service.clone();
        }
        state.send(&orders, now);
        orders.extend(state.repeats(service, inputs.scaling, now));
        orders
    }

    /// Records the response to an order.
    pub fn record_reply(&mut self, order: &Order, reply: Reply, now: Instant) {
        let Some(state) = self.services.get_mut(&order.service) else {
            return;
        };
        let key = (order.zone.clone(), order.is_spot);
        let Some(pool) = state.pools.get_mut(&key) else {
            return;
        };
        pool.record_reply(order.count, reply, now);
        if reply == Reply::Refused {
            state.lost_at = Some(now);
        }
    }

    /// Drops the services that are no longer scaled.
    pub fn retain(&mut self, is_scaled: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_scaled(service));
    }

    /// Returns the figures behind the last poll of each service.
    pub fn accounts(&self) -> impl Iterator<Item = (&Name, &Account)> {
        self.services
            .iter()
            .map(|(service, state)| (service, &state.account))
    }
}

impl State {
    fn observe(&mut self, inputs: &Inputs<'_>, now: Instant) {
        self.demand.record(inputs.demand, now);
        if inputs.demand.is_none() || inputs.servers.is_none() {
            self.missing_at = Some(now);
        }
        let Some(servers) = inputs.servers else {
            return;
        };
        let active = || servers.iter().filter(|server| !server.is_draining);
        let count = active().count();
        if count > 0 {
            let slots: usize = active().map(|server| server.slots).sum();
            self.slots = slots as f64 / count as f64;
        }
        for zone in inputs.scaling.zone_prices.keys() {
            for is_spot in [false, true] {
                let counts = |is_draining: bool| {
                    let matches = servers.iter().filter(|server| {
                        (&server.zone, server.is_spot, server.is_draining)
                            == (zone, is_spot, is_draining)
                    });
                    u32::try_from(matches.count()).unwrap_or(u32::MAX)
                };
                let pool = self.pools.entry((zone.clone(), is_spot)).or_default();
                if pool.observe(counts(false), counts(true), is_spot, now) {
                    self.lost_at = Some(now);
                }
            }
        }
    }

    fn hold(&self, started_at: Instant, scaling: &Scaling, now: Instant) -> Option<Hold> {
        let within = |at: Option<Instant>, time| at.is_some_and(|at| now < at + time);
        let is_booting = |pool: &Pool| pool.is_booting(scaling.boot_time, now);
        if now < started_at + NEW_LEADER_HOLD {
            Some(Hold::NewLeader)
        } else if within(self.missing_at, LOSS_HOLD) {
            Some(Hold::MissingData)
        } else if self.pools.values().any(is_booting) {
            Some(Hold::Booting)
        } else if within(self.lost_at, LOSS_HOLD) {
            Some(Hold::RecentLoss)
        } else if within(self.ordered_at, SAVING_INTERVAL) {
            Some(Hold::RecentOrder)
        } else {
            None
        }
    }

    /// Returns the numbers in force, ordered ones included.
    fn plan(&self, scaling: &Scaling, now: Instant) -> Plan {
        let zone_count = |(zone, price): (&Zone, &Price)| {
            let number = |is_spot| {
                let pool = self.pools.get(&(zone.clone(), is_spot));
                let count = pool.map_or(0, |pool| pool.number(scaling.boot_time, now));
                let is_blocked = pool.is_some_and(|pool| pool.is_blocked(now));
                let limit = match is_blocked {
                    true => count.min(scaling.max),
                    false => scaling.max,
                };
                (count, limit)
            };
            let (on_demand, on_demand_limit) = number(false);
            let (spot, spot_limit) = number(true);
            ZoneCount {
                zone: zone.clone(),
                price: price.0,
                on_demand,
                spot,
                on_demand_limit,
                spot_limit,
            }
        };
        let zones = scaling.zone_prices.iter().map(zone_count).collect();
        Plan::new(scaling, zones)
    }

    fn by_demand(&mut self, plan: &Plan, inputs: &Inputs<'_>, now: Instant) -> Vec<Order> {
        let peak = self.demand.peak(now);
        let need = self.need(peak, inputs, 1.0);
        (self.account.peak, self.account.need) = (peak, need);
        let above_maximum = above_maximum(plan, inputs.scaling);
        if self.account.hold.is_none()
            && let Some(order) = above_maximum
        {
            return vec![order];
        }
        if !plan.suffices(need) {
            let mut target = plan.clone();
            target.grow(self.need(peak, inputs, MARGIN));
            let is_loss = self.lost_at.is_some_and(|at| now < at + LOSS_HOLD);
            let reason = match is_loss {
                true => Reason::Replacement,
                false => Reason::Shortage,
            };
            return self.raises(plan, &target, reason, now);
        }
        if self.account.hold.is_some() {
            return Vec::new();
        }
        let lasting = self.need(self.demand.lasting_peak(), inputs, MARGIN);
        self.savings(plan, lasting, inputs.scaling, now)
    }

    /// Returns what a demand needs. Each zone keeps an on-demand server for the callers in it.
    fn need(&self, demand: Demand, inputs: &Inputs<'_>, margin: f64) -> Need {
        let zones = inputs.scaling.zone_prices.len() as u32;
        let need = demand.need(inputs.due_after, self.slots, margin);
        let capacity = inputs.scaling.max.saturating_mul(zones);
        let usable = capacity - capacity / SPARE_DIVISOR;
        Need {
            servers: need.servers.min(usable).max(need.survivors).max(zones),
            on_demand: need.on_demand.max(zones),
            ..need
        }
    }

    /// Returns the orders that raise the numbers of `plan` to those of `target`, for each pool one each
    /// [`GROWTH_INTERVAL`].
    fn raises(&self, plan: &Plan, target: &Plan, reason: Reason, now: Instant) -> Vec<Order> {
        let mut orders = Vec::new();
        for (zone, wanted) in plan.zones.iter().zip(&target.zones) {
            for is_spot in [true, false] {
                let pool = self.pools.get(&(zone.zone.clone(), is_spot));
                let former = zone.count(is_spot);
                let count = match wanted.count(is_spot) {
                    count if count > former => {
                        count.max(pool.map_or(0, |pool| pool.recent_number(now)))
                    }
                    count => count,
                };
                let is_due = pool.is_none_or(|pool| pool.may_raise(now));
                if count > former && is_due {
                    orders.push(order(zone, is_spot, count, reason));
                }
            }
        }
        orders
    }

    /// Returns the orders that save money: first spot servers that allow the removal of on-demand ones,
    /// then one lower number.
    fn savings(&self, plan: &Plan, need: Need, scaling: &Scaling, now: Instant) -> Vec<Order> {
        let mut ideal = plan.cleared();
        ideal.grow(need);
        if plan.cost() * 100 <= ideal.cost() * (100 + MIN_SAVING_PERCENT) {
            return Vec::new();
        }
        let has_removable = plan.on_demand() > ideal.on_demand();
        let mut target = plan.clone();
        for (zone, wanted) in target.zones.iter_mut().zip(&ideal.zones) {
            let room = scaling.max.saturating_sub(zone.on_demand);
            zone.spot = zone.spot.max(wanted.spot.min(room));
        }
        let raises = match has_removable {
            true => self.raises(plan, &target, Reason::Conversion, now),
            false => Vec::new(),
        };
        match raises.is_empty() {
            true => lowered(plan, &ideal, need).into_iter().collect(),
            false => raises,
        }
    }

    fn fixed(&self, plan: &Plan, scaling: &Scaling, factor: f64, now: Instant) -> Vec<Order> {
        let wanted = (f64::from(scaling.max) * factor).round() as u32;
        let wanted = wanted.clamp(scaling.min.min(scaling.max), scaling.max);
        let mut target = plan.clone();
        for zone in &mut target.zones {
            zone.on_demand = wanted.min(zone.on_demand_limit);
            zone.spot = 0;
        }
        let raises = self.raises(plan, &target, Reason::Fixed, now);
        if !raises.is_empty() || self.account.hold.is_some() {
            return raises;
        }
        let pools = plan.zones.iter().zip(&target.zones);
        let lower = |(zone, wanted): (&ZoneCount, &ZoneCount)| {
            [true, false]
                .into_iter()
                .find(|is_spot| zone.count(*is_spot) > wanted.count(*is_spot))
                .map(|is_spot| order(zone, is_spot, wanted.count(is_spot), Reason::Fixed))
        };
        pools.into_iter().find_map(lower).into_iter().collect()
    }

    fn send(&mut self, orders: &[Order], now: Instant) {
        for order in orders {
            let key = (order.zone.clone(), order.is_spot);
            self.pools.entry(key).or_default().send(order.count, now);
            self.ordered_at = Some(now);
        }
    }

    /// Returns the orders whose responses are missing, again. A number is a target, so that the
    /// repetition changes nothing if the first one has arrived.
    fn repeats(&mut self, service: &Name, scaling: &Scaling, now: Instant) -> Vec<Order> {
        let repeat = |((zone, is_spot), pool): (&(Zone, bool), &mut Pool)| {
            let count = pool.repeat(scaling.boot_time, now)?;
            Some(Order {
                service: service.clone(),
                zone: zone.clone(),
                is_spot: *is_spot,
                count,
                former: count,
                reason: Reason::Repeated,
            })
        };
        let missing = self.missing_at == Some(now);
        self.pools
            .iter_mut()
            .filter(|(_, pool)| !missing || pool.is_raised())
            .filter_map(repeat)
            .collect()
    }
}

fn order(zone: &ZoneCount, is_spot: bool, count: u32, reason: Reason) -> Order {
    Order {
        service: Name::from(""),
        zone: zone.zone.clone(),
        is_spot,
        count,
        former: zone.count(is_spot),
        reason,
    }
}

/// Returns an order for a zone that has more servers than its maximum, as after a change of the
/// configuration.
fn above_maximum(plan: &Plan, scaling: &Scaling) -> Option<Order> {
    let zone = plan.zones.iter().find(|zone| zone.total() > scaling.max)?;
    let excess = zone.total() - scaling.max;
    let is_spot = zone.spot > 0;
    let count = zone.count(is_spot).saturating_sub(excess);
    Some(order(zone, is_spot, count, Reason::AboveMaximum))
}

/// Returns the order that lowers the pool whose surplus costs most, as far as the rest suffices.
fn lowered(plan: &Plan, ideal: &Plan, need: Need) -> Option<Order> {
    let mut surpluses = Vec::new();
    for (index, (zone, wanted)) in plan.zones.iter().zip(&ideal.zones).enumerate() {
        for is_spot in [false, true] {
            let count = zone.count(is_spot);
            let surplus = count.saturating_sub(wanted.count(is_spot));
            if surplus > 0 {
                let cost = plan.price(zone, is_spot) * u64::from(surplus);
                let step = surplus.min(count.div_ceil(LOWERING_DIVISOR));
                surpluses.push((cost, index, is_spot, step));
            }
        }
    }
    surpluses.sort_by_key(|(cost, ..)| std::cmp::Reverse(*cost));
    surpluses.into_iter().find_map(|(_, index, is_spot, step)| {
        let zone = &plan.zones[index];
        (1..=step).rev().find_map(|step| {
            let mut lower = plan.clone();
            lower.zones[index].set(is_spot, zone.count(is_spot) - step);
            let count = lower.zones[index].count(is_spot);
            lower
                .suffices(need)
                .then(|| order(zone, is_spot, count, Reason::Surplus))
        })
    })
}
