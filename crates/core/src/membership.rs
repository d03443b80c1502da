//! Membership: which entry instances this one believes to be alive.
//!
//! The platform's list lags, so it only tells whom to talk to. Direct
//! heartbeats tell who is alive. An instance that was never heard of is not
//! alive, whatever the list says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{InstanceId, ZoneId};
use crate::version::Head;

/// Interval between heartbeats to each peer of the own zone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between heartbeats to a peer of another zone.
pub const FAR_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Silence after which a peer of the own zone counts as dead.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// Silence after which a peer of another zone counts as dead.
pub const FAR_PEER_TIMEOUT: Duration = Duration::from_secs(12);

/// What a heartbeat says of its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Sender.
    pub name: InstanceId,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Start number of the sender's process; a restart has a higher one.
    pub boot: u64,
    /// Whether the sender is leaving and takes no roles.
    pub leaving: bool,
    /// Whether the sender could not reach the platform at its last try.
    pub platform_unreachable: bool,
    /// Address on which the sender takes links, where it is known.
    pub addr: Option<SocketAddr>,
    /// Configuration in force at the sender.
    pub head: Head,
}

#[derive(Clone, Debug)]
struct Peer {
    beat: Heartbeat,
    heard: Instant,
}

/// The members as one instance sees them.
#[derive(Clone, Debug)]
pub struct View {
    me: InstanceId,
    zone: ZoneId,
    leaving: bool,
    platform_unreachable: bool,
    peers: BTreeMap<InstanceId, Peer>,
}

impl View {
    /// Builds the view of an instance that has heard of nobody yet.
    pub fn new(me: InstanceId, zone: ZoneId) -> Self {
        Self { me, zone, leaving: false, platform_unreachable: false, peers: BTreeMap::new() }
    }

    /// Notes a heartbeat; returns whether its sender was not known.
    ///
    /// A late heartbeat of an older process of the same name is dropped while
    /// the newer one is alive. After that a lower start number is taken, since
    /// the clock of the replacement may be behind.
    pub fn record(&mut self, beat: Heartbeat, now: Instant) -> bool {
        if beat.name == self.me {
            return false;
        }
        let known = self.peers.get(&beat.name);
        if known.is_some_and(|p| p.beat.boot > beat.boot && self.lives(p, now)) {
            return false;
        }
        let new = known.is_none_or(|p| p.beat.boot != beat.boot);
        self.peers.insert(InstanceId::clone(&beat.name), Peer { beat, heard: now });
        new
    }

    fn lives(&self, peer: &Peer, now: Instant) -> bool {
        let silence = if peer.beat.zone == self.zone { PEER_TIMEOUT } else { FAR_PEER_TIMEOUT };
        now.saturating_duration_since(peer.heard) < silence
    }

    /// Notes whether this instance reaches the platform.
    pub fn set_platform_unreachable(&mut self, platform_unreachable: bool) {
        self.platform_unreachable = platform_unreachable;
    }

    /// Returns whether this instance could not reach the platform.
    pub fn platform_unreachable(&self) -> bool {
        self.platform_unreachable
    }

    /// Marks this instance as leaving, so that it takes no roles.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Forgets peers that have been silent for ten times [`PEER_TIMEOUT`].
    pub fn prune(&mut self, now: Instant) {
        self.peers.retain(|_, p| now.saturating_duration_since(p.heard) < PEER_TIMEOUT * 10);
    }

    /// Returns the last heartbeats of peers that are alive, by name.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        self.peers.values().filter(move |p| self.lives(p, now)).map(|p| &p.beat)
    }

    /// Returns the names in this zone that may hold roles, this one included.
    pub fn candidates(&self, now: Instant) -> Vec<&str> {
        self.candidate_reachability(now).into_iter().map(|(name, _)| name).collect()
    }

    /// Returns the candidates and whether each is cut off from the platform.
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
