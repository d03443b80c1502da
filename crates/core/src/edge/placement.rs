//! The choice of a target for one request.
//!
//! A placement is scored by what it costs callers: the chance that this request is
//! late there, and the pauses that its prefill causes in answers that the target is
//! decoding. Short prompts with strict event gaps run beside prompts of a million
//! tokens. Long prompts therefore go to targets without strict streams, or are split
//! over several targets; short ones fill targets that already decode, so that others
//! stay empty for long ones. A long prompt or a part of one goes only to targets
//! without prompts in prefill: parts are processed before whole prompts, so they would
//! make the short prompts that wait there late.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::calls;
use crate::edge::cost::Engine;
use crate::edge::fleet::Target;
use crate::edge::load::{Load, Prediction};
use crate::edge::order::Position;

/// Share of the time limit from which on a prediction counts as uncertain. The rest
/// covers the way back to the caller and the remainder of the current pass.
const SAFE_SHARE: f64 = 0.75;
/// Share of the smallest allowed gap above which a prompt counts as long. The rest is
/// for the token steps of the pass and for other prompts that it processes.
const LONG_SHARE: f64 = 0.6;
/// Share of an answer's value that is lost when it is late.
const LATE_LOSS: f64 = 0.75;
/// Share of an engine's memory that may be planned; requests that this instance does
/// not know yet take some.
const USABLE_MEMORY: f64 = 0.9;
/// Prefill time above which an engine counts as having a backlog: two passes.
pub const MIN_BACKLOG: Duration = Duration::from_millis(100);
/// Most even parts into which a prompt is split.
pub const MAX_PARTS: u32 = 16;
/// Cost of the least preferred position in the order of targets, relative to the value
/// of a mean answer. Short prompts prefer its front and long ones its back.
const POSITION_COST: f64 = 0.4;
/// Spread of positions in blocks of other schedulers, relative to that in the own block:
/// their front engines are in use, so a place further back is hardly worse.
const OTHER_BLOCK_SPREAD: f64 = 0.25;
/// Weight of pauses in other answers against the lateness of this one. Long prompts on
/// a target with strict streams push the next short prompts to other targets, where
/// they interfere with the next long one.
const INTERFERENCE_WEIGHT: f64 = 2.0;
/// Share of an answer's value that is charged for using the whole time limit.
const TIME_COST: f64 = 0.02;
/// Cost of a millisecond of engine time, relative to the value of a mean answer.
const ENGINE_MS_COST: f64 = 0.000_2;

/// Properties of a request that its placement depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Tokens of the prompt; 0 at a service.
    pub prompt: u64,
    /// Expected tokens of the answer.
    pub answer: u64,
    /// Value of an answer on time, relative to a mean answer.
    pub value: f64,
    /// Expected time of a call at a service; `None` if it is not known.
    pub work: Option<Duration>,
    /// Time from now within which the first event is on time.
    pub time_left: Duration,
    /// Whether prefill of the whole prompt would exceed the smallest allowed gap.
    pub long: bool,
    /// Whether one target is preferred to several, as long as it is on time.
    pub whole: bool,
}

/// A target that may serve a request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Target.
    pub target: &'a Arc<Target>,
    /// Factor by which it takes longer than its peers.
    pub slowdown: f64,
    /// Additional network latency to it.
    pub extra_latency: Duration,
    /// Place in the order in which engines are filled.
    pub position: Position,
}

/// A target that processes a part of a prompt.
#[derive(Clone, Debug)]
pub struct Helper {
    /// Target.
    pub target: Arc<Target>,
    /// Prompt tokens that it keeps in memory until the answer ends; 0 for none.
    pub kept_tokens: u64,
}

/// The targets chosen for a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Target that decodes the answer.
    pub target: Arc<Target>,
    /// Other targets that process a part of the prompt.
    pub helpers: Vec<Helper>,
    /// Memory that the answering target needs, in tokens.
    pub memory_tokens: u64,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Predicted loss of value, of this request and of those that it delays.
    pub loss: f64,
    /// Part of the loss that falls on other requests.
    pub interference: f64,
}

/// Returns the value that is lost when `time` of an allowed `limit` is needed.
fn lateness_loss(value: f64, time: Duration, limit: Duration) -> f64 {
    let limit = limit.as_secs_f64();
    if limit <= 0.0 {
        return value * LATE_LOSS;
    }
    let used = time.as_secs_f64() / limit;
    value * LATE_LOSS * ((used - SAFE_SHARE) / (1.0 - SAFE_SHARE)).clamp(0.0, 1.0)
}

