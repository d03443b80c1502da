//! Requests are queued, or refused at once with a `retry-after`.

use std::thread::{self, JoinHandle};
use std::time::Duration;

use mimosapass_standin::engine::{Engine, Faults, Settings};
use rstest::rstest;

use crate::common::{
    CONFIG, Fleet, Response, agent, chat_body, error_code, metric_sum, post, request_count, status,
    wait_until,
};

/// Headers with a workspace and a deadline.
type Headers = [(&'static str, &'static str); 2];

const LARGE: Headers = [("mimosapass-workspace", "atlas"), ("mimosapass-deadline-ms", "20000")];
const SMALL: Headers = [("mimosapass-workspace", "dokaz"), ("mimosapass-deadline-ms", "20000")];
const TINY: Headers = [("mimosapass-workspace", "tiny"), ("mimosapass-deadline-ms", "20000")];
const SHORT_DEADLINE: Headers =
    [("mimosapass-workspace", "atlas"), ("mimosapass-deadline-ms", "700")];

/// Starts one instance with one engine and a queue of two requests.
fn fleet(settings: Settings) -> Fleet {
    let mut fleet = Fleet::new(&[("zone-a", settings)]);
    let config = CONFIG.replace("deadline_ms: 20000", "deadline_ms: 20000\n    queue: 2");
    fleet.apply(&format!("{config}  - name: dokaz\n  - name: tiny\n    in_flight: 1\n"));
    fleet.start("zone-a", "");
    fleet.wait_ready();
    let reported = |t: &serde_json::Value| t["free"].as_u64().is_some_and(|free| free > 0);
    wait_until("the engine has reported", || {
        let status = status(&fleet.instances[0]);
        status["targets"].as_array().is_some_and(|all| all.iter().any(reported))
    });
    fleet
}

fn one_slot() -> Settings {
    Settings { slots: 1, ..Settings::default() }
}

fn send_request(fleet: &Fleet, headers: Headers) -> Response {
    let url = fleet.instances[0].url("/v1/chat/completions");
    post(&url, &headers, &chat_body(10, 1, false)).expect("an answer")
}

fn start_request(fleet: &Fleet, headers: Headers) -> JoinHandle<Response> {
    let url = fleet.instances[0].url("/v1/chat/completions");
    thread::spawn(move || post(&url, &headers, &chat_body(10, 1, false)).expect("an answer"))
}

