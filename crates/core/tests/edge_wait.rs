//! Order of waiting requests, and when one is placed or refused.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::placement::Placement;
use mimosapass_core::edge::wait::{QueueEntry, caller_timeout, pressure_price};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(now: Instant, work_ms: u64, value: f64, due_ms: u64) -> QueueEntry {
    QueueEntry {
        arrived: now,
        due: now + ms(due_ms),
        expires: now + ms(due_ms * 4),
        value,
        work: ms(work_ms),
        // Prompts of up to 90 ms are not split.
        min_work: if work_ms > 90 { ms(work_ms / 16) } else { ms(work_ms) },
        priority: 1,
    }
}

fn placement(first_ms: u64, interference: f64) -> Placement {
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
        memory_tokens: 0,
        first_event: ms(first_ms),
        loss: interference,
        interference,
    }
}

/// Generates a test from two requests as (work in ms, value, time limit in ms), of which
/// the first precedes the second.
macro_rules! order {
    ($($name:ident: ($($a:expr),+) before ($($b:expr),+);)+) => {
        $(#[test]
        fn $name() {
            let now = Instant::now();
            let (a, b) = (entry(now, $($a),+), entry(now, $($b),+));
            assert!(a.precedes(&b, now) && !b.precedes(&a, now));
        })+
    };
}

order! {
    more_value_per_work_goes_first: (20, 1.5, 300) before (3_000, 22.0, 4_000);
    shorter_of_two_long_prompts_goes_first: (1_600, 16.0, 3_000) before (5_000, 31.0, 6_000);
    request_that_can_be_on_time_goes_first: (3_000, 22.0, 4_000) before (20, 1.5, 10);
}

#[test]
fn more_urgent_priority_goes_first() {
    let now = Instant::now();
    let urgent = QueueEntry { priority: 0, ..entry(now, 100, 1.0, 300) };
    assert!(urgent.precedes(&entry(now, 1, 9.0, 300), now));
}

#[test]
fn on_time_placement_is_accepted_at_once() {
    let now = Instant::now();
    assert!(entry(now, 20, 1.5, 300).accepts(&placement(200, 0.0), 0.0, now));
}

#[test]
fn late_placement_is_accepted_after_a_short_wait() {
    let now = Instant::now();
    let entry = entry(now, 20, 1.5, 300);
    assert!(!entry.accepts(&placement(400, 0.0), 0.0, now));
    assert!(entry.accepts(&placement(400, 0.0), 0.0, now + ms(260)));
}

#[test]
fn placement_that_costs_more_than_it_gains_is_not_accepted() {
    let now = Instant::now();
    assert!(!entry(now, 20, 1.5, 300).accepts(&placement(200, 1.0), 0.0, now));
}

/// Guards against a prompt that is late anyway and interrupts streams: in trace scale-1
/// of atlas-loc at 14.1 s, one of 383,000 tokens made twelve chats pause.
#[test]
fn late_placement_may_cost_others_little() {
    let now = Instant::now();
    let entry = entry(now, 8_200, 39.0, 3_000);
    let later = now + ms(3_100);
    assert!(!entry.accepts(&placement(8_500, 16.8), 0.0, later));
    assert!(entry.accepts(&placement(8_500, 1.0), 0.0, later));
    let early = now + ms(300);
    assert!(
        entry.accepts(&placement(2_000, 16.8), 0.0, early),
        "an answer on time is worth that cost"
    );
}

/// Guards against late placement on one target where several would be on time: in the
/// emulator's pattern `busy`, one engine took 8 s for prompts of 380,000 tokens, while
/// three engines half a second later would have been on time.
#[test]
fn long_prompt_waits_while_several_targets_can_be_on_time() {
    let now = Instant::now();
    let entry = entry(now, 8_200, 39.0, 3_000);
    assert!(!entry.accepts(&placement(8_400, 0.0), 0.0, now + ms(700)));
    assert!(entry.accepts(&placement(2_000, 0.0), 0.0, now + ms(700)));
    assert!(entry.accepts(&placement(8_400, 0.0), 0.0, now + ms(2_600)), "all sixteen need 0.5 s");
}

/// Guards against work for callers that have left: in the emulator's pattern `busy`, a
/// prompt was placed after 9.9 s and needed 2.9 s more.
#[test]
fn placement_after_the_caller_gives_up_is_not_accepted() {
    let now = Instant::now();
    let entry = entry(now, 2_900, 21.0, 3_000);
    assert!(!entry.accepts(&placement(2_900, 0.0), 0.0, now + ms(9_900)));
    assert!(entry.accepts(&placement(1_900, 0.0), 0.0, now + ms(9_900)));
}

/// In a burst of long prompts the larger ones are held back while many engines have a
/// backlog of more than two passes, but the largest no sooner than slightly smaller ones.
#[test]
fn largest_prompts_are_shed_under_pressure() {
    let now = Instant::now();
    let largest = entry(now, 25_000, 71.0, 3_000);
    let large = entry(now, 6_000, 33.0, 3_000);
    let usual = entry(now, 3_300, 22.0, 3_000);
    assert!(
        largest.is_worthwhile(pressure_price(0.2), now)
            && usual.is_worthwhile(pressure_price(0.2), now)
    );
    assert!(
        !largest.is_worthwhile(pressure_price(0.44), now)
            && !large.is_worthwhile(pressure_price(0.44), now)
            && usual.is_worthwhile(pressure_price(0.44), now)
    );
    assert!(
        largest.is_worthwhile(pressure_price(0.42), now),
        "it is refused no sooner than others of its density"
    );
    assert!(
        !largest.should_shed(pressure_price(0.44), now + ms(200)),
        "it waits for an eighth of its allowed time"
    );
    assert!(
        largest.should_shed(pressure_price(0.44), now + ms(400)),
        "then it is refused, early for its caller"
    );
}

#[test]
fn request_that_cannot_begin_in_time_is_refused() {
    let now = Instant::now();
    let entry = entry(now, 1_600, 10.0, 300);
    assert!(!entry.has_expired(now + ms(900)));
    assert!(entry.has_expired(now + ms(1_000)), "100 ms of work and 150 ms of margin are left");
}

/// Generates a test from a goal, a gap and the resulting time-out, in ms.
macro_rules! timeouts {
    ($($name:ident: $goal:expr, $gap:expr => $ms:expr;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(caller_timeout(ms($goal), ms($gap)), ms($ms));
        })+
    };
}

timeouts! {
    two_seconds_at_least: 300, 200 => 2_000;
    four_times_the_goal: 3_000, 800 => 12_000;
    eight_times_the_gap: 500, 400 => 3_200;
}
