//! What must hold, checked from what callers and targets see.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after a fault from which an instance counts as in touch.
pub const IN_TOUCH: Duration = Duration::from_secs(3);
/// Time after its leave from which a target gets no requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after its acknowledgement in which a configuration is in force.
const CONFIG: Duration = Duration::from_secs(2);
/// Time in which requests that cross the statement of a pause may still arrive.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach a target within its pause.
const PAUSE_REQUESTS: u32 = 2;

/// One start of an instance.
pub type Boot = (usize, u32);

#[derive(Debug, Default)]
struct State {
    broken: Vec<String>,
    /// Faults that an instance is under, and the end of the last one.
    faults: Vec<(u32, Option<Instant>)>,
    boots: Vec<(u32, Instant)>,
    /// Latest route and when it was written; `None` until the operator writes again.
    route: Option<(u64, Instant)>,
    /// When targets left, according to the store.
    left: HashMap<String, Instant>,
    /// When a start of an instance got an answer that states a leave.
    told: HashMap<(String, Boot), Instant>,
    /// Pauses asked of a start of an instance, with the requests since.
    pauses: HashMap<(String, Boot), (Instant, Instant, u32)>,
    /// Requests in flight or answered, by attempt: instance, when sent, and its runs.
    sent: HashMap<String, (Boot, Instant, u32)>,
    planned: Vec<Option<Instant>>,
}

/// The promises and what is known of the fleet.
#[derive(Debug)]
pub struct Promises {
    /// Set when the callers are to end.
    pub stopped: AtomicBool,
    state: Mutex<State>,
}

/// What a caller saw of one request.
#[derive(Debug)]
pub struct Seen<'a> {
    pub id: &'a str,
    pub path: &'a str,
    /// Version of the route, if it is the latest one.
    pub route: Option<u64>,
    pub sent: Instant,
    /// Status and whether the answer was whole and its own; `None` without an answer.
    pub answer: Option<(u16, bool)>,
}

