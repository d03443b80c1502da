//! Work that another zone takes over when the home zone cannot keep a promise.
//!
//! Each zone says once a second how long its short work waits and how much
//! prefill it could take in. That word bounds what other zones send.

use std::time::Duration;

use crate::ids::TargetId;

/// Age at which a summary counts no more.
pub const STALE: Duration = Duration::from_secs(5);
/// Part of the promise that the other zone's own wait may take.
const ROOM: u32 = 2;

/// What one zone says of itself to the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneOffer {
    /// Estimated time to first token of a prompt of 1,000 tokens.
    pub wait: Duration,
    /// Prompt tokens that one instance of another zone may send until the next summary.
    pub spare: u64,
    /// The engines with most room, a few for each band of length.
    pub engines: Vec<EngineOffer>,
}

/// Room on one engine, as its zone offers it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOffer {
    /// The engine.
    pub target: TargetId,
    /// Band of prompt length that it serves.
    pub band: usize,
    /// Prompt tokens that it has still to compute.
    pub prefill: u64,
    /// Free KV cache, in tokens.
    pub free: u64,
    /// Prefill speed, in tokens a second.
    pub speed: u64,
}

/// What is left of another zone's latest word.
#[derive(Clone, Copy, Debug)]
pub struct OfferBudget {
    wait: Duration,
    spare: u64,
    sent: u64,
}

impl OfferBudget {
    /// Builds the offer that a summary makes.
    pub fn new(summary: &ZoneOffer) -> Self {
        Self { wait: summary.wait, spare: summary.spare, sent: 0 }
    }

    /// Returns whether the zone may be sent `tokens` under this promise.
    pub fn allows(&self, tokens: u64, promise: Duration) -> bool {
        self.wait < promise / ROOM && self.sent + tokens <= self.spare
    }

    /// Notes tokens that were sent there.
    pub fn consume(&mut self, tokens: u64) {
        self.sent += tokens;
    }
}
