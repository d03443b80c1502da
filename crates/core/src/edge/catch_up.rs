//! When an instance asks its peers for what the store has not told it.
//!
//! Answers the pattern of a whole fleet that starts at once: each instance lists the store, and
//! copies of the same list between instances, asked for again while they are under way, would
//! fill the links of small machines for many times as long as the listings take. It is the same
//! with a large configuration: copies from several peers at once share the link of the instance
//! that asks, and the more of them there are, the later the first one is complete.
//!
//! Answers also the pattern of peers that do not answer, for whatever reason: an instance that
//! stays behind follows the store itself until it has caught up. Changes in quick succession
//! are no sign of that, although a peer has newer data all the while.

use std::time::{Duration, Instant};

use crate::edge::position::Position;

/// Silence of the store after which peers are asked for what they know. A healthy store
/// answers a watch within 1.7 seconds of the one before.
pub const STORE_SILENCE: Duration = Duration::from_millis(1_900);
/// Time after which changes are asked for again.
pub const CHANGES_TIME: Duration = Duration::from_millis(600);
/// Time after which all targets are asked for again; there may be thousands.
pub const LIST_TIME: Duration = Duration::from_secs(2);

/// Time for which an instance may lack something that a peer has before it watches the store
/// itself. By then one request to a peer went unanswered.
pub const MAX_BEHIND: Duration = Duration::from_millis(500);

/// How far an instance knows the data of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Known {
    /// Version of the configuration.
    pub config: u64,
    /// Position of the latest change of targets.
    pub targets: Position,
    /// Position of the latest order to evacuate a zone, or to take it back.
    pub evacuations: Position,
}

impl Known {
    /// Returns whether `other` has anything newer.
    pub fn lacks(&self, other: &Self) -> bool {
        other.config > self.config
            || other.targets > self.targets
            || other.evacuations > self.evacuations
    }

    /// Returns the newest of both.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            config: self.config.max(other.config),
            targets: self.targets.max(other.targets),
            evacuations: self.evacuations.max(other.evacuations),
        }
    }
}

/// Since when an instance lacks data that a peer has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// What it lacked, and since when.
    missing: Option<(Known, Instant)>,
}

impl Lag {
    /// Records what this instance knows and what its peers know together.
    pub fn update(&mut self, own: Known, peers: Known, now: Instant) {
        self.missing = self.missing.filter(|(missing, _)| own.lacks(missing));
        if self.missing.is_none() && own.lacks(&peers) {
            self.missing = Some((peers, now));
        }
    }

    /// Returns since when the instance lacks something that it has not got yet.
    pub fn since(&self) -> Option<Instant> {
        self.missing.map(|(_, since)| since)
    }

    /// Returns whether it is to watch the store itself.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.since().is_some_and(|since| now >= since + MAX_BEHIND)
    }
}

/// Returns whether the store tells this instance nothing at the moment.
///
/// `failing` is whether its last call failed, `last_answer` the time since it last answered,
/// `None` if it never did, and `uptime` the time since the start of the process.
pub fn is_store_silent(failing: bool, last_answer: Option<Duration>, uptime: Duration) -> bool {
    failing || last_answer.unwrap_or(uptime) >= STORE_SILENCE
}

/// Maximum number of times that the time between two requests doubles: peers are asked in
/// the time in which a change has to be in force even if several of them do not answer.
const MAX_DOUBLINGS: u32 = 2;

/// Requests to peers for what they know.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Requests {
    last: Option<Instant>,
    /// Requests since the last answer.
    unanswered: u32,
}

impl Requests {
    /// Returns whether another request may be sent, `interval` after an answered one.
    ///
    /// The answer to an earlier one may still be under way, so the time doubles with each that
    /// is unanswered.
    pub fn may_send(&self, interval: Duration, now: Instant) -> bool {
        let doublings = self.unanswered.saturating_sub(1).min(MAX_DOUBLINGS);
        self.last.is_none_or(|at| now >= at + interval * 2_u32.pow(doublings))
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.last = Some(now);
        self.unanswered += 1;
    }

    /// Returns the number of requests since the last answer.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Records that an answer has arrived.
    pub fn answered(&mut self) {
        self.unanswered = 0;
    }
}

/// Returns the time after which a request of an instance that watches the store is repeated.
pub fn answer_time(knows_targets: bool) -> Duration {
    if knows_targets { CHANGES_TIME } else { LIST_TIME }
}
