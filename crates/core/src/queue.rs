//! Queues of requests that wait for capacity on a target.
//!
//! A lane holds the requests of one class for one model or service. Lanes of
//! higher priority go first, but lanes that were passed over earn a fixed share
//! of the granted cost, so that none starves. Within a lane, and between lanes
//! of the same priority, start-time fair queueing divides the granted cost:
//! between workspaces by their weights, between lanes evenly.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use crate::ids::{ClassId, WorkspaceId};

/// Number of a waiting request, unique on one instance.
pub type Ticket = u64;

/// Share of the granted cost that lanes of lower priority earn, as a divisor.
pub const RESERVE_DIVISOR: u64 = 16;
/// Fixed-point units of virtual time per unit of cost at weight 1.
const SCALE: u64 = 1000;

/// Identifier of the lane that a request waits in.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LaneId {
    /// Class of work.
    pub class: ClassId,
    /// Model or service.
    pub destination: Arc<str>,
}

/// Configuration of a lane, from its class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LaneConfig {
    /// Priority, 0 to 100; higher goes first.
    pub priority: u8,
    /// Largest number of requests that may wait.
    pub max_waiting: usize,
}

/// A waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Number of the request.
    pub ticket: Ticket,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Weight of the workspace, 1 to 1000.
    pub weight: u32,
    /// Cost to a target, in prompt tokens; 1 for a service call.
    pub cost: u64,
    /// When the request was enqueued.
    pub enqueued_at: Instant,
}

/// Outcome of pushing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The request waits.
    Queued,
    /// The lane is full and no workspace holds more of it for its weight.
    Full,
    /// The request waits and replaces this one, of a workspace that held more.
    Displaced(Ticket),
}

#[derive(Clone, Debug)]
struct Flow {
    weight: u64,
    start: u64,
    backlog: u64,
    items: VecDeque<QueuedRequest>,
}

impl Flow {
    fn normalized_len(&self) -> u64 {
        self.items.len() as u64 * SCALE / self.weight
    }
}

#[derive(Clone, Debug)]
struct Lane {
    config: LaneConfig,
    start: u64,
    clock: u64,
    waiting: usize,
    flows: BTreeMap<WorkspaceId, Flow>,
}

/// All queues of one instance.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<LaneId, Lane>,
    clocks: BTreeMap<u8, u64>,
    reserve_credit: u64,
}

impl Queue {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(|l| l.waiting == 0)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.lanes.values().map(|l| l.waiting).sum()
    }

    /// Returns whether a request for which there is room may skip the queue.
    ///
    /// It may not overtake requests for the same model or service in its own lane,
    /// or at the same or a higher priority. Requests of lower priority earn credit
    /// from it, and go first once they have enough.
    pub fn try_bypass(&mut self, id: &LaneId, priority: u8, cost: u64) -> bool {
        let same_destination =
            |(other, l): &(&LaneId, &Lane)| other.destination == id.destination && l.waiting > 0;
        let competing: Vec<_> = self.lanes.iter().filter(same_destination).collect();
        if competing.iter().any(|(other, l)| *other == id || l.config.priority >= priority) {
            return false;
        }
        let least = competing.iter().filter_map(|(_, l)| l.oldest()).map(|r| r.cost).min();
        let bypasses = least.is_none_or(|least| self.reserve_credit < least * RESERVE_DIVISOR);
        if bypasses && least.is_some() {
            self.reserve_credit += cost;
        }
        bypasses
    }

    /// Appends a request to its workspace's flow in the lane.
    ///
    /// A full lane makes room for a workspace that holds less than its share by
    /// dropping the newest request of the workspace that holds the most.
    pub fn push(&mut self, id: &LaneId, config: LaneConfig, request: QueuedRequest) -> PushOutcome {
        let clock = self.clocks.get(&config.priority).copied().unwrap_or(0);
        let lane = self.lanes.entry(id.clone()).or_insert_with(|| Lane::new(config, clock));
        lane.config = config;
        if lane.waiting == 0 {
            lane.start = lane.start.max(clock);
        }
        let displaced =
            if lane.waiting < config.max_waiting { None } else { lane.displace(&request) };
        if lane.waiting >= config.max_waiting && displaced.is_none() {
            return PushOutcome::Full;
        }
        lane.push(request);
        displaced.map_or(PushOutcome::Queued, PushOutcome::Displaced)
    }

    /// Removes a request; returns whether it was still waiting.
    pub fn remove(&mut self, id: &LaneId, workspace: &str, ticket: Ticket) -> bool {
        let removed = self.lanes.get_mut(id).is_some_and(|l| l.remove(workspace, ticket));
        self.clear_if_idle();
        removed
    }

    /// Returns the cost to be granted before a new request.
    ///
    /// Lanes of a higher priority count in full; in its own lane, other workspaces
    /// count up to their share.
    pub fn cost_ahead(&self, id: &LaneId, priority: u8, request: &QueuedRequest) -> u64 {
        let same_destination =
            self.lanes.iter().filter(|(other, _)| other.destination == id.destination);
        let higher =
            same_destination.filter(|(other, l)| *other != id && l.config.priority > priority);
        let higher_cost: u64 = higher.map(|(_, l)| l.backlog()).sum();
        higher_cost + self.lanes.get(id).map_or(0, |l| l.ahead(request))
    }

    /// Removes and returns the next request for which `has_room` is true.
    ///
    /// `has_room` is called for the first request of each workspace in a lane, so
    /// its result must depend only on its arguments during one call.
    pub fn grant<F>(&mut self, has_room: F) -> Option<(LaneId, QueuedRequest)>
    where
        F: Fn(&LaneId, &QueuedRequest) -> bool,
    {
        let heads: Vec<Head> =
            self.lanes.iter().filter_map(|(id, l)| l.head(id, &has_room)).collect();
        let first = heads.iter().min_by_key(|h| (Reverse(h.priority), h.start))?;
        let passed_over = heads.iter().filter(|h| h.priority < first.priority);
        let passed_over = passed_over.min_by_key(|h| (h.enqueued_at, Reverse(h.priority)));
        let chosen = match passed_over {
            None => {
                self.reserve_credit = 0;
                first
            }
            Some(passed_over) if self.reserve_credit >= passed_over.cost * RESERVE_DIVISOR => {
                self.reserve_credit -= passed_over.cost * RESERVE_DIVISOR;
                passed_over
            }
            Some(_) => {
                self.reserve_credit += first.cost;
                first
            }
        };
        let id = chosen.id.clone();
        let workspace = WorkspaceId::clone(&chosen.workspace);
        self.clocks.insert(chosen.priority, chosen.start);
        let waiting = self.lanes.get_mut(&id)?.take(&workspace);
        self.clear_if_idle();
        Some((id, waiting?))
    }

    /// Drops all lanes once no request waits.
    ///
    /// Without contention, past grants do not affect fairness.
    fn clear_if_idle(&mut self) {
        if self.is_empty() {
            self.lanes.clear();
            self.clocks.clear();
            self.reserve_credit = 0;
        }
    }
}

