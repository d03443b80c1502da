//! What must hold, checked from what callers and targets see.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::super::events;
use super::allowed::Allowed;
use super::bounds::{Cause, Crashes, Limited};
use super::plan::{Change, Place, Point};
use super::script::{BODY, EVENTS};

/// Time after a fault from which an instance counts as in touch.
pub const IN_TOUCH: Duration = Duration::from_secs(3);
/// Time after its leave from which a target gets no requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after its acknowledgement in which a configuration is in force.
pub const CONFIG: Duration = Duration::from_secs(2);
/// Time in which requests that cross the statement of a pause may still arrive.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach a target within its pause.
const PAUSE_REQUESTS: u32 = 2;

/// Time after which a request's deadline of 6 s may have passed.
const DEADLINE: Duration = Duration::from_millis(5_900);
/// Time after which a request must have ended: its deadline, and nearly a second.
const ENDED: Duration = Duration::from_millis(6_900);
/// Time between two pieces of an answer from which it counts as a silence.
const SILENT: Duration = Duration::from_millis(250);

/// Where a target waited, for how long, and whether the caller was still connected then.
pub type Pause = (Point, Duration, bool);
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
    /// Requests in flight or answered, by attempt.
    sent: HashMap<String, Sent>,
    planned: Vec<Option<Instant>>,
    /// Whether an instance's process does not run, and when this changed last.
    halted: Vec<(bool, Option<Instant>)>,
    counts: Counts,
    /// Targets that have crashed.
    crashed: HashSet<String>,
    /// Crashes of targets under requests.
    crashes: HashMap<Cause, Crashes>,
    /// Targets that state a limit.
    limits: HashMap<String, Limited>,
    /// What the configuration allows.
    allowed: Allowed,
}

/// A request that a caller sent.
#[derive(Debug)]
struct Sent {
    boot: Boot,
    at: Instant,
    runs: u32,
    /// Targets that have run it and were at most silent.
    sound: Vec<String>,
    /// Whether one of these has crashed since the last of them began to answer.
    crashed: bool,
    /// Whether a target has sent it an answer without end.
    endless: bool,
    /// The last event of an endless answer, if no sound one began after it.
    endless_event: Option<u64>,
    /// What its targets noted, for a report.
    notes: Vec<String>,
}

/// What happened to runs at targets that were at most silent.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sound: usize,
    resumed: usize,
    silent: usize,
    closed: usize,
    endless: usize,
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
    /// What decides whether it is allowed, if that changes.
    pub change: Option<Change>,
    pub sent: Instant,
    /// `None` without the head of an answer.
    pub answer: Option<Answer>,
}

/// What a caller received.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// Whether it names the caller's attempt, or none if it is a failure.
    pub own: bool,
    pub body: String,
    /// Whether the body was complete according to its framing.
    pub complete: bool,
    /// Whether the connection can be used again.
    pub reusable: bool,
}

impl Answer {
    /// Returns the status and whether the answer is the caller's; `None` if it was cut.
    fn ended(&self) -> Option<(u16, bool)> {
        self.complete.then_some((self.status, self.own))
    }

    /// Returns whether all that was received is what a target sends for this path.
    fn is_in_order(&self, path: &str, ran: bool) -> bool {
        let stream = path.contains("chat");
        let whole = if stream { events(1, EVENTS) } else { BODY.to_owned() };
        let in_order = whole.starts_with(&self.body)
            && (!ran || !stream || self.body.is_empty() || self.body.ends_with("\n\n"));
        self.status != 200 || if self.complete { whole == self.body } else { in_order }
    }
}

