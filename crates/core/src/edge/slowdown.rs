//! How much slower an engine writes than its peers.
//!
//! Answers engines that turn slow while they stay in the list: each event of an
//! answer comes with a pass, so a few pauses tell of it, long before outcomes do.
//! A pause is also long where prompts are read in between, so the shortest of the
//! last few counts, against that of the other engines.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::TargetId;

/// Pauses of which the shortest counts.
const PAUSES: usize = 4;
/// Time after which an engine is tried again that has not been heard of.
const FRESH: Duration = Duration::from_secs(3);
/// Factor on the middle of all engines from which on one counts as slow; engines
/// that read much are up to that much slower than the mean.
const SLOW: f64 = 2.0;
/// Largest factor; slower than that is as good as silent.
const MOST: f64 = 10.0;

#[derive(Clone, Copy, Debug)]
struct Record {
    pauses: [f64; PAUSES],
    count: usize,
    at: Instant,
}

impl Record {
    fn shortest(&self) -> Option<f64> {
        (self.count >= PAUSES).then(|| self.pauses.iter().copied().fold(f64::MAX, f64::min))
    }
}

/// Pauses of engines, by target.
#[derive(Clone, Debug, Default)]
pub struct Slowdowns {
    records: HashMap<TargetId, Record>,
}

impl Slowdowns {
    /// Notes a pause of a target, against the one that its cost model predicts.
    pub fn record(&mut self, target: &TargetId, seen: Duration, predicted: Duration, now: Instant) {
        let ratio = seen.as_secs_f64() / predicted.as_secs_f64().max(0.001);
        let fresh = Record { pauses: [0.0; PAUSES], count: 0, at: now };
        let record = self.records.entry(TargetId::clone(target)).or_insert(fresh);
        if now.saturating_duration_since(record.at) > FRESH {
            *record = fresh;
        }
        record.pauses[record.count % PAUSES] = ratio;
        record.count += 1;
        record.at = now;
    }

    /// Returns the middle of what is known of all engines.
    pub fn median(&self, now: Instant) -> f64 {
        let mut all: Vec<f64> = self.records.values().filter_map(|r| known(r, now)).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0).max(1.0)
    }

    /// Returns the factor by which a target is slower than the `middle`, 1 or more.
    pub fn factor(&self, target: &str, middle: f64, now: Instant) -> f64 {
        let shortest = self.records.get(target).and_then(|r| known(r, now));
        let factor = shortest.map_or(1.0, |s| s / middle);
        if factor < SLOW { 1.0 } else { factor.min(MOST) }
    }

    /// Forgets a target that is gone or has started again.
    pub fn forget(&mut self, target: &str) {
        self.records.remove(target);
    }
}

fn known(record: &Record, now: Instant) -> Option<f64> {
    let fresh = now.saturating_duration_since(record.at) <= FRESH;
    if fresh { record.shortest() } else { None }
}
