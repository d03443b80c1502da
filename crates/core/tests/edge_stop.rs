//! What an instance that stops may still send to a target.

use std::time::{Duration, Instant};

use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::route_table::{
    RetryPolicy, Route, RouteTable, Service, ServiceId, WeightedService,
};
use mimosapass_core::edge::schedule::{Requirements, TokenCounts};
use mimosapass_core::edge::stop::{Stop, longest_run};
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
#[case::long(210_000, 782, 3.5, 6.0)]
#[case::longest(1_000_000, 1_000, 10.0, 10.0)]
#[case::length_not_stated(5_000, 0, 10.0, 10.0)]
fn run_at_an_engine_has_a_bound(
    #[case] prompt: u64,
    #[case] max_answer: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let run = longest_run(&requirements(Some(engine()), prompt, max_answer), TIMEOUT);
    assert!((least..=most).contains(&run.as_secs_f64()), "{run:?}");
}

#[test]
fn run_at_a_service_may_take_until_its_time_limit() {
    let left = Duration::from_millis(2_345);
    assert_eq!(longest_run(&requirements(None, 0, 0), left), left);
}

proptest! {
    /// Guards against requests that begin late in the stop and are cut without an answer.
    #[test]
    fn what_is_allowed_ends_before_requests_are_aborted(
        limit in 0.0..600.0_f64,
        after in 0.0..700.0_f64,
        run in 0.0..20.0_f64,
    ) {
        let [limit, after, run] = [limit, after, run].map(Duration::from_secs_f64);
        let begun = Instant::now();
        let stop = Stop::new(begun, limit);
        let allowed = stop.allows(run, begun + after);
        prop_assert_eq!(allowed, after + run + stop.margin() <= limit);
        prop_assert!(stop.abort_at() <= begun + limit);
        prop_assert!(begun + stop.notice() <= stop.abort_at(), "idle connections are closed first");
        prop_assert!(stop.margin() * 4 <= limit && stop.margin() <= Duration::from_millis(400));
    }
}

#[test]
fn nothing_is_allowed_without_any_time() {
    let begun = Instant::now();
    let stop = Stop::new(begun, Duration::ZERO);
    assert!(!stop.allows(Duration::from_millis(1), begun));
    assert_eq!(stop.abort_at(), begun);
}
