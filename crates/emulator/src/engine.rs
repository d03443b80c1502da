//! Model of an engine that reads prompts and writes answers in passes.
//!
//! It follows the cost model that operators publish ([`Engine`]): a pass with
//! writers runs `stride` token steps and reads prompts in between, and each
//! writer sends one event when it ends. Parts of long prompts are read before
//! whole ones, the newest first.

use std::collections::VecDeque;
use std::time::Duration;

use mimosapass_core::edge::cost::{Engine, millis};
use mimosapass_core::edge::load::RequestNumber;

/// Requests that wait in front of an engine before it refuses more.
const MAX_QUEUE: usize = 32;

/// A request, or a part of a long prompt, at one engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the send.
    pub id: RequestNumber,
    /// Tokens of the whole prompt.
    pub prompt: u64,
    /// Even parts in which the prompt is read.
    pub parts: u32,
    /// Whether this engine writes the answer.
    pub answering: bool,
    /// Tokens of memory that it takes here.
    pub memory: u64,
    /// Events that the answer has yet to send.
    pub events: u32,
}

/// What a pass brought about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The prompt, or this engine's part of it, has been read.
    PrefillDone(RequestNumber),
    /// An event of the answer.
    Event(RequestNumber),
    /// The last event of the answer.
    LastEvent(RequestNumber),
}

#[derive(Clone, Copy, Debug)]
struct Prefill {
    job: Job,
    /// Tokens that are not read yet.
    remaining_tokens: f64,
    /// Time to read one of them, in milliseconds.
    token_ms: f64,
    /// Tokens that the pass under way reads.
    pass_tokens: f64,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    cost: Engine,
    /// Factor on all its times, 1 or more.
    pub slowdown: f64,
    /// Changes whenever it starts, so that passes of an earlier start are void.
    pub epoch: u64,
    /// Whether a pass is under way.
    pub in_pass: bool,
    prefilling: Vec<Prefill>,
    decoding: Vec<Job>,
    /// Writers that were there when the pass began.
    pass_decoding: usize,
    queue: VecDeque<Job>,
    /// Parts that have been read and whose prompt has not.
    prefilled: Vec<Job>,
}

impl EngineModel {
    /// Builds an idle engine.
    pub fn new(cost: Engine) -> Self {
        Self {
            cost,
            slowdown: 1.0,
            epoch: 0,
            in_pass: false,
            prefilling: Vec::new(),
            decoding: Vec::new(),
            pass_decoding: 0,
            queue: VecDeque::new(),
            prefilled: Vec::new(),
        }
    }

    /// Starts anew; returns the sends that are lost.
    pub fn restart(&mut self) -> Vec<RequestNumber> {
        let lost = self.jobs().map(|job| job.id).collect();
        let epoch = self.epoch + 1;
        *self = Self { epoch, ..Self::new(self.cost) };
        lost
    }

    fn jobs(&self) -> impl Iterator<Item = &Job> {
        let prefilling = self.prefilling.iter().map(|r| &r.job);
        prefilling.chain(&self.decoding).chain(&self.queue).chain(&self.prefilled)
    }

    /// Takes a job; returns whether there was room for it.
    pub fn enqueue(&mut self, job: Job) -> bool {
        if self.queue.len() >= MAX_QUEUE {
            return false;
        }
        self.queue.push_back(job);
        self.admit();
        true
    }

    /// Moves jobs that wait to the readers, as slots and memory allow.
    fn admit(&mut self) {
        while let Some(job) = self.queue.front().copied() {
            let held =
                self.prefilling.iter().map(|r| &r.job).chain(&self.decoding).chain(&self.prefilled);
            let (used, memory) = held.fold((0, 0), |(n, m), j| (n + 1, m + j.memory));
            if used >= self.cost.slots as usize || memory + job.memory > self.cost.memory {
                return;
            }
            self.queue.pop_front();
            let remaining_tokens = job.prompt as f64 / f64::from(job.parts);
            let read = self.cost.prefill_time(job.prompt, job.parts).as_secs_f64() * 1000.0;
            let steps = (remaining_tokens / f64::from(self.cost.chunk)).ceil() * self.cost.step_ms;
            let token_ms = (read - steps).max(0.0) / remaining_tokens.max(1.0);
            self.prefilling.push(Prefill { job, remaining_tokens, token_ms, pass_tokens: 0.0 });
        }
    }

