//! What one instance knows of one target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::config::TargetKind;
use crate::estimate::PrefillRate;
use crate::health::Health;
use crate::ids::{ModelId, PoolId, TargetId, ZoneId};
use crate::labels::Labels;
use crate::rendezvous::weight;
use crate::spillover;
use crate::tiers::BAND_COUNT;

/// Age of a report at which its engine counts as out of reach.
const STALE: Duration = Duration::from_secs(10);
/// Prefill speed assumed before an engine reported one, in tokens a second.
const SPEED: f64 = 10_000.0;
/// Factor by which the learned rate may be below the reported speed.
const DOUBT: f64 = 2.0;

/// A target as the platform's list names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedTarget {
    /// Name of the target.
    pub name: TargetId,
    /// Kind of target.
    pub kind: TargetKind,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address, `IP:port`.
    pub addr: String,
    /// Labels of the platform.
    pub labels: Labels,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// Load report of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Start number of the engine's process.
    pub boot: u64,
    /// Number of the report, growing within one boot.
    pub number: u64,
    /// Prompt tokens accepted and not yet computed.
    pub prefill: u64,
    /// The same by [band](crate::tiers::length_band) of prompt length.
    pub bands: [u64; BAND_COUNT],
    /// Requests that generate now.
    pub running: u32,
    /// Requests that may generate at once.
    pub slots: u32,
    /// Free KV cache, in tokens.
    pub free: u64,
    /// Whole KV cache, in tokens.
    pub capacity: u64,
    /// Measured prefill speed, in tokens a second.
    pub speed: u64,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// Models that are loaded.
    pub models: Vec<ModelId>,
}

/// What is known of one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Its entry in the platform's list, relabelled by the configuration.
    pub listed: ListedTarget,
    /// Its address, `IP:port`, as choices share it.
    pub addr: Arc<str>,
    /// Pools that it belongs to.
    pub pools: Vec<PoolId>,
    /// Place in the rendezvous order, lowest first at the head.
    pub rank: u64,
    /// Band of prompt length that it serves first.
    pub tier: usize,
    /// Work up to which each engine of its tier would be filled, in seconds, if
    /// all that is sent before the next report went where it should.
    ///
    /// Engines are drawn by what they lack of it, so that many instances with
    /// one lagging report spread over the free engines in proportion.
    pub fair_load: f64,
    /// Whether this instance is the engine's owner, who sends to it first.
    pub owned: bool,
    /// Whether the operators drain it.
    pub drained: bool,
    /// Whether it refused because it is leaving.
    pub refused: bool,
    /// Latest report.
    pub report: LoadReport,
    /// When the report was heard.
    pub reported_at: Option<Instant>,
    /// Prompt tokens that this instance sent and saw no first token of.
    pub own_prefill: u64,
    /// Requests of this instance in flight.
    pub own_running: u32,
    /// Failures, ejection and slow start.
    pub health: Health,
    pub(crate) offered_at: Option<Instant>,
    pub(crate) unreported: Unreported,
    pub(crate) backlog: Backlog,
    pub(crate) rate: PrefillRate,
}

/// Own work that the latest report cannot know of.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Unreported {
    pub(crate) prefill: u64,
    pub(crate) memory: u64,
    pub(crate) running: u32,
    pub(crate) long: bool,
}

/// Own prompt tokens that the engine should still have to compute.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backlog {
    tokens: f64,
    at: Option<Instant>,
}

impl Backlog {
    fn left(&self, speed: f64, now: Instant) -> f64 {
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (self.tokens - speed * passed.as_secs_f64()).max(0.0)
    }

    pub(crate) fn add(&mut self, tokens: u64, speed: f64, now: Instant) {
        self.tokens = self.left(speed, now) + tokens as f64;
        self.at = Some(now);
    }
}

impl TargetState {
    /// Builds what is known of a target that was just listed.
    pub(crate) fn fresh(listed: ListedTarget, drained: bool, pools: Vec<PoolId>) -> Self {
        Self {
            addr: listed.addr.as_str().into(),
            rank: weight("long", &listed.name),
            listed,
            pools,
            tier: 0,
            fair_load: 0.0,
            owned: false,
            drained,
            refused: false,
            report: LoadReport::default(),
            reported_at: None,
            own_prefill: 0,
            own_running: 0,
            health: Health::default(),
            offered_at: None,
            unreported: Unreported::default(),
            backlog: Backlog::default(),
            rate: PrefillRate::default(),
        }
    }

    /// Returns whether the target may get new work at `now`.
    pub fn is_available(&self, now: Instant) -> bool {
        !self.is_draining() && !self.health.is_ejected(now)
    }

    /// Returns whether the target is leaving or drained, by anyone's word.
    pub fn is_draining(&self) -> bool {
        self.listed.leaving || self.drained || self.refused || self.report.leaving
    }

    /// Returns the prefill speed to reckon with, in tokens a second.
    pub fn speed(&self) -> f64 {
        match (self.report.speed, self.rate.tokens_per_second()) {
            (0, rate) => rate.unwrap_or(SPEED),
            (speed, Some(rate)) => (speed as f64).min(rate * DOUBT),
            (speed, None) => speed as f64,
        }
    }

    /// Returns the prompt tokens that stand before a new request at `now`.
    pub fn pending_tokens(&self, now: Instant) -> f64 {
        self.pending_tokens_at(self.speed(), now)
    }

    /// Returns the same as the time that the engine needs for it, in seconds.
    pub fn pending_seconds(&self, now: Instant) -> f64 {
        let speed = self.speed();
        self.pending_tokens_at(speed, now) / speed
    }

    fn pending_tokens_at(&self, speed: f64, now: Instant) -> f64 {
        let mut reported = self.unreported.prefill as f64;
        if self.report.prefill > 0 {
            let age =
                self.reported_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            reported += (self.report.prefill as f64 - speed * age.as_secs_f64()).max(0.0);
        }
        if self.own_prefill == 0 {
            return reported;
        }
        reported.max(self.backlog.left(speed, now))
    }

    /// Returns the KV cache that should be free, in tokens.
    ///
    /// Before the first report it is unknown and taken as unlimited.
    pub fn free_tokens(&self) -> u64 {
        match self.reported_at {
            Some(_) => self.report.free.saturating_sub(self.unreported.memory),
            None => u64::MAX,
        }
    }

    /// Returns the requests in flight: reported, and own ones since.
    pub fn in_flight(&self) -> u32 {
        (self.report.running + self.unreported.running).max(self.own_running)
    }

    /// Returns the requests by which the engine is over its slots.
    pub fn queued(&self) -> u32 {
        let running = self.in_flight();
        if self.report.slots == 0 { 0 } else { (running + 1).saturating_sub(self.report.slots) }
    }

    /// Returns whether it computes a long prompt, as far as is known.
    pub fn has_long_prompt(&self) -> bool {
        self.report.bands[BAND_COUNT - 1] > 0 || self.unreported.long
    }

    /// Returns the learned rate, in tokens a second, once there is one.
    pub fn learned_rate(&self) -> Option<f64> {
        self.rate.tokens_per_second()
    }

    /// Returns whether its zone offers it to other zones at `now`.
    pub fn is_offered(&self, now: Instant) -> bool {
        self.offered_at.is_some_and(|at| now.saturating_duration_since(at) < spillover::STALE)
    }

    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        let fresh = self.reported_at.is_some_and(|at| now.saturating_duration_since(at) < STALE);
        fresh && !self.is_draining() && self.offered_at.is_none()
    }
}
