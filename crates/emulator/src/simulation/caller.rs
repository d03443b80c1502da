//! Callers: arrivals, timeouts, retries and disconnects.

use std::time::Duration;

use mimosapass_core::edge::schedule::{Requirements, TokenCounts};
use mimosapass_core::edge::wait::caller_timeout;
use rand::RngExt;

use super::{CallEnd, Event, Simulation};
use crate::load::KINDS;

/// Tokens in one event of an answer.
const EVENT_TOKENS: u64 = 46;
/// Time until a caller finds that no instance accepts its connection.
const NO_INSTANCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest wait before a retry; callers that ignore the stated wait use it.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Divisor of the caller's time left; the result limits the wait before a retry.
const RETRY_TIME_DIVISOR: u32 = 3;
/// Most targets to which a request is sent, one after the other.
const MAX_ATTEMPTS: u32 = 2;

impl Simulation<'_> {
    /// Handles the arrival of a call, which may be a retry.
    ///
    /// # Panics
    ///
    /// Panics when a kind has no route, which is a bug in the route table.
    pub fn arrive(&mut self, call: usize) {
        if self.records[call].end.is_some() {
            return;
        }
        let zone = self.records[call].call.zone;
        let alive = |same_zone: bool| -> Vec<usize> {
            let fits = |i: &usize| {
                self.instances[*i].alive && (!same_zone || self.instances[*i].zone == zone)
            };
            (0..self.instances.len()).filter(fits).collect()
        };
        let local = alive(true);
        let usable = if local.is_empty() { alive(false) } else { local };
        if usable.is_empty() {
            return self.schedule_retry(call, NO_INSTANCE_TIMEOUT, CallEnd::Failed);
        }
        let instance = usable[self.rng.random_range(0..usable.len())];
        let (instant, now) = (self.instant(), self.now);
        let record = &mut self.records[call];
        let kind = &KINDS[record.call.kind];
        let limit = Duration::from_millis(kind.timeout_ms);
        let remaining = (record.call.at + limit).saturating_sub(now);
        let route = self.routes.route("h", &format!("/{}/", kind.name));
        let route = route.expect("each kind has a route");
        let size = TokenCounts {
            prompt: record.call.prompt,
            max_answer: u64::from(record.call.events) * EVENT_TOKENS * 2,
            answer_hint: Some(u64::from(record.call.events) * EVENT_TOKENS),
        };
        let service = &route.split[0].service;
        let requirements =
            Requirements::new(&self.routes, route, service, size, instant, instant + remaining);
        let timeout = caller_timeout(requirements.entry.due - instant, requirements.max_gap);
        record.requirements = Some(requirements);
        record.entry = instance;
        record.instance = instance;
        record.attempts = 0;
        record.last_event = now;
        let is_first = record.call.at == now;
        let leave_after = record.call.leave_after;
        self.after(timeout, Event::CheckTimeout(call));
        if let (true, Some(delay)) = (is_first, leave_after) {
            self.after(delay, Event::Leave(call));
        }
        self.enqueue(call);
    }

    /// Ends the call if its caller has waited too long for the next event.
    pub fn check_timeout(&mut self, call: usize) {
        let record = &self.records[call];
        if record.end.is_some() {
            return;
        }
        let kind = &KINDS[record.call.kind];
        let timeout = caller_timeout(
            Duration::from_millis(kind.goal_ms),
            Duration::from_millis(kind.max_gap_ms),
        );
        let due = (record.last_event + timeout)
            .min(record.call.at + Duration::from_millis(kind.timeout_ms));
        if due > self.now {
            self.schedule(due, Event::CheckTimeout(call));
        } else if record.dispatch_id.is_some() || record.queue_id.is_some() {
            self.leave(call, CallEnd::Impatient);
        }
    }

    /// Closes the caller's connection and drops its request.
    pub fn leave(&mut self, call: usize, end: CallEnd) {
        let record = &mut self.records[call];
        if record.end.is_some() || end == CallEnd::Left && record.first_event.is_some() {
            return;
        }
        record.end = Some(end);
        let (waiting, sent, instance) =
            (record.queue_id.take(), record.dispatch_id.take(), record.instance);
        if let Some(id) = waiting {
            self.instances[instance].scheduler.dequeue(id);
        }
        if let Some(id) = sent {
            self.release(id);
        }
    }

    /// Refuses a call and states the wait before a retry.
    pub fn refuse(&mut self, call: usize, after: Duration) {
        self.schedule_retry(call, after, CallEnd::Refused);
    }

    /// Ends a call whose answer was interrupted and is not resumed.
    pub fn mark_failed(&mut self, call: usize) {
        self.records[call].end = Some(CallEnd::Failed);
    }

    /// Queues a request again after a failure, within its number of attempts.
    ///
    /// After the first event, the caller waits only for the allowed gap, so the new
    /// attempt has to answer within it.
    pub fn retry(&mut self, call: usize) {
        let start = self.start;
        let record = &mut self.records[call];
        if record.end.is_some() {
            return;
        }
        if record.attempts >= MAX_ATTEMPTS {
            return if record.first_event.is_some() {
                self.mark_failed(call);
            } else {
                self.schedule_retry(call, MIN_RETRY_DELAY, CallEnd::Failed);
            };
        }
        if let (Some(requirements), true) = (&mut record.requirements, record.first_event.is_some())
        {
            let timeout = caller_timeout(
                requirements.entry.due - requirements.entry.arrived,
                requirements.max_gap,
            );
            requirements.entry.expires =
                requirements.entry.expires.min(start + record.last_event + timeout);
            requirements.entry.due = requirements.entry.expires;
        }
        self.enqueue(call);
    }

    /// Schedules the caller's retry, or ends the call.
    pub fn schedule_retry(&mut self, call: usize, after: Duration, end: CallEnd) {
        let now = self.now;
        let record = &mut self.records[call];
        let limit = Duration::from_millis(KINDS[record.call.kind].timeout_ms);
        let remaining = (record.call.at + limit).saturating_sub(now);
        let after =
            if record.call.ignores_wait { MIN_RETRY_DELAY } else { after.max(MIN_RETRY_DELAY) };
        if record.retries == 0 || after > remaining / RETRY_TIME_DIVISOR {
            record.end = Some(end);
            return;
        }
        record.retries -= 1;
        self.after(after, Event::Arrive(call));
    }
}
