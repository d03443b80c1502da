//! A non-idempotent request runs at most once.

use std::cell::RefCell;
use std::thread;
use std::time::Duration;

use mimosapass_standin::engine::{self, Settings};
use mimosapass_standin::platform;
use mimosapass_standin::service::Faults;
use rstest::rstest;

use crate::common::{CONFIG, Fleet, Response, agent, chat_body, error_code, post, wait_until};

const BOOKING_PATH: &str = "/services/bookings/vans/7";

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default())]);
    fleet.apply(&format!("{CONFIG}  - name: dokaz\n"));
    for zone in ["zone-a", "zone-a", "zone-b"] {
        fleet.start(zone, "");
    }
    fleet.wait_ready();
    fleet
}

fn book(fleet: &Fleet, instance: usize, headers: &[(&str, &str)]) -> Response {
    let url = fleet.instances[instance].url(BOOKING_PATH);
    let headers = [&[("idempotency-key", "b-1")], headers].concat();
    post(&url, &headers, "one van").expect("an answer")
}

/// Repeats the booking until the answer has this code, and returns that answer.
fn repeat_until(fleet: &Fleet, instance: usize, wanted: &str) -> Response {
    repeat_with(fleet, instance, &[], wanted)
}

fn repeat_with(fleet: &Fleet, instance: usize, headers: &[(&str, &str)], wanted: &str) -> Response {
    let last = RefCell::new(None);
    wait_until(wanted, || {
        let seen = book(fleet, instance, headers);
        let found = error_code(&seen) == wanted;
        *last.borrow_mut() = Some(seen);
        found
    });
    last.into_inner().expect("an answer")
}

/// Returns how often records were written.
fn written(fleet: &Fleet) -> u64 {
    fleet.platform.write_count("once")
}

#[test]
fn a_booking_costs_the_store_two_writes_and_a_read_under_a_lease() {
    let fleet = fleet();
    let url = fleet.instances[0].url(BOOKING_PATH);
    for i in 0..20 {
        let id = format!("b-{i}");
        let seen = post(&url, &[("idempotency-key", &id)], "one van").expect("an answer");
        assert_eq!(seen.status, 200, "{seen:?}");
    }
    wait_until("all outcomes are written", || written(&fleet) >= 40);
    assert_eq!((written(&fleet), fleet.platform.read_count("once")), (40, 20));
    // Every record is deleted with its lease, which bounds the store.
    let kept = fleet.platform.values_under("once");
    assert!(kept.len() == 20 && kept.iter().all(|(_, leased)| *leased), "{kept:?}");
    fleet.platform.expire_leases();
    assert!(fleet.platform.values_under("once").is_empty());
}

#[test]
fn a_writer_paused_past_its_deadline_and_its_lease_sends_nothing() {
    let fleet = fleet();
    fleet.platform.set(platform::Faults { answer_ms: 500, ..platform::Faults::default() });
    thread::scope(|scope| {
        let fleet = &fleet;
        let headers = [("mimosapass-deadline-ms", "1500")];
        let first = scope.spawn(move || book(fleet, 0, &headers));
        wait_until("the record is written", || written(fleet) == 1);
        fleet.instances[0].signal("STOP");
        fleet.platform.set(platform::Faults::default());
        fleet.platform.expire_leases();
        // The record expired with its lease, so the repeat is a new request.
        assert_eq!(book(fleet, 1, &[]).status, 200);
        thread::sleep(Duration::from_secs(2));
        fleet.instances[0].signal("CONT");
        let seen = first.join().expect("an answer");
        assert_ne!(seen.status, 200, "{seen:?}");
    });
    assert_eq!(repeat_until(&fleet, 2, "ok").status, 200);
    assert_eq!(fleet.service.runs(), [1]);
}

