//! The choice of a target for one request.
//!
//! A place is judged by what it costs callers: the chance that this request
//! misses its promise there, and the pauses that reading its prompt causes in
//! the answers that the target is writing. Answers the load pattern in which
//! short prompts with strict pauses run beside prompts of a million tokens:
//! long prompts go to targets without strict writers, or are read in parts by
//! several targets; short ones fill targets that already write, so that others
//! stay empty for long ones.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::cost::Engine;
use crate::edge::fleet::Target;
use crate::edge::load::{Load, Outlook};

/// Share of a promise from which on a prediction counts as uncertain: the first
/// event still needs the way back and the rest of a pass that is under way.
const SAFE: f64 = 0.6;
/// Share of an answer's worth that is lost when it is late.
const LATE: f64 = 0.75;
/// Most targets that read one prompt together, beside the first.
pub const MOST_HELPERS: usize = 16;
/// Worth of keeping an empty target empty, against that of a mean answer.
const EMPTY: f64 = 0.02;
/// Worth of one millisecond of an engine's time, against that of a mean answer.
const BUSY_MS: f64 = 0.000_2;

/// What the choice needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Tokens of the prompt; 0 at a service.
    pub prompt: u64,
    /// Tokens that the answer is expected to have.
    pub answer: u64,
    /// Longest pause between events that is on time.
    pub gap: Duration,
    /// What an answer on time is worth, against that of a mean answer.
    pub worth: f64,
    /// Time from now in which the first event is on time.
    pub left: Duration,
}

