//! Forms groups of engines for prompts larger than one engine's memory.
//!
//! The leader of the zone forms groups one at a time. While leaders change
//! there may be two: reservations are made in one order of engines, expire by
//! themselves, and are given back as soon as one engine refuses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_core::group::{Candidate, Plan, Share, candidates, plan};
use mimosapass_core::ids::ModelId;
use mimosapass_core::roles::leader;
use mimosapass_instance::message::{Body, GroupRequest, GroupResponse, GroupShare};
use mimosapass_target::memory::{Claim, Reserve, reserve};

use crate::background::reclaim::ReclaimRequest;
use crate::background::spawn;
use crate::node::Node;

/// Time to wait for the leader's answer before asking again.
pub const WAIT: Duration = Duration::from_secs(3);
/// Peers' requests that wait or are being worked on, at most.
const FORMING: usize = 64;
/// Plans for one request, each without the engines that refused before.
const PLANS: usize = 3;

/// Requests for groups of this instance and of its peers.
#[derive(Debug, Default)]
pub struct Groups {
    forming: Mutex<()>,
    busy: AtomicUsize,
    asked: Mutex<BTreeMap<String, Sender<Plan>>>,
}

impl Groups {
    fn asked(&self) -> MutexGuard<'_, BTreeMap<String, Sender<Plan>>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks the leader of the zone for a group; its shares are reserved then.
///
/// A leader that does not answer within [`WAIT`], or `left`, means
/// [`Plan::Insufficient`].
pub fn request(node: &Node, ask: &GroupRequest, left: Duration) -> Plan {
    let planned = plan(&known(node, ask), ask.needed_tokens);
    if matches!(planned, Plan::TooLarge { .. }) {
        return planned;
    }
    let Some(to) = leader_addr(node) else { return form(node, ask) };
    let waiting = expect(node, &ask.id);
    node.links.send(to, Body::GroupRequest(ask.clone()));
    let answer = waiting.recv_timeout(WAIT.min(left));
    node.groups.asked().remove(&ask.id);
    answer.unwrap_or_else(|_| {
        // The leader may have died with a part of the group reserved.
        let all: Vec<String> = known(node, ask).into_iter().map(|m| m.addr).collect();
        free(node, &ask.id, all.iter());
        Plan::Insufficient { free: 0 }
    })
}

fn expect(node: &Node, id: &str) -> Receiver<Plan> {
    let (sender, waiting) = channel();
    node.groups.asked().insert(id.to_owned(), sender);
    waiting
}

/// Returns whether another instance leads this zone.
pub fn led_by_peer(node: &Node) -> bool {
    leader_addr(node).is_some()
}

/// Returns the address of the zone's leader, or `None` if it is this instance.
fn leader_addr(node: &Node) -> Option<SocketAddr> {
    let now = Instant::now();
    let state = node.state();
    let name = leader(&state.view.candidates(now))?.to_owned();
    state.view.alive(now).find(|b| *b.name == *name).and_then(|b| b.addr)
}

/// Forms a group for a peer and answers it.
pub fn asked(node: &Arc<Node>, from: Option<SocketAddr>, ask: GroupRequest) {
    let Some(to) = from else { return };
    if node.groups.busy.fetch_add(1, Ordering::SeqCst) >= FORMING {
        node.groups.busy.fetch_sub(1, Ordering::SeqCst);
        return node.links.send(to, answer(ask.id, Plan::Insufficient { free: 0 }));
    }
    let forming = Arc::clone(node);
    let spawned = spawn("group", move || {
        let plan = form(&forming, &ask);
        forming.links.send(to, answer(ask.id, plan));
        forming.groups.busy.fetch_sub(1, Ordering::SeqCst);
    });
    if let Err(e) = spawned {
        node.groups.busy.fetch_sub(1, Ordering::SeqCst);
        log::error!("groups: no thread for a group: {e}.");
    }
}

fn answer(id: String, plan: Plan) -> Body {
    // Whether it can never fit is decided by the asking instance itself.
    let (shares, free) = match plan {
        Plan::Group(shares) => (shares, 0),
        Plan::Insufficient { free } => (Vec::new(), free),
        Plan::TooLarge { .. } => (Vec::new(), 0),
    };
    let wire =
        |s: Share| GroupShare { target: s.target.to_string(), addr: s.addr, tokens: s.tokens };
    let shares = shares.into_iter().map(wire).collect();
    Body::GroupResponse(GroupResponse { id, shares, free_tokens: free })
}

/// Takes a leader's answer; a group that nobody waits for is given back.
pub fn answered(node: &Node, answer: GroupResponse) {
    let GroupResponse { id, shares, free_tokens: free } = answer;
    let own =
        |s: GroupShare| Share { target: s.target.as_str().into(), addr: s.addr, tokens: s.tokens };
    let shares: Vec<Share> = shares.into_iter().map(own).collect();
    let plan =
        if shares.is_empty() { Plan::Insufficient { free } } else { Plan::Group(shares.clone()) };
    let waiting = node.groups.asked().remove(&id);
    if waiting.is_none_or(|w| w.send(plan).is_err()) {
        release(node, &id, &shares);
    }
}

/// Frees the reservations of a group.
pub fn release(node: &Node, id: &str, shares: &[Share]) {
    free(node, id, shares.iter().map(|s| &s.addr));
}

fn free<'a>(node: &Node, id: &str, addrs: impl Iterator<Item = &'a String>) {
    for addr in addrs {
        let freed = ReclaimRequest { addr: addr.clone(), attempt: id.to_owned() };
        if node.reclaims.send(freed).is_err() {
            log::error!("groups: nobody frees memory.");
        }
    }
}

/// Plans a group and reserves its shares, all or none.
fn form(node: &Node, ask: &GroupRequest) -> Plan {
    let _one = node.groups.forming.lock().unwrap_or_else(PoisonError::into_inner);
    let mut refusing: Vec<String> = Vec::new();
    for _ in 0..PLANS {
        let mut known = known(node, ask);
        known.iter_mut().filter(|m| refusing.contains(&m.addr)).for_each(|m| m.free = 0);
        let shares = match plan(&known, ask.needed_tokens) {
            Plan::Group(shares) => shares,
            other => return other,
        };
        match shares.iter().position(|s| !reserved(node, ask, s)) {
            None => return Plan::Group(shares),
            Some(at) => {
                refusing.push(shares[at].addr.clone());
                // The answer of the last one may only have been lost.
                release(node, &ask.id, &shares[..=at]);
            }
        }
    }
    Plan::Insufficient { free: 0 }
}

fn reserved(node: &Node, ask: &GroupRequest, share: &Share) -> bool {
    let claim = Claim { id: ask.id.clone(), holder: ask.holder.clone(), expiry_ms: ask.expiry_ms };
    let reserving = Reserve { claim, tokens: share.tokens };
    match reserve(&node.pooled_agent, &share.addr, &reserving) {
        Ok(()) => true,
        Err(e) => {
            log::info!("groups: {} reserves nothing: {e}.", share.target);
            false
        }
    }
}

/// Returns the engines of this zone that may carry the work.
fn known(node: &Node, ask: &GroupRequest) -> Vec<Candidate> {
    let Some(document) = node.document() else { return Vec::new() };
    let config = &document.config;
    let Some(class) = config.classes.iter().find(|c| *c.name == *ask.class) else {
        return Vec::new();
    };
    let model = ModelId::from(ask.model.as_str());
    candidates(&node.state().targets, config, class, &model, &node.zone, Instant::now())
}
