//! Each caller receives the complete answer to its own request, or a failure.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use mimosapass_standin::broken::{broken_chunks, broken_heads};
use mimosapass_standin::cut::{CutServer, End};
use mimosapass_standin::engine::{Engine, Faults, Settings};
use rstest::rstest;

use crate::common::{
    CONFIG, Fleet, Response, WAIT_TIMEOUT, agent, chat_body, post, status, wait_until,
};

/// The complete answer of six tokens.
const FULL_ANSWER: &str = "t0 t1 t2 t3 t4 t5 ";

/// Faults that hold an answer at its third token.
fn held_at_two() -> Faults {
    Faults { hold_from: Some(2), ..Faults::default() }
}

fn fleet() -> Fleet {
    let settings = Settings::default();
    let mut fleet = Fleet::new(&[("zone-a", settings.clone()), ("zone-a", settings)]);
    fleet.apply(CONFIG);
    fleet.start("zone-a", "");
    fleet.wait_ready();
    fleet
}

/// Starts a request that one of the engines holds at its third token.
fn start_request(fleet: &Fleet, stream: bool) -> Receiver<Response> {
    fleet.engines.iter().for_each(|(_, e)| e.set(held_at_two()));
    let url = fleet.instances[0].url("/v1/chat/completions");
    let (sender, answer) = channel();
    thread::spawn(move || {
        let seen = post(&url, &[], &chat_body(100, 6, stream)).expect("an answer");
        sender.send(seen).expect("the test waits");
    });
    wait_until("an engine runs", || fleet.engines.iter().any(|(_, e)| e.runs() == 1));
    answer
}

/// Returns the engine that runs the request, then the other one.
fn running_first(fleet: &Fleet) -> (&Engine, &Engine) {
    let (a, b) = (&fleet.engines[0].1, &fleet.engines[1].1);
    if a.runs() == 1 { (a, b) } else { (b, a) }
}

