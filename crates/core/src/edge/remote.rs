//! Requests of this instance that a scheduler of its zone places.
//!
//! A scheduler may be dead, frozen or cut off, and datagrams get lost. A request without
//! an answer is asked for again, then at the next scheduler; without any, this instance
//! places it itself. A scheduler that placed requests and then fails no longer counts
//! them, so their instance announces them as its own.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::edge::load::RequestNumber;
use crate::edge::schedule::{Grant, Requirements};
use crate::ids::InstanceId;
use crate::rendezvous;

/// Time after which a request without an answer is asked for again. An answer takes a
/// few milliseconds.
const REPEAT_AFTER: Duration = Duration::from_millis(50);
/// Time after which a request without an answer goes to the next scheduler. A short
/// prompt that is placed then is still on time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a request that waits at a scheduler is stated again, in case the
/// scheduler has restarted.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a scheduler that did not answer is not asked: its silence shows by then.
const SUSPICION: Duration = Duration::from_secs(2);

/// Time after the last message to a scheduler in which it is still told of all requests
/// that it has; the messages that ended some of them may be lost.
const CONFIRM_TIME: Duration = Duration::from_secs(10);

/// A request that a scheduler places or has placed.
#[derive(Clone, Debug)]
struct RemoteRequest {
    scheduler: InstanceId,
    requirements: Requirements,
    asked_at: Instant,
    sent_at: Option<Instant>,
    answered: bool,
    grant: Option<Grant>,
    first_event: Option<Instant>,
}

impl RemoteRequest {
    /// Returns when it has to be sent again while it waits.
    fn due(&self) -> Option<Instant> {
        let interval = if self.answered { CONFIRM_INTERVAL } else { REPEAT_AFTER };
        self.grant.is_none().then(|| self.sent_at.map_or(self.asked_at, |at| at + interval))
    }
}

/// A request whose scheduler failed after it had placed it.
#[derive(Clone, Debug)]
pub struct Orphan {
    /// Its targets.
    pub grant: Grant,
    /// What it requires.
    pub requirements: Requirements,
    /// Time of its first event.
    pub first_event: Option<Instant>,
}

/// What a scheduler is to be sent.
#[derive(Clone, Debug, Default)]
pub struct Outgoing {
    /// Requests to place.
    pub asks: Vec<(RequestNumber, Requirements)>,
    /// Requests whose first event has arrived.
    pub started: Vec<RequestNumber>,
    /// Requests that have ended.
    pub ended: Vec<RequestNumber>,
}

/// Requests placed by schedulers, and what these have to be sent.
#[derive(Clone, Debug, Default)]
pub struct RemoteRequests {
    requests: BTreeMap<RequestNumber, RemoteRequest>,
    changes: HashMap<InstanceId, Outgoing>,
    suspected: HashMap<InstanceId, Instant>,
    /// When each scheduler was last sent a change or request.
    contacted: HashMap<InstanceId, Instant>,
}

impl RemoteRequests {
    /// Returns the scheduler to ask among those elected, the same one while it answers.
    ///
    /// The instances of a zone are spread over its schedulers.
    pub fn choose(&self, own: &str, schedulers: &[&str], now: Instant) -> Option<InstanceId> {
        let trusted = schedulers
            .iter()
            .filter(|name| self.suspected.get(**name).is_none_or(|until| now >= *until));
        rendezvous::holder(own, trusted.copied()).map(InstanceId::from)
    }

    /// Asks a scheduler to place a request.
    pub fn ask(
        &mut self,
        id: RequestNumber,
        requirements: Requirements,
        scheduler: InstanceId,
        now: Instant,
    ) {
        let request = RemoteRequest {
            scheduler,
            requirements,
            asked_at: now,
            sent_at: None,
            answered: false,
            grant: None,
            first_event: None,
        };
        self.requests.insert(id, request);
    }

    /// Records that a scheduler has queued a request.
    pub fn queued(&mut self, id: RequestNumber, scheduler: &str) {
        let request = self.requests.get_mut(&id);
        if let Some(request) = request.filter(|r| *r.scheduler == *scheduler) {
            request.answered = true;
        }
    }

    /// Returns what a waiting request requires, if `scheduler` is to place it.
    pub fn waiting(&self, id: RequestNumber, scheduler: &str) -> Option<&Requirements> {
        let request = self.requests.get(&id)?;
        let waits = request.grant.is_none() && *request.scheduler == *scheduler;
        waits.then_some(&request.requirements)
    }

    /// Records the grant of a waiting request.
    pub fn granted(&mut self, grant: &Grant) {
        if let Some(request) = self.requests.get_mut(&grant.id) {
            request.answered = true;
            request.grant = Some(grant.clone());
        }
    }

    /// Tells a scheduler that a request which it placed is not sent.
    pub fn decline(&mut self, id: RequestNumber, scheduler: &InstanceId) {
        let placed_by = |r: &RemoteRequest| r.scheduler == *scheduler && r.grant.is_some();
        if !self.requests.get(&id).is_some_and(placed_by) {
            self.changes_for(scheduler).ended.push(id);
        }
    }

