//! Properties of leases, desired states and the rate limit of loads.

use std::time::{Duration, Instant};

use mimosapass_core::config::{Config, Model, Pool};
use mimosapass_core::lease::{LEASE_TTL, LeaseClock, ORDER_TIMEOUT};
use mimosapass_core::orders::{DesiredState, FLEET_LOADS_PER_S, desired_state, zone_bucket};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn fixed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(8), cases: 256, ..ProptestConfig::default() }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An order in flight to an engine.
#[derive(Clone, Debug)]
struct Order {
    fence: u64,
    sent: Duration,
    arrives: Duration,
}

/// Simulates two successive holders of a lease and returns their orders.
///
/// The first holder is paused at `pause_at` for `pause`, between two orders;
/// `latency` is the time of each call. All times are in milliseconds.
fn two_holders(pause_at: u64, pause: u64, latency: u64, fenced: bool) -> Vec<Order> {
    let zero = Instant::now();
    let mut sent = Vec::new();
    // The service counts the lease from the arrival of the call.
    let mut first = LeaseClock::new(1, zero, zero + ms(latency * 2));
    let mut expiry = ms(latency) + LEASE_TTL;
    let mut second: Option<LeaseClock> = None;
    let mut now = ms(latency * 2);
    while now < Duration::from_secs(40) {
        let paused = now >= ms(pause_at) && now < ms(pause_at + pause);
        if !paused && first.needs_renewal(zero + now) && now + ms(latency) < expiry {
            first.renewed(zero + now);
            expiry = now + ms(latency) + LEASE_TTL;
        }
        if !paused && first.may_send_order(fenced, zero + now) {
            sent.push(Order { fence: 1, sent: now, arrives: now + ORDER_TIMEOUT });
        }
        if now >= expiry && second.is_none() {
            second = Some(LeaseClock::new(2, zero + now, zero + now + ms(latency)));
        }
        if let Some(clock) = &mut second {
            clock.renewed(zero + now);
            if clock.may_send_order(fenced, zero + now) {
                sent.push(Order { fence: 2, sent: now, arrives: now });
            }
        }
        now += ms(100);
    }
    sent
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn no_old_order_arrives_after_the_first_new_one_was_sent(
        pause_at in 0_u64..9_000,
        pause in 0_u64..30_000,
        latency in 0_u64..900,
    ) {
        let sent = two_holders(pause_at, pause, latency, false);
        let first = sent.iter().find(|s| s.fence == 2).map(|s| s.sent);
        if let Some(first) = first {
            let late = sent.iter().find(|s| s.fence == 1 && s.arrives > first);
            prop_assert!(late.is_none(), "{late:?} after {first:?}");
        }
    }

    #[test]
    fn all_zones_together_stay_within_the_rate_limit(
        zones in 1_usize..12,
        seconds in 1_u64..120,
    ) {
        let start = Instant::now();
        let mut allowed = 0.0;
        for _ in 0..zones {
            let mut bucket = zone_bucket(zones, start);
            let steps = seconds * 20;
            let takes = (0..steps).filter(|i| bucket.take(start + ms(i * 50)));
            allowed += takes.count() as f64;
        }
        prop_assert!(allowed <= FLEET_LOADS_PER_S * seconds as f64 + zones as f64);
    }
}

#[test]
fn a_holder_that_is_not_paused_keeps_sending_orders() {
    let sent = two_holders(0, 0, 10, true);
    assert!(sent.iter().all(|s| s.fence == 1));
    assert!(sent.len() > 300, "{}", sent.len());
}

#[rstest]
#[case::engine_checks_fence(true, 0, true)]
#[case::engine_ignores_fence_and_holder_is_new(false, 0, false)]
#[case::engine_ignores_fence_and_old_orders_have_ended(false, 8_000, true)]
#[case::lease_expires_before_the_order_ends(true, 4_000, false)]
fn an_order_may_be_sent(#[case] fenced: bool, #[case] after: u64, #[case] may: bool) {
    let start = Instant::now();
    let mut clock = LeaseClock::new(1, start, start);
    if !fenced && after > 0 {
        clock.renewed(start + ms(after));
    }
    assert_eq!(clock.may_send_order(fenced, start + ms(after)), may);
}

fn config() -> Config {
    let model = |name: &str, version: &str| Model {
        name: name.into(),
        version: version.to_owned(),
        adapters: vec!["b".to_owned(), "a".to_owned()],
    };
    let pool = |name: &str, kind: &str, models: &[&str]| Pool {
        name: name.into(),
        labels: [("role".to_owned(), format!("{kind}-role"))].into(),
        select: [("kind".to_owned(), kind.to_owned())].into(),
        models: models.iter().map(|m| (*m).into()).collect(),
        ..Pool::default()
    };
    Config {
        models: vec![model("chat", "2"), model("code", "1")],
        pools: vec![pool("short", "small", &["chat"]), pool("all", "big", &["chat", "code"])],
        ..Config::default()
    }
}

#[rstest]
#[case::small("small", &["chat"])]
#[case::big("big", &["chat", "code"])]
fn the_desired_state_has_the_models_of_all_matching_pools(
    #[case] kind: &str,
    #[case] models: &[&str],
) {
    let labels = [("kind".to_owned(), kind.to_owned())].into();
    let desired = desired_state(&config(), &labels).expect("a pool selects it");
    let names: Vec<&str> = desired.models.keys().map(AsRef::as_ref).collect();
    assert_eq!(names, models);
    assert_eq!(desired.models["chat"].version, "2");
    assert_eq!(desired.models["chat"].adapters, ["a", "b"]);
    assert_eq!(desired.role, format!("{kind}-role"));
    assert!(desired.needs_load(&DesiredState::default()) && !desired.needs_load(&desired));
}

#[test]
fn an_engine_that_no_pool_selects_has_no_desired_state() {
    let labels = [("kind".to_owned(), "other".to_owned())].into();
    assert_eq!(desired_state(&config(), &labels), None);
}
