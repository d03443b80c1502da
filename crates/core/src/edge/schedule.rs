//! The state of one instance, and the rounds that place waiting requests.
//!
//! All requests wait in one queue. Whenever the load changes, they are placed in the
//! order defined by [`wait`](crate::edge::wait). Instances that learn of a free engine
//! at the same moment do not all send to it, since a long prompt yields to those of
//! peers that precede it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::edge::cost::Engine;
use crate::edge::fleet::{Fleet, TargetId};
use crate::edge::helpers::Helpers;
use crate::edge::learning::Learning;
use crate::edge::limits::Limits;
use crate::edge::load::{Assignment, Load, Pressure, RequestNumber};
use crate::edge::order::{Excluded, Lineup, Member, Turn};
use crate::edge::outcomes::{Outcome, Outcomes, ZoneReachability};
use crate::edge::pauses::Pauses;
use crate::edge::placement::{Candidate, Placement, PlacementRequest, choose};
use crate::edge::price::Price;
use crate::edge::pricing::Pricing;
use crate::edge::remote::Orphan;
use crate::edge::route_table::{RouteTable, ServiceId};
use crate::edge::slowdown::Slowdowns;
use crate::edge::wait::QueueEntry;
use crate::ids::{InstanceId, ZoneId};

pub use crate::edge::grant::{Grant, Refusal};
pub use crate::edge::requirements::{Requirements, TokenCounts};

/// Least time between two rounds without a new request in the queue.
const ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Failed placements per service after which a round stops trying: requests further
/// back need as much or rank lower.
const MAX_MISSES: usize = 6;
/// Most waiting long prompts that peers are told of; only the first ones matter.
const MAX_ANNOUNCED: usize = 4;
/// Time for which a long prompt yields to those of peers that precede it. A peer that
/// cannot place its own must not delay the others for longer.
const YIELD_LIMIT: Duration = Duration::from_millis(500);
/// Additional latency to a target in another availability zone.
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(1);

/// What an outcome newly excludes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exclusions {
    /// Availability zone that is newly considered cut off.
    pub zone: Option<ZoneId>,
    /// Time for which the target is excluded.
    pub pause: Option<Duration>,
}

/// An instance's view of targets and requests, and its queue.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Which engines it fills first.
    pub turn: Turn,
    /// Known targets.
    pub fleet: Fleet,
    /// Requests in flight, from all instances.
    pub load: Load,
    /// Outcomes of attempts.
    pub outcomes: Outcomes,
    /// Pauses that targets asked this instance for.
    pub pauses: Pauses,
    /// Targets that do not help with the prompts of others.
    pub helpers: Helpers,
    /// Limits that targets state.
    pub limits: Limits,
    /// How much slower engines decode than their peers.
    pub slowdowns: Slowdowns,
    /// Availability zones that appear to be cut off.
    pub reachability: ZoneReachability,
    /// Long prompts in the queue of each peer, with their services.
    pub peer_queues: HashMap<InstanceId, Vec<(ServiceId, QueueEntry)>>,
    /// Requests that wait at each peer for services of which all targets state limits.
    pub peer_waiting: HashMap<InstanceId, HashMap<ServiceId, usize>>,
    /// Targets whose load changed since the last datagram to peers.
    pub changed_targets: BTreeSet<TargetId>,
    /// Whether the waiting long prompts changed since the last datagram to peers.
    pub long_changed: bool,
    /// How the price of engine time is found.
    pub pricing: Pricing,
    /// What is learned of costs and speeds; `None` to take what is stated.
    pub learning: Option<Learning>,
    pub(super) queue: BTreeMap<RequestNumber, Requirements>,
    lineups: HashMap<ServiceId, Lineup>,
    pub(super) pressure: HashMap<ServiceId, Pressure>,
    pub(super) prices: HashMap<ServiceId, Price>,
    last_round: Option<Instant>,
}

