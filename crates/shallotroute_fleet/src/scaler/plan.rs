//! The distribution of a service's servers over zones and kinds.
//!
//! Answers the load of spot servers that are reclaimed zone by zone: what is left after the loss of the
//! zone with the most spot servers suffices.

use shallotroute_types::location::Zone;

use crate::route::Scaling;

/// What a service needs, in servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// All servers.
    pub servers: u32,
    /// The servers that have to be left after the loss of the zone with the most spot servers.
    pub survivors: u32,
    /// The on-demand servers, which are left after the loss of all spot servers.
    pub on_demand: u32,
}

/// The numbers of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ZoneCount {
    pub(super) zone: Zone,
    /// The price of an on-demand server, in millionths per second.
    pub(super) price: u64,
    pub(super) on_demand: u32,
    pub(super) spot: u32,
    /// The number up to which servers may be added; lower than the maximum where orders are refused.
    pub(super) on_demand_limit: u32,
    pub(super) spot_limit: u32,
}

impl ZoneCount {
    pub(super) fn total(&self) -> u32 {
        self.on_demand + self.spot
    }

    pub(super) fn count(&self, is_spot: bool) -> u32 {
        match is_spot {
            true => self.spot,
            false => self.on_demand,
        }
    }

    pub(super) fn set(&mut self, is_spot: bool, count: u32) {
        match is_spot {
            true => self.spot = count,
            false => self.on_demand = count,
        }
    }
}

/// The numbers of all zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Plan {
    pub(super) zones: Vec<ZoneCount>,
    min: u32,
    max: u32,
    /// The price of a spot server, in millionths of the on-demand price.
    spot_price: u64,
}

/// One million, the denominator of prices.
const MILLION: u64 = 1_000_000;

impl Plan {
    pub(super) fn new(scaling: &Scaling, zones: Vec<ZoneCount>) -> Self {
        Self {
            zones,
            min: scaling.min,
            max: scaling.max,
            spot_price: scaling.spot_price.0,
        }
    }

    /// Returns a plan without servers and with the same limits.
    pub(super) fn cleared(&self) -> Self {
        let mut plan = self.clone();
        for zone in &mut plan.zones {
            (zone.on_demand, zone.spot) = (0, 0);
        }
        plan
    }

    pub(super) fn total(&self) -> u32 {
        self.zones.iter().map(ZoneCount::total).sum()
    }

    pub(super) fn on_demand(&self) -> u32 {
        self.zones.iter().map(|zone| zone.on_demand).sum()
    }

    /// Returns the servers that are left after the loss of the zone with the most spot servers.
    pub(super) fn survivors(&self) -> u32 {
        self.total() - self.max_spot()
    }

    fn max_spot(&self) -> u32 {
        self.zones.iter().map(|zone| zone.spot).max().unwrap_or(0)
    }

    /// Returns whether the plan has what is needed in each zone and together.
    pub(super) fn suffices(&self, need: Need) -> bool {
        !self.lacks_headroom(need)
            && self.survivors() >= need.survivors
            && self.on_demand() >= need.on_demand
            && self.zones.iter().all(|zone| zone.total() >= self.min)
    }

    /// Returns the price of all servers, in millionths per second.
    pub(super) fn cost(&self) -> u64 {
        let cost = |zone: &ZoneCount| {
            let on_demand = zone.price * u64::from(zone.on_demand);
            on_demand + self.price(zone, true) * u64::from(zone.spot)
        };
        self.zones.iter().map(cost).sum()
    }

    /// Returns the price of one server, in millionths per second.
    pub(super) fn price(&self, zone: &ZoneCount, is_spot: bool) -> u64 {
        match is_spot {
            true => zone.price * self.spot_price / MILLION,
            false => zone.price,
        }
    }

    /// Adds servers until the plan suffices or the limits are reached. Never lowers a number.
    pub(super) fn grow(&mut self, need: Need) {
        while self.on_demand() < need.on_demand && self.add_on_demand() {}
        for index in 0..self.zones.len() {
            while self.zones[index].total() < self.min && self.fill(index) {}
        }
        let level_limit = self.level_limit(need);
        while self.survivors() < need.survivors
            && (self.add_surviving_spot(level_limit) || self.add_on_demand())
        {}
        while self.lacks_headroom(need) && (self.add_spot(level_limit) || self.add_on_demand()) {}
    }

