//! Membership: the entry instances that this one considers alive.
//!
//! The platform's list lags, so it only provides the addresses to contact.
//! Liveness is determined by direct heartbeats: an instance that has not sent
//! one is not alive, even if it is listed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{InstanceId, ZoneId};
use crate::version::Head;

/// Interval between heartbeats to each peer of the same zone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between heartbeats to a peer of another zone.
pub const FAR_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which a peer of the same zone counts as dead.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without a heartbeat after which a peer of another zone counts as dead.
pub const FAR_PEER_TIMEOUT: Duration = Duration::from_secs(12);

/// Content of a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Name of the sender.
    pub name: InstanceId,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Start number of the sender's process; a restart has a higher one.
    pub boot: u64,
    /// Whether the sender is shutting down and holds no roles.
    pub leaving: bool,
    /// Whether the sender could not reach the platform on its last attempt.
    pub platform_unreachable: bool,
    /// Address on which the sender accepts links, if known.
    pub addr: Option<SocketAddr>,
    /// Active configuration of the sender.
    pub head: Head,
}

#[derive(Clone, Debug)]
struct Peer {
    beat: Heartbeat,
    heard: Instant,
}

/// The members as seen by one instance.
#[derive(Clone, Debug)]
pub struct View {
    me: InstanceId,
    zone: ZoneId,
    leaving: bool,
    platform_unreachable: bool,
    peers: BTreeMap<InstanceId, Peer>,
}

impl View {
    /// Builds the view of an instance that has received no heartbeat yet.
    pub fn new(me: InstanceId, zone: ZoneId) -> Self {
        Self { me, zone, leaving: false, platform_unreachable: false, peers: BTreeMap::new() }
    }

    /// Records a heartbeat; returns whether the sending process was unknown.
    ///
    /// A delayed heartbeat of an older process of the same name is dropped while
    /// the newer one is alive. Afterwards a lower start number is accepted,
    /// because the clock of the replacement may be behind.
    pub fn record(&mut self, beat: Heartbeat, now: Instant) -> bool {
        if beat.name == self.me {
            return false;
        }
        let known = self.peers.get(&beat.name);
        if known.is_some_and(|p| p.beat.boot > beat.boot && self.is_alive(p, now)) {
            return false;
        }
        let new = known.is_none_or(|p| p.beat.boot != beat.boot);
        self.peers.insert(InstanceId::clone(&beat.name), Peer { beat, heard: now });
        new
    }

    fn is_alive(&self, peer: &Peer, now: Instant) -> bool {
        let timeout = if peer.beat.zone == self.zone { PEER_TIMEOUT } else { FAR_PEER_TIMEOUT };
        now.saturating_duration_since(peer.heard) < timeout
    }

    /// Sets whether this instance cannot reach the platform.
    pub fn set_platform_unreachable(&mut self, unreachable: bool) {
        self.platform_unreachable = unreachable;
    }

    /// Returns whether this instance cannot reach the platform.
    pub fn platform_unreachable(&self) -> bool {
        self.platform_unreachable
    }

    /// Marks this instance as leaving, so that it holds no roles.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Removes peers without a heartbeat for ten times [`PEER_TIMEOUT`].
    pub fn prune(&mut self, now: Instant) {
        self.peers.retain(|_, p| now.saturating_duration_since(p.heard) < PEER_TIMEOUT * 10);
    }

    /// Returns the last heartbeat of each live peer, ordered by name.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        self.peers.values().filter(move |p| self.is_alive(p, now)).map(|p| &p.beat)
    }

    /// Returns the instances of this zone that may hold roles, including this one.
    pub fn candidates(&self, now: Instant) -> Vec<&str> {
        self.candidate_reachability(now).into_iter().map(|(name, _)| name).collect()
    }

    /// Returns the candidates and whether each cannot reach the platform.
    pub fn candidate_reachability(&self, now: Instant) -> Vec<(&str, bool)> {
        let mut names: Vec<(&str, bool)> = self
            .alive(now)
            .filter(|b| b.zone == self.zone && !b.leaving)
            .map(|b| (b.name.as_ref(), b.platform_unreachable))
            .collect();
        if !self.leaving {
            names.push((&self.me, self.platform_unreachable));
        }
        names
    }
}
