//! Where calls go, by what they are likely to cost and what targets still have to do.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::history::Kind;
use mimosapass_core::edge::learning::{Learning, Outlay};
use mimosapass_core::edge::route_table::{RouteTable, Service};
use mimosapass_core::edge::schedule::{Requirements, Scheduler};
use mimosapass_core::edge::wait::QueueEntry;

const MS: Duration = Duration::from_millis(1);

fn kind(route: &str, workspace: &str) -> Kind {
    Kind { route: route.into(), workspace: Some(workspace.into()) }
}

fn target(id: &str) -> Target {
    Target {
        id: id.into(),
        service: "desk".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        zone: "a".into(),
        slots: 6,
        draining: false,
        started_ms: 1,
        seq: 1,
        warmup: Duration::ZERO,
    }
}

fn scheduler(learning: Option<Learning>, targets: &[&str]) -> Scheduler {
    let mut scheduler = Scheduler::new("a".into());
    scheduler.learning = learning;
    for id in targets {
        scheduler.fleet.report(target(id));
    }
    scheduler
}

fn outlay(target: &str, kind: &Kind, cost_ms: u32) -> Outlay {
    let cost = f64::from(cost_ms) / 1000.0;
    Outlay { target: target.into(), kind: kind.clone(), cost, stated: None }
}

fn call(kind: &Kind, now: Instant) -> Requirements {
    Requirements {
        service: "desk".into(),
        engine: None,
        prompt: 0,
        answer: 0,
        max_gap: MS * 200,
        long: false,
        whole: false,
        kind: kind.clone(),
        stated: None,
        max_answer: 0,
        call_time: Duration::from_millis(60),
        entry: QueueEntry {
            arrived: now,
            due: now + MS * 400,
            expires: now + MS * 4_000,
            value: 1.0,
            work: MS * 60,
            min_work: MS * 60,
            priority: 1,
        },
        avoid: Vec::new(),
    }
}

/// Sends calls one after the other; returns where each went.
fn send(scheduler: &mut Scheduler, calls: &[&Kind], now: Instant) -> Vec<String> {
    let desk = Service {
        name: "desk".into(),
        health_path: "/".to_owned(),
        max_connections: 10,
        engine: None,
    };
    let table = RouteTable::new(1, Vec::new(), vec![desk]);
    let mut places = Vec::new();
    for (id, kind) in (0..).zip(calls) {
        scheduler.enqueue(id, call(kind, now));
        let grants = scheduler.dispatch(&table, now);
        places.extend(grants.iter().map(|g| g.placement.target.id.to_string()));
    }
    places
}

/// Returns what is learned when exports take 900 ms, and reads 20 ms.
fn learned() -> Learning {
    let (mut learning, now) = (Learning::default(), Instant::now());
    for _ in 0..20 {
        learning.record(&outlay("x", &kind("call", "exports"), 900), false, now);
        learning.record(&outlay("x", &kind("call", "reads"), 20), false, now);
    }
    learning
}

/// Guards against short calls that go where long ones run: by their number both targets are alike.
#[test]
fn short_calls_avoid_a_target_with_long_ones() {
    let (exports, reads) = (kind("call", "exports"), kind("call", "reads"));
    let calls = [&exports, &reads, &reads, &reads, &reads];
    let mut by_number = scheduler(None, &["i-0", "i-1"]);
    let places = send(&mut by_number, &calls, Instant::now());
    assert!(places[1..].iter().filter(|p| **p == places[0]).count() >= 2, "{places:?}");
    let mut by_cost = scheduler(Some(learned()), &["i-0", "i-1"]);
    let places = send(&mut by_cost, &calls, Instant::now());
    assert!(places[1..].iter().all(|p| *p != places[0]), "{places:?}");
}

/// Guards against servers of one service that differ in speed and get equal shares.
#[test]
fn faster_targets_get_more_calls() {
    let (mut learning, now) = (Learning::default(), Instant::now());
    let reads = kind("call", "reads");
    for _ in 0..20 {
        for (target, ms) in [("i-0", 30), ("i-1", 30), ("i-2", 90)] {
            learning.record(&outlay(target, &reads, ms), false, now);
        }
    }
    let mut scheduler = scheduler(Some(learning), &["i-0", "i-1", "i-2"]);
    let places = send(&mut scheduler, &[&reads; 8], now);
    let slow = places.iter().filter(|p| *p == "i-2").count();
    assert!(slow <= 2, "{places:?}");
}

/// Guards against calls that are expected to end and do not.
#[test]
fn call_that_takes_longer_than_expected_still_counts() {
    let reads = kind("call", "reads");
    let mut scheduler = scheduler(Some(learned()), &["i-0", "i-1"]);
    let now = Instant::now();
    let first = send(&mut scheduler, &[&reads], now);
    scheduler.enqueue(9, call(&reads, now + MS * 500));
    let left = scheduler.load.remaining_work(&first[0], 1.0, now + MS * 500);
    assert!(left >= MS * 5, "{left:?}");
}

#[test]
fn without_learning_a_call_is_taken_for_what_it_was_before() {
    let reads = kind("call", "reads");
    let mut scheduler = scheduler(None, &["i-0"]);
    let now = Instant::now();
    scheduler.record_outlay(&outlay("i-0", &reads, 900), false, now);
    scheduler.enqueue(1, call(&reads, now));
    let waiting = scheduler.dequeue(1).expect("it waits");
    assert_eq!(waiting.entry.work, MS * 60);
}

/// Guards against times from a peer that are too long for a duration.
#[test]
fn cost_beyond_all_bounds_is_ignored() {
    let (mut learning, now) = (Learning::default(), Instant::now());
    let reads = kind("call", "reads");
    for _ in 0..20 {
        let outlay = Outlay { cost: 1.8e19, ..outlay("i-0", &reads, 1) };
        learning.record(&outlay, false, now);
    }
    let mut scheduler = scheduler(Some(learning), &["i-0"]);
    assert_eq!(send(&mut scheduler, &[&reads, &reads], now).len(), 2);
}

/// Guards against answers without an estimate that are all taken for half the largest length.
#[test]
fn answer_without_an_estimate_is_as_long_as_those_of_its_workspace() {
    let (mut learning, now) = (Learning::default(), Instant::now());
    let chat = kind("chat", "a");
    for _ in 0..40 {
        let outlay = Outlay { cost: 300.0, ..outlay("i-0", &chat, 1) };
        learning.record(&outlay, true, now);
    }
    let mut request = Requirements {
        engine: Some(mimosapass_core::edge::cost::Engine {
            slots: 16,
            memory_tokens: 450_000,
            step_ms: 0.9,
            request_ms: 0.005,
            context_ms: 0.002_5,
            tokens_per_ms: 256.0,
            pairs_ms: 0.09,
            chunk: 2_048,
            stride: 46,
            hop_ms: 0.1,
            mean_prompt: 13_000.0,
            mean_answer: 1_500.0,
        }),
        answer: 2_000,
        max_answer: 4_000,
        ..call(&chat, now)
    };
    learning.estimate(&mut request, now);
    assert!((250..=400).contains(&request.answer), "{}", request.answer);
    let route: Arc<str> = "other".into();
    let mut unknown = Requirements { kind: Kind { route, workspace: None }, ..request.clone() };
    unknown.answer = 2_000;
    learning.estimate(&mut unknown, now);
    assert_eq!(unknown.answer, 2_000, "nothing is known of its route");
}
