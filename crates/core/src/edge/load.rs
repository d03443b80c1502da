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
pub type RequestNumber = u64;

/// One request, or one part of a long prompt, at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assignment {
    /// Tokens of the whole prompt; 0 at a service.
    pub prompt: u64,
    /// Even parts in which targets read the prompt.
    pub parts: u32,
    /// Whether this target writes the answer.
    pub answering: bool,
    /// Tokens of memory that it takes at this target.
    pub memory: u64,
    /// Tokens that the answer is expected to have.
    pub answer: u64,
    /// Longest pause between events that is on time.
    pub max_gap: Duration,
    /// What an answer on time is worth.
    pub value: f64,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its first event came.
    pub decoding_since: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Entry {
    owner: Option<InstanceId>,
    id: RequestNumber,
    work: Assignment,
}

/// Requests in flight at one target.
#[derive(Clone, Debug, Default)]
struct AtTarget {
    entries: Vec<Entry>,
    /// When all prompts that were sent are read, if it read without a break.
    ///
    /// Engines read the newest part first, so this cannot be told from the
    /// prompts that are still unread: those that came later and are done already
    /// took their time from them.
    free: Option<Instant>,
    /// What the entries add up to; decisions read it many times for each change.
    sum: Sum,
}

/// Sums over the requests at one target.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    used: usize,
    writers: usize,
    readers: usize,
    context: u64,
    memory: u64,
    strictest: Option<Duration>,
}

impl Sum {
    fn add(&mut self, work: &Assignment) {
        self.used += 1;
        self.memory += work.memory;
        if work.decoding_since.is_none() {
            self.readers += 1;
            return;
        }
        self.writers += 1;
        self.context += work.prompt / u64::from(work.parts) + work.answer / 2;
        if work.answering {
            self.strictest = Some(self.strictest.map_or(work.max_gap, |gap| gap.min(work.max_gap)));
        }
    }
}

impl AtTarget {
    fn add(&mut self, entry: Entry, engine: Option<&Engine>) {
        if let (Some(engine), None) = (engine, entry.work.decoding_since) {
            let sent = entry.work.sent_at;
            let begin = self.free.map_or(sent, |free| free.max(sent));
            self.free = Some(begin + engine.prefill_time(entry.work.prompt, entry.work.parts));
        }
        self.sum.add(&entry.work);
        self.entries.push(entry);
    }

    /// Adds up anew, and forgets the backlog once nothing is left to read.
    fn settle(&mut self) {
        self.sum = Sum::default();
        self.entries.iter().for_each(|e| self.sum.add(&e.work));
        if self.sum.readers == 0 {
            self.free = None;
        }
    }
}

/// Requests in flight by target.
#[derive(Clone, Debug, Default)]
pub struct Load {
    targets: HashMap<TargetId, AtTarget>,
}

/// What a target is predicted to do now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prediction {
    /// Requests that hold or wait for a slot.
    pub requests: usize,
    /// Requests that write.
    pub decoding: usize,
    /// Tokens of context of all writers.
    pub context_tokens: u64,
    /// Tokens of memory in use or promised.
    pub memory_tokens: u64,
    /// Time until all prompts that were sent have been read.
    pub prefill_time: Duration,
    /// Prompts or parts that are not read yet.
    pub prefilling: usize,
    /// Longest pause that is on time for the strictest of its writers.
    pub min_gap: Option<Duration>,
}

impl Load {
    /// Notes a request of this instance that was sent to `target`.
    pub fn begin(
        &mut self,
        target: &TargetId,
        id: RequestNumber,
        work: Assignment,
        engine: Option<&Engine>,
    ) {
        let at = self.targets.entry(TargetId::clone(target)).or_default();
        at.add(Entry { owner: None, id, work }, engine);
    }

    /// Notes the first event of a request of this instance.
    pub fn first_event(&mut self, target: &str, id: RequestNumber, now: Instant) {
        let Some(at) = self.targets.get_mut(target) else { return };
        for entry in at.entries.iter_mut().filter(|e| e.owner.is_none() && e.id == id) {
            entry.work.decoding_since.get_or_insert(now);
        }
        at.settle();
    }

    /// Notes that a request of this instance has ended at `target`.
    pub fn end(&mut self, target: &str, id: RequestNumber) {
        self.retain(target, |e| e.owner.is_some() || e.id != id);
    }

