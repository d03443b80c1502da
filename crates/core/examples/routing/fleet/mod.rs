//! Discrete-event model of a small fleet that drives the real decision code.

mod feeds;
mod serving;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::config::Pool;
use mimosapass_core::ids::{TargetId, ZoneId};
use mimosapass_core::target_table::{LoadReport, TargetTable};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engine::Engine;
use crate::policy::Policy;
use crate::trace::{Class, Request};

/// Time between two reports of an engine, and between two zone summaries.
const PERIOD: Duration = Duration::from_secs(1);
/// Time between two looks at the queue of an instance.
const LOOK: Duration = Duration::from_millis(100);

/// A fault of the model.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Die(usize),
    Return(usize),
    Slow(usize, f64),
    LoseZone(usize),
}

/// What one run is made of.
#[derive(Clone, Debug)]
pub struct Scene {
    pub zones: usize,
    pub engines: usize,
    pub instances: usize,
    /// Least and greatest lag of reports.
    pub lag: (Duration, Duration),
    pub faults: Vec<(Duration, Fault)>,
    pub seed: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Open,
    First(Duration),
    Refused,
    Late,
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct Seen {
    pub ends: Vec<(Request, End)>,
    /// Greatest number of new requests that one engine got between two reports.
    pub crowd: usize,
    /// Mean of the same over engines that got any.
    pub mean: f64,
    pub spilled: usize,
    pub failed: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Step(usize, u64),
    Measure(usize),
    Deliver(usize, Arc<LoadReport>),
    Hint(usize, u64, u64),
    Summaries,
    Look(usize),
    Relist,
    Fault(Fault),
}

#[derive(Debug)]
struct Instance {
    zone: usize,
    alive: bool,
    targets: TargetTable,
    turn: usize,
    queue: VecDeque<usize>,
}

#[derive(Clone, Debug, Default)]
struct Flight {
    instance: usize,
    shares: Vec<(usize, u64)>,
    left: usize,
    sent: Duration,
    clear: bool,
    answered: bool,
}

/// A fleet under one trace and one policy.
#[derive(Debug)]
pub struct Fleet<'a> {
    scene: &'a Scene,
    classes: &'a [Class],
    trace: &'a [Request],
    policy: Policy,
    pool: Pool,
    base: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    slab: Vec<Option<Event>>,
    number: u64,
    engines: Vec<Engine>,
    names: Vec<TargetId>,
    places: BTreeMap<TargetId, usize>,
    instances: Vec<Instance>,
    zones: Vec<ZoneId>,
    flights: Vec<Flight>,
    ends: Vec<End>,
    rng: StdRng,
    listed: Vec<bool>,
    reports: Vec<u64>,
    fresh: Vec<usize>,
    crowds: (usize, usize, usize),
    seen: Seen,
}

/// Runs a trace under a policy.
pub fn run(scene: &Scene, classes: &[Class], trace: &[Request], policy: Policy) -> Seen {
    let mut fleet = Fleet::new(scene, classes, trace, policy);
    fleet.start();
    fleet.go();
    let (sum, count, most) = fleet.crowds;
    fleet.seen.crowd = most;
    fleet.seen.mean = sum as f64 / count.max(1) as f64;
    fleet.seen.ends = trace.iter().copied().zip(fleet.ends).collect();
    fleet.seen
}

impl<'a> Fleet<'a> {
    fn new(scene: &'a Scene, classes: &'a [Class], trace: &'a [Request], policy: Policy) -> Self {
        let names: Vec<TargetId> =
            (0..scene.engines).map(|i| format!("engine-{i:03}").into()).collect();
        let instances = (0..scene.instances).map(|i| Instance {
            zone: i % scene.zones,
            alive: true,
            targets: TargetTable::default(),
            turn: i,
            queue: VecDeque::new(),
        });
        Self {
            scene,
            classes,
            trace,
            policy,
            pool: Pool { name: "pool".into(), ..Pool::default() },
            base: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            slab: Vec::new(),
            number: 0,
            engines: vec![Engine::default(); scene.engines],
            places: names.iter().cloned().zip(0..).collect(),
            names,
            instances: instances.collect(),
            zones: (0..scene.zones).map(|z| format!("zone-{z}").into()).collect(),
            flights: vec![Flight::default(); trace.len()],
            ends: vec![End::Open; trace.len()],
            rng: StdRng::seed_from_u64(scene.seed),
            listed: vec![true; scene.engines],
            reports: vec![0; scene.engines],
            fresh: vec![0; scene.engines],
            crowds: (0, 0, 0),
            seen: Seen::default(),
        }
    }

    fn at(&mut self, when: Duration, event: Event) {
        self.slab.push(Some(event));
        self.number += 1;
        self.events.push(Reverse((when, self.number, self.slab.len() - 1)));
    }

    fn start(&mut self) {
        self.relist();
        for engine in 0..self.engines.len() {
            let offset = PERIOD.mul_f64(self.rng.random::<f64>());
            self.at(offset, Event::Measure(engine));
        }
        for instance in 0..self.instances.len() {
            let offset = LOOK.mul_f64(self.rng.random::<f64>());
            self.at(offset, Event::Look(instance));
        }
        self.at(PERIOD, Event::Summaries);
        for (when, fault) in &self.scene.faults {
            self.at(*when, Event::Fault(*fault));
        }
        self.at(self.trace[0].at, Event::Arrive(0));
    }

    /// Runs until the trace is over; what is open then counts by its age.
    fn go(&mut self) {
        let end = self.trace.last().map_or(Duration::ZERO, |r| r.at);
        while let Some(Reverse((when, _, place))) = self.events.pop() {
            let Some(event) = self.slab[place].take() else { continue };
            self.now = when;
            if when > end + Duration::from_mins(5) {
                break;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(i) => self.arrive(i),
            Event::Step(engine, boot) if self.engines[engine].boot == boot => self.step(engine),
            Event::Step(..) => {}
            Event::Measure(engine) => self.measure(engine),
            Event::Deliver(engine, report) => self.deliver(engine, &report),
            Event::Hint(engine, prefix, tokens) => self.hint(engine, prefix, tokens),
            Event::Summaries => self.summaries(),
            Event::Look(instance) => self.look(instance),
            Event::Relist => self.relist(),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn zone_of(&self, engine: usize) -> usize {
        engine % self.scene.zones
    }
}
