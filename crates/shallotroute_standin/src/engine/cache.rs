//! A cache of prompt prefixes in blocks, which evicts the least recently used block.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

/// The number of prompt tokens in one block.
const BLOCK_TOKENS: u32 = 16;

/// The number of bytes of text that count as one prompt token.
const TOKEN_BYTES: usize = 4;

/// The cached blocks, identified by a hash of the model and the prompt up to the end of the block.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    /// The number of uses so far, which serves as the time of a use.
    clock: u64,
    /// The time of the last use of each block.
    last_uses: HashMap<u64, u64>,
    /// The blocks by the time of their last use.
    blocks_by_use: BTreeMap<u64, u64>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_uses: HashMap::new(),
            blocks_by_use: BTreeMap::new(),
        }
    }

    /// Caches the full blocks of a prompt and returns the number of its leading tokens that were
    /// already cached.
    pub(super) fn insert_prompt(&mut self, model: &str, prompt: &str) -> u32 {
        let mut hasher = DefaultHasher::new();
        model.hash(&mut hasher);
        let mut cached = 0;
        let mut is_hit = true;
        let block_bytes = BLOCK_TOKENS as usize * TOKEN_BYTES;
        for block in prompt.as_bytes().chunks_exact(block_bytes) {
            block.hash(&mut hasher);
            is_hit &= self.touch(hasher.finish());
            cached += if is_hit { BLOCK_TOKENS } else { 0 };
        }
        cached
    }

    /// Marks a block as used now, evicts a block if the cache is full, and returns whether the
    /// block was cached.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let previous_use = self.last_uses.insert(block, self.clock);
        if let Some(previous_use) = previous_use {
            self.blocks_by_use.remove(&previous_use);
        }
        self.blocks_by_use.insert(self.clock, block);
        if self.last_uses.len() > self.capacity
            && let Some((_, evicted)) = self.blocks_by_use.pop_first()
        {
            self.last_uses.remove(&evicted);
        }
        previous_use.is_some()
    }
}

/// Returns the number of tokens of a prompt.
pub(super) fn count_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}
