//! What is predicted of engines from the requests in flight.

use std::time::{Duration, Instant};

use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::load::{Assignment, Load, Pressure};
use mimosapass_core::ids::{InstanceId, TargetId};

fn engine() -> Engine {
    Engine {
        slots: 16,
        memory: 450_000,
        step_ms: 1.0,
        request_ms: 0.0,
        context_ms: 0.0,
        tokens_per_ms: 200.0,
        pairs_ms: 0.0,
        chunk: 2_000,
        stride: 40,
        hop_ms: 0.0,
        mean_prompt: 10_000.0,
        mean_answer: 1_000.0,
    }
}

fn work(prompt: u64, sent: Instant) -> Assignment {
    Assignment {
        prompt,
        parts: 1,
        answering: true,
        memory: prompt,
        answer: 0,
        max_gap: Duration::from_millis(200),
        value: 1.0,
        sent_at: sent,
        decoding_since: None,
    }
}

fn target() -> TargetId {
    "x".into()
}

/// A prompt of 40,000 tokens takes 200 ms, and 20 steps of 1 ms.
const READ_MS: u64 = 220;

#[test]
fn prompts_in_flight_add_up() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    for id in 0..3 {
        load.begin(&target(), id, work(40_000, now), Some(&engine));
    }
    let outlook = load.predict("x", Some(&engine), now);
    assert_eq!(outlook.prefill_time, Duration::from_millis(3 * READ_MS));
    assert_eq!((outlook.requests, outlook.prefilling, outlook.memory_tokens), (3, 3, 120_000));
}

/// Trace: quiet-1 of atlas-loc. An engine that reads the newest prompt first had
/// finished a later one and was taken for idle while the first was unread.
#[test]
fn prompt_that_is_done_first_took_its_time_from_the_others() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    load.begin(&target(), 1, work(40_000, now), Some(&engine));
    load.begin(&target(), 2, work(40_000, now), Some(&engine));
    let later = now + Duration::from_millis(READ_MS);
    load.first_event("x", 2, later);
    let outlook = load.predict("x", Some(&engine), later);
    assert_eq!(outlook.prefill_time, Duration::from_millis(READ_MS));
    assert_eq!((outlook.prefilling, outlook.decoding), (1, 1));
}

#[test]
fn engine_with_nothing_to_read_has_no_backlog() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    load.begin(&target(), 1, work(40_000, now), Some(&engine));
    load.first_event("x", 1, now);
    assert_eq!(load.predict("x", Some(&engine), now).prefill_time, Duration::ZERO);
    load.end("x", 1);
    assert_eq!(load.predict("x", Some(&engine), now).requests, 0);
}

#[test]
fn overdue_prompt_still_takes_a_pass() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    load.begin(&target(), 1, work(40_000, now), Some(&engine));
    let late = now + Duration::from_secs(5);
    assert_eq!(load.predict("x", Some(&engine), late).prefill_time, engine.pass_time(0, 0));
}

#[test]
fn peers_are_replaced_and_forgotten() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    let peer = InstanceId::from("peer");
    load.begin(&target(), 1, work(1, now), Some(&engine));
    let told = vec![(1, work(40_000, now)), (2, work(40_000, now))];
    load.replace(&peer, &target(), told, Some(&engine));
    assert_eq!(load.predict("x", Some(&engine), now).requests, 3);
    load.replace(&peer, &target(), vec![(2, work(40_000, now))], Some(&engine));
    assert_eq!(load.predict("x", Some(&engine), now).requests, 2);
    load.retain_peer_targets("peer", &["x"]);
    assert_eq!(load.predict("x", Some(&engine), now).requests, 2, "the target is named");
    load.forget_peer("peer");
    assert_eq!(load.predict("x", Some(&engine), now).requests, 1, "its own is kept");
}

#[test]
fn work_that_a_peer_tells_again_is_not_counted_again() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    let peer = InstanceId::from("peer");
    for _ in 0..3 {
        load.replace(&peer, &target(), vec![(1, work(40_000, now))], Some(&engine));
    }
    let outlook = load.predict("x", Some(&engine), now);
    assert_eq!(outlook.prefill_time, Duration::from_millis(READ_MS));
}

#[test]
fn pressure_follows_what_lasts() {
    let (mut pressure, now) = (Pressure::default(), Instant::now());
    pressure.observe(0.0, now);
    pressure.observe(1.0, now + Duration::from_millis(25));
    assert!(pressure.mean() < 0.05, "one look says little: {}", pressure.mean());
    for i in 2..400 {
        pressure.observe(1.0, now + Duration::from_millis(25) * i);
    }
    assert!(pressure.mean() > 0.95, "ten seconds say much: {}", pressure.mean());
}
