//! Packed texts come back whole, and a bomb does not.

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
    fn a_text_comes_back_whole(text in ".{0,400}") {
        let packed = compress(&text).expect("packed");
        prop_assert_eq!(decompress(&packed, text.len()).expect("a text"), text);
    }

    #[test]
    fn broken_bytes_are_refused_or_bounded(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decompress(&bytes, 100).map_or(true, |t| t.len() <= 100));
    }
}

#[test]
fn a_text_over_the_bound_is_refused() {
    let packed = compress(&"x".repeat(5_000_000)).expect("packed");
    let error = decompress(&packed, 1_900_000).expect_err("too long");
    assert_eq!(error.kind(), ErrorKind::FileTooLarge);
}

#[test]
fn a_configuration_shrinks_to_a_tenth() {
    let row = |i| format!("  - name: workspace-{i:04}\n    share: {}\n    in_flight: 64\n", i % 7);
    let text: String = (0..2_200).map(row).collect();
    let packed = compress(&text).expect("packed");
    assert!(packed.len() * 10 < text.len(), "{} of {}", packed.len(), text.len());
    println!("{} of {} bytes", packed.len(), text.len());
}
