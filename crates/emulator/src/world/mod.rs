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

use engines::Site;
use instance::{Message, Node};

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
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
pub struct Fate {
    /// The call.
    pub call: Call,
    /// How it ended; `None` while it runs.
    pub end: Option<End>,
    /// Time to its first event, from its first attempt.
    pub first: Option<Duration>,
    /// Longest pause between two of its events.
    pub pause: Duration,
    /// Parts in which its prompt was read at last.
    pub parts: usize,
    /// Predicted time to the first event from the moment of the last grant.
    pub predicted: Duration,
    /// When the last grant was given, from the start.
    pub granted: Duration,
    instance: usize,
    need: Option<Need>,
    waiting: Option<RequestNumber>,
    sent: Option<RequestNumber>,
    last: Duration,
    left: u32,
    sends: u32,
    returns: u32,
}

impl Fate {
    fn new(call: Call) -> Self {
        Self {
            call,
            end: None,
            first: None,
            pause: Duration::ZERO,
            parts: 0,
            predicted: Duration::ZERO,
            granted: Duration::ZERO,
            instance: 0,
            need: None,
            waiting: None,
            sent: None,
            last: call.at,
            left: call.events,
            sends: 0,
            returns: call.returns,
        }
    }
}

/// A request on its way to engines.
#[derive(Clone, Debug)]
struct Send {
    call: usize,
    instance: usize,
    grant: Grant,
    /// Parts of the prompt that are not read yet.
    unread: usize,
    /// Whether an event came.
    begun: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Look(usize, RequestNumber),
    Patience(usize),
    Leave(usize),
    Start(RequestNumber),
    Fail(RequestNumber, bool),
    Pass(usize, u64),
    Stalled(usize, u64),
    Tell(usize),
    Hear(usize, usize),
    Forget(usize),
    Fault(usize),
}

/// One run.
#[derive(Debug)]
pub struct World<'a> {
    pattern: &'a Pattern,
    policy: Policy,
    plan: RouteTable,
    base: Instant,
    now: Duration,
    rng: StdRng,
    timeline: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    numbers: u64,
    sites: Vec<Site>,
    index: HashMap<TargetId, usize>,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    sends: HashMap<RequestNumber, Send>,
    /// Calls that wait for a place.
    joined: HashMap<RequestNumber, usize>,
    fates: Vec<Fate>,
}

/// What a run brought about.
#[derive(Clone, Debug)]
pub struct Run {
    /// What became of each call.
    pub fates: Vec<Fate>,
    /// Requests of their own that instances still believe in flight at the end.
    pub leaked: usize,
}

/// Returns what the engine of a number says of itself when it starts.
pub fn site(index: usize) -> Target {
    Site::new(index).target()
}

/// Runs a pattern under a policy.
pub fn run(pattern: &Pattern, policy: Policy, seed: u64) -> Run {
    replay(pattern, policy, seed, calls(pattern, seed))
}

/// Runs given calls on the engines and instances of a pattern.
pub fn replay(pattern: &Pattern, policy: Policy, seed: u64, calls: Vec<Call>) -> Run {
    let mut world = World::new(pattern, policy, seed, calls);
    while let Some(Reverse((at, _, event))) = world.timeline.pop() {
        world.now = at;
        world.handle(event);
    }
    let schedulers = world.nodes.iter().filter(|n| n.alive).map(|n| &n.scheduler);
    let leaked = schedulers.map(|s| s.load.own_targets().count() + s.waiting_count()).sum();
    Run { fates: world.fates, leaked }
}

impl<'a> World<'a> {
    fn new(pattern: &'a Pattern, policy: Policy, seed: u64, calls: Vec<Call>) -> Self {
        let plan = engines::plan();
        let sites: Vec<Site> = (0..pattern.engines).map(Site::new).collect();
        let index = sites.iter().enumerate().map(|(i, s)| (TargetId::clone(&s.id), i)).collect();
        let mut world = Self {
            pattern,
            policy,
            plan,
            base: Instant::now(),
            now: Duration::ZERO,
            // Another stream than that of the calls, which have the same seed.
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            timeline: BinaryHeap::new(),
            numbers: 0,
            sites,
            index,
            nodes: Vec::new(),
            messages: Vec::new(),
            sends: HashMap::new(),
            joined: HashMap::new(),
            fates: calls.into_iter().map(Fate::new).collect(),
        };
        world.nodes = (0..pattern.instances).map(|i| world.node(i)).collect();
        for call in 0..world.fates.len() {
            world.plan_event(world.fates[call].call.at, Event::Arrive(call));
        }
        for (fault, (at, _)) in pattern.faults.iter().enumerate() {
            world.plan_event(Duration::from_secs_f64(*at), Event::Fault(fault));
        }
        world
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn plan_event(&mut self, at: Duration, event: Event) {
        let number = self.number();
        self.timeline.push(Reverse((at, number, event)));
    }

    fn after(&mut self, time: Duration, event: Event) {
        self.plan_event(self.now + time, event);
    }

    /// Returns the present moment as decisions take it.
    fn moment(&self) -> Instant {
        self.base + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Look(call, id) => self.look(call, id),
            Event::Patience(call) => self.patience(call),
            Event::Leave(call) => self.leave(call, End::Left),
            Event::Start(id) => self.start(id),
            Event::Fail(id, ran) => self.fail(id, ran),
            Event::Pass(engine, epoch) => self.pass(engine, epoch),
            Event::Stalled(engine, epoch) => self.stalled(engine, epoch),
            Event::Tell(node) => self.tell(node),
            Event::Hear(node, message) => self.hear(node, message),
            Event::Forget(node) => self.forget(node),
            Event::Fault(fault) => {
                let fault: Fault = self.pattern.faults[fault].1;
                self.fault(fault);
            }
        }
    }
}
