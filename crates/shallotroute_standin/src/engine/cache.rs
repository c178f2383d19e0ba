//! A cache of prompt prefixes in blocks, of which the least recently used ones are evicted.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Prompt tokens in one block.
const BLOCK_TOKENS: u32 = 16;

/// Bytes of text that count as one prompt token.
const TOKEN_BYTES: usize = 4;

/// The blocks in the cache.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    tick: u64,
    used: HashMap<u64, u64>,
    oldest: BTreeMap<u64, u64>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            tick: 0,
            used: HashMap::new(),
            oldest: BTreeMap::new(),
        }
    }

    /// Returns how many leading prompt tokens were cached and caches the whole blocks of the prompt.
    pub(super) fn take(&mut self, model: &str, prompt: &str) -> u32 {
        let mut hasher = DefaultHasher::new();
        model.hash(&mut hasher);
        let mut cached = 0;
        let mut hit = true;
        let size = BLOCK_TOKENS as usize * TOKEN_BYTES;
        for block in prompt.as_bytes().chunks_exact(size) {
            block.hash(&mut hasher);
            hit &= self.touch(hasher.finish());
            cached += if hit { BLOCK_TOKENS } else { 0 };
        }
        cached
    }

    fn touch(&mut self, block: u64) -> bool {
        self.tick += 1;
        let known = self.used.insert(block, self.tick);
        if let Some(before) = known {
            self.oldest.remove(&before);
        }
        self.oldest.insert(self.tick, block);
        if self.used.len() > self.capacity
            && let Some((_, evicted)) = self.oldest.pop_first()
        {
            self.used.remove(&evicted);
        }
        known.is_some()
    }
}

/// Returns the number of tokens of a prompt.
pub(super) fn tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}
