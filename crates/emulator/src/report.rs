//! Metrics of a run: shares of worth, latency quantiles and table rows.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::{Call, KINDS};
use crate::simulation::{CallEnd, CallRecord};

/// Bands of prompt length: name, lower and upper bound in tokens.
pub const LENGTH_BANDS: [(&str, u64, u64); 5] = [
    ("<8k", 0, 8_000),
    ("8k-40k", 8_000, 40_000),
    ("40k-100k", 40_000, 100_000),
    ("100k-450k", 100_000, 450_000),
    (">450k", 450_000, u64::MAX),
];

/// Metrics of one run, or of several runs together.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Share of the worth of all calls that was earned.
    pub worth: f64,
    /// The same by kind of request.
    pub kinds: Vec<f64>,
    /// Lowest served share of a size band, relative to that of its kind.
    pub size_fairness: f64,
    /// Share of calls that were refused.
    pub refused: f64,
    /// Share of calls that were interrupted, found no instance, or timed out.
    pub failed: f64,
    /// Times to the first event by band of prompt length, in milliseconds.
    pub first_event_ms: Vec<Histogram<u64>>,
}

/// Returns whether the first event and all gaps are on time.
pub fn on_time(record: &CallRecord) -> bool {
    let kind = &KINDS[record.call.kind];
    let goal = Duration::from_millis(kind.goal_ms);
    record.first_event.is_some_and(|first| first <= goal)
        && record.max_gap <= Duration::from_millis(kind.max_gap_ms)
}

/// Returns the worth that a call has earned.
pub fn earned_worth(record: &CallRecord) -> f64 {
    match record.end {
        Some(CallEnd::Served) => record.call.worth(on_time(record)),
        _ => 0.0,
    }
}

/// Computes the metrics of a run.
///
/// Calls whose callers left early are not counted.
///
/// # Panics
///
/// Panics when the bounds of the histograms are invalid, which is a bug here.
pub fn metrics(records: &[CallRecord]) -> Metrics {
    let eligible: Vec<&CallRecord> =
        records.iter().filter(|r| r.end != Some(CallEnd::Left)).collect();
    let share = |of: &dyn Fn(&Call) -> bool| {
        let counted = || eligible.iter().filter(|r| of(&r.call));
        let all: f64 = counted().map(|r| r.call.worth(true)).sum();
        counted().map(|r| earned_worth(r)).sum::<f64>() / all.max(f64::MIN_POSITIVE)
    };
    let ended = |ends: &[CallEnd]| {
        let count = eligible.iter().filter(|r| r.end.is_some_and(|e| ends.contains(&e))).count();
        count as f64 / eligible.len().max(1) as f64
    };
    let histogram = || Histogram::new_with_max(100_000, 3).expect("the bounds are valid");
    let mut first_event_ms: Vec<Histogram<u64>> =
        LENGTH_BANDS.iter().map(|_| histogram()).collect();
    for record in &eligible {
        let band = LENGTH_BANDS.iter().position(|b| (b.1..b.2).contains(&record.call.prompt));
        if let (Some(band), Some(time)) = (band, record.first_event) {
            first_event_ms[band].saturating_record(time.as_millis() as u64);
        }
    }
    Metrics {
        worth: share(&|_| true),
        kinds: (0..KINDS.len()).map(|k| share(&|c| c.kind == k)).collect(),
        size_fairness: (0..KINDS.len()).map(|kind| worst_size(records, kind)).fold(1.0, f64::min),
        refused: ended(&[CallEnd::Refused]),
        failed: ended(&[CallEnd::Failed, CallEnd::Impatient]),
        first_event_ms,
    }
}

/// Returns the header of a table.
pub fn table_head() -> String {
    let kinds = KINDS.map(|k| k.name).join(" | ");
    let bands = LENGTH_BANDS.map(|b| b.0).join(" | ");
    let rule = "|---".repeat(KINDS.len() + LENGTH_BANDS.len() + 6);
    format!("| pattern | policy | worth | {kinds} | sizes | refused | failed | {bands} |\n{rule}|")
}

/// Returns a row: shares, then p50 / p99 to the first event in milliseconds.
pub fn table_row(pattern: &str, policy: &str, metrics: &Metrics) -> String {
    let kinds: Vec<String> = metrics.kinds.iter().map(|k| format!("{k:.3}")).collect();
    let times = |h: &Histogram<u64>| match h.len() {
        0 => "-".to_owned(),
        _ => format!("{} / {}", h.value_at_quantile(0.5), h.value_at_quantile(0.99)),
    };
    let bands: Vec<String> = metrics.first_event_ms.iter().map(times).collect();
    format!(
        "| {pattern} | {policy} | {:.3} | {} | {:.2} | {:.3} | {:.3} | {} |",
        metrics.worth,
        kinds.join(" | "),
        metrics.size_fairness,
        metrics.refused,
        metrics.failed,
        bands.join(" | ")
    )
}

/// Returns the lower served share of two size bands, relative to their kind.
fn worst_size(records: &[CallRecord], kind: usize) -> f64 {
    let [tenth, fifth, whole] = served_by_size(records, kind);
    if whole > 0.0 { tenth.min(fifth) / whole } else { 0.0 }
}

/// Returns the p95 time to the first event of the shortest prompts.
pub fn short_p95_ms(metrics: &Metrics) -> u64 {
    metrics.first_event_ms[0].value_at_quantile(0.95)
}

/// Returns the served shares of a kind by size of prompt.
///
/// They are those of its largest tenth, of the fifth below it, and of all its calls.
pub fn served_by_size(records: &[CallRecord], kind: usize) -> [f64; 3] {
    let mut calls: Vec<&CallRecord> =
        records.iter().filter(|r| r.call.kind == kind && r.end != Some(CallEnd::Left)).collect();
    calls.sort_by_key(|r| std::cmp::Reverse(r.call.prompt));
    let share = |part: &[&CallRecord]| {
        let served = part.iter().filter(|r| r.end == Some(CallEnd::Served)).count();
        served as f64 / part.len().max(1) as f64
    };
    let (tenth, third) = (calls.len() / 10, calls.len() * 3 / 10);
    [share(&calls[..tenth]), share(&calls[tenth..third]), share(&calls)]
}
