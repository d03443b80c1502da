//! What an instance that stops may still send to a target.

use std::time::{Duration, Instant};

use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::route_table::{
    RetryPolicy, Route, RouteTable, Service, ServiceId, WeightedService,
};
use mimosapass_core::edge::schedule::{Requirements, TokenCounts};
use mimosapass_core::edge::stop::{Stop, run_time};
use proptest::prelude::*;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(10);

fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 450_000,
        step_ms: 0.925,
        request_ms: 0.005,
        context_ms: 0.0025,
        tokens_per_ms: 256.0,
        pairs_ms: 0.09,
        chunk: 2048,
        stride: 46,
        hop_ms: 0.1,
        mean_prompt: 13_000.0,
        mean_answer: 1_500.0,
    }
}

/// Returns the requirements of a request for a service with or without a cost model.
fn requirements(engine: Option<Engine>, prompt: u64, max_answer: u64) -> Requirements {
    let service = ServiceId::from("pool");
    let route = Route {
        name: "chat".into(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry_policy: RetryPolicy::Once,
        streaming: engine.is_some(),
        timeout: TIMEOUT,
        latency_goal: TIMEOUT,
        max_gap: TIMEOUT,
        priority: 0,
        split: vec![WeightedService { service: ServiceId::clone(&service), weight: 1.0 }],
        attempts: 1,
        public: true,
    };
    let known = Service {
        name: ServiceId::clone(&service),
        health_path: String::new(),
        max_connections: 1,
        engine,
    };
    let table = RouteTable::new(1, vec![route.clone()], vec![known]);
    let now = Instant::now();
    let tokens = TokenCounts { prompt, max_answer, answer_hint: None };
    Requirements::new(&table, &route, &service, tokens, now, now + TIMEOUT)
}

#[rstest]
#[case::short(5_000, 1_610, 3.0, 4.0)]
#[case::short_answer(5_000, 805, 1.5, 2.0)]
#[case::long(210_000, 782, 3.5, 6.0)]
#[case::longest(1_000_000, 1_000, 10.0, 10.0)]
fn run_at_an_engine_is_estimated(
    #[case] prompt: u64,
    #[case] tokens: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let run = run_time(&requirements(Some(engine()), prompt, tokens), tokens, TIMEOUT);
    assert!((least..=most).contains(&run.as_secs_f64()), "{run:?}");
}

#[rstest]
#[case::service(None, 50)]
#[case::length_not_stated(Some(engine()), 0)]
fn run_of_unknown_length_may_take_until_its_time_limit(
    #[case] engine: Option<Engine>,
    #[case] max_answer: u64,
) {
    let left = Duration::from_millis(2_345);
    assert_eq!(run_time(&requirements(engine, 5_000, max_answer), max_answer, left), left);
}

/// Callers that come during the notice are still sent here: a stream of the expected length can
/// end in the grace, and is not refused for the longest answer that it might have.
#[rstest]
#[case::repeatable(true, 0, true)]
#[case::may_run_once(false, 0, false)]
#[case::after_the_notice(true, 3_000, false)]
fn expected_length_counts_during_the_notice(
    #[case] repeatable: bool,
    #[case] after_ms: u64,
    #[case] wanted: bool,
) {
    let begun = Instant::now();
    let stop = Stop::new(begun, Duration::from_secs(8));
    let stream = requirements(Some(engine()), 5_000, 5_000);
    let now = begun + Duration::from_millis(after_ms);
    assert_eq!(stop.allows(&stream, repeatable, TIMEOUT, now), wanted);
}

/// Guards against streams that come after the notice and are cut at the end: an engine that reads
/// the prompt of another instance between their events takes longer than any estimate.
#[rstest]
#[case::in_the_notice(false, 2_400, 10_000, true)]
#[case::may_run_once(false, 3_150, 10_000, false)]
#[case::repeatable(true, 3_150, 10_000, false)]
#[case::limit_after_the_abort(false, 3_150, 4_451, false)]
#[case::limit_at_the_abort(false, 3_150, 4_450, true)]
fn time_limit_counts_after_the_notice(
    #[case] repeatable: bool,
    #[case] after_ms: u64,
    #[case] left_ms: u64,
    #[case] wanted: bool,
) {
    let begun = Instant::now();
    let stop = Stop::new(begun, Duration::from_secs(8));
    let stream = requirements(Some(engine()), 4_960, 2_024);
    let (left, now) = (Duration::from_millis(left_ms), begun + Duration::from_millis(after_ms));
    assert_eq!(stop.allows(&stream, repeatable, left, now), wanted);
}

proptest! {
    /// Guards against requests that begin late in the stop and are cut without an answer.
    #[test]
    fn what_is_allowed_ends_before_requests_are_aborted(
        limit in 0.0..600.0_f64,
        after in 0.0..700.0_f64,
        left in 0.0..20.0_f64,
        repeatable in any::<bool>(),
        prompt in 0_u64..1_000_000,
        max_answer in 0_u64..10_000,
        engine in prop_oneof![Just(None), Just(Some(engine()))],
    ) {
        let [limit, after, left] = [limit, after, left].map(Duration::from_secs_f64);
        let begun = Instant::now();
        let (stop, now) = (Stop::new(begun, limit), begun + after);
        let requirements = requirements(engine, prompt, max_answer);
        let longest = run_time(&requirements, max_answer, left);
        let expected = run_time(&requirements, requirements.answer, left);
        let bound = match after < stop.notice() {
            true if repeatable => expected,
            true => longest,
            false => left,
        };
        let allowed = stop.allows(&requirements, repeatable, left, now);
        prop_assert_eq!(allowed, after + bound + stop.margin() <= limit);
        prop_assert!(stop.abort_at() <= begun + limit);
        prop_assert!(begun + stop.notice() <= stop.abort_at(), "idle connections are closed first");
        prop_assert!(stop.margin() * 4 <= limit && stop.margin() <= Duration::from_millis(400));
    }
}

#[test]
fn nothing_is_allowed_without_any_time() {
    let begun = Instant::now();
    let stop = Stop::new(begun, Duration::ZERO);
    let call = requirements(None, 0, 0);
    assert!(!stop.allows(&call, true, Duration::from_millis(1), begun));
    assert_eq!(stop.abort_at(), begun);
}
