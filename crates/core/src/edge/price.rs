//! The price of engine time: what a second of an engine brings at the margin.
//!
//! Answers the pattern of load that exceeds what engines can serve on time, for whatever
//! reason: a burst, a mix that changes, or capacity that shrinks while the load stays. The
//! engine time that is asked for within a short horizon is sorted by the value that it brings;
//! the price is the value per second of the first request that no longer fits. It is zero while
//! all of it fits, so that nothing is refused beside a free engine, and it follows a change of
//! capacity at once.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::InstanceId;

/// Time for which requests and free engine time are compared. Long prompts are on time for
/// longer, but nothing is known of what comes after it.
const HORIZON: Duration = Duration::from_secs(2);
/// Time constant of the rate at which engine time is asked for: shorter than a burst.
const RATE_TIME: Duration = Duration::from_secs(2);
/// Bands of value per second of work: each covers a factor of the square root of two, and the
/// first one ends at a value of 1.
const BANDS: usize = 24;
const BANDS_PER_DOUBLING: f64 = 2.0;
/// Age from which on what a peer has stated no longer counts.
const STATEMENT_EXPIRY: Duration = Duration::from_millis(3_500);

/// Engine time that a request asks for, and what it brings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Time of one engine.
    pub work: Duration,
    /// Value of an answer on time, per second of work.
    pub density: f64,
}

/// Free engine time within the horizon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    free_s: f64,
}

impl Capacity {
    /// Adds an engine whose prompts in flight take `backlog`.
    pub fn add(&mut self, backlog: Duration) {
        self.free_s += HORIZON.saturating_sub(backlog).as_secs_f64();
    }
}

/// Engine time asked of one service, and its price.
#[derive(Clone, Debug, Default)]
pub struct Price {
    /// Seconds of engine time asked for in a second, by band; as of `at`.
    rates: [f64; BANDS],
    at: Option<Instant>,
    /// Seconds of engine time asked for in a second here, with those that wait.
    demand: f64,
    /// The same at peers, as they state it.
    peers: HashMap<InstanceId, (f64, Instant)>,
    margin: f64,
}

fn band(density: f64) -> usize {
    let above = density.max(1.0).log2() * BANDS_PER_DOUBLING;
    (above.ceil() as usize).min(BANDS - 1)
}

/// Returns the density at the lower end of a band.
fn lower_end(band: usize) -> f64 {
    ((band as f64 - 1.0) / BANDS_PER_DOUBLING).exp2()
}

impl Price {
    /// Records a request that has arrived.
    pub fn record(&mut self, ask: Ask, now: Instant) {
        self.decay(now);
        self.rates[band(ask.density)] += ask.work.as_secs_f64() / RATE_TIME.as_secs_f64();
    }

    fn decay(&mut self, now: Instant) {
        let at = self.at.unwrap_or(now);
        let passed = now.saturating_duration_since(at);
        let left = (-passed.as_secs_f64() / RATE_TIME.as_secs_f64()).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= left);
        self.at = Some(at.max(now));
    }

    /// Records the engine time that a peer is asked for, in seconds a second.
    pub fn record_peer(&mut self, peer: &InstanceId, demand: f64, now: Instant) {
        if demand.is_finite() && demand >= 0.0 {
            self.peers.insert(InstanceId::clone(peer), (demand, now));
        }
    }

    /// Updates the price from the free engine time and the requests that wait here.
    pub fn update(&mut self, capacity: Capacity, waiting: impl Iterator<Item = Ask>, now: Instant) {
        self.decay(now);
        self.peers.retain(|_, (_, at)| now.saturating_duration_since(*at) < STATEMENT_EXPIRY);
        let horizon = HORIZON.as_secs_f64();
        let mut asked = self.rates.map(|rate| rate * horizon);
        waiting.for_each(|ask| asked[band(ask.density)] += ask.work.as_secs_f64());
        let own: f64 = asked.iter().sum();
        self.demand = own / horizon;
        let elsewhere: f64 = self.peers.values().map(|(demand, _)| demand * horizon).sum();
        // Free time is shared with the peers in proportion to what each is asked for.
        let share = own / (own + elsewhere).max(f64::MIN_POSITIVE);
        self.margin = margin(&asked, capacity.free_s * share);
    }

    /// Returns the value that a second of an engine brings at the margin; 0 while all fits.
    ///
    /// `pressure` is the share of engines with a backlog, as a running mean. What is asked for
    /// varies by single long prompts, and engines that have been free show that it can wait.
    pub fn value(&self, pressure: f64) -> f64 {
        self.margin * pressure.sqrt()
    }

    /// Returns the engine time that is asked for here, in seconds a second.
    pub fn demand(&self) -> f64 {
        self.demand
    }
}

/// Returns the density down to which the engine time `asked` for, by band, fits into `free_s`.
fn margin(asked: &[f64; BANDS], free_s: f64) -> f64 {
    let mut left = free_s;
    for (band, work) in asked.iter().enumerate().rev() {
        if *work > left {
            let fits = left.max(0.0) / work;
            return lower_end(band) * (1.0 / BANDS_PER_DOUBLING).exp2().powf(1.0 - fits);
        }
        left -= work;
    }
    0.0
}
