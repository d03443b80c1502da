//! Engines, and the steps of a dispatch on them.

use std::time::Duration;

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::route_table::{
    RetryPolicy, Route, RouteTable, Service, ServiceId, WeightedService,
};
use mimosapass_core::ids::{TargetId, ZoneId};
use rand::RngExt;

use super::{CallEnd, Event, Simulation};
use crate::engine::{EngineModel, Job, Progress};
use crate::load::{COST, KINDS, ZONES};

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without progress after which requests at an engine fail.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes of an event of an answer on the way to the caller, with its framing.
const EVENT_BYTES: u64 = 150;
/// Latency from an engine to the caller.
const CALLER_LATENCY: Duration = Duration::from_millis(4);

/// Returns the index and name of the zone of an instance or engine.
pub fn zone(index: usize) -> (usize, ZoneId) {
    let zone = index % ZONES;
    (zone, format!("z{zone}").as_str().into())
}

fn service() -> ServiceId {
    "pool".into()
}

/// Returns the route table of all runs, with one route per kind.
pub fn route_table() -> RouteTable {
    let route = |kind: &crate::load::Kind| Route {
        name: kind.name.into(),
        host: "h".to_owned(),
        prefix: format!("/{}/", kind.name),
        retry_policy: RetryPolicy::Idempotent,
        streaming: true,
        timeout: Duration::from_millis(kind.timeout_ms),
        latency_goal: Duration::from_millis(kind.goal_ms),
        max_gap: Duration::from_millis(kind.max_gap_ms),
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

/// An engine with its identity and condition.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a condition of its own")]
pub struct EngineNode {
    pub id: TargetId,
    pub zone: usize,
    pub model: EngineModel,
    pub alive: bool,
    pub unresponsive: bool,
    pub draining: bool,
    /// Share of requests that fail on it.
    pub failure_rate: f64,
    /// Number of times it was started.
    pub starts: u64,
    /// Whether a pass has ended whose progress is not applied yet.
    ending_pass: bool,
    index: usize,
}

impl EngineNode {
    pub fn new(index: usize) -> Self {
        Self {
            id: format!("e{index:02}").as_str().into(),
            zone: zone(index).0,
            model: EngineModel::new(COST),
            alive: true,
            unresponsive: false,
            draining: false,
            failure_rate: 0.0,
            starts: 1,
            ending_pass: false,
            index,
        }
    }

    /// Returns the engine's entry in the target list.
    pub fn target(&self) -> Target {
        Target {
            id: TargetId::clone(&self.id),
            service: service(),
            addr: std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + self.index as u16)),
            zone: zone(self.index).1,
            slots: COST.slots,
            draining: self.draining,
            started_ms: self.starts,
            seq: 1 + u64::from(self.draining),
            warmup: Duration::ZERO,
        }
    }

    fn is_unresponsive(&self) -> bool {
        self.unresponsive || !self.alive
    }
}

