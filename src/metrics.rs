//! Metrics of one instance.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

/// Histogram bounds of the time to first token, in seconds.
const FIRST_TOKEN_BOUNDS: [f64; 12] =
    [0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 1.8, 3.0, 6.0, 15.0, 60.0, 300.0];

/// Upper bounds of the prompt length bands, in tokens, and their labels.
const PROMPT_BANDS: [(u64, &str); 5] =
    [(1_000, "1k"), (8_000, "8k"), (32_000, "32k"), (100_000, "100k"), (300_000, "300k")];
/// Label of the band above the last bound.
const LAST_BAND: &str = "over";

/// Builds counters by label.
///
/// # Panics
///
/// This and the functions below panic if the declaration of a metric is invalid,
/// which is a bug at the declaration.
pub fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("metric declaration is valid")
}

/// Builds a counter.
pub fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("metric declaration is valid")
}

/// Builds a gauge.
pub fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("metric declaration is valid")
}

/// Builds gauges by label.
pub fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), labels).expect("metric declaration is valid")
}

/// Builds histograms of durations, in seconds, by a label.
pub fn histograms(name: &str, help: &str, label: &str, bounds: &[f64]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    HistogramVec::new(options, &[label]).expect("metric declaration is valid")
}

/// Registers metrics whose names are not registered yet.
pub fn register<const N: usize>(registry: &Registry, collectors: [Box<dyn Collector>; N]) {
    for collector in collectors {
        registry.register(collector).expect("metric names are unique");
    }
}

/// Metrics of an instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Registry of all metrics.
    pub registry: Registry,
    /// Finished requests by class and outcome.
    pub requests: IntCounterVec,
    /// Attempts by outcome.
    pub attempts: IntCounterVec,
    /// Time to first token, in seconds, by prompt length band.
    first_token: HistogramVec,
    /// Active configuration version, 0 for none.
    pub config_version: IntGauge,
    /// Events that were dropped because they belong to another attempt.
    pub misrouted_events: IntCounter,
    /// Attempts whose engine memory has to be freed.
    pub unfreed_attempts: IntGauge,
    /// Claims on engine memory.
    pub claims: IntGauge,
    /// Abandoned allocations that were freed.
    pub reclaimed: IntCounter,
    /// Live peers.
    pub live_peers: IntGauge,
    /// Idempotency records to be settled.
    pub unsettled_records: IntGauge,
    /// Queued requests.
    pub waiting_requests: IntGauge,
    /// Requests that wait for engine memory.
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
                &FIRST_TOKEN_BOUNDS,
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

    /// Records the time to first token of a prompt of `tokens` tokens.
    pub fn observe_first_token(&self, tokens: u64, elapsed: Duration) {
        let band = PROMPT_BANDS
            .iter()
            .find(|(bound, _)| tokens <= *bound)
            .map_or(LAST_BAND, |(_, label)| label);
        self.first_token.with_label_values(&[band]).observe(elapsed.as_secs_f64());
    }

    fn register(&self) {
        let collectors: [Box<dyn Collector>; 12] = [
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
        register(&self.registry, collectors);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
