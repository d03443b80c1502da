//! Requests sent to another zone when the home zone cannot keep a promise.
//!
//! Each zone states once a second how long its short prompts wait and how much
//! prefill it could take over. This offer limits what other zones send to it.

use std::time::Duration;

use crate::ids::TargetId;

/// Age at which an offer expires.
pub const MAX_OFFER_AGE: Duration = Duration::from_secs(5);
/// Part of the promise that the wait in the other zone may take, as a divisor.
const PROMISE_DIVISOR: u32 = 2;

/// Capacity that one zone offers to the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneOffer {
    /// Estimated time to first token of a prompt of 1,000 tokens.
    pub wait: Duration,
    /// Prompt tokens that one instance of another zone may send until the next offer.
    pub spare: u64,
    /// The least loaded engines, a few for each band of prompt length.
    pub engines: Vec<EngineOffer>,
}

/// One engine that its zone offers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOffer {
    /// The engine.
    pub target: TargetId,
    /// Band of prompt length that the engine serves.
    pub band: usize,
    /// Prompt tokens that the engine has yet to compute.
    pub prefill: u64,
    /// Free KV cache, in tokens.
    pub free: u64,
    /// Prefill speed, in tokens per second.
    pub speed: u64,
}

/// Remainder of another zone's latest offer.
#[derive(Clone, Copy, Debug)]
pub struct OfferBudget {
    wait: Duration,
    spare: u64,
    sent: u64,
}

impl OfferBudget {
    /// Builds the budget of a new offer.
    pub fn new(offer: &ZoneOffer) -> Self {
        Self { wait: offer.wait, spare: offer.spare, sent: 0 }
    }

    /// Returns whether `tokens` may be sent to the zone under this promise.
    pub fn allows(&self, tokens: u64, promise: Duration) -> bool {
        self.wait < promise / PROMISE_DIVISOR && self.sent + tokens <= self.spare
    }

    /// Records tokens that were sent to the zone.
    pub fn consume(&mut self, tokens: u64) {
        self.sent += tokens;
    }
}
