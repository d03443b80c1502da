//! The schedule of a run, drawn from its seed.

use std::time::Duration;

use mimosapass_standin::metastore::Fault;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

/// Least and greatest time between two draws.
const GAP_MS: std::ops::Range<u64> = 150..1_600;
/// Least and greatest length of a fault that ends.
const LENGTH_MS: std::ops::Range<u64> = 200..5_000;
/// Time from a restore until the operator and the targets write again.
const RENEW_MS: std::ops::Range<u64> = 200..1_200;

/// Least and greatest time between two draws of what targets do.
const TARGET_GAP_MS: std::ops::Range<u64> = 300..2_400;
/// Least and greatest time for which a target is silent and then goes on.
const SILENCE_MS: std::ops::Range<u64> = 300..2_500;
/// As [`SILENCE_MS`], for silences after which an instance asks another target for a stream.
const LONG_SILENCE_MS: std::ops::Range<u64> = 1_700..2_500;
/// Least and greatest time in which a target begins answers without end.
const ENDLESS_MS: std::ops::Range<u64> = 100..800;
/// Least and greatest time between the limits of targets, and for which one is stated.
const LIMIT_GAP_MS: std::ops::Range<u64> = 1_000..5_000;
const LIMIT_MS: std::ops::Range<u64> = 4_000..12_000;
/// Limits of targets, in requests a second.
const LIMITS: [f64; 4] = [0.5, 1.0, 2.6, 8.0];
/// Least and greatest time between two changes of what the configuration allows, and the share
/// of them that come in a series.
const CHANGE_GAP_MS: std::ops::Range<u64> = 400..4_000;
const SERIES_GAP_MS: std::ops::Range<u64> = 20..400;
const SERIES_RATIO: f64 = 0.4;
/// Makes the draws of changes independent of the others.
const CHANGE_SEED: u64 = 0x6368_616e;
/// Least and greatest time between two losses of links between instances.
const SEVER_GAP_MS: std::ops::Range<u64> = 4_000..12_000;
/// Makes the draws of lost links independent of the others.
const SEVER_SEED: u64 = 0x7365_7665;
/// Makes the draws of limits independent of the others.
const LIMIT_SEED: u64 = 0x6c69_6d69;
/// Makes the draws of what targets do independent of the others.
const TARGET_SEED: u64 = 0x7461_7267;
/// Services of the configuration: calls, and streams.
pub const SERVICES: [&str; 2] = ["desk", "pool"];

/// Where the answers of a silent target stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Point {
    /// Before the first byte.
    Start,
    /// Within the head.
    Head,
    /// Before the first event, or the body of a call.
    First,
    /// Between two events, or before the end of the stream.
    Between,
    /// Within an event.
    Event,
    /// Within the body of a call.
    Body,
    /// At any of these.
    Any,
}

impl Point {
    /// Returns whether an answer at this point stops in a silence at `silent`.
    pub fn is_met_by(self, silent: Self) -> bool {
        silent == Self::Any || silent == self
    }
}

/// The part of an answer that has no end.
#[derive(Clone, Copy, Debug)]
pub enum Place {
    /// The status line.
    Line,
    /// The head.
    Head,
    /// The interim answers.
    Interim,
    /// The body.
    Body,
    /// An event after the first one.
    Event,
    /// The trailer of a body.
    Trailer,
}

/// How many of the targets of a service.
#[derive(Clone, Copy, Debug)]
pub enum Size {
    One,
    Half,
    All,
}

impl Size {
    /// Returns how many of `length` targets it is.
    pub fn of(self, length: usize) -> usize {
        match self {
            Self::One => length.min(1),
            Self::Half => length.div_ceil(2),
            Self::All => length,
        }
    }
}

/// Some of the targets of a service.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    pub service: &'static str,
    /// Number of the first one, in the order of their starts.
    pub first: usize,
    pub size: Size,
}

/// What the other targets of a service do during a silence.
#[derive(Clone, Copy, Debug)]
pub enum Others {
    Serve,
    Refuse,
    Endless(Place),
}

/// Targets fall silent for a time and go on.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    pub share: Share,
    pub point: Point,
    pub time: Duration,
    pub others: Others,
}

/// Targets begin answers without end for a time.
#[derive(Clone, Copy, Debug)]
pub struct Endless {
    pub share: Share,
    pub place: Place,
    pub time: Duration,
}

/// A change of what the configuration allows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Change {
    /// A route moves to another service, or back.
    Reroute,
    /// A route is dropped, or added again.
    Route,
    /// An API key is revoked, or added again.
    Keys,
}

impl Change {
    pub const ALL: [Self; 3] = [Self::Reroute, Self::Route, Self::Keys];
}

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// An instance's calls to the store meet a fault.
    StoreFault(usize, Fault),
    /// All calls to the store meet a fault.
    StoreOutage(Fault),
    /// Connections of an instance to the store pass nothing, or work again.
    Partition(usize, bool),
    /// Open connections of an instance to the store fall silent.
    Silence(usize),
    /// The store drops its history.
    Compact,
    /// A copy of the store is made.
    Copy,
    /// The store comes back from the last copy.
    Restore,
    /// The operator and the targets write again what they had written.
    Renew,
    /// A configuration with another new route.
    Configure,
    /// A configuration that takes away what the last one allowed, or allows it again.
    Change(Change),
    /// A target drains and a new one takes its place.
    Drain(usize),
    /// As `Drain`, but the entry is removed without draining.
    Remove(usize),
    /// As `Drain`, but the target states it in its answers before its entry does.
    Leave(usize),
    /// A target asks each caller for a pause once.
    Pause(usize),
    /// A target states a limit, in requests a second, or none any more.
    Limit(usize, Option<f64>),
    /// Open links of an instance to the others, or of others to it, fall silent.
    Sever(usize),
    /// A process is killed and started again.
    Kill(usize),
    /// A process gets SIGTERM; it is started again when it has ended.
    Stop(usize),
    /// A process is suspended, or goes on.
    Freeze(usize, bool),
    /// Targets fall silent for a time and go on.
    Stall(Stall),
    /// Targets begin answers without end for a time.
    Endless(Endless),
}

