//! Waits for a place at a target.
//!
//! Requests wait in one list. Whenever the load changes, places are given in
//! the order that `mimosapass_core::edge::wait` states; the thread of a request
//! that got one wakes up.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::load::{Work, WorkId};
use mimosapass_core::edge::place::{Ask, Candidate, Place, choose};
use mimosapass_core::edge::plan::ServiceId;
use mimosapass_core::edge::wait::Waiting;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::{TargetId, ZoneId};

use super::state::{Gateway, State};

/// Time between two looks at whether a waiting caller is still there. Targets
/// must not get requests of callers that left half a second ago.
const LOOK: Duration = Duration::from_millis(100);
/// Least time after which a caller that was refused may come back, about the time
/// over which pressure is taken.
const COME_BACK: Duration = Duration::from_secs(2);
/// Steps over which returning callers are spread.
const SPREAD: u64 = 16;
/// Least time between two dispatches that nothing of this instance caused.
const CALM: Duration = Duration::from_millis(5);
/// Requests for which no place is looked for again in one dispatch: those behind
/// them in the order need as much or have less right to it.
const MOST_MISSES: usize = 6;

/// What a request needs of a place.
#[derive(Clone, Debug)]
pub struct Need {
    /// Service.
    pub service: ServiceId,
    /// Cost model, where the service's targets are engines.
    pub engine: Option<Engine>,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens expected of the answer.
    pub answer: u64,
    /// Longest pause between events that is on time.
    pub gap: Duration,
    /// Whether reading the whole prompt makes the strictest streams pause too long.
    pub long: bool,
    /// Order among waiting requests.
    pub waiting: Waiting,
    /// Targets that failed this request already.
    pub avoid: Vec<TargetId>,
}

/// A place that was given; the load of its targets counts the request already.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The place.
    pub place: Place,
    /// Number under which the load knows the request.
    pub id: WorkId,
    /// When it was given.
    pub at: Instant,
}

impl Grant {
    /// Returns the targets of the place, the answering one first.
    pub fn targets(&self) -> Vec<TargetId> {
        let helpers = self.place.helpers.iter().map(|h| TargetId::clone(&h.target.id));
        std::iter::once(TargetId::clone(&self.place.target.id)).chain(helpers).collect()
    }
}

#[derive(Debug, Default)]
struct Slot {
    given: Mutex<Option<Grant>>,
    bell: Condvar,
}

impl Slot {
    /// Takes the place that was given, or waits for one.
    fn take(&self, time: Duration) -> Option<Grant> {
        let given = self.given.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.bell.wait_timeout_while(given, time, |given| given.is_none());
        waited.unwrap_or_else(PoisonError::into_inner).0.take()
    }
}

#[derive(Clone, Debug)]
struct Waiter {
    need: Need,
    slot: Arc<Slot>,
}

/// Requests that wait.
#[derive(Debug, Default)]
pub struct Waiters {
    list: HashMap<WorkId, Waiter>,
    last: Option<Instant>,
    /// Whether peers have to be told of the long prompts that wait.
    pub news: bool,
}

/// Long prompts of which peers are told; only the first of them matter.
const MOST_TOLD: usize = 4;
/// Time for which a long prompt waits behind those of peers that go before it. A
/// peer that cannot place its own must not hold up the others for longer.
const YIELD: Duration = Duration::from_millis(500);

impl Waiters {
    /// Returns the long prompts that wait, with their services.
    pub fn long(&self) -> impl Iterator<Item = (&str, &Waiting)> {
        let long = self.list.values().filter(|w| w.need.long);
        long.map(|w| (&*w.need.service, &w.need.waiting)).take(MOST_TOLD)
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
    join(gateway, id, Waiter { need: need.clone(), slot: Arc::clone(&slot) });
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
        if need.waiting.over(now) {
            break late(gateway, need, now);
        }
        let mut state = gateway.state();
        let pressure = state.pressure(&need.service);
        if need.long && need.waiting.hopeless(pressure, now) {
            let text = format!("engines have work of more worth, pressure is {pressure:.2}");
            break Failure::new(Kind::TooLate, text).after(come_back(id));
        }
        state.dispatch(gateway, now);
    };
    leave(gateway, id, need);
    // A place may have been given between the last look and the removal.
    match slot.take(Duration::ZERO) {
        Some(grant) if failure.kind != Kind::CallerGone => Ok(grant),
        Some(grant) => {
            gateway.finish(&grant.targets(), grant.id, Instant::now());
            Err(failure)
        }
        None => Err(failure),
    }
}

/// Puts a request among those that wait; it may get a place at once.
fn join(gateway: &Gateway, id: WorkId, waiter: Waiter) {
    let long = waiter.need.long;
    let mut state = gateway.state();
    state.waiters.list.insert(id, waiter);
    state.waiters.last = None;
    state.dispatch(gateway, Instant::now());
    if long && state.waiters.list.contains_key(&id) {
        state.waiters.news = true;
        gateway.bell.notify_all();
    }
    gateway.metrics.waiting.set(state.waiters.list.len() as i64);
}

