//! Parts of prompts, and whole requests, that crash the targets that serve them.
//!
//! A prompt consists of parts, and requests share them. Answers the pattern of one part that
//! crashes every engine that begins to write an answer on it: its requests come to any
//! instance, are retried, and end one engine after the other with all that runs there.
//!
//! A crash accuses the parts of the requests whose answer had just begun or was about to.
//! Sound parts are among them, so that none is refused for a single crash, and each request
//! that a target goes on to answer clears its parts. What remains, under several crashes, is
//! the cause. When several parts remain that were together under all crashes, a request that
//! has some of them is tried, one at a time: its answer clears them.
//!
//! Instances exchange their evidence, and all come to the same result in whatever order they
//! learn of it.
//!
//! The last part belongs to one request or session alone and is never judged. A request that
//! comes again, with the same path, caller and body, has its digest as one more part, also at a
//! service without prompts.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::ids::PartId;

/// Crashes after which the requests of a part are refused. Two may meet a sound request by
/// chance when it is retried once.
const MAX_CRASHES: usize = 3;
/// Crashes after which a request of the part is not retried.
const MAX_RETRIED: usize = 2;
/// Maximum number of crashes that are kept for a part: those that count, and some that tell it
/// from others.
const MAX_KEPT: usize = 6;
/// Time within which several crashes count once: they have a common cause, as when a rack
/// loses power.
const SAME_MOMENT: Duration = Duration::from_millis(100);
/// Time for which a crash is held against a part. After it the part is tried again.
const EVIDENCE_TIME: Duration = Duration::from_mins(10);
/// Time for which a part is not accused after a request with it was answered. Popular parts
/// are answered many times in it, also while engines crash.
const CLEARED_TIME: Duration = Duration::from_secs(10);
/// Time for which peers that accuse a cleared part are told so: three heartbeats at least.
const CONTESTED_TIME: Duration = Duration::from_secs(4);
/// Time after which another request of a part is tried: enough for a long prompt to be
/// answered.
const TRIAL_TIME: Duration = Duration::from_secs(3);
/// Time after the first event of an answer from which its parts are clear: a few passes of an
/// engine.
pub const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Maximum number of accused parts, and of cleared ones. There is no end of parts that are used
/// once.
const MAX_PARTS: usize = 4_096;

/// A crash of a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Crash {
    /// When it was noticed.
    pub at: Instant,
    /// Digest of the target and its start, the same at all instances.
    pub id: u64,
    /// When the run began under which it was noticed, if it was noticed here.
    pub began: Instant,
    /// Length of a series of crashes up to this one, each of a run that began after the one
    /// before; 1 or more. They have no common cause, however close they are.
    pub depth: u32,
}

/// What is held against one part.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Crashes since the part was cleared.
    crashes: BTreeSet<Crash>,
    /// When a request with the part was last tried here.
    tried: Option<Instant>,
    /// When it was last accused, here or by a peer.
    accused: Option<Instant>,
}

/// What an instance tells its peers of a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The part.
    pub part: PartId,
    /// Crashes that are held against it; empty if it is clear.
    pub crashes: Vec<Crash>,
}

/// Evidence by part.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    accused: HashMap<PartId, Evidence>,
    /// When a request with the part was last answered.
    cleared: HashMap<PartId, Instant>,
}

impl Evidence {
    /// Returns the crashes that are still held against the part, the oldest first.
    fn recent(&self, now: Instant) -> impl Iterator<Item = Crash> {
        let recent = move |crash: &Crash| now.saturating_duration_since(crash.at) < EVIDENCE_TIME;
        self.crashes.iter().copied().filter(recent)
    }

    /// Returns the crashes at different moments.
    fn counted(&self, now: Instant) -> impl Iterator<Item = Crash> {
        let mut last: Option<Instant> = None;
        self.recent(now).filter(move |crash| {
            let counts = last.is_none_or(|last| crash.at >= last + SAME_MOMENT);
            if counts {
                last = Some(crash.at);
            }
            counts
        })
    }

    /// Returns the number of crashes without a common cause.
    fn count(&self, now: Instant) -> usize {
        self.counted(now).count().max(self.depth(now, now) as usize)
    }

    /// Returns the length of the longest series of crashes up to `end`.
    fn depth(&self, end: Instant, now: Instant) -> u32 {
        let earlier = self.recent(now).filter(|crash| crash.at <= end);
        earlier.map(|crash| crash.depth).max().unwrap_or_default()
    }

