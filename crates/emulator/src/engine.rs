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
const QUEUE: usize = 32;

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
    pub first: bool,
    /// Tokens of memory that it takes here.
    pub memory: u64,
    /// Events that the answer has yet to send.
    pub events: u32,
}

/// What a pass brought about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The prompt, or this engine's part of it, has been read.
    Read(RequestNumber),
    /// An event of the answer.
    Event(RequestNumber),
    /// The last event of the answer.
    Ended(RequestNumber),
}

#[derive(Clone, Copy, Debug)]
struct Reader {
    job: Job,
    /// Tokens that are not read yet.
    left: f64,
    /// Time to read one of them, in milliseconds.
    token_ms: f64,
    /// Tokens that the pass under way reads.
    taken: f64,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Runner {
    cost: Engine,
    /// Factor on all its times, 1 or more.
    pub slow: f64,
    /// Changes whenever it starts, so that passes of an earlier start are void.
    pub epoch: u64,
    /// Whether a pass is under way.
    pub busy: bool,
    readers: Vec<Reader>,
    writers: Vec<Job>,
    /// Writers that were there when the pass began.
    counted: usize,
    queue: VecDeque<Job>,
    /// Parts that have been read and whose prompt has not.
    kept: Vec<Job>,
}

impl Runner {
    /// Builds an idle engine.
    pub fn new(cost: Engine) -> Self {
        Self {
            cost,
            slow: 1.0,
            epoch: 0,
            busy: false,
            readers: Vec::new(),
            writers: Vec::new(),
            counted: 0,
            queue: VecDeque::new(),
            kept: Vec::new(),
        }
    }

    /// Starts anew; returns the sends that are lost.
    pub fn restart(&mut self) -> Vec<RequestNumber> {
        let lost = self.all().map(|job| job.id).collect();
        let epoch = self.epoch + 1;
        *self = Self { epoch, ..Self::new(self.cost) };
        lost
    }

    fn all(&self) -> impl Iterator<Item = &Job> {
        let readers = self.readers.iter().map(|r| &r.job);
        readers.chain(&self.writers).chain(&self.queue).chain(&self.kept)
    }

    /// Takes a job; returns whether there was room for it.
    pub fn take(&mut self, job: Job) -> bool {
        if self.queue.len() >= QUEUE {
            return false;
        }
        self.queue.push_back(job);
        self.admit();
        true
    }

    /// Moves jobs that wait to the readers, as slots and memory allow.
    fn admit(&mut self) {
        while let Some(job) = self.queue.front().copied() {
            let held = self.readers.iter().map(|r| &r.job).chain(&self.writers).chain(&self.kept);
            let (used, memory) = held.fold((0, 0), |(n, m), j| (n + 1, m + j.memory));
            if used >= self.cost.slots as usize || memory + job.memory > self.cost.memory {
                return;
            }
            self.queue.pop_front();
            let left = job.prompt as f64 / f64::from(job.parts);
            let read = self.cost.prefill_time(job.prompt, job.parts).as_secs_f64() * 1000.0;
            let steps = (left / f64::from(self.cost.chunk)).ceil() * self.cost.step_ms;
            let token_ms = (read - steps).max(0.0) / left.max(1.0);
            self.readers.push(Reader { job, left, token_ms, taken: 0.0 });
        }
    }

    /// Begins a pass and returns its length, or `None` when there is nothing to do.
    pub fn begin(&mut self) -> Option<Duration> {
        self.counted = self.writers.len();
        let steps = if self.counted > 0 { self.cost.stride } else { 1 };
        let mut room = f64::from(self.cost.chunk) * f64::from(steps);
        let mut read = 0.0;
        self.readers.iter_mut().for_each(|r| r.taken = 0.0);
        for i in self.order() {
            let reader = &mut self.readers[i];
            reader.taken = reader.left.min(room);
            room -= reader.taken;
            read += reader.taken * reader.token_ms;
        }
        if self.counted == 0 && read == 0.0 {
            self.busy = false;
            return None;
        }
        self.busy = true;
        let context = self.writers.iter().map(|j| j.prompt / u64::from(j.parts)).sum();
        let pass = self.cost.pass_time(self.counted, context).as_secs_f64() * 1000.0;
        let whole = pass * f64::from(steps) / f64::from(self.cost.stride.max(1)) + read;
        Some(millis(whole * self.slow))
    }

    /// Returns the readers in the order in which they are read.
    fn order(&self) -> Vec<usize> {
        let part = |i: &usize| self.readers[*i].job.parts > 1;
        let all = 0..self.readers.len();
        all.clone().rev().filter(part).chain(all.filter(|i| !part(i))).collect()
    }

    /// Ends the pass that was begun.
    pub fn end(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        for reader in &mut self.readers {
            reader.left -= reader.taken;
        }
        let counted = self.counted;
        let (done, left): (Vec<Reader>, Vec<Reader>) =
            self.readers.iter().partition(|r| r.left < 0.5);
        self.readers = left;
        for reader in done {
            steps.push(Step::Read(reader.job.id));
            self.kept.push(reader.job);
        }
        for job in &mut self.writers[..counted] {
            job.events = job.events.saturating_sub(1);
            steps.push(if job.events == 0 { Step::Ended(job.id) } else { Step::Event(job.id) });
        }
        self.writers.retain(|job| job.events > 0);
        self.admit();
        steps
    }

    /// Begins the answer of a prompt that has been read; returns its first step.
    ///
    /// Where others write, the first event comes with theirs.
    pub fn write(&mut self, id: RequestNumber) -> Option<Step> {
        let at = self.kept.iter().position(|job| job.id == id && job.first)?;
        let mut job = self.kept.swap_remove(at);
        if self.busy && self.counted > 0 {
            self.writers.push(job);
            return None;
        }
        job.events -= 1;
        if job.events == 0 {
            return Some(Step::Ended(id));
        }
        self.writers.push(job);
        Some(Step::Event(id))
    }

    /// Gives up a job, or a part that nobody needs any more.
    pub fn drop_job(&mut self, id: RequestNumber) {
        self.readers.retain(|r| r.job.id != id);
        self.queue.retain(|job| job.id != id);
        self.kept.retain(|job| job.id != id);
        if let Some(at) = self.writers.iter().position(|job| job.id == id) {
            self.writers.remove(at);
            self.counted -= usize::from(at < self.counted);
        }
        self.admit();
    }
}
