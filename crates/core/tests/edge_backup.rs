//! When a silent run of a request is backed up at another target.

use std::time::{Duration, Instant};

use mimosapass_core::edge::backup::Backup;
use mimosapass_core::edge::route_table::{RetryPolicy, Route};

/// Silence after which a stream of [`route`] is backed up: seven tenths of the time for which
/// its caller waits.
const SILENCE: Duration = Duration::from_millis(1_400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn route(streaming: bool, retry_policy: RetryPolicy, attempts: u32) -> Route {
    Route {
        name: "chat".into(),
        host: "shop.example".to_owned(),
        prefix: "/chat/".to_owned(),
        retry_policy,
        streaming,
        timeout: ms(10_000),
        latency_goal: ms(300),
        max_gap: ms(200),
        priority: 1,
        split: Vec::new(),
        attempts,
        public: false,
    }
}

fn stream(attempts: u32) -> Backup {
    Backup::of(&route(true, RetryPolicy::Idempotent, attempts)).expect("it may be repeated")
}

#[test]
fn request_that_runs_once_is_not_backed_up() {
    assert_eq!(Backup::of(&route(false, RetryPolicy::Once, 2)), None);
}

/// Each event starts the wait again, so that a slow stream is not backed up.
#[test]
fn stream_is_backed_up_after_its_last_event_only() {
    let (backup, begin) = (stream(2), Instant::now());
    for heard in [begin, begin + ms(1_300), begin + ms(2_600)] {
        assert_eq!(backup.due(heard, 1), Some(heard + SILENCE));
        assert!(!backup.is_silent(heard, heard + ms(1_399)));
        assert!(backup.is_silent(heard, heard + SILENCE));
    }
}

#[test]
fn call_is_backed_up_after_twice_its_latency_goal() {
    let backup = Backup::of(&route(false, RetryPolicy::Idempotent, 2)).expect("repeatable");
    let begin = Instant::now();
    assert_eq!(backup.due(begin, 1), Some(begin + ms(600)));
}

#[test]
fn no_more_targets_get_a_request_than_its_route_allows() {
    let begin = Instant::now();
    assert_eq!(stream(1).due(begin, 1), None);
    assert_eq!(stream(2).due(begin, 2), None);
    assert_eq!(stream(3).due(begin, 2), Some(begin + SILENCE));
}

/// Silence at many targets at once: each request asks the queue once in a while, not all the
/// time.
#[test]
fn denied_backup_is_asked_for_again_after_as_long_a_silence() {
    let (mut backup, begin) = (stream(2), Instant::now());
    backup.deny(begin + SILENCE);
    assert_eq!(backup.due(begin, 1), Some(begin + SILENCE * 2));
    let heard = begin + ms(2_000);
    assert_eq!(backup.due(heard, 1), Some(heard + SILENCE), "an event counts as well");
}
