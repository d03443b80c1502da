//! What may be passed on of an engine's stream, whatever the engine sends.

use mimosapass_core::answer::{Action, Progress, StreamError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// One event as an engine may send it.
#[derive(Clone, Debug)]
enum Sent {
    Start,
    Token { attempt: usize, index: u64 },
    End { attempt: usize, tokens: u64 },
}

fn sent() -> impl Strategy<Value = Sent> {
    prop_oneof![
        1 => Just(Sent::Start),
        8 => (0..4_usize, 0..6_u64).prop_map(|(attempt, index)| Sent::Token { attempt, index }),
        2 => (0..4_usize, 0..6_u64).prop_map(|(attempt, tokens)| Sent::End { attempt, tokens }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// Passed tokens are 0, 1, 2 and so on, each of the attempt under way, and
    /// a whole answer has as many as its end mark counts.
    #[test]
    fn passed_tokens_have_no_gap_and_no_repeat(events in prop::collection::vec(sent(), 0..60)) {
        let mut progress = Progress::default();
        let mut current = 0;
        let mut passed = Vec::new();
        progress.start("0");
        for event in events {
            match event {
                Sent::Start => {
                    current += 1;
                    progress.start(&current.to_string());
                }
                Sent::Token { attempt, index } => {
                    if progress.on_token(&attempt.to_string(), index) == Action::Forward {
                        prop_assert_eq!(attempt, current);
                        passed.push(index);
                    }
                }
                Sent::End { attempt, tokens } => {
                    if progress.on_end(&attempt.to_string(), tokens) == Action::Complete {
                        prop_assert_eq!(attempt, current);
                        prop_assert_eq!(tokens, passed.len() as u64);
                    }
                }
            }
            let whole: Vec<u64> = (0..passed.len() as u64).collect();
            prop_assert_eq!(&passed, &whole);
            prop_assert_eq!(progress.forwarded(), passed.len() as u64);
        }
    }

    /// However an honest engine's stream is cut, the next attempt completes it.
    #[test]
    fn cut_streams_add_up_to_the_whole(total in 0..40_u64, cuts in prop::collection::vec(0..12_u64, 0..6)) {
        let mut progress = Progress::default();
        let mut whole = false;
        for (number, cut) in cuts.iter().chain([&u64::MAX]).enumerate() {
            let attempt = number.to_string();
            progress.start(&attempt);
            let from = progress.forwarded();
            for index in from..total.min(from.saturating_add(*cut)) {
                prop_assert_eq!(progress.on_token(&attempt, index), Action::Forward);
            }
            whole = progress.on_end(&attempt, total) == Action::Complete;
        }
        prop_assert!(whole);
        prop_assert_eq!(progress.forwarded(), total);
    }
}

#[rstest]
#[case::next("b", 2, Action::Forward)]
#[case::of_another_attempt("a", 2, Action::OtherAttempt)]
#[case::gap("b", 4, Action::Fail(StreamError::Gap { index: 4, next: 2 }))]
#[case::from_the_start("b", 0, Action::Fail(StreamError::NotResumed { index: 0, from: 2 }))]
fn a_token_after_a_resume(#[case] attempt: &str, #[case] index: u64, #[case] action: Action) {
    let mut progress = Progress::default();
    progress.start("a");
    assert_eq!(
        (progress.on_token("a", 0), progress.on_token("a", 1)),
        (Action::Forward, Action::Forward)
    );
    assert_eq!(progress.on_token("a", 1), Action::Duplicate);
    progress.start("b");
    assert_eq!(progress.on_token(attempt, index), action);
}

#[rstest]
#[case::right(2, Action::Complete)]
#[case::too_few(1, Action::Fail(StreamError::CountMismatch { stated: 1, forwarded: 2 }))]
#[case::too_many(3, Action::Fail(StreamError::CountMismatch { stated: 3, forwarded: 2 }))]
fn an_end_mark(#[case] tokens: u64, #[case] action: Action) {
    let mut progress = Progress::default();
    progress.start("a");
    assert_eq!(
        (progress.on_token("a", 0), progress.on_token("a", 1)),
        (Action::Forward, Action::Forward)
    );
    assert_eq!(progress.on_end("a", tokens), action);
    assert_eq!(progress.on_end("b", 2), Action::OtherAttempt);
}
