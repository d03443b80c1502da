//! Sends requests over a peer while this instance cannot connect to their targets.
//!
//! The peer gets a request as from the caller: it checks the key, places and sends the
//! request, and answers for it. It gets it at the callers' address, so that there is no other
//! door, and [`ATTEMPTS`] lets nobody do more than a caller may: it bounds the targets that the
//! request may still be sent to, and the request goes over no second peer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mimosapass_core::edge::detour::{self, Candidate, MAX_DETOURS, MAX_FAILED};
use mimosapass_core::ids::InstanceId;
use mimosapass_platform::header;
use mimosapass_target::http::ResponseHead;

use super::flow::Flow;
use super::prepared::Prepared;
use super::request::Request;
use super::state::{Gateway, State};

/// Number of targets to which a request that comes over a peer may be sent.
pub const ATTEMPTS: &str = "x-mimosapass-attempts";
/// Number of targets that got a request which a peer refuses: each of them counts as a send.
pub const SENDS: &str = "x-mimosapass-sends";
/// Statuses with which a peer states that a request has not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A peer that a request goes over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name.
    pub name: InstanceId,
    /// Its address for callers.
    pub addr: SocketAddr,
}

/// Peers that a request went over, or could not be sent to.
#[derive(Clone, Debug, Default)]
pub struct Tried(Vec<InstanceId>);

impl Tried {
    /// Returns the number of peers.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Adds a peer.
    pub fn add(&mut self, peer: &Peer) {
        self.0.push(InstanceId::clone(&peer.name));
    }
}

impl Gateway {
    /// Returns the peer that a request is to go over; `None` if it goes to a target.
    ///
    /// `failed` counts the connections to targets that failed for this request.
    pub fn detour(&self, request: &Request, failed: u32, tried: &Tried) -> Option<Peer> {
        if request.detoured || tried.0.len() >= MAX_DETOURS {
            return None;
        }
        let state = self.state();
        let service = &request.requirements.service;
        if failed < MAX_FAILED && !state.cut_off.contains(service) {
            return None;
        }
        let candidates = state.candidates(service, Instant::now());
        let name = detour::choose(&candidates, &tried.0, rand::random())?;
        let addr = state.peers.get(name).map(|p| p.addr);
        let addr = addr.or_else(|| state.members.get(name).map(|m| m.addr))?;
        // All instances use the same port for callers.
        let addr = SocketAddr::new(addr.ip(), self.settings.listen.callers.port());
        Some(Peer { name: InstanceId::clone(name), addr })
    }
}

impl Gateway {
    /// Returns whether no target of a request's service can be connected to.
    pub fn reaches_none(&self, request: &Request) -> bool {
        let state = self.state();
        let serving = state.scheduler.fleet.serving(&request.requirements.service);
        state.reach.paths(serving.map(|t| &t.id)).is_closed()
    }
}

impl Flow<'_, '_> {
    /// Returns the peer that the request is to go over, if its targets cannot be connected to.
    pub(super) fn detour(&self) -> Option<Peer> {
        // A run that is silent may have lost its path too.
        let failed = self.not_sent + u32::from(!self.runs.is_empty());
        self.gateway.detour(&self.request, failed, &self.tried)
    }

    /// Starts a run over a peer.
    pub(super) fn start_detour(&mut self, peer: Peer) {
        self.record_detour(&peer);
        self.start(Prepared::over(self.gateway, peer));
    }

    /// Records that the peer of a run refused the request: no target has run it.
    pub(super) fn record_peer_refusal(&mut self, index: usize) {
        self.sends -= 1;
        self.not_sent += 1;
        self.refused_by_peer = true;
        let response = self.runs.get(index).response();
        self.retry_after = response.and_then(retry_after);
        // A former version states no number.
        let sends = response.and_then(sends).unwrap_or(1);
        self.sent_by_peers = self.sent_by_peers.saturating_add(sends);
    }

    /// Records the peer that the request goes over; it does not go over that one again.
    pub(super) fn record_detour(&mut self, peer: &Peer) {
        self.tried.add(peer);
        self.gateway.metrics.detours.inc();
        log::debug!(
            id = self.request.attempt_id.as_str(), peer = &*peer.name, failed = self.not_sent;
            "request: goes over a peer, its targets cannot be connected to from here."
        );
    }
}

impl State {
    /// Returns the peers that requests for a service may go over.
    fn candidates(&self, service: &str, now: Instant) -> Vec<Candidate<'_>> {
        let heard = self.peers.iter().map(|(name, peer)| Candidate {
            name,
            in_zone: peer.zone == self.scheduler.zone,
            silence: Some(now.saturating_duration_since(peer.last_heard)),
            able: peer.cut_off.as_ref().is_some_and(|all| all.iter().all(|s| **s != *service)),
        });
        let unheard = self.members.iter().filter(|(name, _)| !self.peers.contains_key(*name));
        let registered = unheard.map(|(name, member)| Candidate {
            name,
            in_zone: member.zone.as_ref().is_some_and(|zone| *zone == self.scheduler.zone),
            silence: None,
            able: true,
        });
        heard.chain(registered).collect()
    }
}

/// Returns whether a peer refused a request itself, without sending it to a target.
pub fn is_refusal(response: &ResponseHead) -> bool {
    NOT_RUN.contains(&response.status)
}

/// Returns the time after which a refused request may come again.
fn retry_after(response: &ResponseHead) -> Option<Duration> {
    header::seconds(response.header(header::RETRY_AFTER)?)
}

/// Returns how many targets got a request that a peer refused, as it states.
fn sends(response: &ResponseHead) -> Option<u32> {
    response.header(SENDS)?.trim().parse().ok()
}
