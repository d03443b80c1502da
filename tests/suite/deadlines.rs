//! Every admitted request finishes or fails within its deadline.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use mimosapass_standin::engine::{self, Settings};
use mimosapass_standin::{platform, service};
use rstest::rstest;

use crate::common::{
    CONFIG, Fleet, WAIT_TIMEOUT, chat_body, error_code, post, request_count, wait_until,
};

/// Header with the deadline of these requests.
const DEADLINE: (&str, &str) = ("mimosapass-deadline-ms", "1200");

fn fleet(settings: &Settings) -> Fleet {
    let mut fleet = Fleet::new(&[("zone-a", settings.clone()), ("zone-a", settings.clone())]);
    fleet.apply(CONFIG);
    fleet.start("zone-a", "");
    fleet.start("zone-a", "");
    fleet.wait_ready();
    fleet
}

/// Engine faults and the expected answer to a chat.
struct Case {
    faults: engine::Faults,
    answer: u32,
    code: &'static str,
    not_run: bool,
    retry: bool,
}

fn case(faults: engine::Faults, answer: u32, code: &'static str) -> Case {
    Case { faults, answer, code, not_run: false, retry: code != "ok" }
}

#[rstest]
#[case::without_faults(case(engine::Faults::default(), 2, "ok"))]
#[case::interrupted(case(engine::Faults { cut_after: Some(1), ..engine::Faults::default() }, 4, "cut_answer"))]
#[case::interrupted_before_the_first_token(case(engine::Faults { cut_after: Some(0), ..engine::Faults::default() }, 4, "target_failed"))]
#[case::frozen(case(engine::Faults { frozen: true, ..engine::Faults::default() }, 2, "run_timeout"))]
#[case::silent(case(engine::Faults { hold_from: Some(1), ..engine::Faults::default() }, 2, "run_timeout"))]
#[case::slow(case(engine::Faults::default(), 1_000, "run_timeout"))]
#[case::without_end_event(case(engine::Faults { no_end: true, ..engine::Faults::default() }, 2, "cut_answer"))]
#[case::crossed(case(engine::Faults { crossed: true, ..engine::Faults::default() }, 2, "target_failed"))]
#[case::refusing(Case { not_run: true, ..case(engine::Faults { refuse: true, ..engine::Faults::default() }, 2, "refused") })]
fn a_chat_ends_by_its_deadline(#[case] case: Case) {
    let settings = Settings { token_interval: Duration::from_millis(20), ..Settings::default() };
    let fleet = fleet(&settings);
    let set = |f: &engine::Faults| fleet.engines.iter().for_each(|(_, e)| e.set(f.clone()));
    set(&case.faults);
    let url = fleet.instances[0].url("/v1/chat/completions");
    let seen = post(&url, &[DEADLINE], &chat_body(10, case.answer, false)).expect("an answer");
    assert_eq!(error_code(&seen), case.code, "{seen:?}");
    assert_eq!(
        (seen.not_run, seen.retry_after_s.is_some()),
        (case.not_run, case.retry),
        "{seen:?}"
    );
    set(&engine::Faults::default());
    wait_until("the engines hold no memory", || {
        fleet.engines.iter().all(|(_, e)| e.held().is_empty())
    });
}

#[rstest]
#[case::slow(engine::Faults::default(), 1_000)]
#[case::silent(engine::Faults { hold_from: Some(1), ..engine::Faults::default() }, 4)]
#[case::interrupted(engine::Faults { cut_after: Some(1), ..engine::Faults::default() }, 4)]
fn a_failed_stream_never_looks_complete(#[case] faults: engine::Faults, #[case] answer: u32) {
    let settings = Settings { token_interval: Duration::from_millis(20), ..Settings::default() };
    let fleet = fleet(&settings);
    fleet.engines.iter().for_each(|(_, e)| e.set(faults.clone()));
    let mut stream = TcpStream::connect(fleet.instances[0].caller_addr()).expect("connects");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    stream.write_all(request(answer, DEADLINE.1).as_bytes()).expect("sent");
    let mut text = String::new();
    // The connection may be closed or reset.
    stream.read_to_string(&mut text).map(drop).unwrap_or_default();
    assert!(text.contains("t0 "), "{text}");
    assert!(text.contains("\"error\""), "{text}");
    assert!(!text.contains("[DONE]") && !text.ends_with("0\r\n\r\n"), "{text}");
}

