//! Run time of one placement decision over many engines.

use std::hint::black_box;
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::{Fleet, Target};
use mimosapass_core::edge::load::{Assignment, Load, RequestNumber};
use mimosapass_core::edge::order::{Excluded, Lineup, Member, Turn};
use mimosapass_core::edge::placement::{Candidate, PlacementRequest, choose, is_long};

use crate::load::COST;
use crate::simulation::engine_target;

/// Number of timed decisions.
const DECISIONS: u32 = 20_000;
/// Decoding requests on each busy engine; every third engine is idle.
const DECODING_PER_ENGINE: u64 = 8;
/// Shortest allowed gap between events of any stream.
const STRICTEST_GAP: Duration = Duration::from_millis(200);

/// Returns the mean time of one decision for a prompt, over `engines` engines.
pub fn mean_decision_time(engines: usize, prompt: u64) -> Duration {
    let now = Instant::now();
    let targets: Vec<_> = (0..engines).map(|i| std::sync::Arc::new(engine_target(i))).collect();
    let mut load = Load::default();
    for (i, target) in targets.iter().enumerate().filter(|(i, _)| i % 3 > 0) {
        for n in 0..DECODING_PER_ENGINE {
            let assignment = Assignment {
                prompt: 5_000,
                parts: 1,
                answering: true,
                memory_tokens: 6_500,
                answer: 1_500,
                max_gap: STRICTEST_GAP,
                value: 1.5,
                work: Duration::ZERO,
                sent_at: now,
                decoding_since: Some(now),
            };
            load.begin(
                &target.id,
                i as RequestNumber * DECODING_PER_ENGINE + n,
                assignment,
                Some(&COST),
            );
        }
    }
    let request = PlacementRequest {
        work: None,
        prompt,
        answer: 800,
        value: 1.0 + prompt as f64 / 10_000.0,
        time_left: Duration::from_millis(if prompt < 10_000 { 300 } else { 3_000 }),
        long: is_long(&COST, prompt, STRICTEST_GAP),
        whole: false,
    };
    let mut fleet = Fleet::default();
    for target in &targets {
        fleet.report(Target::clone(target));
    }
    let lineup =
        Lineup::new(&fleet, &targets[0].service, "z0", Turn::default(), &Excluded::default());
    let candidates: Vec<Candidate<'_>> = lineup
        .members(request.long)
        .iter()
        .map(|Member { target, position }| Candidate {
            target,
            slowdown: 1.0,
            extra_latency: Duration::ZERO,
            position: *position,
        })
        .collect();
    let started = Instant::now();
    for _ in 0..DECISIONS {
        black_box(choose(&request, Some(&COST), &candidates, &load, now));
    }
    started.elapsed() / DECISIONS
}