    /// Asks again for a request whose granted target cannot be used.
    pub fn ask_again(&mut self, id: RequestNumber, requirements: Requirements, now: Instant) {
        if let Some(scheduler) = self.requests.get(&id).map(|r| InstanceId::clone(&r.scheduler)) {
            self.changes_for(&scheduler).ended.push(id);
            self.ask(id, requirements, scheduler, now);
        }
    }

    /// Records the first event of a request; returns whether a scheduler counts it.
    pub fn first_event(&mut self, id: RequestNumber, now: Instant) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        request.first_event.get_or_insert(now);
        let scheduler = InstanceId::clone(&request.scheduler);
        self.changes_for(&scheduler).started.push(id);
        true
    }

    /// Removes a request that has ended; returns whether a scheduler counts it.
    pub fn end(&mut self, id: RequestNumber) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        self.changes_for(&request.scheduler).ended.push(id);
        true
    }

    /// Removes a request that its caller no longer waits for, unless it was granted.
    ///
    /// Returns whether a scheduler was to place it.
    pub fn withdraw(&mut self, id: RequestNumber) -> bool {
        match self.requests.get(&id) {
            Some(request) if request.grant.is_none() => self.end(id),
            Some(_) => true,
            None => false,
        }
    }

    /// Moves requests that wait at a scheduler which does not answer or is `silent`.
    ///
    /// Returns those for which there is no other one; they are no longer kept here.
    pub fn reassign(
        &mut self,
        own: &str,
        schedulers: &[&str],
        silent: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<(RequestNumber, Requirements)> {
        let stuck = |r: &RemoteRequest| {
            let unanswered = !r.answered && now >= r.asked_at + ANSWER_TIMEOUT;
            r.grant.is_none() && (unanswered || silent(&r.scheduler))
        };
        let ids: Vec<RequestNumber> =
            self.requests.iter().filter(|(_, r)| stuck(r)).map(|(id, _)| *id).collect();
        let mut unplaced = Vec::new();
        for id in ids {
            let Some(request) = self.requests.remove(&id) else { continue };
            self.changes_for(&request.scheduler).ended.push(id);
            self.suspected.insert(request.scheduler, now + SUSPICION);
            match self.choose(own, schedulers, now) {
                Some(next) => self.ask(id, request.requirements, next, now),
                None => unplaced.push((id, request.requirements)),
            }
        }
        unplaced
    }

    /// Removes the requests that a failed scheduler has placed, and returns them.
    pub fn forget(&mut self, scheduler: &str) -> Vec<Orphan> {
        self.changes.remove(scheduler);
        self.contacted.remove(scheduler);
        let placed = |r: &RemoteRequest| r.grant.is_some() && *r.scheduler == *scheduler;
        let ids: Vec<RequestNumber> =
            self.requests.iter().filter(|(_, r)| placed(r)).map(|(id, _)| *id).collect();
        let removed = ids.into_iter().filter_map(|id| self.requests.remove(&id));
        removed
            .filter_map(|request| {
                let RemoteRequest { grant, requirements, first_event, .. } = request;
                grant.map(|grant| Orphan { grant, requirements, first_event })
            })
            .collect()
    }

    /// Returns when something has to be sent, if at all.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let changed = self.changes.values().any(|c| !c.started.is_empty() || !c.ended.is_empty());
        let asks = self.requests.values().filter_map(RemoteRequest::due);
        asks.chain(changed.then_some(now)).min()
    }

    /// Takes what has to be sent at `now`, by scheduler.
    pub fn take_outgoing(&mut self, now: Instant) -> HashMap<InstanceId, Outgoing> {
        let mut outgoing = std::mem::take(&mut self.changes);
        for (id, request) in &mut self.requests {
            if request.due().is_some_and(|due| now >= due) {
                request.sent_at = Some(now);
                let entry = outgoing.entry(InstanceId::clone(&request.scheduler)).or_default();
                entry.asks.push((*id, request.requirements.clone()));
            }
        }
        for scheduler in outgoing.keys() {
            self.contacted.insert(InstanceId::clone(scheduler), now);
        }
        outgoing
    }

    /// Returns the schedulers that may count requests of this instance.
    pub fn to_confirm(&mut self, now: Instant) -> Vec<InstanceId> {
        let requests = &self.requests;
        self.contacted.retain(|name, at| {
            now < *at + CONFIRM_TIME || requests.values().any(|r| r.scheduler == *name)
        });
        self.contacted.keys().cloned().collect()
    }

    /// Returns the scheduler that places or has placed a request.
    pub fn scheduler_of(&self, id: RequestNumber) -> Option<InstanceId> {
        self.requests.get(&id).map(|r| InstanceId::clone(&r.scheduler))
    }

    /// Returns whether a scheduler places or has placed a request.
    pub fn contains(&self, id: RequestNumber) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns the requests that a scheduler places or has placed.
    pub fn held_by(&self, scheduler: &str) -> Vec<RequestNumber> {
        let held = self.requests.iter().filter(|(_, r)| *r.scheduler == *scheduler);
        held.map(|(id, _)| *id).collect()
    }

    fn changes_for(&mut self, scheduler: &InstanceId) -> &mut Outgoing {
        self.changes.entry(InstanceId::clone(scheduler)).or_default()
    }
}
