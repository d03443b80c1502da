//! Bounds on what targets receive: crashes under one cause, and requests beside a limit.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::promises::{Boot, IN_TOUCH};

/// Crashes that may follow when all instances have to know their cause.
const MAX_LATE_CRASHES: usize = 3;
/// Time after an answer that states a limit from which its instance has to keep it.
const LIMIT_TOLD: Duration = Duration::from_millis(500);
/// Time in which requests to a target with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor of the limit, and requests beside it, that are allowed in that time.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Why a target crashes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Cause {
    /// A part of a prompt.
    Part,
    /// A call that comes again.
    Call,
}

impl Cause {
    /// Returns the number of crashes after which all instances have to know it.
    fn max_crashes(self) -> usize {
        match self {
            Self::Part => 5,
            Self::Call => 3,
        }
    }
}

/// Crashes of one cause.
#[derive(Debug, Default)]
pub struct Crashes {
    times: Vec<Instant>,
    /// Those by instances in touch that had to know the cause.
    late: usize,
}

/// The limit that a target states.
#[derive(Debug)]
pub struct Limited {
    rate: f64,
    since: Instant,
    /// When each start of an instance was told first.
    told: HashMap<Boot, Instant>,
    /// Requests of instances that have to keep it.
    received: Vec<Instant>,
}

impl Crashes {
    /// Adds a crash under a request that an instance in touch was sent at `sent`; returns
    /// whether there are too many.
    pub fn add(&mut self, cause: Cause, sent: Option<Instant>) -> bool {
        self.times.push(Instant::now());
        let known = self.times.get(cause.max_crashes() - 1).copied();
        let late = known.zip(sent).is_some_and(|(known, sent)| sent > known + IN_TOUCH);
        self.late += usize::from(late);
        late && self.late > MAX_LATE_CRASHES
    }

    pub fn count(&self) -> usize {
        self.times.len()
    }
}

impl Limited {
    pub fn new(rate: f64) -> Self {
        let (told, received) = (HashMap::new(), Vec::new());
        Self { rate, since: Instant::now(), told, received }
    }

    pub fn tell(&mut self, boot: Boot) {
        self.told.entry(boot).or_insert_with(Instant::now);
    }

    /// Adds a request of an instance; returns what is wrong if there are too many.
    pub fn add(&mut self, boot: Boot) -> Option<String> {
        let now = Instant::now();
        if self.told.get(&boot).is_none_or(|told| now < *told + LIMIT_TOLD) {
            return None;
        }
        self.received.push(now);
        let count = self.received.iter().filter(|at| **at + LIMIT_WINDOW > now).count() as f64;
        let allowed = LIMIT_FACTOR * self.rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        let broken = now > self.since + IN_TOUCH && count > allowed;
        broken.then(|| format!("{count} requests in {LIMIT_WINDOW:?}, {allowed} allowed"))
    }
}
