//! Queues requests until they are granted a target.
//!
//! `mimosapass_core::edge::schedule` decides which request gets which target. Here
//! the thread of a request blocks until its grant arrives.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::schedule::{Grant, Refusal, Requirements};
use mimosapass_core::edge::wait::retry_after;
use mimosapass_core::error::{Failure, Kind};

use super::state::{Gateway, State};

/// Interval between checks whether a queued caller is still connected. Targets must
/// not get requests of callers that disconnected half a second ago.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Hands a grant to the thread that waits for it.
#[derive(Debug, Default)]
pub struct GrantSlot {
    answer: Mutex<Option<Result<Grant, Refusal>>>,
    answered: Condvar,
}

impl GrantSlot {
    /// Stores a grant and wakes the thread that waits for it.
    pub fn put(&self, grant: Grant) {
        self.answer(Ok(grant));
    }

    /// Stores the refusal of a scheduler and wakes the thread.
    pub fn refuse(&self, refusal: Refusal) {
        self.answer(Err(refusal));
    }

    fn answer(&self, answer: Result<Grant, Refusal>) {
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner) = Some(answer);
        self.answered.notify_one();
    }

    /// Takes the answer; waits up to `timeout` for it.
    fn take(&self, timeout: Duration) -> Option<Result<Grant, Refusal>> {
        let answer = self.answer.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.answered.wait_timeout_while(answer, timeout, |answer| answer.is_none());
        waited.unwrap_or_else(PoisonError::into_inner).0.take()
    }
}

/// A request in the queue; dropping it takes the request out.
#[derive(Debug)]
pub struct Queued<'g> {
    gateway: &'g Gateway,
    requirements: Requirements,
    id: RequestNumber,
    slot: Arc<GrantSlot>,
    left: bool,
}

impl<'g> Queued<'g> {
    /// Enqueues a request, here or at a scheduler; it may be granted a target at once.
    pub fn enqueue(gateway: &'g Gateway, requirements: Requirements) -> Self {
        let (id, slot) = (gateway.next_number(), Arc::new(GrantSlot::default()));
        let now = Instant::now();
        let mut state = gateway.state();
        state.grant_slots.insert(id, Arc::clone(&slot));
        if let Some(scheduler) = state.scheduler_to_ask(gateway, now) {
            state.remote.ask(id, requirements.clone(), scheduler, now);
            gateway.load_changed.notify_all();
        } else {
            state.scheduler.enqueue(id, requirements.clone());
            state.dispatch(gateway, now);
            if requirements.long && state.scheduler.is_waiting(id) {
                state.scheduler.long_changed = true;
                gateway.load_changed.notify_all();
            }
            gateway.metrics.queued.set(state.scheduler.waiting_count() as i64);
        }
        Self { gateway, requirements, id, slot, left: false }
    }

    /// Waits up to `timeout` for a grant or a refusal; `None` while the request is queued.
    ///
    /// # Errors
    ///
    /// Fails when no target can be granted in time.
    pub fn poll(&mut self, timeout: Duration) -> Option<Result<Grant, Failure>> {
        let refused = match self.slot.take(timeout) {
            Some(Ok(grant)) => {
                self.left = true;
                return Some(Ok(grant));
            }
            Some(Err(refusal)) => Some(refusal),
            None => None,
        };
        let now = Instant::now();
        if self.gateway.is_aborting() {
            return Some(Err(Failure::new(Kind::Stopping, "the instance is stopping")));
        }
        let mut state = self.gateway.state();
        let refusal = refused.or_else(|| state.scheduler.refusal(&self.requirements, now));
        if let Some(refusal) = refusal {
            return Some(Err(self.failure(&state, refusal, now)));
        }
        state.dispatch(self.gateway, now);
        None
    }