/// Returns the cost of a longer `time` that is still on time: targets that finish
/// sooner are free sooner for the next request.
fn time_cost(request: &PlacementRequest, time: Duration) -> f64 {
    request.value * TIME_COST * time.as_secs_f64() / request.time_left.as_secs_f64().max(0.1)
}

/// Returns whether prefill of the whole prompt makes streams pause too long.
pub fn is_long(engine: &Engine, prompt: u64, min_gap: Duration) -> bool {
    engine.prefill_time(prompt, 1) + engine.pass_time(1, prompt) > min_gap.mul_f64(LONG_SHARE)
}

/// Chooses the best placement for a request, or `None` when no target has room.
///
/// `candidates` are in the order of a [`Lineup`](crate::edge::order::Lineup) for the length
/// of the request.
pub fn choose(
    request: &PlacementRequest,
    engine: Option<&Engine>,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Placement> {
    match engine {
        Some(engine) => choose_engine(request, engine, candidates, load, now),
        None => calls::choose(request, candidates, load, now),
    }
}

/// Predicted state of one candidate.
struct Prospect<'a> {
    candidate: &'a Candidate<'a>,
    prediction: Prediction,
    /// Cost of its position in the common order.
    position_cost: f64,
    /// Time until the target starts on this prompt.
    wait: Duration,
    /// Expected remaining time of the current pass.
    residual: Duration,
}

fn choose_engine(
    request: &PlacementRequest,
    engine: &Engine,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Placement> {
    let prospects = candidates.iter().map(|c| predict(request, engine, c, load, now));
    // A long prompt or a part of one goes only to targets without unread prompts.
    let is_open = |p: &Prospect<'_>| {
        !request.long
            || p.prediction.prefilling == 0
                && p.prediction.requests < p.candidate.target.slots as usize
    };
    let mut prospects = Prospects { source: prospects.filter(is_open), seen: Vec::new() };
    let mut best = place_on_one(request, engine, &mut prospects, load);
    let suffices = |p: &Placement| request.whole && p.first_event <= request.time_left;
    if request.long && !best.as_ref().is_some_and(suffices) {
        for parts in [2, 3, 4, 6, 8, 12, MAX_PARTS] {
            if let Some(placement) = place_on_several(request, engine, &mut prospects, load, parts)
                && best.as_ref().is_none_or(|b| placement.loss < b.loss)
            {
                best = Some(placement);
            }
        }
    }
    best
}

/// Candidates in ascending order of their positions' costs, predicted when needed.
///
/// No candidate costs less than its position, so that most need not be looked at.
struct Prospects<'a, I> {
    source: I,
    seen: Vec<Prospect<'a>>,
}

impl<'a, I: Iterator<Item = Prospect<'a>>> Prospects<'a, I> {
    fn get(&mut self, index: usize) -> Option<&Prospect<'a>> {
        while self.seen.len() <= index {
            self.seen.push(self.source.next()?);
        }
        self.seen.get(index)
    }
}

/// Predicts the state of a candidate.
fn predict<'a>(
    request: &PlacementRequest,
    engine: &Engine,
    candidate: &'a Candidate<'a>,
    load: &Load,
    now: Instant,
) -> Prospect<'a> {
    let prediction = load.predict(&candidate.target.id, Some(engine), now);
    let residual = if prediction.decoding > 0 {
        engine.pass_time(prediction.decoding, prediction.context_tokens).mul_f64(candidate.slowdown)
            / 2
    } else {
        Duration::ZERO
    };
    let wait = prediction.prefill_time.mul_f64(candidate.slowdown) + residual;
    let position_cost = position_cost(request, candidate.position);
    Prospect { candidate, prediction, position_cost, wait, residual }
}

/// Returns the cost of a position: long prompts start at the back of all blocks, short ones
/// at the front of the own block.
fn position_cost(request: &PlacementRequest, position: Position) -> f64 {
    let Position { in_block, own } = position;
    match (request.long, own) {
        (true, _) => POSITION_COST * (1.0 - in_block),
        (false, true) => POSITION_COST * in_block,
        (false, false) => POSITION_COST * (1.0 + in_block * OTHER_BLOCK_SPREAD),
    }
}

