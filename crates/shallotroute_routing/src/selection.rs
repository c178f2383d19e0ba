//! The choice among the backend servers that may get a request.

use std::{cmp::Reverse, time::Instant};

use derive_more::Display;
use rand::{Rng, RngExt, seq::IndexedRandom};
use serde::Serialize;
use shallotroute_config::object::Selection;
use shallotroute_types::{name::Name, place::Zone};

use crate::server::Server;

/// What a request asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Preference<'a> {
    /// The node's own availability zone.
    pub zone: &'a Zone,
    /// The hash of the start of the prompt.
    pub prefix: Option<u64>,
    /// The server whose prefix cache most likely holds it.
    pub holder: Option<&'a Name>,
    /// The typical latency of the pool's servers, in seconds.
    pub latency: Option<f64>,
}

/// A server with more than this multiple of the pool's latency counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// The most by which slowness raises a server's score; a slow server still gets some work, which
/// shows when it has recovered.
const MAX_SLOW_COST: f64 = 20.0;

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It was its turn.
    #[display("turn")]
    Turn,
    /// It had the fewest requests in progress.
    #[display("fewest")]
    Fewest,
    /// Its cache held the start of the prompt at the last look.
    #[display("cached")]
    Cached,
    /// Rendezvous hashing gives it the start of the prompt.
    #[display("prefix")]
    Prefix,
    /// It had the better score of two candidates.
    #[display("score")]
    Score,
}

/// The factor by which another availability zone raises a server's score.
const ZONE_COST: f64 = 1.5;

/// The share of its slots up to which a server keeps the requests of its prompts, whatever the load
/// of the others. Below it a request does not wait.
const FREE_SHARE: f64 = 0.5;

/// The load above the mean, as a factor, up to which a server keeps the requests of its prompts.
/// V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.
const LOAD_BOUND: f64 = 1.25;

/// Chooses one of `usable`, indexes into `servers`. `turn` is the number of the choice.
pub fn choose<R: Rng>(
    selection: Selection,
    servers: &[Server],
    usable: &[usize],
    preference: &Preference<'_>,
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
        Selection::Adaptive => adaptive(servers, usable, preference, now, random),
    }
}

fn adaptive<R: Rng>(
    servers: &[Server],
    usable: &[usize],
    preference: &Preference<'_>,
    now: Instant,
    random: &mut R,
) -> Option<(usize, Reason)> {
    let affine = preference
        .prefix
        .and_then(|prefix| affine(servers, usable, prefix, preference, now));
    affine.or_else(|| {
        let (first, second) = draw(servers, usable, preference.zone, random)?;
        let score = |index: usize| score(&servers[index], preference, now);
        let is_better = score(second) < score(first);
        Some((if is_better { second } else { first }, Reason::Score))
    })
}

/// Returns the server whose prefix cache most likely holds the prompt, unless its load is over the
/// bound or it is slow.
fn affine(
    servers: &[Server],
    usable: &[usize],
    prefix: u64,
    preference: &Preference<'_>,
    now: Instant,
) -> Option<(usize, Reason)> {
    let (load, slots) = usable.iter().fold((1_u64, 0_u64), |(load, slots), &index| {
        let server = &servers[index];
        (
            load + u64::from(server.load(now)),
            slots + u64::from(server.object.slots),
        )
    });
    let mean = load as f64 / slots.max(1) as f64;
    let within = |server: &Server| {
        let next = f64::from(server.load(now)) + 1.0;
        let slots = f64::from(server.object.slots);
        next <= slots * FREE_SHARE || next <= (LOAD_BOUND * mean * slots).ceil()
    };
    let is_free = |index: &usize| {
        let server = &servers[*index];
        within(server) && slowness(server, preference, now) <= SLOW_RATIO
    };
    let free = || usable.iter().copied().filter(is_free);
    let holder = preference.holder;
    let cached = holder.and_then(|name| free().find(|&it| servers[it].object.name == *name));
    match cached {
        Some(index) => Some((index, Reason::Cached)),
        None => free()
            .max_by_key(|&index| (mix(prefix ^ servers[index].key), Reverse(index)))
            .map(|it| (it, Reason::Prefix)),
    }
}

/// Draws two candidates. With servers in the own zone the first one is from there; the second one
/// is from another zone half of the time, so that an overloaded zone passes its work on.
fn draw<R: Rng>(
    servers: &[Server],
    usable: &[usize],
    zone: &Zone,
    random: &mut R,
) -> Option<(usize, usize)> {
    let is_own = |index: &usize| servers[*index].object.zone == *zone;
    let (own, other): (Vec<usize>, Vec<usize>) = usable.iter().copied().partition(is_own);
    let near = if own.is_empty() { &other } else { &own };
    let far = match !other.is_empty() && random.random_bool(0.5) {
        true => other.as_slice(),
        false => usable,
    };
    let first = *near.choose(random)?;
    let second = *far.choose(random)?;
    match first == second {
        // A second draw makes two equal candidates rare; a third one would not pay.
        true => Some((first, *far.choose(random)?)),
        false => Some((first, second)),
    }
}

fn score(server: &Server, preference: &Preference<'_>, now: Instant) -> f64 {
    let load = (f64::from(server.load(now)) + 1.0) / f64::from(server.object.slots.max(1));
    let zone = match server.object.zone == *preference.zone {
        true => 1.0,
        false => ZONE_COST,
    };
    let slowness = slowness(server, preference, now);
    let slow = match slowness > SLOW_RATIO {
        true => slowness.min(MAX_SLOW_COST),
        false => 1.0,
    };
    load * zone * slow
}

/// Returns the server's latency as a multiple of the pool's.
fn slowness(server: &Server, preference: &Preference<'_>, now: Instant) -> f64 {
    match (server.latency(now), preference.latency) {
        (Some(own), Some(pool)) if pool > 0.0 => own / pool,
        _ => 1.0,
    }
}

/// The finalizer of SplitMix64: G. Steele, D. Lea, C. Flood, "Fast splittable pseudorandom number
/// generators", OOPSLA 2014.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
