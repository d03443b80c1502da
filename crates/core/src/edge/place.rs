//! The choice of a target for one request.
//!
//! A place is judged by what it costs callers: the chance that this request
//! misses its promise there, and the pauses that reading its prompt causes in
//! the answers that the target is writing. Answers the load pattern in which
//! short prompts with strict pauses run beside prompts of a million tokens:
//! long prompts go to targets without strict writers, or are read in parts by
//! several targets; short ones fill targets that already write, so that others
//! stay empty for long ones. A long prompt or a part of one goes only to targets
//! without unread prompts: parts are read before whole prompts, so they would take
//! the promise of the short ones that wait there.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::cost::Engine;
use crate::edge::fleet::Target;
use crate::edge::load::{Load, Prediction};

/// Share of a promise from which on a prediction counts as uncertain: the first
/// event still needs the way back and the rest of a pass that is under way.
const SAFE: f64 = 0.75;
/// Share of the strictest pause from which on reading a prompt counts as long: the
/// rest is for the token steps of the pass and for what else it reads.
const LONG: f64 = 0.6;
/// Share of an answer's worth that is lost when it is late.
const LATE: f64 = 0.75;
/// Part of an engine's memory that is counted on; requests of which this instance
/// does not know yet take some.
const ROOM: f64 = 0.9;
/// Time to read from which on a target counts as having a backlog: two passes.
pub const MIN_BACKLOG: Duration = Duration::from_millis(100);
/// Most even parts in which a prompt is read.
pub const MAX_PARTS: u32 = 16;
/// Worth of the whole order of targets, against that of a mean answer: short
/// prompts take targets from its front and long ones from its back.
const ORDER: f64 = 0.4;
/// Weight of pauses that others bear against this request's own promise. A
/// target with strict writers that reads long prompts drives the next short
/// ones to other targets, where they are in the way of the next long one.
const HARM: f64 = 2.0;
/// Share of an answer's worth that a whole promise's time costs.
const HURRY: f64 = 0.02;
/// Worth of one millisecond of an engine's time, against that of a mean answer.
const BUSY_MS: f64 = 0.000_2;

/// What the choice needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Tokens of the prompt; 0 at a service.
    pub prompt: u64,
    /// Tokens that the answer is expected to have.
    pub answer: u64,
    /// What an answer on time is worth, against that of a mean answer.
    pub worth: f64,
    /// Time from now in which the first event is on time.
    pub time_left: Duration,
    /// Whether reading the whole prompt makes the strictest streams pause too long.
    pub long: bool,
}

/// A target that may serve a request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Target.
    pub target: &'a Arc<Target>,
    /// Factor by which it is slower than its peers, 1 or more.
    pub slowdown: f64,
    /// Additional time on the way to it.
    pub extra_latency: Duration,
}

/// A target that reads a part of a prompt.
#[derive(Clone, Debug)]
pub struct Helper {
    /// Target.
    pub target: Arc<Target>,
    /// Tokens of the prompt that it keeps until the answer is written; 0 for none.
    pub kept_tokens: u64,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Target that answers.
    pub target: Arc<Target>,
    /// Targets that read a part of the prompt.
    pub helpers: Vec<Helper>,
    /// Tokens of memory that the answering target needs.
    pub memory: u64,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Predicted loss of worth: of this request and of those that it delays.
    pub loss: f64,
    /// Part of the loss that others bear.
    pub interference: f64,
}

/// Returns the worth that is lost when `time` of an allowed `limit` is needed.
fn missed(worth: f64, time: Duration, limit: Duration) -> f64 {
    let limit = limit.as_secs_f64();
    if limit <= 0.0 {
        return worth * LATE;
    }
    let used = time.as_secs_f64() / limit;
    worth * LATE * ((used - SAFE) / (1.0 - SAFE)).clamp(0.0, 1.0)
}

/// Returns what a longer `time` costs even where the promise holds: targets that
/// are done sooner are free sooner for what comes next.
fn hurry(ask: &PlacementRequest, time: Duration) -> f64 {
    ask.worth * HURRY * time.as_secs_f64() / ask.time_left.as_secs_f64().max(0.1)
}

/// Returns whether reading a whole prompt makes streams pause longer than they may.
pub fn is_long(engine: &Engine, prompt: u64, strictest: Duration) -> bool {
    engine.prefill_time(prompt, 1) + engine.pass_time(1, prompt) > strictest.mul_f64(LONG)
}

