//! Retries of all instances stay within the operator's limits, and failing targets are
//! excluded.

use std::time::{Duration, Instant};

use mimosapass_core::edge::outcomes::{Outcome, Outcomes};
use mimosapass_core::edge::retry::{RetryLimits, RetryWindow};
use proptest::prelude::*;

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };

proptest! {
    /// In any window all instances together stay within the limits.
    #[test]
    fn all_instances_stay_within_the_limits(
        instances in 1_usize..20,
        gaps in proptest::collection::vec(0_u64..400, 1..400),
    ) {
        let begin = Instant::now();
        let mut retries = RetryWindow::default();
        let (mut asked, mut taken) = (Vec::new(), Vec::new());
        let mut now = begin;
        for (i, gap) in gaps.iter().enumerate() {
            now += Duration::from_millis(*gap);
            if i % 3 == 0 {
                retries.record_request(now);
                asked.push(now);
            } else if retries.try_retry(&LIMITS, instances, now) {
                taken.push(now);
            }
            let within = |at: &&Instant| now.duration_since(**at) <= LIMITS.window;
            let used = taken.iter().filter(within).count() as f64;
            let own = asked.iter().filter(within).count() as f64 * LIMITS.ratio;
            prop_assert!(used <= LIMITS.slack / instances as f64 + own + 1.0);
        }
    }
}

#[test]
fn retries_are_available_again_after_the_window() {
    let (mut retries, now) = (RetryWindow::default(), Instant::now());
    let taken = (0..200).filter(|_| retries.try_retry(&LIMITS, 1, now)).count();
    assert!(taken < 100, "{taken} at once");
    let later = now + LIMITS.window + Duration::from_millis(1);
    assert!(retries.try_retry(&LIMITS, 1, later));
}

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

/// A backup that found no target does not count against the limits.
#[test]
fn retry_that_is_given_back_can_be_used_again() {
    let limits = RetryLimits { ratio: 0.0, slack: 2.0, ..LIMITS };
    let (mut window, now) = (RetryWindow::default(), Instant::now());
    let mut taken = || window.try_retry(&limits, 1, now);
    assert_eq!([taken(), taken(), taken()], [true, true, false]);
    window.give_back(now);
    assert!(window.try_retry(&limits, 1, now));
    assert!(!window.try_retry(&limits, 1, now));
}

/// Guards against more retries than the limits allow: a later retry of another request was
/// taken out in place of the one given back.
#[test]
fn retry_that_is_given_back_is_not_that_of_another_request() {
    let limits = RetryLimits { ratio: 0.0, slack: 3.0, window: Duration::from_secs(10) };
    let (mut window, start) = (RetryWindow::default(), Instant::now());
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert!(window.try_retry(&limits, 1, at(0)));
    assert!(window.try_retry(&limits, 1, at(1_000)));
    window.give_back(at(0));
    let later = (1_100..=11_000).step_by(100);
    let sent = later.filter(|ms| window.try_retry(&limits, 1, at(*ms))).count();
    assert!(sent < 3, "{sent} besides the one at a second");
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
