//! Prediction of an engine's state from the requests in flight.

use std::time::{Duration, Instant};

use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::load::{Assignment, Load, Pressure};
use mimosapass_core::ids::{InstanceId, TargetId};

fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 450_000,
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

fn assignment(prompt: u64, sent_at: Instant) -> Assignment {
    Assignment {
        prompt,
        parts: 1,
        answering: true,
        memory_tokens: prompt,
        answer: 0,
        max_gap: Duration::from_millis(200),
        value: 1.0,
        work: Duration::ZERO,
        sent_at,
        decoding_since: None,
    }
}

fn target() -> TargetId {
    "x".into()
}

/// A prompt of 40,000 tokens takes 200 ms, and 20 steps of 1 ms.
const PREFILL_MS: u64 = 220;

#[test]
fn prompts_in_flight_add_up() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    for id in 0..3 {
        load.begin(&target(), id, assignment(40_000, now), Some(&engine));
    }
    let prediction = load.predict("x", Some(&engine), now);
    assert_eq!(prediction.prefill_time, Duration::from_millis(3 * PREFILL_MS));
    assert_eq!(
        (prediction.requests, prediction.prefilling, prediction.memory_tokens),
        (3, 3, 120_000)
    );
}

/// Guards against treating an engine as idle that has a prompt left: in trace quiet-1 of
/// atlas-loc, it processed the newest prompt first and had only finished that one.
#[test]
fn prompt_that_is_done_first_delays_the_others() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    load.begin(&target(), 1, assignment(40_000, now), Some(&engine));
    load.begin(&target(), 2, assignment(40_000, now), Some(&engine));
    let later = now + Duration::from_millis(PREFILL_MS);
    load.first_event("x", 2, later);
    let prediction = load.predict("x", Some(&engine), later);
    assert_eq!(prediction.prefill_time, Duration::from_millis(PREFILL_MS));
    assert_eq!((prediction.prefilling, prediction.decoding), (1, 1));
}

#[test]
fn engine_without_prefill_has_no_backlog() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    load.begin(&target(), 1, assignment(40_000, now), Some(&engine));
    load.first_event("x", 1, now);
    assert_eq!(load.predict("x", Some(&engine), now).prefill_time, Duration::ZERO);
    load.end("x", 1);
    assert_eq!(load.predict("x", Some(&engine), now).requests, 0);
}

#[test]
fn overdue_prompt_still_takes_a_pass() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    load.begin(&target(), 1, assignment(40_000, now), Some(&engine));
    let late = now + Duration::from_secs(5);
    assert_eq!(load.predict("x", Some(&engine), late).prefill_time, engine.pass_time(0, 0));
}

#[test]
fn requests_of_a_peer_are_replaced_and_removed() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    let peer = InstanceId::from("peer");
    load.begin(&target(), 1, assignment(1, now), Some(&engine));
    let told = vec![(1, assignment(40_000, now)), (2, assignment(40_000, now))];
    load.replace(&peer, &target(), told, Some(&engine));
    assert_eq!(load.predict("x", Some(&engine), now).requests, 3);
    load.replace(&peer, &target(), vec![(2, assignment(40_000, now))], Some(&engine));
    assert_eq!(load.predict("x", Some(&engine), now).requests, 2);
    load.retain_peer_targets("peer", &["x"]);
    assert_eq!(load.predict("x", Some(&engine), now).requests, 2, "the target is named");
    load.forget_peer("peer");
    assert_eq!(load.predict("x", Some(&engine), now).requests, 1, "its own request is kept");
}

#[test]
fn request_that_a_peer_repeats_is_counted_once() {
    let (mut load, now, engine) = (Load::default(), Instant::now(), engine());
    let peer = InstanceId::from("peer");
    for _ in 0..3 {
        load.replace(&peer, &target(), vec![(1, assignment(40_000, now))], Some(&engine));
    }
    let prediction = load.predict("x", Some(&engine), now);
    assert_eq!(prediction.prefill_time, Duration::from_millis(PREFILL_MS));
}

#[test]
fn pressure_follows_a_lasting_backlog() {
    let (mut pressure, now) = (Pressure::default(), Instant::now());
    pressure.observe(0.0, now);
    pressure.observe(1.0, now + Duration::from_millis(25));
    assert!(pressure.mean() < 0.05, "one sample changes the mean by {}", pressure.mean());
    for i in 2..400 {
        pressure.observe(1.0, now + Duration::from_millis(25) * i);
    }
    assert!(pressure.mean() > 0.95, "mean after ten seconds: {}", pressure.mean());
}
