//! What is known of other instances, and which of them get which datagrams.
//!
//! Schedulers tell each other of every request in flight. The other instances of a zone
//! ask one of its schedulers for placements, so that messages grow with the requests and
//! not with requests times instances. Datagrams without requests serve as heartbeats in
//! the zone, where traffic is free.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mimosapass_core::edge::election::{self, Nominee};
use mimosapass_core::edge::order::Turn;
use mimosapass_core::ids::{InstanceId, ZoneId};
use mimosapass_platform::store::Revision;

use super::state::{Gateway, State};

/// Silence after which a scheduler is not asked any more: three of its datagrams are
/// missing.
const SCHEDULER_SILENCE: Duration = Duration::from_secs(1);
/// Time behind its peers after which an instance watches the store itself. By then
/// one request for a snapshot went unanswered, and what remains of the two seconds
/// in which a change must take effect is enough for a watch.
const MAX_BEHIND: Duration = Duration::from_millis(500);

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
    /// When it last reported the store unreachable.
    pub unreachable_at: Option<Instant>,
    /// Revision of the latest change of targets known there.
    pub target_revision: Revision,
    /// Whether it watches the store for its zone.
    pub watching: bool,
    /// Whether schedulers place its requests.
    pub delegating: bool,
    /// Processor share of its machine, in thousandths of a core; 0 if it places no
    /// requests of others.
    pub capacity: u32,
    /// Instances of the fleet that it knows.
    pub instances: u32,
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

/// Receivers of datagrams by what they contain.
#[derive(Clone, Debug, Default)]
pub struct Recipients {
    /// Told of requests in flight.
    pub exchange: Vec<SocketAddr>,
    /// Sent heartbeats only.
    pub heartbeat: Vec<SocketAddr>,
}

impl State {
    /// Returns the live instances of this zone, with this one.
    fn nominees<'a>(
        &'a self,
        gateway: &'a Gateway,
        now: Instant,
    ) -> impl Iterator<Item = Nominee<'a>> {
        let own = Nominee {
            name: &gateway.name,
            capacity: gateway.settings.capacity,
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

    /// Returns whether this instance watches the store for its zone.
    pub fn watches_store(&self, gateway: &Gateway, now: Instant) -> bool {
        if self.behind_since.is_some_and(|since| now >= since + MAX_BEHIND) {
            return true;
        }
        let mut nominees = self.nominees(gateway, now);
        nominees.next().is_none_or(|own| election::should_watch(own, nominees))
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
        self.scheduler.load.forget_peer(name);
        self.clients.forget(&mut self.scheduler, name);
        for orphan in self.remote.forget(name) {
            self.scheduler.adopt(&orphan);
        }
    }

    /// Returns the number of live instances, including this one.
    pub fn instance_count(&self) -> usize {
        let told = self.peers.values().map(|p| p.instances as usize).max().unwrap_or_default();
        self.known_instances().max(told)
    }

    /// Returns the number of instances that are registered or heard, including this one.
    pub fn known_instances(&self) -> usize {
        (self.peers.len() + 1).max(self.members.len())
    }

    /// Returns the receivers of datagrams.
    ///
    /// Seeds are among them while the store has listed no peer. All instances use the
    /// same port for datagrams.
    pub fn recipients(&self, gateway: &Gateway, now: Instant) -> Recipients {
        let own_zone = &self.scheduler.zone;
        let places = self.places_own(gateway, now);
        let told = |peer: &Peer| !peer.delegating && (places || peer.zone == *own_zone);
        let heard: Vec<&Peer> = self.peers.values().collect();
        let exchange: BTreeSet<SocketAddr> =
            heard.iter().filter(|p| told(p)).map(|p| p.addr).collect();
        let reached: BTreeSet<&ZoneId> =
            heard.iter().filter(|p| !p.delegating).map(|p| &p.zone).collect();
        // Schedulers of a zone of which none was heard are among its members.
        let unheard_zone = |zone: &ZoneId| places && !reached.contains(zone);
        let registered = self.members.values().filter(|member| {
            member.zone.as_ref().is_none_or(|zone| zone == own_zone || unheard_zone(zone))
        });
        let mut heartbeat: BTreeSet<SocketAddr> = registered.map(|m| m.addr).collect();
        heartbeat.extend(heard.iter().filter(|p| p.zone == *own_zone).map(|p| p.addr));
        let own = gateway.settings.listen.peers;
        if self.members.is_empty() {
            let seeds = gateway.settings.seeds.iter();
            heartbeat.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), own.port())));
        }
        heartbeat.remove(&own);
        heartbeat.retain(|addr| !exchange.contains(addr));
        let exchange = exchange.into_iter().collect();
        Recipients { exchange, heartbeat: heartbeat.into_iter().collect() }
    }
}
