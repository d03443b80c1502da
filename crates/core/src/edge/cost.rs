//! Cost model of an engine: how long prefill and decoding take.
//!
//! An engine works in passes. A pass with requests in decoding runs `stride` token
//! steps and processes waiting prompts between them, up to `chunk` tokens a step.
//! Prefill in a pass delays the next event of all requests in decoding, so a long
//! prompt makes streams on the same engine pause.

use std::time::Duration;

use crate::figure::millis;

/// Cost model of one kind of engine, as configured by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory_tokens: u64,
    /// Time of one token step without requests in decoding.
    pub step_ms: f64,
    /// Additional time of a step for each request in decoding.
    pub request_ms: f64,
    /// Additional time of a step for each 1,000 tokens of context.
    pub context_ms: f64,
    /// Prompt tokens processed in a millisecond.
    pub tokens_per_ms: f64,
    /// Attention time for a million pairs of a token and an earlier one.
    pub pairs_ms: f64,
    /// Most prompt tokens processed in one step.
    pub chunk: u32,
    /// Token steps of a pass with requests in decoding.
    pub stride: u32,
    /// Additional time of a step for a prompt that is split over several engines.
    pub hop_ms: f64,
    /// Mean length of a prompt, in tokens.
    pub mean_prompt: f64,
    /// Mean length of an answer, in tokens.
    pub mean_answer: f64,
}

impl Engine {
    /// Returns the prefill time of `tokens` that are split into `parts` even parts.
    pub fn prefill_time(&self, tokens: u64, parts: u32) -> Duration {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        let steps = (tokens / f64::from(self.chunk.max(1))).ceil();
        let whole =
            tokens / self.tokens_per_ms.max(1.0) + pairs * self.pairs_ms + steps * self.step_ms;
        millis(whole / f64::from(parts.max(1)))
    }

    /// Returns the time of one pass with `decoding` requests, without prefill.
    pub fn pass_time(&self, decoding: usize, context: u64) -> Duration {
        let step = self.step_ms
            + self.request_ms * decoding as f64
            + self.context_ms * context as f64 / 1000.0;
        millis(step * f64::from(self.stride.max(1)))
    }

    /// Returns the time to decode `tokens` while `decoding` requests hold `context` tokens.
    pub fn decode_time(&self, tokens: u64, decoding: usize, context: u64) -> Duration {
        let passes = tokens as f64 / f64::from(self.stride.max(1));
        self.pass_time(decoding, context).mul_f64(passes.max(1.0))
    }
}
