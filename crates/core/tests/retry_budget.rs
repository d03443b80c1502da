//! Retries are limited to a share of successes.

use mimosapass_core::retry_budget::RetryBudget;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Retries that a full budget allows in a row.
const BURST: u32 = 20;

fn config() -> ProptestConfig {
    ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// At any time, retries are at most the burst and a tenth of the successes.
    #[test]
    fn retries_are_limited_to_the_burst_and_a_tenth_of_successes(
        succeeded in prop::collection::vec(any::<bool>(), 0..500),
    ) {
        let mut budget = RetryBudget::default();
        let (mut successes, mut retries) = (0, 0);
        for success in succeeded {
            if success {
                budget.record_success();
                successes += 1;
            } else {
                retries += u32::from(budget.try_spend());
            }
            prop_assert!(retries <= BURST + successes / 10 + 1);
        }
    }
}

#[test]
fn an_empty_budget_allows_no_retry_until_enough_requests_succeeded() {
    let mut budget = RetryBudget::default();
    assert!((0..BURST).all(|_| budget.try_spend()));
    assert!(!budget.try_spend());
    (0..11).for_each(|_| budget.record_success());
    assert!(budget.try_spend());
    assert!(!budget.try_spend());
}
