//! Memory of a stand-in engine: allocations with holder and expiry.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mimosapass_target::memory::{Allocation, Cancel, Claim, Purpose, Renew};

/// One allocation.
#[derive(Clone, Debug)]
struct Held {
    holder: String,
    purpose: Purpose,
    tokens: u64,
    expires_at: Instant,
}

/// All allocations of one engine.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    allocations: BTreeMap<String, Held>,
}

impl Memory {
    /// Allocates `tokens` for a claim unless that would exceed `capacity`.
    ///
    /// The call is idempotent: a known identifier keeps its size and is renewed.
    pub fn allocate(
        &mut self,
        claim: &Claim,
        purpose: Purpose,
        tokens: u64,
        capacity: u64,
    ) -> bool {
        let expires_at = Instant::now() + Duration::from_millis(claim.expiry_ms);
        if let Some(held) = self.allocations.get_mut(&claim.id) {
            held.purpose = purpose;
            held.expires_at = expires_at;
            return true;
        }
        if self.used_tokens() + tokens > capacity {
            return false;
        }
        let held = Held { holder: claim.holder.clone(), purpose, tokens, expires_at };
        self.allocations.insert(claim.id.clone(), held);
        true
    }

    /// Transfers the allocation of one attempt to a later one.
    pub fn transfer(&mut self, from: &str, to: &str) {
        if let Some(held) = self.allocations.remove(from) {
            self.allocations.insert(to.to_owned(), held);
        }
    }

    /// Renews allocations of a holder; returns the identifiers it does not hold.
    pub fn renew(&mut self, renew: &Renew) -> Vec<String> {
        let expires_at = Instant::now() + Duration::from_millis(renew.expiry_ms);
        let mut unknown = Vec::new();
        for id in &renew.ids {
            match self.allocations.get_mut(id) {
                Some(held) if held.holder == renew.holder => held.expires_at = expires_at,
                _ => unknown.push(id.clone()),
            }
        }
        unknown
    }

    /// Frees the named allocations, or only the expired ones among them.
    pub fn cancel(&mut self, cancel: &Cancel) {
        let now = Instant::now();
        for id in &cancel.ids {
            let dropped =
                self.allocations.get(id).is_some_and(|p| !cancel.expired || p.expires_at < now);
            if dropped {
                self.allocations.remove(id);
            }
        }
    }

    /// Lists all allocations, or only the expired ones.
    pub fn list(&self, expired: bool) -> Vec<Allocation> {
        let now = Instant::now();
        let listed = |(id, held): (&String, &Held)| Allocation {
            id: id.clone(),
            holder: held.holder.clone(),
            purpose: held.purpose,
            tokens: held.tokens,
            expired_ms: now.saturating_duration_since(held.expires_at).as_millis() as u64,
        };
        self.allocations
            .iter()
            .filter(|(_, p)| !expired || p.expires_at < now)
            .map(listed)
            .collect()
    }

    /// Returns the size of an allocation, in tokens.
    pub fn size(&self, id: &str) -> Option<u64> {
        self.allocations.get(id).map(|p| p.tokens)
    }

    /// Returns the sizes of all allocations by identifier, in tokens.
    pub fn sizes(&self) -> BTreeMap<String, u64> {
        self.allocations.iter().map(|(id, p)| (id.clone(), p.tokens)).collect()
    }

    /// Returns the sum of all allocations.
    pub fn used_tokens(&self) -> u64 {
        self.allocations.values().map(|p| p.tokens).sum()
    }

    /// Returns the number of allocations for streams.
    pub fn stream_count(&self) -> u32 {
        self.allocations.values().filter(|p| p.purpose == Purpose::Stream).count() as u32
    }
}
