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

/// Waits until the request is granted a target.
///
/// # Errors
///
/// Fails when the caller disconnected or no target can be granted in time.
pub fn wait(
    gateway: &Gateway,
    requirements: &Requirements,
    caller_gone: impl Fn() -> bool,
) -> Result<Grant, Failure> {
    let id = gateway.next_number();
    let slot = Arc::new(GrantSlot::default());
    enqueue(gateway, id, requirements, &slot);
    let failure = loop {
        let refused = match slot.take(POLL_INTERVAL) {
            Some(Ok(grant)) => return Ok(grant),
            Some(Err(refusal)) => Some(refusal),
            None => None,
        };
        let now = Instant::now();
        if caller_gone() {
            break Failure::new(Kind::CallerGone, "the caller disconnected while queued");
        }
        if gateway.is_aborting() {
            break Failure::new(Kind::Stopping, "the instance is stopping");
        }
        let mut state = gateway.state();
        match refused.or_else(|| state.scheduler.refusal(requirements, now)) {
            Some(Refusal::Paused(left)) => {
                let detail = format!("all targets of {} asked for a pause", requirements.service);
                break Failure::new(Kind::NoTarget, detail).after(left);
            }
            Some(Refusal::Late) => break no_target_in_time(&state, requirements, now),
            Some(Refusal::Pressure(pressure)) => {
                let detail = format!(
                    "engines are busy with work of higher value, pressure is {pressure:.2}"
                );
                break Failure::new(Kind::TooLate, detail).after(retry_after(id));
            }
            None => {}
        }
        state.dispatch(gateway, now);
    };
    dequeue(gateway, id);
    // A grant may have arrived between the last check and the removal.
    match slot.take(Duration::ZERO) {
        Some(Ok(grant)) if failure.kind != Kind::CallerGone => Ok(grant),
        Some(Ok(grant)) => {
            gateway.finish(&grant, Instant::now());
            Err(failure)
        }
        Some(Err(_)) | None => Err(failure),
    }
}

/// Enqueues a request, here or at a scheduler; it may be granted a target at once.
fn enqueue(
    gateway: &Gateway,
    id: RequestNumber,
    requirements: &Requirements,
    slot: &Arc<GrantSlot>,
) {
    let now = Instant::now();
    let mut state = gateway.state();
    state.grant_slots.insert(id, Arc::clone(slot));
    if let Some(scheduler) = state.scheduler_to_ask(gateway, now) {
        state.remote.ask(id, requirements.clone(), scheduler, now);
        gateway.load_changed.notify_all();
        return;
    }
    state.scheduler.enqueue(id, requirements.clone());
    state.dispatch(gateway, now);
    if requirements.long && state.scheduler.is_waiting(id) {
        state.scheduler.long_changed = true;
        gateway.load_changed.notify_all();
    }
    gateway.metrics.queued.set(state.scheduler.waiting_count() as i64);
}

/// Removes a request that no longer waits.
fn dequeue(gateway: &Gateway, id: RequestNumber) {
    let mut state = gateway.state();
    state.grant_slots.remove(&id);
    // A grant that the thread has not taken yet ends with `Gateway::finish`.
    if !state.remote.withdraw(id) {
        state.scheduler.dequeue(id);
    }
    gateway.load_changed.notify_all();
    gateway.metrics.queued.set(state.scheduler.waiting_count() as i64);
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
