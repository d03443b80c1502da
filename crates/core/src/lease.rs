//! When the holder of a zone's lease may give an order.
//!
//! A holder can be paused at any point and go on as if it still held the
//! lease. So its time counts from before the call that took or renewed the
//! lease, by the monotonic clock, and each order must be over by then. An
//! engine that checks the fencing number needs no more. For one that ignores
//! it, a new holder waits until no order of an old one can be on its way.

use std::time::{Duration, Instant};

/// Time for which the lease lasts without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(6);
/// Time after which the lease is renewed.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time that one order takes.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// What a holder knows of its lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseClock {
    fence: u64,
    asked: Instant,
    first: Instant,
}

impl LeaseClock {
    /// Begins with the lease granted at `granted` by a call made at `asked`.
    pub fn new(fence: u64, asked: Instant, granted: Instant) -> Self {
        Self { fence, asked, first: granted + LEASE_TTL + ORDER_TIMEOUT }
    }

    /// Returns the fencing number, which grows from holder to holder.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Notes a renewal by a call made at `asked`.
    pub fn renewed(&mut self, asked: Instant) {
        self.asked = self.asked.max(asked);
    }

    /// Returns whether the lease should be renewed.
    pub fn needs_renewal(&self, now: Instant) -> bool {
        now >= self.asked + RENEW_INTERVAL
    }

    /// Returns whether the lease may have lapsed.
    pub fn expired(&self, now: Instant) -> bool {
        now >= self.asked + LEASE_TTL
    }

    /// Returns whether an order may be sent at `now`.
    ///
    /// `checks` tells whether the engine checks the fencing number.
    pub fn may_send_order(&self, checks: bool, now: Instant) -> bool {
        let outlasts = now + ORDER_TIMEOUT < self.asked + LEASE_TTL;
        outlasts && (checks || now >= self.first)
    }
}
