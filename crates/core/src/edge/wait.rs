//! The order in which waiting requests get a place, and when one is refused.
//!
//! Answers bursts in which more comes than targets can serve on time. What can
//! still keep its promise goes first, by its worth for each millisecond that it
//! takes; what is late already fills what is left. A request that cannot be
//! served before its caller gives up is refused as soon as that is known.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use crate::edge::load::RequestNumber;
use crate::edge::place::Placement;

/// Least time for which callers wait for an event before they give up.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// Time that is left for a first event once a place was found.
const LAST_PLACE: Duration = Duration::from_millis(150);
/// Time for which a request waits for a place that keeps its promise, when there
/// is one that does not: a few passes of an engine.
const HOLD: Duration = Duration::from_millis(250);
/// Worth of a second of an engine under full load, against that of a mean answer:
/// about what prompts of some hundred thousand tokens bring for it.
const ENGINE_SECOND: f64 = 25.0;
/// Share of the worth that depends on whether the answer is on time.
const GAIN: f64 = 0.75;
/// Share of the worth for which a late answer is worth an engine's time. It has
/// twice that; what is late holds up others that would still be on time.
const LATE_SHARE: f64 = 0.12;
/// Most seconds of a prompt's work that are priced for each unit of its worth: as
/// much as prompts of 300,000 tokens take. Without this bound only the largest
/// prompts would be refused, and their callers never be served.
const MOST_PRICED: f64 = 0.16;
/// Part of the promise after which a refusal would no longer be early.
const EARLY: u32 = 8;
/// Part of what a place brings that it may cost others. Their loss is weighted
/// already, and what is lost for sure counts more than a prediction.
const BEARABLE: f64 = 0.65;

/// Least time after which a caller that was refused may come back, about the time
/// over which pressure is taken.
const COME_BACK: Duration = Duration::from_secs(2);
/// Steps over which returning callers are spread.
const SPREAD: u64 = 16;

/// Returns when a caller may come back to engines that have work of more worth.
///
/// Bursts last for seconds; callers that were refused together come back apart.
pub fn retry_after(id: RequestNumber) -> Duration {
    COME_BACK + COME_BACK.mul_f64((id % SPREAD) as f64 / SPREAD as f64)
}

/// Returns how long a caller of a stream waits for its first event.
pub fn caller_timeout(goal: Duration, gap: Duration) -> Duration {
    LEAST_PATIENCE.max(goal * 4).max(gap * 8)
}

/// A request that waits for a place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueEntry {
    /// When the request came.
    pub arrived: Instant,
    /// Until when its first event is on time.
    pub due: Instant,
    /// When its caller stops waiting, or its time is over.
    pub expires: Instant,
    /// What an answer on time is worth.
    pub value: f64,
    /// Time that it takes of its target.
    pub work: Duration,
    /// Least time in which targets can take it together.
    pub min_work: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
}

/// What decides which of two waiting requests goes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// Whether its first event is late already.
    late: bool,
    /// Rank; 0 is the most urgent.
    priority: u8,
    /// Worth for each second that it takes.
    density: f64,
}

impl Rank {
    /// Compares two ranks; the lesser one goes first.
    pub fn order(&self, other: &Self) -> Ordering {
        let urgency = self.late.cmp(&other.late).then(self.priority.cmp(&other.priority));
        urgency.then(other.density.total_cmp(&self.density))
    }
}

impl QueueEntry {
    /// Returns the rank by which waiting requests are sorted; less goes first.
    pub fn rank(&self, now: Instant) -> Rank {
        let late = now + self.work > self.due;
        let density = self.value / self.work.as_secs_f64().max(0.001);
        Rank { late, priority: self.priority, density }
    }

    /// Returns whether this request goes before `other`.
    pub fn precedes(&self, other: &Self, now: Instant) -> bool {
        self.rank(now).order(&other.rank(now)).is_lt()
    }

    /// Returns whether a place is good enough to take now.
    ///
    /// A place that keeps the promise is taken at once. One that does not is
    /// taken after a short wait, in which a better one may get free.
    pub fn accepts(&self, place: &Placement, pressure: f64, now: Instant) -> bool {
        let on_time = now + place.first_event <= self.due;
        let gain = self.value * if on_time { GAIN } else { LATE_SHARE };
        let held = on_time || now > self.due || now >= self.arrived + HOLD && !self.hope(now);
        let useful = now + place.first_event < self.expires;
        useful && held && self.price(pressure) <= gain && place.interference <= gain * BEARABLE
    }

    /// Returns whether several targets together may still keep the promise.
    fn hope(&self, now: Instant) -> bool {
        self.min_work < self.work && now + self.min_work < self.due
    }

    /// Returns the worth that others lack for the time that this request takes.
    ///
    /// `pressure` is the share of engines with a backlog, 0 to 1.
    fn price(&self, pressure: f64) -> f64 {
        let work = self.work.as_secs_f64().min(self.value * MOST_PRICED);
        pressure * pressure * work * ENGINE_SECOND
    }

    /// Returns whether the request is worth its price, if its place is as good as it
    /// can be.
    pub fn is_worthwhile(&self, pressure: f64, now: Instant) -> bool {
        let share = if now > self.due { LATE_SHARE } else { GAIN };
        self.price(pressure) <= self.value * share
    }

    /// Returns whether the request is to be refused, since it has not paid for a while.
    pub fn should_shed(&self, pressure: f64, now: Instant) -> bool {
        let asked = self.due.saturating_duration_since(self.arrived) / EARLY;
        now >= self.arrived + asked && !self.is_worthwhile(pressure, now)
    }

    /// Returns whether the request has to be refused.
    pub fn has_expired(&self, now: Instant) -> bool {
        now + self.min_work + LAST_PLACE >= self.expires
    }
}
