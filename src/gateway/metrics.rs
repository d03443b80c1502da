//! Metrics of a gateway.

use prometheus::core::Collector;
use prometheus::{HistogramVec, IntCounterVec, IntGauge, Registry};

use crate::metrics::{counters, gauge, histograms, register};

/// Bounds of times, in seconds: the promises of chats, summaries and reviews,
/// and fractions of them.
const BOUNDS: [f64; 11] = [0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 1.5, 3.0, 5.0, 8.0, 15.0];
/// Upper bounds of the bands of prompt length, in tokens, and their labels.
const BANDS: [(u64, &str); 5] =
    [(1, "none"), (8_000, "8k"), (32_000, "32k"), (100_000, "100k"), (450_000, "450k")];
/// Label of the longest band.
const LONGEST: &str = "over";

/// All metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Where they are registered.
    pub registry: Registry,
    /// Ended requests by band of prompt length and outcome.
    pub outcomes: IntCounterVec,
    /// Sends to targets by outcome.
    pub attempts: IntCounterVec,
    /// Time to the first byte of an answer, in seconds, by band.
    pub first: HistogramVec,
    /// Time that requests waited for a place, in seconds, by band.
    pub waited: HistogramVec,
    /// Configuration version in force, 0 for none.
    pub config: IntGauge,
    /// Requests that wait for a place.
    pub waiting: IntGauge,
    /// Targets that take new work.
    pub targets: IntGauge,
    /// Peers that were heard of lately.
    pub peers: IntGauge,
    /// Whether the store answers.
    pub store: IntGauge,
}

impl Metrics {
    /// Builds and registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let times = |name, help| histograms(name, help, "band", &BOUNDS);
        let metrics = Self {
            outcomes: counters("gateway_requests", "Ended requests.", &["band", "outcome"]),
            attempts: counters("gateway_attempts", "Sends to targets.", &["outcome"]),
            first: times("gateway_first_seconds", "Time to the first byte."),
            waited: times("gateway_wait_seconds", "Time until a place was found."),
            config: gauge("gateway_config_version", "Configuration version in force."),
            waiting: gauge("gateway_waiting", "Requests that wait for a place."),
            targets: gauge("gateway_targets", "Targets that take new work."),
            peers: gauge("gateway_peers", "Peers that were heard of lately."),
            store: gauge("gateway_store_up", "Whether the store answers."),
            registry,
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let all: [Box<dyn Collector>; 9] = [
            Box::new(self.outcomes.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.first.clone()),
            Box::new(self.waited.clone()),
            Box::new(self.config.clone()),
            Box::new(self.waiting.clone()),
            Box::new(self.targets.clone()),
            Box::new(self.peers.clone()),
            Box::new(self.store.clone()),
        ];
        register(&self.registry, all);
    }
}

/// Returns the label of a prompt length.
pub fn band(prompt: u64) -> &'static str {
    BANDS.iter().find(|(limit, _)| prompt < *limit).map_or(LONGEST, |(_, label)| label)
}