    /// Begins a pass and returns its length, or `None` when there is nothing to do.
    pub fn begin_pass(&mut self) -> Option<Duration> {
        self.pass_decoding = self.decoding.len();
        let steps = if self.pass_decoding > 0 { self.cost.stride } else { 1 };
        let mut room = f64::from(self.cost.chunk) * f64::from(steps);
        let mut read = 0.0;
        self.prefilling.iter_mut().for_each(|r| r.pass_tokens = 0.0);
        for i in self.prefill_order() {
            let prefill = &mut self.prefilling[i];
            prefill.pass_tokens = prefill.remaining_tokens.min(room);
            room -= prefill.pass_tokens;
            read += prefill.pass_tokens * prefill.token_ms;
        }
        if self.pass_decoding == 0 && read == 0.0 {
            self.in_pass = false;
            return None;
        }
        self.in_pass = true;
        let context = self.decoding.iter().map(|j| j.prompt / u64::from(j.parts)).sum();
        let pass = self.cost.pass_time(self.pass_decoding, context).as_secs_f64() * 1000.0;
        let whole = pass * f64::from(steps) / f64::from(self.cost.stride.max(1)) + read;
        Some(millis(whole * self.slowdown))
    }

    /// Returns the readers in the order in which they are read.
    fn prefill_order(&self) -> Vec<usize> {
        let part = |i: &usize| self.prefilling[*i].job.parts > 1;
        let all = 0..self.prefilling.len();
        all.clone().rev().filter(part).chain(all.filter(|i| !part(i))).collect()
    }

    /// Ends the pass that was begun.
    pub fn end_pass(&mut self) -> Vec<Progress> {
        let mut steps = Vec::new();
        for prefill in &mut self.prefilling {
            prefill.remaining_tokens -= prefill.pass_tokens;
        }
        let pass_decoding = self.pass_decoding;
        let (done, left): (Vec<Prefill>, Vec<Prefill>) =
            self.prefilling.iter().partition(|r| r.remaining_tokens < 0.5);
        self.prefilling = left;
        for prefill in done {
            steps.push(Progress::PrefillDone(prefill.job.id));
            self.prefilled.push(prefill.job);
        }
        for job in &mut self.decoding[..pass_decoding] {
            job.events = job.events.saturating_sub(1);
            steps.push(if job.events == 0 {
                Progress::LastEvent(job.id)
            } else {
                Progress::Event(job.id)
            });
        }
        self.decoding.retain(|job| job.events > 0);
        self.admit();
        steps
    }

    /// Begins the answer of a prompt that has been read; returns its first step.
    ///
    /// Where others write, the first event comes with theirs.
    pub fn start_answer(&mut self, id: RequestNumber) -> Option<Progress> {
        let at = self.prefilled.iter().position(|job| job.id == id && job.answering)?;
        let mut job = self.prefilled.swap_remove(at);
        if self.in_pass && self.pass_decoding > 0 {
            self.decoding.push(job);
            return None;
        }
        job.events -= 1;
        if job.events == 0 {
            return Some(Progress::LastEvent(id));
        }
        self.decoding.push(job);
        Some(Progress::Event(id))
    }

    /// Gives up a job, or a part that nobody needs any more.
    pub fn cancel(&mut self, id: RequestNumber) {
        self.prefilling.retain(|r| r.job.id != id);
        self.queue.retain(|job| job.id != id);
        self.prefilled.retain(|job| job.id != id);
        if let Some(at) = self.decoding.iter().position(|job| job.id == id) {
            self.decoding.remove(at);
            self.pass_decoding -= usize::from(at < self.pass_decoding);
        }
        self.admit();
    }
}
