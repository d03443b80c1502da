//! What one instance believes, and the rounds in which waiting requests get places.
//!
//! Requests wait in one list. Whenever the load changes, places are given in
//! the order that [`wait`](crate::edge::wait) states. Answers bursts: what
//! stands first in rank is placed first, and instances that learn of a free
//! engine at the same moment do not all send to it, since a long prompt stands
//! back behind those of peers that go before it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::edge::cost::Engine;
use crate::edge::fleet::{Fleet, TargetId};
use crate::edge::load::{Assignment, Load, Pressure, RequestNumber};
use crate::edge::outcomes::{Outcome, Outcomes, ZoneReachability};
use crate::edge::place::{
    Candidate, MAX_PARTS, MIN_BACKLOG, Placement, PlacementRequest, choose, is_long,
};
use crate::edge::plan::{Route, RouteTable, ServiceId};
use crate::edge::slowdown::Slowdowns;
use crate::edge::wait::{QueueEntry, caller_timeout};
use crate::ids::{InstanceId, ZoneId};

/// Least time between two looks at how busy engines are: half a pass.
const OBSERVE: Duration = Duration::from_millis(25);
/// Least time between two rounds that nothing of this instance caused.
const CALM: Duration = Duration::from_millis(5);
/// Requests for which no place is looked for again in one round: those behind
/// them in the order need as much or have less right to it.
const MOST_MISSES: usize = 6;
/// Long prompts of which peers are told; only the first of them matter.
const MOST_TOLD: usize = 4;
/// Time for which a long prompt waits behind those of peers that go before it. A
/// peer that cannot place its own must not hold up the others for longer.
const YIELD: Duration = Duration::from_millis(500);
/// Additional time on the way to a target of another availability zone.
const FAR: Duration = Duration::from_millis(1);

/// Tokens of prompt that are worth as much as an answer of the least length.
/// Worth is the caller's and not told; the work that it takes stands for it.
const WORTH_TOKENS: f64 = 10_000.0;
/// Share of the most tokens of an answer that answers have, without a hint.
const USUAL_ANSWER: f64 = 0.5;
/// Time that a target of a service takes for a request, before it is measured.
const SERVICE_WORK: Duration = Duration::from_millis(60);

/// What a request needs of a place.
#[derive(Clone, Debug)]
pub struct Need {
    /// Service.
    pub service: ServiceId,
    /// Cost model, where the service's targets are engines.
    pub engine: Option<Engine>,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens expected of the answer.
    pub answer: u64,
    /// Longest pause between events that is on time.
    pub gap: Duration,
    /// Whether reading the whole prompt makes the strictest streams pause too long.
    pub long: bool,
    /// Order among waiting requests.
    pub waiting: QueueEntry,
    /// Targets that failed this request already.
    pub avoid: Vec<TargetId>,
}

/// Tokens that a caller states of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// Tokens of the prompt; 0 at a service.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub max_answer: u64,
    /// The caller's estimate of the answer's tokens.
    pub answer_hint: Option<u64>,
}

impl Need {
    /// Works out what a request of `route` needs that came at `arrived` and has to
    /// be over at `end`.
    pub fn new(
        plan: &RouteTable,
        route: &Route,
        service: &ServiceId,
        size: TokenCounts,
        arrived: Instant,
        end: Instant,
    ) -> Self {
        let engine = plan.engine(service);
        let usual = (size.max_answer as f64 * USUAL_ANSWER) as u64;
        let patient =
            if route.streaming { arrived + caller_timeout(route.goal, route.max_gap) } else { end };
        let prompt = size.prompt;
        let long = engine.is_some_and(|e| is_long(&e, prompt, plan.strictest_gap(service)));
        let parts = if long { MAX_PARTS } else { 1 };
        Self {
            service: ServiceId::clone(service),
            engine,
            prompt,
            answer: size.answer_hint.unwrap_or(usual).min(size.max_answer),
            gap: route.max_gap,
            long,
            waiting: QueueEntry {
                arrived,
                due: arrived + route.goal,
                expires: end.min(patient),
                value: 1.0 + prompt as f64 / WORTH_TOKENS,
                work: engine.map_or(SERVICE_WORK, |e| e.prefill_time(prompt, 1)),
                min_work: engine.map_or(SERVICE_WORK, |e| e.prefill_time(prompt, parts)),
                priority: route.priority,
            },
            avoid: Vec::new(),
        }
    }
}

