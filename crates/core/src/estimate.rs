//! Estimates: a prompt's length from its bytes, an engine's rate from its answers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ModelId;

/// Bytes per token before any usage report came.
const START: f64 = 4.0;
/// Weight of a new sample in the running mean.
const WEIGHT: f64 = 0.05;
/// Range of a believable ratio, in bytes per token.
const RANGE: (f64, f64) = (0.5, 16.0);
/// Weight of a new sample in an engine's rate.
const RATE_WEIGHT: f64 = 0.1;
/// Factor by which one sample may differ from the rate so far.
const RATE_STEP: f64 = 4.0;
/// Samples before a rate is believed.
const RATE_SAMPLES: u32 = 8;

/// Learned bytes per token of each model.
#[derive(Clone, Debug, Default)]
pub struct TokenRatios {
    by_model: BTreeMap<ModelId, f64>,
}

impl TokenRatios {
    /// Returns the estimated tokens of `bytes` of prompt, at least 1.
    pub fn estimate_tokens(&self, model: &str, bytes: usize) -> u64 {
        let ratio = self.by_model.get(model).copied().unwrap_or(START);
        ((bytes as f64 / ratio).ceil() as u64).max(1)
    }

    /// Learns from a usage report: `bytes` of prompt were `tokens` tokens.
    pub fn record_usage(&mut self, model: &ModelId, bytes: usize, tokens: u64) {
        if tokens == 0 || bytes == 0 {
            return;
        }
        let sample = (bytes as f64 / tokens as f64).clamp(RANGE.0, RANGE.1);
        let ratio = self.by_model.entry(ModelId::clone(model)).or_insert(START);
        *ratio += WEIGHT * (sample - *ratio);
    }
}

/// Learned prefill rate of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillRate {
    mean: f64,
    samples: u32,
}

impl PrefillRate {
    /// Learns that `tokens` took so long from sending to the first token.
    ///
    /// One sample moves the rate only a little, so that a request which met
    /// work unseen at its sending does not make an engine look slow.
    pub fn record_sample(&mut self, tokens: u64, took: Duration) {
        let sample = tokens as f64 / took.as_secs_f64().max(0.001);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean = sample;
            return;
        }
        let held = sample.clamp(self.mean / RATE_STEP, self.mean * RATE_STEP);
        self.mean += RATE_WEIGHT * (held - self.mean);
    }

    /// Returns the rate in tokens a second, once there are samples enough.
    pub fn tokens_per_second(&self) -> Option<f64> {
        (self.samples >= RATE_SAMPLES).then_some(self.mean)
    }
}
