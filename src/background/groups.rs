//! Forms groups of engines for prompts larger than one engine's memory.
//!
//! The leader of the zone forms groups one at a time. While leadership changes
//! there may be two leaders. They do not block each other: engines are reserved in
//! one order, reservations expire, and all are released once one engine refuses.

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

/// Time to wait for the leader's response before the next request.
pub const LEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of requests of peers that wait or are being handled.
const MAX_PEER_REQUESTS: usize = 64;
/// Maximum number of plans for one request; each omits engines that refused.
const MAX_PLANS: usize = 3;

/// Group requests of this instance and of its peers.
#[derive(Debug, Default)]
pub struct Groups {
    /// Held while a group is formed.
    form_lock: Mutex<()>,
    /// Number of requests of peers in progress.
    peer_requests: AtomicUsize,
    /// Own requests that wait for the leader's response, by identifier.
    pending: Mutex<BTreeMap<String, Sender<Plan>>>,
}

impl Groups {
    fn pending(&self) -> MutexGuard<'_, BTreeMap<String, Sender<Plan>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests a group from the leader of the zone; its shares are then reserved.
///
/// Returns [`Plan::Insufficient`] if the leader does not answer within
/// [`LEADER_TIMEOUT`] or `left`.
pub fn request(node: &Node, request: &GroupRequest, left: Duration) -> Plan {
    let planned = plan(&candidate_engines(node, request), request.needed_tokens);
    if matches!(planned, Plan::TooLarge { .. }) {
        return planned;
    }
    let Some(to) = leader_addr(node) else { return form(node, request) };
    let inbox = register(node, &request.id);
    node.links.send(to, Body::GroupRequest(request.clone()));
    let response = inbox.recv_timeout(LEADER_TIMEOUT.min(left));
    node.groups.pending().remove(&request.id);
    response.unwrap_or_else(|_| {
        // The leader may have died after it reserved a part of the group.
        let all: Vec<String> =
            candidate_engines(node, request).into_iter().map(|c| c.addr).collect();
        reclaim(node, &request.id, all.iter());
        Plan::Insufficient { free: 0 }
    })
}

fn register(node: &Node, id: &str) -> Receiver<Plan> {
    let (sender, inbox) = channel();
    node.groups.pending().insert(id.to_owned(), sender);
    inbox
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

/// Forms a group for a peer and sends it the response.
pub fn handle_request(node: &Arc<Node>, from: Option<SocketAddr>, request: GroupRequest) {
    let Some(to) = from else { return };
    if node.groups.peer_requests.fetch_add(1, Ordering::SeqCst) >= MAX_PEER_REQUESTS {
        node.groups.peer_requests.fetch_sub(1, Ordering::SeqCst);
        return node.links.send(to, response_body(request.id, Plan::Insufficient { free: 0 }));
    }
    let responder = Arc::clone(node);
    let spawned = spawn("group", move || {
        let plan = form(&responder, &request);
        responder.links.send(to, response_body(request.id, plan));
        responder.groups.peer_requests.fetch_sub(1, Ordering::SeqCst);
    });
    if let Err(e) = spawned {
        node.groups.peer_requests.fetch_sub(1, Ordering::SeqCst);
        log::error!("groups: cannot start a thread for a group request: {e}.");
    }
}

fn response_body(id: String, plan: Plan) -> Body {
    // The requesting instance decides by itself whether a prompt is too large.
    let (shares, free) = match plan {
        Plan::Group(shares) => (shares, 0),
        Plan::Insufficient { free } => (Vec::new(), free),
        Plan::TooLarge { .. } => (Vec::new(), 0),
    };
    let to_wire =
        |s: Share| GroupShare { target: s.target.to_string(), addr: s.addr, tokens: s.tokens };
    let shares = shares.into_iter().map(to_wire).collect();
    Body::GroupResponse(GroupResponse { id, shares, free_tokens: free })
}

/// Handles a leader's response; a group that nothing waits for is released.
pub fn handle_response(node: &Node, response: GroupResponse) {
    let GroupResponse { id, shares, free_tokens: free } = response;
    let from_wire =
        |s: GroupShare| Share { target: s.target.as_str().into(), addr: s.addr, tokens: s.tokens };
    let shares: Vec<Share> = shares.into_iter().map(from_wire).collect();
    let plan =
        if shares.is_empty() { Plan::Insufficient { free } } else { Plan::Group(shares.clone()) };
    let pending = node.groups.pending().remove(&id);
    if pending.is_none_or(|p| p.send(plan).is_err()) {
        release(node, &id, &shares);
    }
}

/// Releases the reservations of a group.
pub fn release(node: &Node, id: &str, shares: &[Share]) {
    reclaim(node, id, shares.iter().map(|s| &s.addr));
}

fn reclaim<'a>(node: &Node, id: &str, addrs: impl Iterator<Item = &'a String>) {
    for addr in addrs {
        let request = ReclaimRequest { addr: addr.clone(), attempt: id.to_owned() };
        if node.reclaims.send(request).is_err() {
            log::error!(
                "groups: reservation {id} at {addr} not released: the reclaim thread has ended."
            );
        }
    }
}

/// Plans a group and reserves all or none of its shares.
fn form(node: &Node, request: &GroupRequest) -> Plan {
    let _lock = node.groups.form_lock.lock().unwrap_or_else(PoisonError::into_inner);
    let mut refused: Vec<String> = Vec::new();
    for _ in 0..MAX_PLANS {
        let mut engines = candidate_engines(node, request);
        engines.iter_mut().filter(|c| refused.contains(&c.addr)).for_each(|c| c.free = 0);
        let shares = match plan(&engines, request.needed_tokens) {
            Plan::Group(shares) => shares,
            other => return other,
        };
        match shares.iter().position(|s| !try_reserve(node, request, s)) {
            None => return Plan::Group(shares),
            Some(at) => {
                refused.push(shares[at].addr.clone());
                // The last engine may have reserved although its response was lost.
                release(node, &request.id, &shares[..=at]);
            }
        }
    }
    Plan::Insufficient { free: 0 }
}

fn try_reserve(node: &Node, request: &GroupRequest, share: &Share) -> bool {
    let claim = Claim {
        id: request.id.clone(),
        holder: request.holder.clone(),
        expiry_ms: request.expiry_ms,
    };
    let reservation = Reserve { claim, tokens: share.tokens };
    match reserve(&node.pooled_agent, &share.addr, &reservation) {
        Ok(()) => true,
        Err(e) => {
            log::info!("groups: {} did not reserve {} tokens: {e}.", share.target, share.tokens);
            false
        }
    }
}

/// Returns the engines of this zone that may take part in the group.
fn candidate_engines(node: &Node, request: &GroupRequest) -> Vec<Candidate> {
    let Some(document) = node.document() else { return Vec::new() };
    let config = &document.config;
    let Some(class) = config.classes.iter().find(|c| *c.name == *request.class) else {
        return Vec::new();
    };
    let model = ModelId::from(request.model.as_str());
    candidates(&node.state().targets, config, class, &model, &node.zone, Instant::now())
}
