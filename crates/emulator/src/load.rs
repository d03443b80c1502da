//! Who asks for what, and when: a seeded list of calls.

use std::time::Duration;

use mimosapass_core::edge::cost::Engine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use crate::pattern::Pattern;

/// Availability zones of callers, instances and engines.
pub const ZONES: usize = 3;

/// A kind of request. Lengths are log-normal.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Share of all requests.
    pub share: f64,
    /// Time to the first event that was promised, in milliseconds.
    pub goal_ms: u64,
    /// Longest pause between events that is on time, in milliseconds.
    pub max_gap_ms: u64,
    /// Time limit of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Worth of a mean answer on time.
    pub worth: f64,
    /// Worth of one that is late.
    pub late_worth: f64,
    /// Tokens of a prompt: mean, spread of the logarithm, most.
    pub prompt: (f64, f64, f64),
    /// Events of an answer: mean, spread of the logarithm, most.
    pub events: (f64, f64, f64),
}

/// Chats, summaries and reviews in the proportions of the users' sheets.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "chat",
        share: 0.907,
        goal_ms: 300,
        max_gap_ms: 200,
        timeout_ms: 10_000,
        worth: 1.3,
        late_worth: 0.33,
        prompt: (5_000.0, 0.9, 24_000.0),
        events: (35.0, 0.7, 90.0),
    },
    Kind {
        name: "summary",
        share: 0.066,
        goal_ms: 1_500,
        max_gap_ms: 500,
        timeout_ms: 10_000,
        worth: 3.1,
        late_worth: 0.79,
        prompt: (45_000.0, 0.5, 110_000.0),
        events: (21.0, 0.6, 52.0),
    },
    Kind {
        name: "review",
        share: 0.027,
        goal_ms: 3_000,
        max_gap_ms: 800,
        timeout_ms: 15_000,
        worth: 22.0,
        late_worth: 5.4,
        prompt: (210_000.0, 0.55, 1_000_000.0),
        events: (17.0, 0.5, 44.0),
    },
];

/// Requests a second for each engine at load 1.
pub const RATE_PER_ENGINE: f64 = 2.4;

/// Cost model of the engines: a token step takes about a millisecond.
pub const COST: Engine = Engine {
    slots: 16,
    memory: 450_000,
    step_ms: 0.925,
    request_ms: 0.005,
    context_ms: 0.002_5,
    tokens_per_ms: 256.0,
    pairs_ms: 0.092,
    chunk: 2_048,
    stride: 46,
    hop_ms: 0.1,
    mean_prompt: 13_000.0,
    mean_answer: 1_500.0,
};

/// One call.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// When its first attempt comes, from the start.
    pub at: Duration,
    /// Index of its kind.
    pub kind: usize,
    /// Zone of its caller.
    pub zone: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Events of its answer.
    pub events: u32,
    /// When its caller leaves early, after it came.
    pub leave_after: Option<Duration>,
    /// Times that its caller returns.
    pub retries: u32,
    /// Whether the caller returns at once instead of when it was told.
    pub ignores_wait: bool,
}

impl Call {
    /// Returns what an answer is worth, on time or late.
    pub fn worth(&self, on_time: bool) -> f64 {
        let kind = &KINDS[self.kind];
        let size = 0.3 + 0.7 * self.prompt as f64 / kind.prompt.0;
        size.min(4.0) * if on_time { kind.worth } else { kind.late_worth }
    }
}

/// Returns a number of the log-normal distribution with this mean, spread and most.
fn sample_length((mean, spread, most): (f64, f64, f64), rng: &mut StdRng) -> f64 {
    let middle = mean.ln() - spread * spread / 2.0;
    let drawn = LogNormal::new(middle, spread).expect("the spread is finite").sample(rng);
    drawn.clamp(1.0, most)
}

/// Builds the calls of a pattern.
pub fn calls(pattern: &Pattern, seed: u64) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for (index, kind) in KINDS.iter().enumerate() {
        for zone in 0..ZONES {
            let base =
                pattern.load * RATE_PER_ENGINE * pattern.engines as f64 * kind.share / ZONES as f64;
            let most = base * pattern.max_factor(index, zone);
            let next = |rng: &mut StdRng| -(1.0 - rng.random::<f64>()).ln() / most;
            let mut at = next(&mut rng);
            while at < pattern.duration.as_secs_f64() {
                let now = Duration::from_secs_f64(at);
                if rng.random::<f64>() * most < base * pattern.rate_factor(index, zone, now) {
                    calls.push(call(pattern, index, zone, now, &mut rng));
                }
                at += next(&mut rng);
            }
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn call(pattern: &Pattern, index: usize, zone: usize, at: Duration, rng: &mut StdRng) -> Call {
    let kind = &KINDS[index];
    let leaves = rng.random::<f64>() < pattern.leave_share;
    let early = rng.random_range(0.1..1.0) * kind.goal_ms as f64 / 1_000.0;
    let ignores_wait = rng.random::<f64>() < pattern.abuse_share;
    Call {
        at,
        kind: index,
        zone,
        prompt: sample_length(kind.prompt, rng) as u64,
        events: sample_length(kind.events, rng) as u32,
        leave_after: leaves.then(|| Duration::from_secs_f64(early)),
        retries: if ignores_wait { 4 } else { 1 },
        ignores_wait,
    }
}