/// Returns the text of an answer, or `None` if it is incomplete.
fn text(seen: &Response, stream: bool) -> Option<String> {
    let body = seen.body.as_ref().ok().filter(|_| seen.status == 200)?;
    if !stream {
        let json: serde_json::Value = serde_json::from_str(body).expect("JSON");
        return json["choices"][0]["message"]["content"].as_str().map(str::to_owned);
    }
    let events: Vec<&str> = body.lines().filter_map(|l| l.strip_prefix("data: ")).collect();
    let (last, rest) = events.split_last()?;
    let content = |event: &&str| {
        let json: serde_json::Value = serde_json::from_str(event).expect("JSON");
        json["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
    };
    (*last == "[DONE]").then(|| rest.iter().filter_map(content).collect())
}

#[rstest]
#[case::one_interruption_resumes_on_the_same_engine(Faults { cut_once: Some(2), ..Faults::default() }, (2, 0))]
#[case::two_interruptions_resume_on_another_engine(Faults { cut_after: Some(2), ..Faults::default() }, (2, 1))]
#[case::engine_cannot_resume(Faults { cut_once: Some(2), no_resume: true, ..Faults::default() }, (2, 1))]
#[case::token_repeated(Faults { repeat: Some(3), ..Faults::default() }, (1, 0))]
#[case::token_missing(Faults { skip: Some(3), ..Faults::default() }, (1, 1))]
#[case::token_repeated_at_the_resume_offset(Faults { cut_once: Some(2), repeat: Some(2), ..Faults::default() }, (2, 0))]
#[case::token_missing_at_the_resume_offset(Faults { cut_once: Some(2), skip: Some(2), ..Faults::default() }, (2, 1))]
#[case::events_of_another_attempt(Faults { crossed: true, ..Faults::default() }, (2, 1))]
#[case::end_event_with_wrong_count(Faults { miscount: true, ..Faults::default() }, (1, 1))]
#[case::end_event_missing(Faults { no_end: true, ..Faults::default() }, (2, 1))]
#[case::engine_frozen(Faults { frozen: true, ..Faults::default() }, (1, 1))]
fn an_answer_is_complete_despite(
    #[case] faults: Faults,
    #[case] runs: (u64, u64),
    #[values(true, false)] stream: bool,
) {
    let fleet = fleet();
    let answer = start_request(&fleet, stream);
    let (one, other) = running_first(&fleet);
    other.set(Faults::default());
    one.set(faults);
    let seen = answer.recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert_eq!(text(&seen, stream).as_deref(), Some(FULL_ANSWER), "{seen:?}");
    assert_eq!((one.runs(), other.runs()), runs);
    one.set(Faults::default());
    wait_until("no memory is held", || one.held().is_empty() && other.held().is_empty());
}

#[rstest]
#[case::no_engine_can_resume(Faults { cut_after: Some(2), no_resume: true, ..Faults::default() })]
#[case::every_engine_breaks_off(Faults { cut_after: Some(2), ..Faults::default() })]
#[case::no_end_event(Faults { no_end: true, ..Faults::default() })]
#[case::every_end_event_with_wrong_count(Faults { miscount: true, ..Faults::default() })]
#[case::every_answer_of_another_attempt(Faults { crossed: true, ..Faults::default() })]
fn a_truncated_answer_never_looks_complete(
    #[case] faults: Faults,
    #[values(true, false)] stream: bool,
) {
    let fleet = fleet();
    let answer = start_request(&fleet, stream);
    fleet.engines.iter().for_each(|(_, e)| e.set(faults.clone()));
    let seen = answer.recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert_eq!(text(&seen, stream), None, "{seen:?}");
    assert!(!seen.not_run, "{seen:?}");
    if stream {
        assert!(seen.body.is_err(), "the connection was closed regularly: {seen:?}");
    } else {
        assert_eq!(seen.status, 502, "{seen:?}");
    }
    let empty = || fleet.engines.iter().all(|(_, e)| e.held().is_empty());
    wait_until("no memory is held", empty);
}

#[test]
fn a_leaving_engine_is_not_asked_to_resume() {
    let fleet = fleet();
    let answer = start_request(&fleet, true);
    let (one, other) = running_first(&fleet);
    let addr = one.addr().to_string();
    let mut members = fleet.members();
    for member in &mut members {
        member.leaving = member.addr == addr;
    }
    fleet.platform.set_members(members);
    wait_until("the instance knows that the engine leaves", || {
        let status = status(&fleet.instances[0]);
        let targets = status["targets"].as_array().cloned().unwrap_or_default();
        targets.iter().any(|t| t["open"] == false)
    });
    other.set(Faults::default());
    one.set(Faults { cut_once: Some(2), ..Faults::default() });
    let seen = answer.recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert_eq!(text(&seen, true).as_deref(), Some(FULL_ANSWER), "{seen:?}");
    assert_eq!((one.runs(), other.runs()), (1, 1));
}

#[test]
fn a_frozen_engine_is_replaced_before_the_first_token() {
    let fleet = fleet();
    fleet.engines.iter().for_each(|(_, e)| {
        e.set(Faults { hold_from: Some(0), ..Faults::default() });
    });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let (sender, answer) = channel();
    let asked = chat_body(100, 6, false);
    thread::spawn(move || {
        let seen = post(&url, &[("mimosapass-deadline-ms", "25000")], &asked).expect("an answer");
        sender.send(seen).expect("the test waits");
    });
    wait_until("an engine runs", || fleet.engines.iter().any(|(_, e)| e.runs() == 1));
    let (one, other) = running_first(&fleet);
    other.set(Faults::default());
    one.set(Faults { frozen: true, ..Faults::default() });
    let seen = answer.recv_timeout(WAIT_TIMEOUT).expect("the request ends");
    assert_eq!(text(&seen, false).as_deref(), Some(FULL_ANSWER), "{seen:?}");
}

#[test]
fn a_failed_stream_has_no_final_chunk_and_closes_its_connection() {
    let fleet = fleet();
    for (_, engine) in &fleet.engines {
        engine.set(Faults { cut_after: Some(2), ..Faults::default() });
    }
    let body = chat_body(100, 6, true);
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nmimosapass-workspace: atlas\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut socket = TcpStream::connect(fleet.instances[0].caller_addr()).expect("connects");
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    // A second request is pipelined on the same connection.
    socket.write_all(request.repeat(2).as_bytes()).expect("sent");
    let mut raw = Vec::new();
    // The connection may be reset, since the second request stays unread.
    socket.read_to_end(&mut raw).unwrap_or_default();
    let raw = String::from_utf8_lossy(&raw);
    assert_eq!(raw.matches("HTTP/1.1 ").count(), 1, "{raw}");
    assert!(raw.contains("t1 ") && raw.contains("cut_answer"), "{raw}");
    assert!(!raw.contains("[DONE]") && !raw.ends_with("\r\n0\r\n\r\n"), "{raw}");
}

/// Answers on a pooled connection never mix, even after an abandoned one.
#[test]
fn an_abandoned_stream_does_not_reach_the_next_request() {
    let fleet = fleet();
    let url = fleet.instances[0].url("/v1/chat/completions");
    for round in 0..6 {
        fleet.engines.iter().for_each(|(_, e)| e.set(held_at_two()));
        let request = agent().post(&url).header("mimosapass-workspace", "atlas");
        let response = request.send(chat_body(100, 6, true)).expect("an answer");
        let mut lines = BufReader::new(response.into_body().into_reader()).lines();
        assert!(lines.next().expect("a line").expect("readable").contains("t0 "));
        drop(lines);
        let limited = post(&url, &[("mimosapass-deadline-ms", "150")], &chat_body(50, 6, true));
        assert_eq!(text(&limited.expect("an answer"), true), None);
        fleet.engines.iter().for_each(|(_, e)| e.set(Faults::default()));
        let seen = post(&url, &[], &chat_body(10 + round, 6, true)).expect("an answer");
        assert_eq!(text(&seen, true).as_deref(), Some(FULL_ANSWER), "{seen:?}");
    }
}

/// Guards against a body that is not the service's, and a promise of a head that is broken.
#[rstest]
fn a_broken_response_of_a_service_is_no_answer(
    #[values("bookings", "lookups")] service: &str,
    #[values("200 OK", "503 Busy\r\nmimosapass-refused: busy")] status: &str,
) {
    let heads = broken_heads(status, "whole");
    let chunks = if status == "200 OK" { broken_chunks(status, "whole") } else { Vec::new() };
    let mut taken = Vec::new();
    for response in heads.into_iter().chain(chunks) {
        let server = CutServer::start(&response, End::Close, None);
        server.set_length(response.len());
        let mut fleet = Fleet::new(&[("zone-a", Settings::default())]);
        fleet.apply(CONFIG);
        let mut members = fleet.members();
        members[0].addr = server.addr.to_string();
        fleet.platform.set_members(members);
        fleet.start_unlisted("zone-a", "", fleet.platform.addr(), &[]);
        fleet.wait_ready();
        let url = fleet.instances[0].url(&format!("/services/{service}/vans/7"));
        let seen = post(&url, &[], "one van").expect("an answer");
        if seen.status != 502 {
            taken.push(format!("{seen:?} from {response:?}"));
        }
    }
    assert!(taken.is_empty(), "{}: {taken:#?}", taken.len());
}
