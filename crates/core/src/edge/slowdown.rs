//! How much slower an engine decodes than its peers.
//!
//! Detects engines that become slow while they stay registered. Each pass yields an
//! event, so a few gaps between events show it long before outcomes of requests do.
//! Prefill between events lengthens gaps as well, so the shortest of the last few is
//! compared with that of the other engines.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::TargetId;

/// Number of recent gaps of which the smallest ratio is used.
const RECENT_GAPS: usize = 4;
/// Time after which recorded gaps expire, so that a slow engine is tried again.
const EXPIRY: Duration = Duration::from_secs(3);
/// Factor on the median from which on an engine counts as slow. Engines with much
/// prefill are up to that much slower than the mean.
const SLOW_FACTOR: f64 = 2.0;
/// Largest factor; a slower engine is equivalent to a silent one.
const MAX_FACTOR: f64 = 10.0;

#[derive(Clone, Copy, Debug)]
struct Record {
    gap_ratios: [f64; RECENT_GAPS],
    count: usize,
    at: Instant,
}

impl Record {
    fn smallest_ratio(&self) -> Option<f64> {
        (self.count >= RECENT_GAPS)
            .then(|| self.gap_ratios.iter().copied().fold(f64::MAX, f64::min))
    }
}

/// Ratios of recent gaps between events to predicted ones, by target.
#[derive(Clone, Debug, Default)]
pub struct Slowdowns {
    records: HashMap<TargetId, Record>,
}

impl Slowdowns {
    /// Records a gap between events of a target, and the gap that its cost model predicts.
    pub fn record(
        &mut self,
        target: &TargetId,
        observed: Duration,
        predicted: Duration,
        now: Instant,
    ) {
        let ratio = observed.as_secs_f64() / predicted.as_secs_f64().max(0.001);
        let empty = Record { gap_ratios: [0.0; RECENT_GAPS], count: 0, at: now };
        let record = self.records.entry(TargetId::clone(target)).or_insert(empty);
        if now.saturating_duration_since(record.at) > EXPIRY {
            *record = empty;
        }
        record.gap_ratios[record.count % RECENT_GAPS] = ratio;
        record.count += 1;
        record.at = now;
    }

    /// Returns the median ratio over all engines, at least 1.
    pub fn median(&self, now: Instant) -> f64 {
        let mut all: Vec<f64> = self.records.values().filter_map(|r| current(r, now)).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0).max(1.0)
    }

    /// Returns the factor by which a target is slower than the `median`, 1 or more.
    pub fn factor(&self, target: &str, median: f64, now: Instant) -> f64 {
        let ratio = self.records.get(target).and_then(|r| current(r, now));
        let factor = ratio.map_or(1.0, |r| r / median);
        if factor < SLOW_FACTOR { 1.0 } else { factor.min(MAX_FACTOR) }
    }

    /// Removes the record of a target that is gone or has restarted.
    pub fn forget(&mut self, target: &str) {
        self.records.remove(target);
    }
}

/// Returns the smallest recent ratio of a record that has not expired.
fn current(record: &Record, now: Instant) -> Option<f64> {
    let fresh = now.saturating_duration_since(record.at) <= EXPIRY;
    if fresh { record.smallest_ratio() } else { None }
}
