//! The way of one request: queue of its instance, choice, engine, first token.

use std::time::Duration;

use mimosapass_core::config::TargetKind;
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::{self, RouteQuery};
use rand::RngExt;

use super::{End, Event, Fleet, LOOK};
use crate::engine::{Job, Outcome};
use crate::policy::{Policy, baseline};

/// Attempts in one look before a request waits on.
const ATTEMPTS: usize = 4;
/// Requests that may wait on one instance.
const QUEUE: usize = 256;
/// Longest prompt on one engine; longer ones take shares on several.
const SHARE: u64 = 400_000;
/// Bytes of the prefix that one cache event in so many never announces.
const GAP: u64 = 4;

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, i: usize) {
        if i + 1 < self.trace.len() {
            self.at(self.trace[i + 1].at, Event::Arrive(i + 1));
        }
        let alive: Vec<usize> =
            (0..self.instances.len()).filter(|n| self.instances[*n].alive).collect();
        let instance = alive[self.rng.random_range(0..alive.len())];
        self.flights[i].instance = instance;
        if !self.attempt(i) && self.ends[i] == End::Open {
            self.enqueue(i);
        }
    }

    pub(super) fn enqueue(&mut self, i: usize) {
        let priority = |r: usize| self.classes[self.trace[r].class].priority;
        let queue = &self.instances[self.flights[i].instance].queue;
        if queue.len() >= QUEUE {
            self.ends[i] = End::Refused;
            return;
        }
        let place = queue.partition_point(|r| priority(*r) >= priority(i));
        self.instances[self.flights[i].instance].queue.insert(place, i);
    }

    pub(super) fn look(&mut self, instance: usize) {
        if !self.instances[instance].alive {
            return;
        }
        self.at(self.now + LOOK, Event::Look(instance));
        let waiting = std::mem::take(&mut self.instances[instance].queue);
        for i in waiting {
            let request = self.trace[i];
            if self.now > request.at + self.classes[request.class].deadline {
                self.ends[i] = End::Refused;
            } else if !self.attempt(i) && self.ends[i] == End::Open {
                self.instances[instance].queue.push_back(i);
            }
        }
    }

    /// Tries to send a request; returns whether it went out or ended.
    pub(super) fn attempt(&mut self, i: usize) -> bool {
        let request = self.trace[i];
        let shares = request.tokens.div_ceil(SHARE).max(1);
        let tokens = request.tokens / shares;
        let mut tried: Vec<TargetId> = Vec::new();
        let mut chosen: Vec<(usize, u64)> = Vec::new();
        for _ in 0..ATTEMPTS + shares as usize {
            let Some((engine, wait)) = self.choose(i, tokens, &tried) else { return false };
            let left = (request.at + self.classes[request.class].deadline).saturating_sub(self.now);
            if wait > left {
                self.ends[i] = End::Refused;
                return true;
            }
            tried.push(TargetId::clone(&self.names[engine]));
            if !self.engines[engine].alive {
                let (name, now) = (TargetId::clone(&self.names[engine]), self.instant());
                let targets = &mut self.instances[self.flights[i].instance].targets;
                targets.record_sent(&name, 0, 0, now);
                targets.record_end(&name, false, now);
                self.seen.failed += 1;
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
            return Some((self.places[&choice.target], choice.reason.wait));
        }
        let known = baseline(
            self.policy,
            &instance.targets,
            &query,
            now,
            &mut instance.turn,
            &mut self.rng,
        )?;
        Some((self.places[&known.listed.name], route::ttft_at(known, tokens, now)))
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
            let clear = targets.get(&name).is_some_and(|k| k.pending_tokens(now) <= 0.0);
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
            self.fresh[*engine] += 1;
            self.seen.spilled += usize::from(self.zone_of(*engine) != home);
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
            self.at(self.now + time, Event::Step(engine, boot));
        }
        self.take(engine, out);
    }

    pub(super) fn step(&mut self, engine: usize) {
        let mut out = Vec::new();
        self.engines[engine].step(&mut out);
        self.take(engine, out);
        self.plan(engine);
    }

    pub(super) fn take(&mut self, engine: usize, outcomes: Vec<Outcome>) {
        for outcome in outcomes {
            match outcome {
                Outcome::First(i) => self.first(i, engine),
                Outcome::Whole(i) => self.whole(i, true),
                Outcome::Late(i) => {
                    if self.ends[i] == End::Open {
                        self.ends[i] = End::Late;
                    }
                    self.close_prefill(i, engine, None);
                    self.whole(i, true);
                }
            }
        }
    }

    pub(super) fn first(&mut self, i: usize, engine: usize) {
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
        self.ends[i] = if late { End::Late } else { End::First(took) };
    }

    pub(super) fn close_prefill(&mut self, i: usize, engine: usize, took: Option<Duration>) {
        let share = self.flights[i].shares.iter().find(|s| s.0 == engine).map_or(0, |s| s.1);
        let name = TargetId::clone(&self.names[engine]);
        let instance = &mut self.instances[self.flights[i].instance];
        instance.targets.record_first_token(&name, share, took);
    }

    /// Ends a request on all its engines.
    pub(super) fn whole(&mut self, i: usize, ok: bool) {
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
        let told = ok && shares.len() == 1 && request.seed % GAP != 0;
        if let Some((engine, tokens)) = first.filter(|_| told) {
            let lag = self.lag();
            self.at(self.now + lag, Event::Hint(engine, request.prefix, tokens));
        }
    }
}