fn request(answer: u32, deadline: &str) -> String {
    let body = chat_body(10, answer, true);
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nmimosapass-workspace: atlas\r\n\
         mimosapass-deadline-ms: {deadline}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn a_request_whose_caller_does_not_read_ends_at_its_deadline() {
    let settings = Settings { token_interval: Duration::ZERO, ..Settings::default() };
    let mut fleet = Fleet::new(&[("zone-a", settings)]);
    fleet.apply(CONFIG);
    // With this write limit only the deadline can end the request while the test waits.
    fleet.start("zone-a", "callers: {write_ms: 600000}\n");
    fleet.wait_ready();
    let mut stream = TcpStream::connect(fleet.instances[0].caller_addr()).expect("connects");
    stream.write_all(request(200_000, "3000").as_bytes()).expect("sent");
    wait_until("the request ends", || request_count(&fleet.instances[0], "caller_gone") == 1);
    wait_until("the engine holds no memory", || fleet.engines[0].1.held().is_empty());
    drop(stream);
}

#[rstest]
#[case::unreachable(platform::Faults { outage: true, ..platform::Faults::default() })]
#[case::delayed(platform::Faults { delay_ms: 5_000, ..platform::Faults::default() })]
#[case::slow_to_confirm(platform::Faults { answer_ms: 5_000, ..platform::Faults::default() })]
fn a_slow_store_breaks_no_deadline(#[case] faults: platform::Faults) {
    let fleet = fleet(&Settings::default());
    fleet.platform.set(faults);
    let chats = fleet.instances[0].url("/v1/chat/completions");
    let seen = post(&chats, &[DEADLINE], &chat_body(10, 2, false)).expect("an answer");
    assert_eq!(seen.status, 200, "{seen:?}");
    let bookings = fleet.instances[0].url("/services/bookings/vans/7");
    let headers = [DEADLINE, ("idempotency-key", "b-1")];
    let seen = post(&bookings, &headers, "one van").expect("an answer");
    assert_eq!((error_code(&seen).as_str(), seen.not_run), ("record_unavailable", true));
    assert!(fleet.service.runs().is_empty());
}

#[rstest]
#[case::booking("/services/bookings/vans/7")]
#[case::lookup("/services/lookups/vans/7")]
fn a_call_to_a_service_that_does_not_answer_times_out(#[case] path: &str) {
    let fleet = fleet(&Settings::default());
    fleet.service.set(service::Faults { hold: true, ..service::Faults::default() });
    let seen = post(&fleet.instances[0].url(path), &[DEADLINE], "one van").expect("an answer");
    assert_eq!(
        (error_code(&seen).as_str(), seen.status, seen.not_run),
        ("run_timeout", 504, false)
    );
    assert!(seen.retry_after_s.is_some(), "{seen:?}");
    fleet.service.set(service::Faults::default());
}

#[test]
fn a_frozen_peer_delays_no_request() {
    let fleet = fleet(&Settings::default());
    fleet.instances[1].signal("STOP");
    let url = fleet.instances[0].url("/v1/chat/completions");
    for _ in 0..5 {
        let seen = post(&url, &[DEADLINE], &chat_body(10, 2, false)).expect("an answer");
        assert_eq!(seen.status, 200, "{seen:?}");
    }
    let bookings = fleet.instances[0].url("/services/bookings/vans/7");
    let seen = post(&bookings, &[DEADLINE, ("idempotency-key", "b-1")], "one van");
    assert_eq!(seen.expect("an answer").status, 200);
    fleet.instances[1].signal("CONT");
}
