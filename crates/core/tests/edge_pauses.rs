//! Pauses that targets ask for, and the requests after them.

use std::time::{Duration, Instant};

use mimosapass_core::edge::pauses::{MAX_PAUSE, Pauses};
use mimosapass_core::ids::TargetId;

const PAUSE: Duration = Duration::from_secs(3);

fn target() -> TargetId {
    "x".into()
}

/// Sends as many requests as are admitted at `now`, and returns their number.
fn send_all(pauses: &mut Pauses, now: Instant) -> u32 {
    let mut sent = 0;
    while pauses.admits("x", now) && sent < 100 {
        pauses.record_request("x", now);
        sent += 1;
    }
    sent
}

#[test]
fn nothing_is_sent_within_a_pause() {
    let (mut pauses, now) = (Pauses::default(), Instant::now());
    assert_eq!(pauses.begin(&target(), PAUSE, now), Some(PAUSE));
    assert!(!pauses.admits("x", now));
    assert!(!pauses.admits("x", now + PAUSE / 100 * 99));
    assert_eq!(pauses.closed(now).count(), 1);
    assert_eq!(pauses.end("x", now), Some(now + PAUSE));
    assert!(pauses.admits("y", now));
}

#[test]
fn pause_ends_without_a_burst() {
    let (mut pauses, now) = (Pauses::default(), Instant::now());
    pauses.begin(&target(), PAUSE, now);
    let step = Duration::from_millis(500);
    assert_eq!(send_all(&mut pauses, now + PAUSE), 2);
    assert_eq!(send_all(&mut pauses, now + PAUSE + step / 2), 0);
    assert_eq!(send_all(&mut pauses, now + PAUSE + step), 4);
    assert_eq!(send_all(&mut pauses, now + PAUSE + step * 2), 8);
    assert_eq!(send_all(&mut pauses, now + PAUSE + step * 3), 100);
    assert_eq!(pauses.end("x", now + PAUSE), None);
}

#[test]
fn longer_pause_replaces_a_shorter_one_only() {
    let (mut pauses, now) = (Pauses::default(), Instant::now());
    pauses.begin(&target(), PAUSE, now);
    assert_eq!(pauses.begin(&target(), PAUSE / 2, now), None);
    assert_eq!(pauses.begin(&target(), PAUSE * 2, now), Some(PAUSE * 2));
    assert!(!pauses.admits("x", now + PAUSE));
}

#[test]
fn pauses_are_bounded() {
    let (mut pauses, now) = (Pauses::default(), Instant::now());
    assert_eq!(pauses.begin(&target(), Duration::ZERO, now), None);
    assert!(pauses.admits("x", now));
    assert_eq!(pauses.begin(&target(), Duration::MAX, now), Some(MAX_PAUSE));
    assert!(pauses.admits("x", now + MAX_PAUSE));
}

#[test]
fn new_start_ends_a_pause() {
    let (mut pauses, now) = (Pauses::default(), Instant::now());
    pauses.begin(&target(), PAUSE, now);
    pauses.forget("x");
    assert!(pauses.admits("x", now));
}