/// Occupies the only slot until the engine's faults change.
fn occupy(fleet: &Fleet) -> (&Engine, JoinHandle<Response>) {
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_from: Some(0), ..Faults::default() });
    let first = start_request(fleet, LARGE);
    wait_until("the slot is occupied", || engine.runs() == 1);
    (engine, first)
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let fleet = fleet(Settings { prefill_rate: 1_000, ..Settings::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let headers = [("mimosapass-deadline-ms", "10000")];
    // Twenty seconds of prefill exceed a deadline of ten by ten.
    let seen = post(&url, &headers, &chat_body(20_000, 1, false)).expect("an answer");
    assert_eq!((error_code(&seen).as_str(), seen.status, seen.not_run), ("too_late", 503, true));
    assert!(seen.retry_after_s.is_some_and(|s| (10..=17).contains(&s)), "{seen:?}");
    assert_eq!(fleet.engines[0].1.runs(), 0);
    assert_eq!(post(&url, &headers, &chat_body(100, 1, false)).expect("an answer").status, 200);
}

#[test]
fn a_full_queue_refuses_at_once_and_drops_no_request() {
    let fleet = fleet(one_slot());
    let (engine, first) = occupy(&fleet);
    let mut waiting = vec![
        start_request(&fleet, LARGE),
        start_request(&fleet, LARGE),
        start_request(&fleet, LARGE),
    ];
    // The queue holds two; the last request to arrive is refused at once.
    wait_until("one request is refused", || waiting.iter().any(JoinHandle::is_finished));
    let at = waiting.iter().position(JoinHandle::is_finished).expect("one is");
    let refused = waiting.remove(at).join().expect("an answer");
    assert_eq!((error_code(&refused).as_str(), refused.status), ("queue_full", 429));
    assert!(refused.not_run && refused.retry_after_s.is_some(), "{refused:?}");
    let waits = || metric_sum(&fleet.instances[0], "mimosapass_waiting_requests", "");
    wait_until("the metric counts two queued requests", || waits() == 2);
    // A workspace below its share displaces the newest request of the other.
    waiting.push(start_request(&fleet, SMALL));
    wait_until("one request is displaced", || waiting.iter().any(JoinHandle::is_finished));
    let at = waiting.iter().position(JoinHandle::is_finished).expect("one is");
    assert_ne!(at, 2, "the request of the small workspace was refused");
    let displaced = waiting.remove(at).join().expect("an answer");
    assert_eq!((error_code(&displaced).as_str(), displaced.not_run), ("queue_full", true));
    engine.set(Faults::default());
    let rest = std::iter::once(first).chain(waiting).map(|w| w.join().expect("an answer").status);
    assert_eq!(rest.collect::<Vec<_>>(), [200, 200, 200]);
    assert_eq!(engine.runs(), 3);
}

#[test]
fn a_queued_request_that_can_no_longer_meet_its_deadline_is_refused() {
    let fleet = fleet(Settings { prefill_rate: 1_000, ..one_slot() });
    let (engine, first) = occupy(&fleet);
    // Eight seconds of prefill fit into a deadline of ten, but not after three seconds.
    let url = fleet.instances[0].url("/v1/chat/completions");
    let headers = [("mimosapass-deadline-ms", "10000")];
    let seen = post(&url, &headers, &chat_body(8_000, 1, false)).expect("an answer");
    assert_eq!((error_code(&seen).as_str(), seen.not_run), ("too_late", true), "{seen:?}");
    engine.set(Faults::default());
    assert_eq!(first.join().expect("an answer").status, 200);
    assert_eq!(engine.runs(), 1);
}

#[test]
fn a_workspace_over_its_limit_is_refused_and_others_are_served() {
    let fleet = fleet(Settings::default());
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_from: Some(0), ..Faults::default() });
    let first = start_request(&fleet, TINY);
    wait_until("the request runs", || engine.runs() == 1);
    let seen = send_request(&fleet, TINY);
    assert_eq!((error_code(&seen).as_str(), seen.status), ("workspace_limit", 429));
    assert!(seen.not_run && seen.retry_after_s.is_some(), "{seen:?}");
    let other = start_request(&fleet, SMALL);
    wait_until("another workspace runs", || engine.runs() == 2);
    engine.set(Faults::default());
    assert_eq!([first, other].map(|w| w.join().expect("an answer").status), [200, 200]);
    assert_eq!(send_request(&fleet, TINY).status, 200);
}

#[test]
fn a_deadline_that_passes_in_the_queue_ends_as_not_run() {
    let fleet = fleet(one_slot());
    let (engine, first) = occupy(&fleet);
    let seen = send_request(&fleet, SHORT_DEADLINE);
    assert_eq!(
        (error_code(&seen).as_str(), seen.status, seen.not_run),
        ("queue_timeout", 503, true)
    );
    assert!(seen.retry_after_s.is_some_and(|s| s >= 1), "{seen:?}");
    engine.set(Faults::default());
    assert_eq!(first.join().expect("an answer").status, 200);
    assert_eq!(send_request(&fleet, LARGE).status, 200);
    assert_eq!(engine.runs(), 2);
}

