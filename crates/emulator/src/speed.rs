//! Time of one decision over many engines.

use std::hint::black_box;
use std::time::{Duration, Instant};

use mimosapass_core::edge::load::{Assignment, Load, RequestNumber};
use mimosapass_core::edge::place::{Candidate, PlacementRequest, choose, is_long};

use crate::load::COST;
use crate::world::site;

/// Decisions that are timed.
const COUNT: u32 = 20_000;
/// Requests that write at each engine; every third engine is idle.
const WRITERS: u64 = 8;
/// Longest pause between events of the strictest streams.
const STRICT: Duration = Duration::from_millis(200);

/// Returns the mean time of one decision for a prompt, over `engines` engines.
pub fn decision(engines: usize, prompt: u64) -> Duration {
    let now = Instant::now();
    let targets: Vec<_> = (0..engines).map(|i| std::sync::Arc::new(site(i))).collect();
    let mut load = Load::default();
    for (i, target) in targets.iter().enumerate().filter(|(i, _)| i % 3 > 0) {
        for writer in 0..WRITERS {
            let work = Assignment {
                prompt: 5_000,
                parts: 1,
                answering: true,
                memory: 6_500,
                answer: 1_500,
                max_gap: STRICT,
                value: 1.5,
                sent_at: now,
                decoding_since: Some(now),
            };
            load.begin(&target.id, i as RequestNumber * WRITERS + writer, work, Some(&COST));
        }
    }
    let candidates: Vec<Candidate<'_>> = targets
        .iter()
        .map(|target| Candidate { target, slowdown: 1.0, extra_latency: Duration::ZERO })
        .collect();
    let ask = PlacementRequest {
        prompt,
        answer: 800,
        worth: 1.0 + prompt as f64 / 10_000.0,
        time_left: Duration::from_millis(if prompt < 10_000 { 300 } else { 3_000 }),
        long: is_long(&COST, prompt, STRICT),
    };
    let begun = Instant::now();
    for _ in 0..COUNT {
        black_box(choose(&ask, Some(&COST), &candidates, &load, now));
    }
    begun.elapsed() / COUNT
}
