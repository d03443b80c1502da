//! Simulated engine: continuous batching with chunked prefill, which shares each
//! step with decode.
//!
//! Waiting prompts are ordered by priority, then by arrival; a prompt whose
//! prefill has started is not overtaken. Attention makes later chunks of a long
//! prompt more expensive. Memory is held from acceptance to the end of the answer;
//! free memory caches prefixes.

use std::collections::VecDeque;
use std::time::Duration;

use mimosapass_core::tiers::{BAND_COUNT, length_band};

/// Prefill speed at the start of a prompt, in tokens per second.
pub const PREFILL_SPEED: f64 = 20_000.0;
/// Position at which a chunk takes twice the time, in tokens.
const DOUBLE_COST_POSITION: f64 = 400_000.0;
/// Prompt tokens in one step.
pub const CHUNK_TOKENS: u64 = 2048;
/// Time of a step besides its tokens.
pub const STEP_BASE_SECS: f64 = 0.006;
/// Time of one decoded token in a step.
pub const DECODE_TOKEN_SECS: f64 = 0.000_15;
/// Size of the KV cache.
pub const KV_CAPACITY_TOKENS: u64 = 450_000;
/// Requests that may be in prefill or decode at once.
pub const SLOTS: u32 = 64;

/// Returns the time of `tokens` of prefill from position `start`, in seconds.
pub fn prefill_seconds(start: u64, tokens: u64) -> f64 {
    let middle = start as f64 + tokens as f64 / 2.0;
    tokens as f64 / PREFILL_SPEED * (1.0 + middle / DOUBLE_COST_POSITION)
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

/// Event in a step of an engine.
#[derive(Clone, Copy, Debug)]
pub enum StepEvent {
    /// The prompt is computed.
    FirstToken(usize),
    /// The answer is complete.
    Completed(usize),
    /// The deadline passed before prefill started.
    Expired(usize),
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub alive: bool,
    /// Start number of the process.
    pub boot: u64,
    /// Factor on all times.
    pub slowdown: f64,
    pub stepping: bool,
    pub used: u64,
    waiting: Vec<Job>,
    prefilling: VecDeque<Job>,
    decoding: Vec<(Job, u64)>,
    batch: Vec<u64>,
    cache: VecDeque<(u64, u64)>,
    cached: u64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            alive: true,
            boot: 1,
            slowdown: 1.0,
            stepping: false,
            used: 0,
            waiting: Vec::new(),
            prefilling: VecDeque::new(),
            decoding: Vec::new(),
            batch: Vec::new(),
            cache: VecDeque::new(),
            cached: 0,
        }
    }
}

impl Engine {
    pub fn fits(&self, memory: u64) -> bool {
        self.used + memory <= KV_CAPACITY_TOKENS
    }

    /// Accepts a job and reserves its memory.
    pub fn accept(&mut self, job: Job) {
        self.used += job.memory();
        let place = self.waiting.partition_point(|j| j.priority >= job.priority);
        self.waiting.insert(place, job);
        self.evict();
    }

    /// Frees the memory of a job or share that has ended.
    pub fn free(&mut self, memory: u64) {
        self.used = self.used.saturating_sub(memory);
    }

    /// Plans the next step and returns its length, or `None` when idle.
    pub fn plan(&mut self, now: Duration, events: &mut Vec<StepEvent>) -> Option<Duration> {
        self.batch.clear();
        let mut room = CHUNK_TOKENS;
        let mut time = 0.0;
        let mut i = 0;
        while room > 0 {
            if i == self.prefilling.len() && !self.start_next(now, events) {
                break;
            }
            let job = &self.prefilling[i];
            let chunk = (job.tokens - job.done).min(room);
            time += prefill_seconds(job.done, chunk);
            self.batch.push(chunk);
            room -= chunk;
            i += 1;
        }
        if self.batch.is_empty() && self.decoding.is_empty() {
            return None;
        }
        let time = (STEP_BASE_SECS + time + self.decoding.len() as f64 * DECODE_TOKEN_SECS)
            * self.slowdown;
        Some(Duration::from_secs_f64(time))
    }

    fn start_next(&mut self, now: Duration, events: &mut Vec<StepEvent>) -> bool {
        while !self.waiting.is_empty()
            && self.prefilling.len() + self.decoding.len() < SLOTS as usize
        {
            let mut job = self.waiting.remove(0);
            if job.until < now {
                self.free(job.memory());
                events.push(StepEvent::Expired(job.request));
                continue;
            }
            job.done = self.lookup_cache(job.prefix, job.shared).min(job.tokens - 1);
            self.prefilling.push_back(job);
            return true;
        }
        false
    }

    /// Completes the planned step.
    pub fn step(&mut self, events: &mut Vec<StepEvent>) {
        for stream in &mut self.decoding {
            stream.1 = stream.1.saturating_sub(1);
        }
        let ended: Vec<Job> =
            self.decoding.iter().filter(|(_, left)| *left == 0).map(|(j, _)| *j).collect();
        self.decoding.retain(|(_, left)| *left > 0);
        for job in ended {
            self.free(job.memory());
            self.cache_prefix(job.prefix, job.tokens);
            events.push(StepEvent::Completed(job.request));
        }
        for (job, chunk) in self.prefilling.iter_mut().zip(&self.batch) {
            job.done += chunk;
        }
        while self.prefilling.front().is_some_and(|j| j.done >= j.tokens) {
            let Some(job) = self.prefilling.pop_front() else { break };
            events.push(StepEvent::FirstToken(job.request));
            if job.answer > 0 {
                self.decoding.push((job, job.answer));
            }
        }
    }

    /// Kills the engine; returns its requests.
    pub fn kill(&mut self) -> Vec<usize> {
        let lost = self
            .waiting
            .iter()
            .chain(&self.prefilling)
            .chain(self.decoding.iter().map(|(j, _)| j))
            .map(|j| j.request)
            .collect();
        *self = Self { alive: false, boot: self.boot + 1, ..Self::default() };
        lost
    }

    /// Returns prompt tokens to compute, by band of length.
    pub fn prefill(&self) -> [u64; BAND_COUNT] {
        let mut bands = [0; BAND_COUNT];
        for job in self.waiting.iter().chain(&self.prefilling) {
            bands[length_band(job.tokens)] += job.tokens - job.done;
        }
        bands
    }

    pub fn running(&self) -> u32 {
        (self.waiting.len() + self.prefilling.len() + self.decoding.len()) as u32
    }

    /// Returns the cached tokens of a prefix and marks it as most recently used.
    fn lookup_cache(&mut self, prefix: u64, shared: u64) -> u64 {
        let Some(place) = self.cache.iter().position(|(key, _)| *key == prefix) else { return 0 };
        let Some(entry) = self.cache.remove(place) else { return 0 };
        self.cache.push_back(entry);
        entry.1.min(shared)
    }

    fn cache_prefix(&mut self, prefix: u64, tokens: u64) {
        if prefix == 0 {
            return;
        }
        let place = self.cache.iter().position(|(key, _)| *key == prefix);
        if let Some((_, old)) = place.and_then(|p| self.cache.remove(p)) {
            self.cached -= old;
        }
        self.cache.push_back((prefix, tokens));
        self.cached += tokens;
        self.evict();
    }

    fn evict(&mut self) {
        while self.cached + self.used > KV_CAPACITY_TOKENS {
            let Some((_, tokens)) = self.cache.pop_front() else { break };
            self.cached -= tokens;
        }
    }
}