impl Simulation<'_> {
    /// Returns the engines of a dispatch, the answering one first.
    fn engines_of(&self, id: RequestNumber) -> Vec<usize> {
        let Some(dispatch) = self.dispatches.get(&id) else { return Vec::new() };
        let targets = dispatch.grant.targets();
        targets.iter().filter_map(|t| self.engine_index.get(t)).copied().collect()
    }

    /// Delivers a dispatch to its engines.
    pub fn deliver(&mut self, id: RequestNumber) {
        let Some(dispatch) = self.dispatches.get(&id) else { return };
        let (placement, call) = (&dispatch.grant.placement, &self.records[dispatch.call]);
        let prompt = call.call.prompt;
        let parts = placement.helpers.len() as u32 + 1;
        let kept = placement.helpers.iter().map(|h| h.kept_tokens);
        let memory: Vec<u64> = std::iter::once(placement.memory_tokens).chain(kept).collect();
        let events = call.remaining_events;
        let engines = self.engines_of(id);
        if self.engines[engines[0]].is_unresponsive() {
            return self.after(CONNECT_TIMEOUT, Event::Fail(id, false));
        }
        if engines[1..].iter().any(|i| self.engines[*i].is_unresponsive()) {
            return self.after(STALL_TIMEOUT, Event::Fail(id, false));
        }
        let mut refused = false;
        for (at, (engine, memory)) in std::iter::zip(&engines, memory).enumerate() {
            let job = Job { id, prompt, parts, answering: at == 0, memory, events };
            refused |= !self.engines[*engine].model.enqueue(job);
        }
        if refused {
            return self.fail(id, false);
        }
        for engine in engines {
            self.begin_pass(engine);
        }
    }

    /// Begins a pass unless one is running.
    fn begin_pass(&mut self, engine: usize) {
        let node = &mut self.engines[engine];
        if node.model.in_pass || node.ending_pass || node.is_unresponsive() {
            return;
        }
        let epoch = node.model.epoch;
        if let Some(time) = node.model.begin_pass() {
            self.after(time, Event::EndPass(engine, epoch));
        }
    }

    /// Ends a pass unless the engine restarted or failed meanwhile.
    pub fn end_pass(&mut self, engine: usize, epoch: u64) {
        let node = &mut self.engines[engine];
        if node.model.epoch != epoch || node.is_unresponsive() {
            return;
        }
        let progress = node.model.end_pass();
        node.model.in_pass = false;
        node.ending_pass = true;
        for change in progress {
            self.apply_progress(change);
        }
        self.engines[engine].ending_pass = false;
        self.begin_pass(engine);
    }

    fn apply_progress(&mut self, progress: Progress) {
        match progress {
            Progress::PrefillDone(id) => self.prefill_done(id),
            Progress::Event(id) => self.answer_event(id, false),
            Progress::LastEvent(id) => self.answer_event(id, true),
        }
    }

    /// Handles the end of a part's prefill; starts the answer after the last part.
    ///
    /// Helpers that keep no tokens are freed then.
    fn prefill_done(&mut self, id: RequestNumber) {
        let Some(dispatch) = self.dispatches.get_mut(&id) else { return };
        dispatch.unread_parts -= 1;
        if dispatch.unread_parts > 0 {
            return;
        }
        let kept: Vec<u64> =
            dispatch.grant.placement.helpers.iter().map(|h| h.kept_tokens).collect();
        let engines = self.engines_of(id);
        for (engine, kept_tokens) in std::iter::zip(&engines[1..], kept) {
            if kept_tokens == 0 {
                self.engines[*engine].model.cancel(id);
            }
        }
        if self.rng.random::<f64>() < self.engines[engines[0]].failure_rate {
            return self.end_attempt(id, Outcome::Failed, true);
        }
        if let Some(progress) = self.engines[engines[0]].model.start_answer(id) {
            self.apply_progress(progress);
        }
        self.begin_pass(engines[0]);
    }

    /// Handles an event of the answer, which reaches its caller after a delay.
    fn answer_event(&mut self, id: RequestNumber, last: bool) {
        let instant = self.instant();
        let Some(dispatch) = self.dispatches.get_mut(&id) else { return };
        let (instance, call) = (dispatch.instance, dispatch.call);
        let first = !std::mem::replace(&mut dispatch.answering, true);
        let grant = dispatch.grant.clone();
        let sent = self.transmit(self.records[call].entry, EVENT_BYTES);
        let at = self.now + CALLER_LATENCY + sent;
        let record = &mut self.records[call];
        record.remaining_events = record.remaining_events.saturating_sub(1);
        let started = record.first_event.is_some();
        let previous = record.last_event;
        if started {
            record.max_gap = record.max_gap.max(at.saturating_sub(record.last_event));
        } else {
            record.first_event = Some(at.saturating_sub(record.call.at));
        }
        record.last_event = at;
        let node = &mut self.instances[instance];
        if started {
            let gap = at.saturating_sub(previous);
            node.scheduler.record_gap(&grant.placement.target.id, &COST, gap, instant);
        }
        if last {
            record.end = Some(CallEnd::Served);
            record.dispatch_id = None;
            self.instances[instance].scheduler.record_outcome(
                &grant.placement.target.id,
                Outcome::Answered,
                instant,
            );
            self.release(id);
        } else if first {
            node.scheduler.first_event(&grant, instant);
            self.dispatch_waiting(instance);
        }
    }

    /// Removes a dispatch from its engines and from the load of its instance.
    pub fn release(&mut self, id: RequestNumber) {
        let engines = self.engines_of(id);
        let Some(dispatch) = self.dispatches.remove(&id) else { return };
        for engine in engines {
            self.engines[engine].model.cancel(id);
        }
        if self.instances[dispatch.instance].alive {
            self.instances[dispatch.instance].scheduler.finish(&dispatch.grant);
            self.dispatch_waiting(dispatch.instance);
        }
    }

    /// Ends a dispatch without an answer; `ran` counts it as an attempt.
    pub fn fail(&mut self, id: RequestNumber, ran: bool) {
        self.end_attempt(id, Outcome::Silent, ran);
    }

    fn end_attempt(&mut self, id: RequestNumber, outcome: Outcome, ran: bool) {
        let instant = self.instant();
        let Some(dispatch) = self.dispatches.get(&id) else { return };
        let (instance, call) = (dispatch.instance, dispatch.call);
        let target = TargetId::clone(&dispatch.grant.placement.target.id);
        self.instances[instance].scheduler.record_outcome(&target, outcome, instant);
        self.release(id);
        let record = &mut self.records[call];
        record.dispatch_id = None;
        record.attempts += u32::from(ran);
        if let Some(requirements) = &mut record.requirements {
            requirements.avoid.push(target);
        }
        self.retry(call);
    }

    /// Fails all requests of an engine that stopped responding.
    pub fn abort_stalled(&mut self, engine: usize, epoch: u64) {
        if self.engines[engine].model.epoch == epoch {
            for id in self.engines[engine].model.restart() {
                self.fail(id, true);
            }
        }
    }
}