/// Takes a request out that waits no more.
fn leave(gateway: &Gateway, id: WorkId, need: &Need) {
    let mut state = gateway.state();
    state.waiters.list.remove(&id);
    state.waiters.news |= need.long;
    gateway.bell.notify_all();
    gateway.metrics.waiting.set(state.waiters.list.len() as i64);
}

/// Returns when a caller may come back to engines that have work of more worth.
///
/// Bursts last for seconds; callers that were refused together come back apart.
fn come_back(id: WorkId) -> Duration {
    COME_BACK + COME_BACK.mul_f64((id % SPREAD) as f64 / SPREAD as f64)
}

fn late(gateway: &Gateway, need: &Need, now: Instant) -> Failure {
    let state = gateway.state();
    let targets = state.fleet.serving(&need.service).count();
    let waiting = state.waiters.list.len();
    let waited_ms = (now - need.waiting.since).as_millis() as u64;
    let text = format!(
        "no place after {waited_ms} ms: {targets} targets of {}, {waiting} requests wait",
        need.service
    );
    let kind = if targets == 0 { Kind::NoTarget } else { Kind::QueueTimeout };
    Failure::new(kind, text)
}

impl State {
    /// Gives places to waiting requests.
    pub fn dispatch(&mut self, gateway: &Gateway, now: Instant) {
        self.observe(&gateway.plan(), now);
        let calm = self.waiters.last.is_some_and(|last| now < last + CALM);
        if self.waiters.list.is_empty() || calm {
            return;
        }
        self.waiters.last = Some(now);
        let mut order: Vec<WorkId> = self.waiters.list.keys().copied().collect();
        order.sort_by(|a, b| {
            let rank = |id| self.waiters.list[id].need.waiting.rank(now);
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.total_cmp(&b.2))
        });
        let mut misses: HashMap<ServiceId, usize> = HashMap::new();
        for id in order {
            let Some(waiter) = self.waiters.list.get(&id) else { continue };
            let count = misses.entry(ServiceId::clone(&waiter.need.service)).or_default();
            if *count >= MOST_MISSES {
                continue;
            }
            let waiter = waiter.clone();
            if waiter.need.long && self.yields(&waiter.need, now) {
                continue;
            }
            match self.place(gateway, &waiter.need, now) {
                Some(place) => {
                    self.give(id, &waiter, place, now);
                    gateway.bell.notify_all();
                }
                None => *count += 1,
            }
        }
    }

    /// Returns whether a long prompt of a peer goes before this one.
    ///
    /// Without this all instances would send the prompts that wait with them to
    /// the same engine in the moment in which it gets free.
    fn yields(&self, need: &Need, now: Instant) -> bool {
        let peers = self.peers.values().flat_map(|p| &p.waiting);
        let rivals = peers.filter(|(service, _)| *service == need.service);
        now < need.waiting.since + YIELD
            && rivals.into_iter().any(|(_, w)| w.before(&need.waiting, false, now))
    }

    fn place(&self, gateway: &Gateway, need: &Need, now: Instant) -> Option<Place> {
        let far = |zone: &ZoneId| {
            let same = **zone == *gateway.settings.zone;
            if same { Duration::ZERO } else { Duration::from_millis(1) }
        };
        let usable = |avoid: bool| {
            self.fleet
                .serving(&need.service)
                .filter(|t| !avoid || !self.outcomes.avoided(&t.id, now))
                .filter(|t| !avoid || !self.reach.cut(&t.zone, now))
                .filter(|t| !need.avoid.contains(&t.id))
                .map(|target| Candidate { target, pace: 1.0, far: far(&target.zone) })
                .collect::<Vec<_>>()
        };
        let mut candidates = usable(true);
        if candidates.is_empty() {
            candidates = usable(false);
        }
        let pressure = if need.long { self.pressure(&need.service) } else { 0.0 };
        let ask = Ask {
            prompt: need.prompt,
            answer: need.answer,
            gap: need.gap,
            worth: need.waiting.worth,
            long: need.long,
            left: need.waiting.promise.saturating_duration_since(now),
        };
        choose(&ask, need.engine.as_ref(), &candidates, &self.load, now)
            .filter(|place| need.waiting.takes(place, pressure, now))
    }

    fn give(&mut self, id: WorkId, waiter: &Waiter, place: Place, now: Instant) {
        self.waiters.list.remove(&id);
        let need = &waiter.need;
        self.waiters.news |= need.long;
        let work = Work {
            prompt: need.prompt,
            parts: place.helpers.len() as u32 + 1,
            first: true,
            memory: place.memory,
            answer: need.answer,
            gap: need.gap,
            worth: need.waiting.worth,
            sent: now,
            writing: None,
        };
        let grant = Grant { place, id, at: now };
        self.begin(&grant.place, id, work, need.engine.as_ref());
        *waiter.slot.given.lock().unwrap_or_else(PoisonError::into_inner) = Some(grant);
        waiter.slot.bell.notify_one();
    }
}
