//! Requests in flight at each target, from all instances.
//!
//! Reports of targets are hundreds of milliseconds old, longer than a short prompt
//! takes. Each instance therefore tells its peers which requests it sends and which
//! have ended, and predicts the current state of a target from all of them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::edge::cost::Engine;
use crate::edge::fleet::TargetId;
use crate::ids::InstanceId;

/// Share of a call's expected time that is left while it takes longer than expected.
const OVERDUE_SHARE: f64 = 0.5;

/// Number of a request, unique in one instance.
pub type RequestNumber = u64;

/// A request, or a part of its prompt, that was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assignment {
    /// Tokens of the whole prompt; 0 at a service.
    pub prompt: u64,
    /// Even parts into which the prompt is split.
    pub parts: u32,
    /// Whether this target decodes the answer.
    pub answering: bool,
    /// Memory that it takes at this target, in tokens.
    pub memory_tokens: u64,
    /// Expected tokens of the answer.
    pub answer: u64,
    /// Longest pause between events of an answer that is on time.
    pub max_gap: Duration,
    /// Value of an answer on time.
    pub value: f64,
    /// Expected time of a call at a service.
    pub work: Duration,
    /// When it was sent.
    pub sent_at: Instant,
    /// Time of its first event.
    pub decoding_since: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Entry {
    owner: Option<InstanceId>,
    id: RequestNumber,
    assignment: Assignment,
}

/// Requests in flight at one target.
#[derive(Clone, Debug, Default)]
struct TargetLoad {
    entries: Vec<Entry>,
    /// When prefill of all sent prompts ends, if it runs without interruption.
    ///
    /// Engines process the newest part first, so this cannot be derived from the
    /// prompts that remain: newer ones that are done already have delayed them.
    prefill_end: Option<Instant>,
    /// Sums over the entries, cached because they are read far more often than changed.
    sum: Sum,
}

/// Sums over the requests at one target.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    requests: usize,
    decoding: usize,
    prefilling: usize,
    context_tokens: u64,
    memory_tokens: u64,
    min_gap: Option<Duration>,
}

impl Sum {
    fn add(&mut self, assignment: &Assignment) {
        self.requests += 1;
        self.memory_tokens += assignment.memory_tokens;
        if assignment.decoding_since.is_none() {
            self.prefilling += 1;
            return;
        }
        self.decoding += 1;
        self.context_tokens +=
            assignment.prompt / u64::from(assignment.parts) + assignment.answer / 2;
        if assignment.answering {
            self.min_gap =
                Some(self.min_gap.map_or(assignment.max_gap, |gap| gap.min(assignment.max_gap)));
        }
    }
}

impl TargetLoad {
    fn add(&mut self, entry: Entry, engine: Option<&Engine>) {
        if let (Some(engine), None) = (engine, entry.assignment.decoding_since) {
            let sent = entry.assignment.sent_at;
            let begin = self.prefill_end.map_or(sent, |end| end.max(sent));
            self.prefill_end =
                Some(begin + engine.prefill_time(entry.assignment.prompt, entry.assignment.parts));
        }
        self.sum.add(&entry.assignment);
        self.entries.push(entry);
    }

    /// Recomputes the sums, and clears the backlog once no prefill is left.
    fn recompute(&mut self) {
        self.sum = Sum::default();
        self.entries.iter().for_each(|e| self.sum.add(&e.assignment));
        if self.sum.prefilling == 0 {
            self.prefill_end = None;
        }
    }
}

/// Requests in flight by target.
#[derive(Clone, Debug, Default)]
pub struct Load {
    targets: HashMap<TargetId, TargetLoad>,
}

/// Predicted state of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prediction {
    /// Requests that hold a slot or wait for one.
    pub requests: usize,
    /// Requests in decoding.
    pub decoding: usize,
    /// Context of all requests in decoding.
    pub context_tokens: u64,
    /// Memory in use or reserved.
    pub memory_tokens: u64,
    /// Time until prefill of all sent prompts ends.
    pub prefill_time: Duration,
    /// Prompts or parts whose prefill has not ended.
    pub prefilling: usize,
    /// Smallest gap that any answer in decoding allows.
    pub min_gap: Option<Duration>,
}

impl Load {
    /// Records a request of this instance that was sent to `target`.
    pub fn begin(
        &mut self,
        target: &TargetId,
        id: RequestNumber,
        assignment: Assignment,
        engine: Option<&Engine>,
    ) {
        let load = self.targets.entry(TargetId::clone(target)).or_default();
        load.add(Entry { owner: None, id, assignment }, engine);
    }

    /// Records the first event of a request of this instance.
    pub fn first_event(&mut self, target: &str, id: RequestNumber, now: Instant) {
        let Some(load) = self.targets.get_mut(target) else { return };
        for entry in load.entries.iter_mut().filter(|e| e.owner.is_none() && e.id == id) {
            entry.assignment.decoding_since.get_or_insert(now);
        }
        load.recompute();
    }

    /// Removes a request of this instance that has ended at `target`.
    pub fn end(&mut self, target: &str, id: RequestNumber) {
        self.retain(target, |e| e.owner.is_some() || e.id != id);
    }

