//! A seeded soak: gateways as processes under faults that come in series and overlap, while
//! callers and targets check the promises.
//!
//! `SOAK_SEED`, `SOAK_SECONDS` and `SOAK_INSTANCES` choose the schedule, its length and the
//! size of the fleet; the same ones give the same schedule. A failed run prints the seed, the schedule and what was broken, and keeps the
//! logs of all gateways in one folder.

mod allowed;
mod bounds;
mod callers;
mod plan;
mod promises;
mod script;
mod targets;
mod world;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use plan::{Event, schedule};
use promises::Promises;
use world::World;

/// Callers of each instance.
const CALLERS: usize = 6;
/// Time without faults at the end, in which all instances have to recover.
const CALM: Duration = Duration::from_secs(6);
/// Seed, seconds and instances of a run that sets none. Three instances watch the store, and
/// the others follow them.
const DEFAULTS: (u64, u64, u64) = (1, 40, 5);

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |v| v.parse().unwrap_or_else(|e| panic!("{name}: {e}")))
}

#[test]
fn promises_hold_under_overlapping_faults() {
    let seed = setting("SOAK_SEED", DEFAULTS.0);
    let length = Duration::from_secs(setting("SOAK_SECONDS", DEFAULTS.1));
    let instances = setting("SOAK_INSTANCES", DEFAULTS.2) as usize;
    let events = schedule(seed, length.saturating_sub(CALM), instances);
    let promises = Arc::new(Promises::new(instances));
    let mut world = World::start(&promises, instances);
    let callers = callers::start(&world, &promises, CALLERS);
    let begin = Instant::now();
    for (at, event) in &events {
        std::thread::sleep((begin + *at).saturating_duration_since(Instant::now()));
        world.apply(event);
    }
    std::thread::sleep((begin + length).saturating_duration_since(Instant::now()));
    world.check_recovered();
    promises.stopped.store(true, Ordering::SeqCst);
    let answers: usize = callers.into_iter().map(|c| c.join().expect("no panic")).sum();
    let broken = promises.broken();
    let faults = events.iter().filter(|(_, e)| !matches!(e, Event::Renew)).count();
    println!(
        "soak: seed {seed}, {faults} events, {answers} answers, {}, {} KiB, {} broken",
        promises.counts(),
        world.memory,
        broken.len()
    );
    if !broken.is_empty() || answers == 0 {
        let folder = world.keep_logs(seed, &events, &broken);
        panic!(
            "seed {seed}: {} broken, logs in {}:\n{}",
            broken.len(),
            folder.display(),
            broken.iter().take(20).cloned().collect::<Vec<_>>().join("\n")
        );
    }
}
