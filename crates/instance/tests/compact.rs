//! Property: a compacted report expands to the full one, whatever was lost.

use mimosapass_instance::compact::{Compactor, Expander};
use mimosapass_instance::message::LoadReport;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(9), cases: 128, ..ProptestConfig::default() }
}

fn report(target: u8, boot: u64, models: u8, number: u64) -> LoadReport {
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

/// One round: `boot` and number of models of the engine, whether the reports are
/// lost, and whether a new peer joins.
fn round() -> impl Strategy<Value = (u64, u8, bool, bool)> {
    (1_u64..3, 1_u8..3, prop::bool::weighted(0.3), prop::bool::weighted(0.1))
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_compacted_report_expands_to_the_full_one(rounds in prop::collection::vec(round(), 1..60)) {
        let mut compactor = Compactor::default();
        let mut expander = Expander::default();
        let mut missing = 0;
        for (number, (boot, models, lost, joins)) in rounds.into_iter().enumerate() {
            let number = number as u64;
            let reports: Vec<LoadReport> =
                (0..3).map(|t| report(t, boot, models, number)).collect();
            if joins {
                expander = Expander::default();
            }
            let sent = compactor.compact(&reports, joins);
            if lost {
                missing = 10;
                continue;
            }
            for (compacted, full) in sent.into_iter().zip(&reports) {
                let id = compacted.id;
                let expanded = expander.expand(compacted);
                let expected = LoadReport { id, ..full.clone() };
                // A lost report may leave the receiver with old models until the
                // next full report, but never with those of another engine.
                if let Some(expanded) = expanded {
                    prop_assert_eq!(&expanded.target, &expected.target);
                    prop_assert_eq!(
                        (
                            expanded.boot,
                            expanded.seq,
                            expanded.prefill_tokens,
                            expanded.free_tokens,
                            &expanded.bands
                        ),
                        (
                            boot,
                            number,
                            expected.prefill_tokens,
                            expected.free_tokens,
                            &expected.bands
                        )
                    );
                    prop_assert!(missing > 0 || expanded == expected);
                } else {
                    prop_assert!(missing > 0, "a report was not expanded");
                }
            }
            missing = u64::saturating_sub(missing, 1);
        }
    }

    #[test]
    fn compacted_reports_are_less_than_half_as_long(count in 1_u8..20) {
        use prost::Message;
        let mut compactor = Compactor::default();
        let reports: Vec<LoadReport> = (0..count).map(|t| report(t, 1, 2, 7)).collect();
        let length = |r: &[LoadReport]| r.iter().map(LoadReport::encoded_len).sum::<usize>();
        let full = compactor.compact(&reports, false);
        let compacted = compactor.compact(&reports, false);
        prop_assert!(length(&compacted) * 2 < length(&full));
    }
}
