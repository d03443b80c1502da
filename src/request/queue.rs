//! Admits queued requests to targets in fair order.
//!
//! The thread of a request waits on a channel for its grant. Grants are issued
//! while the available targets can start the work within its promise.

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
use crate::node::{Node, State};
use crate::request::admission::Admitted;

/// Interval at which queued requests are granted free slots.
const GRANT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a queued request checks its caller and its deadline.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Concurrent calls of one instance to one target of a service.
const MAX_SERVICE_CALLS: u32 = 64;

/// Work of a request, as far as the queue needs it.
#[derive(Clone, Copy, Debug)]
pub struct QueuedWork<'a> {
    /// Kind of target.
    pub kind: TargetKind,
    /// Model or service.
    pub name: &'a str,
    /// Estimated length of the prompt, in tokens; 0 for services.
    pub tokens: u64,
}

/// Work that all requests of one lane have in common.
#[derive(Clone, Debug)]
struct LaneDemand {
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

/// Requests of one instance that wait for a target.
#[derive(Debug, Default)]
pub struct RequestQueue {
    order: Queue,
    demands: BTreeMap<LaneId, LaneDemand>,
    waiters: BTreeMap<Ticket, Waiter>,
    next_ticket: Ticket,
}

impl RequestQueue {
    fn resolve(&mut self, ticket: Ticket, result: Result<(), Failure>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // The receiver is gone if the request gave up at the same time.
            waiter.sender.try_send(result).unwrap_or_default();
        }
    }
}

/// Waits until the request may be sent to a target.
///
/// # Errors
///
/// [`Kind::TooLate`] or [`Kind::QueueFull`] at once, [`Kind::QueueTimeout`]
/// when the deadline passes, [`Kind::CallerGone`].
pub fn wait(
    node: &Arc<Node>,
    exchange: &Exchange<'_>,
    admitted: &Admitted,
    work: QueuedWork<'_>,
    explanation: &mut Explanation,
) -> Result<(), Failure> {
    let id = LaneId { class: ClassId::clone(&admitted.class.name), destination: work.name.into() };
    let demand = LaneDemand::of(admitted, work);
    let enqueued = enqueue(node, admitted, &id, &demand, work.tokens).inspect_err(|failure| {
        explanation.trace.begin_hop("queue", "refused at once by the forecast or the queue limit");
        explanation.trace.end_hop(&failure.to_string());
    })?;
    let Some((ticket, grants)) = enqueued else { return Ok(()) };
    explanation.trace.begin_hop("queue", "no target had room, or other requests were queued");
    let queued_at = Instant::now();
    let still_feasible = || check_deadline(node, admitted, &demand, work.tokens);
    let result = await_grant(node, &grants, exchange, admitted, still_feasible);
    let mut state = node.state();
    let forecast = state.queue.waiters.remove(&ticket).map(|w| w.forecast).unwrap_or_default();
    state.queue.order.remove(&id, admitted.workspace(), ticket);
    drop(state);
    explanation.steps.push(format!("queue: {} ms", queued_at.elapsed().as_millis()));
    let result = result.unwrap_or_else(|| Err(forecast.queue_timeout(rand::random())));
    explanation
        .trace
        .end_hop(&result.as_ref().map_or_else(ToString::to_string, |()| "ok".to_owned()));
    result
}

/// Returns the result for a queued request, or `None` when its deadline passed.
fn await_grant(
    node: &Node,
    grants: &Receiver<Result<(), Failure>>,
    exchange: &Exchange<'_>,
    admitted: &Admitted,
    still_feasible: impl Fn() -> Result<(), Failure>,
) -> Option<Result<(), Failure>> {
    loop {
        match grants.recv_timeout(CHECK_INTERVAL.min(admitted.remaining())) {
            Ok(result) => return Some(result),
            Err(RecvTimeoutError::Disconnected) => return None,
            Err(RecvTimeoutError::Timeout) if admitted.remaining().is_zero() => return None,
            Err(RecvTimeoutError::Timeout) if node.aborting() => {
                return Some(Err(Failure::new(Kind::Stopping, "the instance is shutting down")));
            }
            Err(RecvTimeoutError::Timeout) if exchange.caller_gone() => {
                return Some(Err(Failure::new(Kind::CallerGone, "the caller disconnected")));
            }
            Err(RecvTimeoutError::Timeout) => {
                if let Err(failure) = still_feasible() {
                    return Some(Err(failure));
                }
            }
        }
    }
}

