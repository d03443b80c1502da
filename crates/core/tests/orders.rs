//! Properties of clock, goals and the shared rate of loads.

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

/// An order on its way to an engine.
#[derive(Clone, Debug)]
struct Sent {
    fence: u64,
    from: Duration,
    arrives: Duration,
}

/// Two holders, one after the other, of a lease that the service counts.
///
/// Returns the orders of both. `pause` befalls the first holder at `at`, for
/// `pause`, between two orders; `slow` is the time that calls take.
fn two_holders(at: u64, pause: u64, slow: u64, checks: bool) -> Vec<Sent> {
    let zero = Instant::now();
    let mut sent = Vec::new();
    // The service counts the lease from when the call reaches it.
    let mut first = LeaseClock::new(1, zero, zero + ms(slow * 2));
    let mut lapse = ms(slow) + LEASE_TTL;
    let mut second: Option<LeaseClock> = None;
    let mut now = ms(slow * 2);
    while now < Duration::from_secs(40) {
        let paused = now >= ms(at) && now < ms(at + pause);
        if !paused && first.needs_renewal(zero + now) && now + ms(slow) < lapse {
            first.renewed(zero + now);
            lapse = now + ms(slow) + LEASE_TTL;
        }
        if !paused && first.may_send_order(checks, zero + now) {
            sent.push(Sent { fence: 1, from: now, arrives: now + ORDER_TIMEOUT });
        }
        if now >= lapse && second.is_none() {
            second = Some(LeaseClock::new(2, zero + now, zero + now + ms(slow)));
        }
        if let Some(clock) = &mut second {
            clock.renewed(zero + now);
            if clock.may_send_order(checks, zero + now) {
                sent.push(Sent { fence: 2, from: now, arrives: now });
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
        at in 0_u64..9_000,
        pause in 0_u64..30_000,
        slow in 0_u64..900,
    ) {
        let sent = two_holders(at, pause, slow, false);
        let first = sent.iter().find(|s| s.fence == 2).map(|s| s.from);
        if let Some(first) = first {
            let late = sent.iter().find(|s| s.fence == 1 && s.arrives > first);
            prop_assert!(late.is_none(), "{late:?} after {first:?}");
        }
    }

    #[test]
    fn zones_together_stay_within_the_rate_of_the_store(
        zones in 1_usize..12,
        seconds in 1_u64..120,
    ) {
        let start = Instant::now();
        let mut given = 0.0;
        for _ in 0..zones {
            let mut bucket = zone_bucket(zones, start);
            let steps = seconds * 20;
            let takes = (0..steps).filter(|i| bucket.take(start + ms(i * 50)));
            given += takes.count() as f64;
        }
        prop_assert!(given <= FLEET_LOADS_PER_S * seconds as f64 + zones as f64);
    }
}

#[test]
fn a_holder_that_was_not_paused_goes_on_giving_orders() {
    let sent = two_holders(0, 0, 10, true);
    assert!(sent.iter().all(|s| s.fence == 1));
    assert!(sent.len() > 300, "{}", sent.len());
}

#[rstest]
#[case::engine_checks(true, 0, true)]
#[case::engine_ignores_and_holder_is_new(false, 0, false)]
#[case::engine_ignores_and_old_orders_are_over(false, 8_000, true)]
#[case::lease_is_too_short_for_an_order(true, 4_000, false)]
fn an_order_may_be_sent(#[case] checks: bool, #[case] after: u64, #[case] may: bool) {
    let start = Instant::now();
    let mut clock = LeaseClock::new(1, start, start);
    if !checks && after > 0 {
        clock.renewed(start + ms(after));
    }
    assert_eq!(clock.may_send_order(checks, start + ms(after)), may);
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
fn an_engine_is_to_carry_the_models_of_its_pools(#[case] kind: &str, #[case] models: &[&str]) {
    let labels = [("kind".to_owned(), kind.to_owned())].into();
    let goal = desired_state(&config(), &labels).expect("a pool has it");
    let names: Vec<&str> = goal.models.keys().map(AsRef::as_ref).collect();
    assert_eq!(names, models);
    assert_eq!(goal.models["chat"].version, "2");
    assert_eq!(goal.models["chat"].adapters, ["a", "b"]);
    assert_eq!(goal.role, format!("{kind}-role"));
    assert!(goal.needs_load(&DesiredState::default()) && !goal.needs_load(&goal));
}

#[test]
fn an_engine_that_no_pool_has_gets_no_order() {
    let labels = [("kind".to_owned(), "other".to_owned())].into();
    assert_eq!(desired_state(&config(), &labels), None);
}
