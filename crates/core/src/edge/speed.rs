//! How fast each target works, against the other targets of its service.
//!
//! Answers the pattern of servers that differ in speed, or become slow while they stay
//! registered. Each time that a target took is compared with what was predicted for it; the
//! median over the targets shows how far off the predictions are for all, and a target's own
//! factor is what is left.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::edge::fleet::TargetId;
use crate::edge::history::LogMean;

/// Samples from which on a target's factor counts.
const MIN_SAMPLES: f64 = 6.0;
/// Time after which a target that sent no sample counts as its peers, so that it is tried again.
const EXPIRY: Duration = Duration::from_secs(8);
/// Smallest and largest factor.
const LEAST_FACTOR: f64 = 0.5;
const MOST_FACTOR: f64 = 10.0;
/// Distance of a factor from 1 that is taken for the spread of the samples.
const TOLERANCE: f64 = 0.1;

/// Number of targets from which on those without a recent sample are dropped.
const MAX_TARGETS: usize = 4_096;

/// Ratios of the times that targets took to predicted ones.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    records: HashMap<TargetId, (LogMean, Instant)>,
}

impl Speeds {
    /// Records the time that a target took, and the one that was predicted.
    pub fn record(&mut self, id: &TargetId, took: Duration, predicted: Duration, now: Instant) {
        if predicted.is_zero() {
            return;
        }
        if self.records.len() >= MAX_TARGETS {
            self.records.retain(|_, (_, at)| now.saturating_duration_since(*at) <= EXPIRY);
        }
        let record = self.records.entry(TargetId::clone(id)).or_insert((LogMean::default(), now));
        if now.saturating_duration_since(record.1) > EXPIRY {
            record.0 = LogMean::default();
        }
        record.0.add(took.as_secs_f64() / predicted.as_secs_f64());
        record.1 = now;
    }

    fn ratio(&self, id: &str, now: Instant) -> Option<f64> {
        let (mean, at) = self.records.get(id)?;
        let fresh = now.saturating_duration_since(*at) <= EXPIRY && mean.count() >= MIN_SAMPLES;
        fresh.then(|| mean.estimate()).flatten().map(|e| e.median)
    }

    /// Returns the median ratio of targets; 1 if none is known.
    pub fn median<'a>(&self, ids: impl Iterator<Item = &'a TargetId>, now: Instant) -> f64 {
        let mut all: Vec<f64> = ids.filter_map(|id| self.ratio(id, now)).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0)
    }

    /// Returns the factor by which a target takes longer than the `median` of its peers.
    pub fn factor(&self, id: &str, median: f64, now: Instant) -> f64 {
        let factor = self.ratio(id, now).map_or(1.0, |ratio| ratio / median.max(0.001));
        if (factor - 1.0).abs() < TOLERANCE { 1.0 } else { factor.clamp(LEAST_FACTOR, MOST_FACTOR) }
    }

    /// Removes the record of a target that is gone or has restarted.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }
}
