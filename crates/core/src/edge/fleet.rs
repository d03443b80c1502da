//! Known targets, and which of them accept new requests.
//!
//! Reports of a target may be late, out of order, or written by something other than
//! the target. A report is accepted only if it is newer than the known one: of a later
//! start of the target, or with a higher sequence number of the same start. A draining
//! target serves again only after a restart.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use crate::edge::evacuation::Evacuations;
use crate::edge::route_table::ServiceId;
use crate::ids::ZoneId;

pub use crate::ids::TargetId;

/// Time after the store's return for which a target whose entry lapsed in an outage is kept.
/// Running targets renew their entries within about that time.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Registration of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier.
    pub id: TargetId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Start of the target, in Unix milliseconds; 0 if not stated.
    pub started_ms: u64,
    /// Sequence number of the report since the start.
    pub seq: u64,
    /// Remaining time for which it is slow after its start.
    pub warmup: Duration,
}

impl Target {
    /// Returns the key by which reports of a target are ordered.
    fn revision(&self) -> (u64, u64) {
        (self.started_ms, self.seq)
    }
}

/// Effect of an update on where requests may go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No effect on requests.
    Unchanged,
    /// The target is new or has restarted.
    Joined,
    /// The target accepts no new requests.
    Draining,
    /// The entry lapsed in an outage; the target serves until the end of a grace period.
    Lapsed,
    /// The target is gone.
    Gone,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Arc<Target>,
    state: EntryState,
}

/// Whether the entry of a target is in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EntryState {
    Registered,
    /// It disappeared in an outage.
    Lapsed,
    /// A peer keeps it after an outage, until then.
    KeptByPeer(Instant),
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Zones whose targets get no new requests, whatever their entries say.
    pub evacuations: Evacuations,
    entries: BTreeMap<TargetId, Entry>,
    /// Number of changes so far.
    generation: u64,
    /// Revisions of removed targets, so that late reports of them are ignored.
    removed: HashMap<TargetId, (u64, u64)>,
    /// Targets that stated in an answer that they leave.
    leaving: HashMap<TargetId, Leaving>,
}

/// A start of a target that leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    started_ms: u64,
    /// Whether it told this instance, and not a peer.
    told_here: bool,
}

/// Most removed targets that are remembered; late reports arrive within seconds.
const MAX_REMOVED: usize = 4096;

impl Fleet {
    /// Applies a report of a target.
    pub fn report(&mut self, mut target: Target) -> Change {
        if self.removed.get(&target.id).is_some_and(|revision| *revision >= target.revision()) {
            return Change::Unchanged;
        }
        let id = TargetId::clone(&target.id);
        let known = self.entries.get(&id);
        if let Some(entry) = known {
            let old = &entry.target;
            if target.revision() < old.revision() {
                return Change::Unchanged;
            }
            if target.started_ms == old.started_ms {
                target.draining |= old.draining;
            }
        }
        match self.leaving.get(&id) {
            Some(leaving) if leaving.started_ms == target.started_ms => target.draining = true,
            Some(_) => drop(self.leaving.remove(&id)),
            None => {}
        }
        let change = match known {
            Some(e)
                if e.target.draining == target.draining
                    && e.target.started_ms == target.started_ms =>
            {
                Change::Unchanged
            }
            _ if target.draining => Change::Draining,
            _ => Change::Joined,
        };
        self.removed.remove(&id);
        self.generation += 1;
        self.entries.insert(id, Entry { target: Arc::new(target), state: EntryState::Registered });
        change
    }

    /// Applies the statement of a target that it leaves.
    ///
    /// It holds for that start of the target, whatever its entry in the store says.
    /// `told_here` is false if a peer passed it on.
    pub fn leave(&mut self, id: &str, started_ms: u64, told_here: bool) -> Change {
        let Some((id, entry)) = self.entries.get_key_value(id) else { return Change::Unchanged };
        if entry.target.started_ms != started_ms {
            return Change::Unchanged;
        }
        let (id, drains) = (TargetId::clone(id), entry.target.draining);
        if self.leaving.len() >= MAX_REMOVED {
            self.leaving.clear();
        }
        let leaving = Leaving { started_ms, told_here };
        let known = self.leaving.entry(TargetId::clone(&id)).or_insert(leaving);
        known.told_here |= told_here;
        if drains {
            return Change::Unchanged;
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            Arc::make_mut(&mut entry.target).draining = true;
        }
        self.generation += 1;
        Change::Draining
    }

    /// Returns the known targets that told this instance that they leave, with their starts.
    pub fn told_leaving(&self) -> impl Iterator<Item = (&TargetId, u64)> {
        let told = self.leaving.iter().filter(|(_, leaving)| leaving.told_here);
        let known = told.filter(|(id, _)| self.entries.contains_key(*id));
        known.map(|(id, leaving)| (id, leaving.started_ms))
    }

    /// Applies the report of a peer that keeps the target after an outage, until `end`.
    ///
    /// This instance may get no other notice of the end: the removal of the entry can be
    /// older than what it gets from the store next.
    pub fn report_kept(&mut self, target: Target, end: Instant) -> Change {
        let (id, revision) = (TargetId::clone(&target.id), target.revision());
        let change = self.report(target);
        // A newer report may be known here.
        let entry = self.entries.get_mut(&id).filter(|e| e.target.revision() == revision);
        if let Some(entry) = entry {
            entry.state = EntryState::KeptByPeer(end);
        }
        change
    }

