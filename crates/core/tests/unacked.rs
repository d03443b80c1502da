//! When a link counts as silent, and which messages are sent again.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_core::unacked::{ACK_TIMEOUT, Message, Unacked};

const MS: Duration = Duration::from_millis(1);

fn message(len: usize, repeatable: bool) -> Message {
    Message { bytes: Bytes::from(vec![7; len]), repeatable }
}

/// Returns messages to a peer that acknowledges, and the time.
fn acknowledged() -> (Unacked, Instant) {
    let (mut unacked, now) = (Unacked::default(), Instant::now());
    unacked.sent(message(10, true), 1, now);
    assert!(unacked.acknowledge(now));
    (unacked, now)
}

fn silent_after(unacked: &Unacked, begun: Instant) -> Duration {
    unacked.silent_at().expect("a message is not acknowledged") - begun
}

/// Replays a link that fell silent and is used all the while: a message every 10 ms, 1.6 MB/s.
#[test]
fn messages_that_come_later_do_not_keep_a_silent_link_open() {
    let (mut unacked, begun) = acknowledged();
    let silent = (0..1_000).step_by(10).find(|ms| {
        let now = begun + MS * *ms;
        unacked.sent(message(16 * 1024, true), 1, now);
        unacked.silent_at().is_some_and(|at| now >= at)
    });
    let ms = silent.expect("it counts as silent within a second");
    assert!(ms <= 800, "after {ms} ms; the first message takes 500 ms");
}

#[test]
fn link_may_take_the_time_for_what_was_written_before() {
    let (mut unacked, begun) = acknowledged();
    unacked.sent(message(32 * 1024, true), 1, begun);
    unacked.sent(message(32 * 1024, true), 1, begun);
    assert_eq!(silent_after(&unacked, begun), MS * 1_000 + ACK_TIMEOUT);
    assert!(unacked.acknowledge(begun + MS * 100));
    assert_eq!(silent_after(&unacked, begun), MS * 2_000 + ACK_TIMEOUT);
}

#[test]
fn acknowledgement_shows_that_a_late_link_works() {
    let (mut unacked, begun) = acknowledged();
    unacked.sent(message(0, true), 1, begun);
    unacked.sent(message(0, true), 1, begun);
    assert!(unacked.acknowledge(begun + MS * 290));
    assert_eq!(silent_after(&unacked, begun), MS * 290 + ACK_TIMEOUT);
    assert!(unacked.acknowledge(begun + MS * 300));
    assert_eq!(unacked.silent_at(), None);
    assert!(!unacked.acknowledge(begun + MS * 310), "nothing was sent");
}

#[test]
fn messages_that_may_arrive_twice_are_sent_again_in_order() {
    let (mut unacked, now) = acknowledged();
    for (len, repeatable) in [(1, true), (2, false), (3, true)] {
        unacked.sent(message(len, repeatable), 1, now);
    }
    let lost = unacked.take_lost();
    assert_eq!(lost, [(message(1, true), 1), (message(3, true), 1)]);
    assert_eq!((unacked.count(), unacked.silent_at()), (0, None));
}

#[test]
fn message_is_dropped_after_three_links() {
    let (mut unacked, now) = acknowledged();
    for sends in 1..=3 {
        unacked.sent(message(1, true), sends, now);
        assert_eq!(unacked.take_lost().len(), usize::from(sends < 3), "sent {sends} times");
    }
}

/// Former versions acknowledge nothing, and get each message once.
#[test]
fn nothing_is_sent_again_to_a_peer_that_never_acknowledged() {
    let mut unacked = Unacked::default();
    unacked.sent(message(1, true), 1, Instant::now());
    assert_eq!(unacked.take_lost(), []);
}

#[test]
fn messages_kept_for_a_peer_that_does_not_read_are_bounded() {
    let (mut unacked, now) = acknowledged();
    for _ in 0..100 {
        unacked.sent(message(1024 * 1024, true), 1, now);
    }
    assert_eq!(unacked.take_lost().len(), 4);
    unacked.sent(message(1024 * 1024, true), 2, now);
    assert_eq!(unacked.take_lost().len(), 1, "there is room again");
}
