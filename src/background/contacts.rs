//! Selects the peers that get heartbeats: listed members, seeds and live peers.
//!
//! The member list may be outdated or missing. Instances that are not in it are
//! found through seeds; any instance of a zone introduces them to the others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mimosapass_core::ids::InstanceId;
use mimosapass_core::membership::View;
use mimosapass_core::readiness::PeerAnswers;
use mimosapass_core::roles::partners;
use mimosapass_instance::message::{self, Body};
use mimosapass_keyvalue::members::{Member, Role};

use crate::background::poll::parse_addr;
use crate::node::{Node, State};

/// Time for which heartbeats are sent to an introduced address.
const INTRODUCTION_TTL: Duration = Duration::from_secs(30);
/// Maximum number of addresses in one introduction.
const MAX_INTRODUCED: usize = 64;
/// Number of broadcasts between two that also go to seeds.
const SEED_ROUNDS: u32 = 10;

/// Introduced addresses, and the progress of the heartbeat broadcasts.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    introduced: BTreeMap<SocketAddr, Instant>,
    last_broadcast: Option<Instant>,
    zone_round: u32,
    new_peer: bool,
    partner_round: usize,
}

impl Contacts {
    /// Returns the time of the last broadcast to the zone.
    pub fn last_broadcast(&self) -> Option<Instant> {
        self.last_broadcast
    }

    /// Records a broadcast to the zone at `now`.
    pub fn record_broadcast(&mut self, now: Instant) {
        self.last_broadcast = Some(now);
        self.zone_round = self.zone_round.wrapping_add(1);
    }

    /// Counts a round of heartbeats to other zones and returns its number.
    pub fn next_partner_round(&mut self) -> usize {
        self.partner_round = self.partner_round.wrapping_add(1);
        self.partner_round
    }

    /// Records whether a heartbeat came from a new peer.
    pub fn record_new_peer(&mut self, new: bool) {
        self.new_peer |= new;
    }

    /// Returns whether there was a new peer since the last call.
    pub fn take_new_peer(&mut self) -> bool {
        std::mem::take(&mut self.new_peer)
    }

    /// Removes introduced addresses after [`INTRODUCTION_TTL`].
    pub fn prune(&mut self, now: Instant) {
        self.introduced.retain(|_, at| now.saturating_duration_since(*at) < INTRODUCTION_TTL);
    }
}

/// Returns the addresses of this zone's instances, in some rounds also of seeds.
pub fn zone_addrs(node: &Node) -> BTreeSet<SocketAddr> {
    let state = node.state();
    let mut found = listed_addrs(&state.members, &node.zone);
    found.extend(live_addrs(&state.view, &node.zone));
    found.extend(state.contacts.introduced.keys());
    let needs_seeds = !state.readiness.is_ready() || state.members.is_empty();
    if needs_seeds || state.contacts.zone_round.is_multiple_of(SEED_ROUNDS) {
        found.extend(&node.settings.seeds);
    }
    found.remove(&node.links.addr());
    found
}

/// Returns the addresses of heartbeat partners in other zones.
///
/// The first set has one partner of each zone, which rotates with `round`, and
/// live peers that are not in the list; the second has the other partners.
pub fn partner_addrs(node: &Node, round: usize) -> (BTreeSet<SocketAddr>, BTreeSet<SocketAddr>) {
    let state = node.state();
    let mut zones: BTreeMap<&str, BTreeMap<InstanceId, SocketAddr>> = BTreeMap::new();
    for member in state.members.iter().filter(|m| m.role == Role::Entry) {
        if let Some(addr) = parse_addr(&member.addr) {
            zones.entry(&member.zone).or_default().insert(member.name.as_str().into(), addr);
        }
    }
    // A new peer of another zone, not yet in the list, also gets heartbeats.
    let unlisted = |name: &str| state.members.iter().all(|m| m.name != name);
    let mut found: BTreeSet<SocketAddr> = state
        .view
        .alive(Instant::now())
        .filter(|b| b.zone != node.zone && unlisted(&b.name))
        .filter_map(|b| b.addr)
        .collect();
    let mut others = BTreeSet::new();
    let own = zones.remove(&*node.zone).unwrap_or_default();
    let mut own_names: Vec<&str> = own.keys().map(AsRef::as_ref).collect();
    own_names.push(&node.name);
    for members in zones.values() {
        let names: Vec<InstanceId> = members.keys().cloned().collect();
        let partners = partners(&node.name, &own_names, &names);
        let at = round % partners.len().max(1);
        let addrs = partners.iter().enumerate().filter_map(|(i, n)| Some((i, *members.get(*n)?)));
        for (i, addr) in addrs {
            let set = if i == at { &mut found } else { &mut others };
            set.insert(addr);
        }
    }
    others.retain(|addr| !found.contains(addr));
    found.remove(&node.links.addr());
    (found, others)
}

/// Returns the configuration versions reported by peers so far.
pub fn peer_answers(state: &State, node: &Node) -> PeerAnswers {
    let now = Instant::now();
    let mut silent = listed_addrs(&state.members, &node.zone);
    silent.extend(&node.settings.seeds);
    silent.remove(&node.links.addr());
    let mut answers = PeerAnswers::default();
    for beat in state.view.alive(now) {
        answers.answered += 1;
        answers.highest = answers.highest.max(beat.head.version);
        if let Some(addr) = beat.addr {
            silent.remove(&addr);
        }
    }
    answers.silent = silent.len();
    answers
}

/// Sends the addresses of the zone's live instances to one that is not listed.
pub fn introduce(node: &Node, to: SocketAddr, zone: &str) {
    let state = node.state();
    let unlisted = !listed_addrs(&state.members, zone).contains(&to);
    let known: Vec<String> = live_addrs(&state.view, zone)
        .filter(|a| *a != to)
        .take(MAX_INTRODUCED)
        .map(|a| a.to_string())
        .collect();
    drop(state);
    if unlisted && !known.is_empty() {
        node.links.send(to, Body::Contacts(message::Contacts { addrs: known }));
    }
}

/// Records the addresses of an introduction.
pub fn record_introduction(node: &Node, contacts: &message::Contacts) {
    let now = Instant::now();
    let addrs = contacts.addrs.iter().take(MAX_INTRODUCED).filter_map(|a| parse_addr(a));
    node.state().contacts.introduced.extend(addrs.map(|a| (a, now)));
}

fn listed_addrs(members: &[Member], zone: &str) -> BTreeSet<SocketAddr> {
    members
        .iter()
        .filter(|m| m.role == Role::Entry && m.zone == zone)
        .filter_map(|m| parse_addr(&m.addr))
        .collect()
}

fn live_addrs<'a>(view: &'a View, zone: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
    view.alive(Instant::now()).filter(move |b| *b.zone == *zone).filter_map(|b| b.addr)
}
