//! Waits for a place at a target.
//!
//! `mimosapass_core::edge::schedule` decides who gets which place; here the
//! thread of a request sleeps until it has one.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::schedule::{Grant, Need, Refusal};
use mimosapass_core::edge::wait::retry_after;
use mimosapass_core::error::{Failure, Kind};

use super::state::{Gateway, State};

/// Time between two looks at whether a waiting caller is still there. Targets
/// must not get requests of callers that left half a second ago.
const LOOK: Duration = Duration::from_millis(100);

/// Where the thread of a request finds its place.
#[derive(Debug, Default)]
pub struct Slot {
    given: Mutex<Option<Grant>>,
    bell: Condvar,
}

impl Slot {
    /// Hands over a place and wakes the thread that waits for it.
    fn give(&self, grant: Grant) {
        *self.given.lock().unwrap_or_else(PoisonError::into_inner) = Some(grant);
        self.bell.notify_one();
    }

    /// Takes the place that was given, or waits for one.
    fn take(&self, time: Duration) -> Option<Grant> {
        let given = self.given.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.bell.wait_timeout_while(given, time, |given| given.is_none());
        waited.unwrap_or_else(PoisonError::into_inner).0.take()
    }
}

/// Waits until the request gets a place.
///
/// # Errors
///
/// Fails when the caller left, or when no place can be had in time.
pub fn wait(gateway: &Gateway, need: &Need, gone: impl Fn() -> bool) -> Result<Grant, Failure> {
    let id = gateway.unique();
    let slot = Arc::new(Slot::default());
    join(gateway, id, need, &slot);
    let failure = loop {
        if let Some(grant) = slot.take(LOOK) {
            return Ok(grant);
        }
        let now = Instant::now();
        if gone() {
            break Failure::new(Kind::CallerGone, "the caller left while it waited");
        }
        if gateway.ending() {
            break Failure::new(Kind::Stopping, "the instance stops");
        }
        let mut state = gateway.state();
        match state.scheduler.refusal(need, now) {
            Some(Refusal::Late) => break late(&state, need, now),
            Some(Refusal::Pressure(pressure)) => {
                let text = format!("engines have work of more worth, pressure is {pressure:.2}");
                break Failure::new(Kind::TooLate, text).after(retry_after(id));
            }
            None => {}
        }
        state.dispatch(gateway, now);
    };
    leave(gateway, id);
    // A place may have been given between the last look and the removal.
    match slot.take(Duration::ZERO) {
        Some(grant) if failure.kind != Kind::CallerGone => Ok(grant),
        Some(grant) => {
            gateway.finish(&grant, Instant::now());
            Err(failure)
        }
        None => Err(failure),
    }
}

/// Puts a request among those that wait; it may get a place at once.
fn join(gateway: &Gateway, id: RequestNumber, need: &Need, slot: &Arc<Slot>) {
    let mut state = gateway.state();
    state.threads.insert(id, Arc::clone(slot));
    state.scheduler.enqueue(id, need.clone());
    state.dispatch(gateway, Instant::now());
    if need.long && state.scheduler.is_waiting(id) {
        state.scheduler.long_changed = true;
        gateway.bell.notify_all();
    }
    gateway.metrics.waiting.set(state.scheduler.waiting_count() as i64);
}

/// Takes a request out that waits no more.
fn leave(gateway: &Gateway, id: RequestNumber) {
    let mut state = gateway.state();
    state.threads.remove(&id);
    state.scheduler.dequeue(id);
    gateway.bell.notify_all();
    gateway.metrics.waiting.set(state.scheduler.waiting_count() as i64);
}

fn late(state: &State, need: &Need, now: Instant) -> Failure {
    let targets = state.scheduler.fleet.serving(&need.service).count();
    let waiting = state.scheduler.waiting_count();
    let waited_ms = (now - need.waiting.arrived).as_millis() as u64;
    let text = format!(
        "no place after {waited_ms} ms: {targets} targets of {}, {waiting} requests wait",
        need.service
    );
    let kind = if targets == 0 { Kind::NoTarget } else { Kind::QueueTimeout };
    Failure::new(kind, text)
}

impl State {
    /// Gives places to waiting requests and wakes their threads.
    pub fn dispatch(&mut self, gateway: &Gateway, now: Instant) {
        for grant in self.scheduler.dispatch(&gateway.plan(), now) {
            let Some(slot) = self.threads.remove(&grant.id) else {
                log::error!(request = grant.id; "place: no thread waits for it.");
                self.scheduler.finish(&grant);
                continue;
            };
            slot.give(grant);
            gateway.bell.notify_all();
        }
    }
}
