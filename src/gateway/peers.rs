//! What is known of other instances, and which of them get which datagrams.
//!
//! Schedulers tell each other of every request in flight. The other instances of a zone
//! ask one of its schedulers for placements, so that messages grow with the requests and
//! not with requests times instances. Datagrams without requests serve as heartbeats in
//! the zone, where traffic is free.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mimosapass_core::edge::audience::{self, Heard, Recipients, Registered, Sender};
use mimosapass_core::edge::catch_up::Known;
use mimosapass_core::edge::currency::{self, PeerView};
use mimosapass_core::edge::election::{self, Nominee};
use mimosapass_core::edge::order::Turn;
use mimosapass_core::edge::outage::Outage;
use mimosapass_core::edge::position::Position;
use mimosapass_core::edge::route_table::ServiceId;
use mimosapass_core::edge::shared_rate::Senders;
use mimosapass_core::ids::{InstanceId, ZoneId};

use super::state::{Gateway, State};

/// Silence after which a scheduler is not asked any more: three of its datagrams are
/// missing.
const SCHEDULER_SILENCE: Duration = Duration::from_secs(1);
/// Time since the last answer of the store after which the entries known here may be old.
const STORE_SILENCE: Duration = Duration::from_secs(3);

/// What is known of a peer from its datagrams.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Source address of its datagrams.
    pub addr: SocketAddr,
    /// Start time of its process, in Unix milliseconds.
    pub boot: u64,
    /// Sequence number of its last datagram.
    pub seq: u64,
    /// When its last datagram arrived.
    pub last_heard: Instant,
    /// Configuration version in force there.
    pub config_version: u64,
    /// Whether it cannot reach the store.
    pub store_unreachable: bool,
    /// When it was last without the store.
    pub outage: Option<Outage>,
    /// Position of the latest change of targets known there.
    pub targets: Position,
    /// Position of the latest order to evacuate a zone, or to take it back, known there.
    pub evacuations: Position,
    /// Whether it watches the store for its zone.
    pub watching: bool,
    /// Whether schedulers place its requests.
    pub delegating: bool,
    /// Processor share of its machine, in thousandths of a core; 0 if it places no
    /// requests of others.
    pub capacity: u32,
    /// Instances of the fleet that it knows.
    pub instances: u32,
    /// Addresses of the schedulers of its zone, if it last named them.
    pub schedulers: Vec<SocketAddr>,
    /// Services of which it cannot connect to most targets; `None` if it takes no requests
    /// that come over peers.
    pub cut_off: Option<Vec<ServiceId>>,
    /// Availability zone.
    pub zone: ZoneId,
}

/// A peer as registered in the store.
#[derive(Clone, Debug)]
pub struct Member {
    /// Address for datagrams.
    pub addr: SocketAddr,
    /// Availability zone; `None` from versions that do not state it.
    pub zone: Option<ZoneId>,
}

impl Peer {
    /// Returns what it knows of the store's data.
    pub fn known(&self) -> Known {
        let Self { config_version: config, targets, evacuations, .. } = *self;
        Known { config, targets, evacuations }
    }
}

impl State {
    /// Returns what this instance knows of the store's data, with its configuration.
    pub fn known(&self, config: u64) -> Known {
        let evacuations = self.scheduler.fleet.evacuations.latest();
        // A watch has delivered all changes of targets up to its position.
        let targets = self.store.progress.targets.max(self.store.progress.watched);
        Known { config, targets, evacuations }
    }

    /// Records since when this instance lacks what a peer of its zone has.
    pub fn update_lag(&mut self, config: u64, now: Instant) {
        let in_zone = self.peers.values().filter(|p| p.zone == self.scheduler.zone);
        let newest = in_zone.map(Peer::known).fold(Known::default(), Known::max);
        self.lag.update(self.known(config), newest, now);
    }

