//! When peers are asked for what the store has not told.

use std::time::{Duration, Instant};

use mimosapass_core::edge::catch_up::{
    Known, Lag, MAX_BEHIND, Requests, answer_time, is_store_silent,
};
use mimosapass_core::edge::position::Position;

const MS: Duration = Duration::from_millis(1);

/// Generates a test from whether the last call failed, the age of the last answer, the time
/// since the start in milliseconds, and whether the store is silent.
macro_rules! stores {
    ($($name:ident: $failing:expr, $age:expr, $uptime:expr => $silent:expr;)+) => {
        $(#[test]
        fn $name() {
            let age: Option<u32> = $age;
            assert_eq!(is_store_silent($failing, age.map(|ms| MS * ms), MS * $uptime), $silent);
        })+
    };
}

stores! {
    first_listing_is_under_way: false, None, 1_000 => false;
    first_listing_hangs: false, None, 2_000 => true;
    first_listing_is_refused: true, None, 10 => true;
    watch_is_under_way: false, Some(1_600), 60_000 => false;
    watch_hangs: false, Some(1_900), 60_000 => true;
    watch_is_refused: true, Some(10), 60_000 => true;
}

fn may_request(knows_targets: bool, last_request: Option<Duration>) -> bool {
    let now = Instant::now();
    let mut requests = Requests::default();
    if let Some(age) = last_request {
        requests.sent(now);
        return requests.may_send(answer_time(knows_targets), now + age);
    }
    requests.may_send(answer_time(knows_targets), now)
}

#[test]
fn whole_list_is_not_asked_for_again_while_it_may_be_under_way() {
    assert!(may_request(false, None));
    assert!(!may_request(false, Some(MS * 700)));
    assert!(may_request(false, Some(MS * 2_000)));
    assert!(!may_request(true, Some(MS * 500)));
    assert!(may_request(true, Some(MS * 600)));
}

/// Replays an instance whose link carries an answer in `answer_ms` by itself, and all that are
/// under way together at the same speed; returns when the first one is complete, and how many
/// were asked for.
fn catch_up(answer_ms: u32, interval: Duration) -> (u32, usize) {
    let begun = Instant::now();
    let mut requests = Requests::default();
    let mut left: Vec<f64> = Vec::new();
    for elapsed in 0..60_000 {
        let now = begun + MS * elapsed;
        if requests.may_send(interval, now) {
            requests.sent(now);
            left.push(f64::from(answer_ms));
        }
        let share = 1.0 / left.len() as f64;
        for ms in &mut left {
            *ms -= share;
        }
        if left.iter().any(|ms| *ms <= 0.0) {
            return (elapsed, left.len());
        }
    }
    panic!("no answer is complete within a minute");
}

#[test]
fn copies_of_a_large_configuration_do_not_crowd_each_other_out() {
    let (time, count) = catch_up(1_000, MS * 300);
    assert!(time < 3_000, "{time} ms, longer than a change may take; {count} copies");
}

#[test]
fn peers_are_asked_again_in_time_when_some_do_not_answer() {
    let begun = Instant::now();
    let mut requests = Requests::default();
    let ms = (0..2_200).filter(|ms| {
        let now = begun + MS * *ms;
        let due = requests.may_send(MS * 300, now);
        if due {
            requests.sent(now);
        }
        due
    });
    assert_eq!(ms.collect::<Vec<u32>>(), [0, 300, 900, 2_100]);
}

#[test]
fn answer_ends_the_wait_for_a_repeated_request() {
    let now = Instant::now();
    let mut requests = Requests::default();
    for _ in 0..5 {
        requests.sent(now);
    }
    assert!(!requests.may_send(MS * 300, now + MS * 1_100));
    requests.answered();
    assert!(requests.may_send(MS * 300, now + MS * 300));
}

fn version(config: u64) -> Known {
    Known { config, ..Known::default() }
}

/// Replays versions written each `interval_ms` that each take `delay_ms` to arrive; returns
/// whether the instance is ever to watch the store itself within ten seconds.
fn watches(interval_ms: u32, delay_ms: u32) -> bool {
    let begun = Instant::now();
    let mut lag = Lag::default();
    (0..10_000).step_by(100).any(|ms| {
        let now = begun + MS * ms;
        let at = |ms: u32| version(u64::from(ms / interval_ms));
        lag.update(at(ms.saturating_sub(delay_ms)), at(ms), now);
        lag.is_overdue(now)
    })
}

#[test]
fn changes_in_quick_succession_that_arrive_in_time_are_no_lag() {
    assert!(!watches(300, 300));
    assert!(!watches(100, 400));
}

#[test]
fn instance_whose_peers_do_not_answer_is_behind() {
    assert!(watches(300, 900));
    assert!(watches(5_000, 5_000));
}

/// Guards against an instance that stops to watch as soon as it has begun.
#[test]
fn instance_is_behind_until_it_has_what_it_lacked() {
    let begun = Instant::now();
    let mut lag = Lag::default();
    for ms in (0..3_000).step_by(100) {
        let now = begun + MS * ms;
        lag.update(version(3), version(9), now);
        assert_eq!(lag.is_overdue(now), MS * ms >= MAX_BEHIND, "after {ms} ms");
    }
    lag.update(version(9), version(9), begun + MS * 3_000);
    assert_eq!(lag.since(), None);
}

#[test]
fn instance_lacks_targets_and_orders_too() {
    let later = Position { era: 0, revision: 8 };
    let own = version(3);
    assert!(own.lacks(&Known { targets: later, ..own }));
    assert!(own.lacks(&Known { evacuations: later, ..own }));
    assert!(!Known { targets: later, ..own }.lacks(&own));
    assert!(!own.lacks(&own));
}