    /// Replaces what a peer has in flight at `target`.
    pub fn replace(
        &mut self,
        peer: &InstanceId,
        target: &TargetId,
        works: Vec<(RequestNumber, Assignment)>,
        engine: Option<&Engine>,
    ) {
        let at = self.targets.entry(TargetId::clone(target)).or_default();
        let theirs = |e: &Entry| e.owner.as_ref() == Some(peer);
        at.entries.retain(|e| !theirs(e) || works.iter().any(|(id, _)| *id == e.id));
        for (id, work) in works {
            if let Some(entry) = at.entries.iter_mut().find(|e| theirs(e) && e.id == id) {
                entry.work.decoding_since = entry.work.decoding_since.or(work.decoding_since);
            } else {
                let owner = Some(InstanceId::clone(peer));
                at.add(Entry { owner, id, work }, engine);
            }
        }
        at.settle();
        if at.entries.is_empty() {
            self.targets.remove(target);
        }
    }

    /// Forgets all that a peer had in flight.
    pub fn forget_peer(&mut self, peer: &str) {
        self.targets.retain(|_, at| {
            at.entries.retain(|e| e.owner.as_deref() != Some(peer));
            at.settle();
            !at.entries.is_empty()
        });
    }

    /// Forgets what a peer had in flight at targets that `named` does not hold.
    pub fn retain_peer_targets(&mut self, peer: &str, named: &[&str]) {
        self.targets.retain(|id, at| {
            if !named.contains(&&**id) {
                at.entries.retain(|e| e.owner.as_deref() != Some(peer));
                at.settle();
            }
            !at.entries.is_empty()
        });
    }

    fn retain(&mut self, target: &str, keep: impl Fn(&Entry) -> bool) {
        if let Some(at) = self.targets.get_mut(target) {
            at.entries.retain(keep);
            at.settle();
            if at.entries.is_empty() {
                self.targets.remove(target);
            }
        }
    }

    /// Returns the targets at which this instance has requests in flight.
    pub fn own_targets(&self) -> impl Iterator<Item = &TargetId> {
        let own = |at: &AtTarget| at.entries.iter().any(|e| e.owner.is_none());
        self.targets.iter().filter(move |(_, at)| own(at)).map(|(id, _)| id)
    }

    /// Returns what this instance has in flight at `target`.
    pub fn own_assignments(&self, target: &str) -> Vec<(RequestNumber, Assignment)> {
        let entries = self.targets.get(target).into_iter().flat_map(|at| &at.entries);
        entries.filter(|e| e.owner.is_none()).map(|e| (e.id, e.work)).collect()
    }

    /// Returns all that is known to be in flight at `target`.
    pub fn assignments(&self, target: &str) -> impl Iterator<Item = &Assignment> {
        self.targets.get(target).into_iter().flat_map(|at| &at.entries).map(|e| &e.work)
    }

    /// Predicts what `target` does at `now`.
    pub fn predict(&self, target: &str, engine: Option<&Engine>, now: Instant) -> Prediction {
        let Some(at) = self.targets.get(target) else { return Prediction::default() };
        let Sum { used, writers, readers, context, memory, strictest } = at.sum;
        let reading = Duration::ZERO;
        let mut outlook = Prediction {
            requests: used,
            decoding: writers,
            context_tokens: context,
            memory_tokens: memory,
            prefill_time: reading,
            prefilling: readers,
            min_gap: strictest,
        };
        if let (Some(engine), Some(free)) = (engine, at.free) {
            let least = engine.pass_time(outlook.decoding, outlook.context_tokens);
            outlook.prefill_time = free.saturating_duration_since(now).max(least);
        }
        outlook
    }
}

/// Time constant of the mean that [`Pressure`] keeps: longer than one long prompt
/// takes with several engines, shorter than a burst lasts.
const PRESSURE_TIME: Duration = Duration::from_secs(2);

/// Running mean of the share of a service's engines that have a backlog to read.
///
/// Answers bursts of long prompts: while most engines read, what takes much time
/// for its worth stands back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    mean: f64,
    at: Option<Instant>,
}

impl Pressure {
    /// Takes in the share of reading engines at `now`.
    pub fn observe(&mut self, share: f64, now: Instant) {
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 1.0 - (-passed.as_secs_f64() / PRESSURE_TIME.as_secs_f64()).exp();
        self.mean += (share - self.mean) * weight;
        self.at = Some(now);
    }

    /// Returns when it was last observed.
    pub fn at(&self) -> Option<Instant> {
        self.at
    }

    /// Returns the mean, 0 to 1.
    pub fn mean(&self) -> f64 {
        self.mean
    }
}
