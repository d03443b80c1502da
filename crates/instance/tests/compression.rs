//! Texts survive compression, and corrupt or oversized data is rejected.

use std::io::ErrorKind;

use mimosapass_instance::compression::{compress, decompress};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(10),
        cases: 64,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_text_survives_compression(text in ".{0,400}") {
        let compressed = compress(&text).expect("compressed");
        prop_assert_eq!(decompress(&compressed, text.len()).expect("a text"), text);
    }

    #[test]
    fn corrupt_data_is_rejected_or_limited(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decompress(&bytes, 100).map_or(true, |t| t.len() <= 100));
    }
}

#[test]
fn a_text_over_the_limit_is_rejected() {
    let compressed = compress(&"x".repeat(5_000_000)).expect("compressed");
    let error = decompress(&compressed, 1_900_000).expect_err("too long");
    assert_eq!(error.kind(), ErrorKind::FileTooLarge);
}

#[test]
fn a_configuration_shrinks_to_a_tenth() {
    let row = |i| format!("  - name: workspace-{i:04}\n    share: {}\n    in_flight: 64\n", i % 7);
    let text: String = (0..2_200).map(row).collect();
    let compressed = compress(&text).expect("compressed");
    assert!(compressed.len() * 10 < text.len(), "{} of {}", compressed.len(), text.len());
    println!("{} of {} bytes", compressed.len(), text.len());
}
