//! Time and allocations per decision with 67, 200 and 600 targets.

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use mimosapass_core::config::{Config, Pool, TargetKind};
use mimosapass_core::route::{RouteQuery, choose, estimate_ttft};
use mimosapass_core::target_table::{ListedTarget, LoadReport, TargetTable};

/// Decisions that are measured.
const COUNT: u64 = 200_000;
/// Engines in the table; a zone of the largest expected size has 67.
const ENGINES: [u64; 3] = [67, 200, 600];

struct Counting;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn targets(engines: u64, pool: &Pool, now: Instant) -> TargetTable {
    let listed = |i: u64| ListedTarget {
        name: format!("engine-{i:03}").into(),
        kind: TargetKind::Engine,
        zone: "zone".into(),
        addr: format!("127.0.0.1:{i}"),
        labels: BTreeMap::new(),
        leaving: false,
    };
    let mut targets = TargetTable::default();
    let config = Config { pools: vec![pool.clone()], ..Config::default() };
    targets.apply_listing((0..engines).map(listed).collect(), &config);
    for i in 0..engines {
        let prefill = (i * 7919) % 60_000;
        let report = LoadReport {
            boot: 1,
            number: 1,
            prefill,
            bands: [prefill, 0, 0],
            free: 400_000,
            capacity: 450_000,
            speed: 20_000,
            slots: 64,
            ..LoadReport::default()
        };
        targets.record_report(&format!("engine-{i:03}"), report, now);
    }
    targets
}

/// Prints the time and the allocations of one decision.
pub fn print() {
    println!("\n### speed: one decision\n");
    println!("| targets | choose | allocations in {COUNT} | estimate |\n|---|---|---|---|");
    ENGINES.into_iter().for_each(measure);
}

fn measure(engines: u64) {
    let now = Instant::now();
    let pool = Pool { name: "pool".into(), ..Pool::default() };
    let targets = targets(engines, &pool, now);
    let pools = [&pool];
    let query = |seed| RouteQuery {
        pools: &pools,
        zone: "zone",
        tokens: if seed % 50 == 0 { 200_000 } else { 3_000 },
        seed,
        ..RouteQuery::default()
    };
    let (before, start) = (ALLOCATIONS.load(Ordering::Relaxed), Instant::now());
    for seed in 0..COUNT {
        black_box(choose(&targets, &query(seed), now).is_ok());
    }
    let (took, allocated) = (start.elapsed(), ALLOCATIONS.load(Ordering::Relaxed) - before);
    let chosen = took.as_nanos() as u64 / COUNT;
    let start = Instant::now();
    for seed in 0..COUNT {
        black_box(estimate_ttft(&targets, &query(seed), now));
    }
    let estimated = start.elapsed().as_nanos() as u64 / COUNT;
    println!("| {engines} | {chosen} ns | {allocated} | {estimated} ns |");
}