    /// Adds a crash; returns whether it was not known and is needed.
    fn add(&mut self, crash: Crash, now: Instant) -> bool {
        let known = self.crashes.iter().any(|known| known.id == crash.id);
        self.crashes.retain(|known| now.saturating_duration_since(known.at) < EVIDENCE_TIME);
        if known || self.count(now) >= MAX_KEPT {
            return false;
        }
        self.crashes.insert(crash);
        if self.crashes.len() > MAX_KEPT {
            let deepest = self.recent(now).max_by_key(|crash| crash.depth);
            self.crashes = self.counted(now).chain(deepest).collect();
        }
        self.accused = Some(now);
        self.crashes.contains(&crash)
    }
}

/// How a request was admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// None of its parts is quarantined.
    Free,
    /// Some of its parts are, and another part explains the crashes as well.
    Trial,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// A quarantined part.
    pub part: PartId,
    /// Time until the part is tried again.
    pub left: Duration,
}

/// What has changed with evidence.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Whether there is evidence that peers may not know.
    pub new: bool,
    /// Parts that are newly quarantined.
    pub quarantined: Vec<PartId>,
    /// Parts that are not quarantined any more.
    pub lifted: Vec<PartId>,
}

impl Quarantine {
    /// Records that a target crashed while it began to answer a request with these parts.
    pub fn accuse(&mut self, parts: &[PartId], crash: Crash, now: Instant) -> Update {
        let report = |part: &PartId| {
            let evidence = self.accused.get(part);
            let depth = 1 + evidence.map_or(0, |evidence| evidence.depth(crash.began, now));
            Report { part: *part, crashes: vec![Crash { depth, ..crash }] }
        };
        let reports: Vec<Report> = parts.iter().map(report).collect();
        self.merge(&reports, now)
    }

    /// Applies the reports of a peer.
    pub fn merge(&mut self, reports: &[Report], now: Instant) -> Update {
        let mut update = Update::default();
        for Report { part, crashes } in reports {
            if crashes.is_empty() {
                // A part that is not accused here need not be remembered.
                if let Some(evidence) = self.accused.remove(part) {
                    self.record_lifted(*part, &evidence, &mut update, now);
                }
                continue;
            }
            let clear = self.is_clear(*part, now);
            let evidence = self.accused.entry(*part).or_default();
            if clear {
                // Kept without a crash, so that the peer is told.
                evidence.accused = Some(now);
                continue;
            }
            let before = evidence.count(now);
            for crash in crashes {
                update.new |= evidence.add(*crash, now);
            }
            if before < MAX_CRASHES && evidence.count(now) >= MAX_CRASHES {
                update.quarantined.push(*part);
            }
        }
        self.bound(now);
        update
    }

    /// Records that a target went on to answer a request with these parts.
    pub fn clear(&mut self, parts: &[PartId], now: Instant) -> Update {
        let mut update = Update::default();
        for part in parts {
            self.cleared.insert(*part, now);
            if let Some(evidence) = self.accused.get_mut(part).filter(|e| !e.crashes.is_empty()) {
                let told = Evidence { accused: Some(now), ..Evidence::default() };
                let evidence = std::mem::replace(evidence, told);
                update.new = true;
                self.record_lifted(*part, &evidence, &mut update, now);
            }
        }
        self.bound(now);
        update
    }

    fn record_lifted(&mut self, part: PartId, was: &Evidence, update: &mut Update, now: Instant) {
        if !was.crashes.is_empty() {
            self.cleared.insert(part, now);
        }
        if was.count(now) >= MAX_CRASHES {
            update.lifted.push(part);
        }
    }

    fn is_clear(&self, part: PartId, now: Instant) -> bool {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.cleared.get(&part).is_some_and(|at| age(at) < CLEARED_TIME)
    }

    /// Admits a request with these parts, perhaps on trial.
    ///
    /// # Errors
    ///
    /// Returns a part for which it is refused, and the time until that part is tried again.
    pub fn admit(&mut self, parts: &[PartId], now: Instant) -> Result<Admission, Refused> {
        if let Some(refused) = self.find(parts, Admission::Trial, now) {
            return Err(refused);
        }
        let tried: Vec<PartId> =
            parts.iter().copied().filter(|part| self.is_quarantined(*part, now)).collect();
        let recent = |part: &PartId| {
            let tried = self.accused.get(part).and_then(|evidence| evidence.tried);
            let left = tried.map(|at| (at + TRIAL_TIME).saturating_duration_since(now));
            left.filter(|left| !left.is_zero()).map(|left| Refused { part: *part, left })
        };
        if let Some(refused) = tried.iter().find_map(recent) {
            return Err(refused);
        }
        for part in &tried {
            if let Some(evidence) = self.accused.get_mut(part) {
                evidence.tried = Some(now);
            }
        }
        Ok(if tried.is_empty() { Admission::Free } else { Admission::Trial })
    }

