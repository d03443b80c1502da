//! Limits that targets state in their answers.

use std::time::{Duration, Instant};

use mimosapass_core::edge::limits::{Limits, Statement};
use mimosapass_core::ids::TargetId;

const SECOND: Duration = Duration::from_secs(1);

fn target() -> TargetId {
    "x".into()
}

#[test]
fn limit_is_learned_changed_and_ended() {
    let (mut limits, now) = (Limits::default(), Instant::now());
    assert_eq!(limits.state(&target(), None, now, now), Statement::Known);
    assert_eq!(limits.state(&target(), Some(2.6), now, now), Statement::Limited(2.6));
    assert_eq!(limits.state(&target(), Some(2.6), now, now), Statement::Known);
    assert_eq!(limits.state(&target(), Some(1.0), now, now), Statement::Limited(1.0));
    assert_eq!((limits.rate("x"), limits.count()), (Some(1.0), 1));
    let later = now + SECOND;
    assert_eq!(limits.state(&target(), None, later, later), Statement::Ended);
    assert_eq!(limits.rate("x"), None);
}

#[test]
fn answer_to_an_earlier_request_does_not_end_a_limit() {
    let (mut limits, sent) = (Limits::default(), Instant::now());
    let learned = sent + SECOND;
    limits.state(&target(), Some(2.0), sent, learned);
    assert_eq!(limits.state(&target(), None, sent, learned + SECOND), Statement::Known);
    assert_eq!(limits.rate("x"), Some(2.0));
}

#[test]
fn limit_ends_with_its_target() {
    let (mut limits, now) = (Limits::default(), Instant::now());
    limits.state(&target(), Some(2.0), now, now);
    limits.forget("x");
    assert_eq!(limits.rate("x"), None);
}
