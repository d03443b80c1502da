//! The retries of one instance stay within its part of the operator's limits.

use std::time::{Duration, Instant};

use mimosapass_core::edge::retry::{RetryLedger, RetryLimits};
use mimosapass_core::edge::retry_share::{FleetSize, Found, REGISTRATION_TTL, RetryShare};
use proptest::prelude::*;
use rstest::rstest;

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };

/// Sends a retry if it is allowed; returns whether it was.
fn retry(ledger: &mut RetryLedger, share: f64, now: Instant) -> bool {
    let allowed = ledger.reserve(share, now);
    if allowed {
        ledger.send(now);
    }
    allowed
}

proptest! {
    /// In any window all instances together stay within the limits.
    #[test]
    fn all_instances_stay_within_the_limits(
        instances in 1_usize..20,
        gaps in proptest::collection::vec(0_u64..400, 1..400),
    ) {
        let begin = Instant::now();
        let share = LIMITS.slack / instances as f64;
        let mut ledger = RetryLedger::new(LIMITS, begin);
        let (mut asked, mut taken) = (Vec::new(), Vec::new());
        let mut now = begin;
        for (i, gap) in gaps.iter().enumerate() {
            now += Duration::from_millis(*gap);
            if i % 3 == 0 {
                ledger.record_request(now);
                asked.push(now);
            } else if retry(&mut ledger, share, now) {
                taken.push(now);
            }
            let within = |at: &&Instant| now.duration_since(**at) <= LIMITS.window;
            let used = taken.iter().filter(within).count() as f64;
            let before = |at: &&Instant| now.duration_since(**at) <= 2 * LIMITS.window;
            let own = asked.iter().filter(before).count() as f64 * LIMITS.ratio;
            prop_assert!(used <= share + own);
        }
    }
}

#[test]
fn retries_are_available_again_after_the_window() {
    let now = Instant::now();
    let mut ledger = RetryLedger::new(LIMITS, now);
    let taken = (0..200).filter(|_| retry(&mut ledger, LIMITS.slack, now)).count();
    assert_eq!(taken, 100);
    assert!(!retry(&mut ledger, LIMITS.slack, now + LIMITS.window));
    let later = now + LIMITS.retention();
    assert!(retry(&mut ledger, LIMITS.slack, later));
}

/// A backup that found no target does not count against the limits.
#[test]
fn retry_that_is_released_can_be_used_again() {
    let now = Instant::now();
    let mut ledger = RetryLedger::new(RetryLimits { ratio: 0.0, ..LIMITS }, now);
    let mut reserve = || ledger.reserve(2.0, now);
    assert_eq!([reserve(), reserve(), reserve()], [true, true, false]);
    ledger.release();
    assert!(ledger.reserve(2.0, now));
    assert!(!ledger.reserve(2.0, now));
}

/// Guards against more retries than the limits allow: a later retry of another request was
/// taken out in place of the one given back.
#[test]
fn retry_that_is_released_is_not_that_of_another_request() {
    let start = Instant::now();
    let mut ledger = RetryLedger::new(RetryLimits { ratio: 0.0, ..LIMITS }, start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert!(ledger.reserve(3.0, at(0)));
    assert!(retry(&mut ledger, 3.0, at(1_000)));
    ledger.release();
    let later = (1_100..=11_000).step_by(100);
    let sent = later.filter(|ms| retry(&mut ledger, 3.0, at(*ms))).count();
    assert!(sent < 3, "{sent} besides the one at a second");
}

/// Guards against retries that were allowed over a long time and are all sent at once.
#[test]
fn retry_that_waits_counts_until_it_is_sent() {
    let start = Instant::now();
    let mut ledger = RetryLedger::new(RetryLimits { ratio: 0.0, ..LIMITS }, start);
    assert!(ledger.reserve(1.0, start));
    let late = start + 3 * LIMITS.window;
    assert!(!ledger.reserve(1.0, late));
    ledger.send(late);
    assert!(!ledger.reserve(1.0, late + LIMITS.window));
    assert!(ledger.reserve(1.0, late + LIMITS.retention()));
}

/// Guards against a process that does not know what the one before it has sent.
#[test]
fn own_requests_allow_no_retry_within_the_first_window() {
    let start = Instant::now();
    let mut ledger = RetryLedger::new(LIMITS, start);
    for ms in (0..20_000).step_by(10) {
        let now = start + Duration::from_millis(ms);
        ledger.record_request(now);
        let allowed = retry(&mut ledger, 0.0, now);
        assert!(!allowed || now >= start + LIMITS.window, "after {ms} ms");
    }
    assert!(ledger.usage(0.0, start + 2 * LIMITS.window).limit > 0);
}

/// The ledger of a service that is never retried does not grow.
#[test]
fn requests_of_long_ago_are_forgotten() {
    let start = Instant::now();
    let mut ledger = RetryLedger::new(LIMITS, start);
    (0..100_000).for_each(|ms| ledger.record_request(start + Duration::from_millis(ms)));
    let usage = ledger.usage(0.0, start + Duration::from_secs(200));
    assert_eq!((usage.requests, usage.limit), (0, 0));
}

/// When an instance may use its part for the first time, in seconds after its registration.
#[rstest]
#[case::first_start(true, Found::Missing, 0)]
#[case::first_start_beside_an_entry(true, Found::Former, 0)]
#[case::restart(false, Found::Former, 12)]
#[case::new_instance(false, Found::Missing, 132)]
fn part_may_be_used(#[case] first: bool, #[case] found: Found, #[case] seconds: u64) {
    let (mut share, start) = (RetryShare::new(first), Instant::now());
    assert!(!share.is_usable(start), "not registered");
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    share.confirm(found, LIMITS.retention(), start);
    for second in (30..seconds).step_by(30) {
        share.confirm(Found::Own, LIMITS.retention(), at(second));
    }
    assert!(seconds == 0 || !share.is_usable(at(seconds - 2)));
    assert!(share.is_usable(at(seconds)));
}

#[test]
fn part_is_lost_and_regained_with_the_registration() {
    let (mut share, start) = (RetryShare::new(true), Instant::now());
    share.confirm(Found::Missing, LIMITS.retention(), start);
    let expired = start + REGISTRATION_TTL;
    assert!(!share.is_usable(expired));
    share.confirm(Found::Missing, LIMITS.retention(), expired);
    assert!(!share.is_usable(expired + LIMITS.retention()));
    share.confirm(Found::Own, LIMITS.retention(), expired + REGISTRATION_TTL / 2);
    share.confirm(Found::Own, LIMITS.retention(), expired + REGISTRATION_TTL);
    assert!(share.is_usable(expired + REGISTRATION_TTL + LIMITS.retention()));
}

/// Entries that expire with their leases are written again within a minute.
#[test]
fn count_of_instances_holds_while_entries_are_missing() {
    let (mut size, start) = (FleetSize::default(), Instant::now());
    assert_eq!(size.count(start), None);
    size.record(59, start);
    for second in 1..300 {
        let now = start + Duration::from_secs(second);
        size.record(20, now);
        let held = if second < 240 { 59 } else { 20 };
        assert_eq!(size.count(now), Some(held), "after {second} s");
    }
    assert_eq!(size.count(start + Duration::from_secs(299) + REGISTRATION_TTL), None);
}