impl Scheduler {
    /// Creates a scheduler without targets or requests.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            turn: Turn::default(),
            fleet: Fleet::default(),
            load: Load::default(),
            outcomes: Outcomes::default(),
            pauses: Pauses::default(),
            helpers: Helpers::default(),
            limits: Limits::default(),
            slowdowns: Slowdowns::default(),
            reachability: ZoneReachability::default(),
            peer_queues: HashMap::new(),
            peer_waiting: HashMap::new(),
            changed_targets: BTreeSet::new(),
            long_changed: false,
            pricing: Pricing::default(),
            learning: None,
            queue: BTreeMap::new(),
            lineups: HashMap::new(),
            pressure: HashMap::new(),
            prices: HashMap::new(),
            last_round: None,
        }
    }

    /// Adds a request to the queue; the next round starts without delay.
    pub fn enqueue(&mut self, id: RequestNumber, mut requirements: Requirements) {
        if let Some(learning) = &self.learning {
            let arrived = requirements.entry.arrived;
            learning.estimate(&mut requirements, arrived);
        }
        self.record_asked(&requirements);
        self.queue.insert(id, requirements);
        self.last_round = None;
    }

    /// Removes a request from the queue, if it still waits.
    pub fn dequeue(&mut self, id: RequestNumber) -> Option<Requirements> {
        let requirements = self.queue.remove(&id)?;
        self.long_changed |= requirements.long;
        Some(requirements)
    }

    /// Returns whether a request still waits.
    pub fn is_waiting(&self, id: RequestNumber) -> bool {
        self.queue.contains_key(&id)
    }

    /// Returns the length of the queue.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the waiting long prompts that peers are told of, with their services.
    pub fn long_entries(&self, now: Instant) -> impl Iterator<Item = (&ServiceId, &QueueEntry)> {
        let ranked = self.ranked(now).into_iter().filter_map(|id| self.queue.get(&id));
        ranked.filter(|r| r.long).map(|r| (&r.service, &r.entry)).take(MAX_ANNOUNCED)
    }

    /// Returns why a waiting request is refused, if it is.
    pub fn refusal(&self, requirements: &Requirements, now: Instant) -> Option<Refusal> {
        // No target is about to be free: the operator says when a zone is taken back.
        let evacuated = self.fleet.is_evacuated(&requirements.service);
        if evacuated || requirements.entry.has_expired(now) {
            return Some(Refusal::Late);
        }
        if let Some(end) = self.pause_end(&requirements.service, now)
            && end >= requirements.entry.expires
        {
            return Some(Refusal::Paused(end.saturating_duration_since(now)));
        }
        if let Some(left) = self.limited_for(requirements, now) {
            return Some(Refusal::Limited(left));
        }
        let price = self.price(requirements);
        let shed = requirements.entry.should_shed(price, now);
        shed.then(|| self.price_refusal(&requirements.service, price))
    }

    /// Returns when the first pause ends, if all targets of a service asked for one.
    fn pause_end(&self, service: &str, now: Instant) -> Option<Instant> {
        let ends = self.fleet.serving(service).map(|t| self.pauses.end(&t.id, now));
        ends.collect::<Option<Vec<Instant>>>()?.into_iter().min()
    }

    /// Returns the time that the requests before this one take if all targets of the service
    /// state limits; `None` if it can be served before its caller gives up.
    fn limited_for(&self, requirements: &Requirements, now: Instant) -> Option<Duration> {
        let (service, entry) = (&requirements.service, &requirements.entry);
        let latest = entry.latest_start()?;
        let (mut rate, mut capacity) = (0.0, 0.0);
        for target in self.fleet.serving(service) {
            let (taken, used_rate) = self.limits.capacity(&target.id, now, latest)?;
            capacity += taken;
            rate += used_rate;
        }
        let ahead = self.waiting_before(service, entry, now);
        // Without a target the rate is 0.
        let left = Duration::try_from_secs_f64((ahead + 1.0) / rate).ok()?;
        (ahead >= capacity).then_some(left)
    }

    /// Estimates how many requests of a service wait before one, at all schedulers.
    fn waiting_before(&self, service: &str, entry: &QueueEntry, now: Instant) -> f64 {
        let own = || self.queue.values().filter(|r| *r.service == *service).map(|r| &r.entry);
        let rank = entry.rank(now);
        let precedes =
            |e: &&QueueEntry| e.rank(now).order(&rank).then(e.arrived.cmp(&entry.arrived)).is_lt();
        let (before, count) = (own().filter(precedes).count(), own().count());
        let peers = self.peer_waiting.values().filter_map(|waiting| waiting.get(service));
        let elsewhere = peers.sum::<usize>() as f64;
        // The requests of peers precede it as often as those here.
        before as f64 + elsewhere * before as f64 / count.max(1) as f64
    }

    /// Returns how many requests wait for services of which all targets state limits.
    pub fn limited_queues(&self) -> BTreeMap<&ServiceId, usize> {
        let mut queues = BTreeMap::new();
        if self.limits.count() == 0 {
            return queues;
        }
        for requirements in self.queue.values() {
            *queues.entry(&requirements.service).or_default() += 1;
        }
        let limited = |id: &ServiceId| {
            self.fleet.serving(id).all(|target| self.limits.rate(&target.id).is_some())
        };
        queues.retain(|service, _| limited(service));
        queues
    }

    /// Places waiting requests in the order of their ranks.
    pub fn dispatch(&mut self, table: &RouteTable, now: Instant) -> Vec<Grant> {
        self.sample(table, now);
        let too_soon = self.last_round.is_some_and(|last| now < last + ROUND_INTERVAL);
        if self.queue.is_empty() || too_soon {
            return Vec::new();
        }
        self.last_round = Some(now);
        self.update_lineups(now);
        let lineups = std::mem::take(&mut self.lineups);
        let median = self.slowdowns.median(now);
        let mut candidates: HashMap<(ServiceId, bool), Vec<Candidate<'_>>> = HashMap::new();
        let mut grants = Vec::new();
        let mut misses: HashMap<ServiceId, usize> = HashMap::new();
        for id in self.ranked(now) {
            let Some(requirements) = self.queue.get(&id) else { continue };
            let service = &requirements.service;
            let count = misses.entry(ServiceId::clone(service)).or_default();
            if *count >= MAX_MISSES || requirements.long && self.yields(requirements, now) {
                continue;
            }
            let usable = candidates
                .entry((ServiceId::clone(service), requirements.long))
                .or_insert_with(|| {
                    let members = lineups[service].members(requirements.long);
                    self.candidates(service, members, median, now)
                });
            match self.place(requirements, usable, now) {
                Some(placement) => {
                    let requirements = self.dequeue(id);
                    let closed = self.record_requests(&placement, now);
                    for usable in candidates.values_mut().filter(|_| !closed.is_empty()) {
                        usable.retain(|c| !closed.contains(&c.target.id));
                    }
                    grants.extend(requirements.map(|r| self.grant(id, &r, placement, now)));
                }
                None => *count += 1,
            }
        }
        drop(candidates);
        self.lineups = lineups;
        grants
    }

    /// Counts a request to the targets of a placement; returns those that get no other one
    /// for now.
    pub fn record_requests(&mut self, placement: &Placement, now: Instant) -> Vec<TargetId> {
        let helpers = placement.helpers.iter().map(|h| &h.target.id);
        let targets = std::iter::once(&placement.target.id).chain(helpers).cloned();
        let mut admits = |id: &TargetId| {
            let limited = self.limits.record_request(id, now);
            self.pauses.record_request(id, now) && limited
        };
        targets.filter(|id| !admits(id)).collect()
    }

    fn ranked(&self, now: Instant) -> Vec<RequestNumber> {
        let mut order: Vec<_> = self.queue.iter().map(|(id, r)| (r.entry.rank(now), *id)).collect();
        order.sort_by(|(a, i), (b, j)| a.order(b).then(i.cmp(j)));
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns whether a long prompt of a peer precedes this one.
    ///
    /// Without this check all instances would send their waiting prompts to the same
    /// engine as soon as it becomes free.
    fn yields(&self, requirements: &Requirements, now: Instant) -> bool {
        let mut peer_entries = self
            .peer_queues
            .values()
            .flatten()
            .filter(|(service, _)| *service == requirements.service);
        now < requirements.entry.arrived + YIELD_LIMIT
            && peer_entries.any(|(_, entry)| entry.precedes(&requirements.entry, now))
    }

    /// Returns the candidates of a service in the order of its lineup.
    fn candidates<'a>(
        &self,
        service: &str,
        members: &'a [Member],
        median: f64,
        now: Instant,
    ) -> Vec<Candidate<'a>> {
        let extra_latency =
            |zone: &ZoneId| if *zone == self.zone { Duration::ZERO } else { CROSS_ZONE_LATENCY };
        let learning = self.learning.as_ref();
        let usual = learning.map_or(1.0, |l| l.median(&self.fleet, service, now));
        let slowdown = |id: &TargetId| {
            let factor = self.slowdowns.factor(id, median, now);
            // A target that has become slow shows sooner in its last gaps.
            match learning {
                Some(learning) if factor <= 1.0 => learning.speeds.factor(id, usual, now),
                _ => factor,
            }
        };
        members
            .iter()
            .map(|Member { target, position }| Candidate {
                target,
                slowdown: slowdown(&target.id),
                extra_latency: extra_latency(&target.zone),
                position: *position,
            })
            .collect()
    }

    /// Chooses a placement among the candidates.
    fn place(
        &self,
        requirements: &Requirements,
        candidates: &[Candidate<'_>],
        now: Instant,
    ) -> Option<Placement> {
        let price = self.price(requirements);
        let request = PlacementRequest {
            prompt: requirements.prompt,
            answer: requirements.answer,
            value: requirements.entry.value,
            work: self.learning.is_some().then_some(requirements.call_time),
            long: requirements.long,
            whole: requirements.whole,
            time_left: requirements.entry.due.saturating_duration_since(now),
        };
        let engine = requirements.engine.as_ref();
        let chosen = if requirements.avoid.is_empty() {
            choose(&request, engine, candidates, &self.load, now)
        } else {
            let untried = candidates.iter().filter(|c| !requirements.avoid.contains(&c.target.id));
            let untried: Vec<Candidate<'_>> = untried.cloned().collect();
            choose(&request, engine, &untried, &self.load, now)
        };
        chosen.filter(|p| requirements.entry.accepts(p, price, now))
    }

    /// Updates the lineups of services after a change of targets.
    fn update_lineups(&mut self, now: Instant) {
        let excluded = Excluded {
            targets: self.outcomes.avoided(now).cloned().collect(),
            zones: self.reachability.cut_off(now).cloned().collect(),
            helpers: self.helpers.paused(now).map(|(id, _)| TargetId::clone(id)).collect(),
            closed: self.pauses.closed(now).chain(self.limits.closed(now)).cloned().collect(),
        };
        let waiting: BTreeSet<&ServiceId> = self.queue.values().map(|r| &r.service).collect();
        for service in waiting {
            let lineup = self.lineups.entry(ServiceId::clone(service)).or_default();
            if !lineup.is_current(&self.fleet, self.turn, &excluded) {
                *lineup = Lineup::new(&self.fleet, service, &self.zone, self.turn, &excluded);
            }
        }
    }

    /// Assigns a placement to a request and adds it to the load.
    pub fn grant(
        &mut self,
        id: RequestNumber,
        requirements: &Requirements,
        placement: Placement,
        now: Instant,
    ) -> Grant {
        let assignment = Assignment {
            prompt: requirements.prompt,
            parts: placement.helpers.len() as u32 + 1,
            answering: true,
            memory_tokens: placement.memory_tokens,
            answer: requirements.answer,
            max_gap: requirements.max_gap,
            value: requirements.entry.value,
            work: requirements.call_time,
            sent_at: now,
            decoding_since: None,
        };
        let mut add = |target: &TargetId, assignment| {
            self.load.begin(target, id, assignment, requirements.engine.as_ref());
            self.changed_targets.insert(TargetId::clone(target));
        };
        add(&placement.target.id, assignment);
        for helper in &placement.helpers {
            add(
                &helper.target.id,
                Assignment { answering: false, memory_tokens: helper.kept_tokens, ..assignment },
            );
        }
        Grant { placement, id, at: now }
    }

    /// Records the first event of a request, which ends its prefill.
    pub fn first_event(&mut self, grant: &Grant, now: Instant) {
        let (placement, id) = (&grant.placement, grant.id);
        self.load.first_event(&placement.target.id, id, now);
        self.changed_targets.insert(TargetId::clone(&placement.target.id));
        for helper in &placement.helpers {
            if helper.kept_tokens > 0 {
                self.load.first_event(&helper.target.id, id, now);
            } else {
                self.load.end(&helper.target.id, id);
            }
            self.changed_targets.insert(TargetId::clone(&helper.target.id));
        }
    }

    /// Adds a request that was placed by a scheduler which has failed since.
    pub fn adopt(&mut self, orphan: &Orphan) {
        let Orphan { grant, requirements, first_event } = orphan;
        let grant = self.grant(grant.id, requirements, grant.placement.clone(), grant.at);
        if let Some(at) = first_event {
            self.first_event(&grant, *at);
        }
    }

    /// Records a gap between two events of a target.
    pub fn record_gap(&mut self, target: &TargetId, engine: &Engine, gap: Duration, now: Instant) {
        let prediction = self.load.predict(target, None, now);
        let predicted = engine.pass_time(prediction.decoding.max(1), prediction.context_tokens);
        self.slowdowns.record(target, gap, predicted, now);
        // Prefill between events would make the target look slow.
        if let (Some(learning), 0) = (&mut self.learning, prediction.prefilling) {
            learning.speeds.record(target, gap, predicted, now);
        }
    }

    /// Removes a request that has ended from the load of its targets.
    pub fn finish(&mut self, grant: &Grant) {
        for target in grant.targets() {
            self.load.end(&target, grant.id);
            self.changed_targets.insert(target);
        }
    }

    /// Records the outcome of an attempt; returns what it newly excludes.
    pub fn record_outcome(
        &mut self,
        target: &TargetId,
        outcome: Outcome,
        now: Instant,
    ) -> Exclusions {
        let zone = self.fleet.get(target).map(|t| ZoneId::clone(&t.zone));
        let silent = zone.filter(|_| outcome == Outcome::Silent);
        let zone = silent.filter(|zone| self.reachability.record_silent_target(zone, now));
        let peers = self.peer_failure_rate(target);
        Exclusions { zone, pause: self.outcomes.record(target, outcome, peers, now) }
    }

    /// Removes the records of a target that is gone or has restarted.
    pub fn forget(&mut self, target: &str) {
        self.outcomes.forget(target);
        self.slowdowns.forget(target);
        if let Some(learning) = &mut self.learning {
            learning.speeds.forget(target);
        }
        self.pauses.forget(target);
        self.helpers.forget(target);
        self.limits.forget(target);
    }

    /// Returns the mean failure rate of the other targets of the service.
    fn peer_failure_rate(&self, target: &str) -> f64 {
        let Some(own) = self.fleet.get(target) else { return 0.0 };
        let others = self.fleet.serving(&own.service).filter(|t| t.id != own.id);
        let (mut sum, mut count) = (0.0, 0.0);
        for other in others {
            sum += self.outcomes.failure_rate(&other.id);
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}