/// A place that was given; the load of its targets counts the request already.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The place.
    pub place: Placement,
    /// Number under which the load knows the request.
    pub id: RequestNumber,
    /// When it was given.
    pub at: Instant,
}

impl Grant {
    /// Returns the targets of the place, the answering one first.
    pub fn targets(&self) -> Vec<TargetId> {
        let helpers = self.place.helpers.iter().map(|h| TargetId::clone(&h.target.id));
        std::iter::once(TargetId::clone(&self.place.target.id)).chain(helpers).collect()
    }
}

/// Why a request that waits is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// No place can be had in time.
    Late,
    /// Engines have work of more worth; the pressure says how busy they are.
    Pressure(f64),
}

/// What is avoided once an attempt has ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Avoided {
    /// Zone that seems to be cut off, if it did not before.
    pub zone: Option<ZoneId>,
    /// Time for which the target is avoided.
    pub pause: Option<Duration>,
}

/// An instance's view of targets and requests, and the requests that wait with it.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Targets.
    pub fleet: Fleet,
    /// Requests in flight, of all instances.
    pub load: Load,
    /// How attempts ended.
    pub outcomes: Outcomes,
    /// How fast engines write.
    pub slowdowns: Slowdowns,
    /// Zones that seem to be cut off.
    pub reachability: ZoneReachability,
    /// Long prompts that wait with each peer, by service.
    pub peer_queues: HashMap<InstanceId, Vec<(ServiceId, QueueEntry)>>,
    /// Targets at which something changed since peers were told.
    pub changed_targets: BTreeSet<TargetId>,
    /// Whether peers have to be told of the long prompts that wait.
    pub long_changed: bool,
    queue: BTreeMap<RequestNumber, Need>,
    pressure: HashMap<ServiceId, Pressure>,
    last: Option<Instant>,
}

