//! Instances, engines and callers on one clock.

mod caller;
mod engines;
mod faults;
mod instance;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::plan::RouteTable;
use mimosapass_core::edge::schedule::{Grant, Need};
use mimosapass_core::ids::TargetId;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::load::{Call, calls};
use crate::pattern::{Fault, Pattern};
use crate::policy::Policy;

use engines::EngineNode;
use instance::{Instance, Message};

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// Its answer is whole.
    Served,
    /// It was refused, and its caller returns no more.
    Refused,
    /// It broke off, or found no instance.
    Failed,
    /// Its caller waited too long.
    Impatient,
    /// Its caller left early, so nothing is owed.
    Left,
}

/// What became of a call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The call.
    pub call: Call,
    /// How it ended; `None` while it runs.
    pub end: Option<CallEnd>,
    /// Time to its first event, from its first attempt.
    pub first_event: Option<Duration>,
    /// Longest pause between two of its events.
    pub max_gap: Duration,
    /// Parts in which its prompt was read at last.
    pub parts: usize,
    /// Predicted time to the first event from the moment of the last grant.
    pub predicted: Duration,
    /// When the last grant was given, from the start.
    pub granted_at: Duration,
    instance: usize,
    need: Option<Need>,
    queue_id: Option<RequestNumber>,
    dispatch_id: Option<RequestNumber>,
    last_event: Duration,
    remaining_events: u32,
    attempts: u32,
    retries: u32,
}

impl CallRecord {
    fn new(call: Call) -> Self {
        Self {
            call,
            end: None,
            first_event: None,
            max_gap: Duration::ZERO,
            parts: 0,
            predicted: Duration::ZERO,
            granted_at: Duration::ZERO,
            instance: 0,
            need: None,
            queue_id: None,
            dispatch_id: None,
            last_event: call.at,
            remaining_events: call.events,
            attempts: 0,
            retries: call.retries,
        }
    }
}

/// A request on its way to engines.
#[derive(Clone, Debug)]
struct Dispatch {
    call: usize,
    instance: usize,
    grant: Grant,
    /// Parts of the prompt that are not read yet.
    unread_parts: usize,
    /// Whether an event came.
    answering: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    CheckWaiting(usize, RequestNumber),
    CheckTimeout(usize),
    Leave(usize),
    Deliver(RequestNumber),
    Fail(RequestNumber, bool),
    EndPass(usize, u64),
    AbortStalled(usize, u64),
    SendUpdate(usize),
    ReceiveUpdate(usize, usize),
    ForgetPeer(usize),
    Fault(usize),
}

/// One run.
#[derive(Debug)]
pub struct Simulation<'a> {
    pattern: &'a Pattern,
    policy: Policy,
    routes: RouteTable,
    start: Instant,
    now: Duration,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    last_number: u64,
    engines: Vec<EngineNode>,
    engine_index: HashMap<TargetId, usize>,
    instances: Vec<Instance>,
    messages: Vec<Message>,
    dispatches: HashMap<RequestNumber, Dispatch>,
    /// Calls that wait for a place.
    queued: HashMap<RequestNumber, usize>,
    records: Vec<CallRecord>,
}

/// What a run brought about.
#[derive(Clone, Debug)]
pub struct Run {
    /// What became of each call.
    pub records: Vec<CallRecord>,
    /// Requests of their own that instances still believe in flight at the end.
    pub leaked: usize,
}

/// Returns what the engine of a number says of itself when it starts.
pub fn engine_target(index: usize) -> Target {
    EngineNode::new(index).target()
}

/// Runs a pattern under a policy.
pub fn run(pattern: &Pattern, policy: Policy, seed: u64) -> Run {
    replay(pattern, policy, seed, calls(pattern, seed))
}

/// Runs given calls on the engines and instances of a pattern.
pub fn replay(pattern: &Pattern, policy: Policy, seed: u64, calls: Vec<Call>) -> Run {
    let mut simulation = Simulation::new(pattern, policy, seed, calls);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    let schedulers = simulation.instances.iter().filter(|n| n.alive).map(|n| &n.scheduler);
    let leaked = schedulers.map(|s| s.load.own_targets().count() + s.waiting_count()).sum();
    Run { records: simulation.records, leaked }
}

impl<'a> Simulation<'a> {
    fn new(pattern: &'a Pattern, policy: Policy, seed: u64, calls: Vec<Call>) -> Self {
        let routes = engines::route_table();
        let engines: Vec<EngineNode> = (0..pattern.engines).map(EngineNode::new).collect();
        let engine_index =
            engines.iter().enumerate().map(|(i, s)| (TargetId::clone(&s.id), i)).collect();
        let mut simulation = Self {
            pattern,
            policy,
            routes,
            start: Instant::now(),
            now: Duration::ZERO,
            // Another stream than that of the calls, which have the same seed.
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            events: BinaryHeap::new(),
            last_number: 0,
            engines,
            engine_index,
            instances: Vec::new(),
            messages: Vec::new(),
            dispatches: HashMap::new(),
            queued: HashMap::new(),
            records: calls.into_iter().map(CallRecord::new).collect(),
        };
        simulation.instances = (0..pattern.instances).map(|i| simulation.new_instance(i)).collect();
        for call in 0..simulation.records.len() {
            simulation.schedule(simulation.records[call].call.at, Event::Arrive(call));
        }
        for (fault, (at, _)) in pattern.faults.iter().enumerate() {
            simulation.schedule(Duration::from_secs_f64(*at), Event::Fault(fault));
        }
        simulation
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        let number = self.next_number();
        self.events.push(Reverse((at, number, event)));
    }

    fn after(&mut self, time: Duration, event: Event) {
        self.schedule(self.now + time, event);
    }

    /// Returns the present moment as decisions take it.
    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::CheckWaiting(call, id) => self.check_waiting(call, id),
            Event::CheckTimeout(call) => self.check_timeout(call),
            Event::Leave(call) => self.leave(call, CallEnd::Left),
            Event::Deliver(id) => self.deliver(id),
            Event::Fail(id, ran) => self.fail(id, ran),
            Event::EndPass(engine, epoch) => self.end_pass(engine, epoch),
            Event::AbortStalled(engine, epoch) => self.abort_stalled(engine, epoch),
            Event::SendUpdate(instance) => self.send_update(instance),
            Event::ReceiveUpdate(instance, message) => self.receive_update(instance, message),
            Event::ForgetPeer(instance) => self.forget_peer(instance),
            Event::Fault(fault) => {
                let fault: Fault = self.pattern.faults[fault].1;
                self.apply_fault(fault);
            }
        }
    }
}