#[test]
fn concurrent_repeats_through_all_instances_run_once() {
    let fleet = fleet();
    fleet.service.set(Faults { hold: true, ..Faults::default() });
    let seen: Vec<Response> = thread::scope(|scope| {
        let fleet = &fleet;
        let asked: Vec<_> = (0..12).map(|i| scope.spawn(move || book(fleet, i % 3, &[]))).collect();
        wait_until("all requests but one are answered", || {
            asked.iter().filter(|a| a.is_finished()).count() == 11
        });
        fleet.service.set(Faults::default());
        asked.into_iter().map(|a| a.join().expect("an answer")).collect()
    });
    assert_eq!(seen.iter().filter(|s| s.status == 200).count(), 1, "{seen:?}");
    assert!(seen.iter().all(|s| s.status == 200 || error_code(s) == "running"), "{seen:?}");
    let first = seen.into_iter().find(|s| s.status == 200).expect("one ran");
    let again = repeat_until(&fleet, 2, "ok");
    assert_eq!((again.status, again.body), (200, first.body));
    assert_eq!(fleet.service.runs(), [1]);
}

#[test]
fn tries_with_different_request_ids_share_one_key() {
    let fleet = fleet();
    let first = book(&fleet, 0, &[("mimosapass-request-id", "try-1")]);
    assert_eq!(first.status, 200, "{first:?}");
    let seen = repeat_with(&fleet, 1, &[("mimosapass-request-id", "try-2")], "ok");
    assert_eq!((seen.status, seen.body), (200, first.body));
    assert_eq!(fleet.service.runs(), [1]);
}

#[rstest]
#[case::create_response_lost(platform::Faults { lose_writes: 1, ..platform::Faults::default() })]
#[case::create_and_outcome_responses_lost(platform::Faults { lose_writes: 2, ..platform::Faults::default() })]
#[case::create_dropped(platform::Faults { drop_writes: 1, ..platform::Faults::default() })]
#[case::dropped_and_responses_lost(platform::Faults {
    drop_writes: 2,
    lose_writes: 2,
    ..platform::Faults::default()
})]
fn a_lost_response_of_the_store_is_resolved(#[case] faults: platform::Faults) {
    let fleet = fleet();
    fleet.platform.set(faults);
    let first = book(&fleet, 0, &[]);
    assert_eq!(first.status, 200, "{first:?}");
    let again = repeat_until(&fleet, 1, "ok");
    assert_eq!((again.status, again.body), (200, first.body));
    assert_eq!(fleet.service.runs(), [1]);
}

#[rstest]
#[case::unreachable(platform::Faults { outage: true, ..platform::Faults::default() })]
#[case::slow(platform::Faults { delay_ms: 3_000, ..platform::Faults::default() })]
#[case::unreachable_after_the_record_is_written(platform::Faults {
    lose_writes: 1,
    out_after_loss: true,
    ..platform::Faults::default()
})]
fn without_the_store_bookings_are_refused_and_lookups_are_served(#[case] faults: platform::Faults) {
    let fleet = fleet();
    fleet.platform.set(faults);
    let seen = book(&fleet, 0, &[]);
    assert_eq!((seen.status, seen.not_run), (503, true), "{seen:?}");
    assert_eq!(error_code(&seen), "record_unavailable");
    assert!(seen.retry_after_s.is_some_and(|s| (5..=10).contains(&s)), "{seen:?}");
    assert!(fleet.service.runs().is_empty());
    let url = fleet.instances[0].url("/services/lookups/vans");
    assert_eq!(post(&url, &[], "which").expect("an answer").status, 200);
    // Nothing ran, so the same booking runs when the store is reachable again.
    fleet.platform.set(platform::Faults::default());
    assert_eq!(repeat_until(&fleet, 1, "ok").status, 200);
    assert_eq!(fleet.service.runs(), [1, 1]);
}

#[test]
fn calls_to_a_store_that_does_not_answer_back_off() {
    let fleet = fleet();
    fleet.platform.set(platform::Faults { delay_ms: 1_500, ..platform::Faults::default() });
    for _ in 0..20 {
        assert_eq!(error_code(&book(&fleet, 0, &[])), "record_unavailable");
    }
    fleet.platform.set(platform::Faults::default());
    // Reads that timed out still reach the store.
    thread::sleep(Duration::from_secs(2));
    assert!(
        (1..=6).contains(&fleet.platform.read_count("once")),
        "{}",
        fleet.platform.read_count("once")
    );
}

#[test]
fn an_identifier_of_another_request_is_refused() {
    let fleet = fleet();
    assert_eq!(book(&fleet, 0, &[]).status, 200);
    let url = fleet.instances[1].url(BOOKING_PATH);
    let other = post(&url, &[("idempotency-key", "b-1")], "two vans").expect("an answer");
    assert_eq!((error_code(&other).as_str(), other.not_run), ("id_mismatch", false));
    assert_eq!(fleet.service.runs(), [1]);
    // The same identifier in another workspace stands for another request.
    let seen = book(&fleet, 1, &[("mimosapass-workspace", "dokaz")]);
    assert_eq!(seen.status, 200, "{seen:?}");
    assert_eq!(fleet.service.runs(), [2]);
}