    /// Replaces the requests of a peer at `target`.
    pub fn replace(
        &mut self,
        peer: &InstanceId,
        target: &TargetId,
        assignments: Vec<(RequestNumber, Assignment)>,
        engine: Option<&Engine>,
    ) {
        let load = self.targets.entry(TargetId::clone(target)).or_default();
        let theirs = |e: &Entry| e.owner.as_ref() == Some(peer);
        load.entries.retain(|e| !theirs(e) || assignments.iter().any(|(id, _)| *id == e.id));
        for (id, assignment) in assignments {
            if let Some(entry) = load.entries.iter_mut().find(|e| theirs(e) && e.id == id) {
                entry.assignment.decoding_since =
                    entry.assignment.decoding_since.or(assignment.decoding_since);
            } else {
                let owner = Some(InstanceId::clone(peer));
                load.add(Entry { owner, id, assignment }, engine);
            }
        }
        load.recompute();
        if load.entries.is_empty() {
            self.targets.remove(target);
        }
    }

    /// Removes all requests of a peer.
    pub fn forget_peer(&mut self, peer: &str) {
        self.targets.retain(|_, load| {
            load.entries.retain(|e| e.owner.as_deref() != Some(peer));
            load.recompute();
            !load.entries.is_empty()
        });
    }

    /// Removes the requests of a peer at targets that are not in `named`.
    pub fn retain_peer_targets(&mut self, peer: &str, named: &[&str]) {
        self.targets.retain(|id, load| {
            if !named.contains(&&**id) {
                load.entries.retain(|e| e.owner.as_deref() != Some(peer));
                load.recompute();
            }
            !load.entries.is_empty()
        });
    }

    fn retain(&mut self, target: &str, keep: impl Fn(&Entry) -> bool) {
        if let Some(load) = self.targets.get_mut(target) {
            load.entries.retain(keep);
            load.recompute();
            if load.entries.is_empty() {
                self.targets.remove(target);
            }
        }
    }

    /// Returns the targets at which this instance has requests in flight.
    pub fn own_targets(&self) -> impl Iterator<Item = &TargetId> {
        let own = |load: &TargetLoad| load.entries.iter().any(|e| e.owner.is_none());
        self.targets.iter().filter(move |(_, load)| own(load)).map(|(id, _)| id)
    }

    /// Returns the requests of this instance at `target`.
    pub fn own_assignments(&self, target: &str) -> Vec<(RequestNumber, Assignment)> {
        let entries = self.targets.get(target).into_iter().flat_map(|load| &load.entries);
        entries.filter(|e| e.owner.is_none()).map(|e| (e.id, e.assignment)).collect()
    }

    /// Returns the requests of all instances at `target`.
    pub fn assignments(&self, target: &str) -> impl Iterator<Item = &Assignment> {
        self.targets.get(target).into_iter().flat_map(|load| &load.entries).map(|e| &e.assignment)
    }

    /// Returns the time that the calls at a service's target are expected to take still, one
    /// after the other.
    pub fn remaining_work(&self, target: &str, slowdown: f64, now: Instant) -> Duration {
        let left = |a: &Assignment| {
            let whole = a.work.mul_f64(slowdown);
            let elapsed = now.saturating_duration_since(a.sent_at);
            // A call that takes longer than expected may take much longer.
            whole.saturating_sub(elapsed).max(whole.mul_f64(OVERDUE_SHARE))
        };
        self.assignments(target).map(left).sum()
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Predicts the state of `target` at `now`.
    pub fn predict(&self, target: &str, engine: Option<&Engine>, now: Instant) -> Prediction {
        let Some(load) = self.targets.get(target) else { return Prediction::default() };
        let Sum { requests, decoding, prefilling, context_tokens, memory_tokens, min_gap } =
            load.sum;
        let prefill_time = Duration::ZERO;
        let mut prediction = Prediction {
            requests,
            decoding,
            context_tokens,
            memory_tokens,
            prefill_time,
            prefilling,
            min_gap,
        };
        if let (Some(engine), Some(end)) = (engine, load.prefill_end) {
            let least = engine.pass_time(prediction.decoding, prediction.context_tokens);
            prediction.prefill_time = end.saturating_duration_since(now).max(least);
        }
        prediction
    }
}

/// Time constant of the mean in [`Pressure`]: longer than a long prompt takes on
/// several engines, shorter than a burst.
const PRESSURE_TIME: Duration = Duration::from_secs(2);

/// Running mean of the share of a service's engines that have a prefill backlog.
///
/// In bursts of long prompts, while most engines are in prefill, requests that take
/// much time for their value are held back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    mean: f64,
    at: Option<Instant>,
}

impl Pressure {
    /// Adds a sample of the share of engines with a backlog.
    pub fn observe(&mut self, share: f64, now: Instant) {
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 1.0 - (-passed.as_secs_f64() / PRESSURE_TIME.as_secs_f64()).exp();
        self.mean += (share - self.mean) * weight;
        self.at = Some(now);
    }

    /// Returns the time of the last sample.
    pub fn at(&self) -> Option<Instant> {
        self.at
    }

    /// Returns the mean, 0 to 1.
    pub fn mean(&self) -> f64 {
        self.mean
    }
}
