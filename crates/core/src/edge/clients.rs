//! Requests that a scheduler places for other instances of its zone.
//!
//! A client asks for a placement, reports the first event and the end, and lists at
//! intervals what it still has. All of them may be lost or repeated: an unknown request
//! is queued, a known one is answered again, and one that is no longer listed has ended.
//! For the rest of the fleet, a request counts as one of the scheduler's own.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::edge::load::RequestNumber;
use crate::edge::schedule::{Grant, Refusal, Requirements, Scheduler};
use crate::ids::InstanceId;

/// Answer of a scheduler to the request of a client.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The request waits.
    Queued,
    /// It may be sent to the targets of the grant.
    Granted(Grant),
    /// It is not placed.
    Refused(Refusal),
}

/// A request of a client.
#[derive(Clone, Debug)]
struct ClientRequest {
    /// Its number at this scheduler.
    number: RequestNumber,
    requirements: Requirements,
    grant: Option<Grant>,
}

/// Requests of all clients, and the answers that are due to them.
#[derive(Clone, Debug, Default)]
pub struct ClientRequests {
    requests: HashMap<InstanceId, BTreeMap<RequestNumber, ClientRequest>>,
    /// Client and its number of a request, by the number at this scheduler.
    origins: HashMap<RequestNumber, (InstanceId, RequestNumber)>,
    replies: HashMap<InstanceId, BTreeMap<RequestNumber, Reply>>,
}

impl ClientRequests {
    /// Queues the request `id` of a client as `number`, or answers it again.
    pub fn ask(
        &mut self,
        scheduler: &mut Scheduler,
        client: &InstanceId,
        id: RequestNumber,
        requirements: Requirements,
        number: RequestNumber,
    ) {
        let known = self.requests.entry(InstanceId::clone(client)).or_default();
        let reply = match known.get(&id) {
            Some(ClientRequest { grant: Some(grant), .. }) => Reply::Granted(grant.clone()),
            Some(_) => Reply::Queued,
            None => {
                scheduler.enqueue(number, requirements.clone());
                scheduler.long_changed |= requirements.long;
                self.origins.insert(number, (InstanceId::clone(client), id));
                known.insert(id, ClientRequest { number, requirements, grant: None });
                Reply::Queued
            }
        };
        self.reply(client, id, reply);
    }

    /// Records a grant; returns the client that it is for, if any, and its number there.
    pub fn grant(&mut self, grant: &Grant) -> Option<(InstanceId, RequestNumber)> {
        let (client, id) = self.origins.get(&grant.id).cloned()?;
        let request = self.requests.get_mut(&client).and_then(|r| r.get_mut(&id));
        if let Some(request) = request {
            request.grant = Some(grant.clone());
        }
        self.reply(&client, id, Reply::Granted(grant.clone()));
        Some((client, id))
    }

    /// Records the first event of a request.
    pub fn first_event(
        &self,
        scheduler: &mut Scheduler,
        client: &str,
        id: RequestNumber,
        now: Instant,
    ) {
        let request = self.requests.get(client).and_then(|r| r.get(&id));
        if let Some(grant) = request.and_then(|r| r.grant.as_ref()) {
            scheduler.first_event(grant, now);
        }
    }

    /// Removes a request that has ended or that its client placed elsewhere.
    pub fn end(&mut self, scheduler: &mut Scheduler, client: &str, id: RequestNumber) {
        let Some(request) = self.requests.get_mut(client).and_then(|r| r.remove(&id)) else {
            return;
        };
        self.origins.remove(&request.number);
        if let Some(replies) = self.replies.get_mut(client) {
            replies.remove(&id);
        }
        match &request.grant {
            Some(grant) => scheduler.finish(grant),
            None => drop(scheduler.dequeue(request.number)),
        }
    }

    /// Removes the requests of a client that are not among those it still `has`.
    pub fn retain(&mut self, scheduler: &mut Scheduler, client: &str, has: &[RequestNumber]) {
        let known = self.requests.get(client).into_iter().flat_map(BTreeMap::keys);
        let ended: Vec<RequestNumber> = known.filter(|id| !has.contains(id)).copied().collect();
        for id in ended {
            self.end(scheduler, client, id);
        }
    }

    /// Removes all requests of a client that has failed or restarted.
    pub fn forget(&mut self, scheduler: &mut Scheduler, client: &str) {
        self.retain(scheduler, client, &[]);
        self.requests.remove(client);
        self.replies.remove(client);
    }

    /// Refuses waiting requests that can no longer be served or are not worth their price.
    pub fn refuse(&mut self, scheduler: &mut Scheduler, now: Instant) {
        let waiting = |r: &ClientRequest| r.grant.is_none();
        let refused: Vec<(InstanceId, RequestNumber, Refusal)> = self
            .requests
            .iter()
            .flat_map(|(client, requests)| requests.iter().map(move |(id, r)| (client, *id, r)))
            .filter(|(.., request)| waiting(request))
            .filter_map(|(client, id, request)| {
                let refusal = scheduler.refusal(&request.requirements, now)?;
                Some((InstanceId::clone(client), id, refusal))
            })
            .collect();
        for (client, id, refusal) in refused {
            self.end(scheduler, &client, id);
            self.reply(&client, id, Reply::Refused(refusal));
        }
    }

    fn reply(&mut self, client: &InstanceId, id: RequestNumber, reply: Reply) {
        self.replies.entry(InstanceId::clone(client)).or_default().insert(id, reply);
    }

    /// Returns whether answers are due.
    pub fn has_replies(&self) -> bool {
        self.replies.values().any(|replies| !replies.is_empty())
    }

    /// Takes the answers that are due, by client and by the number of its request.
    pub fn take_replies(&mut self) -> HashMap<InstanceId, BTreeMap<RequestNumber, Reply>> {
        std::mem::take(&mut self.replies)
    }

    /// Returns whether requests of clients wait for a placement.
    pub fn any_waiting(&self) -> bool {
        self.requests.values().flat_map(BTreeMap::values).any(|r| r.grant.is_none())
    }
}
