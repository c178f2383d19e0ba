//! Estimates which server of a pool holds the start of a prompt in its prefix cache.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use shallotroute_types::name::Name;

/// The age from which a cached prefix counts as evicted. Engines evict prefixes that were not used for
/// some minutes when memory is short.
const MAX_AGE: Duration = Duration::from_secs(120);

/// The maximum number of prefixes that are tracked per pool.
const MAX_PREFIXES: usize = 8_192;

/// An estimate of the content of a pool's prefix caches.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    prefixes: HashMap<u64, Holder>,
}

/// The server that had a prompt with the prefix last.
#[derive(Clone, Debug)]
struct Holder {
    server: Name,
    last_used: Instant,
}

impl Estimate {
    /// Returns the server that most likely has `prefix`, the hash of a prompt's start, in its cache;
    /// `None` when the prefix is unknown or counts as evicted.
    pub fn holder(&self, prefix: u64, now: Instant) -> Option<&Name> {
        let holder = self.prefixes.get(&prefix)?;
        is_fresh(holder, now).then_some(&holder.server)
    }

    /// Corrects the estimate by a response of `server`. `cached` is the number of prompt tokens that came
    /// from its prefix cache, if the engine reported it.
    pub fn record(&mut self, prefix: u64, server: &Name, cached: Option<u64>, now: Instant) {
        let is_expected = self.holder(prefix, now) == Some(server);
        if is_expected && cached == Some(0) {
            self.prefixes.remove(&prefix);
            return;
        }
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.retain(|_, holder| is_fresh(holder, now));
        }
        // When the map is full of fresh prefixes, new ones are left to rendezvous hashing.
        if self.prefixes.len() < MAX_PREFIXES || self.prefixes.contains_key(&prefix) {
            let server = server.clone();
            self.prefixes.insert(
                prefix,
                Holder {
                    server,
                    last_used: now,
                },
            );
        }
    }
}

fn is_fresh(holder: &Holder, now: Instant) -> bool {
    now.saturating_duration_since(holder.last_used) < MAX_AGE
}
