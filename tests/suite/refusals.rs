//! Refusals, and whether their answers state that nothing ran.

use std::io::{Read, Write};
use std::net::TcpStream;

use mimosapass_standin::engine::{Faults, Settings};

use crate::common::{CONFIG, Fleet, WAIT_TIMEOUT, chat_body, post};

#[test]
fn an_unknown_workspace_is_refused_without_a_time_to_retry() {
    let fleet = Fleet::single("");
    let url = fleet.instances[0].url("/v1/chat/completions");
    let seen = post(&url, &[("mimosapass-workspace", "nobody")], &chat_body(10, 1, false));
    let seen = seen.expect("an answer");
    assert_eq!((seen.status, seen.not_run, seen.retry_after_s), (403, true, None));
    assert_eq!(fleet.engines[0].1.runs(), 0);
}

#[test]
fn a_refusal_by_the_only_engine_ends_as_not_run() {
    let fleet = Fleet::single("");
    fleet.engines[0].1.set(Faults { refuse: true, ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let seen = post(&url, &[], &chat_body(10, 1, false)).expect("an answer");
    assert_eq!((seen.status, seen.not_run), (503, true));
    assert!(seen.retry_after_s.is_some_and(|s| s >= 1), "{seen:?}");
    assert_eq!(fleet.engines[0].1.runs(), 0);
}

#[test]
fn an_unfinished_request_head_times_out() {
    let fleet = Fleet::single("callers: {head_ms: 300}\n");
    let mut stream = TcpStream::connect(fleet.instances[0].caller_addr()).expect("connects");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    stream.write_all(b"GET /v1/models HTTP/1.1\r\nx-slow: ").expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
}

#[test]
fn a_refusal_after_a_failed_attempt_does_not_state_not_run() {
    let mut fleet = Fleet::new(&[("zone-a", Settings::default()), ("zone-a", Settings::default())]);
    fleet.apply(CONFIG);
    fleet.start("zone-a", "");
    fleet.wait_ready();
    let [broken, busy] = [&fleet.engines[0].1, &fleet.engines[1].1];
    broken.set(Faults { cut_after: Some(0), ..Faults::default() });
    busy.set(Faults { refuse: true, ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    for _ in 0..4 {
        let before = broken.runs();
        let seen = post(&url, &[], &chat_body(10, 1, false)).expect("an answer");
        assert_eq!(seen.not_run, broken.runs() == before, "{seen:?}");
        assert_ne!(seen.status, 200, "{seen:?}");
    }
    assert!(broken.runs() > 0);
}
