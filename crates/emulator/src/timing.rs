//! Time of one decision over many engines.

use std::hint::black_box;
use std::time::{Duration, Instant};

use mimosapass_core::edge::load::{Assignment, Load, RequestNumber};
use mimosapass_core::edge::place::{Candidate, PlacementRequest, choose, is_long};

use crate::load::COST;
use crate::simulation::engine_target;

/// Decisions that are timed.
const DECISIONS: u32 = 20_000;
/// Requests that write at each engine; every third engine is idle.
const DECODING_PER_ENGINE: u64 = 8;
/// Longest pause between events of the strictest streams.
const STRICTEST_GAP: Duration = Duration::from_millis(200);

/// Returns the mean time of one decision for a prompt, over `engines` engines.
pub fn mean_decision_time(engines: usize, prompt: u64) -> Duration {
    let now = Instant::now();
    let targets: Vec<_> = (0..engines).map(|i| std::sync::Arc::new(engine_target(i))).collect();
    let mut load = Load::default();
    for (i, target) in targets.iter().enumerate().filter(|(i, _)| i % 3 > 0) {
        for request in 0..DECODING_PER_ENGINE {
            let work = Assignment {
                prompt: 5_000,
                parts: 1,
                answering: true,
                memory: 6_500,
                answer: 1_500,
                max_gap: STRICTEST_GAP,
                value: 1.5,
                sent_at: now,
                decoding_since: Some(now),
            };
            load.begin(
                &target.id,
                i as RequestNumber * DECODING_PER_ENGINE + request,
                work,
                Some(&COST),
            );
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
        long: is_long(&COST, prompt, STRICTEST_GAP),
    };
    let begun = Instant::now();
    for _ in 0..DECISIONS {
        black_box(choose(&ask, Some(&COST), &candidates, &load, now));
    }
    begun.elapsed() / DECISIONS
}