    /// Returns whether servers are missing beyond those that have to survive a loss. While no spot servers
    /// can be had, on-demand ones do not replace them beyond that: they cost several times as much, and the
    /// survivors finish in time.
    fn lacks_headroom(&self, need: Need) -> bool {
        let mut open = self.open_for_spot(self.level_limit(need));
        self.total() < need.servers && (self.spot_price >= MILLION || open.next().is_some())
    }

    /// Returns the spot servers that a zone may have. With more, the rest would not suffice after their
    /// loss, although all zones are full.
    fn level_limit(&self, need: Need) -> u32 {
        let capacity = self.max * self.zones.len() as u32;
        capacity.saturating_sub(need.survivors)
    }

    /// Adds the cheaper server that can be had in a zone.
    fn fill(&mut self, index: usize) -> bool {
        let zone = &mut self.zones[index];
        if zone.total() >= self.max {
            return false;
        }
        if zone.spot < zone.spot_limit && self.spot_price < MILLION {
            zone.spot += 1;
        } else if zone.on_demand < zone.on_demand_limit {
            zone.on_demand += 1;
        } else {
            return false;
        }
        true
    }

    /// Adds an on-demand server where it keeps the numbers of the zones inversely proportional to
    /// their prices. A zone takes over half of the servers only if no other one has room.
    fn add_on_demand(&mut self) -> bool {
        let cost = |index: &usize| {
            let zone = &self.zones[*index];
            zone.price.max(1) * u64::from(zone.on_demand + 1)
        };
        let open = |index: &usize| {
            let zone = &self.zones[*index];
            zone.on_demand < zone.on_demand_limit && zone.total() < self.max
        };
        let indices = 0..self.zones.len();
        let balanced = indices
            .clone()
            .filter(|index| open(index) && self.keeps_share(*index))
            .min_by_key(cost);
        let chosen = balanced.or_else(|| indices.filter(open).min_by_key(cost));
        match chosen {
            Some(index) => {
                self.zones[index].on_demand += 1;
                true
            }
            None => false,
        }
    }

    /// Adds a spot server in the zone with the fewest, if spot servers are cheaper for what they leave
    /// after the loss of a zone: `n` of them in `n` zones leave `n - 1`.
    fn add_surviving_spot(&mut self, level_limit: u32) -> bool {
        let level = self.max_spot();
        let zones = self.open_for_spot(level_limit).count() as u64;
        let fewest = self
            .open_for_spot(level_limit)
            .map(|index| self.zones[index].spot)
            .min();
        let is_cheaper = match fewest {
            Some(spot) if spot < level => true,
            Some(_) => zones > 1 && self.spot_price * zones < MILLION * (zones - 1),
            None => false,
        };
        is_cheaper && self.add_spot(level_limit)
    }

    /// Adds a spot server in the zone with the fewest, if they are cheaper. No zone gets more than
    /// `level_limit`.
    fn add_spot(&mut self, level_limit: u32) -> bool {
        let fewest = self
            .open_for_spot(level_limit)
            .min_by_key(|index| (self.zones[*index].spot, self.zones[*index].price));
        match fewest {
            Some(index) if self.spot_price < MILLION => {
                self.zones[index].spot += 1;
                true
            }
            _ => false,
        }
    }

    /// Returns the zones that can get another spot server.
    fn open_for_spot(&self, level_limit: u32) -> impl Iterator<Item = usize> {
        (0..self.zones.len()).filter(move |index| {
            let zone = &self.zones[*index];
            zone.spot < zone.spot_limit.min(level_limit)
                && zone.total() < self.max
                && self.keeps_share(*index)
        })
    }

    /// Returns whether a zone has at most half of the servers, rounded up, with one more.
    fn keeps_share(&self, index: usize) -> bool {
        self.zones.len() == 1 || 2 * (self.zones[index].total() + 1) <= self.total() + 2
    }
}
