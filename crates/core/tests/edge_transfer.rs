//! How long an answer may take to arrive.

use std::time::Duration;

use mimosapass_core::edge::transfer::time_limit;

const BASE: Duration = Duration::from_millis(700);

/// Returns when an answer of `size` bytes that arrives at `rate` bytes a second is complete or
/// given up, and whether it is complete.
fn receive(size: usize, rate: usize) -> (Duration, bool) {
    let mut elapsed = Duration::ZERO;
    for received in (0..=size).step_by(1_000) {
        elapsed = Duration::from_secs(1).mul_f64(received as f64 / rate as f64);
        if elapsed > time_limit(BASE, received) {
            return (elapsed, false);
        }
    }
    (elapsed, true)
}

#[test]
fn answer_that_arrives_at_a_tenth_of_a_small_machines_link_is_complete() {
    assert_eq!(
        receive(1_400_000, 270_000),
        (Duration::from_secs_f64(1_400_000.0 / 270_000.0), true)
    );
}

#[test]
fn answer_that_drips_is_given_up_within_a_second_more() {
    let (elapsed, complete) = receive(1_400_000, 20_000);
    assert!(!complete);
    assert!(elapsed < BASE + Duration::from_secs(1), "{elapsed:?}");
}
