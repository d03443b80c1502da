//! Failing targets are excluded for a while.

use std::time::{Duration, Instant};

use mimosapass_core::edge::outcomes::{Outcome, Outcomes};

#[test]
fn silent_target_is_excluded_for_a_pause() {
    let (mut outcomes, now) = (Outcomes::default(), Instant::now());
    let id = "x".into();
    let pause = outcomes.record(&id, Outcome::Silent, 0.0, now).expect("a pause");
    assert!(outcomes.is_avoided("x", now) && !outcomes.is_avoided("x", now + pause));
    let longer = outcomes.record(&id, Outcome::Silent, 0.0, now + pause).expect("a pause");
    assert!(longer > pause, "it doubles");
}

#[test]
fn target_that_fails_no_more_than_its_peers_is_kept() {
    let (mut outcomes, now) = (Outcomes::default(), Instant::now());
    for i in 0..100 {
        let outcome = if i % 7 == 0 { Outcome::Failed } else { Outcome::Answered };
        assert_eq!(outcomes.record(&"x".into(), outcome, 0.14, now), None);
    }
}

#[test]
fn failing_target_is_excluded() {
    let (mut outcomes, now) = (Outcomes::default(), Instant::now());
    let avoided =
        (0..10).any(|_| outcomes.record(&"x".into(), Outcome::Failed, 0.0, now).is_some());
    assert!(avoided);
}

#[test]
fn refusal_does_not_count_as_a_failure() {
    let (mut outcomes, now) = (Outcomes::default(), Instant::now());
    assert_eq!(outcomes.record(&"x".into(), Outcome::Refused, 0.0, now), None);
    assert!(!outcomes.is_avoided("x", now));
}

/// Guards against a sound target that is avoided after it went on: each run that its silence
/// met doubled the pause, and its answers did not end it.
#[test]
fn silence_counts_once_and_ends_with_an_answer() {
    let (mut outcomes, now) = (Outcomes::default(), Instant::now());
    let pauses = [0; 4].map(|_| outcomes.record(&"x".into(), Outcome::Silent, 0.0, now));
    assert!(pauses[0].is_some_and(|pause| outcomes.is_avoided("x", now + pause / 2)));
    assert_eq!(pauses[1..], [None; 3]);
    outcomes.record(&"x".into(), Outcome::Answered, 0.0, now + Duration::from_millis(100));
    assert!(!outcomes.is_avoided("x", now + Duration::from_millis(100)));
}

/// A target that fails much more than its peers is not used again after one answer.
#[test]
fn answer_does_not_end_the_pause_of_a_failing_target() {
    let (mut outcomes, now) = (Outcomes::default(), Instant::now());
    for _ in 0..10 {
        outcomes.record(&"x".into(), Outcome::Failed, 0.0, now);
    }
    outcomes.record(&"x".into(), Outcome::Answered, 0.0, now);
    assert!(outcomes.is_avoided("x", now));
}