impl Scheduler {
    /// Builds the view of an instance that knows nothing yet.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            fleet: Fleet::default(),
            load: Load::default(),
            outcomes: Outcomes::default(),
            slowdowns: Slowdowns::default(),
            reachability: ZoneReachability::default(),
            peer_queues: HashMap::new(),
            changed_targets: BTreeSet::new(),
            long_changed: false,
            queue: BTreeMap::new(),
            pressure: HashMap::new(),
            last: None,
        }
    }

    /// Puts a request among those that wait; the next round is not put off.
    pub fn enqueue(&mut self, id: RequestNumber, need: Need) {
        self.queue.insert(id, need);
        self.last = None;
    }

    /// Takes a request out that waits no more, if it still waits.
    pub fn dequeue(&mut self, id: RequestNumber) -> Option<Need> {
        let need = self.queue.remove(&id)?;
        self.long_changed |= need.long;
        Some(need)
    }

    /// Returns whether a request still waits.
    pub fn is_waiting(&self, id: RequestNumber) -> bool {
        self.queue.contains_key(&id)
    }

    /// Returns how many requests wait.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the long prompts of which peers are told, with their services.
    pub fn long_entries(&self, now: Instant) -> impl Iterator<Item = (&ServiceId, &QueueEntry)> {
        let ranked = self.ranked(now).into_iter().filter_map(|id| self.queue.get(&id));
        ranked.filter(|need| need.long).map(|n| (&n.service, &n.waiting)).take(MOST_TOLD)
    }

    /// Returns why a request that waits is to be refused, if it is.
    pub fn refusal(&self, need: &Need, now: Instant) -> Option<Refusal> {
        if need.waiting.has_expired(now) {
            return Some(Refusal::Late);
        }
        let pressure = self.pressure(&need.service);
        let hopeless = need.long && need.waiting.should_shed(pressure, now);
        hopeless.then_some(Refusal::Pressure(pressure))
    }

    /// Gives places to requests that wait, in the order of their ranks.
    pub fn dispatch(&mut self, plan: &RouteTable, now: Instant) -> Vec<Grant> {
        self.observe(plan, now);
        let calm = self.last.is_some_and(|last| now < last + CALM);
        if self.queue.is_empty() || calm {
            return Vec::new();
        }
        self.last = Some(now);
        let middle = self.slowdowns.median(now);
        let mut grants = Vec::new();
        let mut misses: HashMap<ServiceId, usize> = HashMap::new();
        for id in self.ranked(now) {
            let Some(need) = self.queue.get(&id) else { continue };
            let count = misses.entry(ServiceId::clone(&need.service)).or_default();
            if *count >= MOST_MISSES || need.long && self.yields(need, now) {
                continue;
            }
            match self.place(need, middle, now) {
                Some(place) => {
                    let need = self.dequeue(id);
                    grants.extend(need.map(|need| self.grant(id, &need, place, now)));
                }
                None => *count += 1,
            }
        }
        grants
    }

    fn ranked(&self, now: Instant) -> Vec<RequestNumber> {
        let mut order: Vec<_> =
            self.queue.iter().map(|(id, need)| (need.waiting.rank(now), *id)).collect();
        order.sort_by(|(a, i), (b, j)| a.order(b).then(i.cmp(j)));
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns whether a long prompt of a peer goes before this one.
    ///
    /// Without this all instances would send the prompts that wait with them to
    /// the same engine in the moment in which it gets free.
    fn yields(&self, need: &Need, now: Instant) -> bool {
        let mut rivals =
            self.peer_queues.values().flatten().filter(|(service, _)| *service == need.service);
        now < need.waiting.arrived + YIELD && rivals.any(|(_, w)| w.precedes(&need.waiting, now))
    }

    /// Looks for a place; `middle` is that of the engines' paces.
    fn place(&self, need: &Need, middle: f64, now: Instant) -> Option<Placement> {
        let far = |zone: &ZoneId| if *zone == self.zone { Duration::ZERO } else { FAR };
        let pace = |id: &str| self.slowdowns.factor(id, middle, now);
        let usable = |avoid: bool| {
            self.fleet
                .serving(&need.service)
                .filter(|t| !avoid || !self.outcomes.is_avoided(&t.id, now))
                .filter(|t| !avoid || !self.reachability.is_cut_off(&t.zone, now))
                .filter(|t| !need.avoid.contains(&t.id))
                .map(|target| Candidate {
                    target,
                    slowdown: pace(&target.id),
                    extra_latency: far(&target.zone),
                })
                .collect::<Vec<_>>()
        };
        let mut candidates = usable(true);
        if candidates.is_empty() {
            candidates = usable(false);
        }
        let pressure = if need.long { self.pressure(&need.service) } else { 0.0 };
        let ask = PlacementRequest {
            prompt: need.prompt,
            answer: need.answer,
            worth: need.waiting.value,
            long: need.long,
            time_left: need.waiting.due.saturating_duration_since(now),
        };
        choose(&ask, need.engine.as_ref(), &candidates, &self.load, now)
            .filter(|place| need.waiting.accepts(place, pressure, now))
    }

    /// Gives a place to a request, whose load counts from now on.
    pub fn grant(
        &mut self,
        id: RequestNumber,
        need: &Need,
        place: Placement,
        now: Instant,
    ) -> Grant {
        let work = Assignment {
            prompt: need.prompt,
            parts: place.helpers.len() as u32 + 1,
            answering: true,
            memory: place.memory,
            answer: need.answer,
            max_gap: need.gap,
            value: need.waiting.value,
            sent_at: now,
            decoding_since: None,
        };
        let mut add = |target: &TargetId, work| {
            self.load.begin(target, id, work, need.engine.as_ref());
            self.changed_targets.insert(TargetId::clone(target));
        };
        add(&place.target.id, work);
        for helper in &place.helpers {
            add(
                &helper.target.id,
                Assignment { answering: false, memory: helper.kept_tokens, ..work },
            );
        }
        Grant { place, id, at: now }
    }

    /// Notes the first event of a request, which ends the reading of its prompt.
    pub fn first_event(&mut self, grant: &Grant, now: Instant) {
        let (place, id) = (&grant.place, grant.id);
        self.load.first_event(&place.target.id, id, now);
        self.changed_targets.insert(TargetId::clone(&place.target.id));
        for helper in &place.helpers {
            if helper.kept_tokens > 0 {
                self.load.first_event(&helper.target.id, id, now);
            } else {
                self.load.end(&helper.target.id, id);
            }
            self.changed_targets.insert(TargetId::clone(&helper.target.id));
        }
    }

    /// Notes an event after the first, with the pause before it.
    pub fn record_event(&mut self, grant: &Grant, engine: &Engine, pause: Duration, now: Instant) {
        let target = &grant.place.target.id;
        let outlook = self.load.predict(target, None, now);
        let predicted = engine.pass_time(outlook.decoding.max(1), outlook.context_tokens);
        self.slowdowns.record(target, pause, predicted, now);
    }

    /// Notes that a request has ended at its targets.
    pub fn finish(&mut self, grant: &Grant) {
        for target in grant.targets() {
            self.load.end(&target, grant.id);
            self.changed_targets.insert(target);
        }
    }

    /// Notes how an attempt at a target ended; returns what is avoided from now on.
    pub fn record_outcome(&mut self, target: &TargetId, outcome: Outcome, now: Instant) -> Avoided {
        let zone = self.fleet.get(target).map(|t| ZoneId::clone(&t.zone));
        let silent = zone.filter(|_| outcome == Outcome::Silent);
        let zone = silent.filter(|zone| self.reachability.target_silent(zone, now));
        let peers = self.peer_failures(target);
        Avoided { zone, pause: self.outcomes.record(target, outcome, peers, now) }
    }

    /// Forgets how a target did that is gone or has started again.
    pub fn forget(&mut self, target: &str) {
        self.outcomes.forget(target);
        self.slowdowns.forget(target);
    }

    /// Returns the mean share of failures among the other targets of a service.
    fn peer_failures(&self, target: &str) -> f64 {
        let Some(own) = self.fleet.get(target) else { return 0.0 };
        let others = self.fleet.serving(&own.service).filter(|t| t.id != own.id);
        let (mut sum, mut count) = (0.0, 0.0);
        for other in others {
            sum += self.outcomes.failure_rate(&other.id);
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Takes in how many engines of each service have a backlog.
    fn observe(&mut self, plan: &RouteTable, now: Instant) {
        for (service, engine) in plan.services().filter_map(|s| s.engine.map(|e| (&s.name, e))) {
            let known = self.pressure.get(service).and_then(Pressure::at);
            if known.is_some_and(|at| now < at + OBSERVE) {
                continue;
            }
            let (mut reading, mut count) = (0.0, 0.0);
            for target in self.fleet.serving(service) {
                let outlook = self.load.predict(&target.id, Some(&engine), now);
                count += 1.0;
                reading += f64::from(u8::from(outlook.prefill_time > MIN_BACKLOG));
            }
            let share = if count > 0.0 { reading / count } else { 0.0 };
            self.pressure.entry(ServiceId::clone(service)).or_default().observe(share, now);
        }
    }

    /// Returns the share of a service's engines with a backlog, as a running mean.
    pub fn pressure(&self, service: &str) -> f64 {
        self.pressure.get(service).map_or(0.0, Pressure::mean)
    }
}
