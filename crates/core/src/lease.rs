//! Decides when the holder of a zone's lease may send an order.
//!
//! A holder can be paused at any point and continue as if it still held the
//! lease. Its lease is therefore counted by the monotonic clock from before the
//! call that acquired or renewed it, and each order must be complete before it
//! expires. That is sufficient for engines that check the fencing token. For
//! engines that ignore it, a new holder waits until no order of a former holder
//! can be in flight.

use std::time::{Duration, Instant};

/// Time after which the lease expires unless renewed.
pub const LEASE_TTL: Duration = Duration::from_secs(6);
/// Time after which the lease is renewed.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit of one order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Validity of a lease as its holder knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseClock {
    fence: u64,
    requested: Instant,
    /// Time from which engines that ignore the fencing token may get orders.
    unfenced_from: Instant,
}

impl LeaseClock {
    /// Starts with a lease granted at `granted` by a call made at `requested`.
    pub fn new(fence: u64, requested: Instant, granted: Instant) -> Self {
        Self { fence, requested, unfenced_from: granted + LEASE_TTL + ORDER_TIMEOUT }
    }

    /// Returns the fencing token, which is higher for each new holder.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Records a renewal by a call made at `requested`.
    pub fn renewed(&mut self, requested: Instant) {
        self.requested = self.requested.max(requested);
    }

    /// Returns whether the lease should be renewed.
    pub fn needs_renewal(&self, now: Instant) -> bool {
        now >= self.requested + RENEW_INTERVAL
    }

    /// Returns whether the lease may have expired.
    pub fn expired(&self, now: Instant) -> bool {
        now >= self.requested + LEASE_TTL
    }

    /// Returns whether an order may be sent at `now`.
    ///
    /// `fenced` states whether the engine checks the fencing token.
    pub fn may_send_order(&self, fenced: bool, now: Instant) -> bool {
        let completes = now + ORDER_TIMEOUT < self.requested + LEASE_TTL;
        completes && (fenced || now >= self.unfenced_from)
    }
}