#[test]
fn an_instance_killed_between_record_and_send_leaves_the_outcome_unknown() {
    let mut fleet = fleet();
    fleet.platform.set(platform::Faults { answer_ms: 20_000, ..platform::Faults::default() });
    let url = fleet.instances[0].url(BOOKING_PATH);
    let headers = [("idempotency-key", "b-1"), ("mimosapass-deadline-ms", "2000")];
    let asking = thread::spawn(move || post(&url, &headers, "one van").is_err());
    wait_until("the record is written", || written(&fleet) == 1);
    fleet.instances[0].child.kill().expect("killed");
    assert!(asking.join().expect("the request ends"));
    fleet.platform.set(platform::Faults::default());
    assert!(["running", "outcome_unknown"].contains(&error_code(&book(&fleet, 1, &[])).as_str()));
    let seen = repeat_until(&fleet, 2, "outcome_unknown");
    assert_eq!((seen.status, seen.not_run, seen.retry_after_s), (409, false, None));
    assert!(fleet.service.runs().is_empty());
}

#[test]
fn an_instance_killed_between_send_and_answer_leaves_the_outcome_unknown() {
    let mut fleet = fleet();
    fleet.service.set(Faults { hold: true, ..Faults::default() });
    let url = fleet.instances[0].url(BOOKING_PATH);
    let headers = [("idempotency-key", "b-1"), ("mimosapass-deadline-ms", "2000")];
    let asking = thread::spawn(move || post(&url, &headers, "one van").is_err());
    wait_until("the booking runs", || fleet.service.runs() == [1]);
    fleet.instances[0].child.kill().expect("killed");
    assert!(asking.join().expect("the request ends"));
    fleet.service.set(Faults::default());
    let seen = repeat_until(&fleet, 1, "outcome_unknown");
    assert_eq!((seen.status, seen.not_run, seen.retry_after_s), (409, false, None));
    assert_eq!(fleet.service.runs(), [1]);
}

#[rstest]
#[case::past_its_deadline("1500", Duration::from_secs(3))]
#[case::within_its_deadline("20000", Duration::from_secs(1))]
#[case::briefly("20000", Duration::from_millis(100))]
fn a_booking_of_a_writer_paused_between_record_and_send_runs_once(
    #[case] deadline: &str,
    #[case] pause: Duration,
) {
    let fleet = fleet();
    fleet.platform.set(platform::Faults { answer_ms: 500, ..platform::Faults::default() });
    thread::scope(|scope| {
        let fleet = &fleet;
        let headers = [("mimosapass-deadline-ms", deadline)];
        let first = scope.spawn(move || book(fleet, 0, &headers));
        wait_until("the record is written", || written(fleet) == 1);
        fleet.instances[0].signal("STOP");
        fleet.platform.set(platform::Faults::default());
        assert_eq!(error_code(&book(fleet, 1, &[])), "running");
        thread::sleep(pause);
        fleet.instances[0].signal("CONT");
        let seen = first.join().expect("an answer");
        assert!(seen.status == 200 || seen.not_run, "{seen:?}");
    });
    // Whether it was sent or not, the repeat is answered and the booking ran once.
    assert_eq!(repeat_until(&fleet, 1, "ok").status, 200);
    assert_eq!(fleet.service.runs(), [1]);
}

#[test]
fn a_booking_refused_by_the_target_may_be_repeated() {
    let fleet = fleet();
    fleet.service.set(Faults { refuse: true, ..Faults::default() });
    let seen = book(&fleet, 0, &[]);
    assert_eq!((error_code(&seen).as_str(), seen.not_run), ("refused", true));
    fleet.service.set(Faults::default());
    assert_eq!(repeat_until(&fleet, 1, "ok").status, 200);
    assert_eq!(fleet.service.runs(), [1]);
}

