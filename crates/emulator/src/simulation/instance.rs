//! Instances: scheduling of waiting requests, and updates between peers.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosapass_core::edge::election::ELECTED;
use mimosapass_core::edge::load::{Assignment, RequestNumber};
use mimosapass_core::edge::order::Turn;
use mimosapass_core::edge::route_table::ServiceId;
use mimosapass_core::edge::schedule::{Grant, Refusal, Scheduler};
use mimosapass_core::edge::wait::{QueueEntry, retry_after};
use mimosapass_core::ids::{InstanceId, TargetId};
use mimosapass_core::rendezvous;

use super::engines::zone;
use super::{Dispatch, Event, Simulation};
use crate::load::{COST, ZONES};
use crate::pattern::Exchange;
use crate::policy::baseline;

/// Time in which an instance collects changes before it sends an update.
const UPDATE_DELAY: Duration = Duration::from_millis(1);
/// Latency between two instances, or from an instance to an engine.
const HOP_LATENCY: Duration = Duration::from_micros(500);
/// Time until a request is at the scheduler that places it, or a grant at its instance.
const ASK_LATENCY: Duration = Duration::from_micros(1_500);
/// Time after which a request without an answer goes to the next scheduler.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Messages about a request that another instance places: the request, its first event
/// and its end. The grant is the scheduler's.
const CLIENT_MESSAGES: u64 = 3;
/// Prompt tokens in a byte of a request, which names most of its prompt by reference.
const PROMPT_TOKENS_PER_BYTE: u64 = 4;
/// Bytes of an update besides its targets.
const UPDATE_BYTES: u64 = 120;
/// Bytes of a target in an update, and of each of its requests.
const TARGET_BYTES: u64 = 16;
const REQUEST_BYTES: u64 = 36;
/// Interval between checks of a waiting request.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// One instance of the gateway.
#[derive(Debug)]
pub struct Instance {
    pub name: InstanceId,
    pub zone: usize,
    pub alive: bool,
    pub scheduler: Scheduler,
    /// Whether an update to its peers is scheduled.
    pub update_pending: bool,
    /// Messages sent to other instances.
    pub messages: u64,
    /// When its link has sent all that was given to it.
    pub link_free: Duration,
}

/// An update from an instance to its peers.
#[derive(Debug)]
pub struct Message {
    from: usize,
    targets: Vec<(TargetId, Vec<(RequestNumber, Assignment)>)>,
    waiting: Vec<(ServiceId, QueueEntry)>,
    demand: Vec<(ServiceId, f64)>,
}