#[derive(Debug)]
struct Head {
    id: LaneId,
    workspace: WorkspaceId,
    priority: u8,
    start: u64,
    cost: u64,
    enqueued_at: Instant,
}

impl Lane {
    fn new(config: LaneConfig, start: u64) -> Self {
        Self { config, start, clock: 0, waiting: 0, flows: BTreeMap::new() }
    }

    fn backlog(&self) -> u64 {
        self.flows.values().map(|f| f.backlog).sum()
    }

    fn push(&mut self, request: QueuedRequest) {
        let clock = self.clock;
        let weight = u64::from(request.weight.max(1));
        let name = WorkspaceId::clone(&request.workspace);
        let new_flow = || Flow { weight, start: clock, backlog: 0, items: VecDeque::new() };
        let flow = self.flows.entry(name).or_insert_with(new_flow);
        if flow.items.is_empty() {
            flow.start = flow.start.max(clock);
        }
        flow.weight = weight;
        flow.backlog += request.cost;
        flow.items.push_back(request);
        self.waiting += 1;
    }

    /// Drops the newest request of the workspace that most exceeds its share.
    fn displace(&mut self, request: &QueuedRequest) -> Option<Ticket> {
        let own = self.flows.get(&request.workspace).map_or(0, |f| f.items.len()) as u64 + 1;
        let own = own * SCALE / u64::from(request.weight.max(1));
        let largest = self.flows.values_mut().max_by_key(|f| f.normalized_len())?;
        if largest.normalized_len() <= own {
            return None;
        }
        let dropped = largest.items.pop_back()?;
        largest.backlog -= dropped.cost;
        self.waiting -= 1;
        Some(dropped.ticket)
    }

    fn remove(&mut self, workspace: &str, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(workspace) else { return false };
        let Some(at) = flow.items.iter().position(|r| r.ticket == ticket) else { return false };
        if let Some(removed) = flow.items.remove(at) {
            flow.backlog -= removed.cost;
            self.waiting -= 1;
        }
        true
    }

    fn ahead(&self, request: &QueuedRequest) -> u64 {
        let own = self.flows.get(&request.workspace).map_or(0, |f| f.backlog);
        let weight = u64::from(request.weight.max(1));
        let others = self.flows.iter().filter(|(name, _)| **name != request.workspace);
        let counted = |f: &Flow| f.backlog.min((own + request.cost) * f.weight / weight);
        own + others.map(|(_, f)| counted(f)).sum::<u64>()
    }

    fn oldest(&self) -> Option<&QueuedRequest> {
        self.flows.values().filter_map(|f| f.items.front()).min_by_key(|r| r.enqueued_at)
    }

    fn head<F>(&self, id: &LaneId, has_room: F) -> Option<Head>
    where
        F: Fn(&LaneId, &QueuedRequest) -> bool,
    {
        let heads = self.flows.values().filter_map(|f| Some((f.start, f.items.front()?)));
        let (_, first) = heads.filter(|(_, r)| has_room(id, r)).min_by_key(|(start, _)| *start)?;
        Some(Head {
            id: id.clone(),
            workspace: WorkspaceId::clone(&first.workspace),
            priority: self.config.priority,
            start: self.start,
            cost: first.cost,
            enqueued_at: first.enqueued_at,
        })
    }

    fn take(&mut self, workspace: &str) -> Option<QueuedRequest> {
        let flow = self.flows.get_mut(workspace)?;
        let request = flow.items.pop_front()?;
        flow.backlog -= request.cost;
        self.clock = self.clock.max(flow.start);
        flow.start += request.cost * SCALE / flow.weight;
        self.start += request.cost * SCALE;
        self.waiting -= 1;
        let clock = self.clock;
        self.flows.retain(|_, f| !f.items.is_empty() || f.start > clock);
        Some(request)
    }
}
