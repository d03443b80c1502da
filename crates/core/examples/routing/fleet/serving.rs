//! Serving of a request: queue of its instance, choice, engine and first token.

use std::time::Duration;

use mimosapass_core::config::TargetKind;
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::{self, RouteQuery};
use rand::RngExt;

use super::{Event, Fleet, Outcome, QUEUE_INTERVAL};
use crate::engine::{Job, StepEvent};
use crate::policy::{Policy, baseline};

/// Choices tried in one attempt, besides one per share, before a request is queued.
const ATTEMPTS: usize = 4;
/// Largest number of queued requests of one instance.
const MAX_QUEUED: usize = 256;
/// Longest prompt on one engine; longer ones are split over several.
const MAX_SHARE_TOKENS: u64 = 400_000;
/// Share of prefixes that are never announced by a cache event, as a divisor.
const UNANNOUNCED_DIVISOR: u64 = 4;

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, i: usize) {
        if i + 1 < self.trace.len() {
            self.schedule(self.trace[i + 1].at, Event::Arrive(i + 1));
        }
        let alive: Vec<usize> =
            (0..self.instances.len()).filter(|n| self.instances[*n].alive).collect();
        let instance = alive[self.rng.random_range(0..alive.len())];
        self.flights[i].instance = instance;
        if !self.attempt(i) && self.ends[i] == Outcome::Open {
            self.enqueue(i);
        }
    }

    pub(super) fn enqueue(&mut self, i: usize) {
        let priority = |r: usize| self.classes[self.trace[r].class].priority;
        let queue = &self.instances[self.flights[i].instance].queue;
        if queue.len() >= MAX_QUEUED {
            self.ends[i] = Outcome::Refused;
            return;
        }
        let place = queue.partition_point(|r| priority(*r) >= priority(i));
        self.instances[self.flights[i].instance].queue.insert(place, i);
    }

    pub(super) fn retry_queue(&mut self, instance: usize) {
        if !self.instances[instance].alive {
            return;
        }
        self.schedule(self.now + QUEUE_INTERVAL, Event::RetryQueue(instance));
        let waiting = std::mem::take(&mut self.instances[instance].queue);
        for i in waiting {
            let request = self.trace[i];
            if self.now > request.at + self.classes[request.class].deadline {
                self.ends[i] = Outcome::Refused;
            } else if !self.attempt(i) && self.ends[i] == Outcome::Open {
                self.instances[instance].queue.push_back(i);
            }
        }
    }

    /// Tries to send a request; returns whether it was sent or has ended.
    pub(super) fn attempt(&mut self, i: usize) -> bool {
        let request = self.trace[i];
        let shares = request.tokens.div_ceil(MAX_SHARE_TOKENS).max(1);
        let tokens = request.tokens / shares;
        let mut tried: Vec<TargetId> = Vec::new();
        let mut chosen: Vec<(usize, u64)> = Vec::new();
        for _ in 0..ATTEMPTS + shares as usize {
            let Some((engine, wait)) = self.choose(i, tokens, &tried) else { return false };
            let left = (request.at + self.classes[request.class].deadline).saturating_sub(self.now);
            if wait > left {
                self.ends[i] = Outcome::Refused;
                return true;
            }
            tried.push(TargetId::clone(&self.names[engine]));
            if !self.engines[engine].alive {
                let (name, now) = (TargetId::clone(&self.names[engine]), self.instant());
                let targets = &mut self.instances[self.flights[i].instance].targets;
                targets.record_sent(&name, 0, 0, now);
                targets.record_end(&name, false, now);
                self.result.failed += 1;
                continue;
            }
            if !self.engines[engine].fits(tokens + request.answer) {
                continue;
            }
            chosen.push((engine, tokens));
            if chosen.len() == shares as usize {
                self.send(i, chosen);
                return true;
            }
        }
        false
    }

    pub(super) fn choose(
        &mut self,
        i: usize,
        tokens: u64,
        tried: &[TargetId],
    ) -> Option<(usize, Duration)> {
        let request = self.trace[i];
        let now = self.instant();
        let instance = &mut self.instances[self.flights[i].instance];
        let query = RouteQuery {
            kind: TargetKind::Engine,
            pools: &[&self.pool],
            zone: &self.zones[instance.zone],
            tokens,
            answer: request.answer,
            prefix: request.prefix,
            promise: self.classes[request.class].promise,
            seed: request.seed ^ (tried.len() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            tried,
        };
        if self.policy == Policy::Mimosapass {
            let choice = route::choose(&instance.targets, &query, now).ok()?;
            return Some((self.index_of[&choice.target], choice.reason.wait));
        }
        let target = baseline(
            self.policy,
            &instance.targets,
            &query,
            now,
            &mut instance.round_robin,
            &mut self.rng,
        )?;
        Some((self.index_of[&target.listed.name], route::ttft_at(target, tokens, now)))
    }

    pub(super) fn send(&mut self, i: usize, shares: Vec<(usize, u64)>) {
        let request = self.trace[i];
        let class = &self.classes[request.class];
        let now = self.instant();
        let home = self.instances[self.flights[i].instance].zone;
        let until = request.at + class.deadline;
        let single = shares.len() == 1;
        for (n, (engine, tokens)) in shares.iter().enumerate() {
            let name = TargetId::clone(&self.names[*engine]);
            let targets = &mut self.instances[self.flights[i].instance].targets;
            let clear = targets.get(&name).is_some_and(|t| t.pending_tokens(now) <= 0.0);
            self.flights[i].clear = clear && single;
            targets.record_sent(
                &name,
                *tokens,
                route::required_memory(*tokens, request.answer),
                now,
            );
            let answer = if n == 0 { request.answer } else { 0 };
            let mut job = Job::new(i, *tokens, answer, class.priority, until);
            if single {
                (job.prefix, job.shared) = (request.prefix, request.shared);
            }
            self.engines[*engine].accept(job);
            self.sent_since_report[*engine] += 1;
            self.result.spilled += usize::from(self.zone_of(*engine) != home);
        }
        let engines: Vec<usize> = shares.iter().map(|s| s.0).collect();
        let flight = &mut self.flights[i];
        flight.left = shares.len();
        flight.sent = self.now;
        flight.shares = shares;
        for engine in engines {
            self.wake(engine);
        }
    }

    pub(super) fn wake(&mut self, engine: usize) {
        if !self.engines[engine].stepping {
            self.plan(engine);
        }
    }

    pub(super) fn plan(&mut self, engine: usize) {
        let mut out = Vec::new();
        let time = self.engines[engine].plan(self.now, &mut out);
        self.engines[engine].stepping = time.is_some();
        if let Some(time) = time {
            let boot = self.engines[engine].boot;
            self.schedule(self.now + time, Event::Step(engine, boot));
        }
        self.handle_events(engine, out);
    }

    pub(super) fn step(&mut self, engine: usize) {
        let mut out = Vec::new();
        self.engines[engine].step(&mut out);
        self.handle_events(engine, out);
        self.plan(engine);
    }

    pub(super) fn handle_events(&mut self, engine: usize, events: Vec<StepEvent>) {
        for event in events {
            match event {
                StepEvent::FirstToken(i) => self.first_token(i, engine),
                StepEvent::Completed(i) => self.complete(i, true),
                StepEvent::Expired(i) => {
                    if self.ends[i] == Outcome::Open {
                        self.ends[i] = Outcome::Late;
                    }
                    self.close_prefill(i, engine, None);
                    self.complete(i, true);
                }
            }
        }
    }

    pub(super) fn first_token(&mut self, i: usize, engine: usize) {
        let clear = self.flights[i].clear && self.trace[i].shared == 0;
        let took = clear.then(|| self.now.saturating_sub(self.flights[i].sent));
        self.close_prefill(i, engine, took);
        let flight = &mut self.flights[i];
        flight.left = flight.left.saturating_sub(1);
        if flight.left > 0 || flight.answered {
            return;
        }
        flight.answered = true;
        let request = self.trace[i];
        let took = self.now.saturating_sub(request.at);
        let late = took > self.classes[request.class].deadline;
        self.ends[i] = if late { Outcome::Late } else { Outcome::FirstToken(took) };
    }

    pub(super) fn close_prefill(&mut self, i: usize, engine: usize, took: Option<Duration>) {
        let share = self.flights[i].shares.iter().find(|s| s.0 == engine).map_or(0, |s| s.1);
        let name = TargetId::clone(&self.names[engine]);
        let instance = &mut self.instances[self.flights[i].instance];
        instance.targets.record_first_token(&name, share, took);
    }

    /// Ends a request on all its engines.
    pub(super) fn complete(&mut self, i: usize, ok: bool) {
        let now = self.instant();
        let shares = std::mem::take(&mut self.flights[i].shares);
        for (n, (engine, tokens)) in shares.iter().enumerate() {
            let name = TargetId::clone(&self.names[*engine]);
            let alive = self.engines[*engine].alive;
            let instance = &mut self.instances[self.flights[i].instance];
            instance.targets.record_end(&name, ok || alive, now);
            if n > 0 && alive {
                self.engines[*engine].free(*tokens);
            }
        }
        let (request, first) = (self.trace[i], shares.first().copied());
        let announced = ok && shares.len() == 1 && request.seed % UNANNOUNCED_DIVISOR != 0;
        if let Some((engine, tokens)) = first.filter(|_| announced) {
            let lag = self.lag();
            self.schedule(self.now + lag, Event::Hint(engine, request.prefix, tokens));
        }
    }
}
