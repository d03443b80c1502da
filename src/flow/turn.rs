//! Lets admitted requests go to targets in the order of the queue.
//!
//! The thread of a request waits on a channel for its turn. Turns are given
//! while the targets in reach can start the work within its promise.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_core::config::{Class, Pool, TargetKind};
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::forecast::Forecast;
use mimosapass_core::ids::{ClassId, WorkspaceId};
use mimosapass_core::labels::matches;
use mimosapass_core::queue::{LaneConfig, LaneId, PushOutcome, Queue, QueuedRequest, Ticket};
use mimosapass_core::route::{self, RouteQuery};
use mimosapass_core::target_table::{TargetState, TargetTable};
use mimosapass_operator::document::Document;

use crate::explain::Explanation;
use crate::flow::admit::Admitted;
use crate::node::{Node, State};

/// Time between two looks at whether targets have room.
const TICK: Duration = Duration::from_millis(20);
/// Time between two looks at whether the caller is there and there is hope.
const LOOK: Duration = Duration::from_secs(1);
/// Calls of one instance that a target of a plain service gets at once.
const CALLS: u32 = 64;

/// What a request is going to do.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// Kind of target.
    pub kind: TargetKind,
    /// Model or service.
    pub name: &'a str,
    /// Estimated length of the prompt, in tokens; 0 for services.
    pub tokens: u64,
}

/// What the requests of one lane ask for.
#[derive(Clone, Debug)]
struct Asked {
    document: Arc<Document>,
    class: Class,
    kind: TargetKind,
    name: Arc<str>,
}

#[derive(Debug)]
struct Waiter {
    sender: SyncSender<Result<(), Failure>>,
    forecast: Forecast,
}

/// Requests of one instance that wait for their turn.
#[derive(Debug, Default)]
pub struct Turns {
    queue: Queue,
    lanes: BTreeMap<LaneId, Asked>,
    waiters: BTreeMap<Ticket, Waiter>,
    next: Ticket,
}

impl Turns {
    fn end(&mut self, ticket: Ticket, turn: Result<(), Failure>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // A request that gave up in this very moment has no use for it.
            waiter.sender.try_send(turn).unwrap_or_default();
        }
    }
}

/// Waits until the request may go to a target.
///
/// # Errors
///
/// [`Kind::TooLate`] or [`Kind::QueueFull`] at once, [`Kind::QueueTimeout`]
/// when the deadline passes, [`Kind::CallerGone`].
pub fn wait(
    node: &Arc<Node>,
    exchange: &Exchange<'_>,
    admitted: &Admitted,
    work: Work<'_>,
    explanation: &mut Explanation,
) -> Result<(), Failure> {
    let id = LaneId { class: ClassId::clone(&admitted.class.name), work: work.name.into() };
    let asked = Asked::of(admitted, work);
    let entered = enter(node, admitted, &id, &asked, work.tokens).inspect_err(|failure| {
        explanation
            .trace
            .begin_hop("queue", "refused at once by the forecast or the queue's bound");
        explanation.trace.end_hop(&failure.to_string());
    })?;
    let Some((ticket, inbox)) = entered else { return Ok(()) };
    explanation.trace.begin_hop("queue", "no target had room, or others waited");
    let begun = Instant::now();
    let hope = || check(node, admitted, &asked, work.tokens);
    let turn = follow(node, &inbox, exchange, admitted, hope);
    let mut state = node.state();
    let forecast = state.turns.waiters.remove(&ticket).map(|w| w.forecast).unwrap_or_default();
    state.turns.queue.remove(&id, admitted.workspace(), ticket);
    drop(state);
    explanation.steps.push(format!("queue: {} ms", begun.elapsed().as_millis()));
    let turn = turn.unwrap_or_else(|| Err(forecast.queue_timeout(rand::random())));
    explanation
        .trace
        .end_hop(&turn.as_ref().map_or_else(ToString::to_string, |()| "ok".to_owned()));
    turn
}

