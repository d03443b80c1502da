//! Properties of back-off and rate limiting.

use std::time::{Duration, Instant};

use mimosapass_core::pace::{Backoff, Bucket, jitter};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fixed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(6), cases: 128, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn a_bucket_allows_no_more_than_its_rate_and_burst(
        steps in prop::collection::vec(0_u64..400, 1..200),
    ) {
        let start = Instant::now();
        let mut bucket = Bucket::new(2.0, 6.0, start);
        let mut now = start;
        let mut taken = 0.0;
        for ms in steps {
            now += Duration::from_millis(ms);
            taken += f64::from(u8::from(bucket.take(now)));
            let max = 6.0 + 2.0 * (now - start).as_secs_f64();
            prop_assert!(taken <= max + 1e-6, "{taken} of {max}");
        }
    }

    #[test]
    fn a_backoff_grows_within_its_bounds(randoms in prop::collection::vec(0.0_f64..1.0, 1..20)) {
        let (min, max) = (Duration::from_millis(500), Duration::from_secs(4));
        let mut backoff = Backoff::new(min, max);
        let now = Instant::now();
        for random in &randoms {
            backoff.failed(now, *random);
            prop_assert!(!backoff.ready(now + min / 2 * 9 / 10));
            prop_assert!(backoff.ready(now + max + max / 2));
        }
        backoff.succeeded();
        prop_assert!(backoff.ready(now));
    }

    #[test]
    fn jitter_changes_a_wait_by_at_most_half(random in 0.0_f64..1.0) {
        let wait = Duration::from_secs(30);
        let jitter = jitter(wait, random);
        prop_assert!(jitter >= wait / 2 && jitter <= wait * 3 / 2);
    }
}

/// Counts the calls of a fleet in each second of an outage of one minute and after it.
#[test]
fn a_fleet_does_not_overload_the_service_after_an_outage() {
    let start = Instant::now();
    let end = start + Duration::from_mins(1);
    let mut seed = 1_u64;
    let mut random = || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 40) as f64 / f64::from(1_u32 << 24)
    };
    let mut calls = vec![0; 70];
    for _ in 0..380 {
        let mut backoff = Backoff::new(Duration::from_millis(500), Duration::from_secs(4));
        let mut now = start;
        while now < end + Duration::from_secs(8) {
            if backoff.ready(now) {
                calls[(now - start).as_secs() as usize] += 1;
                if now >= end {
                    break;
                }
                backoff.failed(now, random());
            }
            now += Duration::from_millis(50);
        }
    }
    // The service allows 2000 reads per second; the fleet may use a tenth of that.
    let max = calls[4..].iter().max().copied().unwrap_or(0);
    assert!(max <= 200, "{calls:?}");
    assert_eq!(calls[60..].iter().sum::<i32>(), 380, "{calls:?}");
}
