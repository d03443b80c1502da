//! Kinds of request, and the seeded list of calls of a pattern.

use std::time::Duration;

use mimosapass_core::edge::cost::Engine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use crate::pattern::Pattern;

/// Availability zones of callers, instances and engines.
pub const ZONES: usize = 3;

/// A kind of request, with log-normally distributed lengths.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Share of all requests.
    pub share: f64,
    /// Target for the time to the first event, in milliseconds.
    pub goal_ms: u64,
    /// Longest gap between events that counts as on time, in milliseconds.
    pub max_gap_ms: u64,
    /// Time limit of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Worth of an answer on time to a prompt of mean length.
    pub worth: f64,
    /// Worth of a late one.
    pub late_worth: f64,
    /// Tokens of a prompt: mean, standard deviation of the logarithm, maximum.
    pub prompt: (f64, f64, f64),
    /// Events of an answer: mean, standard deviation of the logarithm, maximum.
    pub events: (f64, f64, f64),
}

/// Chats, summaries and reviews in the proportions that the users state.
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

/// Requests per second and engine at load 1.
pub const RATE_PER_ENGINE: f64 = 2.4;

/// Cost model of the engines: a token step takes about a millisecond.
pub const COST: Engine = Engine {
    slots: 16,
    memory_tokens: 450_000,
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

/// One call, which its caller may repeat.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Time of its first arrival, from the start of the run.
    pub at: Duration,
    /// Index of its kind.
    pub kind: usize,
    /// Zone of its caller.
    pub zone: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Events of its answer.
    pub events: u32,
    /// Time after the first arrival at which the caller leaves early, if it does.
    pub leave_after: Option<Duration>,
    /// How often its caller may retry.
    pub retries: u32,
    /// Whether the caller retries at once, ignoring the stated wait.
    pub ignores_wait: bool,
}

impl Call {
    /// Returns the worth of an answer; it grows with the prompt up to a limit.
    pub fn worth(&self, on_time: bool) -> f64 {
        let kind = &KINDS[self.kind];
        let size = 0.3 + 0.7 * self.prompt as f64 / kind.prompt.0;
        size.min(4.0) * if on_time { kind.worth } else { kind.late_worth }
    }
}

/// Draws from the log-normal distribution of (mean, sigma of the logarithm, maximum).
fn sample_length((mean, sigma, max): (f64, f64, f64), rng: &mut StdRng) -> f64 {
    let mu = mean.ln() - sigma * sigma / 2.0;
    let drawn = LogNormal::new(mu, sigma).expect("sigma is finite").sample(rng);
    drawn.clamp(1.0, max)
}

/// Returns the calls of a pattern, by time.
///
/// Arrivals are drawn at the highest rate and thinned to the rate of the moment.
pub fn calls(pattern: &Pattern, seed: u64) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for (index, kind) in KINDS.iter().enumerate() {
        for zone in 0..ZONES {
            let base =
                pattern.load * RATE_PER_ENGINE * pattern.engines as f64 * kind.share / ZONES as f64;
            let max_rate = base * pattern.max_factor(index, zone);
            let next = |rng: &mut StdRng| -(1.0 - rng.random::<f64>()).ln() / max_rate;
            let mut at = next(&mut rng);
            while at < pattern.duration.as_secs_f64() {
                let now = Duration::from_secs_f64(at);
                if rng.random::<f64>() * max_rate < base * pattern.rate_factor(index, zone, now) {
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
