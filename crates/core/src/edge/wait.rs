//! The order in which waiting requests are placed, and when one is refused.
//!
//! Under bursts that exceed what targets can serve on time, requests that can still
//! be on time go first, by their value per unit of work; late requests get the
//! remaining capacity. A request that cannot be served before its caller gives up is
//! refused as soon as that is known.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use crate::edge::load::RequestNumber;
use crate::edge::placement::Placement;
use crate::edge::price::Ask;

/// Least time for which callers wait for an event before they give up.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time reserved for the first event after a request was placed.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(150);
/// Time for which a request waits for a placement that is on time instead of taking
/// a late one: a few passes of an engine.
const LATE_DELAY: Duration = Duration::from_millis(250);
/// Price of a second of an engine under full load, relative to the value of a mean
/// answer: about what prompts of some hundred thousand tokens yield per second.
const ENGINE_SECOND_PRICE: f64 = 25.0;
/// Share of the value that depends on whether the answer is on time.
const ON_TIME_SHARE: f64 = 0.75;
/// Share of the value that a late answer may cost in engine time. The answer is worth
/// twice that, but late requests delay others that would still be on time.
const LATE_SHARE: f64 = 0.12;
/// Most seconds of work that are priced per unit of a request's value: as much as
/// prompts of 300,000 tokens take. Without this bound only the largest prompts would
/// be refused, and their callers never be served.
const MAX_PRICED: f64 = 0.16;
/// Fraction of the allowed time that passes before a request is shed. A refusal at
/// that point is still early for the caller.
const SHED_FRACTION: u32 = 8;
/// Largest ratio of a placement's cost to other requests to its own gain. Their loss
/// is weighted already, and a certain loss counts more than a predicted gain.
const MAX_INTERFERENCE: f64 = 0.65;

/// Least delay before a refused caller may retry, about the time over which the
/// pressure is averaged.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Number of different retry delays over which callers are spread.
const RETRY_SLOTS: u64 = 16;

/// Returns the delay after which a caller refused under pressure may retry.
///
/// Bursts last for seconds; callers that were refused together retry at different times.
pub fn retry_after(id: RequestNumber) -> Duration {
    MIN_RETRY_DELAY + MIN_RETRY_DELAY.mul_f64((id % RETRY_SLOTS) as f64 / RETRY_SLOTS as f64)
}

/// Returns the price of a second of an engine at a pressure of 0 to 1.
pub fn pressure_price(pressure: f64) -> f64 {
    pressure * pressure * ENGINE_SECOND_PRICE
}

/// Returns how long a caller of a stream waits for an event.
pub fn caller_timeout(goal: Duration, gap: Duration) -> Duration {
    MIN_CALLER_TIMEOUT.max(goal * 4).max(gap * 8)
}

/// A request that waits to be placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueEntry {
    /// Arrival of the request.
    pub arrived: Instant,
    /// Latest time at which its first event is on time.
    pub due: Instant,
    /// When its caller stops waiting or its time limit is reached.
    pub expires: Instant,
    /// Value of an answer on time.
    pub value: f64,
    /// Time that one target needs to process the prompt.
    pub work: Duration,
    /// Least time that several targets need for it together.
    pub min_work: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Sort key of waiting requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// Whether the first event would be late on any single target.
    late: bool,
    /// Priority; 0 is the most urgent.
    priority: u8,
    /// Value per second of work.
    density: f64,
}

impl Rank {
    /// Compares two ranks; the lesser one is placed first.
    pub fn order(&self, other: &Self) -> Ordering {
        let urgency = self.late.cmp(&other.late).then(self.priority.cmp(&other.priority));
        urgency.then(other.density.total_cmp(&self.density))
    }
}

impl QueueEntry {
    /// Returns the rank by which waiting requests are sorted.
    pub fn rank(&self, now: Instant) -> Rank {
        let late = now + self.work > self.due;
        let density = self.value / self.work.as_secs_f64().max(0.001);
        Rank { late, priority: self.priority, density }
    }

    /// Returns whether this request is placed before `other`.
    pub fn precedes(&self, other: &Self, now: Instant) -> bool {
        self.rank(now).order(&other.rank(now)).is_lt()
    }

    /// Returns whether a placement is good enough to take now.
    ///
    /// A placement that is on time is taken at once, a late one only after a short
    /// wait, in which a better one may become available. `price` is what a second of an engine
    /// brings elsewhere.
    pub fn accepts(&self, placement: &Placement, price: f64, now: Instant) -> bool {
        let on_time = now + placement.first_event <= self.due;
        let gain = self.value * if on_time { ON_TIME_SHARE } else { LATE_SHARE };
        let ready =
            on_time || now > self.due || now >= self.arrived + LATE_DELAY && !self.can_split(now);
        let useful = now + placement.first_event < self.expires;
        useful
            && ready
            && self.cost(price) <= gain
            && placement.interference <= gain * MAX_INTERFERENCE
    }

    /// Returns whether several targets together may still be on time.
    fn can_split(&self, now: Instant) -> bool {
        self.min_work < self.work && now + self.min_work < self.due
    }

    /// Returns the value that other requests lose to the work of this one.
    ///
    /// `price` is what a second of an engine brings elsewhere.
    fn cost(&self, price: f64) -> f64 {
        self.priced_work() * price
    }

    /// Returns the seconds of work that are priced.
    fn priced_work(&self) -> f64 {
        self.work.as_secs_f64().min(self.value * MAX_PRICED)
    }

    /// Returns the engine time that it asks for, and what it brings.
    pub fn ask(&self) -> Ask {
        let density = self.value * ON_TIME_SHARE / self.priced_work().max(0.001);
        Ask { work: self.work, density }
    }

    /// Returns whether the request is worth its price under the best placement.
    pub fn is_worthwhile(&self, price: f64, now: Instant) -> bool {
        let share = if now > self.due { LATE_SHARE } else { ON_TIME_SHARE };
        self.cost(price) <= self.value * share
    }

    /// Returns whether the request is refused because it is not worth its price.
    ///
    /// It waits for a fraction of its allowed time first, in which the price may fall.
    pub fn should_shed(&self, price: f64, now: Instant) -> bool {
        let grace = self.due.saturating_duration_since(self.arrived) / SHED_FRACTION;
        now >= self.arrived + grace && !self.is_worthwhile(price, now)
    }

    /// Returns whether the request can no longer be served before its caller gives up.
    pub fn has_expired(&self, now: Instant) -> bool {
        self.latest_start().is_none_or(|latest| now >= latest)
    }

    /// Returns until when it has to be placed to be served before its caller gives up.
    pub fn latest_start(&self) -> Option<Instant> {
        self.expires.checked_sub(self.min_work + FIRST_EVENT_MARGIN)
    }
}