/// Chooses the best place for a request, or `None` when no target has room.
///
/// `candidates` stand in the order of their identifiers, which all instances share.
pub fn choose(
    ask: &PlacementRequest,
    engine: Option<&Engine>,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Placement> {
    match engine {
        Some(engine) => choose_engine(ask, engine, candidates, load, now),
        None => choose_service(ask, candidates, load, now),
    }
}

/// Chooses the target with the fewest requests for each of its slots.
fn choose_service(
    ask: &PlacementRequest,
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
        memory: 0,
        first_event: ask.time_left / 4,
        loss: 0.0,
        interference: 0.0,
    })
}

/// What one target promises for a request.
struct Prospect<'a> {
    candidate: &'a Candidate<'a>,
    outlook: Prediction,
    /// Cost of its place in the common order.
    order: f64,
    /// Time until the target begins to read this prompt.
    wait: Duration,
    /// Time until the pass under way ends.
    residual: Duration,
}

fn choose_engine(
    ask: &PlacementRequest,
    engine: &Engine,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Placement> {
    let count = candidates.len() as f64;
    let options: Vec<Prospect<'_>> = candidates
        .iter()
        .enumerate()
        .map(|(i, candidate)| {
            let outlook = load.predict(&candidate.target.id, Some(engine), now);
            let residual = if outlook.decoding > 0 {
                engine
                    .pass_time(outlook.decoding, outlook.context_tokens)
                    .mul_f64(candidate.slowdown)
                    / 2
            } else {
                Duration::ZERO
            };
            let wait = outlook.prefill_time.mul_f64(candidate.slowdown) + residual;
            let position = (i as f64 + 0.5) / count;
            let order = ORDER * if ask.long { 1.0 - position } else { position };
            Prospect { candidate, outlook, order, wait, residual }
        })
        .collect();
    let mut best = alone(ask, engine, &options, load);
    if ask.long {
        for parts in [2, 3, 4, 6, 8, 12, MAX_PARTS] {
            if let Some(place) = joined(ask, engine, &options, load, parts)
                && best.as_ref().is_none_or(|b| place.loss < b.loss)
            {
                best = Some(place);
            }
        }
    }
    best
}

fn fits(ask: &PlacementRequest, engine: &Engine, option: &Prospect<'_>) -> bool {
    let slots = option.candidate.target.slots.min(engine.slots.max(1)) as usize;
    option.outlook.requests < slots
        && option.outlook.memory_tokens + ask.prompt + ask.answer <= engine.memory
}

/// Judges each target as the only one that reads the prompt.
fn alone(
    ask: &PlacementRequest,
    engine: &Engine,
    options: &[Prospect<'_>],
    load: &Load,
) -> Option<Placement> {
    let free = |o: &&Prospect<'_>| !ask.long || o.outlook.prefilling == 0;
    let fitting = options.iter().filter(|o| fits(ask, engine, o)).filter(free);
    let places = fitting.map(|option| {
        let read = engine.prefill_time(ask.prompt, 1).mul_f64(option.candidate.slowdown);
        let outlook = &option.outlook;
        let pass = next_pass(engine, outlook, ask).mul_f64(option.candidate.slowdown);
        let first = option.wait + read + pass + option.candidate.extra_latency;
        let harm = harm(option, engine, load, read);
        let loss = missed(ask.worth, first, ask.time_left)
            + harm
            + option.order
            + hurry(ask, first)
            + first.as_secs_f64() * 1000.0 * BUSY_MS;
        Placement {
            target: Arc::clone(option.candidate.target),
            helpers: Vec::new(),
            memory: ask.prompt + ask.answer,
            first_event: first,
            loss,
            interference: harm,
        }
    });
    places.min_by(|a, b| a.loss.total_cmp(&b.loss))
}

/// Judges the `parts` best targets as readers of one part each.
fn joined(
    ask: &PlacementRequest,
    engine: &Engine,
    options: &[Prospect<'_>],
    load: &Load,
    parts: u32,
) -> Option<Placement> {
    let read = engine.prefill_time(ask.prompt, parts);
    let mut rows: Vec<(f64, f64, &Prospect<'_>)> = options
        .iter()
        .filter(|o| o.outlook.requests < o.candidate.target.slots as usize)
        .filter(|o| o.outlook.prefilling == 0)
        .map(|o| {
            let read = read.mul_f64(o.candidate.slowdown);
            let harm = harm(o, engine, load, read);
            let time = o.residual + read;
            (o.order + harm + hurry(ask, time) + missed(ask.worth, time, ask.time_left), harm, o)
        })
        .collect();
    if rows.len() < parts as usize {
        return None;
    }
    rows.sort_by(|a, b| a.0.total_cmp(&b.0));
    rows.truncate(parts as usize);
    let (answering, keeps) = memory(ask, engine, &rows)?;
    let (_, answering_harm, first) = rows.remove(answering);
    let kept: u64 = keeps.iter().sum();
    let slowest =
        rows.iter().map(|(_, _, o)| o.residual).max().unwrap_or_default().max(first.residual);
    let pace = rows.iter().map(|r| r.2.candidate.slowdown).fold(first.candidate.slowdown, f64::max);
    let harm = rows.iter().map(|r| r.1).sum::<f64>() + answering_harm;
    let order = rows.iter().map(|r| r.2.order).sum::<f64>() + first.order;
    let order = order / f64::from(parts);
    let pass = next_pass(engine, &first.outlook, ask).mul_f64(first.candidate.slowdown);
    let time = slowest + read.mul_f64(pace) + pass + first.candidate.extra_latency;
    let busy = read.as_secs_f64() * 1000.0 * f64::from(parts) * BUSY_MS;
    Some(Placement {
        target: Arc::clone(first.candidate.target),
        helpers: std::iter::zip(&rows, keeps)
            .map(|(r, keeps)| Helper {
                target: Arc::clone(r.2.candidate.target),
                kept_tokens: keeps,
            })
            .collect(),
        memory: ask.prompt + ask.answer - kept,
        first_event: time,
        loss: missed(ask.worth, time, ask.time_left) + hurry(ask, time) + harm + order + busy,
        interference: harm,
    })
}

/// Returns the time of the pass that ends with the first event. Where nobody
/// else writes, the first event follows the prompt at once.
fn next_pass(engine: &Engine, outlook: &Prediction, ask: &PlacementRequest) -> Duration {
    match outlook.decoding {
        0 => Duration::ZERO,
        writers => engine.pass_time(writers + 1, outlook.context_tokens + ask.prompt),
    }
}

/// Chooses the row that answers, and what each of the others has to keep for it.
///
/// Answers prompts that need more memory than one engine has or has left: the
/// engine with most room answers, and those with most room after it keep the rest.
fn memory(
    ask: &PlacementRequest,
    engine: &Engine,
    rows: &[(f64, f64, &Prospect<'_>)],
) -> Option<(usize, Vec<u64>)> {
    if let Some(whole) = rows.iter().position(|(_, _, o)| fits(ask, engine, o)) {
        return Some((whole, vec![0; rows.len() - 1]));
    }
    let room = |o: &Prospect<'_>| {
        let usable = (engine.memory as f64 * ROOM) as u64;
        usable.saturating_sub(o.outlook.memory_tokens)
    };
    let answering = (0..rows.len()).max_by_key(|i| room(rows[*i].2))?;
    let mut lacking = (ask.prompt + ask.answer).saturating_sub(room(rows[answering].2));
    let others: Vec<u64> =
        rows.iter().enumerate().filter(|(i, _)| *i != answering).map(|(_, r)| room(r.2)).collect();
    let mut order: Vec<usize> = (0..others.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(others[*i]));
    let mut keeps = vec![0; others.len()];
    for i in order {
        keeps[i] = lacking.min(others[i]);
        lacking -= keeps[i];
    }
    (lacking == 0).then_some((answering, keeps))
}

/// Returns the worth that the writers of a target lose while it reads for `read` more.
fn harm(option: &Prospect<'_>, engine: &Engine, load: &Load, read: Duration) -> f64 {
    let outlook = &option.outlook;
    if outlook.decoding == 0 {
        return 0.0;
    }
    let pass = engine
        .pass_time(outlook.decoding, outlook.context_tokens)
        .mul_f64(option.candidate.slowdown);
    let unread = if outlook.prefilling == 0 { Duration::ZERO } else { outlook.prefill_time };
    let pause = pass + unread + read;
    // Most targets have no writer that would notice.
    if outlook.min_gap.is_none_or(|gap| pause <= gap.mul_f64(SAFE)) {
        return 0.0;
    }
    let writers =
        load.assignments(&option.candidate.target.id).filter(|w| w.decoding_since.is_some());
    HARM * writers.filter(|w| w.answering).map(|w| missed(w.value, pause, w.max_gap)).sum::<f64>()
}
