//! A rate that several instances share.
//!
//! Each instance decides alone when it sends, and the sum is bounded. Answers the pattern of
//! many instances of which each keeps to the rate: together they exceed it many times. Every
//! instance knows when the others sent, and the sends of all count against one account:
//! each moves the time of the next one by the interval that the rate leaves between two.
//!
//! Instances learn of each other's sends within milliseconds. Those that wait for the same
//! moment would all send then, so that they take turns in an order that changes with each send.
//! What they exceed the rate by delays the next send of all.
//!
//! Instances that do not hear each other use shares of the rate. A share that changes opens a new
//! account, with the first send when the former one would have allowed it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;

/// Lowest rate, in sends a second, so that the end of a rate of zero is noticed.
const MIN_RATE: f64 = 0.2;
/// Time by which a send may precede its interval: requests wait for up to 100 ms until they are
/// considered again, and that must not reduce the rate.
const MAX_EARLY: Duration = Duration::from_millis(250);
/// Time that an instance waits for each one before it in the order: that of a datagram.
const TURN: Duration = Duration::from_millis(4);
/// Time for which sends are kept.
const HISTORY: Duration = Duration::from_secs(10);
/// Longest interval between two sends.
const MAX_INTERVAL: Duration = Duration::from_mins(1);
/// Maximum number of sends that peers are told of: the latest ones.
pub const MAX_TOLD: usize = 32;

/// The instances that send, as one of them knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct Senders {
    /// Name of this instance.
    pub own: InstanceId,
    /// Names of the others whose sends are known, sorted.
    pub others: Vec<InstanceId>,
    /// Share of the rate that these and this instance may use, above 0 and up to 1. It is less
    /// than 1 while the sends of some instances are not known.
    pub share: f64,
}

impl Default for Senders {
    fn default() -> Self {
        Self { own: InstanceId::from(""), others: Vec::new(), share: 1.0 }
    }
}

/// The sends of all instances against one rate.
#[derive(Clone, Debug)]
pub struct SharedRate {
    /// Sends a second.
    rate: f64,
    /// Sends of this instance, the latest last.
    own: Vec<Instant>,
    /// Sends of peers.
    peers: HashMap<InstanceId, Vec<Instant>>,
    /// Share of it that is used.
    share: f64,
    /// Time from which sends count, and of the first one.
    since: Instant,
    /// Derived from the fields above.
    opens_at: Instant,
}

impl SharedRate {
    /// Opens an account without sends; `rate` is in sends a second.
    pub fn new(rate: f64, senders: &Senders, now: Instant) -> Self {
        let mut account = Self {
            rate,
            own: Vec::new(),
            peers: HashMap::new(),
            share: senders.share,
            since: now,
            opens_at: now,
        };
        account.update(senders, now);
        account
    }

    /// Returns the rate, in sends a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the rate that is used, in sends a second.
    pub fn used_rate(&self) -> f64 {
        self.rate.max(MIN_RATE)
    }

    /// Returns when this instance may send next.
    pub fn opens_at(&self) -> Instant {
        self.opens_at
    }

    /// Returns how many sends the rate allows all instances from `now` until `end`.
    pub fn capacity(&self, now: Instant, end: Instant) -> f64 {
        match end.checked_duration_since(self.opens_at.max(now)) {
            Some(time) => 1.0 + (self.used_rate() * time.as_secs_f64()).floor(),
            None => 0.0,
        }
    }

    /// Records a send of this instance.
    pub fn record(&mut self, senders: &Senders, now: Instant) {
        self.own.push(now);
        self.update(senders, now);
    }

    /// Replaces the known sends of a peer.
    pub fn replace(
        &mut self,
        peer: &InstanceId,
        sends: Vec<Instant>,
        senders: &Senders,
        now: Instant,
    ) {
        self.peers.insert(InstanceId::clone(peer), sends);
        self.update(senders, now);
    }

    /// Returns the latest sends of this instance, which peers are told of.
    pub fn own_sends(&self, now: Instant) -> &[Instant] {
        let first = self.own.iter().position(|at| *at + HISTORY > now);
        let told = first.map_or(&[][..], |first| &self.own[first..]);
        &told[told.len().saturating_sub(MAX_TOLD)..]
    }

    /// Derives the time of the next send after a change of the sends or the senders.
    pub fn update(&mut self, senders: &Senders, now: Instant) {
        let interval = self.interval(senders.share);
        if self.share.to_bits() != senders.share.to_bits() {
            self.since = self.reopening(senders, now);
            self.share = senders.share;
        }
        let (kept, since) = (HISTORY.max(interval), self.since);
        let recent = |at: &Instant| *at + kept > now;
        self.own.retain(recent);
        self.peers.retain(|_, sends| {
            sends.retain(recent);
            !sends.is_empty()
        });
        let sends = self.own.iter().chain(self.peers.values().flatten()).copied();
        let mut sends: Vec<Instant> = sends.filter(|at| *at >= since).collect();
        sends.sort_unstable();
        let next = sends.iter().fold(since, |next, at| next.max(*at) + interval);
        let early = next.checked_sub(MAX_EARLY).map_or(since, |early| early.max(since));
        self.opens_at = early + TURN * position(senders, sends.len());
    }

    /// Returns the time between two sends.
    fn interval(&self, share: f64) -> Duration {
        let seconds = 1.0 / (self.used_rate() * share);
        Duration::from_secs_f64(seconds.min(MAX_INTERVAL.as_secs_f64()))
    }

    /// Returns when an account with another share opens.
    ///
    /// Instances that stop hearing each other all use smaller shares, and open at different
    /// moments.
    fn reopening(&self, senders: &Senders, now: Instant) -> Instant {
        let (before, interval) = (self.interval(self.share), self.interval(senders.share));
        let phase = weight(&senders.own, 0) as f64 / u64::MAX as f64;
        let opens_at = self.opens_at.clamp(now, now + before.max(interval));
        opens_at + interval.saturating_sub(before).mul_f64(phase)
    }
}

/// Returns the number of senders that precede this instance in the order of a send.
fn position(senders: &Senders, send: usize) -> u32 {
    let own = weight(&senders.own, send);
    senders.others.iter().filter(|name| weight(name, send) < own).count() as u32
}

fn weight(name: &InstanceId, send: usize) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), send as u64)
}
