//! State of one target as one instance knows it.

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

/// Age of a report at which its engine counts as unreachable.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Prefill speed assumed until an engine reports one, in tokens per second.
const DEFAULT_SPEED: f64 = 10_000.0;
/// Largest ratio of the reported speed to the learned rate that is accepted.
const MAX_SPEED_RATIO: f64 = 2.0;

/// Entry of the platform's list of targets.
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
    /// Labels that the platform sets.
    pub labels: Labels,
    /// Whether the platform marks it as leaving.
    pub leaving: bool,
}

/// Load report of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Start number of the engine's process.
    pub boot: u64,
    /// Number of the report, increasing within one boot.
    pub number: u64,
    /// Prompt tokens that are accepted but not yet computed.
    pub prefill: u64,
    /// `prefill` by [band](crate::tiers::length_band) of prompt length.
    pub bands: [u64; BAND_COUNT],
    /// Requests being generated.
    pub running: u32,
    /// Requests that can be generated at once.
    pub slots: u32,
    /// Free KV cache, in tokens.
    pub free: u64,
    /// Size of the KV cache, in tokens.
    pub capacity: u64,
    /// Measured prefill speed, in tokens per second.
    pub speed: u64,
    /// Whether the engine refuses new requests.
    pub leaving: bool,
    /// Models that are loaded.
    pub models: Vec<ModelId>,
}

/// State of one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Entry in the platform's list, relabelled by the configuration.
    pub listed: ListedTarget,
    /// Address, `IP:port`, shared with each [`Choice`](crate::route::Choice).
    pub addr: Arc<str>,
    /// Pools that the target belongs to.
    pub pools: Vec<PoolId>,
    /// Position in the rendezvous order, lowest first.
    pub rank: u64,
    /// Tier of the engine: the band of prompt length that it serves first.
    pub tier: usize,
    /// Pending work per engine of its tier, in seconds, if all work up to the next
    /// report were spread evenly.
    ///
    /// Engines are sampled in proportion to how far they are below it, so that
    /// many instances with the same outdated report spread over the free engines.
    pub fair_load: f64,
    /// Whether this instance owns the engine; an owner prefers its own engines.
    pub owned: bool,
    /// Whether the operators drain the target.
    pub drained: bool,
    /// Whether the target refused a request because it is leaving.
    pub refused: bool,
    /// Latest load report.
    pub report: LoadReport,
    /// When the report was received.
    pub reported_at: Option<Instant>,
    /// Prompt tokens sent by this instance that await their first token.
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

/// Requests of this instance sent since the latest report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Unreported {
    pub(crate) prefill: u64,
    pub(crate) memory: u64,
    pub(crate) running: u32,
    pub(crate) long: bool,
}

/// Estimate of this instance's prompt tokens that the engine has yet to compute.
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
    /// Builds the state of a newly listed target.
    pub(crate) fn new(listed: ListedTarget, drained: bool, pools: Vec<PoolId>) -> Self {
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

    /// Returns whether the target may receive new requests at `now`.
    pub fn is_available(&self, now: Instant) -> bool {
        !self.is_draining() && !self.health.is_ejected(now)
    }

    /// Returns whether the target is leaving or drained, from any source.
    pub fn is_draining(&self) -> bool {
        self.listed.leaving || self.drained || self.refused || self.report.leaving
    }

    /// Returns the prefill speed for estimates, in tokens per second.
    pub fn speed(&self) -> f64 {
        match (self.report.speed, self.rate.tokens_per_second()) {
            (0, rate) => rate.unwrap_or(DEFAULT_SPEED),
            (speed, Some(rate)) => (speed as f64).min(rate * MAX_SPEED_RATIO),
            (speed, None) => speed as f64,
        }
    }

    /// Returns the prompt tokens to compute before a new request at `now`.
    pub fn pending_tokens(&self, now: Instant) -> f64 {
        self.pending_tokens_at(self.speed(), now)
    }

    /// Returns the time to compute the pending tokens, in seconds.
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

    /// Returns the estimated free KV cache, in tokens.
    ///
    /// Before the first report it is unknown and counts as unlimited.
    pub fn free_tokens(&self) -> u64 {
        match self.reported_at {
            Some(_) => self.report.free.saturating_sub(self.unreported.memory),
            None => u64::MAX,
        }
    }

    /// Returns the requests in flight: those reported and own ones sent since.
    pub fn in_flight(&self) -> u32 {
        (self.report.running + self.unreported.running).max(self.own_running)
    }

    /// Returns how many requests, with a new one, exceed the engine's slots.
    pub fn queued(&self) -> u32 {
        let running = self.in_flight();
        if self.report.slots == 0 { 0 } else { (running + 1).saturating_sub(self.report.slots) }
    }

    /// Returns whether it is known to compute a prompt of the longest band.
    pub fn has_long_prompt(&self) -> bool {
        self.report.bands[BAND_COUNT - 1] > 0 || self.unreported.long
    }

    /// Returns the learned prefill rate, in tokens per second, once there is one.
    pub fn learned_rate(&self) -> Option<f64> {
        self.rate.tokens_per_second()
    }

    /// Returns whether its zone offers the target to other zones at `now`.
    pub fn is_offered(&self, now: Instant) -> bool {
        self.offered_at
            .is_some_and(|at| now.saturating_duration_since(at) < spillover::MAX_OFFER_AGE)
    }

    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        let fresh =
            self.reported_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_REPORT_AGE);
        fresh && !self.is_draining() && self.offered_at.is_none()
    }
}
