//! How many retries an instance may send.
//!
//! All instances together may retry, in any window, a share of the requests of that window or of
//! the one before it, plus a fixed number. Without a bound, retries would multiply the load in
//! bursts of failures. No instance knows what the others send, so each keeps to a part such that
//! the parts never add up to more:
//!
//! - Retries since any moment are set against the own requests of the window **before** that
//!   moment. Both sides add up over the instances, however uneven their load is.
//! - The fixed number is divided as [`crate::edge::retry_share`] states.
//! - Both parts are rounded down together.
//! - A retry that is reserved counts at every moment until it is sent, since it may wait for a
//!   target for long; once sent, it may arrive up to a tenth of the window later.
//! - A process that has just started does not know what the one before it has sent. Its ledger
//!   knows no requests, which allows no retry within the first window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Slots of a window; times are known by slot.
const WINDOW_SLOTS: u32 = 40;
/// Slots that may pass between a send and the arrival, a tenth of the window.
const DELAY_SLOTS: u32 = 4;
/// Slots in which a send may arrive in the same window as one of this moment.
const SENT_SLOTS: usize = (WINDOW_SLOTS + DELAY_SLOTS) as usize + 1;
/// Whole slots of requests that count for the retries since a moment.
const REQUEST_SLOTS: usize = (WINDOW_SLOTS - DELAY_SLOTS) as usize - 1;
/// Slots that are kept.
const KEPT_SLOTS: usize = SENT_SLOTS + REQUEST_SLOTS;
/// Shortest window within which requests are set against retries. In a shorter one, what was
/// sent apart may arrive together.
const MIN_WINDOW: Duration = Duration::from_secs(1);

/// Limits on retries, as configured by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all instances in a window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl RetryLimits {
    /// Returns limits that can be kept to, and within which these ones hold.
    ///
    /// With a window of less than a second, also of none at all, the fixed number bounds the
    /// retries within a second, and requests allow none.
    #[must_use]
    pub fn enforceable(self) -> Self {
        if self.window >= MIN_WINDOW {
            return self;
        }
        Self { ratio: 0.0, window: MIN_WINDOW, ..self }
    }

    /// Returns the time for which a retry counts after it was sent.
    pub fn retention(&self) -> Duration {
        self.window * (WINDOW_SLOTS + DELAY_SLOTS + 1) / WINDOW_SLOTS
    }
}

/// What an instance has used of the limits at one service, since the moment that leaves least.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests of callers that count.
    pub requests: u64,
    /// Retries that count, with reserved ones.
    pub retries: u64,
    /// Retries that this instance may send.
    pub limit: u64,
}

impl Usage {
    fn left(&self) -> i64 {
        self.limit as i64 - self.retries as i64
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    requests: u32,
    retries: u32,
}

/// Recent requests and retries of one instance at one service.
#[derive(Clone, Debug)]
pub struct RetryLedger {
    limits: RetryLimits,
    /// Begin of the first slot.
    begin: Instant,
    /// Number of the newest slot.
    number: u32,
    /// The last slots, newest first.
    slots: VecDeque<Slot>,
    /// Retries that are allowed and not sent yet.
    reserved: u32,
    /// Until when nothing may be sent, since the window has changed.
    paused_until: Option<Instant>,
}

impl RetryLedger {
    /// Creates an empty ledger.
    pub fn new(limits: RetryLimits, begin: Instant) -> Self {
        let slots = VecDeque::from([Slot::default(); KEPT_SLOTS]);
        Self { limits, begin, number: 0, slots, reserved: 0, paused_until: None }
    }

    /// Puts other limits in force; what was sent still counts.
    ///
    /// Sends are known by slots of the former window, so that another window begins with a time in
    /// which nothing may be sent: until what was sent counts no longer under either limits.
    pub fn set_limits(&mut self, limits: RetryLimits, now: Instant) {
        if limits.window != self.limits.window {
            let pause = limits.retention().max(self.limits.retention());
            let reserved = self.reserved;
            *self = Self { reserved, paused_until: Some(now + pause), ..Self::new(limits, now) };
        }
        self.limits = limits;
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.slots[0].requests += 1;
    }

    /// Reserves a retry for an instance that may use `share` of the fixed number; returns whether
    /// the limits allow it.
    pub fn reserve(&mut self, share: f64, now: Instant) -> bool {
        let allowed = self.usage(share, now).left() > 0;
        self.reserved += u32::from(allowed);
        allowed
    }

    /// Records that a reserved retry is sent.
    pub fn send(&mut self, now: Instant) {
        self.advance(now);
        self.release();
        self.slots[0].retries += 1;
    }

    /// Releases a reserved retry, which is not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns what is used of the limits.
    pub fn usage(&mut self, share: f64, now: Instant) -> Usage {
        self.advance(now);
        let counts = |from: usize| self.slots.range(from..from + REQUEST_SLOTS);
        let mut requests: u64 = counts(0).map(|slot| u64::from(slot.requests)).sum();
        let mut retries = u64::from(self.reserved);
        let paused = self.paused_until.is_some_and(|until| now < until);
        let mut least: Option<Usage> = None;
        for index in 0..SENT_SLOTS {
            retries += u64::from(self.slots[index].retries);
            requests += u64::from(self.slots[index + REQUEST_SLOTS].requests);
            requests -= u64::from(self.slots[index].requests);
            // More than that many are never sent.
            let limit = (share + self.limits.ratio * requests as f64).min(f64::from(u32::MAX));
            let limit = if paused { 0 } else { limit as u64 };
            let usage = Usage { requests, retries, limit };
            if least.is_none_or(|least| usage.left() < least.left()) {
                least = Some(usage);
            }
        }
        least.unwrap_or_default()
    }

    /// Begins the slots up to `now`.
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.begin).as_nanos();
        let length = (self.limits.window / WINDOW_SLOTS).as_nanos().max(1);
        let number = u32::try_from(passed / length).unwrap_or(u32::MAX).max(self.number);
        for _ in 0..(number - self.number).min(KEPT_SLOTS as u32) {
            self.slots.pop_back();
            self.slots.push_front(Slot::default());
        }
        self.number = number;
    }
}
