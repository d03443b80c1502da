//! A refusal states that nothing ran only if that is true.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosapass_core::attempts::AttemptFailures;
use mimosapass_core::error::{Failure, Kind, TABLE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

#[test]
fn each_kind_has_its_own_row_and_code() {
    for (index, row) in TABLE.iter().enumerate() {
        assert_eq!(row.kind as usize, index, "{row:?}");
        assert_eq!(row.kind.row(), row);
    }
    let codes: BTreeSet<_> = TABLE.iter().map(|r| r.code).collect();
    assert_eq!(codes.len(), TABLE.len());
}

#[rstest]
#[case::bad_request(Kind::BadRequest, 400, true, None)]
#[case::too_large(Kind::TooLarge, 413, true, None)]
#[case::slow_request(Kind::SlowRequest, 408, true, Some(1.0))]
#[case::not_found(Kind::NotFound, 404, true, None)]
#[case::unknown_workspace(Kind::UnknownWorkspace, 403, true, None)]
#[case::no_class(Kind::NoClass, 403, true, None)]
#[case::never_fits(Kind::NeverFits, 422, true, None)]
#[case::workspace_limit(Kind::WorkspaceLimit, 429, true, Some(1.0))]
#[case::queue_full(Kind::QueueFull, 429, true, Some(1.0))]
#[case::too_late(Kind::TooLate, 503, true, Some(1.0))]
#[case::queue_timeout(Kind::QueueTimeout, 503, true, Some(1.0))]
#[case::no_target(Kind::NoTarget, 503, true, Some(1.0))]
#[case::quarantined(Kind::Quarantined, 503, true, Some(5.0))]
#[case::not_ready(Kind::NotReady, 503, true, Some(1.0))]
#[case::stopping(Kind::Stopping, 503, true, Some(0.1))]
#[case::record_unavailable(Kind::RecordUnavailable, 503, true, Some(5.0))]
#[case::running(Kind::Running, 409, false, Some(1.0))]
#[case::outcome_unknown(Kind::OutcomeUnknown, 409, false, None)]
#[case::already_ran(Kind::AlreadyRan, 409, false, None)]
#[case::mismatch(Kind::Mismatch, 409, false, None)]
#[case::rejected(Kind::Rejected, 400, false, None)]
#[case::refused(Kind::Refused, 503, true, Some(1.0))]
#[case::target_failed(Kind::TargetFailed, 502, false, Some(1.0))]
#[case::cut_answer(Kind::CutAnswer, 502, false, Some(1.0))]
#[case::run_timeout(Kind::RunTimeout, 504, false, Some(5.0))]
#[case::caller_gone(Kind::CallerGone, 499, false, None)]
#[case::internal(Kind::Internal, 500, false, Some(5.0))]
fn the_kind_determines_the_answer(
    #[case] kind: Kind,
    #[case] status: u16,
    #[case] not_run: bool,
    #[case] seconds: Option<f64>,
) {
    let failure = Failure::new(kind, "why");
    let min = seconds.map(Duration::from_secs_f64);
    assert_eq!((kind.row().status, kind.row().not_run), (status, not_run));
    assert_eq!(failure.retry_after(), min);
    let jittered = failure.clone().with_jitter(1.0).retry_after();
    assert_eq!(jittered, min.map(|s| s * 2));
    // A computed time is not shortened, and allows no retry where the kind does not.
    let later = Duration::from_mins(1);
    assert_eq!(failure.after(later).retry_after(), min.map(|_| later));
}

fn failure() -> impl Strategy<Value = Failure> {
    (0..TABLE.len()).prop_map(|i| Failure::new(TABLE[i].kind, "why"))
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// One attempt that may have run suffices, in any order of attempts.
    #[test]
    fn not_run_is_stated_only_if_no_attempt_may_have_run(
        attempts in prop::collection::vec(failure(), 1..6),
        no_target in any::<bool>(),
    ) {
        let mut failures = AttemptFailures::default();
        for attempt in &attempts {
            failures.record(attempt.clone());
        }
        if no_target {
            failures.record_no_target(Failure::new(Kind::NoTarget, "none"));
        }
        let may_have_run = attempts.iter().any(|f| !f.kind.row().not_run);
        prop_assert_eq!(failures.may_have_run(), may_have_run);
        prop_assert_eq!(failures.into_failure().kind.row().not_run, !may_have_run);
    }
}