/// Checks that a request could meet its deadline if it were sent now.
fn check_deadline(
    node: &Node,
    admitted: &Admitted,
    demand: &LaneDemand,
    tokens: u64,
) -> Result<(), Failure> {
    let capacity =
        LaneCapacity::estimate(&node.state().targets, node, demand, tokens, Instant::now());
    let forecast = Forecast { ttft: capacity.ttft, ..Forecast::default() };
    forecast.check_deadline(admitted.remaining(), rand::random())
}

type Enqueued = Option<(Ticket, Receiver<Result<(), Failure>>)>;

/// Queues a request; `None` means that it may be sent at once.
fn enqueue(
    node: &Node,
    admitted: &Admitted,
    id: &LaneId,
    demand: &LaneDemand,
    tokens: u64,
) -> Result<Enqueued, Failure> {
    let share = demand.document.config.workspace(admitted.workspace()).map_or(1, |w| w.share);
    let class = &admitted.class;
    let lane_config = LaneConfig { priority: class.priority, max_waiting: class.queue };
    let jitter = rand::random();
    let now = Instant::now();
    let mut state = node.state();
    let capacity = LaneCapacity::estimate(&state.targets, node, demand, tokens, now);
    if capacity.no_target {
        // Target selection fails with the reason why there is none.
        return Ok(None);
    }
    let queue = &mut state.queue;
    queue.next_ticket += 1;
    let waiting = QueuedRequest {
        ticket: queue.next_ticket,
        workspace: WorkspaceId::from(admitted.workspace()),
        weight: share,
        cost: tokens.max(1),
        enqueued_at: now,
    };
    let ahead_tokens = queue.order.cost_ahead(id, lane_config.priority, &waiting);
    let forecast = Forecast { ttft: capacity.ttft, ahead_tokens, speed: capacity.speed };
    forecast.check_deadline(admitted.remaining(), jitter)?;
    if capacity.open_slots > 0 && queue.order.try_bypass(id, lane_config.priority, waiting.cost) {
        return Ok(None);
    }
    let ticket = waiting.ticket;
    match queue.order.push(id, lane_config, waiting) {
        PushOutcome::Full => return Err(forecast.queue_full(lane_config.max_waiting, jitter)),
        PushOutcome::Displaced(displaced) => {
            queue.resolve(displaced, Err(forecast.queue_full(lane_config.max_waiting, jitter)));
        }
        PushOutcome::Queued => {}
    }
    let (sender, grants) = sync_channel(1);
    queue.waiters.insert(ticket, Waiter { sender, forecast });
    queue.demands.insert(id.clone(), demand.clone());
    Ok(Some((ticket, grants)))
}

/// Grants queued requests until the process exits.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(GRANT_INTERVAL);
    while ticks.recv().is_ok() {
        let mut state = node.state();
        grant_ready(node, &mut state);
        node.metrics.waiting_requests.set(state.queue.order.len() as i64);
        drop(state);
        node.metrics.unsettled_records.set(node.records.unsettled() as i64);
    }
}

/// Grants as many queued requests as targets have open slots.
///
/// A request granted here is not yet in the target table, so an engine counts
/// as one slot at most and gets no second request before the next round.
fn grant_ready(node: &Node, state: &mut State) {
    let now = Instant::now();
    let State { targets, queue, .. } = state;
    if queue.order.is_empty() {
        queue.demands.clear();
        return;
    }
    let capacity = |demand: &LaneDemand| LaneCapacity::estimate(targets, node, demand, 0, now);
    let mut slots_by_lane: BTreeMap<LaneId, usize> =
        queue.demands.iter().map(|(id, demand)| (id.clone(), capacity(demand).grants())).collect();
    while let Some((id, waiting)) =
        queue.order.grant(|id, _| slots_by_lane.get(id).is_some_and(|slots| *slots > 0))
    {
        queue.resolve(waiting.ticket, Ok(()));
        let same_destination =
            slots_by_lane.iter_mut().filter(|(other, _)| other.destination == id.destination);
        same_destination.for_each(|(_, slots)| *slots = slots.saturating_sub(1));
    }
}