/// Returns the turn of a waiting request, or `None` when its deadline passed.
fn follow(
    node: &Node,
    inbox: &Receiver<Result<(), Failure>>,
    exchange: &Exchange<'_>,
    admitted: &Admitted,
    hope: impl Fn() -> Result<(), Failure>,
) -> Option<Result<(), Failure>> {
    loop {
        match inbox.recv_timeout(LOOK.min(admitted.left())) {
            Ok(turn) => return Some(turn),
            Err(RecvTimeoutError::Disconnected) => return None,
            Err(RecvTimeoutError::Timeout) if admitted.left().is_zero() => return None,
            Err(RecvTimeoutError::Timeout) if node.aborting() => {
                return Some(Err(Failure::new(Kind::Stopping, "the instance was made to end")));
            }
            Err(RecvTimeoutError::Timeout) if exchange.caller_gone() => {
                return Some(Err(Failure::new(Kind::CallerGone, "the caller went away")));
            }
            Err(RecvTimeoutError::Timeout) => {
                if let Err(failure) = hope() {
                    return Some(Err(failure));
                }
            }
        }
    }
}

/// Checks that a request could meet its deadline if it went now.
fn check(node: &Node, admitted: &Admitted, asked: &Asked, tokens: u64) -> Result<(), Failure> {
    let survey = Survey::of(&node.state().targets, node, asked, tokens, Instant::now());
    let forecast = Forecast { ttft: survey.first, ..Forecast::default() };
    forecast.check_deadline(admitted.left(), rand::random())
}

type Entered = Option<(Ticket, Receiver<Result<(), Failure>>)>;

/// Puts a request into its queue; `None` means that it may go at once.
fn enter(
    node: &Node,
    admitted: &Admitted,
    id: &LaneId,
    asked: &Asked,
    tokens: u64,
) -> Result<Entered, Failure> {
    let share = asked.document.config.workspace(admitted.workspace()).map_or(1, |w| w.share);
    let class = &admitted.class;
    let lane_config = LaneConfig { priority: class.priority, max_waiting: class.queue };
    let chance = rand::random();
    let now = Instant::now();
    let mut state = node.state();
    let survey = Survey::of(&state.targets, node, asked, tokens, now);
    if survey.closed {
        // The choice of a target says why there is none.
        return Ok(None);
    }
    let turns = &mut state.turns;
    turns.next += 1;
    let waiting = QueuedRequest {
        ticket: turns.next,
        workspace: WorkspaceId::from(admitted.workspace()),
        weight: share,
        cost: tokens.max(1),
        enqueued_at: now,
    };
    let ahead = turns.queue.cost_ahead(id, lane_config.priority, &waiting);
    let forecast = Forecast { ttft: survey.first, ahead_tokens: ahead, speed: survey.speed };
    forecast.check_deadline(admitted.left(), chance)?;
    if survey.room > 0 && turns.queue.try_bypass(id, lane_config.priority, waiting.cost) {
        return Ok(None);
    }
    let ticket = waiting.ticket;
    match turns.queue.push(id, lane_config, waiting) {
        PushOutcome::Full => return Err(forecast.queue_full(lane_config.max_waiting, chance)),
        PushOutcome::Displaced(other) => {
            turns.end(other, Err(forecast.queue_full(lane_config.max_waiting, chance)));
        }
        PushOutcome::Queued => {}
    }
    let (sender, inbox) = sync_channel(1);
    turns.waiters.insert(ticket, Waiter { sender, forecast });
    turns.lanes.insert(id.clone(), asked.clone());
    Ok(Some((ticket, inbox)))
}

/// Gives turns for as long as the process lives.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(TICK);
    while ticks.recv().is_ok() {
        let mut state = node.state();
        give(node, &mut state);
        node.metrics.waiting_requests.set(state.turns.queue.len() as i64);
        drop(state);
        node.metrics.unsettled_records.set(node.records.unsettled() as i64);
    }
}

/// Gives as many turns as targets have room for.
///
/// What was just granted is not on the board yet, so an engine gets no second
/// request before the next look.
fn give(node: &Node, state: &mut State) {
    let now = Instant::now();
    let State { targets, turns, .. } = state;
    if turns.queue.is_empty() {
        turns.lanes.clear();
        return;
    }
    let survey = |asked: &Asked| Survey::of(targets, node, asked, 0, now);
    let mut rooms: BTreeMap<LaneId, usize> =
        turns.lanes.iter().map(|(id, asked)| (id.clone(), survey(asked).turns())).collect();
    while let Some((id, waiting)) =
        turns.queue.grant(|id, _| rooms.get(id).is_some_and(|room| *room > 0))
    {
        turns.end(waiting.ticket, Ok(()));
        let shared = rooms.iter_mut().filter(|(other, _)| other.work == id.work);
        shared.for_each(|(_, room)| *room = room.saturating_sub(1));
    }
}

