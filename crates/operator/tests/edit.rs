//! Tests of edits of the drained targets.

use mimosapass_core::labels::Selector;
use mimosapass_operator::edit::{EditError, drain, undrain};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const HEAD: &str = "# kept\npools:\n  - {name: engines}  # kept\nclasses:\n  - {name: all, promise_ms: 1, deadline_ms: 2}\nworkspaces: []\n";

fn rack(name: &str) -> Selector {
    [("rack".to_owned(), name.to_owned())].into()
}

#[rstest]
#[case::absent("", "drained:\n  - {\"rack\": \"r7\"}\n")]
#[case::empty("drained: []\n", "drained:\n  - {\"rack\": \"r7\"}\n")]
#[case::none("drained:\n", "drained:\n  - {\"rack\": \"r7\"}\n")]
#[case::flush(
    "drained:\n- rack: r1\n  hall: h\n",
    "drained:\n- rack: r1\n  hall: h\n- {\"rack\": \"r7\"}\n"
)]
#[case::followed(
    "drained:\n  - rack: r1 # why\nmodels: []\n",
    "drained:\n  - rack: r1 # why\n  - {\"rack\": \"r7\"}\nmodels: []\n"
)]
fn a_drain_changes_only_its_lines(#[case] before: &str, #[case] after: &str) {
    let drained = drain(&format!("{HEAD}{before}"), &rack("r7")).expect("drained");
    assert_eq!(drained.text, format!("{HEAD}{after}"));
}

#[rstest]
#[case::flow_over_lines("drained: [\n  {rack: r1}\n]\n")]
#[case::flow("drained: [{rack: r1}]\n")]
fn an_unsupported_form_is_rejected(#[case] before: &str) {
    let error = drain(&format!("{HEAD}{before}"), &rack("r7")).expect_err("unsupported form");
    assert_eq!(error, EditError::UnsupportedForm);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(20_261_203), cases: 200, ..ProptestConfig::default() })]

    /// Reverting a drain restores the previous text.
    #[test]
    fn an_undrain_reverts_its_drain(names in proptest::collection::btree_set("[a-z:'\"#{} -]{1,8}", 2..5)) {
        let names: Vec<String> = names.into_iter().collect();
        let mut text = HEAD.to_owned();
        for name in &names[1..] {
            text = drain(&text, &rack(name)).expect("drained").text;
        }
        let with = drain(&text, &rack(&names[0])).expect("drained");
        prop_assert!(with.config.drained.contains(&rack(&names[0])));
        prop_assert_eq!(undrain(&with.text, &rack(&names[0])).expect("undrained").text, text);
    }
}
