//! Figures of a run: waits by length band, goodput and refusals.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::fleet::{Outcome, RunResult};
use crate::trace::{Class, MAX_SHORT_TOKENS, MIN_LONG_TOKENS, Request};

/// Time at the start of a run that is not evaluated.
pub const WARM_UP: Duration = Duration::from_mins(2);
/// Bands of prompt length: name and lengths, in tokens.
pub const BANDS: [(&str, u64, u64); 5] = [
    ("<8k", 0, MAX_SHORT_TOKENS),
    ("8k-40k", MAX_SHORT_TOKENS, 40_000),
    ("40k-100k", 40_000, MIN_LONG_TOKENS),
    ("100k-400k", MIN_LONG_TOKENS, 400_000),
    (">400k", 400_000, u64::MAX),
];

/// Figures of one run.
#[derive(Debug)]
pub struct Figures {
    /// Waits by band, in milliseconds.
    pub waits: Vec<Histogram<u64>>,
    /// Requests per second with a first token in time.
    pub good: f64,
    /// Prompt tokens per second of these requests.
    pub tokens: f64,
    /// Share of requests refused.
    pub refused: f64,
    /// Share of requests that were accepted and then too late.
    pub late: f64,
    /// Longest wait of the class of lowest priority.
    pub longest: Duration,
    /// Requests still open at the end.
    pub open: usize,
}

pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(10_000_000, 3).expect("the bounds are sound")
}

/// Computes the figures of a run.
pub fn figures(result: &RunResult, classes: &[Class]) -> Figures {
    let mut waits: Vec<Histogram<u64>> = BANDS.iter().map(|_| histogram()).collect();
    let lowest = (0..classes.len()).min_by_key(|c| classes[*c].priority).unwrap_or(0);
    let counted: Vec<&(Request, Outcome)> =
        result.ends.iter().filter(|(r, _)| r.at >= WARM_UP).collect();
    let last = counted.last().map_or(WARM_UP, |(r, _)| r.at);
    let span = last.saturating_sub(WARM_UP).as_secs_f64().max(1.0);
    let (mut good, mut tokens, mut longest) = (0.0, 0.0, Duration::ZERO);
    for (request, end) in &counted {
        let Outcome::FirstToken(took) = end else { continue };
        good += 1.0;
        tokens += request.tokens as f64;
        let band = BANDS.iter().position(|b| (b.1..b.2).contains(&request.tokens)).unwrap_or(0);
        waits[band].saturating_record(took.as_millis() as u64);
        if request.class == lowest {
            longest = longest.max(*took);
        }
    }
    let share = |end: Outcome| {
        let count = counted.iter().filter(|(_, e)| *e == end).count();
        count as f64 / counted.len().max(1) as f64
    };
    Figures {
        waits,
        good: good / span,
        tokens: tokens / span,
        refused: share(Outcome::Refused),
        late: share(Outcome::Late),
        longest,
        open: counted.iter().filter(|(_, e)| *e == Outcome::Open).count(),
    }
}

/// Returns p50, p95 and p99 of a band, in seconds.
pub fn quantiles(waits: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|q| waits.value_at_quantile(q) as f64 / 1000.0)
}

/// Returns the p95 of the short band, in seconds.
pub fn short_p95(figures: &Figures) -> f64 {
    quantiles(&figures.waits[0])[1]
}

/// Returns the short band's p95 over all its requests, in seconds; one that
/// was refused or late counts as having waited to its deadline.
pub fn short_with_refused(result: &RunResult, classes: &[Class]) -> f64 {
    let mut waits = histogram();
    for (request, end) in
        result.ends.iter().filter(|(r, _)| r.at >= WARM_UP && r.tokens < MAX_SHORT_TOKENS)
    {
        let waited = match end {
            Outcome::FirstToken(took) => *took,
            _ => classes[request.class].deadline,
        };
        waits.saturating_record(waited.as_millis() as u64);
    }
    quantiles(&waits)[1]
}

/// Prints the head of a table.
pub fn print_head() {
    println!(
        "| policy | {} | good/s | ktok/s | refused | late | open | longest lowest | spilled |",
        BANDS.map(|b| b.0).join(" | ")
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

/// Prints one row: p50/p95/p99 of each band, in seconds.
pub fn print_row(name: &str, result: &RunResult, figures: &Figures) {
    let bands: Vec<String> =
        figures.waits.iter().map(|w| quantiles(w).map(|q| format!("{q:.2}")).join(" / ")).collect();
    println!(
        "| {name} | {} | {:.2} | {:.0} | {:.1}% | {:.1}% | {} | {:.0} s | {} |",
        bands.join(" | "),
        figures.good,
        figures.tokens / 1000.0,
        figures.refused * 100.0,
        figures.late * 100.0,
        figures.open,
        figures.longest.as_secs_f64(),
        result.spilled
    );
}