/// What the targets in reach can do for one kind of work.
#[derive(Clone, Copy, Debug)]
struct Survey {
    closed: bool,
    room: usize,
    first: Duration,
    speed: u64,
}

impl Survey {
    fn of(targets: &TargetTable, node: &Node, asked: &Asked, tokens: u64, now: Instant) -> Self {
        let pools = asked.pools();
        let fits = |k: &&TargetState| {
            k.listed.kind == asked.kind
                && k.is_available(now)
                && pools.iter().any(|p| matches(&p.select, &k.listed.labels))
        };
        let all: Vec<&TargetState> = targets.all().filter(fits).collect();
        let home: Vec<&TargetState> =
            all.iter().copied().filter(|k| k.listed.zone == node.zone).collect();
        let near = if home.is_empty() { all } else { home };
        let promise = asked.class.promise();
        let rooms: usize = near.iter().map(|k| room(k, promise, now)).sum();
        // Where the home zone has no room, another zone may have offered some.
        let base = RouteQuery { kind: asked.kind, zone: &node.zone, ..RouteQuery::default() };
        let query = RouteQuery { pools: &pools, tokens, promise, ..base };
        let chosen = route::estimate_ttft(targets, &query, now);
        let spills = rooms == 0 && chosen <= promise && away(targets, node, &query, now);
        let first = near.iter().map(|k| first(k, tokens, now)).min().unwrap_or_default();
        Self {
            closed: near.is_empty(),
            room: rooms + usize::from(spills),
            first: first.min(chosen),
            speed: near.iter().map(|k| k.report.speed).sum(),
        }
    }

    /// Returns how many turns may be given now.
    ///
    /// Without a target all may go: they are told so at once.
    fn turns(&self) -> usize {
        if self.closed { usize::MAX } else { self.room }
    }
}

impl Asked {
    fn of(admitted: &Admitted, work: Work<'_>) -> Self {
        Self {
            document: Arc::clone(&admitted.document),
            class: admitted.class.clone(),
            kind: work.kind,
            name: work.name.into(),
        }
    }

    fn pools(&self) -> Vec<&Pool> {
        let config = &self.document.config;
        match self.kind {
            TargetKind::Engine => config.pools_for(&self.class, &self.name).collect(),
            TargetKind::Service => {
                let pool = config.service(&self.name).map(|s| &s.pool);
                config.pools.iter().filter(|p| Some(&p.name) == pool).collect()
            }
        }
    }
}

/// Returns whether the request would go to another zone now.
fn away(targets: &TargetTable, node: &Node, query: &RouteQuery<'_>, now: Instant) -> bool {
    let target = route::choose(targets, query, now).ok().map(|choice| choice.target);
    let known = target.and_then(|name| targets.get(&name));
    known.is_some_and(|k| k.listed.zone != node.zone)
}

/// Returns how many requests a target can start now, well within the promise.
fn room(known: &TargetState, promise: Duration, now: Instant) -> usize {
    if known.listed.kind == TargetKind::Service {
        return CALLS.saturating_sub(known.own_running) as usize;
    }
    let running = known.report.running.max(known.own_running);
    // A report lags, so an engine may queue a quarter more than its slots.
    let slots = known.report.slots + known.report.slots / 4;
    usize::from((slots == 0 || running < slots) && first(known, 0, now) <= promise / 2)
}

/// Returns the estimated time to first token; zero before the first report.
fn first(known: &TargetState, tokens: u64, now: Instant) -> Duration {
    if known.report.speed == 0 {
        return Duration::ZERO;
    }
    // A prompt over one engine's memory is computed by a group.
    let engines = tokens.div_ceil(known.report.capacity.max(1)).max(1);
    route::ttft_at(known, tokens / engines, now)
}