/// A target that may serve a request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Target.
    pub target: &'a Arc<Target>,
    /// Factor by which it is slower than its peers, 1 or more.
    pub pace: f64,
    /// Additional time on the way to it.
    pub far: Duration,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Place {
    /// Target that answers.
    pub target: Arc<Target>,
    /// Targets that read a part of the prompt.
    pub helpers: Vec<Arc<Target>>,
    /// Predicted time to the first event.
    pub first: Duration,
    /// Predicted loss of worth: of this request and of those that it delays.
    pub loss: f64,
    /// Part of the loss that others bear.
    pub harm: f64,
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

/// Chooses the best place for a request, or `None` when no target has room.
pub fn choose(
    ask: &Ask,
    engine: Option<&Engine>,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Place> {
    match engine {
        Some(engine) => choose_engine(ask, engine, candidates, load, now),
        None => choose_service(ask, candidates, load, now),
    }
}

/// Chooses the target with the fewest requests for each of its slots.
fn choose_service(
    ask: &Ask,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Place> {
    let scored = candidates.iter().filter_map(|c| {
        let used = load.outlook(&c.target.id, None, now).used;
        let free = used < c.target.slots as usize;
        let share = used as f64 / f64::from(c.target.slots.max(1));
        free.then(|| (share * c.pace + c.far.as_secs_f64() * 20.0 + (c.pace - 1.0) * 0.3, c))
    });
    let (_, best) = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
    let target = Arc::clone(best.target);
    Some(Place { target, helpers: Vec::new(), first: ask.left / 4, loss: 0.0, harm: 0.0 })
}

struct Option1<'a> {
    candidate: &'a Candidate<'a>,
    outlook: Outlook,
    /// Time until the target begins to read this prompt.
    wait: Duration,
}

fn choose_engine(
    ask: &Ask,
    engine: &Engine,
    candidates: &[Candidate<'_>],
    load: &Load,
    now: Instant,
) -> Option<Place> {
    let options: Vec<Option1<'_>> = candidates
        .iter()
        .map(|candidate| {
            let outlook = load.outlook(&candidate.target.id, Some(engine), now);
            let residual = if outlook.writers > 0 {
                engine.pass(outlook.writers, outlook.context) / 2
            } else {
                Duration::ZERO
            };
            Option1 { candidate, outlook, wait: outlook.reading + residual }
        })
        .collect();
    let mut best = alone(ask, engine, &options, load);
    let whole = engine.read(ask.prompt, 1);
    let long = whole > ask.left.mul_f64(0.15) || whole > Duration::from_millis(150);
    if long {
        for parts in [2, 3, 4, 6, 8, 12, 16] {
            if let Some(place) = joined(ask, engine, &options, load, parts)
                && best.as_ref().is_none_or(|b| place.loss < b.loss)
            {
                best = Some(place);
            }
        }
    }
    best
}

fn fits(ask: &Ask, engine: &Engine, option: &Option1<'_>) -> bool {
    let slots = option.candidate.target.slots.min(engine.slots.max(1)) as usize;
    option.outlook.used < slots && option.outlook.memory + ask.prompt + ask.answer <= engine.memory
}

/// Judges each target as the only one that reads the prompt.
fn alone(ask: &Ask, engine: &Engine, options: &[Option1<'_>], load: &Load) -> Option<Place> {
    let places = options.iter().filter(|o| fits(ask, engine, o)).map(|option| {
        let read = engine.read(ask.prompt, 1).mul_f64(option.candidate.pace);
        let outlook = &option.outlook;
        let pass = engine.pass(outlook.writers + 1, outlook.context + ask.prompt);
        let first = option.wait + read + pass + option.candidate.far;
        let harm = harm(option, engine, load, read);
        let empty = if outlook.used == 0 { EMPTY } else { 0.0 };
        let loss = missed(ask.worth, first, ask.left)
            + harm
            + empty
            + first.as_secs_f64() * 1000.0 * BUSY_MS;
        Place {
            target: Arc::clone(option.candidate.target),
            helpers: Vec::new(),
            first,
            loss,
            harm,
        }
    });
    places.min_by(|a, b| a.loss.total_cmp(&b.loss))
}

/// Judges the `parts` best targets as readers of one part each.
fn joined(
    ask: &Ask,
    engine: &Engine,
    options: &[Option1<'_>],
    load: &Load,
    parts: u32,
) -> Option<Place> {
    let read = engine.read(ask.prompt, parts);
    let mut rows: Vec<(f64, f64, &Option1<'_>)> = options
        .iter()
        .filter(|o| o.outlook.used < o.candidate.target.slots as usize)
        .map(|o| {
            let read = read.mul_f64(o.candidate.pace);
            let harm = harm(o, engine, load, read);
            let late = missed(ask.worth, o.wait + read, ask.left);
            (harm + late + o.wait.as_secs_f64() * 0.1, harm, o)
        })
        .collect();
    if rows.len() < parts as usize {
        return None;
    }
    rows.sort_by(|a, b| a.0.total_cmp(&b.0));
    rows.truncate(parts as usize);
    let answering = rows.iter().position(|(_, _, o)| fits(ask, engine, o))?;
    let (_, _, first) = rows.remove(answering);
    let slowest = rows.iter().map(|(_, _, o)| o.wait).max().unwrap_or_default().max(first.wait);
    let pace = rows.iter().map(|r| r.2.candidate.pace).fold(first.candidate.pace, f64::max);
    let harm = rows.iter().map(|r| r.1).sum::<f64>() + harm(first, engine, load, read);
    let pass = engine.pass(first.outlook.writers + 1, first.outlook.context + ask.prompt);
    let time = slowest + read.mul_f64(pace) + pass + first.candidate.far;
    let busy = read.as_secs_f64() * 1000.0 * f64::from(parts) * BUSY_MS;
    Some(Place {
        target: Arc::clone(first.candidate.target),
        helpers: rows.iter().map(|r| Arc::clone(r.2.candidate.target)).collect(),
        first: time,
        loss: missed(ask.worth, time, ask.left) + harm + busy + EMPTY * f64::from(parts),
        harm,
    })
}

/// Returns the worth that the writers of a target lose while it reads for `read` more.
fn harm(option: &Option1<'_>, engine: &Engine, load: &Load, read: Duration) -> f64 {
    let outlook = &option.outlook;
    if outlook.writers == 0 {
        return 0.0;
    }
    let pass = engine.pass(outlook.writers, outlook.context);
    let unread = if outlook.readers == 0 { Duration::ZERO } else { outlook.reading };
    let pause = pass + unread + read;
    let writers = load.works(&option.candidate.target.id).filter(|w| w.writing.is_some());
    writers.filter(|w| w.first).map(|w| missed(w.worth, pause, w.gap)).sum()
}