    fn failure(&self, state: &State, refusal: Refusal, now: Instant) -> Failure {
        let requirements = &self.requirements;
        match refusal {
            Refusal::Paused(left) => {
                let detail = format!("all targets of {} asked for a pause", requirements.service);
                Failure::new(Kind::NoTarget, detail).after(left)
            }
            Refusal::Limited(left) => {
                let detail = format!(
                    "all targets of {} state limits, others wait before it",
                    requirements.service
                );
                Failure::new(Kind::NoTarget, detail).after(left)
            }
            Refusal::Late => no_target_in_time(state, requirements, now),
            Refusal::Pressure(pressure) => {
                let detail = format!(
                    "engines are busy with work of higher value, pressure is {pressure:.2}"
                );
                Failure::new(Kind::TooLate, detail).after(retry_after(self.id))
            }
            Refusal::Price(price) => {
                let worth = requirements.entry.ask().density;
                let detail =
                    format!("a second of an engine brings {price:.1} elsewhere, {worth:.1} here");
                Failure::new(Kind::TooLate, detail).after(retry_after(self.id))
            }
        }
    }

    /// Takes the request out of the queue; returns a grant that arrived meanwhile.
    pub fn leave(mut self) -> Option<Grant> {
        self.dequeue()
    }

    fn dequeue(&mut self) -> Option<Grant> {
        if std::mem::replace(&mut self.left, true) {
            return None;
        }
        let gateway = self.gateway;
        let mut state = gateway.state();
        state.grant_slots.remove(&self.id);
        // A grant that the thread has not taken yet ends with `Gateway::finish`.
        if !state.remote.withdraw(self.id) {
            state.scheduler.dequeue(self.id);
        }
        gateway.load_changed.notify_all();
        gateway.metrics.queued.set(state.scheduler.waiting_count() as i64);
        drop(state);
        self.slot.take(Duration::ZERO).and_then(Result::ok)
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        if let Some(grant) = self.dequeue() {
            self.gateway.finish(&grant, Instant::now());
        }
    }
}

/// Waits until the request is granted a target.
///
/// `obstacle` returns why it need not wait any longer, if so.
///
/// # Errors
///
/// Fails with the obstacle, or when no target can be granted in time.
pub fn wait(
    gateway: &Gateway,
    requirements: &Requirements,
    obstacle: impl Fn() -> Option<Failure>,
) -> Result<Grant, Failure> {
    let mut queued = Queued::enqueue(gateway, requirements.clone());
    loop {
        let polled = queued.poll(POLL_INTERVAL);
        if let Some(Ok(grant)) = polled {
            return Ok(grant);
        }
        if let Some(failure) = obstacle() {
            return Err(failure);
        }
        if let Some(Err(failure)) = polled {
            // A grant may have arrived between the last check and the removal.
            return queued.leave().ok_or(failure);
        }
    }
}

fn no_target_in_time(state: &State, requirements: &Requirements, now: Instant) -> Failure {
    let targets = state.scheduler.fleet.serving(&requirements.service).count();
    let queued = state.scheduler.waiting_count();
    let waited_ms = (now - requirements.entry.arrived).as_millis() as u64;
    let detail = format!(
        "no target after {waited_ms} ms: {} has {targets} targets, {queued} requests are queued",
        requirements.service
    );
    let kind = if targets == 0 { Kind::NoTarget } else { Kind::QueueTimeout };
    Failure::new(kind, detail)
}

impl State {
    /// Grants targets to queued requests and wakes their threads.
    pub fn dispatch(&mut self, gateway: &Gateway, now: Instant) {
        for grant in self.scheduler.dispatch(&gateway.route_table(), now) {
            if let Some((client, request)) = self.clients.grant(&grant) {
                log::debug!(
                    client = &*client, request, targets = grant.targets().join(",");
                    "scheduler: placed the request of another instance."
                );
                gateway.load_changed.notify_all();
                continue;
            }
            let Some(slot) = self.grant_slots.remove(&grant.id) else {
                log::error!(
                    request = grant.id;
                    "queue: granted a target to a request without a waiting thread."
                );
                self.scheduler.finish(&grant);
                continue;
            };
            slot.put(grant);
            gateway.load_changed.notify_all();
        }
    }
}