fn fits(request: &PlacementRequest, engine: &Engine, prospect: &Prospect<'_>) -> bool {
    let slots = prospect.candidate.target.slots.min(engine.slots.max(1)) as usize;
    prospect.prediction.requests < slots
        && prospect.prediction.memory_tokens + request.prompt + request.answer
            <= engine.memory_tokens
}

/// Returns the best placement on a single target.
fn place_on_one<'a>(
    request: &PlacementRequest,
    engine: &Engine,
    prospects: &mut Prospects<'a, impl Iterator<Item = Prospect<'a>>>,
    load: &Load,
) -> Option<Placement> {
    let mut best: Option<Placement> = None;
    for index in 0.. {
        let Some(prospect) = prospects.get(index) else { break };
        if best.as_ref().is_some_and(|b| b.loss <= prospect.position_cost) {
            break;
        }
        if fits(request, engine, prospect) {
            let placement = place_at(request, engine, prospect, load);
            if best.as_ref().is_none_or(|b| placement.loss < b.loss) {
                best = Some(placement);
            }
        }
    }
    best
}

/// Returns the placement on the target of `prospect` alone.
fn place_at(
    request: &PlacementRequest,
    engine: &Engine,
    prospect: &Prospect<'_>,
    load: &Load,
) -> Placement {
    let prefill = engine.prefill_time(request.prompt, 1).mul_f64(prospect.candidate.slowdown);
    let prediction = &prospect.prediction;
    let pass = first_pass(engine, prediction, request).mul_f64(prospect.candidate.slowdown);
    let first_event = prospect.wait + prefill + pass + prospect.candidate.extra_latency;
    let interference = interference(prospect, engine, load, prefill);
    let loss = lateness_loss(request.value, first_event, request.time_left)
        + interference
        + prospect.position_cost
        + time_cost(request, first_event)
        + first_event.as_secs_f64() * 1000.0 * ENGINE_MS_COST;
    Placement {
        target: Arc::clone(prospect.candidate.target),
        helpers: Vec::new(),
        memory_tokens: request.prompt + request.answer,
        first_event,
        loss,
        interference,
    }
}

/// A target that may process a part of a prompt.
struct Row {
    cost: f64,
    interference: f64,
    /// Index of its prospect.
    index: usize,
}

/// Returns the `parts` targets at which a part costs least, in that order; fewer if there
/// are no more.
fn cheapest_rows<'a>(
    request: &PlacementRequest,
    prefill: Duration,
    engine: &Engine,
    prospects: &mut Prospects<'a, impl Iterator<Item = Prospect<'a>>>,
    load: &Load,
    parts: usize,
) -> Vec<Row> {
    let mut rows: Vec<Row> = Vec::with_capacity(parts + 1);
    for index in 0.. {
        let Some(prospect) = prospects.get(index) else { break };
        if rows.len() == parts && rows.last().is_some_and(|r| r.cost <= prospect.position_cost) {
            break;
        }
        let prefill = prefill.mul_f64(prospect.candidate.slowdown);
        let interference = interference(prospect, engine, load, prefill);
        let time = prospect.residual + prefill;
        let cost = prospect.position_cost
            + interference
            + time_cost(request, time)
            + lateness_loss(request.value, time, request.time_left);
        let at = rows.partition_point(|r| r.cost <= cost);
        rows.insert(at, Row { cost, interference, index });
        rows.truncate(parts);
    }
    rows
}