    /// Returns the live instances of this zone, with this one.
    fn nominees<'a>(
        &'a self,
        gateway: &'a Gateway,
        now: Instant,
    ) -> impl Iterator<Item = Nominee<'a>> {
        let own = Nominee {
            name: &gateway.name,
            capacity: self.capacity(gateway),
            silence: Duration::ZERO,
            cut_off: false,
        };
        let in_zone = self.peers.iter().filter(|(_, p)| p.zone == self.scheduler.zone);
        let peers = in_zone.map(move |(name, peer)| Nominee {
            name,
            capacity: peer.capacity,
            silence: now.saturating_duration_since(peer.last_heard),
            cut_off: peer.store_unreachable,
        });
        std::iter::once(own).chain(peers)
    }

    /// Returns the processor share of this machine; 0 if it places no requests of others.
    ///
    /// Peers do not rely on a scheduler that is about to exit, or that is cut off from targets
    /// which they may reach.
    pub fn capacity(&self, gateway: &Gateway) -> u32 {
        if gateway.is_stopping() || self.isolated { 0 } else { gateway.settings.capacity }
    }

    /// Returns whether this instance watches the store, for its zone or for itself.
    pub fn watches_store(&self, gateway: &Gateway, now: Instant) -> bool {
        self.lag.is_overdue(now) || self.is_elected_watcher(gateway, now)
    }

    /// Returns whether this instance is one of those that watch the store for their zone.
    pub fn is_elected_watcher(&self, gateway: &Gateway, now: Instant) -> bool {
        let mut nominees = self.nominees(gateway, now);
        nominees.next().is_none_or(|own| election::should_watch(own, nominees))
    }

    /// Returns the milliseconds for which a peer of the zone has had newer data of the store.
    pub fn behind_ms(&self, now: Instant) -> u64 {
        self.lag.since().map_or(0, |at| now.saturating_duration_since(at).as_millis() as u64)
    }

    /// Returns the schedulers of this zone, best first.
    pub fn schedulers<'a>(&'a self, gateway: &'a Gateway, now: Instant) -> Vec<&'a str> {
        election::schedulers(self.nominees(gateway, now))
    }

    /// Returns which engines this instance fills first as a scheduler.
    pub fn turn(&self, gateway: &Gateway, now: Instant) -> Turn {
        let schedulers = self.schedulers(gateway, now);
        let index = schedulers.iter().position(|name| **name == *gateway.name);
        Turn { index: index.unwrap_or_default(), count: schedulers.len().max(1) }
    }

    /// Returns which instances send to targets, as far as this one knows their requests.
    pub fn senders(&mut self, gateway: &Gateway, now: Instant) -> Senders {
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.delegating && now < peer.last_heard + SCHEDULER_SILENCE);
        let mut others: Vec<InstanceId> = heard.map(|(name, _)| InstanceId::clone(name)).collect();
        others.sort_unstable();
        let share = if others.is_empty() || !self.places_own(gateway, now) {
            1.0 / self.instance_count(now) as f64
        } else {
            self.heard_zones(&others)
        };
        Senders { own: InstanceId::clone(&gateway.name), others, share }
    }

    /// Returns the share of the zones with registered instances of which one is heard.
    fn heard_zones(&self, others: &[InstanceId]) -> f64 {
        let zones = others.iter().filter_map(|name| self.peers.get(name)).map(|p| &p.zone);
        let mut heard: BTreeSet<&ZoneId> = zones.collect();
        heard.insert(&self.scheduler.zone);
        let registered = self.members.values().filter_map(|member| member.zone.as_ref());
        let known: BTreeSet<&ZoneId> = registered.chain(heard.iter().copied()).collect();
        heard.len() as f64 / known.len() as f64
    }

    /// Returns whether this instance places the requests of its callers itself.
    pub fn places_own(&self, gateway: &Gateway, now: Instant) -> bool {
        let schedulers = self.schedulers(gateway, now);
        schedulers.is_empty() || schedulers.contains(&&*gateway.name)
    }

    /// Returns the scheduler to which this instance delegates, if it does.
    pub fn scheduler_to_ask(&self, gateway: &Gateway, now: Instant) -> Option<InstanceId> {
        let schedulers = self.schedulers(gateway, now);
        if schedulers.contains(&&*gateway.name) {
            return None;
        }
        self.remote.choose(&gateway.name, &schedulers, now)
    }

    /// Moves requests away from schedulers that do not answer, and queues here those
    /// that no scheduler places.
    pub fn reassign(&mut self, gateway: &Gateway, now: Instant) {
        let schedulers: Vec<String> =
            self.schedulers(gateway, now).into_iter().map(str::to_owned).collect();
        let own = &*gateway.name;
        let others: Vec<&str> =
            schedulers.iter().map(String::as_str).filter(|s| *s != own).collect();
        let peers = &self.peers;
        let silent =
            |name: &str| peers.get(name).is_none_or(|p| now >= p.last_heard + SCHEDULER_SILENCE);
        // A scheduler asks no other one.
        let trusted = if others.len() < schedulers.len() { Vec::new() } else { others };
        for (id, requirements) in self.remote.reassign(own, &trusted, silent, now) {
            log::info!(request = id; "queue: no scheduler answers, placed by this instance.");
            self.scheduler.enqueue(id, requirements);
        }
    }

    /// Removes what is known of a peer that has failed or restarted.
    pub fn forget_peer(&mut self, name: &str) {
        self.scheduler.peer_queues.remove(name);
        self.scheduler.peer_waiting.remove(name);
        self.scheduler.load.forget_peer(name);
        self.clients.forget(&mut self.scheduler, name);
        for orphan in self.remote.forget(name) {
            self.scheduler.adopt(&orphan);
        }
    }

    /// Returns the highest era of the store that a peer has reported.
    pub fn reported_era(&self) -> u64 {
        self.peers.values().map(|p| p.targets.era).max().unwrap_or_default()
    }

    /// Returns whether `version` is the latest configuration, as far as known.
    pub fn config_is_current(&self, version: u64, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let peers = self.peers.values().map(|p| PeerView {
            version: p.config_version,
            age: age(p.last_heard),
            cut_off: p.store_unreachable,
        });
        currency::is_current(version, self.store.last_success.map(age), peers)
    }

    /// Returns the number of instances, including this one.
    pub fn instance_count(&mut self, now: Instant) -> usize {
        let known = self.known_instances();
        self.fleet_size.count(now).map_or(known, |count| count.max(known))
    }

    /// Returns the number of instances that are registered or heard, including this one.
    pub fn known_instances(&self) -> usize {
        let heard = self.peers.keys().filter(|name| !self.members.contains_key(*name)).count();
        self.members.len() + heard + 1
    }

    /// Records the count of instances if it is that of the store: as this instance sees it, or a
    /// peer that watches it.
    pub fn observe_fleet(&mut self, now: Instant) {
        let known = self.known_instances();
        self.known_instances = known as u32;
        let is_recent = |at: Instant| now < at + STORE_SILENCE;
        let own = self.store.last_success.is_some_and(is_recent).then_some(known);
        let watching = self.peers.values().filter(|p| p.watching && !p.store_unreachable);
        let told = watching.map(|p| p.instances as usize).max();
        if let Some(count) = own.max(told) {
            self.fleet_size.record(count, now);
        }
    }

    /// Returns the receivers of datagrams. All instances use the same port for them.
    pub fn recipients(&self, gateway: &Gateway, now: Instant) -> Recipients {
        let own = Sender {
            addr: gateway.settings.listen.peers,
            zone: &self.scheduler.zone,
            places: self.places_own(gateway, now),
        };
        let heard: Vec<Heard<'_>> = self
            .peers
            .values()
            .map(|p| Heard {
                addr: p.addr,
                zone: &p.zone,
                delegating: p.delegating,
                schedulers: &p.schedulers,
            })
            .collect();
        let registered: Vec<Registered<'_>> = self
            .members
            .values()
            .map(|m| Registered { addr: m.addr, zone: m.zone.as_deref() })
            .collect();
        let seeds = gateway.settings.seeds.iter();
        let seeds: Vec<SocketAddr> =
            seeds.map(|seed| SocketAddr::new(seed.ip(), own.addr.port())).collect();
        audience::recipients(own, &heard, &registered, &seeds)
    }

    /// Returns the addresses of the schedulers of this zone.
    pub fn scheduler_addrs(&self, gateway: &Gateway, now: Instant) -> Vec<SocketAddr> {
        let addr = |name: &str| match self.peers.get(name) {
            Some(peer) => peer.addr,
            None => gateway.settings.listen.peers,
        };
        self.schedulers(gateway, now).into_iter().map(addr).collect()
    }
}
