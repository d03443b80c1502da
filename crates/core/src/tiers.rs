//! Which engines of a pool serve which lengths of prompt.
//!
//! The engines of a pool in one zone stand in rendezvous order and are cut
//! into tiers, one for each band of length: the shortest prompts at the head,
//! the longest at the tail. The cuts are worked out from the reports alone,
//! which all instances of the zone share, so that they come out alike
//! everywhere without a word between them. A cut moves only after the same
//! wish has stood for a while.

use std::time::{Duration, Instant};

/// Bands of prompt length.
pub const BAND_COUNT: usize = 3;
/// Length at which each band but the first begins, in tokens.
pub const BAND_STARTS: [u64; BAND_COUNT - 1] = [8_192, 32_768];
/// Time over which demand is averaged.
const WINDOW: Duration = Duration::from_secs(20);
/// Time for which a tier must have wanted more engines before it grows.
const GROW: Duration = Duration::from_secs(3);
/// Time for which a tier must have wanted fewer before it shrinks.
const SHRINK: Duration = Duration::from_secs(15);
/// A cut that is off by more engines than this moves by this part of the way.
const FAR: usize = 3;
/// Time after the first sample in which the cuts follow demand at once.
const START: Duration = Duration::from_secs(20);
/// Time in which a backlog beyond the engines of a tier should be worked off.
const CATCH_UP: f64 = 60.0;
/// Parts of the spare engines that go to each tier.
const SPARE: [f64; BAND_COUNT] = [0.8, 0.15, 0.05];

/// Shift of the rounding edge, in engines: demand that comes to rest is often a
/// half, and would be rounded up from above but down from below.
const EDGE: f64 = 0.013;

/// Returns the band of a prompt of `tokens` tokens.
pub fn length_band(tokens: u64) -> usize {
    BAND_STARTS.iter().filter(|start| tokens >= **start).count()
}

/// Returns prefill by band, guessed from its sum where the engine tells no bands.
pub fn prefill_by_band(prefill: u64, told: &[u64]) -> [u64; BAND_COUNT] {
    let mut bands = [0; BAND_COUNT];
    if told.len() == BAND_COUNT {
        bands.copy_from_slice(told);
    } else {
        bands[length_band(prefill)] = prefill;
    }
    bands
}

/// What the reports of a pool's engines show at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Engines in reach.
    pub engines: usize,
    /// Engines that compute prompts of each band and of none longer.
    pub busy: [usize; BAND_COUNT],
    /// Prefill that waits in each band, in seconds of one engine.
    pub backlog: [f64; BAND_COUNT],
}

/// Tiers of one pool in one zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tiers {
    demand: [f64; BAND_COUNT],
    began: Option<Instant>,
    seen: Option<Instant>,
    ends: [usize; BAND_COUNT - 1],
    wishes: [Option<(bool, Instant)>; BAND_COUNT - 1],
}

impl Tiers {
    /// Returns the band that the engine at `place` from the head serves first.
    pub fn tier(&self, place: usize) -> usize {
        self.ends.iter().filter(|end| place >= **end).count()
    }

    /// Returns the places, from the head, at which the tiers but the last end.
    pub fn ends(&self) -> [usize; BAND_COUNT - 1] {
        self.ends
    }

    /// Takes in a sample and moves the cuts where a wish has stood long enough.
    pub fn observe(&mut self, sample: LoadSample, now: Instant) {
        self.average(&sample, now);
        let wanted = self.wanted(sample.engines);
        self.seen = Some(now);
        let began = *self.began.get_or_insert(now);
        let starting = now.duration_since(began) < START;
        if starting || self.ends.iter().any(|end| *end >= sample.engines.max(1)) {
            self.ends = wanted;
            self.wishes = [None; BAND_COUNT - 1];
            return;
        }
        for (cut, want) in wanted.into_iter().enumerate() {
            self.step(cut, want, now);
        }
    }

    /// Moves one cut towards `want` once the wish has stood long enough.
    ///
    /// A cut that moves towards the head gives an engine to longer prompts.
    fn step(&mut self, cut: usize, want: usize, now: Instant) {
        let end = self.ends[cut];
        if want == end {
            self.wishes[cut] = None;
            return;
        }
        let down = want < end;
        let since = match self.wishes[cut] {
            Some((same, since)) if same == down => since,
            _ => now,
        };
        self.wishes[cut] = Some((down, since));
        let dwell = if down { GROW } else { SHRINK };
        if now.duration_since(since) >= dwell {
            let step = (want.abs_diff(end) / FAR).max(1);
            self.ends[cut] = if down { end - step } else { end + step };
            self.wishes[cut] = None;
        }
    }

    fn average(&mut self, sample: &LoadSample, now: Instant) {
        let weight = self.seen.map_or(1.0, |seen| {
            1.0 - (-now.duration_since(seen).as_secs_f64() / WINDOW.as_secs_f64()).exp()
        });
        // A backlog beside an idle engine is no lack of engines.
        let idle = sample.engines.saturating_sub(sample.busy.iter().sum());
        for band in 0..BAND_COUNT {
            let backlog = if idle == 0 { sample.backlog[band] / CATCH_UP } else { 0.0 };
            let demand = sample.busy[band] as f64 + backlog;
            self.demand[band] += weight * (demand - self.demand[band]);
        }
    }

    /// Returns where the tiers should end.
    fn wanted(&self, engines: usize) -> [usize; BAND_COUNT - 1] {
        let total: f64 = self.demand.iter().sum();
        let spare = engines as f64 - total;
        let size = |band: usize| {
            if spare > 0.0 {
                self.demand[band] + spare * SPARE[band]
            } else {
                engines as f64 * self.demand[band] / total
            }
        };
        let mut ends = [engines; BAND_COUNT - 1];
        let mut next = engines;
        for band in (1..BAND_COUNT).rev() {
            // The shortest band keeps one engine.
            let tier = ((size(band) + EDGE).round() as usize).min(next.saturating_sub(1));
            next -= tier;
            ends[band - 1] = next;
        }
        ends
    }
}
