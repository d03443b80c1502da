//! Targets that do not help with the prompts of others.

use std::time::{Duration, Instant};

use mimosapass_core::edge::helpers::Helpers;
use mimosapass_core::ids::TargetId;

const MS: Duration = Duration::from_millis(1);

fn paused(helpers: &Helpers, now: Instant) -> usize {
    helpers.paused(now).count()
}

#[test]
fn pauses_grow_while_refusals_go_on() {
    let (mut helpers, mut now, id) = (Helpers::default(), Instant::now(), TargetId::from("i-0"));
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let pause = helpers.refused(&id, now).expect("a pause begins");
        assert_eq!(paused(&helpers, now + pause.saturating_sub(MS)), 1);
        assert_eq!(paused(&helpers, now + pause), 0);
        pauses.push(pause.as_secs());
        now += pause;
    }
    assert_eq!(pauses, [1, 2, 4, 8, 8]);
}

#[test]
fn refusals_at_once_count_once() {
    let (mut helpers, now, id) = (Helpers::default(), Instant::now(), TargetId::from("i-0"));
    assert!(helpers.refused(&id, now).is_some());
    assert!(helpers.refused(&id, now + MS * 20).is_none());
    assert_eq!(paused(&helpers, now + MS * 1_000), 0);
}

#[test]
fn refusal_long_after_the_last_one_is_a_first_one() {
    let (mut helpers, now, id) = (Helpers::default(), Instant::now(), TargetId::from("i-0"));
    helpers.refused(&id, now);
    assert_eq!(helpers.refused(&id, now + MS * 20_000), Some(MS * 1_000));
}

/// Guards against pauses that never end since instances tell each other of them.
#[test]
fn what_peers_repeat_ends() {
    let (mut helpers, mut now, id) = (Helpers::default(), Instant::now(), TargetId::from("i-0"));
    helpers.refused(&id, now);
    for _ in 0..100 {
        let left = helpers.paused(now).map(|(_, left)| left).next().unwrap_or_default();
        now += MS * 20;
        // It comes back 20 ms later.
        assert!(!helpers.learn(&id, left, now));
    }
    assert_eq!(paused(&helpers, now), 0);
}

#[test]
fn statement_of_a_peer_is_bounded() {
    let (mut helpers, now, id) = (Helpers::default(), Instant::now(), TargetId::from("i-0"));
    assert!(helpers.learn(&id, Duration::from_secs(9_999), now));
    assert_eq!(paused(&helpers, now + MS * 8_001), 0);
    assert!(
        !helpers.learn(&TargetId::from("i-1"), Duration::ZERO, now) || paused(&helpers, now) == 1
    );
}

#[test]
fn target_that_starts_again_may_help() {
    let (mut helpers, now, id) = (Helpers::default(), Instant::now(), TargetId::from("i-0"));
    helpers.refused(&id, now);
    helpers.forget(&id);
    assert_eq!(paused(&helpers, now), 0);
}
