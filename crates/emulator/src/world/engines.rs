//! Engines, and the way of a send through them.

use std::time::Duration;

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::plan::{
    RetryPolicy, Route, RouteTable, Service, ServiceId, WeightedService,
};
use mimosapass_core::ids::{TargetId, ZoneId};
use rand::RngExt;

use super::{End, Event, World};
use crate::engine::{Job, Runner, Step};
use crate::load::{COST, KINDS, ZONES};

/// Time after which a connection that nobody takes is given up.
const CONNECT: Duration = Duration::from_millis(150);
/// Time after which work of an engine that fell silent is cut off.
pub const STALL: Duration = Duration::from_millis(1_500);
/// Time on the way from an engine to the caller.
const TO_CALLER: Duration = Duration::from_millis(4);

/// Returns index and name of the zone of an instance or engine.
pub fn zone(index: usize) -> (usize, ZoneId) {
    let zone = index % ZONES;
    (zone, format!("z{zone}").as_str().into())
}

fn service() -> ServiceId {
    "pool".into()
}

/// Returns the configuration of all runs: one route for each kind.
pub fn plan() -> RouteTable {
    let route = |kind: &crate::load::Kind| Route {
        name: kind.name.into(),
        host: "h".to_owned(),
        prefix: format!("/{}/", kind.name),
        retry_policy: RetryPolicy::Idempotent,
        streaming: true,
        timeout: Duration::from_millis(kind.limit_ms),
        goal: Duration::from_millis(kind.goal_ms),
        max_gap: Duration::from_millis(kind.gap_ms),
        priority: 1,
        split: vec![WeightedService { service: service(), weight: 1.0 }],
        attempts: 2,
        public: true,
    };
    let pool = Service {
        name: service(),
        health_path: "/".to_owned(),
        max_connections: 400,
        engine: Some(COST),
    };
    RouteTable::new(1, KINDS.iter().map(route).collect(), vec![pool])
}

/// An engine and its place in the deployment.
#[derive(Debug)]
pub struct Site {
    pub id: TargetId,
    pub zone: usize,
    pub runner: Runner,
    pub alive: bool,
    pub dark: bool,
    pub draining: bool,
    /// Share of requests that it fails.
    pub grey: f64,
    /// Times that it was started.
    pub born: u64,
    index: usize,
}

impl Site {
    pub fn new(index: usize) -> Self {
        Self {
            id: format!("e{index:02}").as_str().into(),
            zone: zone(index).0,
            runner: Runner::new(COST),
            alive: true,
            dark: false,
            draining: false,
            grey: 0.0,
            born: 1,
            index,
        }
    }

    /// Returns what the engine says of itself.
    pub fn target(&self) -> Target {
        Target {
            id: TargetId::clone(&self.id),
            service: service(),
            addr: std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + self.index as u16)),
            zone: zone(self.index).1,
            slots: COST.slots,
            draining: self.draining,
            started_ms: self.born,
            seq: 1 + u64::from(self.draining),
            warmup: Duration::ZERO,
        }
    }

    fn silent(&self) -> bool {
        self.dark || !self.alive
    }
}

