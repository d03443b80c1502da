//! Model of an engine: continuous batching in which prefill, in chunks,
//! shares each step with decode.
//!
//! Waiting prompts are ordered by priority, then by arrival; a prompt whose
//! prefill began is not overtaken. Attention makes late chunks of a long
//! prompt dearer. Memory is held from acceptance to the end of the answer;
//! what is free caches prefixes.

use std::collections::VecDeque;
use std::time::Duration;

use mimosapass_core::tiers::{BAND_COUNT, length_band};

/// Prefill speed at the start of a prompt, in tokens a second.
pub const SPEED: f64 = 20_000.0;
/// Position at which a chunk costs twice the time, in tokens.
const DOUBLE: f64 = 400_000.0;
/// Prompt tokens in one step.
pub const CHUNK: u64 = 2048;
/// Time of a step beside its tokens, in seconds.
pub const BASE: f64 = 0.006;
/// Time of one decoded token in a step, in seconds.
pub const DECODE: f64 = 0.000_15;
/// KV cache, in tokens.
pub const CAPACITY: u64 = 450_000;
/// Requests that may be in prefill or decode at once.
pub const SLOTS: u32 = 64;

/// Returns the time of `tokens` of prefill from position `start`, in seconds.
pub fn cost(start: u64, tokens: u64) -> f64 {
    let middle = start as f64 + tokens as f64 / 2.0;
    tokens as f64 / SPEED * (1.0 + middle / DOUBLE)
}

/// One request, or one share of it, on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub request: usize,
    pub tokens: u64,
    pub answer: u64,
    pub priority: u8,
    pub prefix: u64,
    pub shared: u64,
    pub until: Duration,
    done: u64,
}

impl Job {
    pub fn new(request: usize, tokens: u64, answer: u64, priority: u8, until: Duration) -> Self {
        Self { request, tokens, answer, priority, until, prefix: 0, shared: 0, done: 0 }
    }

    pub fn memory(&self) -> u64 {
        self.tokens + self.answer
    }
}

/// What a step of an engine brought about.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// The prompt is computed.
    First(usize),
    /// The answer is whole.
    Whole(usize),
    /// The deadline passed before prefill began.
    Late(usize),
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub alive: bool,
    /// Start number of the process.
    pub boot: u64,
    /// Factor on all times; over 1 is slow.
    pub slow: f64,
    pub stepping: bool,
    pub used: u64,
    waiting: Vec<Job>,
    current: VecDeque<Job>,
    streams: Vec<(Job, u64)>,
    batch: Vec<u64>,
    cache: VecDeque<(u64, u64)>,
    cached: u64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            alive: true,
            boot: 1,
            slow: 1.0,
            stepping: false,
            used: 0,
            waiting: Vec::new(),
            current: VecDeque::new(),
            streams: Vec::new(),
            batch: Vec::new(),
            cache: VecDeque::new(),
            cached: 0,
        }
    }
}

impl Engine {
    pub fn fits(&self, memory: u64) -> bool {
        self.used + memory <= CAPACITY
    }

    /// Takes a job; its memory is held from now on.
    pub fn accept(&mut self, job: Job) {
        self.used += job.memory();
        let place = self.waiting.partition_point(|j| j.priority >= job.priority);
        self.waiting.insert(place, job);
        self.shrink();
    }

    /// Frees memory of a job that has left or a share that is no longer held.
    pub fn free(&mut self, memory: u64) {
        self.used = self.used.saturating_sub(memory);
    }

    /// Plans the next step and returns its length, or `None` when idle.
    pub fn plan(&mut self, now: Duration, out: &mut Vec<Outcome>) -> Option<Duration> {
        self.batch.clear();
        let mut room = CHUNK;
        let mut time = 0.0;
        let mut i = 0;
        while room > 0 {
            if i == self.current.len() && !self.start(now, out) {
                break;
            }
            let job = &self.current[i];
            let chunk = (job.tokens - job.done).min(room);
            time += cost(job.done, chunk);
            self.batch.push(chunk);
            room -= chunk;
            i += 1;
        }
        if self.batch.is_empty() && self.streams.is_empty() {
            return None;
        }
        let time = (BASE + time + self.streams.len() as f64 * DECODE) * self.slow;
        Some(Duration::from_secs_f64(time))
    }

    fn start(&mut self, now: Duration, out: &mut Vec<Outcome>) -> bool {
        while !self.waiting.is_empty() && self.current.len() + self.streams.len() < SLOTS as usize {
            let mut job = self.waiting.remove(0);
            if job.until < now {
                self.free(job.memory());
                out.push(Outcome::Late(job.request));
                continue;
            }
            job.done = self.hit(job.prefix, job.shared).min(job.tokens - 1);
            self.current.push_back(job);
            return true;
        }
        false
    }

    /// Ends the step that was planned.
    pub fn step(&mut self, out: &mut Vec<Outcome>) {
        for stream in &mut self.streams {
            stream.1 = stream.1.saturating_sub(1);
        }
        let ended: Vec<Job> =
            self.streams.iter().filter(|(_, left)| *left == 0).map(|(j, _)| *j).collect();
        self.streams.retain(|(_, left)| *left > 0);
        for job in ended {
            self.free(job.memory());
            self.remember(job.prefix, job.tokens);
            out.push(Outcome::Whole(job.request));
        }
        for (job, chunk) in self.current.iter_mut().zip(&self.batch) {
            job.done += chunk;
        }
        while self.current.front().is_some_and(|j| j.done >= j.tokens) {
            let Some(job) = self.current.pop_front() else { break };
            out.push(Outcome::First(job.request));
            if job.answer > 0 {
                self.streams.push((job, job.answer));
            }
        }
    }

    /// Kills the engine; returns the requests that it had.
    pub fn die(&mut self) -> Vec<usize> {
        let lost = self
            .waiting
            .iter()
            .chain(&self.current)
            .chain(self.streams.iter().map(|(j, _)| j))
            .map(|j| j.request)
            .collect();
        *self = Self { alive: false, boot: self.boot + 1, ..Self::default() };
        lost
    }

    /// Returns prompt tokens to compute, by band of length.
    pub fn prefill(&self) -> [u64; BAND_COUNT] {
        let mut bands = [0; BAND_COUNT];
        for job in self.waiting.iter().chain(&self.current) {
            bands[length_band(job.tokens)] += job.tokens - job.done;
        }
        bands
    }

    pub fn running(&self) -> u32 {
        (self.waiting.len() + self.current.len() + self.streams.len()) as u32
    }

    /// Returns the cached tokens of a prefix, the newest use last to go.
    fn hit(&mut self, prefix: u64, shared: u64) -> u64 {
        let Some(place) = self.cache.iter().position(|(key, _)| *key == prefix) else { return 0 };
        let Some(entry) = self.cache.remove(place) else { return 0 };
        self.cache.push_back(entry);
        entry.1.min(shared)
    }

    fn remember(&mut self, prefix: u64, tokens: u64) {
        if prefix == 0 {
            return;
        }
        let place = self.cache.iter().position(|(key, _)| *key == prefix);
        if let Some((_, old)) = place.and_then(|p| self.cache.remove(p)) {
            self.cached -= old;
        }
        self.cache.push_back((prefix, tokens));
        self.cached += tokens;
        self.shrink();
    }

    fn shrink(&mut self) {
        while self.cached + self.used > CAPACITY {
            let Some((_, tokens)) = self.cache.pop_front() else { break };
            self.cached -= tokens;
        }
    }
}
