//! Which server's prefix cache most likely holds the start of a prompt.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use shallotroute_types::name::Name;

/// The age from which a cached prefix counts as evicted. Engines drop prefixes that were not used for
/// some minutes when memory is short.
const MAX_AGE: Duration = Duration::from_secs(120);

/// The most prefixes that are remembered for a pool.
const MAX_PREFIXES: usize = 8_192;

/// An estimate of what the prefix caches of a pool hold.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    prefixes: HashMap<u64, Holder>,
}

#[derive(Clone, Debug)]
struct Holder {
    server: Name,
    at: Instant,
}

impl Estimate {
    /// Returns the server that had a prompt with this prefix last.
    pub fn holder(&self, prefix: u64, now: Instant) -> Option<&Name> {
        let holder = self.prefixes.get(&prefix)?;
        is_fresh(holder, now).then_some(&holder.server)
    }

    /// Corrects the estimate by a response: `cached` prompt tokens came from the cache of `server`.
    pub fn learn(&mut self, prefix: u64, server: &Name, cached: Option<u64>, now: Instant) {
        let expected = self.holder(prefix, now) == Some(server);
        if expected && cached == Some(0) {
            self.prefixes.remove(&prefix);
            return;
        }
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.retain(|_, holder| is_fresh(holder, now));
        }
        // With too many fresh prefixes the new ones are left to rendezvous hashing.
        if self.prefixes.len() < MAX_PREFIXES || self.prefixes.contains_key(&prefix) {
            let server = server.clone();
            self.prefixes.insert(prefix, Holder { server, at: now });
        }
    }
}

fn is_fresh(holder: &Holder, now: Instant) -> bool {
    now.saturating_duration_since(holder.at) < MAX_AGE
}
