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
use mimosapass_core::edge::route_table::RouteTable;
use mimosapass_core::edge::schedule::{Grant, Requirements};
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
    /// Its answer was sent completely.
    Served,
    /// It was refused, and its caller does not retry.
    Refused,
    /// Its answer was interrupted, or no instance accepted it.
    Failed,
    /// Its caller gave up after its timeout.
    Impatient,
    /// Its caller left early, so that it doesn't count.
    Left,
}

/// State and result of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The call.
    pub call: Call,
    /// How it ended; `None` while it runs.
    pub end: Option<CallEnd>,
    /// Time from the first arrival to the first event.
    pub first_event: Option<Duration>,
    /// Longest gap between two events.
    pub max_gap: Duration,
    /// Parts in which the prompt was prefilled in the last dispatch.
    pub parts: usize,
    /// Time to the first event that the last grant predicted.
    pub predicted: Duration,
    /// Time of the last grant, from the start of the run.
    pub granted_at: Duration,
    /// Instance that the caller is connected to.
    entry: usize,
    /// Instance that places the request.
    instance: usize,
    requirements: Option<Requirements>,
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
            entry: 0,
            instance: 0,
            requirements: None,
            queue_id: None,
            dispatch_id: None,
            last_event: call.at,
            remaining_events: call.events,
            attempts: 0,
            retries: call.retries,
        }
    }
}

/// A request that was sent to engines.
#[derive(Clone, Debug)]
struct Dispatch {
    call: usize,
    instance: usize,
    grant: Grant,
    /// Parts of the prompt that are not prefilled yet.
    unread_parts: usize,
    /// Whether an event has arrived.
    answering: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    CheckWaiting(usize, RequestNumber),
    CheckTimeout(usize),
    Leave(usize),
    ReceiveAsk(usize, RequestNumber),
    AskAgain(usize),
    Deliver(RequestNumber),
    Fail(RequestNumber, bool),
    EndPass(usize, u64),
    AbortStalled(usize, u64),
    SendUpdate(usize),
    ReceiveUpdate(usize, usize),
    ForgetPeer(usize),
    Fault(usize),
}

/// State of one run.
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
    /// Waiting calls by their queue number.
    queued: HashMap<RequestNumber, usize>,
    records: Vec<CallRecord>,
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Results of all calls.
    pub records: Vec<CallRecord>,
    /// Finished requests that their own instances still count at the end.
    pub leaked: usize,
    /// Messages sent to other instances, by instance.
    pub messages: Vec<u64>,
}

/// Returns the target entry of an engine that has just started.
pub fn engine_target(index: usize) -> Target {
    EngineNode::new(index).target()
}

/// Runs a pattern with a policy.
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
    let schedulers = simulation.instances.iter().filter(|i| i.alive).map(|i| &i.scheduler);
    let leaked = schedulers.map(|s| s.load.own_targets().count() + s.waiting_count()).sum();
    let messages = simulation.instances.iter().map(|i| i.messages).collect();
    Run { records: simulation.records, leaked, messages }
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
            // Differs from the generator of the calls, which uses the same seed.
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

    fn after(&mut self, delay: Duration, event: Event) {
        self.schedule(self.now + delay, event);
    }

    /// Returns the simulated time as the instant that the scheduler expects.
    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::CheckWaiting(call, id) => self.check_waiting(call, id),
            Event::CheckTimeout(call) => self.check_timeout(call),
            Event::Leave(call) => self.leave(call, CallEnd::Left),
            Event::ReceiveAsk(call, id) => self.receive_ask(call, id),
            Event::AskAgain(call) => self.ask_again(call),
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
