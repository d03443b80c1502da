//! Detection of engines that decode more slowly than their peers.

use std::time::{Duration, Instant};

use mimosapass_core::edge::slowdown::Slowdowns;
use mimosapass_core::ids::TargetId;

const PASS: Duration = Duration::from_millis(45);

/// Records gaps of one target, in milliseconds.
fn record(slowdowns: &mut Slowdowns, target: &str, gaps: &[u64], now: Instant) {
    let target: TargetId = target.into();
    for gap in gaps {
        slowdowns.record(&target, Duration::from_millis(*gap), PASS, now);
    }
}

fn factor(slowdowns: &Slowdowns, target: &str, now: Instant) -> f64 {
    slowdowns.factor(target, slowdowns.median(now), now)
}

fn peers(now: Instant) -> Slowdowns {
    let mut slowdowns = Slowdowns::default();
    for peer in ["a", "b", "c"] {
        record(&mut slowdowns, peer, &[50, 90, 48, 70], now);
    }
    slowdowns
}

#[test]
fn engine_with_only_long_gaps_is_slow() {
    let now = Instant::now();
    let mut slowdowns = peers(now);
    record(&mut slowdowns, "x", &[225, 300, 230, 240], now);
    let factor = factor(&slowdowns, "x", now);
    assert!((4.0..6.0).contains(&factor), "factor {factor}");
}

#[test]
fn engine_with_prefill_between_passes_is_not_slow() {
    let now = Instant::now();
    let mut slowdowns = peers(now);
    record(&mut slowdowns, "x", &[225, 300, 50, 240], now);
    assert!((factor(&slowdowns, "x", now) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn equally_slow_engines_have_no_slowdown() {
    let now = Instant::now();
    let mut slowdowns = Slowdowns::default();
    for target in ["a", "b", "c"] {
        record(&mut slowdowns, target, &[225, 230, 240, 250], now);
    }
    assert!((factor(&slowdowns, "a", now) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn slow_engine_is_tried_again_after_a_while() {
    let now = Instant::now();
    let mut slowdowns = peers(now);
    record(&mut slowdowns, "x", &[225, 300, 230, 240], now);
    let later = now + Duration::from_secs(4);
    assert!((factor(&slowdowns, "x", later) - 1.0).abs() < f64::EPSILON);
    record(&mut slowdowns, "x", &[50], later);
    assert!((factor(&slowdowns, "x", later) - 1.0).abs() < f64::EPSILON, "old gaps have expired");
}
