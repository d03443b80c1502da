//! Engines that write more slowly than their peers.

use std::time::{Duration, Instant};

use mimosapass_core::edge::slowdown::Slowdowns;
use mimosapass_core::ids::TargetId;

const PASS: Duration = Duration::from_millis(45);

/// Notes pauses of one target, in milliseconds.
fn note(paces: &mut Slowdowns, target: &str, pauses: &[u64], now: Instant) {
    let target: TargetId = target.into();
    for pause in pauses {
        paces.record(&target, Duration::from_millis(*pause), PASS, now);
    }
}

fn factor(paces: &Slowdowns, target: &str, now: Instant) -> f64 {
    paces.factor(target, paces.median(now), now)
}

fn peers(now: Instant) -> Slowdowns {
    let mut paces = Slowdowns::default();
    for peer in ["a", "b", "c"] {
        note(&mut paces, peer, &[50, 90, 48, 70], now);
    }
    paces
}

#[test]
fn engine_whose_every_pause_is_long_is_slow() {
    let now = Instant::now();
    let mut paces = peers(now);
    note(&mut paces, "x", &[225, 300, 230, 240], now);
    let factor = factor(&paces, "x", now);
    assert!((4.0..6.0).contains(&factor), "factor {factor}");
}

#[test]
fn engine_that_reads_between_its_passes_is_not_slow() {
    let now = Instant::now();
    let mut paces = peers(now);
    note(&mut paces, "x", &[225, 300, 50, 240], now);
    assert!((factor(&paces, "x", now) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn engines_that_are_all_slow_are_as_good_as_each_other() {
    let now = Instant::now();
    let mut paces = Slowdowns::default();
    for target in ["a", "b", "c"] {
        note(&mut paces, target, &[225, 230, 240, 250], now);
    }
    assert!((factor(&paces, "a", now) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn slow_engine_is_tried_again_after_a_while() {
    let now = Instant::now();
    let mut paces = peers(now);
    note(&mut paces, "x", &[225, 300, 230, 240], now);
    let later = now + Duration::from_secs(4);
    assert!((factor(&paces, "x", later) - 1.0).abs() < f64::EPSILON);
    note(&mut paces, "x", &[50], later);
    assert!((factor(&paces, "x", later) - 1.0).abs() < f64::EPSILON, "old pauses are forgotten");
}
