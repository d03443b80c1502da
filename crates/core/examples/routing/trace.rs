//! Seeded traces of requests.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engine::{CHUNK_TOKENS, DECODE_TOKEN_SECS, STEP_BASE_SECS, prefill_seconds};

/// Longest prompt of the short band, in tokens.
pub const MAX_SHORT_TOKENS: u64 = 8_000;
/// Shortest prompt that counts as long, in tokens.
pub const MIN_LONG_TOKENS: u64 = 100_000;
/// Share of requests that repeat most of an earlier prompt.
const REPEAT_SHARE: f64 = 0.25;
/// Share of the earlier prompt that is repeated.
const REPEATED_PREFIX_SHARE: f64 = 0.8;
/// Number of recent prompts from which a repeated one is chosen.
const RECENT_PROMPTS: usize = 200;

/// A class of requests as operators configure it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub priority: u8,
    pub promise: Duration,
    pub deadline: Duration,
}

/// A part of a mix: prompts between two lengths, uniform in the logarithm.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    share: f64,
    range: (f64, f64),
    class: usize,
    answer: (u64, u64),
}

/// Mix of requests of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    pub name: &'static str,
    pub classes: &'static [Class],
    parts: &'static [Part],
}

const fn class(priority: u8, promise: u64, deadline: u64) -> Class {
    let (promise, deadline) = (Duration::from_millis(promise), Duration::from_secs(deadline));
    Class { priority, promise, deadline }
}

const fn part(share: f64, range: (f64, f64), class: usize, answer: (u64, u64)) -> Part {
    Part { share, range, class, answer }
}

/// Atlas: chats, summaries of histories, renewal dossiers.
pub const ATLAS: Mix = Mix {
    name: "atlas",
    classes: &[class(80, 1800, 30), class(50, 10_000, 60), class(20, 60_000, 600)],
    parts: &[
        part(0.70, (1e3, 8e3), 0, (50, 400)),
        part(0.26, (8e3, 40e3), 1, (100, 400)),
        part(0.02, (40e3, 100e3), 2, (200, 600)),
        part(0.02, (100e3, 1e6), 2, (200, 800)),
    ],
};

/// Dokaz: doorstep checks of photos, archive reviews.
pub const DOKAZ: Mix = Mix {
    name: "dokaz",
    classes: &[class(90, 1800, 10), class(10, 120_000, 900)],
    parts: &[
        part(0.88, (1e3, 8e3), 0, (10, 60)),
        part(0.05, (8e3, 30e3), 0, (10, 60)),
        part(0.05, (30e3, 100e3), 1, (200, 600)),
        part(0.02, (100e3, 1e6), 1, (300, 900)),
    ],
};

/// One request of a trace.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub at: Duration,
    pub tokens: u64,
    pub answer: u64,
    pub class: usize,
    /// Prefix key; repeats of a prompt share it.
    pub prefix: u64,
    /// Tokens that the prompt shares with earlier ones of the same key.
    pub shared: u64,
    /// Random number of the request.
    pub seed: u64,
}

/// Builds a trace that loads `engines` engines to `load` of their capacity.
pub fn build(mix: &Mix, load: f64, engines: usize, length: Duration, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let sample: Vec<Request> = draw(mix, 20_000, &mut StdRng::seed_from_u64(7));
    let work: f64 = sample.iter().map(engine_time).sum::<f64>() / sample.len() as f64;
    let rate = load * engines as f64 / work;
    let mut trace = draw(mix, (rate * length.as_secs_f64()) as usize, &mut rng);
    let mut at = 0.0;
    for request in &mut trace {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        request.at = Duration::from_secs_f64(at);
    }
    trace
}

/// Returns the engine time of a request without cached prefix, in seconds.
fn engine_time(request: &Request) -> f64 {
    let steps = request.tokens as f64 / CHUNK_TOKENS as f64;
    let prefill = prefill_seconds(0, request.tokens) + steps * STEP_BASE_SECS;
    prefill + request.answer as f64 * DECODE_TOKEN_SECS
}

fn draw(mix: &Mix, count: usize, rng: &mut StdRng) -> Vec<Request> {
    let mut trace: Vec<Request> = Vec::with_capacity(count);
    for i in 0..count {
        let mut request = fresh(mix, rng, i as u64 + 1);
        if i > RECENT_PROMPTS && rng.random::<f64>() < REPEAT_SHARE {
            let old = trace[i - 1 - rng.random_range(0..RECENT_PROMPTS)];
            let shared = (old.tokens as f64 * REPEATED_PREFIX_SHARE) as u64;
            request = Request { shared, at: request.at, seed: request.seed, ..old };
        }
        trace.push(request);
    }
    trace
}

fn fresh(mix: &Mix, rng: &mut StdRng, prefix: u64) -> Request {
    let mut left = rng.random::<f64>();
    let found = mix.parts.iter().find(|p| {
        left -= p.share;
        left < 0.0
    });
    let part = found.unwrap_or(&mix.parts[0]);
    let (low, high) = part.range;
    let tokens = (low * (high / low).powf(rng.random::<f64>())) as u64;
    let answer = rng.random_range(part.answer.0..=part.answer.1);
    let seed = rng.random();
    Request { at: Duration::ZERO, tokens, answer, class: part.class, prefix, shared: 0, seed }
}
