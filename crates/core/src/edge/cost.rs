//! Cost model of an engine: how long it reads a prompt and writes tokens.
//!
//! An engine works in passes. A pass with writers runs `stride` token steps,
//! and reads waiting prompts between them, up to `chunk` tokens a step. What
//! it reads in a pass delays the next event of all its writers, so a long
//! prompt beside short streams makes them pause.

use std::time::Duration;

/// Cost model of one kind of engine, as its operator states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
    /// Time of one token step without writers, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step for each writer, in milliseconds.
    pub request_ms: f64,
    /// Additional time of a step for each 1,000 tokens of context, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// Time for a million pairs of a token and an earlier one, in milliseconds.
    pub pairs_ms: f64,
    /// Most tokens read in one step.
    pub chunk: u32,
    /// Token steps of a pass that has writers.
    pub stride: u32,
    /// Additional time of a step for a prompt that several engines read, in milliseconds.
    pub hop_ms: f64,
    /// Mean length of a prompt, in tokens.
    pub mean_prompt: f64,
    /// Mean length of an answer, in tokens.
    pub mean_answer: f64,
}

impl Engine {
    /// Returns the time to read `tokens` of a prompt in `parts` even parts.
    pub fn prefill_time(&self, tokens: u64, parts: u32) -> Duration {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        let steps = (tokens / f64::from(self.chunk.max(1))).ceil();
        let whole =
            tokens / self.tokens_per_ms.max(1.0) + pairs * self.pairs_ms + steps * self.step_ms;
        millis(whole / f64::from(parts.max(1)))
    }

    /// Returns the time of the token steps in one pass with `writers`, without reading.
    pub fn pass_time(&self, writers: usize, context: u64) -> Duration {
        let step = self.step_ms
            + self.request_ms * writers as f64
            + self.context_ms * context as f64 / 1000.0;
        millis(step * f64::from(self.stride.max(1)))
    }

    /// Returns the time to write `tokens` beside `writers` with `context` in all.
    pub fn decode_time(&self, tokens: u64, writers: usize, context: u64) -> Duration {
        let passes = tokens as f64 / f64::from(self.stride.max(1));
        self.pass_time(writers, context).mul_f64(passes.max(1.0))
    }
}

/// Returns a duration of so many milliseconds; one below zero counts as none.
pub fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}
