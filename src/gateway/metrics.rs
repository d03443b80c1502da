//! Metrics of a gateway.

use prometheus::core::Collector;
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry};

use crate::metrics::{counter, counters, gauge, gauges, histograms, register};

/// Histogram bounds: the time limits of chats, summaries and reviews, and fractions
/// of them.
const BUCKETS_SECONDS: [f64; 11] = [0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 1.5, 3.0, 5.0, 8.0, 15.0];
/// Bands of prompt length: exclusive upper bounds in tokens, and labels.
const PROMPT_BANDS: [(u64, &str); 5] =
    [(1, "none"), (8_000, "8k"), (32_000, "32k"), (100_000, "100k"), (450_000, "450k")];
/// Label of the band without an upper bound.
const LAST_BAND: &str = "over";

/// Metrics of one gateway.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Registry of all metrics below.
    pub registry: Registry,
    /// Finished requests by band of prompt length and outcome.
    pub requests: IntCounterVec,
    /// Attempts at targets by outcome.
    pub attempts: IntCounterVec,
    /// Malformed responses of targets and peers by what is wrong.
    pub malformed_responses: IntCounterVec,
    /// Runs at silent targets by what became of them.
    pub silent_runs: IntCounterVec,
    /// Requests that were sent once more, by service and cause.
    pub retries: IntCounterVec,
    /// Retries denied by the limits, by service.
    pub denied_retries: IntCounterVec,
    /// The account of retries, by service and figure.
    pub retry_account: IntGaugeVec,
    /// Failed calls to the store by reason.
    pub store_failures: IntCounterVec,
    /// Snapshots requested from peers, and configurations received in them, by outcome.
    pub snapshots: IntCounterVec,
    /// Time to the first event of a stream, in seconds, by band.
    pub first_event_time: HistogramVec,
    /// Time that requests were queued, in seconds, by band.
    pub wait_time: HistogramVec,
    /// Configuration version in force; 0 before the first.
    pub config_version: IntGauge,
    /// Milliseconds for which a peer has had newer data of the store.
    pub behind: IntGauge,
    /// Queued requests.
    pub queued: IntGauge,
    /// Targets that accept new requests.
    pub targets: IntGauge,
    /// Targets that serve although their entry may have expired in an outage.
    pub lapsed_targets: IntGauge,
    /// Targets to which the last connection failed.
    pub unreachable_targets: IntGauge,
    /// Requests that were sent over a peer.
    pub detours: IntCounter,
    /// Targets that asked for a pause, or get few requests after one.
    pub paused_targets: IntGauge,
    /// Targets that state a limit.
    pub limited_targets: IntGauge,
    /// Requests granted a target that states a limit, by kind.
    pub limited_grants: IntCounterVec,
    /// Targets that told this instance that they leave.
    pub leaving_targets: IntGauge,
    /// Parts of prompts whose requests are refused.
    pub quarantined_parts: IntGauge,
    /// Kinds of request whose costs are known here.
    pub learned_kinds: IntGauge,
    /// Targets that refused to help with the prompts of others.
    pub refused_help: IntCounter,
    /// Highest price of a second of an engine, in thousandths of the value of a short answer.
    pub engine_price: IntGauge,
    /// Refused requests by quarantined part.
    pub quarantine_refusals: IntCounterVec,
    /// Zones that the operator has evacuated.
    pub evacuated_zones: IntGauge,
    /// Live peers.
    pub peers: IntGauge,
    /// Number of times that the store came back from a copy, as it states.
    pub store_era: IntGauge,
    /// Whether the store responds.
    pub store_up: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let times = |name, help| histograms(name, help, "band", &BUCKETS_SECONDS);
        let metrics = Self {
            requests: counters("gateway_requests", "Ended requests.", &["band", "outcome"]),
            attempts: counters("gateway_attempts", "Sends to targets.", &["outcome"]),
            malformed_responses: counters(
                "gateway_malformed_responses",
                "Malformed responses of targets and peers.",
                &["reason"],
            ),
            silent_runs: counters("gateway_silent_runs", "Silent targets.", &["outcome"]),
            retries: counters("gateway_retries", "Repeated sends.", &["service", "cause"]),
            denied_retries: counters("gateway_denied_retries", "Denied retries.", &["service"]),
            retry_account: gauges(
                "gateway_retry_account",
                "Requests, retries and the limit of this instance in a window, and instances.",
                &["service", "figure"],
            ),
            store_failures: counters("gateway_store_failures", "Failed store calls.", &["reason"]),
            snapshots: counters("gateway_snapshots", "Snapshots of peers.", &["outcome"]),
            first_event_time: times("gateway_first_seconds", "Time to the first byte."),
            wait_time: times("gateway_wait_seconds", "Time until a place was found."),
            config_version: gauge("gateway_config_version", "Configuration version in force."),
            behind: gauge("gateway_behind_ms", "Time since a peer has had newer data."),
            queued: gauge("gateway_waiting", "Requests that wait for a place."),
            targets: gauge("gateway_targets", "Targets that take new work."),
            lapsed_targets: gauge("gateway_lapsed_targets", "Targets kept after an outage."),
            unreachable_targets: gauge(
                "gateway_unreachable_targets",
                "Targets that cannot be connected to.",
            ),
            refused_help: counter(
                "gateway_refused_help",
                "Targets that refused to help with the prompts of others.",
            ),
            detours: counter("gateway_detours", "Requests that went over a peer."),
            paused_targets: gauge("gateway_paused_targets", "Targets that asked for a pause."),
            limited_targets: gauge("gateway_limited_targets", "Targets that state a limit."),
            limited_grants: counters(
                "gateway_limited_grants",
                "Requests granted a target that states a limit.",
                &["kind"],
            ),
            leaving_targets: gauge("gateway_leaving_targets", "Targets that said they leave."),
            quarantined_parts: gauge("gateway_quarantined_parts", "Parts that are refused."),
            learned_kinds: gauge(
                "gateway_learned_kinds",
                "Routes, and workspaces on them, whose costs are known here.",
            ),
            engine_price: gauge(
                "gateway_engine_price",
                "Highest price of a second of an engine, in thousandths of a short answer's value.",
            ),
            quarantine_refusals: counters(
                "gateway_quarantine_refusals",
                "Requests refused for a part.",
                &["part"],
            ),
            evacuated_zones: gauge("gateway_evacuated_zones", "Zones evacuated on order."),
            peers: gauge("gateway_peers", "Peers that were heard of lately."),
            store_era: gauge("gateway_store_era", "Era of the store, one more after a restore."),
            store_up: gauge("gateway_store_up", "Whether the store answers."),
            registry,
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let all: [Box<dyn Collector>; 31] = [
            Box::new(self.requests.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.malformed_responses.clone()),
            Box::new(self.silent_runs.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.denied_retries.clone()),
            Box::new(self.retry_account.clone()),
            Box::new(self.store_failures.clone()),
            Box::new(self.snapshots.clone()),
            Box::new(self.first_event_time.clone()),
            Box::new(self.wait_time.clone()),
            Box::new(self.config_version.clone()),
            Box::new(self.behind.clone()),
            Box::new(self.queued.clone()),
            Box::new(self.targets.clone()),
            Box::new(self.lapsed_targets.clone()),
            Box::new(self.unreachable_targets.clone()),
            Box::new(self.detours.clone()),
            Box::new(self.paused_targets.clone()),
            Box::new(self.limited_targets.clone()),
            Box::new(self.limited_grants.clone()),
            Box::new(self.leaving_targets.clone()),
            Box::new(self.quarantined_parts.clone()),
            Box::new(self.engine_price.clone()),
            Box::new(self.learned_kinds.clone()),
            Box::new(self.refused_help.clone()),
            Box::new(self.quarantine_refusals.clone()),
            Box::new(self.evacuated_zones.clone()),
            Box::new(self.peers.clone()),
            Box::new(self.store_era.clone()),
            Box::new(self.store_up.clone()),
        ];
        register(&self.registry, all);
    }
}

/// Returns the band of a prompt length.
pub fn band(prompt: u64) -> &'static str {
    PROMPT_BANDS.iter().find(|(limit, _)| prompt < *limit).map_or(LAST_BAND, |(_, label)| label)
}
