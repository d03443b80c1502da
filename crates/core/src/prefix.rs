//! Hints which engine may have the prefix of a prompt cached.
//!
//! Cache events arrive late and with gaps, and evictions are not reported. So a
//! hint only lowers the estimated wait at its engine; it is never certain.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::TargetId;

/// Length of the start of a prompt that is hashed to its key.
pub const KEY_BYTES: usize = 1024;
/// Entries in each of the two generations.
const MAX_ENTRIES: usize = 8192;
/// Age at which a hint gives no credit.
const MAX_HINT_AGE: Duration = Duration::from_mins(5);
/// Share of the hinted tokens that a fresh hint credits.
const FRESH_CREDIT: f64 = 0.7;

/// A hint that a target has a prefix cached.
#[derive(Clone, Debug)]
pub struct CacheHint {
    /// The target.
    pub target: TargetId,
    /// Tokens that may be cached.
    pub tokens: u64,
    /// When the hint was received.
    pub received_at: Instant,
}

impl CacheHint {
    /// Returns how many of the `tokens` of a prompt are assumed to be cached.
    pub fn credit(&self, tokens: u64, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.received_at).as_secs_f64();
        let freshness = (1.0 - age / MAX_HINT_AGE.as_secs_f64()).max(0.0);
        (self.tokens.min(tokens) as f64 * FRESH_CREDIT * freshness) as u64
    }
}

/// Bounded map of the newest hint for each prefix.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    new: HashMap<u64, CacheHint>,
    old: HashMap<u64, CacheHint>,
}

impl CacheHints {
    /// Inserts a hint; drops the older generation when the newer one is full.
    pub fn insert(&mut self, prefix: u64, hint: CacheHint) {
        if prefix == 0 {
            return;
        }
        if self.new.len() >= MAX_ENTRIES {
            self.old = std::mem::take(&mut self.new);
        }
        self.new.insert(prefix, hint);
    }

    /// Returns the newest hint for a prefix.
    pub fn get(&self, prefix: u64) -> Option<&CacheHint> {
        if prefix == 0 {
            return None;
        }
        self.new.get(&prefix).or_else(|| self.old.get(&prefix))
    }
}

/// Returns the key of a workspace's prompt, hashed from its first bytes.
pub fn key(workspace: &str, prompt: &[u8]) -> u64 {
    let first = &prompt[..prompt.len().min(KEY_BYTES)];
    xxh3_64_with_seed(first, xxh3_64_with_seed(workspace.as_bytes(), 0)).max(1)
}
