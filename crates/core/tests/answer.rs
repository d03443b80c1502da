//! Which events of an engine's stream are forwarded, whatever the engine sends.

use mimosapass_core::answer::{Action, Progress, StreamError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// One event as an engine may send it.
#[derive(Clone, Debug)]
enum StreamEvent {
    Start,
    Token { attempt: usize, index: u64 },
    End { attempt: usize, tokens: u64 },
}

fn stream_event() -> impl Strategy<Value = StreamEvent> {
    prop_oneof![
        1 => Just(StreamEvent::Start),
        8 => (0..4_usize, 0..6_u64).prop_map(|(attempt, index)| StreamEvent::Token { attempt, index }),
        2 => (0..4_usize, 0..6_u64).prop_map(|(attempt, tokens)| StreamEvent::End { attempt, tokens }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// Forwarded tokens are 0, 1, 2 and so on, each of the current attempt, and
    /// a complete answer has as many as its end event states.
    #[test]
    fn forwarded_tokens_have_no_gap_and_no_duplicate(events in prop::collection::vec(stream_event(), 0..60)) {
        let mut progress = Progress::default();
        let mut current = 0;
        let mut forwarded = Vec::new();
        progress.start("0");
        for event in events {
            match event {
                StreamEvent::Start => {
                    current += 1;
                    progress.start(&current.to_string());
                }
                StreamEvent::Token { attempt, index } => {
                    if progress.on_token(&attempt.to_string(), index) == Action::Forward {
                        prop_assert_eq!(attempt, current);
                        forwarded.push(index);
                    }
                }
                StreamEvent::End { attempt, tokens } => {
                    if progress.on_end(&attempt.to_string(), tokens) == Action::Complete {
                        prop_assert_eq!(attempt, current);
                        prop_assert_eq!(tokens, forwarded.len() as u64);
                    }
                }
            }
            let expected: Vec<u64> = (0..forwarded.len() as u64).collect();
            prop_assert_eq!(&forwarded, &expected);
            prop_assert_eq!(progress.forwarded(), forwarded.len() as u64);
        }
    }

    /// Wherever a correct engine's stream breaks off, the next attempt resumes it.
    #[test]
    fn interrupted_streams_are_resumed_to_completion(total in 0..40_u64, lengths in prop::collection::vec(0..12_u64, 0..6)) {
        let mut progress = Progress::default();
        let mut complete = false;
        for (number, length) in lengths.iter().chain([&u64::MAX]).enumerate() {
            let attempt = number.to_string();
            progress.start(&attempt);
            let from = progress.forwarded();
            for index in from..total.min(from.saturating_add(*length)) {
                prop_assert_eq!(progress.on_token(&attempt, index), Action::Forward);
            }
            complete = progress.on_end(&attempt, total) == Action::Complete;
        }
        prop_assert!(complete);
        prop_assert_eq!(progress.forwarded(), total);
    }
}

#[rstest]
#[case::next("b", 2, Action::Forward)]
#[case::of_another_attempt("a", 2, Action::OtherAttempt)]
#[case::gap("b", 4, Action::Fail(StreamError::Gap { index: 4, next: 2 }))]
#[case::from_the_start("b", 0, Action::Fail(StreamError::NotResumed { index: 0, from: 2 }))]
fn a_token_is_checked_after_a_resume(
    #[case] attempt: &str,
    #[case] index: u64,
    #[case] action: Action,
) {
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
fn an_end_event_is_checked(#[case] tokens: u64, #[case] action: Action) {
    let mut progress = Progress::default();
    progress.start("a");
    assert_eq!(
        (progress.on_token("a", 0), progress.on_token("a", 1)),
        (Action::Forward, Action::Forward)
    );
    assert_eq!(progress.on_end("a", tokens), action);
    assert_eq!(progress.on_end("b", 2), Action::OtherAttempt);
}
