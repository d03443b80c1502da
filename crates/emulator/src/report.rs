//! Shares of worth, quantiles and tables of a run.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::{Call, KINDS};
use crate::world::{End, Fate};

/// Bands of prompt length: name and lengths, in tokens.
pub const BANDS: [(&str, u64, u64); 5] = [
    ("<8k", 0, 8_000),
    ("8k-40k", 8_000, 40_000),
    ("40k-100k", 40_000, 100_000),
    ("100k-450k", 100_000, 450_000),
    (">450k", 450_000, u64::MAX),
];

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Worth earned by each worth owed.
    pub worth: f64,
    /// The same by kind of request.
    pub kinds: Vec<f64>,
    /// Worst share of a size band that is served, against its whole kind.
    pub sizes: f64,
    /// Share of calls that were refused.
    pub refused: f64,
    /// Share of calls that broke off, found no instance, or waited in vain.
    pub failed: f64,
    /// Times to the first event by band of prompt length, in milliseconds.
    pub first: Vec<Histogram<u64>>,
}

/// Returns whether an answer is on time.
pub fn on_time(fate: &Fate) -> bool {
    let kind = &KINDS[fate.call.kind];
    let goal = Duration::from_millis(kind.goal_ms);
    fate.first.is_some_and(|first| first <= goal)
        && fate.pause <= Duration::from_millis(kind.gap_ms)
}

/// Returns what a call has earned.
pub fn earned(fate: &Fate) -> f64 {
    match fate.end {
        Some(End::Served) => fate.call.worth(on_time(fate)),
        _ => 0.0,
    }
}

/// Works out the figures of a run.
///
/// # Panics
///
/// Panics when the bounds of the histograms are wrong, which is a bug here.
pub fn figures(fates: &[Fate]) -> Figures {
    let owed: Vec<&Fate> = fates.iter().filter(|f| f.end != Some(End::Left)).collect();
    let share = |of: &dyn Fn(&Call) -> bool| {
        let counted = || owed.iter().filter(|f| of(&f.call));
        let all: f64 = counted().map(|f| f.call.worth(true)).sum();
        counted().map(|f| earned(f)).sum::<f64>() / all.max(f64::MIN_POSITIVE)
    };
    let ended = |ends: &[End]| {
        let count = owed.iter().filter(|f| f.end.is_some_and(|e| ends.contains(&e))).count();
        count as f64 / owed.len().max(1) as f64
    };
    let histogram = || Histogram::new_with_max(100_000, 3).expect("the bounds are sound");
    let mut first: Vec<Histogram<u64>> = BANDS.iter().map(|_| histogram()).collect();
    for fate in &owed {
        let band = BANDS.iter().position(|b| (b.1..b.2).contains(&fate.call.prompt));
        if let (Some(band), Some(time)) = (band, fate.first) {
            first[band].saturating_record(time.as_millis() as u64);
        }
    }
    Figures {
        worth: share(&|_| true),
        kinds: (0..KINDS.len()).map(|k| share(&|c| c.kind == k)).collect(),
        sizes: (0..KINDS.len()).map(|kind| worst_size(fates, kind)).fold(1.0, f64::min),
        refused: ended(&[End::Refused]),
        failed: ended(&[End::Failed, End::Impatient]),
        first,
    }
}

/// Returns the head of a table, without its first column.
pub fn head() -> String {
    let kinds = KINDS.map(|k| k.name).join(" | ");
    let bands = BANDS.map(|b| b.0).join(" | ");
    let rule = "|---".repeat(KINDS.len() + BANDS.len() + 6);
    format!("| pattern | policy | worth | {kinds} | sizes | refused | failed | {bands} |\n{rule}|")
}

/// Returns a row: shares, then p50 / p99 to the first event in milliseconds.
pub fn row(pattern: &str, policy: &str, figures: &Figures) -> String {
    let kinds: Vec<String> = figures.kinds.iter().map(|k| format!("{k:.3}")).collect();
    let times = |h: &Histogram<u64>| match h.len() {
        0 => "-".to_owned(),
        _ => format!("{} / {}", h.value_at_quantile(0.5), h.value_at_quantile(0.99)),
    };
    let bands: Vec<String> = figures.first.iter().map(times).collect();
    format!(
        "| {pattern} | {policy} | {:.3} | {} | {:.2} | {:.3} | {:.3} | {} |",
        figures.worth,
        kinds.join(" | "),
        figures.sizes,
        figures.refused,
        figures.failed,
        bands.join(" | ")
    )
}

/// Returns the share of the worse size band that is served, against the whole kind.
fn worst_size(fates: &[Fate], kind: usize) -> f64 {
    let [tenth, fifth, whole] = served_by_size(fates, kind);
    if whole > 0.0 { tenth.min(fifth) / whole } else { 0.0 }
}

/// Returns the p95 to the first event of the shortest band, in milliseconds.
pub fn short(figures: &Figures) -> u64 {
    figures.first[0].value_at_quantile(0.95)
}

/// Returns the shares of a kind's calls that are served: of its largest tenth, of
/// the fifth below it, and of all.
pub fn served_by_size(fates: &[Fate], kind: usize) -> [f64; 3] {
    let mut calls: Vec<&Fate> =
        fates.iter().filter(|f| f.call.kind == kind && f.end != Some(End::Left)).collect();
    calls.sort_by_key(|f| std::cmp::Reverse(f.call.prompt));
    let share = |part: &[&Fate]| {
        let served = part.iter().filter(|f| f.end == Some(End::Served)).count();
        served as f64 / part.len().max(1) as f64
    };
    let (tenth, third) = (calls.len() / 10, calls.len() * 3 / 10);
    [share(&calls[..tenth]), share(&calls[tenth..third]), share(&calls)]
}
