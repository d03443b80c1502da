//! Limits on retries that change while instances run: the sum still stays within the limits.

use std::time::{Duration, Instant};

use mimosapass_core::edge::retry::{RetryLedger, RetryLimits};
use mimosapass_core::edge::retry_share::{Found, RetryShare};
use proptest::prelude::*;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(50);
const WINDOW: Duration = Duration::from_secs(10);
const LIMITS: RetryLimits = RetryLimits { ratio: 0.2, slack: 60.0, window: WINDOW };

/// Sends retries as often as it is allowed; returns how many.
fn send_all(ledger: &mut RetryLedger, share: f64, now: Instant) -> usize {
    let send = |ledger: &mut RetryLedger| {
        let allowed = ledger.reserve(share, now);
        if allowed {
            ledger.send(now);
        }
        allowed
    };
    (0..10_000).take_while(|_| send(ledger)).count()
}

/// An instance that retries all it may.
struct Instance {
    ledger: RetryLedger,
    share: RetryShare,
    limits: RetryLimits,
    changes: Duration,
}

impl Instance {
    fn start(changes: Duration, start: Instant) -> Self {
        let mut share = RetryShare::new(true);
        share.confirm(Found::Missing, LIMITS.retention(), start);
        Self { ledger: RetryLedger::new(LIMITS, start), share, limits: LIMITS, changes }
    }

    fn change(&mut self, new: RetryLimits, now: Instant) {
        self.ledger.set_limits(new, now);
        self.limits = new;
    }
}

/// Returns the most retries above the limits, over all windows of both lengths.
///
/// Where a window begins before the last instance has changed, the larger limits hold.
fn most_over(requests: &[f64], retries: &[f64], changed: f64, limits: [RetryLimits; 2]) -> f64 {
    let over = |begin: f64, limits: RetryLimits| {
        let length = limits.window.as_secs_f64();
        let within = |times: &[f64], begin: f64| {
            let before = |end: f64| times.partition_point(|at| *at < end);
            (before(begin + length) - before(begin)) as f64
        };
        let begins = [begin, begin - length / 2.0, begin - length];
        let most = begins.map(|b| within(requests, b)).into_iter().fold(0.0, f64::max);
        within(retries, begin) - limits.ratio * most - limits.slack
    };
    let [former, new] = limits;
    let over = |begin: &f64| {
        if *begin >= changed {
            over(*begin, new)
        } else {
            over(*begin, former).min(over(*begin, new))
        }
    };
    retries.iter().map(over).fold(f64::NEG_INFINITY, f64::max)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against instances that add up to more than any limits that were in force.
    #[test]
    fn sum_stays_within_the_limits(
        ratio in 0.0..1.0_f64,
        slack in 0.0..200.0_f64,
        window in prop_oneof![Just(10.0), 1.0..40.0_f64],
        changes in proptest::collection::vec(20.0..25.0_f64, 1..6),
        load in 0_usize..8,
    ) {
        let window = Duration::from_secs_f64(window);
        let new = RetryLimits { ratio, slack, window };
        let start = Instant::now();
        let mut fleet: Vec<Instance> = changes
            .iter()
            .map(|at| Instance::start(Duration::from_secs_f64(*at), start))
            .collect();
        let (mut requests, mut retries, mut now) = (Vec::new(), Vec::new(), start);
        while now < start + Duration::from_secs(80) {
            now += STEP;
            let at = now.duration_since(start);
            let count = fleet.len() as f64;
            for instance in &mut fleet {
                if at >= instance.changes && instance.limits != new {
                    instance.change(new, now);
                }
                for _ in 0..load {
                    instance.ledger.record_request(now);
                    requests.push(at.as_secs_f64());
                }
                instance.share.confirm(Found::Own, new.retention(), now);
                let usable = instance.share.is_usable(now);
                let share = if usable { instance.limits.slack / count } else { 0.0 };
                let sent = send_all(&mut instance.ledger, share, now);
                retries.extend(std::iter::repeat_n(at.as_secs_f64(), sent));
            }
        }
        let changed = changes.iter().copied().fold(0.0, f64::max);
        let over = most_over(&requests, &retries, changed, [LIMITS, new]);
        prop_assert!(over <= 0.0, "{over} over the limits");
    }
}

#[test]
fn limit_that_was_lowered_holds_at_once() {
    let now = Instant::now();
    let mut ledger = RetryLedger::new(LIMITS, now);
    assert_eq!(send_all(&mut ledger, 40.0, now), 40);
    ledger.set_limits(RetryLimits { slack: 30.0, ..LIMITS }, now);
    assert_eq!(send_all(&mut ledger, 30.0, now + WINDOW / 2), 0);
    assert_eq!(send_all(&mut ledger, 30.0, now + LIMITS.retention()), 30);
}

#[test]
fn what_was_sent_counts_in_a_longer_window() {
    let now = Instant::now();
    let mut ledger = RetryLedger::new(LIMITS, now);
    assert_eq!(send_all(&mut ledger, 40.0, now), 40);
    let longer = RetryLimits { window: WINDOW * 3, ..LIMITS };
    ledger.set_limits(longer, now + WINDOW);
    assert_eq!(send_all(&mut ledger, 40.0, now + WINDOW * 3), 0);
    assert_eq!(send_all(&mut ledger, 40.0, now + WINDOW + longer.retention()), 40);
}

#[rstest]
#[case::none(Duration::ZERO, 0.0)]
#[case::very_short(Duration::from_micros(100), 0.0)]
#[case::shortest(Duration::from_secs(1), 0.2)]
#[case::longest(Duration::from_secs(1_000_000_000), 0.2)]
fn window_of_any_length_can_be_kept_to(#[case] window: Duration, #[case] ratio: f64) {
    let limits = RetryLimits { window, ..LIMITS }.enforceable();
    assert!((limits.ratio - ratio).abs() < f64::EPSILON, "{limits:?}");
    let now = Instant::now();
    let mut ledger = RetryLedger::new(limits, now);
    (0..1000).for_each(|_| ledger.record_request(now));
    let sent = send_all(&mut ledger, LIMITS.slack, now + Duration::from_millis(500));
    assert_eq!(sent, 60, "only the fixed number so soon");
    let mut share = RetryShare::new(false);
    share.confirm(Found::Former, limits.retention(), now);
    assert!(!share.is_usable(now));
}

#[rstest]
#[case::ratio(RetryLimits { ratio: 1e308, ..LIMITS }, 10.0)]
#[case::slack(LIMITS, 1e308)]
fn very_large_figure_allows_all_retries(#[case] limits: RetryLimits, #[case] share: f64) {
    let now = Instant::now();
    let mut ledger = RetryLedger::new(limits, now);
    (0..10).for_each(|_| ledger.record_request(now));
    assert_eq!(send_all(&mut ledger, share, now + WINDOW * 2).min(10), 10);
}