#[test]
fn a_disconnected_caller_frees_its_place_in_the_queue() {
    let fleet = fleet(one_slot());
    let (engine, first) = occupy(&fleet);
    let request = agent().post(fleet.instances[0].url("/v1/chat/completions"));
    let request = request.header("mimosapass-workspace", "atlas");
    let request = request.config().timeout_global(Some(Duration::from_millis(300))).build();
    assert!(request.send(chat_body(10, 1, false)).is_err(), "no answer came in time");
    // The request ends while the slot is still occupied.
    wait_until("the request left the queue", || {
        request_count(&fleet.instances[0], "caller_gone") == 1
    });
    // Both places of the queue are free.
    let waiting = [start_request(&fleet, LARGE), start_request(&fleet, LARGE)];
    thread::sleep(Duration::from_millis(300));
    engine.set(Faults::default());
    assert_eq!(first.join().expect("an answer").status, 200);
    assert_eq!(waiting.map(|w| w.join().expect("an answer").status), [200, 200]);
    assert_eq!(engine.runs(), 3);
}

#[rstest]
#[case::that_is_freed(20_000, "ok", false)]
#[case::that_stays_occupied(2_000, "queue_timeout", true)]
fn a_prompt_waits_for_memory(
    #[case] deadline_ms: u32,
    #[case] outcome: &str,
    #[case] not_run: bool,
) {
    let fleet = fleet(Settings { capacity: 3_000, ..Settings::default() });
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_from: Some(0), ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let send = |deadline: String| {
        let url = url.clone();
        let headers = move |url: &str| {
            post(url, &[("mimosapass-deadline-ms", &deadline)], &chat_body(2_000, 1, false))
        };
        thread::spawn(move || headers(&url).expect("an answer"))
    };
    let first = send("20000".to_owned());
    wait_until("the memory is occupied", || engine.runs() == 1);
    let second = send(deadline_ms.to_string());
    if !not_run {
        wait_until("the second request waits", || {
            metric_sum(&fleet.instances[0], "mimosapass_memory_waits", "") > 0
        });
        engine.set(Faults::default());
    }
    let seen = second.join().expect("an answer");
    assert_eq!((error_code(&seen).as_str(), seen.not_run), (outcome, not_run), "{seen:?}");
    engine.set(Faults::default());
    assert_eq!(error_code(&first.join().expect("an answer")), "ok");
    assert_eq!(engine.runs(), if not_run { 1 } else { 2 });
}

#[rstest]
#[case::in_a_planned_stop(false, "ok")]
#[case::in_a_shortened_stop(true, "stopping")]
fn a_waiting_request_of_a_stopping_instance(#[case] shortened: bool, #[case] outcome: &str) {
    let mut fleet = fleet(one_slot());
    fleet.start("zone-a", "");
    fleet.wait_ready();
    // The other instance occupies the slot, so that no end of a request here frees it.
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_from: Some(0), ..Faults::default() });
    let url = fleet.instances[1].url("/v1/chat/completions");
    let first =
        thread::spawn(move || post(&url, &LARGE, &chat_body(10, 1, false)).expect("an answer"));
    let full = || {
        let targets = status(&fleet.instances[0])["targets"].clone();
        targets.as_array().is_some_and(|all| all.iter().any(|t| t["running"] == 1))
    };
    wait_until("the instance knows that the slot is occupied", full);
    let second = start_request(&fleet, SMALL);
    wait_until("the request is queued", || {
        metric_sum(&fleet.instances[0], "mimosapass_waiting_requests", "") == 1
    });
    fleet.instances[0].signal("TERM");
    wait_until("the instance is not ready", || !fleet.instances[0].is_ready());
    if shortened {
        fleet.instances[0].signal("TERM");
    } else {
        engine.set(Faults::default());
    }
    let seen = second.join().expect("an answer");
    assert_eq!((error_code(&seen).as_str(), seen.not_run), (outcome, shortened), "{seen:?}");
    engine.set(Faults::default());
    assert_eq!(error_code(&first.join().expect("an answer")), "ok");
    assert_eq!(engine.runs(), if shortened { 1 } else { 2 });
}
