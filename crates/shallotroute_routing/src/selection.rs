//! Selects one of the backend servers that may get a request.

use std::{cmp::Reverse, time::Instant};

use derive_more::Display;
use rand::{Rng, RngExt, seq::IndexedRandom};
use serde::Serialize;
use shallotroute_config::object::Selection;
use shallotroute_types::{location::Zone, name::Name};

use crate::server::Server;

/// The criteria of a selection besides the servers' own state.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The availability zone of the node itself.
    pub zone: &'a Zone,
    /// The hash of the start of the prompt.
    pub prefix: Option<u64>,
    /// The server whose prefix cache most likely holds the start of the prompt.
    pub holder: Option<&'a Name>,
    /// The lower median of the servers' latencies, in seconds.
    pub latency: Option<f64>,
}

/// The ratio of a server's latency to the pool's above which the server counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// The largest factor by which slowness raises a server's cost. It lets a slow server get some work,
/// which shows when the server has recovered.
const MAX_SLOW_COST: f64 = 20.0;

/// The reason why a server was selected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The server was next in the round-robin order.
    #[display("turn")]
    Turn,
    /// The server had the fewest requests of this node in progress.
    #[display("fewest")]
    Fewest,
    /// The server most likely holds the start of the prompt in its prefix cache.
    #[display("cached")]
    Cached,
    /// Rendezvous hashing assigns the start of the prompt to the server.
    #[display("prefix")]
    Prefix,
    /// The server had the lower cost of two random candidates.
    #[display("score")]
    Score,
}

/// The factor by which a server's cost is raised in another availability zone than the node's.
const ZONE_COST_FACTOR: f64 = 1.5;

/// The share of a server's slots up to which it gets the requests whose prefix it holds or is assigned,
/// regardless of the load of other servers. Below it, a request does not wait.
const FREE_SHARE: f64 = 0.5;

/// The ratio of a server's load to the mean load up to which it gets the requests whose prefix it holds
/// or is assigned.
/// V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.
const LOAD_BOUND: f64 = 1.25;

/// Selects one of `usable`, which are indexes into `servers` in ascending order. `turn` is the index from
/// which the round-robin order and ties start. Returns `None` when there is no usable server.
pub fn choose<R: Rng>(
    selection: Selection,
    servers: &[Server],
    usable: &[usize],
    criteria: &Criteria<'_>,
    turn: usize,
    now: Instant,
    random: &mut R,
) -> Option<(usize, Reason)> {
    let start = usable.partition_point(|&index| index < turn % servers.len().max(1));
    let rotated = usable.iter().cycle().skip(start).take(usable.len());
    match selection {
        Selection::RoundRobin => rotated.copied().next().map(|it| (it, Reason::Turn)),
        Selection::LeastLoaded => rotated
            .copied()
            .min_by_key(|&index| servers[index].in_progress())
            .map(|it| (it, Reason::Fewest)),
        Selection::Adaptive => choose_adaptive(servers, usable, criteria, now, random),
    }
}

/// Prefers the server that has the prompt's prefix; otherwise takes the cheaper one of two random servers.
fn choose_adaptive<R: Rng>(
    servers: &[Server],
    usable: &[usize],
    criteria: &Criteria<'_>,
    now: Instant,
    random: &mut R,
) -> Option<(usize, Reason)> {
    let by_prefix = criteria
        .prefix
        .and_then(|prefix| choose_by_prefix(servers, usable, prefix, criteria, now));
    by_prefix.or_else(|| {
        let (first, second) = draw_candidates(servers, usable, criteria.zone, random)?;
        let cost = |index: usize| cost(&servers[index], criteria, now);
        let is_cheaper = cost(second) < cost(first);
        Some((if is_cheaper { second } else { first }, Reason::Score))
    })
}

/// Returns the server whose prefix cache most likely holds the prompt. A server that is slow or over the
/// load bound is skipped; rendezvous hashing then selects another one. Returns `None` when no server
/// qualifies.
fn choose_by_prefix(
    servers: &[Server],
    usable: &[usize],
    prefix: u64,
    criteria: &Criteria<'_>,
    now: Instant,
) -> Option<(usize, Reason)> {
    let (load, slots) = usable.iter().fold((1_u64, 0_u64), |(load, slots), &index| {
        let server = &servers[index];
        (
            load + u64::from(server.load(now)),
            slots + u64::from(server.object.slots),
        )
    });
    let mean_load = load as f64 / slots.max(1) as f64;
    let is_within_bound = |server: &Server| {
        let next = f64::from(server.load(now)) + 1.0;
        let slots = f64::from(server.object.slots);
        next <= slots * FREE_SHARE || next <= (LOAD_BOUND * mean_load * slots).ceil()
    };
    let is_qualified = |index: &usize| {
        let server = &servers[*index];
        is_within_bound(server) && latency_ratio(server, criteria, now) <= SLOW_RATIO
    };
    let qualified = || usable.iter().copied().filter(is_qualified);
    let holder = criteria.holder;
    let cached = holder.and_then(|name| qualified().find(|&it| servers[it].object.name == *name));
    match cached {
        Some(index) => Some((index, Reason::Cached)),
        None => qualified()
            .max_by_key(|&index| (mix(prefix ^ servers[index].name_hash), Reverse(index)))
            .map(|it| (it, Reason::Prefix)),
    }
}

/// Draws two candidates. If the node's own zone has servers, the first candidate is one of them. The second
/// one is from another zone half of the time, so that an overloaded zone spills over to others.
fn draw_candidates<R: Rng>(
    servers: &[Server],
    usable: &[usize],
    zone: &Zone,
    random: &mut R,
) -> Option<(usize, usize)> {
    let is_local = |index: &usize| servers[*index].object.zone == *zone;
    let (local, remote): (Vec<usize>, Vec<usize>) = usable.iter().copied().partition(is_local);
    let near = if local.is_empty() { &remote } else { &local };
    let far = match !remote.is_empty() && random.random_bool(0.5) {
        true => remote.as_slice(),
        false => usable,
    };
    let first = *near.choose(random)?;
    let second = *far.choose(random)?;
    match first == second {
        // A second draw makes equal candidates rare enough; a third one would cost more than it gains.
        true => Some((first, *far.choose(random)?)),
        false => Some((first, second)),
    }
}

/// Returns the cost of a server, by load, zone and latency; lower is better.
fn cost(server: &Server, criteria: &Criteria<'_>, now: Instant) -> f64 {
    let load = (f64::from(server.load(now)) + 1.0) / f64::from(server.object.slots.max(1));
    let zone_cost = match server.object.zone == *criteria.zone {
        true => 1.0,
        false => ZONE_COST_FACTOR,
    };
    let ratio = latency_ratio(server, criteria, now);
    let slow_cost = match ratio > SLOW_RATIO {
        true => ratio.min(MAX_SLOW_COST),
        false => 1.0,
    };
    load * zone_cost * slow_cost
}

/// Returns the server's latency as a multiple of the pool's; 1.0 while either is unknown.
fn latency_ratio(server: &Server, criteria: &Criteria<'_>, now: Instant) -> f64 {
    match (server.latency(now), criteria.latency) {
        (Some(own), Some(pool)) if pool > 0.0 => own / pool,
        _ => 1.0,
    }
}

/// Mixes the bits of a hash with the finalizer of SplitMix64: G. Steele, D. Lea, C. Flood, "Fast splittable
/// pseudorandom number generators", OOPSLA 2014.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
