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
    /// A target drains and a new one takes its place.
    Drain(usize),
    /// As `Drain`, but the entry is removed without draining.
    Remove(usize),
    /// As `Drain`, but the target states it in its answers before its entry does.
    Leave(usize),
    /// A target asks each caller for a pause once.
    Pause(usize),
    /// A process is killed and started again.
    Kill(usize),
    /// A process gets SIGTERM; it is started again when it has ended.
    Stop(usize),
    /// A process is suspended, or goes on.
    Freeze(usize, bool),
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