/// Capacity of the available targets for one kind of work.
#[derive(Clone, Copy, Debug)]
struct LaneCapacity {
    no_target: bool,
    open_slots: usize,
    ttft: Duration,
    speed: u64,
}

impl LaneCapacity {
    fn estimate(
        targets: &TargetTable,
        node: &Node,
        demand: &LaneDemand,
        tokens: u64,
        now: Instant,
    ) -> Self {
        let pools = demand.pools();
        let fits = |t: &&TargetState| {
            t.listed.kind == demand.kind
                && t.is_available(now)
                && pools.iter().any(|p| matches(&p.select, &t.listed.labels))
        };
        let all: Vec<&TargetState> = targets.all().filter(fits).collect();
        let home: Vec<&TargetState> =
            all.iter().copied().filter(|t| t.listed.zone == node.zone).collect();
        let reachable = if home.is_empty() { all } else { home };
        let promise = demand.class.promise();
        let open_slots: usize = reachable.iter().map(|t| open_slots(t, promise, now)).sum();
        // If the home zone has no open slot, another zone may have advertised capacity.
        let base = RouteQuery { kind: demand.kind, zone: &node.zone, ..RouteQuery::default() };
        let query = RouteQuery { pools: &pools, tokens, promise, ..base };
        let best_ttft = route::estimate_ttft(targets, &query, now);
        let other_zone =
            open_slots == 0 && best_ttft <= promise && leaves_zone(targets, node, &query, now);
        let ttft =
            reachable.iter().map(|t| estimated_ttft(t, tokens, now)).min().unwrap_or_default();
        Self {
            no_target: reachable.is_empty(),
            open_slots: open_slots + usize::from(other_zone),
            ttft: ttft.min(best_ttft),
            speed: reachable.iter().map(|t| t.report.speed).sum(),
        }
    }

    /// Returns how many requests may be granted now.
    ///
    /// Without a target all are granted, since target selection then fails at once.
    fn grants(&self) -> usize {
        if self.no_target { usize::MAX } else { self.open_slots }
    }
}

impl LaneDemand {
    fn of(admitted: &Admitted, work: QueuedWork<'_>) -> Self {
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

/// Returns whether the request would be routed to another zone now.
fn leaves_zone(targets: &TargetTable, node: &Node, query: &RouteQuery<'_>, now: Instant) -> bool {
    let target = route::choose(targets, query, now).ok().map(|choice| choice.target);
    let target = target.and_then(|name| targets.get(&name));
    target.is_some_and(|t| t.listed.zone != node.zone)
}

/// Returns how many requests a target can start now within half the promise.
fn open_slots(target: &TargetState, promise: Duration, now: Instant) -> usize {
    if target.listed.kind == TargetKind::Service {
        return MAX_SERVICE_CALLS.saturating_sub(target.own_running) as usize;
    }
    let running = target.report.running.max(target.own_running);
    // Load reports lag, so an engine may queue a quarter more than its slots.
    let slots = target.report.slots + target.report.slots / 4;
    usize::from((slots == 0 || running < slots) && estimated_ttft(target, 0, now) <= promise / 2)
}

/// Returns the estimated time to first token; zero before the first report.
fn estimated_ttft(target: &TargetState, tokens: u64, now: Instant) -> Duration {
    if target.report.speed == 0 {
        return Duration::ZERO;
    }
    // A prompt that exceeds one engine's memory is shared by a group of engines.
    let engines = tokens.div_ceil(target.report.capacity.max(1)).max(1);
    route::ttft_at(target, tokens / engines, now)
}
