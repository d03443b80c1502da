//! Instances: their rounds, and what they tell each other.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosapass_core::edge::load::{Assignment, RequestNumber};
use mimosapass_core::edge::plan::ServiceId;
use mimosapass_core::edge::schedule::{Grant, Refusal, Scheduler};
use mimosapass_core::edge::wait::{QueueEntry, retry_after};
use mimosapass_core::ids::{InstanceId, TargetId};

use super::engines::zone;
use super::{Event, Send, World};
use crate::load::COST;
use crate::policy::{Policy, baseline};

/// Time in which an instance gathers changes before it tells its peers.
const GATHER: Duration = Duration::from_millis(1);
/// Time on the way between two instances, or to an engine.
const HOP: Duration = Duration::from_micros(500);
/// Time between two looks at a request that waits.
const LOOK: Duration = Duration::from_millis(100);

/// One instance.
#[derive(Debug)]
pub struct Node {
    pub name: InstanceId,
    pub zone: usize,
    pub alive: bool,
    pub scheduler: Scheduler,
    /// Whether its peers are about to be told.
    pub telling: bool,
}

/// What an instance tells its peers.
#[derive(Debug)]
pub struct Message {
    from: usize,
    targets: Vec<(TargetId, Vec<(RequestNumber, Assignment)>)>,
    waiting: Vec<(ServiceId, QueueEntry)>,
}

impl World<'_> {
    /// Builds an instance that has listed the targets and heard nothing else.
    pub fn node(&self, index: usize) -> Node {
        let zone = zone(index);
        let mut scheduler = Scheduler::new(zone.1);
        for site in self.sites.iter().filter(|s| s.alive) {
            scheduler.fleet.report(site.target());
        }
        let name = format!("i{index:02}").as_str().into();
        Node { name, zone: zone.0, alive: true, scheduler, telling: false }
    }

    /// Puts a request among those that wait at its instance.
    pub fn join(&mut self, call: usize) {
        let id = self.number();
        let moment = self.moment();
        let fate = &mut self.fates[call];
        let Some(need) = fate.need.clone() else { return };
        let node = &mut self.nodes[fate.instance];
        let instance = fate.instance;
        fate.waiting = Some(id);
        if self.policy == Policy::Mimosapass {
            node.scheduler.enqueue(id, need);
            self.joined.insert(id, call);
            self.round(instance);
            self.after(LOOK, Event::Look(call, id));
            return;
        }
        let placed = baseline(self.policy, &mut node.scheduler, &need, id, moment, &mut self.rng);
        fate.waiting = None;
        match placed {
            Some(grant) => self.send(instance, call, grant),
            None => self.refuse(call, Duration::ZERO),
        }
    }

    /// Gives places to what waits at an instance, and has its peers told.
    pub fn round(&mut self, instance: usize) {
        let moment = self.moment();
        let node = &mut self.nodes[instance];
        for grant in node.scheduler.dispatch(&self.plan, moment) {
            if let Some(call) = self.joined.remove(&grant.id) {
                self.fates[call].waiting = None;
                self.send(instance, call, grant);
            }
        }
        self.news(instance);
    }

    fn news(&mut self, instance: usize) {
        let node = &mut self.nodes[instance];
        if !node.telling
            && (node.scheduler.long_changed || !node.scheduler.changed_targets.is_empty())
        {
            node.telling = true;
            self.after(GATHER, Event::Tell(instance));
        }
    }

    fn send(&mut self, instance: usize, call: usize, grant: Grant) {
        let id = grant.id;
        let unread = grant.place.helpers.len() + 1;
        let now = self.now;
        let fate = &mut self.fates[call];
        fate.sent = Some(id);
        fate.parts = unread;
        fate.predicted = grant.place.first_event;
        fate.granted = now;
        self.sends.insert(id, Send { call, instance, grant, unread, begun: false });
        self.after(HOP, Event::Start(id));
        self.news(instance);
    }

    /// Looks after a request that waits, as its thread does.
    pub fn look(&mut self, call: usize, id: RequestNumber) {
        if self.fates[call].waiting != Some(id) {
            return;
        }
        let moment = self.moment();
        let fate = &mut self.fates[call];
        let Some(need) = &fate.need else { return };
        let (instance, begun) = (fate.instance, fate.first.is_some());
        let node = &mut self.nodes[instance];
        let Some(refusal) = node.scheduler.refusal(need, moment) else {
            self.round(instance);
            return self.after(LOOK, Event::Look(call, id));
        };
        node.scheduler.dequeue(id);
        fate.waiting = None;
        self.joined.remove(&id);
        let after = match refusal {
            Refusal::Late => Duration::ZERO,
            Refusal::Pressure(_) => retry_after(id),
        };
        if begun {
            self.broken(call);
        } else {
            self.refuse(call, after);
        }
        self.news(instance);
    }

    /// Tells the peers of an instance what changed.
    pub fn tell(&mut self, instance: usize) {
        let moment = self.moment();
        let node = &mut self.nodes[instance];
        node.telling = false;
        if !node.alive {
            return;
        }
        let scheduler = &mut node.scheduler;
        scheduler.long_changed = false;
        let changed: BTreeSet<TargetId> = std::mem::take(&mut scheduler.changed_targets);
        let own = |id: TargetId| (TargetId::clone(&id), scheduler.load.own_assignments(&id));
        let targets = changed.into_iter().map(own).collect();
        let waiting =
            scheduler.long_entries(moment).map(|(s, w)| (ServiceId::clone(s), *w)).collect();
        self.messages.push(Message { from: instance, targets, waiting });
        let message = self.messages.len() - 1;
        for peer in (0..self.nodes.len()).filter(|i| *i != instance) {
            self.after(HOP, Event::Hear(peer, message));
        }
    }

    /// Takes in what a peer tells.
    pub fn hear(&mut self, instance: usize, message: usize) {
        let moment = self.moment();
        let Message { from, targets, waiting } = &self.messages[message];
        let peer = InstanceId::clone(&self.nodes[*from].name);
        let node = &mut self.nodes[instance];
        if !node.alive {
            return;
        }
        node.scheduler.reachability.peer_heard(&zone(*from).1, moment);
        for (target, works) in targets {
            node.scheduler.load.replace(&peer, target, works.clone(), Some(&COST));
        }
        node.scheduler.peer_queues.insert(peer, waiting.clone());
        self.round(instance);
    }

    /// Makes all instances forget one that fell silent.
    pub fn forget(&mut self, instance: usize) {
        let name = InstanceId::clone(&self.nodes[instance].name);
        for node in &mut self.nodes {
            node.scheduler.load.forget_peer(&name);
            node.scheduler.peer_queues.remove(&name);
        }
    }
}
