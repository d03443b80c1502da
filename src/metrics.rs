//! Metrics of one instance.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Bounds of the time to first token, in seconds.
const BOUNDS: [f64; 12] = [0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 1.8, 3.0, 6.0, 15.0, 60.0, 300.0];

/// Upper bounds of the bands of prompt length, in tokens, and their labels.
const BANDS: [(u64, &str); 5] =
    [(1_000, "1k"), (8_000, "8k"), (32_000, "32k"), (100_000, "100k"), (300_000, "300k")];
/// Label of the longest band.
const LONGEST: &str = "over";

/// Builds counters by label.
///
/// # Panics
///
/// This and the functions below panic when a metric is declared wrongly, which is
/// a bug where it is declared.
pub fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("metric is well formed")
}

/// Builds a counter.
pub fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("metric is well formed")
}

/// Builds a gauge.
pub fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("metric is well formed")
}

/// Builds histograms of times, in seconds, by a label.
pub fn histograms(name: &str, help: &str, label: &str, bounds: &[f64]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    HistogramVec::new(options, &[label]).expect("metric is well formed")
}

/// Registers metrics, none of which is registered yet.
pub fn register<const N: usize>(registry: &Registry, all: [Box<dyn Collector>; N]) {
    for collector in all {
        registry.register(collector).expect("metric names differ");
    }
}

/// All metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Where they are registered.
    pub registry: Registry,
    /// Finished requests by class and outcome.
    pub requests: IntCounterVec,
    /// Attempts by outcome.
    pub attempts: IntCounterVec,
    /// Time to first token, in seconds, by band of prompt length.
    first_token: HistogramVec,
    /// Configuration version in force, 0 for none.
    pub config_version: IntGauge,
    /// Events that belonged to another attempt and were dropped.
    pub misrouted_events: IntCounter,
    /// Attempts whose memory waits to be freed.
    pub unfreed_attempts: IntGauge,
    /// Claims on the memory of engines.
    pub claims: IntGauge,
    /// Pieces of memory that their holders had lost and that were freed.
    pub reclaimed: IntCounter,
    /// Peers that are alive.
    pub live_peers: IntGauge,
    /// Idempotency records that wait to be settled.
    pub unsettled_records: IntGauge,
    /// Requests that wait for their turn.
    pub waiting_requests: IntGauge,
    /// Requests that wait for memory of an engine.
    pub memory_waits: IntGauge,
}

impl Metrics {
    /// Builds and registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            requests: counters(
                "mimosapass_requests_total",
                "Finished requests.",
                &["class", "outcome"],
            ),
            attempts: counters("mimosapass_attempts_total", "Attempts at targets.", &["outcome"]),
            first_token: histograms(
                "mimosapass_first_token_seconds",
                "Time to first token.",
                "prompt",
                &BOUNDS,
            ),
            config_version: gauge("mimosapass_config_version", "Configuration in force."),
            misrouted_events: counter("mimosapass_crossed_total", "Events of another attempt."),
            unfreed_attempts: gauge("mimosapass_unfreed_attempts", "Attempts to be freed."),
            claims: gauge("mimosapass_claims", "Claims on the memory of engines."),
            reclaimed: counter("mimosapass_lost_pieces_freed_total", "Lost pieces freed."),
            live_peers: gauge("mimosapass_peers_alive", "Peers alive."),
            unsettled_records: gauge("mimosapass_unsettled_records", "Records to be settled."),
            waiting_requests: gauge(
                "mimosapass_waiting_requests",
                "Requests that wait for their turn.",
            ),
            memory_waits: gauge("mimosapass_memory_waits", "Requests that wait for memory."),
            registry,
        };
        metrics.register();
        metrics
    }

    /// Notes the time to first token of a prompt of so many tokens.
    pub fn observe_first_token(&self, tokens: u64, took: Duration) {
        let band = BANDS.iter().find(|(most, _)| tokens <= *most).map_or(LONGEST, |(_, name)| name);
        self.first_token.with_label_values(&[band]).observe(took.as_secs_f64());
    }

    fn register(&self) {
        let all: [Box<dyn Collector>; 12] = [
            Box::new(self.requests.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.first_token.clone()),
            Box::new(self.config_version.clone()),
            Box::new(self.misrouted_events.clone()),
            Box::new(self.unfreed_attempts.clone()),
            Box::new(self.claims.clone()),
            Box::new(self.reclaimed.clone()),
            Box::new(self.live_peers.clone()),
            Box::new(self.unsettled_records.clone()),
            Box::new(self.waiting_requests.clone()),
            Box::new(self.memory_waits.clone()),
        ];
        register(&self.registry, all);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
