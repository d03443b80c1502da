//! Benchmark of the queue: time and memory per request.
//!
//! `cargo run --release -p mimosapass-core --example queue`

use std::time::Instant;

use mimosapass_core::queue::{LaneConfig, LaneId, Queue, QueuedRequest};

/// Waiting requests in each run.
const WAITING: usize = 20_000;
/// Lanes for twelve models in three classes.
const LANES: usize = 36;

fn main() {
    println!("workspaces  lanes  push ns  ahead ns  grant ns  bytes a request");
    for spaces in [10, 100, 500, 2_200] {
        for lanes in [1, LANES] {
            measure(spaces, lanes);
        }
    }
}

fn measure(spaces: usize, lanes: usize) {
    let start = Instant::now();
    let ids: Vec<LaneId> = (0..lanes)
        .map(|i| LaneId {
            class: format!("c{}", i % 3).into(),
            destination: format!("m{i}").into(),
        })
        .collect();
    let names: Vec<_> = (0..spaces).map(|i| format!("workspace-{i}").into()).collect();
    let waiting = |i: usize| QueuedRequest {
        ticket: i as u64,
        workspace: std::sync::Arc::clone(&names[i % spaces]),
        weight: 1 + (i % 7) as u32,
        cost: 1 + (i * 7919 % 50_000) as u64,
        enqueued_at: start,
    };
    let rules = |i: usize| LaneConfig { priority: (i % 3 * 40) as u8, max_waiting: WAITING };
    let mut queue = Queue::default();
    let before = resident();
    let pushing = Instant::now();
    for i in 0..WAITING {
        queue.push(&ids[i / spaces % lanes], rules(i / spaces % lanes), waiting(i));
    }
    let push = pushing.elapsed();
    let bytes = resident().saturating_sub(before);
    let computing_ahead = Instant::now();
    let ahead: u64 = (0..1_000).map(|i| queue.cost_ahead(&ids[0], 0, &waiting(i))).sum();
    let ahead_time = computing_ahead.elapsed();
    let granting = Instant::now();
    let granted = (0..1_000).filter(|_| queue.grant(|_, _| true).is_some()).count();
    let grant = granting.elapsed();
    assert!(ahead > 0 && granted == 1_000);
    println!(
        "{spaces:10} {lanes:6} {:8} {:9} {:9} {:16}",
        push.as_nanos() / WAITING as u128,
        ahead_time.as_nanos() / 1_000,
        grant.as_nanos() / 1_000,
        bytes / WAITING,
    );
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1024
}
