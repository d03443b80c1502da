//! Model of an engine that prefills prompts and decodes answers in passes.
//!
//! It follows the cost model that operators publish ([`Engine`]): a pass with
//! decoding requests runs `stride` token steps and prefills prompts in between, and
//! each decoding request sends one event when the pass ends. Parts of long prompts
//! are prefilled before whole prompts, the newest first.

use std::collections::VecDeque;
use std::time::Duration;

use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::figure::millis;

/// Waiting requests at which an engine refuses more.
const MAX_QUEUE: usize = 32;

/// A request, or a part of a long prompt, at one engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the dispatch.
    pub id: RequestNumber,
    /// Tokens of the whole prompt.
    pub prompt: u64,
    /// Number of equal parts in which the prompt is prefilled.
    pub parts: u32,
    /// Whether this engine decodes the answer.
    pub answering: bool,
    /// Tokens of KV cache that it takes on this engine.
    pub memory: u64,
    /// Events of the answer that are still to be sent.
    pub events: u32,
}

/// Progress of a request at the end of a pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The prompt, or this engine's part of it, has been prefilled.
    PrefillDone(RequestNumber),
    /// An event of the answer.
    Event(RequestNumber),
    /// The last event of the answer.
    LastEvent(RequestNumber),
}

#[derive(Clone, Copy, Debug)]
struct Prefill {
    job: Job,
    remaining_tokens: f64,
    /// Prefill time of one token.
    token_ms: f64,
    /// Tokens that the current pass prefills.
    pass_tokens: f64,
}

/// State of one simulated engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    cost: Engine,
    /// Factor on all durations, 1 or more.
    pub slowdown: f64,
    /// Number of restarts; passes that began in an earlier epoch are ignored.
    pub epoch: u64,
    /// Whether a pass is running.
    pub in_pass: bool,
    prefilling: Vec<Prefill>,
    decoding: Vec<Job>,
    /// Number of requests in `decoding`, from its front, that the current pass serves.
    pass_decoding: usize,
    queue: VecDeque<Job>,
    /// Prefilled jobs that hold memory while their answer waits or is decoded elsewhere.
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

    /// Drops all requests and returns their dispatch numbers.
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

    /// Queues a job; returns whether there was room for it.
    pub fn enqueue(&mut self, job: Job) -> bool {
        if self.queue.len() >= MAX_QUEUE {
            return false;
        }
        self.queue.push_back(job);
        self.admit();
        true
    }

    /// Starts the prefill of queued jobs, in order, as slots and memory allow.
    fn admit(&mut self) {
        while let Some(job) = self.queue.front().copied() {
            let held =
                self.prefilling.iter().map(|r| &r.job).chain(&self.decoding).chain(&self.prefilled);
            let (used, memory) = held.fold((0, 0), |(n, m), j| (n + 1, m + j.memory));
            if used >= self.cost.slots as usize || memory + job.memory > self.cost.memory_tokens {
                return;
            }
            self.queue.pop_front();
            let remaining_tokens = job.prompt as f64 / f64::from(job.parts);
            let prefill_ms = self.cost.prefill_time(job.prompt, job.parts).as_secs_f64() * 1000.0;
            let steps_ms =
                (remaining_tokens / f64::from(self.cost.chunk)).ceil() * self.cost.step_ms;
            let token_ms = (prefill_ms - steps_ms).max(0.0) / remaining_tokens.max(1.0);
            self.prefilling.push(Prefill { job, remaining_tokens, token_ms, pass_tokens: 0.0 });
        }
    }

    /// Begins a pass and returns its duration, or `None` when there is no work.
    pub fn begin_pass(&mut self) -> Option<Duration> {
        self.pass_decoding = self.decoding.len();
        let steps = if self.pass_decoding > 0 { self.cost.stride } else { 1 };
        let mut budget_tokens = f64::from(self.cost.chunk) * f64::from(steps);
        let mut prefill_ms = 0.0;
        self.prefilling.iter_mut().for_each(|r| r.pass_tokens = 0.0);
        for i in self.prefill_order() {
            let prefill = &mut self.prefilling[i];
            prefill.pass_tokens = prefill.remaining_tokens.min(budget_tokens);
            budget_tokens -= prefill.pass_tokens;
            prefill_ms += prefill.pass_tokens * prefill.token_ms;
        }
        if self.pass_decoding == 0 && prefill_ms == 0.0 {
            self.in_pass = false;
            return None;
        }
        self.in_pass = true;
        let context = self.decoding.iter().map(|j| j.prompt / u64::from(j.parts)).sum();
        let pass_ms = self.cost.pass_time(self.pass_decoding, context).as_secs_f64() * 1000.0;
        let total_ms = pass_ms * f64::from(steps) / f64::from(self.cost.stride.max(1)) + prefill_ms;
        Some(millis(total_ms * self.slowdown))
    }

    /// Returns indices into `prefilling` in the order in which tokens are processed.
    fn prefill_order(&self) -> Vec<usize> {
        let is_part = |i: &usize| self.prefilling[*i].job.parts > 1;
        let all = 0..self.prefilling.len();
        all.clone().rev().filter(is_part).chain(all.filter(|i| !is_part(i))).collect()
    }

    /// Ends the current pass and returns the progress that it made.
    pub fn end_pass(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        for prefill in &mut self.prefilling {
            prefill.remaining_tokens -= prefill.pass_tokens;
        }
        let pass_decoding = self.pass_decoding;
        let (done, unfinished): (Vec<Prefill>, Vec<Prefill>) =
            self.prefilling.iter().partition(|r| r.remaining_tokens < 0.5);
        self.prefilling = unfinished;
        for prefill in done {
            progress.push(Progress::PrefillDone(prefill.job.id));
            self.prefilled.push(prefill.job);
        }
        for job in &mut self.decoding[..pass_decoding] {
            job.events = job.events.saturating_sub(1);
            progress.push(if job.events == 0 {
                Progress::LastEvent(job.id)
            } else {
                Progress::Event(job.id)
            });
        }
        self.decoding.retain(|job| job.events > 0);
        self.admit();
        progress
    }

    /// Starts the answer of a prefilled prompt; returns its first progress.
    ///
    /// During a pass with decoding requests there is none yet: the first event comes
    /// at the end of a pass, together with theirs.
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

    /// Removes a job, or a part of its prompt, and frees what it holds.
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