impl Promises {
    pub fn new(instances: usize) -> Self {
        let state = State {
            faults: vec![(0, None); instances],
            boots: vec![(0, Instant::now()); instances],
            planned: vec![None; instances],
            halted: vec![(false, None); instances],
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

    /// Notes that the process of an instance stops running, or runs again.
    pub fn halted(&self, instance: usize, halted: bool) {
        self.state().halted[instance] = (halted, Some(Instant::now()));
    }

    pub fn configured(&self, route: Option<u64>) {
        self.state().route = route.map(|route| (route, Instant::now()));
    }

    /// Returns what the configuration now allows.
    pub fn allows(&self, change: Change) -> bool {
        self.state().allowed.current(change)
    }

    /// Notes that the store has acknowledged a change.
    pub fn changed(&self, change: Change, value: bool) {
        self.state().allowed.set(change, value);
    }

    /// Notes the service of a target.
    pub fn serves(&self, target: &str, service: &'static str) {
        self.state().allowed.serves(target, service);
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
        let (sound, endless_event, notes) = (Vec::new(), None, Vec::new());
        let (at, endless) = (Instant::now(), false);
        let sent = Sent { boot, at, runs: 0, sound, crashed: false, endless, endless_event, notes };
        state.sent.insert(id.to_owned(), sent);
    }

    /// Checks a request that a target received; returns the start of its instance.
    pub fn received(&self, target: &str, id: &str) -> Option<Boot> {
        let mut state = self.state();
        let (boot, sent, count) = state.sent.get_mut(id).map(|sent| {
            sent.runs += 1;
            sent.notes.push(format!("received by {target}"));
            (sent.boot, sent.at, sent.runs)
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
        let wrong = state.allowed.check_run(target, id, sent).filter(|_| calm);
        state.broken.extend(wrong);
        state.count_limited(target, boot, calm);
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
        if let Some(sent) = self.state().sent.get_mut(id) {
            sent.runs -= 1;
            sent.notes.push("turned away".to_owned());
        }
    }

    /// Notes that a target begins an answer which it will complete, after the event `from`.
    pub fn sound(&self, target: &str, id: &str, from: u64) {
        let mut state = self.state();
        // Its answer may be begun while the target crashes.
        if state.crashed.contains(target) {
            return;
        }
        state.counts.sound += 1;
        state.counts.resumed += usize::from(from > 0);
        if let Some(sent) = state.sent.get_mut(id) {
            sent.sound.push(target.to_owned());
            sent.crashed = false;
            sent.endless_event = None;
        }
    }

    /// Checks a request under which a target crashes.
    pub fn crashes(&self, target: &str, id: &str, cause: Cause) {
        let mut state = self.state();
        // What ran there is lost.
        let lost = state.sent.values_mut().filter(|sent| sent.sound.iter().any(|s| s == target));
        lost.for_each(|sent| {
            sent.crashed = true;
            sent.notes.push(format!("{target} crashed"));
        });
        state.crashed.insert(target.to_owned());
        let sent = state.sent.get(id).map(|sent| (sent.boot, sent.at));
        let in_touch = sent.is_some_and(|(boot, at)| state.in_touch(boot.0, at));
        let crashes = state.crashes.entry(cause).or_default();
        if crashes.add(cause, sent.map(|(_, at)| at).filter(|_| in_touch)) {
            let text = format!("budget: {id} is the next one to crash a target, {target}");
            state.broken.push(text);
        }
    }

    /// Notes that a target states a limit from now on, or none.
    pub fn limited(&self, target: &str, rate: Option<f64>) {
        let mut state = self.state();
        state.limits.remove(target);
        state.limits.extend(rate.map(|rate| (target.to_owned(), Limited::new(rate))));
    }

    /// Notes that a start of an instance was sent a whole head with the limit of a target.
    pub fn told_limit(&self, target: &str, boot: Boot) {
        if let Some(limited) = self.state().limits.get_mut(target) {
            limited.tell(boot);
        }
    }

    /// Notes that a target goes on with its answer, unless the caller has closed the connection.
    pub fn went_on(&self, target: &str, id: &str, (point, waited, connected): Pause) {
        if connected && waited < SILENT {
            return;
        }
        let mut state = self.state();
        state.counts.silent += usize::from(waited >= SILENT);
        state.counts.closed += usize::from(!connected);
        let Some(sent) = state.sent.get_mut(id) else { return };
        let how = if connected { "went on" } else { "was closed by its caller" };
        sent.notes.push(format!("{target} {how} at {point:?} after {waited:?}"));
    }

    /// Notes that a target begins an answer without end, with this event if there is one.
    pub fn begins_endless(&self, id: &str, event: Option<u64>) {
        if let Some(sent) = self.state().sent.get_mut(id) {
            sent.endless = true;
            sent.endless_event = event;
        }
    }

    /// Notes whether the caller closed the connection of an answer without end in time.
    pub fn endless(&self, target: &str, id: &str, place: Place, closed: bool) {
        let mut state = self.state();
        state.counts.endless += 1;
        if closed {
            return;
        }
        let Some((boot, at)) = state.sent.get(id).map(|s| (s.boot, s.at)) else { return };
        if state.ran(boot, at) {
            let text = format!("endless: {id} was read from {target} for too long ({place:?})");
            state.broken.push(text);
        }
    }

    /// Returns what happened to the runs, for the summary.
    pub fn counts(&self) -> String {
        let state = self.state();
        let Counts { sound, resumed, silent, closed, endless } = state.counts;
        let crashes: usize = state.crashes.values().map(Crashes::count).sum();
        format!(
            "{sound} sound runs ({resumed} resumed, {closed} closed by an instance), \
             {silent} silences, {endless} answers without end, {crashes} crashes"
        )
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
        let Some((boot, runs)) = state.sent.get(seen.id).map(|s| (s.boot, s.runs)) else { return };
        let calm = state.in_touch(instance, seen.sent) && state.boots[instance].0 == boot.1;
        let Seen { id, path, .. } = seen;
        // A target that crashes may use up the last attempt.
        let failed =
            state.sent.get(seen.id).is_some_and(|sent| sent.was_failed(seen) || sent.crashed);
        let ran = state.ran(boot, seen.sent);
        let lost = state.lost(seen, ran);
        if ran && state.planned[instance].is_none() && seen.sent.elapsed() > ENDED {
            state.broken.push(format!("late: {id} {path} had not ended after {ENDED:?}"));
        }
        if seen.answer.as_ref().is_some_and(|a| !a.is_in_order(path, ran)) {
            let text = format!("order: {id} {path} got {:?}", seen.answer);
            state.broken.push(text);
        }
        let broken = match seen.answer.as_ref().and_then(Answer::ended) {
            Some((_, false)) => Some(format!("whole: {id} got another answer, or a part")),
            Some((429 | 503 | 408 | 421, _)) if runs > 0 && path.contains("book") => {
                Some(format!("refused: {id} was refused and has run"))
            }
            Some((status, _)) if seen.change.is_some() && matches!(status, 200 | 401 | 404) => {
                let allowed =
                    seen.change.and_then(|c| state.allowed.at(c, seen.sent)).filter(|_| calm);
                let wrong = allowed.is_some_and(|allowed| allowed != (status == 200));
                wrong.then(|| format!("config: {id} {path} got {status} at instance {instance}"))
            }
            Some((status @ 400..500, _)) if !matches!(status, 408 | 421 | 429) => {
                let latest = seen.route.is_none_or(|r| state.route.is_some_and(|now| now.0 == r));
                let counts = seen.route.is_none() || calm && latest;
                counts.then(|| format!("denied: {id} {path} got {status} at instance {instance}"))
            }
            None if state.planned[instance].is_some_and(|at| at < seen.sent) => None,
            None if failed => None,
            None if state.planned[instance].is_some() && calm => {
                Some(format!("lost: {id} {path} was cut by a planned stop of instance {instance}"))
            }
            Some(_) | None => None,
        };
        state.broken.extend(broken.into_iter().chain(lost));
    }
}

impl Sent {
    /// Returns whether a target that sent wrong bytes is why it has no whole answer: no sound one
    /// ran it, or the last event that the caller received came from the target that failed.
    fn was_failed(&self, seen: &Seen<'_>) -> bool {
        let taken_over = self.endless_event.is_some_and(|event| {
            seen.answer.as_ref().is_some_and(|a| a.body.ends_with(&events(event, event)))
        });
        taken_over || self.endless && self.sound.is_empty()
    }
}

impl State {
    /// Returns whether an instance has been without faults since [`IN_TOUCH`] before `at`.
    fn in_touch(&self, instance: usize, at: Instant) -> bool {
        let (count, last) = self.faults[instance];
        count == 0 && last.is_none_or(|last| at > last + IN_TOUCH)
    }

    /// Counts a request to a target that states a limit.
    fn count_limited(&mut self, target: &str, boot: Boot, calm: bool) {
        let Some(limited) = self.limits.get_mut(target) else { return };
        if let Some(excess) = calm.then(|| limited.add(boot)).flatten() {
            self.broken.push(format!("limit: {target} got {excess}"));
        }
    }

    /// Returns whether the process of a start of an instance has run since `at`.
    fn ran(&self, (instance, boot): Boot, at: Instant) -> bool {
        let (halted, last) = self.halted[instance];
        !halted && last.is_none_or(|last| last < at) && self.boots[instance].0 == boot
    }

    /// Returns how a request was lost that a target would have answered.
    fn lost(&self, seen: &Seen<'_>, ran: bool) -> Option<String> {
        let sent = self.sent.get(seen.id).filter(|sent| !sent.sound.is_empty() && !sent.crashed)?;
        let instance = sent.boot.0;
        let took = seen.sent.elapsed();
        let whole = seen.answer.as_ref().is_some_and(|a| a.complete && a.status == 200);
        if whole
            || sent.was_failed(seen)
            || !ran
            || self.planned[instance].is_some()
            || took >= DEADLINE
        {
            return None;
        }
        let touch = if self.in_touch(instance, seen.sent) { "in touch" } else { "not in touch" };
        let got = match &seen.answer {
            Some(a) if a.complete => format!("got {}", a.status),
            Some(a) => format!("was cut after {} bytes", a.body.len()),
            None => "got no answer".to_owned(),
        };
        let Seen { id, path, .. } = seen;
        let notes = sent.notes.join(", ");
        Some(format!(
            "lost: {id} {path} {got} after {took:?} at instance {instance}, {touch}; {notes}"
        ))
    }
}