    /// Returns the time for which a target is kept whose entry is gone, `None` if its entry
    /// is in the store. `grace_end` is that of [`Self::expire`].
    pub fn time_kept(
        &self,
        id: &str,
        grace_end: Option<Instant>,
        now: Instant,
    ) -> Option<Duration> {
        match self.entries.get(id)?.state {
            EntryState::Registered => None,
            EntryState::Lapsed => {
                Some(grace_end.map_or(LAPSE_GRACE, |end| end.saturating_duration_since(now)))
            }
            EntryState::KeptByPeer(end) => Some(end.saturating_duration_since(now)),
        }
    }

    /// Removes a target whose entry is gone from the store.
    ///
    /// With `outage` the store was unavailable recently, so that the entry may have
    /// lapsed although its target runs; the target is then kept until [`Self::expire`].
    pub fn remove(&mut self, id: &str, outage: bool) -> Change {
        let Some(entry) = self.entries.get_mut(id) else { return Change::Unchanged };
        if outage && !entry.target.draining {
            let known = std::mem::replace(&mut entry.state, EntryState::Lapsed);
            return if known == EntryState::Lapsed { Change::Unchanged } else { Change::Lapsed };
        }
        self.forget(id);
        Change::Gone
    }

    /// Removes all targets that a complete listing does not name, but for those that a peer
    /// keeps.
    ///
    /// Returns the targets that are gone or lapsed by this.
    pub fn reconcile(&mut self, named: &[TargetId], outage: bool) -> Vec<(TargetId, Change)> {
        let named: HashSet<&TargetId> = named.iter().collect();
        let kept = |e: &Entry| matches!(e.state, EntryState::KeptByPeer(_));
        let missing = self.entries.iter().filter(|(id, e)| !named.contains(id) && !kept(e));
        let missing: Vec<TargetId> = missing.map(|(id, _)| TargetId::clone(id)).collect();
        let removed = missing.into_iter().map(|id| {
            let change = self.remove(&id, outage);
            (id, change)
        });
        removed.filter(|(_, change)| *change != Change::Unchanged).collect()
    }

    /// Returns a digest of all targets and their reports, by which two instances see that
    /// they know the same; `None` while a target is kept whose entry is gone.
    pub fn digest(&self) -> Option<u64> {
        let mut hash = Xxh3::new();
        for (id, Entry { target, state }) in &self.entries {
            if *state != EntryState::Registered {
                return None;
            }
            // The length keeps identifiers apart.
            hash.update(&id.len().to_le_bytes());
            hash.update(id.as_bytes());
            hash.update(&target.started_ms.to_le_bytes());
            hash.update(&target.seq.to_le_bytes());
            hash.update(&[u8::from(target.draining)]);
        }
        Some(hash.digest())
    }

    /// Returns how many targets serve although their entry lapsed.
    pub fn lapsed_count(&self) -> usize {
        self.entries.values().filter(|e| e.state != EntryState::Registered).count()
    }

    /// Removes targets whose entry lapsed in an outage and was not renewed in time.
    ///
    /// `grace_end` is the end of the grace period; `None` while the store is away.
    pub fn expire(&mut self, grace_end: Option<Instant>, now: Instant) -> Vec<TargetId> {
        let late = |e: &Entry| match e.state {
            EntryState::Registered => false,
            EntryState::Lapsed => grace_end.is_some_and(|end| now >= end),
            EntryState::KeptByPeer(end) => now >= end,
        };
        let late = self.entries.iter().filter(|(_, e)| late(e));
        let gone: Vec<TargetId> = late.map(|(id, _)| TargetId::clone(id)).collect();
        for id in &gone {
            self.forget(id);
        }
        gone
    }

    fn forget(&mut self, id: &str) {
        if let Some((id, entry)) = self.entries.remove_entry(id) {
            if self.removed.len() >= MAX_REMOVED {
                self.removed.clear();
            }
            self.removed.insert(id, entry.target.revision());
            self.generation += 1;
        }
    }

    /// Returns a number that differs after each change of any target or evacuated zone.
    pub fn generation(&self) -> u64 {
        self.generation + self.evacuations.generation()
    }

    /// Returns whether a target accepts new requests.
    pub fn accepts(&self, id: &str) -> bool {
        self.get(id).is_some_and(|target| self.is_open(target))
    }

    fn is_open(&self, target: &Target) -> bool {
        !target.draining && !self.evacuations.is_evacuated(&target.zone)
    }

    /// Returns whether a service has targets, all of them in evacuated zones.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let mut zones = self.all().filter(|t| &*t.service == service).map(|t| &t.zone).peekable();
        zones.peek().is_some() && zones.all(|zone| self.evacuations.is_evacuated(zone))
    }

    /// Returns a target, including one that drains.
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.entries.get(id).map(|e| &e.target)
    }

    /// Returns the targets of a service that accept new requests.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Target>> {
        self.all().filter(move |t| &*t.service == service && self.is_open(t))
    }

    /// Returns all known targets.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.entries.values().map(|e| &e.target)
    }
}
