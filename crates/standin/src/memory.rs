//! Memory of a stand-in engine: what it holds, for whom, and for how long.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mimosapass_target::memory::{Allocation, Cancel, Claim, Purpose, Renew};

/// Holder and size of one piece, and when it expires.
#[derive(Clone, Debug)]
struct Piece {
    holder: String,
    used: Purpose,
    tokens: u64,
    until: Instant,
}

/// Everything that one engine holds.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    pieces: BTreeMap<String, Piece>,
}

impl Memory {
    /// Holds `tokens` for a claim unless that would exceed `capacity`.
    ///
    /// It is idempotent: a known identifier keeps its size and is renewed.
    pub fn hold(&mut self, claim: &Claim, used: Purpose, tokens: u64, capacity: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(claim.expiry_ms);
        if let Some(piece) = self.pieces.get_mut(&claim.id) {
            piece.used = used;
            piece.until = until;
            return true;
        }
        if self.used() + tokens > capacity {
            return false;
        }
        let piece = Piece { holder: claim.holder.clone(), used, tokens, until };
        self.pieces.insert(claim.id.clone(), piece);
        true
    }

    /// Gives the memory of one attempt to a later one.
    pub fn pass(&mut self, from: &str, to: &str) {
        if let Some(piece) = self.pieces.remove(from) {
            self.pieces.insert(to.to_owned(), piece);
        }
    }

    /// Renews the pieces of a holder; returns the identifiers not held for it.
    pub fn renew(&mut self, renew: &Renew) -> Vec<String> {
        let until = Instant::now() + Duration::from_millis(renew.expiry_ms);
        let mut unknown = Vec::new();
        for id in &renew.ids {
            match self.pieces.get_mut(id) {
                Some(piece) if piece.holder == renew.holder => piece.until = until,
                _ => unknown.push(id.clone()),
            }
        }
        unknown
    }

    /// Frees pieces, all of them or only those past their expiry.
    pub fn cancel(&mut self, cancel: &Cancel) {
        let now = Instant::now();
        for id in &cancel.ids {
            let due = self.pieces.get(id).is_some_and(|p| !cancel.expired || p.until < now);
            if due {
                self.pieces.remove(id);
            }
        }
    }

    /// Lists all pieces, or only those past their expiry.
    pub fn list(&self, expired: bool) -> Vec<Allocation> {
        let now = Instant::now();
        let listed = |(id, piece): (&String, &Piece)| Allocation {
            id: id.clone(),
            holder: piece.holder.clone(),
            purpose: piece.used,
            tokens: piece.tokens,
            expired_ms: now.saturating_duration_since(piece.until).as_millis() as u64,
        };
        self.pieces.iter().filter(|(_, p)| !expired || p.until < now).map(listed).collect()
    }

    /// Returns the size of a piece, in tokens.
    pub fn size(&self, id: &str) -> Option<u64> {
        self.pieces.get(id).map(|p| p.tokens)
    }

    /// Returns the sizes of all pieces by identifier, in tokens.
    pub fn sizes(&self) -> BTreeMap<String, u64> {
        self.pieces.iter().map(|(id, p)| (id.clone(), p.tokens)).collect()
    }

    /// Returns all tokens held.
    pub fn used(&self) -> u64 {
        self.pieces.values().map(|p| p.tokens).sum()
    }

    /// Returns the number of streams.
    pub fn streams(&self) -> u32 {
        self.pieces.values().filter(|p| p.used == Purpose::Stream).count() as u32
    }
}
