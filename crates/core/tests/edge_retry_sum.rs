//! Replays a fleet whose instances retry, and adds up what all of them send.
//!
//! Instances are killed and started again, replaced, cut off from the store and from each other,
//! and learn late how many live; all entries expire at once; load moves between them; retries wait
//! for targets and are sent when these return. The bound is the operator's.

use std::time::{Duration, Instant};

use mimosapass_core::edge::retry::{RetryLedger, RetryLimits};
use mimosapass_core::edge::retry_share::{FleetSize, Found, REGISTRATION_TTL, RetryShare};
use rstest::rstest;

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
const STEP: Duration = Duration::from_millis(100);
/// Interval between renewals of a registration.
const RENEWAL: Duration = Duration::from_secs(30);
/// Longest time between a send and its arrival.
const MAX_DELAY: f64 = 1.0;

/// A sequence of random numbers.
struct Random(u64);

impl Random {
    /// Returns a number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.draw() < probability
    }

    fn seconds(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(from + (to - from) * self.draw())
    }
}

/// One instance, over all of its processes.
struct Instance {
    ledger: RetryLedger,
    share: RetryShare,
    size: FleetSize,
    /// Retries that wait for a target, until when.
    waiting: Vec<Instant>,
    /// Requests a step.
    load: f64,
    renewal: Instant,
    /// Whether its entry is in the store, and whether this process has registered.
    registered: bool,
    own: bool,
    /// Time until which it is down, and cut off from the store and its peers.
    down: Instant,
    cut: Instant,
    /// When it begins to learn of others.
    learns: Instant,
}

impl Instance {
    fn start(first: bool, now: Instant) -> Self {
        Self {
            ledger: RetryLedger::new(LIMITS, now),
            share: RetryShare::new(first),
            size: FleetSize::default(),
            waiting: Vec::new(),
            load: 0.2,
            renewal: now,
            registered: false,
            own: false,
            down: now,
            cut: now,
            learns: now,
        }
    }

    /// Registers in the store, or renews.
    fn renew(&mut self, now: Instant) {
        let found = match (self.registered, self.own) {
            (true, true) => Found::Own,
            (true, false) => Found::Former,
            (false, _) => Found::Missing,
        };
        self.share.confirm(found, LIMITS.retention(), now);
        (self.registered, self.own) = (true, true);
        self.renewal = now + RENEWAL;
    }

    /// Renews what it knows, as far as it reaches the store.
    fn step(&mut self, registered: usize, random: &mut Random, now: Instant) {
        if now < self.down.max(self.cut) {
            self.registered &= now + RENEWAL < self.renewal + REGISTRATION_TTL;
            return;
        }
        if now >= self.renewal {
            self.renew(now);
        }
        // A part of the fleet is known first.
        let share = if now >= self.learns { 1.0 } else { random.draw() };
        self.size.record(1 + (registered.saturating_sub(1) as f64 * share) as usize, now);
    }

    /// Ends the process, and starts the next one.
    fn restart(&mut self, random: &mut Random, now: Instant) {
        let (registered, load, cut) = (self.registered, self.load, self.cut);
        *self = Self { load, registered, cut, ..Self::start(false, now) };
        self.down = now + random.seconds(0.1, 3.0);
        self.renewal = self.down;
        self.learns = self.down + random.seconds(0.0, 5.0);
    }

    /// Returns its part of the fixed number.
    fn part(&mut self, now: Instant) -> f64 {
        let count = self.size.count(now).filter(|_| self.share.is_usable(now));
        count.map_or(0.0, |count| LIMITS.slack / count as f64)
    }
}

/// What the targets of a service saw: times in seconds.
#[derive(Default)]
struct Seen {
    requests: Vec<f64>,
    retries: Vec<f64>,
}

impl Seen {
    /// Returns the smallest distance to what the operator allows, over all windows.
    fn least_left(&self) -> f64 {
        let length = LIMITS.window.as_secs_f64();
        let within = |times: &[f64], begin: f64| {
            times.iter().filter(|at| (begin..begin + length).contains(*at)).count() as f64
        };
        let left = |begin: &f64| {
            let begins = [*begin, begin - length, begin - length / 2.0];
            let requests =
                begins.map(|b| within(&self.requests, b)).into_iter().fold(0.0, f64::max);
            LIMITS.ratio * requests + LIMITS.slack - within(&self.retries, *begin)
        };
        self.retries.iter().map(left).fold(f64::INFINITY, f64::min)
    }
}

/// What happens to a fleet, each with its probability in a step.
#[derive(Clone, Copy)]
struct Troubles {
    kills: f64,
    herds: f64,
    replacements: f64,
    cuts: f64,
    lapses: f64,
    /// Share of the requests that are to be retried, in storms.
    storm: f64,
    /// Longest wait for a target, in seconds.
    wait: f64,
    /// Whether load moves between instances.
    uneven: bool,
}

