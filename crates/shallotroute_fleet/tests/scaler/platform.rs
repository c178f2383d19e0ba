//! A stand-in of the platform that boots, drains and reclaims servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use shallotroute_fleet::{
    route::{Price, Scaling},
    scaler::{Demand, Inputs, Order, Policy, Reply, Scaler},
    server::Server,
};
use shallotroute_types::{location::Zone, name::Name};

/// How long a server drains before it leaves.
const DRAIN_TIME: Duration = Duration::from_millis(2500);

/// The time after which a step's items are due.
pub(crate) const DUE_AFTER: Duration = Duration::from_millis(7500);

/// The limits and prices of the known deployments.
pub(crate) fn known_scaling() -> Scaling {
    let price = |(zone, price): (&str, f64)| (Name::from(zone), Price::new(price).unwrap());
    Scaling {
        min: 0,
        max: 24,
        boot_time: Duration::from_secs(4),
        spot_price: Price::new(0.22).unwrap(),
        zone_prices: [("a", 0.85), ("b", 1.2), ("c", 1.0)].map(price).into(),
    }
}

struct Machine {
    zone: Zone,
    is_spot: bool,
    ready_at: Instant,
    gone_at: Option<Instant>,
}

/// The platform and a leader that scales one service.
pub(crate) struct Platform {
    pub(crate) now: Instant,
    pub(crate) scaling: Scaling,
    pub(crate) scaler: Scaler,
    /// The zones and kinds of which no servers can be had.
    pub(crate) unavailable: BTreeSet<(Zone, bool)>,
    /// Whether calls get no response and have no effect.
    pub(crate) is_silent: bool,
    /// Whether the host list can be read.
    pub(crate) is_listed: bool,
    /// The zones whose servers are not in the host list.
    pub(crate) unlisted: BTreeSet<Zone>,
    pub(crate) orders: Vec<(Instant, Order)>,
    machines: Vec<Machine>,
    targets: BTreeMap<(Zone, bool), u32>,
}

impl Platform {
    /// Creates a platform with on-demand servers in some zones.
    pub(crate) fn new(scaling: Scaling, servers: &[(&str, u32)]) -> Self {
        let now = Instant::now();
        let mut platform = Self {
            now,
            scaling,
            scaler: Scaler::new(Policy::ByDemand, now),
            unavailable: BTreeSet::new(),
            is_silent: false,
            is_listed: true,
            unlisted: BTreeSet::new(),
            orders: Vec::new(),
            machines: Vec::new(),
            targets: BTreeMap::new(),
        };
        for (zone, count) in servers {
            platform.targets.insert(((*zone).into(), false), *count);
        }
        platform.apply_targets(Duration::ZERO);
        platform
    }

    /// Polls the scaler once a second for some seconds under a demand of items by second.
    pub(crate) fn run(&mut self, seconds: u64, demand: impl Fn(u64) -> Option<usize>) {
        for second in 0..seconds {
            self.step(demand(second));
        }
    }

    /// Polls the scaler once and passes a second.
    pub(crate) fn step(&mut self, items: Option<usize>) -> Vec<Order> {
        let servers = self.servers();
        let inputs = Inputs {
            scaling: &self.scaling,
            demand: items.map(|items| Demand { items, requests: 0 }),
            due_after: Some(DUE_AFTER),
            servers: self.is_listed.then_some(&servers),
        };
        let orders = self.scaler.poll(&"llm".into(), &inputs, self.now);
        for order in &orders {
            self.orders.push((self.now, order.clone()));
            let reply = self.execute(order);
            self.scaler.record_reply(order, reply, self.now);
        }
        self.apply_targets(self.scaling.boot_time);
        self.now += Duration::from_secs(1);
        orders
    }