#[test]
fn a_call_whose_answer_was_lost_is_never_sent_again() {
    let fleet = fleet();
    fleet.service.set(Faults { lose_answer: true, ..Faults::default() });
    let seen = book(&fleet, 0, &[]);
    assert_eq!((error_code(&seen).as_str(), seen.not_run), ("target_failed", false));
    fleet.service.set(Faults::default());
    let seen = repeat_until(&fleet, 1, "outcome_unknown");
    assert_eq!((seen.status, seen.not_run, seen.retry_after_s), (409, false, None));
    assert_eq!(fleet.service.runs(), [1]);
}

#[test]
fn the_outcome_is_kept_for_a_disconnected_caller() {
    let fleet = fleet();
    fleet.service.set(Faults { hold: true, ..Faults::default() });
    let url = fleet.instances[0].url(BOOKING_PATH);
    let first = thread::spawn(move || {
        let request = agent().post(url).header("mimosapass-workspace", "atlas");
        let request = request.header("idempotency-key", "b-1");
        let request = request.config().timeout_global(Some(Duration::from_millis(700))).build();
        request.send("one van").is_err()
    });
    assert!(first.join().expect("the request ends"), "no answer came in time");
    assert_eq!(error_code(&book(&fleet, 1, &[])), "running");
    fleet.service.set(Faults::default());
    assert_eq!(repeat_until(&fleet, 1, "ok").status, 200);
    assert_eq!(fleet.service.runs(), [1]);
}

/// A class of model requests that are not idempotent.
const CHECKS_CLASS: &str = "  - name: checks
    select: {work: model}
    promise_ms: 1800
    deadline_ms: 5000
    idempotent: false
services:
  - name: bookings";

fn check(fleet: &Fleet, instance: usize, id: &[(&str, &str)]) -> Response {
    let url = fleet.instances[instance].url("/v1/chat/completions");
    let headers = [&[("mimosapass-class", "checks")], id].concat();
    post(&url, &headers, &chat_body(10, 2, false)).expect("an answer")
}

#[rstest]
#[case::complete(engine::Faults::default(), "ok", "already_ran")]
#[case::interrupted(
    engine::Faults { cut_after: Some(0), ..engine::Faults::default() },
    "target_failed",
    "outcome_unknown"
)]
fn a_non_idempotent_model_request_runs_once(
    #[case] faults: engine::Faults,
    #[case] first: &str,
    #[case] again: &str,
) {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default()), ("zone-a", Settings::default())]);
    fleet.apply(&CONFIG.replacen("services:\n  - name: bookings", CHECKS_CLASS, 1));
    fleet.start("zone-a", "");
    fleet.start("zone-b", "");
    fleet.wait_ready();
    let set = |faults: &engine::Faults| {
        fleet.engines.iter().for_each(|(_, e)| e.set(faults.clone()));
    };
    let runs = || fleet.engines.iter().map(|(_, e)| e.runs()).sum::<u64>();
    set(&faults);
    let id = [("idempotency-key", "p-1")];
    assert_eq!(error_code(&check(&fleet, 0, &id)), first);
    assert_eq!(runs(), 1);
    set(&engine::Faults::default());
    wait_until(again, || error_code(&check(&fleet, 1, &id)) == again);
    assert_eq!(runs(), 1);
    // Without an identifier there is no record, but no second attempt either.
    set(&faults);
    assert_eq!(error_code(&check(&fleet, 1, &[])), first);
    assert_eq!(runs(), 2);
}

/// Guards against an earlier refusal that is taken for the answer of the next request on a kept
/// connection: the request ran, and once more at a second engine.
#[test]
fn earlier_refusal_on_a_kept_connection_is_not_taken_for_an_answer() {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default()), ("zone-a", Settings::default())]);
    fleet.apply(&CONFIG.replacen("services:\n  - name: bookings", CHECKS_CLASS, 1));
    fleet.start("zone-a", "");
    fleet.wait_ready();
    let faults = engine::Faults { repeat_refusal: true, ..engine::Faults::default() };
    fleet.engines.iter().for_each(|(_, e)| e.set(faults.clone()));
    let runs = || fleet.engines.iter().map(|(_, e)| e.runs()).sum::<u64>();
    for number in 1..=8 {
        let id = format!("p-{number}");
        assert_eq!(error_code(&check(&fleet, 0, &[("idempotency-key", &id)])), "ok", "{id}");
        assert_eq!(runs(), number, "{id}");
    }
}
