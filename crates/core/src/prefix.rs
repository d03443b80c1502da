//! Which engine may have a prompt's prefix cached.
//!
//! Cache events come late and with gaps, and entries are evicted without a
//! word. So an entry is a hint that earns a credit, never a fact.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::TargetId;

/// First bytes of a prompt that make its key, in bytes.
pub const KEY_BYTES: usize = 1024;
/// Entries in one generation; two generations are kept.
const MOST: usize = 8192;
/// Time after which a hint is worth nothing.
const STALE: Duration = Duration::from_mins(5);
/// Part of the hinted tokens that is believed of a fresh hint.
const TRUST: f64 = 0.7;

/// A hint that a target has a prefix cached.
#[derive(Clone, Debug)]
pub struct CacheHint {
    /// The target.
    pub target: TargetId,
    /// Tokens that may be cached.
    pub tokens: u64,
    /// When it was heard.
    pub received_at: Instant,
}

impl CacheHint {
    /// Returns the tokens of a prompt of `tokens` that need no prefill.
    pub fn credit(&self, tokens: u64, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.received_at).as_secs_f64();
        let fresh = (1.0 - age / STALE.as_secs_f64()).max(0.0);
        (self.tokens.min(tokens) as f64 * TRUST * fresh) as u64
    }
}

/// Bounded memory of hints: the newest for each prefix.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    young: HashMap<u64, CacheHint>,
    old: HashMap<u64, CacheHint>,
}

impl CacheHints {
    /// Notes a hint; the oldest generation is forgotten when full.
    pub fn insert(&mut self, prefix: u64, hint: CacheHint) {
        if prefix == 0 {
            return;
        }
        if self.young.len() >= MOST {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(prefix, hint);
    }

    /// Returns the newest hint for a prefix.
    pub fn get(&self, prefix: u64) -> Option<&CacheHint> {
        if prefix == 0 {
            return None;
        }
        self.young.get(&prefix).or_else(|| self.old.get(&prefix))
    }
}

/// Returns the key of a prompt of one workspace by its first bytes.
pub fn key(workspace: &str, prompt: &[u8]) -> u64 {
    let first = &prompt[..prompt.len().min(KEY_BYTES)];
    xxh3_64_with_seed(first, xxh3_64_with_seed(workspace.as_bytes(), 0)).max(1)
}