    /// Returns a part for which an admitted request is refused by now.
    pub fn find(&self, parts: &[PartId], admission: Admission, now: Instant) -> Option<Refused> {
        let refused = |part: &PartId| {
            self.is_quarantined(*part, now)
                && !(admission == Admission::Trial && self.is_explained(*part, parts, now))
        };
        let part = *parts.iter().find(|part| refused(part))?;
        let first = self.accused.get(&part)?.counted(now).next()?;
        Some(Refused { part, left: (first.at + EVIDENCE_TIME).saturating_duration_since(now) })
    }

    fn is_quarantined(&self, part: PartId, now: Instant) -> bool {
        self.accused.get(&part).is_some_and(|evidence| evidence.count(now) >= MAX_CRASHES)
    }

    /// Returns whether a part that is not among `parts` was under all crashes of `part`.
    fn is_explained(&self, part: PartId, parts: &[PartId], now: Instant) -> bool {
        let ids = |part: &PartId| -> BTreeSet<u64> {
            let crashes = self.accused.get(part).map(|evidence| &evidence.crashes);
            crashes.into_iter().flatten().map(|crash| crash.id).collect()
        };
        let own = ids(&part);
        let others = self.accused.keys().filter(|other| !parts.contains(other));
        let mut quarantined = others.filter(|other| self.is_quarantined(**other, now));
        quarantined.any(|other| own.is_subset(&ids(other)))
    }

    /// Returns the parts that a crash would be held against.
    pub fn suspects(&self, parts: &[PartId], now: Instant) -> Vec<PartId> {
        parts.iter().copied().filter(|part| !self.is_clear(*part, now)).collect()
    }

    /// Returns whether a request with these parts may be sent to another target after one has
    /// crashed.
    pub fn may_retry(&self, parts: &[PartId], now: Instant) -> bool {
        let crashes = |part: &PartId| self.accused.get(part).map_or(0, |e| e.count(now));
        parts.iter().all(|part| crashes(part) < MAX_RETRIED)
    }

    /// Returns up to `max` reports for peers.
    ///
    /// Parts that peers accuse and that are clear come first, since they end a quarantine, then
    /// those of the most crashes.
    pub fn reports(&self, max: usize, now: Instant) -> Vec<Report> {
        let told = |evidence: &Evidence| {
            let recent = |at: Instant| now.saturating_duration_since(at) < CONTESTED_TIME;
            evidence.count(now) > 0
                || evidence.crashes.is_empty() && evidence.accused.is_some_and(recent)
        };
        let mut known: Vec<_> = self.accused.iter().filter(|(_, e)| told(e)).collect();
        known.sort_unstable_by_key(|(part, evidence)| {
            let clear = evidence.crashes.is_empty();
            std::cmp::Reverse((clear, evidence.count(now), evidence.accused, **part))
        });
        let report = |(part, evidence): (&PartId, &Evidence)| Report {
            part: *part,
            crashes: evidence.crashes.iter().copied().collect(),
        };
        known.into_iter().take(max).map(report).collect()
    }

    /// Returns the number of quarantined parts.
    pub fn count(&self, now: Instant) -> usize {
        self.accused.values().filter(|evidence| evidence.count(now) >= MAX_CRASHES).count()
    }

    /// Returns the number of known parts.
    pub fn known(&self) -> usize {
        self.accused.len() + self.cleared.len()
    }

    /// Forgets half of the parts when there are too many: those of the most crashes and the
    /// latest ones stay.
    fn bound(&mut self, now: Instant) {
        if self.accused.len() > MAX_PARTS {
            let order = self.accused.iter().map(|(part, e)| (e.count(now), e.accused, *part));
            for (_, _, part) in lowest(order.collect()) {
                self.accused.remove(&part);
            }
        }
        if self.cleared.len() > MAX_PARTS {
            let order = self.cleared.iter().map(|(part, at)| (*at, *part));
            for (_, part) in lowest(order.collect()) {
                self.cleared.remove(&part);
            }
        }
    }
}

/// Returns the lower half of some values.
fn lowest<T: Ord>(mut values: Vec<T>) -> Vec<T> {
    values.sort_unstable();
    values.truncate(values.len() / 2);
    values
}
