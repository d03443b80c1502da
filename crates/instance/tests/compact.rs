//! Property: a short record means the whole one, whatever was lost.

use mimosapass_instance::compact::{Compactor, Expander};
use mimosapass_instance::message::LoadReport;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fixed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(9), cases: 128, ..ProptestConfig::default() }
}

fn record(target: u8, boot: u64, models: u8, number: u64) -> LoadReport {
    LoadReport {
        target: format!("engine-{target}"),
        boot,
        seq: number,
        prefill_tokens: number * 3,
        running: 4,
        slots: 64,
        free_tokens: 1_000 - number,
        capacity_tokens: 1_000,
        tokens_per_s: 40_000,
        leaving: number % 2 == 1,
        models: (0..models).map(|m| format!("model-{m}")).collect(),
        id: 0,
        bands: vec![number, 0, number * 2],
    }
}

/// One round: the engine's start number, its models, and what befalls it.
fn round() -> impl Strategy<Value = (u64, u8, bool, bool)> {
    (1_u64..3, 1_u8..3, prop::bool::weighted(0.3), prop::bool::weighted(0.1))
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn a_short_record_means_the_whole_one(rounds in prop::collection::vec(round(), 1..60)) {
        let mut compactor = Compactor::default();
        let mut expander = Expander::default();
        let mut missing = 0;
        for (number, (boot, models, lost, joins)) in rounds.into_iter().enumerate() {
            let number = number as u64;
            let records: Vec<LoadReport> =
                (0..3).map(|t| record(t, boot, models, number)).collect();
            if joins {
                expander = Expander::default();
            }
            let sent = compactor.compact(&records, joins);
            if lost {
                missing = 10;
                continue;
            }
            for (short, whole) in sent.into_iter().zip(&records) {
                let id = short.id;
                let seen = expander.expand(short);
                let expected = LoadReport { id, ..whole.clone() };
                // A lost record may leave the reader with old models for one
                // turn of whole records, but never with another engine's.
                if let Some(seen) = seen {
                    prop_assert_eq!(&seen.target, &expected.target);
                    prop_assert_eq!(
                        (seen.boot, seen.seq, seen.prefill_tokens, seen.free_tokens, &seen.bands),
                        (boot, number, expected.prefill_tokens, expected.free_tokens, &expected.bands)
                    );
                    prop_assert!(missing > 0 || seen == expected);
                } else {
                    prop_assert!(missing > 0, "a record was not understood");
                }
            }
            missing = u64::saturating_sub(missing, 1);
        }
    }

    #[test]
    fn a_short_record_is_short(count in 1_u8..20) {
        use prost::Message;
        let mut compactor = Compactor::default();
        let records: Vec<LoadReport> = (0..count).map(|t| record(t, 1, 2, 7)).collect();
        let length = |r: &[LoadReport]| r.iter().map(LoadReport::encoded_len).sum::<usize>();
        let whole = compactor.compact(&records, false);
        let short = compactor.compact(&records, false);
        prop_assert!(length(&short) * 2 < length(&whole));
    }
}