    fn execute(&mut self, order: &Order) -> Reply {
        let key = (order.zone.clone(), order.is_spot);
        if self.is_silent {
            return Reply::Unanswered;
        }
        let running = self.count(|machine| (&machine.zone, machine.is_spot) == (&key.0, key.1));
        if self.unavailable.contains(&key) && order.count > running {
            return Reply::Refused;
        }
        self.targets.insert(key, order.count);
        Reply::Accepted
    }

    fn apply_targets(&mut self, boot_time: Duration) {
        let now = self.now;
        self.machines
            .retain(|machine| machine.gone_at.is_none_or(|at| now < at));
        for ((zone, is_spot), target) in &self.targets {
            let mut staying: Vec<&mut Machine> = self
                .machines
                .iter_mut()
                .filter(|machine| (&machine.zone, machine.is_spot) == (zone, *is_spot))
                .filter(|machine| machine.gone_at.is_none())
                .collect();
            let count = staying.len();
            for machine in staying.iter_mut().skip(*target as usize) {
                machine.gone_at = Some(now + DRAIN_TIME);
            }
            for _ in count..*target as usize {
                self.machines.push(Machine {
                    zone: zone.clone(),
                    is_spot: *is_spot,
                    ready_at: now + boot_time,
                    gone_at: None,
                });
            }
        }
    }

    /// Reclaims all spot servers of some zones. None can be had there until [`Platform::restore`].
    pub(crate) fn reclaim(&mut self, zones: &[&str]) {
        let now = self.now;
        for zone in zones {
            let key = (Zone::from(*zone), true);
            for machine in &mut self.machines {
                if (&machine.zone, machine.is_spot) == (&key.0, true) {
                    machine.gone_at.get_or_insert(now + DRAIN_TIME);
                }
            }
            self.targets.insert(key.clone(), 0);
            self.unavailable.insert(key);
        }
    }

    /// Has all kinds available again.
    pub(crate) fn restore(&mut self) {
        self.unavailable.clear();
    }

    fn servers(&self) -> Vec<Server> {
        let is_listed = |machine: &&Machine| {
            machine.ready_at <= self.now && !self.unlisted.contains(&machine.zone)
        };
        let server = |(index, machine): (usize, &Machine)| Server {
            id: format!("s{index}").into(),
            service: "llm".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: machine.zone.clone(),
            slots: 6,
            is_draining: machine.gone_at.is_some(),
            leaves_after: None,
            is_spot: machine.is_spot,
            born: 1,
            software: "v1".into(),
            models: BTreeMap::new(),
        };
        let listed = self.machines.iter().filter(is_listed);
        listed.enumerate().map(server).collect()
    }

    fn count(&self, is_counted: impl Fn(&Machine) -> bool) -> u32 {
        let staying = self.machines.iter();
        let counted = staying.filter(|machine| machine.gone_at.is_none() && is_counted(machine));
        counted.count() as u32
    }

    /// Returns the servers that serve and do not drain.
    pub(crate) fn serving(&self) -> u32 {
        self.count(|machine| machine.ready_at <= self.now)
    }

    /// Returns the servers of one kind in a zone, booting ones included.
    pub(crate) fn pool(&self, zone: &str, is_spot: bool) -> u32 {
        self.count(|machine| (&*machine.zone, machine.is_spot) == (zone, is_spot))
    }

    /// Returns the on-demand and spot servers of all zones.
    pub(crate) fn kinds(&self) -> (u32, u32) {
        let spot = self.count(|machine| machine.is_spot);
        (self.count(|_| true) - spot, spot)
    }

    /// Returns the price of all servers per second, without those that drain.
    pub(crate) fn cost(&self) -> f64 {
        let cost = |machine: &Machine| {
            let price = self.scaling.zone_prices[&machine.zone].0 as f64 / 1e6;
            match machine.is_spot {
                true => price * self.scaling.spot_price.0 as f64 / 1e6,
                false => price,
            }
        };
        let staying = self.machines.iter();
        staying
            .filter(|machine| machine.gone_at.is_none())
            .map(cost)
            .sum()
    }
}
