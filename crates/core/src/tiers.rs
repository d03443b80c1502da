//! Partition of a pool's engines by the length of prompt that they serve.
//!
//! The engines of a pool in one zone are sorted in rendezvous order and divided
//! into tiers, one for each band of prompt length: the shortest prompts at the
//! head, the longest at the tail. The boundaries are computed only from the load
//! reports, which all instances of the zone receive, so that all instances get
//! the same boundaries without communication. A boundary moves only after the
//! demand for the move has lasted for a while.

use std::time::{Duration, Instant};

/// Number of bands of prompt length.
pub const BAND_COUNT: usize = 3;
/// Length at which each band but the first starts.
pub const BAND_STARTS_TOKENS: [u64; BAND_COUNT - 1] = [8_192, 32_768];
/// Time over which demand is averaged.
const AVERAGING_WINDOW: Duration = Duration::from_secs(20);
/// Time for which a tier must need more engines before it grows.
const GROW_DELAY: Duration = Duration::from_secs(3);
/// Time for which a tier must need fewer engines before it shrinks.
const SHRINK_DELAY: Duration = Duration::from_secs(15);
/// A boundary moves by its distance from the target divided by this, at least 1.
const STEP_DIVISOR: usize = 3;
/// Time after the first sample during which boundaries follow demand at once.
const STARTUP: Duration = Duration::from_secs(20);
/// Time within which the backlog of a tier should be processed.
const CATCH_UP_SECS: f64 = 60.0;
/// Share of the spare engines that each tier gets.
const SPARE_SHARES: [f64; BAND_COUNT] = [0.8, 0.15, 0.05];

/// Offset added before rounding, in engines.
///
/// Steady demand often converges to a half, which would round up when approached
/// from above but down from below.
const ROUNDING_BIAS: f64 = 0.013;

/// Returns the band of a prompt of `tokens` tokens.
pub fn length_band(tokens: u64) -> usize {
    BAND_STARTS_TOKENS.iter().filter(|start| tokens >= **start).count()
}

/// Returns prefill by band, derived from the sum if the engine reports no bands.
pub fn prefill_by_band(prefill: u64, reported: &[u64]) -> [u64; BAND_COUNT] {
    let mut bands = [0; BAND_COUNT];
    if reported.len() == BAND_COUNT {
        bands.copy_from_slice(reported);
    } else {
        bands[length_band(prefill)] = prefill;
    }
    bands
}

/// Summed load reports of a pool's engines at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Reachable engines.
    pub engines: usize,
    /// Engines whose longest pending prompt is of each band.
    pub busy: [usize; BAND_COUNT],
    /// Pending prefill of each band, in seconds of one engine.
    pub backlog: [f64; BAND_COUNT],
}

/// Tiers of one pool in one zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tiers {
    demand: [f64; BAND_COUNT],
    started: Option<Instant>,
    observed: Option<Instant>,
    ends: [usize; BAND_COUNT - 1],
    pending: [Option<(bool, Instant)>; BAND_COUNT - 1],
}

impl Tiers {
    /// Returns the band that the engine at `position` serves first.
    pub fn tier(&self, position: usize) -> usize {
        self.ends.iter().filter(|end| position >= **end).count()
    }

    /// Returns the positions at which all tiers but the last end.
    pub fn ends(&self) -> [usize; BAND_COUNT - 1] {
        self.ends
    }

    /// Records a sample and moves boundaries whose demand has lasted long enough.
    pub fn observe(&mut self, sample: LoadSample, now: Instant) {
        self.update_demand(&sample, now);
        let target_ends = self.target_ends(sample.engines);
        self.observed = Some(now);
        let started = *self.started.get_or_insert(now);
        let starting = now.duration_since(started) < STARTUP;
        if starting || self.ends.iter().any(|end| *end >= sample.engines.max(1)) {
            self.ends = target_ends;
            self.pending = [None; BAND_COUNT - 1];
            return;
        }
        for (boundary, target_end) in target_ends.into_iter().enumerate() {
            self.move_boundary(boundary, target_end, now);
        }
    }

    /// Moves a boundary towards `target_end` once that has been due for long enough.
    ///
    /// A boundary that moves towards the head gives an engine to longer prompts.
    fn move_boundary(&mut self, boundary: usize, target_end: usize, now: Instant) {
        let end = self.ends[boundary];
        if target_end == end {
            self.pending[boundary] = None;
            return;
        }
        let down = target_end < end;
        let since = match self.pending[boundary] {
            Some((direction, since)) if direction == down => since,
            _ => now,
        };
        self.pending[boundary] = Some((down, since));
        let delay = if down { GROW_DELAY } else { SHRINK_DELAY };
        if now.duration_since(since) >= delay {
            let step = (target_end.abs_diff(end) / STEP_DIVISOR).max(1);
            self.ends[boundary] = if down { end - step } else { end + step };
            self.pending[boundary] = None;
        }
    }

    fn update_demand(&mut self, sample: &LoadSample, now: Instant) {
        let weight = self.observed.map_or(1.0, |observed| {
            1.0 - (-now.duration_since(observed).as_secs_f64() / AVERAGING_WINDOW.as_secs_f64())
                .exp()
        });
        // A backlog while an engine is idle does not mean that engines are missing.
        let idle = sample.engines.saturating_sub(sample.busy.iter().sum());
        for band in 0..BAND_COUNT {
            let backlog = if idle == 0 { sample.backlog[band] / CATCH_UP_SECS } else { 0.0 };
            let demand = sample.busy[band] as f64 + backlog;
            self.demand[band] += weight * (demand - self.demand[band]);
        }
    }

    /// Returns the positions at which the tiers should end.
    fn target_ends(&self, engines: usize) -> [usize; BAND_COUNT - 1] {
        let total: f64 = self.demand.iter().sum();
        let spare = engines as f64 - total;
        let size = |band: usize| {
            if spare > 0.0 {
                self.demand[band] + spare * SPARE_SHARES[band]
            } else {
                engines as f64 * self.demand[band] / total
            }
        };
        let mut ends = [engines; BAND_COUNT - 1];
        let mut next = engines;
        for band in (1..BAND_COUNT).rev() {
            // The shortest band keeps one engine.
            let tier = ((size(band) + ROUNDING_BIAS).round() as usize).min(next.saturating_sub(1));
            next -= tier;
            ends[band - 1] = next;
        }
        ends
    }
}