impl World<'_> {
    /// Returns the engines of a send, the answering one first.
    fn sites_of(&self, id: RequestNumber) -> Vec<usize> {
        let Some(send) = self.sends.get(&id) else { return Vec::new() };
        let targets = send.grant.targets();
        targets.iter().filter_map(|t| self.index.get(t)).copied().collect()
    }

    /// A send reaches its engines.
    pub fn start(&mut self, id: RequestNumber) {
        let Some(send) = self.sends.get(&id) else { return };
        let (place, call) = (&send.grant.place, &self.fates[send.call]);
        let prompt = call.call.prompt;
        let parts = place.helpers.len() as u32 + 1;
        let keeps = place.helpers.iter().map(|h| h.kept_tokens);
        let memory: Vec<u64> = std::iter::once(place.memory).chain(keeps).collect();
        let events = call.left;
        let sites = self.sites_of(id);
        if self.sites[sites[0]].silent() {
            return self.after(CONNECT, Event::Fail(id, false));
        }
        if sites[1..].iter().any(|i| self.sites[*i].silent()) {
            return self.after(STALL, Event::Fail(id, false));
        }
        let mut refused = false;
        for (at, (site, memory)) in std::iter::zip(&sites, memory).enumerate() {
            let job = Job { id, prompt, parts, first: at == 0, memory, events };
            refused |= !self.sites[*site].runner.take(job);
        }
        if refused {
            return self.fail(id, false);
        }
        for site in sites {
            self.kick(site);
        }
    }

    /// Begins a pass where none is under way.
    fn kick(&mut self, engine: usize) {
        let site = &mut self.sites[engine];
        if site.runner.busy || site.silent() {
            return;
        }
        let epoch = site.runner.epoch;
        if let Some(time) = site.runner.begin() {
            self.after(time, Event::Pass(engine, epoch));
        }
    }

    /// Ends a pass.
    pub fn pass(&mut self, engine: usize, epoch: u64) {
        let site = &mut self.sites[engine];
        if site.runner.epoch != epoch || site.silent() {
            return;
        }
        let steps = site.runner.end();
        site.runner.busy = false;
        for step in steps {
            self.step(step);
        }
        self.kick(engine);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Read(id) => self.read(id),
            Step::Event(id) => self.event(id, false),
            Step::Ended(id) => self.event(id, true),
        }
    }

    /// A part of a prompt has been read.
    fn read(&mut self, id: RequestNumber) {
        let Some(send) = self.sends.get_mut(&id) else { return };
        send.unread -= 1;
        if send.unread > 0 {
            return;
        }
        let keeps: Vec<u64> = send.grant.place.helpers.iter().map(|h| h.kept_tokens).collect();
        let sites = self.sites_of(id);
        for (site, keeps) in std::iter::zip(&sites[1..], keeps) {
            if keeps == 0 {
                self.sites[*site].runner.drop_job(id);
            }
        }
        if self.rng.random::<f64>() < self.sites[sites[0]].grey {
            return self.failed(id, Outcome::Failed, true);
        }
        if let Some(step) = self.sites[sites[0]].runner.write(id) {
            self.step(step);
        }
        self.kick(sites[0]);
    }

    /// An event reaches its caller.
    fn event(&mut self, id: RequestNumber, last: bool) {
        let moment = self.moment();
        let Some(send) = self.sends.get_mut(&id) else { return };
        let (instance, call) = (send.instance, send.call);
        let first = !std::mem::replace(&mut send.begun, true);
        let grant = send.grant.clone();
        let at = self.now + TO_CALLER;
        let fate = &mut self.fates[call];
        fate.left = fate.left.saturating_sub(1);
        let begun = fate.first.is_some();
        let before = fate.last;
        if begun {
            fate.pause = fate.pause.max(at.saturating_sub(fate.last));
        } else {
            fate.first = Some(at.saturating_sub(fate.call.at));
        }
        fate.last = at;
        let node = &mut self.nodes[instance];
        if begun {
            let pause = at.saturating_sub(before);
            node.scheduler.record_event(&grant, &COST, pause, moment);
        }
        if last {
            fate.end = Some(End::Served);
            fate.sent = None;
            self.nodes[instance].scheduler.record_outcome(
                &grant.place.target.id,
                Outcome::Answered,
                moment,
            );
            self.close(id);
        } else if first {
            node.scheduler.first_event(&grant, moment);
            self.round(instance);
        }
    }

    /// Takes a send off its engines and out of the load.
    pub fn close(&mut self, id: RequestNumber) {
        let sites = self.sites_of(id);
        let Some(send) = self.sends.remove(&id) else { return };
        for site in sites {
            self.sites[site].runner.drop_job(id);
        }
        if self.nodes[send.instance].alive {
            self.nodes[send.instance].scheduler.finish(&send.grant);
            self.round(send.instance);
        }
    }

    /// A send is over without an answer; `ran` says whether its engine began.
    pub fn fail(&mut self, id: RequestNumber, ran: bool) {
        self.failed(id, Outcome::Silent, ran);
    }

    fn failed(&mut self, id: RequestNumber, outcome: Outcome, ran: bool) {
        let moment = self.moment();
        let Some(send) = self.sends.get(&id) else { return };
        let (instance, call) = (send.instance, send.call);
        let target = TargetId::clone(&send.grant.place.target.id);
        self.nodes[instance].scheduler.record_outcome(&target, outcome, moment);
        self.close(id);
        let fate = &mut self.fates[call];
        fate.sent = None;
        fate.sends += u32::from(ran);
        if let Some(need) = &mut fate.need {
            need.avoid.push(target);
        }
        self.again(call);
    }

    /// The work of an engine that fell silent is cut off.
    pub fn stalled(&mut self, engine: usize, epoch: u64) {
        if self.sites[engine].runner.epoch == epoch {
            for id in self.sites[engine].runner.restart() {
                self.fail(id, true);
            }
        }
    }
}