impl Promises {
    pub fn new(instances: usize) -> Self {
        let state = State {
            faults: vec![(0, None); instances],
            boots: vec![(0, Instant::now()); instances],
            planned: vec![None; instances],
            ..State::default()
        };
        Self { stopped: AtomicBool::new(false), state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn broken(&self) -> Vec<String> {
        self.state().broken.clone()
    }

    pub fn report(&self, text: String) {
        self.state().broken.push(text);
    }

    /// Notes the begin or the end of a fault of an instance.
    pub fn fault(&self, instance: usize, begins: bool) {
        let (count, last) = &mut self.state().faults[instance];
        *count = if begins { *count + 1 } else { count.saturating_sub(1) };
        *last = Some(Instant::now());
    }

    /// Notes a fault of an instance that has no length.
    pub fn shock(&self, instance: usize) {
        self.state().faults[instance].1 = Some(Instant::now());
    }

    pub fn restarted(&self, instance: usize) {
        let mut state = self.state();
        state.boots[instance] = (state.boots[instance].0 + 1, Instant::now());
        state.planned[instance] = None;
    }

    pub fn stopping(&self, instance: usize) {
        self.state().planned[instance] = Some(Instant::now());
    }

    pub fn configured(&self, route: Option<u64>) {
        self.state().route = route.map(|route| (route, Instant::now()));
    }

    pub fn route(&self) -> Option<u64> {
        let state = self.state();
        state.route.filter(|(_, at)| at.elapsed() > CONFIG).map(|(route, _)| route)
    }

    pub fn left(&self, target: &str) {
        self.state().left.insert(target.to_owned(), Instant::now());
    }

    pub fn send(&self, id: &str, instance: usize) {
        let mut state = self.state();
        let boot = (instance, state.boots[instance].0);
        state.sent.insert(id.to_owned(), (boot, Instant::now(), 0));
    }

    /// Checks a request that a target received; returns the start of its instance.
    pub fn received(&self, target: &str, id: &str) -> Option<Boot> {
        let mut state = self.state();
        let (boot, sent, count) = state.sent.get_mut(id).map(|(boot, sent, count)| {
            *count += 1;
            (*boot, *sent, *count)
        })?;
        if id.contains("book") && count > 1 {
            state.broken.push(format!("twice: {id} ran {count} times"));
        }
        let calm = state.in_touch(boot.0, sent) && state.boots[boot.0].0 == boot.1;
        let boot_at = state.boots[boot.0].1;
        let left = state.left.get(target).copied().filter(|left| boot_at < *left);
        if let Some(left) = left.filter(|left| calm && sent > *left + DRAIN) {
            let late = sent.saturating_duration_since(left);
            state
                .broken
                .push(format!("drain: {id} reached {target}, sent {late:?} after its leave"));
        }
        let told = state.told.get(&(target.to_owned(), boot)).copied();
        if let Some(told) = told.filter(|told| sent > *told + DRAIN) {
            let late = sent.saturating_duration_since(told);
            state.broken.push(format!("drain: {id} reached {target}, {late:?} after its answer"));
        }
        let mut over = None;
        if let Some((from, until, count)) = state.pauses.get_mut(&(target.to_owned(), boot)) {
            let now = Instant::now();
            if now > *from + PAUSE_SLACK && now < *until {
                *count += 1;
                over = (*count > PAUSE_REQUESTS).then_some(*count);
            }
        }
        if let Some(count) = over {
            state.broken.push(format!("pause: {id} is request {count} to {target} in its pause"));
        }
        Some(boot)
    }

    /// Notes that a received request was turned away and did not run.
    pub fn turned_away(&self, id: &str) {
        if let Some((_, _, count)) = self.state().sent.get_mut(id) {
            *count -= 1;
        }
    }

    pub fn told_leave(&self, target: &str, boot: Boot) {
        self.state().told.entry((target.to_owned(), boot)).or_insert_with(Instant::now);
    }

    /// Notes a pause; returns whether this start of the instance was not asked before.
    pub fn asked_pause(&self, target: &str, boot: Boot, pause: Duration) -> bool {
        let now = Instant::now();
        let key = (target.to_owned(), boot);
        let mut state = self.state();
        if state.pauses.contains_key(&key) {
            return false;
        }
        state.pauses.insert(key, (now, now + pause, 0));
        true
    }

    /// Checks what a caller saw.
    pub fn seen(&self, instance: usize, seen: &Seen<'_>) {
        let mut state = self.state();
        let Some((boot, _, runs)) = state.sent.get(seen.id).copied() else { return };
        let calm = state.in_touch(instance, seen.sent) && state.boots[instance].0 == boot.1;
        let Seen { id, path, .. } = seen;
        let broken = match seen.answer {
            Some((_, false)) => Some(format!("whole: {id} got another answer, or a part")),
            Some((429 | 503 | 408 | 421, _)) if runs > 0 && path.contains("book") => {
                Some(format!("refused: {id} was refused and has run"))
            }
            Some((status @ 400..500, _)) if !matches!(status, 408 | 421 | 429) => {
                let latest = seen.route.is_none_or(|r| state.route.is_some_and(|now| now.0 == r));
                let counts = seen.route.is_none() || calm && latest;
                counts.then(|| format!("denied: {id} {path} got {status} at instance {instance}"))
            }
            None if state.planned[instance].is_some_and(|at| at < seen.sent) => None,
            None if state.planned[instance].is_some() && calm => {
                Some(format!("lost: {id} {path} was cut by a planned stop of instance {instance}"))
            }
            Some(_) | None => None,
        };
        state.broken.extend(broken);
    }
}

impl State {
    /// Returns whether an instance has been without faults since [`IN_TOUCH`] before `at`.
    fn in_touch(&self, instance: usize, at: Instant) -> bool {
        let (count, last) = self.faults[instance];
        count == 0 && last.is_none_or(|last| at > last + IN_TOUCH)
    }
}
