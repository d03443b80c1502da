//! Requests in flight at each target, of all instances.
//!
//! Reports of targets are hundreds of milliseconds old, longer than a short
//! prompt takes. Each instance therefore tells its peers what it sends and
//! what has ended, and predicts from all of it what a target does now.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::edge::cost::Engine;
use crate::edge::fleet::TargetId;
use crate::ids::InstanceId;

/// Identifier of a request in flight, unique in one instance.
pub type WorkId = u64;

/// One request, or one part of a long prompt, at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Tokens of the whole prompt; 0 at a service.
    pub prompt: u64,
    /// Even parts in which targets read the prompt.
    pub parts: u32,
    /// Whether this target writes the answer.
    pub first: bool,
    /// Tokens that the answer is expected to have.
    pub answer: u64,
    /// Longest pause between events that is on time.
    pub gap: Duration,
    /// What an answer on time is worth.
    pub worth: f64,
    /// When it was sent.
    pub sent: Instant,
    /// When its first event came.
    pub writing: Option<Instant>,
}

impl Work {
    /// Returns the tokens of the prompt that this target holds.
    pub fn held(&self) -> u64 {
        if self.first { self.prompt + self.answer } else { self.prompt / u64::from(self.parts) }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    owner: Option<InstanceId>,
    id: WorkId,
    work: Work,
}

/// Requests in flight by target.
#[derive(Clone, Debug, Default)]
pub struct Load {
    targets: HashMap<TargetId, Vec<Entry>>,
}

/// What a target is predicted to do now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Requests that hold or wait for a slot.
    pub used: usize,
    /// Requests that write.
    pub writers: usize,
    /// Tokens of context of all writers.
    pub context: u64,
    /// Tokens of memory in use or promised.
    pub memory: u64,
    /// Time until all prompts that were sent have been read.
    pub reading: Duration,
    /// Part of that time for parts of prompts, which are read before whole ones.
    pub reading_parts: Duration,
    /// Prompts or parts that are not read yet.
    pub readers: usize,
}

impl Load {
    /// Notes a request of this instance that was sent to `target`.
    pub fn begin(&mut self, target: &TargetId, id: WorkId, work: Work) {
        let entries = self.targets.entry(TargetId::clone(target)).or_default();
        entries.push(Entry { owner: None, id, work });
    }

    /// Notes the first event of a request of this instance.
    pub fn first_event(&mut self, target: &str, id: WorkId, now: Instant) {
        let entries = self.targets.get_mut(target).into_iter().flatten();
        for entry in entries.filter(|e| e.owner.is_none() && e.id == id) {
            entry.work.writing.get_or_insert(now);
        }
    }

    /// Notes that a request of this instance has ended at `target`.
    pub fn end(&mut self, target: &str, id: WorkId) {
        self.retain(target, |e| e.owner.is_some() || e.id != id);
    }

    /// Replaces what a peer has in flight at `target`.
    pub fn replace(&mut self, peer: &InstanceId, target: &TargetId, works: Vec<Work>) {
        self.retain(target, |e| e.owner.as_ref() != Some(peer));
        if works.is_empty() {
            return;
        }
        let entries = self.targets.entry(TargetId::clone(target)).or_default();
        let owner = || Some(InstanceId::clone(peer));
        entries.extend(works.into_iter().map(|work| Entry { owner: owner(), id: 0, work }));
    }

    /// Forgets all that a peer had in flight.
    pub fn forget_peer(&mut self, peer: &str) {
        self.targets.retain(|_, entries| {
            entries.retain(|e| e.owner.as_deref() != Some(peer));
            !entries.is_empty()
        });
    }

    fn retain(&mut self, target: &str, keep: impl Fn(&Entry) -> bool) {
        if let Some(entries) = self.targets.get_mut(target) {
            entries.retain(keep);
            if entries.is_empty() {
                self.targets.remove(target);
            }
        }
    }

    /// Returns the targets at which this instance has requests in flight.
    pub fn own_targets(&self) -> impl Iterator<Item = &TargetId> {
        let own = |entries: &[Entry]| entries.iter().any(|e| e.owner.is_none());
        self.targets.iter().filter(move |(_, entries)| own(entries)).map(|(id, _)| id)
    }

    /// Returns what this instance has in flight at `target`.
    pub fn own(&self, target: &str) -> Vec<Work> {
        let entries = self.targets.get(target).into_iter().flatten();
        entries.filter(|e| e.owner.is_none()).map(|e| e.work).collect()
    }

    /// Returns all that is known to be in flight at `target`.
    pub fn works(&self, target: &str) -> impl Iterator<Item = &Work> {
        self.targets.get(target).into_iter().flatten().map(|e| &e.work)
    }

    /// Predicts what `target` does at `now`.
    pub fn outlook(&self, target: &str, engine: Option<&Engine>, now: Instant) -> Outlook {
        let mut outlook = Outlook::default();
        let Some(entries) = self.targets.get(target) else { return outlook };
        for Entry { work, .. } in entries {
            outlook.used += 1;
            outlook.memory += work.held();
            if work.writing.is_some() {
                outlook.writers += 1;
                outlook.context += work.prompt / u64::from(work.parts) + work.answer / 2;
            } else {
                outlook.readers += 1;
            }
        }
        if let Some(engine) = engine {
            outlook.reading = reading(entries, engine, &outlook, now, |_| true);
            outlook.reading_parts = reading(entries, engine, &outlook, now, |w| w.parts > 1);
        }
        outlook
    }
}

/// Predicts how long `entries` that are not read yet keep their target reading.
fn reading(
    entries: &[Entry],
    engine: &Engine,
    outlook: &Outlook,
    now: Instant,
    counts: impl Fn(&Work) -> bool,
) -> Duration {
    let works = entries.iter().map(|e| &e.work);
    let mut readers: Vec<&Work> = works.filter(|w| w.writing.is_none() && counts(w)).collect();
    readers.sort_by_key(|w| w.sent);
    let Some(first) = readers.first() else { return Duration::ZERO };
    let mut free = first.sent;
    for work in &readers {
        free = free.max(work.sent) + engine.read(work.prompt, work.parts);
    }
    let least = engine.pass(outlook.writers, outlook.context);
    free.saturating_duration_since(now).max(least)
}
