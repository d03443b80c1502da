//! Callers: they come, wait, return and leave.

use std::time::Duration;

use mimosapass_core::edge::schedule::{Need, TokenCounts};
use mimosapass_core::edge::wait::caller_timeout;
use rand::RngExt;

use super::{End, Event, World};
use crate::load::KINDS;

/// Tokens in one event of an answer.
const EVENT_TOKENS: u64 = 46;
/// Time until a caller finds that nobody takes its connection.
const NO_INSTANCE: Duration = Duration::from_secs(1);
/// Time after which callers return that do not wait as they were told.
const AT_ONCE: Duration = Duration::from_millis(50);
/// Least part of its time that a caller leaves for the answer when it returns.
const LEAVES_FOR_ANSWER: u32 = 3;
/// Most targets to which a request is sent.
const ATTEMPTS: u32 = 2;

impl World<'_> {
    /// A call arrives, for the first time or again.
    ///
    /// # Panics
    ///
    /// Panics when a kind has no route, which is a bug of the runs' plan.
    pub fn arrive(&mut self, call: usize) {
        if self.fates[call].end.is_some() {
            return;
        }
        let zone = self.fates[call].call.zone;
        let alive = |home: bool| -> Vec<usize> {
            let fit = |i: &usize| self.nodes[*i].alive && (!home || self.nodes[*i].zone == zone);
            (0..self.nodes.len()).filter(fit).collect()
        };
        let near = alive(true);
        let usable = if near.is_empty() { alive(false) } else { near };
        if usable.is_empty() {
            return self.returns(call, NO_INSTANCE, End::Failed);
        }
        let instance = usable[self.rng.random_range(0..usable.len())];
        let (moment, now) = (self.moment(), self.now);
        let fate = &mut self.fates[call];
        let kind = &KINDS[fate.call.kind];
        let limit = Duration::from_millis(kind.limit_ms);
        let left = (fate.call.at + limit).saturating_sub(now);
        let route = self.plan.route("h", &format!("/{}/", kind.name));
        let route = route.expect("each kind has a route");
        let size = TokenCounts {
            prompt: fate.call.prompt,
            max_answer: u64::from(fate.call.events) * EVENT_TOKENS * 2,
            answer_hint: Some(u64::from(fate.call.events) * EVENT_TOKENS),
        };
        let service = &route.split[0].service;
        let need = Need::new(&self.plan, route, service, size, moment, moment + left);
        let patient = caller_timeout(need.waiting.due - moment, need.gap);
        fate.need = Some(need);
        fate.instance = instance;
        fate.sends = 0;
        fate.last = now;
        let first = fate.call.at == now;
        let leaves = fate.call.leaves;
        self.after(patient, Event::Patience(call));
        if let (true, Some(time)) = (first, leaves) {
            self.after(time, Event::Leave(call));
        }
        self.join(call);
    }

    /// Looks whether the caller has waited too long for its next event.
    pub fn patience(&mut self, call: usize) {
        let fate = &self.fates[call];
        if fate.end.is_some() {
            return;
        }
        let kind = &KINDS[fate.call.kind];
        let patient =
            caller_timeout(Duration::from_millis(kind.goal_ms), Duration::from_millis(kind.gap_ms));
        let due = (fate.last + patient).min(fate.call.at + Duration::from_millis(kind.limit_ms));
        if due > self.now {
            self.plan_event(due, Event::Patience(call));
        } else if fate.sent.is_some() || fate.waiting.is_some() {
            self.leave(call, End::Impatient);
        }
    }

    /// The caller closes its connection.
    pub fn leave(&mut self, call: usize, end: End) {
        let fate = &mut self.fates[call];
        if fate.end.is_some() || end == End::Left && fate.first.is_some() {
            return;
        }
        fate.end = Some(end);
        let (waiting, sent, instance) = (fate.waiting.take(), fate.sent.take(), fate.instance);
        if let Some(id) = waiting {
            self.nodes[instance].scheduler.dequeue(id);
        }
        if let Some(id) = sent {
            self.close(id);
        }
    }

    /// The caller gets a refusal and is told when to return.
    pub fn refuse(&mut self, call: usize, after: Duration) {
        self.returns(call, after, End::Refused);
    }

    /// The answer broke off and nobody goes on with it.
    pub fn broken(&mut self, call: usize) {
        self.fates[call].end = Some(End::Failed);
    }

    /// Sends a request once more after a failure, if it may be.
    pub fn again(&mut self, call: usize) {
        let base = self.base;
        let fate = &mut self.fates[call];
        if fate.end.is_some() {
            return;
        }
        if fate.sends >= ATTEMPTS {
            return if fate.first.is_some() {
                self.broken(call);
            } else {
                self.returns(call, AT_ONCE, End::Failed);
            };
        }
        if let (Some(need), true) = (&mut fate.need, fate.first.is_some()) {
            let patient = caller_timeout(need.waiting.due - need.waiting.arrived, need.gap);
            need.waiting.expires = need.waiting.expires.min(base + fate.last + patient);
            need.waiting.due = need.waiting.expires;
        }
        self.join(call);
    }

    /// Makes the caller return after a time, or ends the call.
    pub fn returns(&mut self, call: usize, after: Duration, end: End) {
        let now = self.now;
        let fate = &mut self.fates[call];
        let limit = Duration::from_millis(KINDS[fate.call.kind].limit_ms);
        let left = (fate.call.at + limit).saturating_sub(now);
        let after = if fate.call.at_once { AT_ONCE } else { after.max(AT_ONCE) };
        if fate.returns == 0 || after > left / LEAVES_FOR_ANSWER {
            fate.end = Some(end);
            return;
        }
        fate.returns -= 1;
        self.after(after, Event::Arrive(call));
    }
}