/// Returns the placement on the `parts` best targets, each with one part.
fn place_on_several<'a>(
    request: &PlacementRequest,
    engine: &Engine,
    prospects: &mut Prospects<'a, impl Iterator<Item = Prospect<'a>>>,
    load: &Load,
    parts: u32,
) -> Option<Placement> {
    let prefill = engine.prefill_time(request.prompt, parts);
    let rows = cheapest_rows(request, prefill, engine, prospects, load, parts as usize);
    if rows.len() < parts as usize {
        return None;
    }
    let mut rows: Vec<(f64, f64, &Prospect<'_>)> = rows
        .into_iter()
        .map(|row| (row.cost, row.interference, &prospects.seen[row.index]))
        .collect();
    let (answering, kept) = split_memory(request, engine, &rows)?;
    let (_, answering_interference, first) = rows.remove(answering);
    let kept_elsewhere: u64 = kept.iter().sum();
    let slowest =
        rows.iter().map(|(_, _, p)| p.residual).max().unwrap_or_default().max(first.residual);
    let slowdown =
        rows.iter().map(|r| r.2.candidate.slowdown).fold(first.candidate.slowdown, f64::max);
    let interference = rows.iter().map(|r| r.1).sum::<f64>() + answering_interference;
    let positions = rows.iter().map(|r| r.2.position_cost).sum::<f64>() + first.position_cost;
    let position_cost = positions / f64::from(parts);
    let pass = first_pass(engine, &first.prediction, request).mul_f64(first.candidate.slowdown);
    let time = slowest + prefill.mul_f64(slowdown) + pass + first.candidate.extra_latency;
    let engine_cost = prefill.as_secs_f64() * 1000.0 * f64::from(parts) * ENGINE_MS_COST;
    Some(Placement {
        target: Arc::clone(first.candidate.target),
        helpers: std::iter::zip(&rows, kept)
            .map(|(r, kept_tokens)| Helper {
                target: Arc::clone(r.2.candidate.target),
                kept_tokens,
            })
            .collect(),
        memory_tokens: request.prompt + request.answer - kept_elsewhere,
        first_event: time,
        loss: lateness_loss(request.value, time, request.time_left)
            + time_cost(request, time)
            + interference
            + position_cost
            + engine_cost,
        interference,
    })
}

/// Returns the time of the pass that ends with the first event. Without other
/// requests in decoding, the first event follows the prompt at once.
fn first_pass(engine: &Engine, prediction: &Prediction, request: &PlacementRequest) -> Duration {
    match prediction.decoding {
        0 => Duration::ZERO,
        decoding => engine.pass_time(decoding + 1, prediction.context_tokens + request.prompt),
    }
}

/// Chooses the row that decodes, and the prompt tokens that each of the others keeps.
///
/// If a prompt needs more memory than one engine has left, the engine with most free
/// memory decodes, and those with most free memory after it keep the rest.
fn split_memory(
    request: &PlacementRequest,
    engine: &Engine,
    rows: &[(f64, f64, &Prospect<'_>)],
) -> Option<(usize, Vec<u64>)> {
    if let Some(whole) = rows.iter().position(|(_, _, p)| fits(request, engine, p)) {
        return Some((whole, vec![0; rows.len() - 1]));
    }
    let room = |p: &Prospect<'_>| {
        let usable = (engine.memory_tokens as f64 * USABLE_MEMORY) as u64;
        usable.saturating_sub(p.prediction.memory_tokens)
    };
    let answering = (0..rows.len()).max_by_key(|i| room(rows[*i].2))?;
    let mut lacking = (request.prompt + request.answer).saturating_sub(room(rows[answering].2));
    let others: Vec<u64> =
        rows.iter().enumerate().filter(|(i, _)| *i != answering).map(|(_, r)| room(r.2)).collect();
    let mut order: Vec<usize> = (0..others.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(others[*i]));
    let mut kept = vec![0; others.len()];
    for i in order {
        kept[i] = lacking.min(others[i]);
        lacking -= kept[i];
    }
    (lacking == 0).then_some((answering, kept))
}

/// Returns the value that answers in decoding lose to an additional `prefill`.
fn interference(prospect: &Prospect<'_>, engine: &Engine, load: &Load, prefill: Duration) -> f64 {
    let prediction = &prospect.prediction;
    if prediction.decoding == 0 {
        return 0.0;
    }
    let pass = engine
        .pass_time(prediction.decoding, prediction.context_tokens)
        .mul_f64(prospect.candidate.slowdown);
    let pending_prefill =
        if prediction.prefilling == 0 { Duration::ZERO } else { prediction.prefill_time };
    let pause = pass + pending_prefill + prefill;
    // On most targets no stream has a gap that small.
    if prediction.min_gap.is_none_or(|gap| pause <= gap.mul_f64(SAFE_SHARE)) {
        return 0.0;
    }
    let decoding =
        load.assignments(&prospect.candidate.target.id).filter(|a| a.decoding_since.is_some());
    INTERFERENCE_WEIGHT
        * decoding
            .filter(|a| a.answering)
            .map(|a| lateness_loss(a.value, pause, a.max_gap))
            .sum::<f64>()
}
