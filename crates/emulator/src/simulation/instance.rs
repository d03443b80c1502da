//! Instances: scheduling of waiting requests, and updates between peers.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosapass_core::edge::load::{Assignment, RequestNumber};
use mimosapass_core::edge::route_table::ServiceId;
use mimosapass_core::edge::schedule::{Grant, Refusal, Scheduler};
use mimosapass_core::edge::wait::{QueueEntry, retry_after};
use mimosapass_core::ids::{InstanceId, TargetId};

use super::engines::zone;
use super::{Dispatch, Event, Simulation};
use crate::load::COST;
use crate::policy::{Policy, baseline};

/// Time in which an instance collects changes before it sends an update.
const UPDATE_DELAY: Duration = Duration::from_millis(1);
/// Latency between two instances, or from an instance to an engine.
const HOP_LATENCY: Duration = Duration::from_micros(500);
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
}

/// An update from an instance to its peers.
#[derive(Debug)]
pub struct Message {
    from: usize,
    targets: Vec<(TargetId, Vec<(RequestNumber, Assignment)>)>,
    waiting: Vec<(ServiceId, QueueEntry)>,
}

impl Simulation<'_> {
    /// Returns an instance that knows the targets, but no update of a peer.
    pub fn new_instance(&self, index: usize) -> Instance {
        let zone = zone(index);
        let mut scheduler = Scheduler::new(zone.1);
        for node in self.engines.iter().filter(|e| e.alive) {
            scheduler.fleet.report(node.target());
        }
        let name = format!("i{index:02}").as_str().into();
        Instance { name, zone: zone.0, alive: true, scheduler, update_pending: false }
    }

    /// Queues a request at its instance; baseline policies place it at once.
    pub fn enqueue(&mut self, call: usize) {
        let id = self.next_number();
        let instant = self.instant();
        let record = &mut self.records[call];
        let Some(requirements) = record.requirements.clone() else { return };
        let node = &mut self.instances[record.instance];
        let instance = record.instance;
        record.queue_id = Some(id);
        if self.policy == Policy::Mimosapass {
            node.scheduler.enqueue(id, requirements);
            self.queued.insert(id, call);
            self.dispatch_waiting(instance);
            self.after(CHECK_INTERVAL, Event::CheckWaiting(call, id));
            return;
        }
        let grant =
            baseline(self.policy, &mut node.scheduler, &requirements, id, instant, &mut self.rng);
        record.queue_id = None;
        match grant {
            Some(grant) => self.start_dispatch(instance, call, grant),
            None => self.refuse(call, Duration::ZERO),
        }
    }

    /// Dispatches waiting requests of an instance and schedules an update.
    pub fn dispatch_waiting(&mut self, instance: usize) {
        let instant = self.instant();
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
        self.dispatches
            .insert(id, Dispatch { call, instance, grant, unread_parts, answering: false });
        self.after(HOP_LATENCY, Event::Deliver(id));
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
            Refusal::Pressure(_) => retry_after(id),
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
        let targets = changed.into_iter().map(own).collect();
        let waiting =
            scheduler.long_entries(instant).map(|(s, e)| (ServiceId::clone(s), *e)).collect();
        self.messages.push(Message { from: instance, targets, waiting });
        let message = self.messages.len() - 1;
        for peer in (0..self.instances.len()).filter(|i| *i != instance) {
            self.after(HOP_LATENCY, Event::ReceiveUpdate(peer, message));
        }
    }

    /// Applies the update of a peer.
    pub fn receive_update(&mut self, instance: usize, message: usize) {
        let instant = self.instant();
        let Message { from, targets, waiting } = &self.messages[message];
        let peer = InstanceId::clone(&self.instances[*from].name);
        let node = &mut self.instances[instance];
        if !node.alive {
            return;
        }
        node.scheduler.reachability.record_peer_datagram(&zone(*from).1, instant);
        for (target, assignments) in targets {
            node.scheduler.load.replace(&peer, target, assignments.clone(), Some(&COST));
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
