//! Discrete-event simulation of a fleet around the real routing code.

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

/// Time between two reports of an engine, and between two offers of a zone.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two attempts to send an instance's queued requests.
const QUEUE_INTERVAL: Duration = Duration::from_millis(100);

/// A simulated fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Die(usize),
    Return(usize),
    Slow(usize, f64),
    LoseZone(usize),
}

/// Setup of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
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
pub enum Outcome {
    Open,
    FirstToken(Duration),
    Refused,
    Late,
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct RunResult {
    pub ends: Vec<(Request, Outcome)>,
    /// Largest number of new requests to one engine between two reports.
    pub burst: usize,
    /// Mean number of new requests between two reports, where there were any.
    pub mean_burst: f64,
    pub spilled: usize,
    pub failed: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Step(usize, u64),
    SendReport(usize),
    Deliver(usize, Arc<LoadReport>),
    Hint(usize, u64, u64),
    ExchangeOffers,
    RetryQueue(usize),
    ApplyListing,
    Fault(Fault),
}

#[derive(Debug)]
struct Instance {
    zone: usize,
    alive: bool,
    targets: TargetTable,
    round_robin: usize,
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

/// A simulated fleet with one trace and one policy.
#[derive(Debug)]
pub struct Fleet<'a> {
    scenario: &'a Scenario,
    classes: &'a [Class],
    trace: &'a [Request],
    policy: Policy,
    pool: Pool,
    base: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    scheduled: Vec<Option<Event>>,
    sequence: u64,
    engines: Vec<Engine>,
    names: Vec<TargetId>,
    index_of: BTreeMap<TargetId, usize>,
    instances: Vec<Instance>,
    zones: Vec<ZoneId>,
    flights: Vec<Flight>,
    ends: Vec<Outcome>,
    rng: StdRng,
    listed: Vec<bool>,
    reports: Vec<u64>,
    sent_since_report: Vec<usize>,
    bursts: (usize, usize, usize),
    result: RunResult,
}

/// Runs a trace under a policy.
pub fn run(scenario: &Scenario, classes: &[Class], trace: &[Request], policy: Policy) -> RunResult {
    let mut fleet = Fleet::new(scenario, classes, trace, policy);
    fleet.start();
    fleet.run();
    let (sum, count, most) = fleet.bursts;
    fleet.result.burst = most;
    fleet.result.mean_burst = sum as f64 / count.max(1) as f64;
    fleet.result.ends = trace.iter().copied().zip(fleet.ends).collect();
    fleet.result
}

impl<'a> Fleet<'a> {
    fn new(
        scenario: &'a Scenario,
        classes: &'a [Class],
        trace: &'a [Request],
        policy: Policy,
    ) -> Self {
        let names: Vec<TargetId> =
            (0..scenario.engines).map(|i| format!("engine-{i:03}").into()).collect();
        let instances = (0..scenario.instances).map(|i| Instance {
            zone: i % scenario.zones,
            alive: true,
            targets: TargetTable::default(),
            round_robin: i,
            queue: VecDeque::new(),
        });
        Self {
            scenario,
            classes,
            trace,
            policy,
            pool: Pool { name: "pool".into(), ..Pool::default() },
            base: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: Vec::new(),
            sequence: 0,
            engines: vec![Engine::default(); scenario.engines],
            index_of: names.iter().cloned().zip(0..).collect(),
            names,
            instances: instances.collect(),
            zones: (0..scenario.zones).map(|z| format!("zone-{z}").into()).collect(),
            flights: vec![Flight::default(); trace.len()],
            ends: vec![Outcome::Open; trace.len()],
            rng: StdRng::seed_from_u64(scenario.seed),
            listed: vec![true; scenario.engines],
            reports: vec![0; scenario.engines],
            sent_since_report: vec![0; scenario.engines],
            bursts: (0, 0, 0),
            result: RunResult::default(),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled.push(Some(event));
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, self.scheduled.len() - 1)));
    }

    fn start(&mut self) {
        self.apply_listing();
        for engine in 0..self.engines.len() {
            let offset = REPORT_INTERVAL.mul_f64(self.rng.random::<f64>());
            self.schedule(offset, Event::SendReport(engine));
        }
        for instance in 0..self.instances.len() {
            let offset = QUEUE_INTERVAL.mul_f64(self.rng.random::<f64>());
            self.schedule(offset, Event::RetryQueue(instance));
        }
        self.schedule(REPORT_INTERVAL, Event::ExchangeOffers);
        for (at, fault) in &self.scenario.faults {
            self.schedule(*at, Event::Fault(*fault));
        }
        self.schedule(self.trace[0].at, Event::Arrive(0));
    }

    /// Runs until 5 minutes after the last arrival; requests unfinished then stay open.
    fn run(&mut self) {
        let end = self.trace.last().map_or(Duration::ZERO, |r| r.at);
        while let Some(Reverse((at, _, place))) = self.events.pop() {
            let Some(event) = self.scheduled[place].take() else { continue };
            self.now = at;
            if at > end + Duration::from_mins(5) {
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
            Event::SendReport(engine) => self.send_report(engine),
            Event::Deliver(engine, report) => self.deliver(engine, &report),
            Event::Hint(engine, prefix, tokens) => self.hint(engine, prefix, tokens),
            Event::ExchangeOffers => self.exchange_offers(),
            Event::RetryQueue(instance) => self.retry_queue(instance),
            Event::ApplyListing => self.apply_listing(),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn zone_of(&self, engine: usize) -> usize {
        engine % self.scenario.zones
    }
}
