//! Membership: which entry instances this one believes to be alive.
//!
//! The platform's list lags, so it only tells whom to talk to. Direct
//! heartbeats tell who is alive. An instance that was never heard of is not
//! alive, whatever the list says.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{InstanceId, ZoneId};
use crate::version::Head;

/// Interval between heartbeats to each peer.
pub const BEAT: Duration = Duration::from_secs(1);
/// Silence after which a peer counts as dead.
pub const SILENCE: Duration = Duration::from_secs(4);

/// What a heartbeat says of its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Beat {
    /// Sender.
    pub name: InstanceId,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Start number of the sender's process; a restart has a higher one.
    pub boot: u64,
    /// Whether the sender is leaving and takes no roles.
    pub leaving: bool,
    /// Configuration in force at the sender.
    pub head: Head,
}

#[derive(Clone, Debug)]
struct Peer {
    beat: Beat,
    heard: Instant,
}

/// The members as one instance sees them.
#[derive(Clone, Debug)]
pub struct View {
    me: InstanceId,
    zone: ZoneId,
    leaving: bool,
    peers: BTreeMap<InstanceId, Peer>,
}

impl View {
    /// Builds the view of an instance that has heard of nobody yet.
    pub fn new(me: InstanceId, zone: ZoneId) -> Self {
        Self { me, zone, leaving: false, peers: BTreeMap::new() }
    }

    /// Notes a heartbeat; one of an older process of the same name is dropped.
    pub fn hear(&mut self, beat: Beat, now: Instant) {
        if beat.name == self.me {
            return;
        }
        let stale = self.peers.get(&beat.name).is_some_and(|p| p.beat.boot > beat.boot);
        if !stale {
            self.peers.insert(InstanceId::clone(&beat.name), Peer { beat, heard: now });
        }
    }

    /// Marks this instance as leaving, so that it takes no roles.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Forgets peers that have been silent for ten times [`SILENCE`].
    pub fn prune(&mut self, now: Instant) {
        self.peers.retain(|_, p| now.duration_since(p.heard) < SILENCE * 10);
    }

    /// Returns the last heartbeats of peers that are alive, by name.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Beat> {
        self.peers.values().filter(move |p| now.duration_since(p.heard) < SILENCE).map(|p| &p.beat)
    }

    /// Returns the names in this zone that may hold roles, this one included.
    pub fn candidates(&self, now: Instant) -> Vec<&str> {
        let mut names: Vec<&str> = self
            .alive(now)
            .filter(|b| b.zone == self.zone && !b.leaving)
            .map(|b| b.name.as_ref())
            .collect();
        if !self.leaving {
            names.push(&self.me);
        }
        names
    }
}
