//! Whom this instance tells: the platform's list, seeds, and peers it heard of.
//!
//! The list may be old or absent. Instances that it does not name are found
//! through seeds and introduced to the others of their zone by any of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mimosapass_core::ids::InstanceId;
use mimosapass_core::membership::View;
use mimosapass_core::readiness::PeerAnswers;
use mimosapass_core::roles::partners;
use mimosapass_instance::message::{self, Body};
use mimosapass_keyvalue::members::{Member, Role};

use crate::background::poll::address;
use crate::node::{Node, State};

/// Time for which an instance that was only named is tried.
const TRY: Duration = Duration::from_secs(30);
/// Instances that one introduction names, at most.
const NAMED: usize = 64;
/// Heartbeats between two to a seed that was not heard of.
const SEED_TURNS: u32 = 10;

/// Addresses that were named, and when this zone was told last.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    named: BTreeMap<SocketAddr, Instant>,
    told: Option<Instant>,
    turn: u32,
    new: bool,
    far: usize,
}

impl Contacts {
    /// Returns when the zone was told last.
    pub fn told(&self) -> Option<Instant> {
        self.told
    }

    /// Notes that the zone is told at `now`.
    pub fn tell(&mut self, now: Instant) {
        self.told = Some(now);
        self.turn = self.turn.wrapping_add(1);
    }

    /// Counts a turn of telling other zones and returns its number.
    pub fn far_turn(&mut self) -> usize {
        self.far = self.far.wrapping_add(1);
        self.far
    }

    /// Notes whether a peer was heard for the first time.
    pub fn welcome(&mut self, new: bool) {
        self.new |= new;
    }

    /// Returns whether there was a new peer since the last call.
    pub fn take_new(&mut self) -> bool {
        std::mem::take(&mut self.new)
    }

    /// Forgets addresses that were named long ago.
    pub fn prune(&mut self, now: Instant) {
        self.named.retain(|_, at| now.saturating_duration_since(*at) < TRY);
    }
}

/// Returns the addresses of this zone's instances, and of seeds at times.
pub fn near(node: &Node) -> BTreeSet<SocketAddr> {
    let state = node.state();
    let mut found = listed(&state.members, &node.zone);
    found.extend(heard(&state.view, &node.zone));
    found.extend(state.contacts.named.keys());
    let lonely = !state.readiness.is_ready() || state.members.is_empty();
    if lonely || state.contacts.turn.is_multiple_of(SEED_TURNS) {
        found.extend(&node.settings.seeds);
    }
    found.remove(&node.links.addr());
    found
}

/// Returns the addresses of partners in other zones.
///
/// The first set has one of each zone, by `turn`, and peers that the list does
/// not name; the second has the others.
pub fn far(node: &Node, turn: usize) -> (BTreeSet<SocketAddr>, BTreeSet<SocketAddr>) {
    let state = node.state();
    let mut zones: BTreeMap<&str, BTreeMap<InstanceId, SocketAddr>> = BTreeMap::new();
    for member in state.members.iter().filter(|m| m.role == Role::Entry) {
        if let Some(addr) = address(&member.addr) {
            zones.entry(&member.zone).or_default().insert(member.name.as_str().into(), addr);
        }
    }
    // A peer of another zone that the list does not name yet is answered.
    let unlisted = |name: &str| state.members.iter().all(|m| m.name != name);
    let mut found: BTreeSet<SocketAddr> = state
        .view
        .alive(Instant::now())
        .filter(|b| b.zone != node.zone && unlisted(&b.name))
        .filter_map(|b| b.addr)
        .collect();
    let mut others = BTreeSet::new();
    let own = zones.remove(&*node.zone).unwrap_or_default();
    let mut mine: Vec<&str> = own.keys().map(AsRef::as_ref).collect();
    mine.push(&node.name);
    for theirs in zones.values() {
        let names: Vec<InstanceId> = theirs.keys().cloned().collect();
        let partners = partners(&node.name, &mine, &names);
        let at = turn % partners.len().max(1);
        let addrs = partners.iter().enumerate().filter_map(|(i, n)| Some((i, *theirs.get(*n)?)));
        for (i, addr) in addrs {
            let set = if i == at { &mut found } else { &mut others };
            set.insert(addr);
        }
    }
    others.retain(|addr| !found.contains(addr));
    found.remove(&node.links.addr());
    (found, others)
}

/// Returns what those that this instance tells have said so far.
pub fn answers(state: &State, node: &Node) -> PeerAnswers {
    let now = Instant::now();
    let mut asked = listed(&state.members, &node.zone);
    asked.extend(&node.settings.seeds);
    asked.remove(&node.links.addr());
    let mut told = PeerAnswers::default();
    for beat in state.view.alive(now) {
        told.answered += 1;
        told.highest = told.highest.max(beat.head.version);
        if let Some(addr) = beat.addr {
            asked.remove(&addr);
        }
    }
    told.silent = asked.len();
    told
}

/// Names the zone's instances to one that the list does not name.
pub fn introduce(node: &Node, to: SocketAddr, zone: &str) {
    let state = node.state();
    let unlisted = !listed(&state.members, zone).contains(&to);
    let known: Vec<String> =
        heard(&state.view, zone).filter(|a| *a != to).take(NAMED).map(|a| a.to_string()).collect();
    drop(state);
    if unlisted && !known.is_empty() {
        node.links.send(to, Body::Contacts(message::Contacts { addrs: known }));
    }
}

/// Notes addresses that a peer named.
pub fn note(node: &Node, contacts: &message::Contacts) {
    let now = Instant::now();
    let addrs = contacts.addrs.iter().take(NAMED).filter_map(|a| address(a));
    node.state().contacts.named.extend(addrs.map(|a| (a, now)));
}

fn listed(members: &[Member], zone: &str) -> BTreeSet<SocketAddr> {
    members
        .iter()
        .filter(|m| m.role == Role::Entry && m.zone == zone)
        .filter_map(|m| address(&m.addr))
        .collect()
}

fn heard<'a>(view: &'a View, zone: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
    view.alive(Instant::now()).filter(move |b| *b.zone == *zone).filter_map(|b| b.addr)
}
