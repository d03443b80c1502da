//! Queues of requests that wait for room on a target.
//!
//! A lane holds the requests of one class for one model or service. Between
//! lanes the higher priority goes first, but lanes that were passed over earn
//! a fixed share of what is granted, so that none starves. Within a lane, and
//! between lanes of one priority, start-time fair queueing shares what is
//! granted: between workspaces by their weights, between lanes evenly.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use crate::ids::{ClassId, WorkspaceId};

/// Number of a waiting request, unique on one instance.
pub type Ticket = u64;

/// Part of the granted cost that lanes of lower priority earn: one in so many.
pub const RESERVE_DIVISOR: u64 = 16;
/// Fixed-point steps of virtual time for one unit of cost at weight 1.
const SCALE: u64 = 1000;

/// Which queue a request waits in.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LaneId {
    /// Class of work.
    pub class: ClassId,
    /// Model or service.
    pub work: Arc<str>,
}

/// What the class says of a lane.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LaneConfig {
    /// Priority, 0 to 100; higher goes first.
    pub priority: u8,
    /// Most requests that may wait.
    pub max_waiting: usize,
}

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Its number.
    pub ticket: Ticket,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Weight of the workspace, 1 to 1000.
    pub weight: u32,
    /// What it costs a target, in prompt tokens, or 1 for a service call.
    pub cost: u64,
    /// When it came.
    pub enqueued_at: Instant,
}

/// What became of a request that was to wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// It waits.
    Queued,
    /// The lane is full and its workspace holds the largest part of it.
    Full,
    /// It waits in the place of this request of a workspace that held more.
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
    fn load(&self) -> u64 {
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
    earned: u64,
}

