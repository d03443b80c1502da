//! Order among waiting requests, and when one is placed or refused.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::place::Placement;
use mimosapass_core::edge::wait::{QueueEntry, caller_timeout};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waiting(now: Instant, work_ms: u64, worth: f64, promise_ms: u64) -> QueueEntry {
    QueueEntry {
        arrived: now,
        due: now + ms(promise_ms),
        expires: now + ms(promise_ms * 4),
        value: worth,
        work: ms(work_ms),
        // Prompts of up to 90 ms are read whole.
        min_work: if work_ms > 90 { ms(work_ms / 16) } else { ms(work_ms) },
        priority: 1,
    }
}

fn place(first_ms: u64, harm: f64) -> Placement {
    let target = Target {
        id: "x".into(),
        service: "pool".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        draining: false,
        started_ms: 1,
        seq: 1,
        warmup: Duration::ZERO,
    };
    Placement {
        target: Arc::new(target),
        helpers: Vec::new(),
        memory: 0,
        first_event: ms(first_ms),
        loss: harm,
        interference: harm,
    }
}

/// Names a case of two requests as (work, worth, promise), the first of which goes first.
macro_rules! order {
    ($($name:ident: ($($a:expr),+) before ($($b:expr),+);)+) => {
        $(#[test]
        fn $name() {
            let now = Instant::now();
            let (a, b) = (waiting(now, $($a),+), waiting(now, $($b),+));
            assert!(a.precedes(&b, now) && !b.precedes(&a, now));
        })+
    };
}

order! {
    worth_for_its_time_goes_first: (20, 1.5, 300) before (3_000, 22.0, 4_000);
    of_two_long_ones_the_shorter: (1_600, 16.0, 3_000) before (5_000, 31.0, 6_000);
    what_can_be_on_time: (3_000, 22.0, 4_000) before (20, 1.5, 10);
}

#[test]
fn more_urgent_rank_goes_first() {
    let now = Instant::now();
    let urgent = QueueEntry { priority: 0, ..waiting(now, 100, 1.0, 300) };
    assert!(urgent.precedes(&waiting(now, 1, 9.0, 300), now));
}

#[test]
fn place_that_keeps_the_promise_is_taken_at_once() {
    let now = Instant::now();
    assert!(waiting(now, 20, 1.5, 300).accepts(&place(200, 0.0), 0.0, now));
}

#[test]
fn place_that_is_late_is_taken_after_a_short_wait() {
    let now = Instant::now();
    let waiting = waiting(now, 20, 1.5, 300);
    assert!(!waiting.accepts(&place(400, 0.0), 0.0, now));
    assert!(waiting.accepts(&place(400, 0.0), 0.0, now + ms(260)));
}

#[test]
fn place_that_costs_others_more_than_it_brings_is_left() {
    let now = Instant::now();
    assert!(!waiting(now, 20, 1.5, 300).accepts(&place(200, 1.0), 0.0, now));
}

/// Trace: scale-1 of atlas-loc at 14.1 s, a prompt of 383,000 tokens that was late
/// anyway made twelve chats pause.
#[test]
fn late_place_may_cost_others_little() {
    let now = Instant::now();
    let waiting = waiting(now, 8_200, 39.0, 3_000);
    let later = now + ms(3_100);
    assert!(!waiting.accepts(&place(8_500, 16.8), 0.0, later));
    assert!(waiting.accepts(&place(8_500, 1.0), 0.0, later));
    let early = now + ms(300);
    assert!(waiting.accepts(&place(2_000, 16.8), 0.0, early), "on time it is worth that");
}

/// Replay: `busy` of the emulator, prompts of 380,000 tokens that one engine read in
/// 8 s, while three of them would have kept the promise half a second later.
#[test]
fn long_prompt_waits_for_several_targets_while_they_can_keep_its_promise() {
    let now = Instant::now();
    let waiting = waiting(now, 8_200, 39.0, 3_000);
    assert!(!waiting.accepts(&place(8_400, 0.0), 0.0, now + ms(700)));
    assert!(waiting.accepts(&place(2_000, 0.0), 0.0, now + ms(700)));
    assert!(waiting.accepts(&place(8_400, 0.0), 0.0, now + ms(2_600)), "all sixteen need 0.5 s");
}

/// Replay: `busy` of the emulator, a prompt that got its place after 9.9 s and needed
/// 2.9 s more, when its caller had left.
#[test]
fn place_that_outlasts_the_caller_is_not_taken() {
    let now = Instant::now();
    let waiting = waiting(now, 2_900, 21.0, 3_000);
    assert!(!waiting.accepts(&place(2_900, 0.0), 0.0, now + ms(9_900)));
    assert!(waiting.accepts(&place(1_900, 0.0), 0.0, now + ms(9_900)));
}

/// A burst of long prompts: the larger ones stand back while many engines have more
/// than two passes to read, but the largest no sooner than what is nearly as large.
#[test]
fn largest_prompt_stands_back_under_pressure() {
    let now = Instant::now();
    let largest = waiting(now, 25_000, 71.0, 3_000);
    let large = waiting(now, 6_000, 33.0, 3_000);
    let usual = waiting(now, 3_300, 22.0, 3_000);
    assert!(largest.is_worthwhile(0.2, now) && usual.is_worthwhile(0.2, now));
    assert!(
        !largest.is_worthwhile(0.44, now)
            && !large.is_worthwhile(0.44, now)
            && usual.is_worthwhile(0.44, now)
    );
    assert!(largest.is_worthwhile(0.42, now), "it is refused no sooner than others of its density");
    assert!(!largest.should_shed(0.44, now + ms(200)), "it waits for an eighth of its promise");
    assert!(largest.should_shed(0.44, now + ms(400)), "then it is refused, while that is early");
}

#[test]
fn request_that_cannot_begin_in_time_is_refused() {
    let now = Instant::now();
    let waiting = waiting(now, 1_600, 10.0, 300);
    assert!(!waiting.has_expired(now + ms(900)));
    assert!(waiting.has_expired(now + ms(1_000)), "100 ms of work and 150 ms of margin are left");
}

/// Names a case of goal and pause, and for how long callers wait.
macro_rules! patience {
    ($($name:ident: $goal:expr, $gap:expr => $ms:expr;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(caller_timeout(ms($goal), ms($gap)), ms($ms));
        })+
    };
}

patience! {
    two_seconds_at_least: 300, 200 => 2_000;
    four_times_the_goal: 3_000, 800 => 12_000;
    eight_times_the_pause: 500, 400 => 3_200;
}