/// Draws the events of a run, in the order of their times.
pub fn schedule(seed: u64, length: Duration, instances: usize) -> Vec<(Duration, Event)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = 2_500;
    let end = length.as_millis() as u64;
    while at < end {
        draw(&mut random, at, end, instances, &mut events);
        at += random.random_range(GAP_MS);
    }
    let mut random = StdRng::seed_from_u64(seed ^ TARGET_SEED);
    let mut at = 1_000;
    while at < end {
        events.push((at, draw_targets(&mut random)));
        at += random.random_range(TARGET_GAP_MS);
    }
    let mut random = StdRng::seed_from_u64(seed ^ LIMIT_SEED);
    let mut at = 1_000;
    while at < end {
        let (target, limit) =
            (random.random_range(0..6), LIMITS[random.random_range(0..LIMITS.len())]);
        events.push((at, Event::Limit(target, Some(limit))));
        events.push(((at + random.random_range(LIMIT_MS)).min(end), Event::Limit(target, None)));
        at += random.random_range(LIMIT_GAP_MS);
    }
    let mut random = StdRng::seed_from_u64(seed ^ CHANGE_SEED);
    let mut at = 1_000;
    while at < end {
        events.push((at, Event::Change(Change::ALL[random.random_range(0..Change::ALL.len())])));
        let series = random.random_bool(SERIES_RATIO);
        at += random.random_range(if series { SERIES_GAP_MS } else { CHANGE_GAP_MS });
    }
    let mut random = StdRng::seed_from_u64(seed ^ SEVER_SEED);
    let mut at = random.random_range(SEVER_GAP_MS);
    while at < end {
        let first = random.random_range(0..instances);
        let count = random.random_range(1..=instances);
        let severed = (first..first + count).map(|n| (at, Event::Sever(n % instances)));
        events.extend(severed);
        at += random.random_range(SEVER_GAP_MS);
    }
    events.sort_by_key(|(at, _)| *at);
    events.into_iter().map(|(at, event)| (Duration::from_millis(at), event)).collect()
}

fn draw(
    random: &mut impl Rng,
    at: u64,
    end: u64,
    instances: usize,
    events: &mut Vec<(u64, Event)>,
) {
    let instance = random.random_range(0..instances);
    let until = (at + random.random_range(LENGTH_MS)).min(end);
    let target = random.random_range(0..usize::from(u8::MAX));
    let fault = match random.random_range(0..5) {
        0 => Fault::Reject(503),
        1 => Fault::Reject(429),
        2 => Fault::Hang,
        3 => Fault::DropResponses,
        _ => Fault::Delay(random.random_range(50..240)),
    };
    let mut add = |at, event| events.push((at, event));
    match random.random_range(0..18) {
        0 | 1 => {
            add(at, Event::StoreFault(instance, fault));
            add(until, Event::StoreFault(instance, Fault::None));
        }
        2 => {
            add(at, Event::StoreOutage(fault));
            add(until, Event::StoreOutage(Fault::None));
        }
        3 | 4 => {
            add(at, Event::Partition(instance, true));
            add(until, Event::Partition(instance, false));
        }
        5 => add(at, Event::Silence(instance)),
        6 => add(at, Event::Compact),
        7 => add(at, Event::Copy),
        8 => {
            add(at, Event::Restore);
            add(at + random.random_range(RENEW_MS), Event::Renew);
        }
        9 | 10 => add(at, Event::Configure),
        11 => add(at, Event::Drain(target)),
        12 => add(at, Event::Remove(target)),
        13 => add(at, Event::Leave(target)),
        14 => add(at, Event::Pause(target)),
        15 => add(at, Event::Kill(instance)),
        16 => add(at, Event::Stop(instance)),
        _ => {
            add(at, Event::Freeze(instance, true));
            add(until, Event::Freeze(instance, false));
        }
    }
}

/// Draws what some targets do.
fn draw_targets(random: &mut impl Rng) -> Event {
    let service = SERVICES[random.random_range(0..SERVICES.len())];
    let first = random.random_range(0..usize::from(u8::MAX));
    let size = [Size::One, Size::Half, Size::All][random.random_range(0..3)];
    let share = Share { service, first, size };
    let places =
        [Place::Line, Place::Head, Place::Interim, Place::Body, Place::Event, Place::Trailer];
    let place = places[random.random_range(0..places.len())];
    let own = if service == "pool" { [Point::Between, Point::Event] } else { [Point::Body; 2] };
    let point = match random.random_range(0..7) {
        0 => Point::Start,
        1 => Point::Head,
        2 => Point::First,
        3 => Point::Any,
        n => own[n % own.len()],
    };
    let others = match random.random_range(0..5) {
        0 | 1 => Others::Serve,
        2 | 3 => Others::Refuse,
        _ => Others::Endless(place),
    };
    let range = if random.random() { SILENCE_MS } else { LONG_SILENCE_MS };
    let silence = Duration::from_millis(random.random_range(range));
    let time = Duration::from_millis(random.random_range(ENDLESS_MS));
    if random.random_range(0..5) == 0 {
        Event::Endless(Endless { share, place, time })
    } else {
        Event::Stall(Stall { share, point, time: silence, others })
    }
}