impl Simulation<'_> {
    /// Returns an instance that knows the targets, but no update of a peer.
    pub fn new_instance(&self, index: usize) -> Instance {
        let zone = zone(index);
        let mut scheduler = Scheduler::new(zone.1);
        scheduler.pricing = self.policy.pricing();
        scheduler.learning = self.policy.learning();
        for node in self.engines.iter().filter(|e| e.alive) {
            scheduler.fleet.report(node.target());
        }
        let name = format!("i{index:02}").as_str().into();
        Instance {
            name,
            zone: zone.0,
            alive: true,
            scheduler,
            update_pending: false,
            messages: 0,
            link_free: Duration::ZERO,
        }
    }

    /// Returns the live instances that place the requests of a zone.
    fn schedulers(&self, zone: usize) -> Vec<usize> {
        let in_zone = |i: &usize| self.instances[*i].alive && self.instances[*i].zone == zone;
        let live = (0..self.instances.len()).filter(in_zone);
        match self.pattern.exchange {
            Exchange::Schedulers => live.take(ELECTED).collect(),
            Exchange::All => live.collect(),
        }
    }

    /// Returns the instance that places the requests of `entry`.
    fn placer(&self, entry: usize) -> usize {
        let schedulers = self.schedulers(self.instances[entry].zone);
        if schedulers.contains(&entry) {
            return entry;
        }
        let names: Vec<&str> = schedulers.iter().map(|i| &*self.instances[*i].name).collect();
        let chosen = rendezvous::holder(&self.instances[entry].name, names);
        let is_chosen = |i: &usize| chosen == Some(&*self.instances[*i].name);
        schedulers.iter().copied().find(is_chosen).unwrap_or(entry)
    }

    /// Returns the time until an instance's link has sent `bytes` more.
    pub fn transmit(&mut self, instance: usize, bytes: u64) -> Duration {
        let Some(mbps) = self.pattern.link_mbps else { return Duration::ZERO };
        let node = &mut self.instances[instance];
        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / (mbps * 1e6));
        node.link_free = node.link_free.max(self.now) + time;
        node.link_free.saturating_sub(self.now)
    }

    /// Queues a request at its instance; baseline policies place it at once.
    pub fn enqueue(&mut self, call: usize) {
        let id = self.next_number();
        let instant = self.instant();
        let record = &mut self.records[call];
        let Some(requirements) = record.requirements.clone() else { return };
        let instance = record.entry;
        record.instance = instance;
        record.queue_id = Some(id);
        if self.policy.queues() {
            let placer = self.placer(instance);
            self.records[call].instance = placer;
            if placer == instance {
                return self.receive_ask(call, id);
            }
            self.instances[instance].messages += CLIENT_MESSAGES;
            let sent = self.transmit(instance, UPDATE_BYTES);
            return self.after(ASK_LATENCY + sent, Event::ReceiveAsk(call, id));
        }
        let node = &mut self.instances[instance];
        let grant =
            baseline(self.policy, &mut node.scheduler, &requirements, id, instant, &mut self.rng);
        record.queue_id = None;
        match grant {
            Some(grant) => self.start_dispatch(instance, call, grant),
            None => self.refuse(call, Duration::ZERO),
        }
    }

    /// Queues a request at the instance that places it.
    pub fn receive_ask(&mut self, call: usize, id: RequestNumber) {
        let record = &self.records[call];
        let instance = record.instance;
        if record.queue_id != Some(id) || !self.instances[instance].alive {
            return;
        }
        let Some(requirements) = record.requirements.clone() else { return };
        self.instances[instance].scheduler.enqueue(id, requirements);
        self.queued.insert(id, call);
        self.dispatch_waiting(instance);
        self.after(CHECK_INTERVAL, Event::CheckWaiting(call, id));
    }

    /// Asks the next scheduler for a request whose scheduler has failed.
    pub fn ask_again(&mut self, call: usize) {
        let record = &self.records[call];
        let idle = record.queue_id.is_none() && record.dispatch_id.is_none();
        if record.end.is_none() && idle && self.instances[record.entry].alive {
            self.enqueue(call);
        }
    }

    /// Moves the requests that wait at a failed scheduler to another one.
    pub fn reassign(&mut self, scheduler: usize) {
        for call in 0..self.records.len() {
            let record = &mut self.records[call];
            let waits = record.queue_id.is_some() && record.end.is_none();
            if waits && record.instance == scheduler && record.entry != scheduler {
                record.queue_id = None;
                self.after(ANSWER_TIMEOUT, Event::AskAgain(call));
            }
        }
    }

    /// Dispatches waiting requests of an instance and schedules an update.
    pub fn dispatch_waiting(&mut self, instance: usize) {
        let instant = self.instant();
        if self.pattern.exchange == Exchange::Schedulers {
            let schedulers = self.schedulers(self.instances[instance].zone);
            let index = schedulers.iter().position(|i| *i == instance).unwrap_or_default();
            self.instances[instance].scheduler.turn =
                Turn { index, count: schedulers.len().max(1) };
        }
        let node = &mut self.instances[instance];
        for grant in node.scheduler.dispatch(&self.routes, instant) {
            if let Some(call) = self.queued.remove(&grant.id) {
                self.records[call].queue_id = None;
                self.start_dispatch(instance, call, grant);
            }
        }
        self.schedule_update(instance);
    }

    fn schedule_update(&mut self, instance: usize) {
        let node = &mut self.instances[instance];
        if !node.update_pending
            && (node.scheduler.long_changed || !node.scheduler.changed_targets.is_empty())
        {
            node.update_pending = true;
            self.after(UPDATE_DELAY, Event::SendUpdate(instance));
        }
    }

    fn start_dispatch(&mut self, instance: usize, call: usize, grant: Grant) {
        let id = grant.id;
        let unread_parts = grant.placement.helpers.len() + 1;
        let now = self.now;
        let record = &mut self.records[call];
        record.dispatch_id = Some(id);
        record.parts = unread_parts;
        record.predicted = grant.placement.first_event;
        record.granted_at = now;
        let (entry, prompt) = (record.entry, record.call.prompt);
        self.dispatches
            .insert(id, Dispatch { call, instance, grant, unread_parts, answering: false });
        let mut latency = HOP_LATENCY + self.transmit(entry, prompt / PROMPT_TOKENS_PER_BYTE);
        if entry != instance {
            self.instances[instance].messages += 1;
            latency += ASK_LATENCY + self.transmit(instance, UPDATE_BYTES);
        }
        self.after(latency, Event::Deliver(id));
        self.schedule_update(instance);
    }

    /// Checks a waiting request at intervals, as its thread in the gateway does.
    pub fn check_waiting(&mut self, call: usize, id: RequestNumber) {
        if self.records[call].queue_id != Some(id) {
            return;
        }
        let instant = self.instant();
        let record = &mut self.records[call];
        let Some(requirements) = &record.requirements else { return };
        let (instance, started) = (record.instance, record.first_event.is_some());
        let node = &mut self.instances[instance];
        let Some(refusal) = node.scheduler.refusal(requirements, instant) else {
            self.dispatch_waiting(instance);
            return self.after(CHECK_INTERVAL, Event::CheckWaiting(call, id));
        };
        node.scheduler.dequeue(id);
        record.queue_id = None;
        self.queued.remove(&id);
        let after = match refusal {
            Refusal::Late => Duration::ZERO,
            Refusal::Limited(left) | Refusal::Paused(left) => left,
            Refusal::Pressure(_) | Refusal::Price(_) => retry_after(id),
        };
        if started {
            self.mark_failed(call);
        } else {
            self.refuse(call, after);
        }
        self.schedule_update(instance);
    }

    /// Sends the changes of an instance to its peers.
    pub fn send_update(&mut self, instance: usize) {
        let instant = self.instant();
        let node = &mut self.instances[instance];
        node.update_pending = false;
        if !node.alive {
            return;
        }
        let scheduler = &mut node.scheduler;
        scheduler.long_changed = false;
        let changed: BTreeSet<TargetId> = std::mem::take(&mut scheduler.changed_targets);
        let own = |id: TargetId| (TargetId::clone(&id), scheduler.load.own_assignments(&id));
        let targets: Vec<_> = changed.into_iter().map(own).collect();
        let waiting: Vec<_> =
            scheduler.long_entries(instant).map(|(s, e)| (ServiceId::clone(s), *e)).collect();
        let target_bytes =
            |(_, requests): &(_, Vec<_>)| TARGET_BYTES + REQUEST_BYTES * requests.len() as u64;
        let bytes = UPDATE_BYTES
            + targets.iter().map(target_bytes).sum::<u64>()
            + REQUEST_BYTES * waiting.len() as u64;
        let demand = scheduler.demand().map(|(s, d)| (ServiceId::clone(s), d)).collect();
        self.messages.push(Message { from: instance, targets, waiting, demand });
        let message = self.messages.len() - 1;
        let mut peers: Vec<usize> = (0..ZONES).flat_map(|zone| self.schedulers(zone)).collect();
        peers.sort_unstable();
        for peer in peers.into_iter().filter(|i| *i != instance) {
            self.instances[instance].messages += 1;
            let sent = self.transmit(instance, bytes);
            self.after(HOP_LATENCY + sent, Event::ReceiveUpdate(peer, message));
        }
    }

    /// Applies the update of a peer.
    pub fn receive_update(&mut self, instance: usize, message: usize) {
        let instant = self.instant();
        let Message { from, targets, waiting, demand } = &self.messages[message];
        let peer = InstanceId::clone(&self.instances[*from].name);
        let node = &mut self.instances[instance];
        if !node.alive {
            return;
        }
        node.scheduler.reachability.record_peer_datagram(&zone(*from).1, instant);
        for (target, assignments) in targets {
            node.scheduler.load.replace(&peer, target, assignments.clone(), Some(&COST));
        }
        for (service, demand) in demand {
            node.scheduler.record_peer_demand(&peer, service, *demand, instant);
        }
        node.scheduler.peer_queues.insert(peer, waiting.clone());
        self.dispatch_waiting(instance);
    }

    /// Makes all instances drop the state of a peer that no longer responds.
    pub fn forget_peer(&mut self, instance: usize) {
        let name = InstanceId::clone(&self.instances[instance].name);
        for node in &mut self.instances {
            node.scheduler.load.forget_peer(&name);
            node.scheduler.peer_queues.remove(&name);
        }
    }
}
