//! Estimates of a prompt's length from its bytes and of an engine's prefill rate.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ModelId;

/// Bytes per token assumed before the first usage report.
const DEFAULT_BYTES_PER_TOKEN: f64 = 4.0;
/// Weight of a new sample in the mean of a ratio.
const RATIO_WEIGHT: f64 = 0.05;
/// Range of plausible ratios, in bytes per token.
const RATIO_RANGE: (f64, f64) = (0.5, 16.0);
/// Weight of a new sample in the mean of a rate.
const RATE_WEIGHT: f64 = 0.1;
/// Factor by which a sample may differ from the mean rate.
const MAX_RATE_STEP: f64 = 4.0;
/// Samples needed before a rate is used.
const MIN_RATE_SAMPLES: u32 = 8;

/// Learned bytes per token of each model.
#[derive(Clone, Debug, Default)]
pub struct TokenRatios {
    by_model: BTreeMap<ModelId, f64>,
}

impl TokenRatios {
    /// Returns the estimated tokens of `bytes` of prompt, at least 1.
    pub fn estimate_tokens(&self, model: &str, bytes: usize) -> u64 {
        let ratio = self.by_model.get(model).copied().unwrap_or(DEFAULT_BYTES_PER_TOKEN);
        ((bytes as f64 / ratio).ceil() as u64).max(1)
    }

    /// Records a usage report: a prompt of `bytes` bytes had `tokens` tokens.
    pub fn record_usage(&mut self, model: &ModelId, bytes: usize, tokens: u64) {
        if tokens == 0 || bytes == 0 {
            return;
        }
        let sample = (bytes as f64 / tokens as f64).clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        let ratio = self.by_model.entry(ModelId::clone(model)).or_insert(DEFAULT_BYTES_PER_TOKEN);
        *ratio += RATIO_WEIGHT * (sample - *ratio);
    }
}

/// Learned prefill rate of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillRate {
    mean: f64,
    samples: u32,
}

impl PrefillRate {
    /// Records the time from sending a prompt of `tokens` to its first token.
    ///
    /// One sample changes the rate only a little, so that a request delayed by work
    /// that was unknown when it was sent does not make an engine look slow.
    pub fn record_sample(&mut self, tokens: u64, took: Duration) {
        let sample = tokens as f64 / took.as_secs_f64().max(0.001);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean = sample;
            return;
        }
        let clamped = sample.clamp(self.mean / MAX_RATE_STEP, self.mean * MAX_RATE_STEP);
        self.mean += RATE_WEIGHT * (clamped - self.mean);
    }

    /// Returns the rate in tokens per second, once there are enough samples.
    pub fn tokens_per_second(&self) -> Option<f64> {
        (self.samples >= MIN_RATE_SAMPLES).then_some(self.mean)
    }
}