impl Queue {
    /// Returns whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(|l| l.waiting == 0)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.lanes.values().map(|l| l.waiting).sum()
    }

    /// Returns whether a request that has room may go without waiting.
    ///
    /// It may not pass those who wait for the same work in its own lane or at
    /// its priority or a higher one. Those of lower priority earn by it, and
    /// go first once they have earned their turn.
    pub fn try_bypass(&mut self, id: &LaneId, priority: u8, cost: u64) -> bool {
        let same_work = |(other, l): &(&LaneId, &Lane)| other.work == id.work && l.waiting > 0;
        let rivals: Vec<_> = self.lanes.iter().filter(same_work).collect();
        if rivals.iter().any(|(other, l)| *other == id || l.config.priority >= priority) {
            return false;
        }
        let least = rivals.iter().filter_map(|(_, l)| l.oldest()).map(|w| w.cost).min();
        let passes = least.is_none_or(|least| self.earned < least * RESERVE_DIVISOR);
        if passes && least.is_some() {
            self.earned += cost;
        }
        passes
    }

    /// Puts a request at the end of its workspace's part of the lane.
    ///
    /// A full lane makes room for a workspace that holds less than its share
    /// by dropping the newest request of the one that holds the most.
    pub fn push(&mut self, id: &LaneId, config: LaneConfig, waiting: QueuedRequest) -> PushOutcome {
        let clock = self.clocks.get(&config.priority).copied().unwrap_or(0);
        let lane = self.lanes.entry(id.clone()).or_insert_with(|| Lane::new(config, clock));
        lane.config = config;
        if lane.waiting == 0 {
            lane.start = lane.start.max(clock);
        }
        let displaced =
            if lane.waiting < config.max_waiting { None } else { lane.displace(&waiting) };
        if lane.waiting >= config.max_waiting && displaced.is_none() {
            return PushOutcome::Full;
        }
        lane.push(waiting);
        displaced.map_or(PushOutcome::Queued, PushOutcome::Displaced)
    }

    /// Takes a request out; returns whether it still waited.
    pub fn remove(&mut self, id: &LaneId, workspace: &str, ticket: Ticket) -> bool {
        let removed = self.lanes.get_mut(id).is_some_and(|l| l.remove(workspace, ticket));
        self.tidy();
        removed
    }

    /// Returns the cost that is granted before a new request of `workspace`.
    ///
    /// Lanes of a higher priority count as a whole; in its own lane, others
    /// count up to their share beside it.
    pub fn cost_ahead(&self, id: &LaneId, priority: u8, waiting: &QueuedRequest) -> u64 {
        let same_work = self.lanes.iter().filter(|(other, _)| other.work == id.work);
        let higher = same_work.filter(|(other, l)| *other != id && l.config.priority > priority);
        let above: u64 = higher.map(|(_, l)| l.backlog()).sum();
        above + self.lanes.get(id).map_or(0, |l| l.ahead(waiting))
    }

    /// Takes out the next request for which `room` says that it may go.
    ///
    /// `room` sees the head of each workspace's part of a lane, so it must
    /// depend on nothing but its arguments during one call.
    pub fn grant<F>(&mut self, room: F) -> Option<(LaneId, QueuedRequest)>
    where
        F: Fn(&LaneId, &QueuedRequest) -> bool,
    {
        let heads: Vec<Head> = self.lanes.iter().filter_map(|(id, l)| l.head(id, &room)).collect();
        let first = heads.iter().min_by_key(|h| (Reverse(h.priority), h.start))?;
        let passed = heads.iter().filter(|h| h.priority < first.priority);
        let passed = passed.min_by_key(|h| (h.enqueued_at, Reverse(h.priority)));
        let chosen = match passed {
            None => {
                self.earned = 0;
                first
            }
            Some(passed) if self.earned >= passed.cost * RESERVE_DIVISOR => {
                self.earned -= passed.cost * RESERVE_DIVISOR;
                passed
            }
            Some(_) => {
                self.earned += first.cost;
                first
            }
        };
        let id = chosen.id.clone();
        let workspace = WorkspaceId::clone(&chosen.workspace);
        self.clocks.insert(chosen.priority, chosen.start);
        let waiting = self.lanes.get_mut(&id)?.take(&workspace);
        self.tidy();
        Some((id, waiting?))
    }

    /// Forgets lanes that nobody waits in.
    ///
    /// With no contention left there is nothing that a past grant could tilt.
    fn tidy(&mut self) {
        if self.is_empty() {
            self.lanes.clear();
            self.clocks.clear();
            self.earned = 0;
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

    fn push(&mut self, waiting: QueuedRequest) {
        let clock = self.clock;
        let weight = u64::from(waiting.weight.max(1));
        let name = WorkspaceId::clone(&waiting.workspace);
        let fresh = || Flow { weight, start: clock, backlog: 0, items: VecDeque::new() };
        let flow = self.flows.entry(name).or_insert_with(fresh);
        if flow.items.is_empty() {
            flow.start = flow.start.max(clock);
        }
        flow.weight = weight;
        flow.backlog += waiting.cost;
        flow.items.push_back(waiting);
        self.waiting += 1;
    }

    /// Drops the newest request of the workspace over its share the most.
    fn displace(&mut self, waiting: &QueuedRequest) -> Option<Ticket> {
        let mine = self.flows.get(&waiting.workspace).map_or(0, |f| f.items.len()) as u64 + 1;
        let mine = mine * SCALE / u64::from(waiting.weight.max(1));
        let largest = self.flows.values_mut().max_by_key(|f| f.load())?;
        if largest.load() <= mine {
            return None;
        }
        let dropped = largest.items.pop_back()?;
        largest.backlog -= dropped.cost;
        self.waiting -= 1;
        Some(dropped.ticket)
    }

    fn remove(&mut self, workspace: &str, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(workspace) else { return false };
        let Some(at) = flow.items.iter().position(|w| w.ticket == ticket) else { return false };
        if let Some(removed) = flow.items.remove(at) {
            flow.backlog -= removed.cost;
            self.waiting -= 1;
        }
        true
    }

    fn ahead(&self, waiting: &QueuedRequest) -> u64 {
        let own = self.flows.get(&waiting.workspace).map_or(0, |f| f.backlog);
        let weight = u64::from(waiting.weight.max(1));
        let others = self.flows.iter().filter(|(name, _)| **name != waiting.workspace);
        let beside = |f: &Flow| f.backlog.min((own + waiting.cost) * f.weight / weight);
        own + others.map(|(_, f)| beside(f)).sum::<u64>()
    }

    fn oldest(&self) -> Option<&QueuedRequest> {
        self.flows.values().filter_map(|f| f.items.front()).min_by_key(|w| w.enqueued_at)
    }

    fn head<F>(&self, id: &LaneId, room: F) -> Option<Head>
    where
        F: Fn(&LaneId, &QueuedRequest) -> bool,
    {
        let heads = self.flows.values().filter_map(|f| Some((f.start, f.items.front()?)));
        let (_, first) = heads.filter(|(_, w)| room(id, w)).min_by_key(|(start, _)| *start)?;
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
        let waiting = flow.items.pop_front()?;
        flow.backlog -= waiting.cost;
        self.clock = self.clock.max(flow.start);
        flow.start += waiting.cost * SCALE / flow.weight;
        self.start += waiting.cost * SCALE;
        self.waiting -= 1;
        let clock = self.clock;
        self.flows.retain(|_, f| !f.items.is_empty() || f.start > clock);
        Some(waiting)
    }
}
