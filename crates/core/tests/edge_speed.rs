//! How fast targets work against their peers.

use std::time::{Duration, Instant};

use mimosapass_core::edge::speed::Speeds;
use mimosapass_core::ids::TargetId;

const MS: Duration = Duration::from_millis(1);

fn ids() -> Vec<TargetId> {
    (0..6).map(|n| TargetId::from(format!("i-{n}"))).collect()
}

/// Records ten samples of each target; one in `factors` takes that much longer.
fn seen(factors: &[f64], now: Instant) -> Speeds {
    let mut speeds = Speeds::default();
    for (id, factor) in ids().iter().zip(factors) {
        for n in 0..10_u32 {
            let noise = [0.9, 1.0, 1.1][n as usize % 3];
            speeds.record(id, (MS * 50).mul_f64(factor * noise), MS * 50, now);
        }
    }
    speeds
}

fn factor(speeds: &Speeds, index: usize, now: Instant) -> f64 {
    let ids = ids();
    speeds.factor(&ids[index], speeds.median(ids.iter(), now), now)
}

/// Generates a test from how much longer each target takes, and the factors that are found.
macro_rules! factors {
    ($($name:ident: $factors:expr => $expected:expr;)+) => {
        $(#[test]
        fn $name() {
            let now = Instant::now();
            let speeds = seen(&$factors, now);
            for (index, expected) in $expected.into_iter().enumerate() {
                let found: f64 = factor(&speeds, index, now);
                assert!((found - expected).abs() < 0.1, "target {index}: {found}, not {expected}");
            }
        })+
    };
}

factors! {
    all_alike: [1.0, 1.0, 1.0, 1.0, 1.0, 1.0] => [1.0; 6];
    slower_by_less_than_half: [1.0, 1.0, 1.4, 1.0, 1.0, 1.0] => [1.0, 1.0, 1.4, 1.0, 1.0, 1.0];
    faster: [1.0, 0.7, 1.0, 1.0, 1.0, 1.0] => [1.0, 0.7, 1.0, 1.0, 1.0, 1.0];
    predictions_are_off_for_all: [1.6, 1.6, 1.6, 2.4, 1.6, 1.6] => [1.0, 1.0, 1.0, 1.5, 1.0, 1.0];
    differences_within_the_spread: [1.0, 1.05, 0.95, 1.0, 1.0, 1.0] => [1.0; 6];
    nothing_was_seen: [] => [1.0; 6];
}

#[test]
fn few_samples_count_for_nothing() {
    let (now, id) = (Instant::now(), TargetId::from("i-0"));
    let mut speeds = Speeds::default();
    (0..5).for_each(|_| speeds.record(&id, MS * 500, MS * 50, now));
    assert!((factor(&speeds, 0, now) - 1.0).abs() < 0.01);
}

/// Guards against a slow target that is never tried again.
#[test]
fn target_that_sends_nothing_counts_as_its_peers() {
    let now = Instant::now();
    let speeds = seen(&[4.0, 1.0, 1.0], now);
    assert!(factor(&speeds, 0, now) > 3.0);
    assert!((factor(&speeds, 0, now + MS * 8_500) - 1.0).abs() < 0.01);
}

#[test]
fn target_that_has_restarted_starts_anew() {
    let now = Instant::now();
    let mut speeds = seen(&[4.0, 1.0, 1.0], now);
    speeds.forget("i-0");
    assert!((factor(&speeds, 0, now) - 1.0).abs() < 0.01);
}
