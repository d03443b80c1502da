//! Estimate of a prompt's length from its bytes, learned from usage reports.

use std::collections::BTreeMap;

use crate::ids::ModelId;

/// Bytes per token before any usage report came.
const START: f64 = 4.0;
/// Weight of a new sample in the running mean.
const WEIGHT: f64 = 0.05;
/// Range of a believable ratio, in bytes per token.
const RANGE: (f64, f64) = (0.5, 16.0);

/// Learned bytes per token of each model.
#[derive(Clone, Debug, Default)]
pub struct Ratios {
    by_model: BTreeMap<ModelId, f64>,
}

impl Ratios {
    /// Returns the estimated tokens of `bytes` of prompt, at least 1.
    pub fn tokens(&self, model: &str, bytes: usize) -> u64 {
        let ratio = self.by_model.get(model).copied().unwrap_or(START);
        ((bytes as f64 / ratio).ceil() as u64).max(1)
    }

    /// Learns from a usage report: `bytes` of prompt were `tokens` tokens.
    pub fn learn(&mut self, model: &ModelId, bytes: usize, tokens: u64) {
        if tokens == 0 || bytes == 0 {
            return;
        }
        let sample = (bytes as f64 / tokens as f64).clamp(RANGE.0, RANGE.1);
        let ratio = self.by_model.entry(ModelId::clone(model)).or_insert(START);
        *ratio += WEIGHT * (sample - *ratio);
    }
}