/// Storms in which all requests are to be retried, and nothing else.
const STORM: Troubles = Troubles {
    kills: 0.0,
    herds: 0.0,
    replacements: 0.0,
    cuts: 0.0,
    lapses: 0.0,
    storm: 1.0,
    wait: 0.0,
    uneven: false,
};

/// Plays a fleet for five minutes.
fn play(count: usize, troubles: Troubles, seed: u64) -> Seen {
    let (mut random, start) =
        (Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1), Instant::now());
    let mut fleet: Vec<Instance> = (0..count).map(|_| Instance::start(true, start)).collect();
    for instance in &mut fleet {
        instance.renew(start);
        instance.size.record(count, start);
    }
    let (mut totals, mut now, mut storm, mut targets_back) = (Seen::default(), start, start, start);
    while now < start + Duration::from_mins(5) {
        now += STEP;
        if random.chance(0.005) {
            storm = now + random.seconds(1.0, 20.0);
            targets_back = now + random.seconds(0.0, troubles.wait);
        }
        if random.chance(troubles.herds) {
            let half = random.draw();
            for instance in &mut fleet {
                if random.chance(half) {
                    instance.restart(&mut random, now);
                }
            }
        }
        if random.chance(troubles.lapses) {
            for instance in &mut fleet {
                instance.registered = false;
            }
        }
        if random.chance(troubles.cuts) {
            let (part, end) = (random.draw(), now + random.seconds(1.0, 200.0));
            for instance in &mut fleet {
                if random.chance(part) {
                    instance.cut = end;
                }
            }
        }
        for instance in &mut fleet {
            if random.chance(troubles.kills) {
                instance.restart(&mut random, now);
            }
            if random.chance(troubles.replacements) {
                *instance = Instance::start(false, now);
                instance.down = now + random.seconds(0.1, 2.0);
            }
            if troubles.uneven && random.chance(0.01) {
                instance.load = if random.chance(0.5) { 0.02 } else { 1.5 * random.draw() };
            }
        }
        let registered = fleet.iter().filter(|i| i.registered).count();
        for instance in &mut fleet {
            instance.step(registered, &mut random, now);
            let at = now.duration_since(start).as_secs_f64();
            if now < instance.down {
                continue;
            }
            for _ in 0..(instance.load + random.draw()) as u32 {
                instance.ledger.record_request(now);
                totals.requests.push(at);
                let part = instance.part(now);
                if now < storm
                    && random.chance(troubles.storm)
                    && instance.ledger.reserve(part, now)
                {
                    instance.waiting.push(targets_back.max(now));
                }
            }
            let ready = instance.waiting.iter().filter(|until| now >= **until).count();
            instance.waiting.retain(|until| now < *until);
            for _ in 0..ready {
                if random.chance(0.1) {
                    instance.ledger.release();
                    continue;
                }
                instance.ledger.send(now);
                totals.retries.push(at + MAX_DELAY * random.draw());
            }
        }
    }
    totals
}

/// Guards against the sum that was seen on lernwerk-by-grown: each instance was within its limit.
#[rstest]
#[case::killed(Troubles { kills: 0.005, ..STORM })]
#[case::killed_together(Troubles { herds: 0.01, ..STORM })]
#[case::replaced(Troubles { replacements: 0.001, ..STORM })]
#[case::cut_off(Troubles { cuts: 0.003, ..STORM })]
#[case::expired(Troubles { lapses: 0.002, ..STORM })]
#[case::uneven(Troubles { uneven: true, ..STORM })]
#[case::waiting(Troubles { wait: 9.0, ..STORM })]
#[case::all(Troubles {
    kills: 0.002, herds: 0.004, replacements: 0.0005, cuts: 0.002, lapses: 0.001, wait: 9.0,
    uneven: true, ..STORM
})]
fn retries_of_all_instances_stay_within_the_limits(
    #[case] troubles: Troubles,
    #[values(3, 12, 59)] count: usize,
) {
    let left = |seed| (play(count, troubles, seed).least_left(), seed);
    let least = (1..=6).map(left).min_by(|a, b| a.0.total_cmp(&b.0)).expect("a seed");
    assert!(least.0 >= 0.0, "{:.1} over the limit, seed {}", -least.0, least.1);
}

/// The limits are of use: a fleet that runs sends most of what is allowed.
#[rstest]
#[case::three(3)]
#[case::twelve(12)]
fn most_of_the_limit_can_be_used(#[case] count: usize) {
    let left = play(count, STORM, 1).least_left();
    assert!(left < 0.5 * LIMITS.slack, "{left} never used");
}
