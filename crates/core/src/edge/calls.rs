//! The choice of a target for a call at a service that has no cost model.
//!
//! Calls that look alike may take milliseconds or seconds. Where that is known, a call goes to
//! the target that is expected to answer first, by what its calls are expected to take still;
//! else to the one with the fewest calls per slot.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::load::Load;
use crate::edge::placement::{Candidate, Placement, PlacementRequest};

/// Chooses a target, or none if no target has a free slot.
pub fn choose(
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Placement> {
    match request.work {
        Some(work) => choose_by_work(request, work, candidates, load, now),
        None => choose_by_count(request, candidates, load, now),
    }
}

/// Returns the time until a call would be answered by a target, `None` if it has no free slot.
fn expected_time(
    work: Duration,
    candidate: &Candidate<'_>,
    load: &Load,
    now: Instant,
) -> Option<f64> {
    let target = candidate.target;
    let used = load.predict(&target.id, None, now).requests;
    let slots = target.slots.max(1);
    let remaining = load.remaining_work(&target.id, candidate.slowdown, now).as_secs_f64();
    let own = work.as_secs_f64() * candidate.slowdown;
    let time = own + remaining / f64::from(slots) + candidate.extra_latency.as_secs_f64();
    (used < slots as usize).then_some(time)
}

/// Chooses the target that is expected to answer first, by what is known of its calls and speed.
fn choose_by_work(
    request: &PlacementRequest,
    work: Duration,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Placement> {
    let timed = candidates.iter().filter_map(|c| Some((expected_time(work, c, load, now)?, c)));
    let (time, best) = timed.min_by(|a, b| a.0.total_cmp(&b.0))?;
    // Waiting does not help a call that takes longer than its time limit by itself.
    let hopeless = work >= request.time_left;
    let time = Duration::from_secs_f64(time);
    let first_event = if hopeless { time.min(request.time_left) } else { time };
    Some(Placement {
        target: Arc::clone(best.target),
        helpers: Vec::new(),
        memory_tokens: 0,
        first_event,
        loss: 0.0,
        interference: 0.0,
    })
}

/// Chooses the target with the fewest requests per slot.
fn choose_by_count(
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Placement> {
    let scored = candidates.iter().filter_map(|c| {
        let used = load.predict(&c.target.id, None, now).requests;
        let free = used < c.target.slots as usize;
        let share = used as f64 / f64::from(c.target.slots.max(1));
        free.then_some((
            share * c.slowdown + c.extra_latency.as_secs_f64() * 20.0 + (c.slowdown - 1.0) * 0.3,
            c,
        ))
    });
    let (_, best) = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
    let target = Arc::clone(best.target);
    Some(Placement {
        target,
        helpers: Vec::new(),
        memory_tokens: 0,
        first_event: request.time_left / 4,
        loss: 0.0,
        interference: 0.0,
    })
}
