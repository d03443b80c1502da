//! Estimates of a prompt's length and of an engine's prefill rate.

use std::time::Duration;

use mimosapass_core::estimate::{PrefillRate, TokenRatios};
use mimosapass_core::ids::ModelId;
use mimosapass_core::tiers::{length_band, prefill_by_band};
use rstest::rstest;

#[rstest]
#[case::dense(2)]
#[case::as_assumed(4)]
#[case::sparse(8)]
fn token_ratio_is_learned_from_usage_reports(#[case] ratio: usize) {
    let mut ratios = TokenRatios::default();
    let model = ModelId::from("chat");
    for tokens in 1_000..1_200 {
        ratios.record_usage(&model, tokens * ratio, tokens as u64);
    }
    let estimate = ratios.estimate_tokens("chat", 10_000 * ratio);
    assert!((9_900..=10_100).contains(&estimate), "{estimate} for 10,000 tokens");
    assert_eq!(ratios.estimate_tokens("other", 4_000), 1_000);
}

#[test]
fn prefill_rate_needs_samples_and_limits_outliers() {
    let mut rate = PrefillRate::default();
    for _ in 0..7 {
        rate.record_sample(4_000, Duration::from_millis(200));
    }
    assert_eq!(rate.tokens_per_second(), None);
    for _ in 0..20 {
        rate.record_sample(4_000, Duration::from_millis(200));
    }
    // A request that was delayed by 30 s of work unknown when it was sent.
    rate.record_sample(4_000, Duration::from_secs(30));
    let learned = rate.tokens_per_second().expect("enough samples");
    assert!((18_000.0..20_000.0).contains(&learned), "{learned} tokens a second");
    // A request whose prompt was cached.
    rate.record_sample(4_000, Duration::from_millis(1));
    let learned = rate.tokens_per_second().expect("enough samples");
    assert!((18_000.0..30_000.0).contains(&learned), "{learned} tokens a second");
}

#[rstest]
#[case::reported(&[5, 6, 7], [5, 6, 7])]
#[case::not_reported_and_long(&[], [0, 0, 40_000])]
#[case::reported_with_another_length(&[1, 2], [0, 0, 40_000])]
fn prefill_by_band_is_derived_when_not_reported(
    #[case] reported: &[u64],
    #[case] expected: [u64; 3],
) {
    assert_eq!(prefill_by_band(40_000, reported), expected);
    assert_eq!([1, 8_191, 8_192, 32_767, 32_768, 1_000_000].map(length_band), [0, 0, 1, 1, 2, 2]);
}
