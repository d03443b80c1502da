//! Weighted sampling of a few candidates with a request's random number.

use crate::target_table::TargetState;

/// Candidates in one sample.
const MAX_SAMPLED: usize = 3;

/// A candidate with its sampling key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sampled<'t> {
    pub(crate) key: f64,
    pub(crate) target: &'t TargetState,
}

/// The candidates with the smallest keys, in ascending order.
#[derive(Debug, Default)]
pub(crate) struct WeightedSample<'t> {
    sampled: [Option<Sampled<'t>>; MAX_SAMPLED],
}

impl<'t> WeightedSample<'t> {
    pub(crate) fn insert(&mut self, mut next: Sampled<'t>) {
        for held in &mut self.sampled {
            match held {
                None => {
                    *held = Some(next);
                    return;
                }
                Some(other) if next.key < other.key => std::mem::swap(other, &mut next),
                Some(_) => {}
            }
        }
    }

    /// Returns whether a candidate with `key` or a larger key would not be sampled.
    pub(crate) fn excludes(&self, key: f64) -> bool {
        self.sampled[MAX_SAMPLED - 1].is_some_and(|last| key > last.key)
    }

    pub(crate) fn targets(&self) -> impl Iterator<Item = &'t TargetState> {
        self.sampled.iter().flatten().map(|s| s.target)
    }
}

/// Returns the sampling key: the smallest are taken, so larger weights are likelier.
pub(crate) fn sampling_key(random: u64, weight: f64) -> f64 {
    random as f64 / weight
}

/// Mixes the bits of a number with the finalizer of `SplitMix64`.
pub(crate) fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
