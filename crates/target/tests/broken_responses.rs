//! Responses whose head or framing is broken, to the clients of `mimosapass serve`.

use std::time::Duration;

use bytes::Bytes;
use mimosapass_standin::broken::{broken_chunks, broken_heads, sound_responses};
use mimosapass_standin::cut::{CutServer, End};
use mimosapass_target::client::agent;
use mimosapass_target::engine::{Event, Generate, generate, load};
use mimosapass_target::error::CallError;
use mimosapass_target::memory::{Cancel, allocations, cancel};
use mimosapass_target::orders;
use mimosapass_target::service::{self, Answer, Call};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(5);
const EVENTS: &str = "data: {\"event\":\"token\",\"attempt\":\"a\",\"index\":0,\"text\":\"x\"}\n\n\
     data: {\"event\":\"end\",\"attempt\":\"a\",\"tokens\":1,\"prompt\":1,\"reason\":\"stop\"}\n\n";

/// A call, and the body of a response that it takes.
type Client = (fn(&str) -> Result<(), CallError>, &'static str);

const SERVICE: Client = (call_service, "whole");
const STREAM: Client = (stream, EVENTS);
const LOAD: Client = (
    |addr| load(&agent(0), addr).map(drop),
    "{\"running\":1,\"queued\":0,\"memory\":1,\"used\":0,\"reclaimable\":0,\"slots\":1,\"speed\":1,\
     \"leaving\":false,\"models\":[]}",
);
const ALLOCATIONS: Client =
    (|addr| allocations(&agent(0), addr, false).map(drop), "{\"boot\":1,\"held\":[]}");
const CANCEL: Client = (|addr| cancel(&agent(0), addr, &Cancel::default()), "{}");
const ORDERS: Client = (
    |addr| orders::fetch(&agent(0), addr, TIMEOUT).map(drop),
    "{\"goal\":{\"models\":{},\"role\":\"\"},\"fence\":null}",
);

fn call_service(addr: &str) -> Result<(), CallError> {
    call_with("POST", addr).map(drop)
}

fn call_with(method: &str, addr: &str) -> Result<Answer, CallError> {
    let call = Call {
        addr: addr.to_owned(),
        method: method.to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        remaining: TIMEOUT,
        body: Bytes::new(),
    };
    service::call(&agent(0), &call, |_| true)
}

fn stream(addr: &str) -> Result<(), CallError> {
    let call = Generate {
        addr: addr.to_owned(),
        path: "/v1/completions",
        attempt: "a".to_owned(),
        offset: 0,
        resumes: None,
        holder: "i/1".to_owned(),
        expiry: TIMEOUT,
        group: Vec::new(),
        remaining: TIMEOUT,
        priority: 50,
        trace: None,
        body: Bytes::from_static(b"{}"),
    };
    let mut events = 0;
    generate(&agent(0), &call, |_: Event| {
        events += 1;
        true
    })
}

fn serve(response: &str) -> String {
    let server = CutServer::start(response, End::Close, None);
    server.set_length(response.len());
    server.addr.to_string()
}

fn assert_unknown(call: fn(&str) -> Result<(), CallError>, responses: &[String]) {
    let taken = responses.iter().filter_map(|response| match call(&serve(response)) {
        Err(CallError::OutcomeUnknown(_)) => None,
        other => Some(format!("{other:?} from {response:?}")),
    });
    let taken: Vec<String> = taken.collect();
    assert!(taken.is_empty(), "{} of {}: {taken:#?}", taken.len(), responses.len());
}

/// Guards against answers that are not the target's, and promises of a head that is broken.
#[rstest]
fn broken_head_says_nothing(
    #[values(SERVICE, STREAM, LOAD, ALLOCATIONS, CANCEL, ORDERS)] (call, body): Client,
    #[values("200 OK", "503 Busy\r\nmimosapass-refused: busy", "404 Not Found")] status: &str,
) {
    assert_unknown(call, &broken_heads(status, body));
}

/// Guards against a part of a body that is taken for the whole one.
#[rstest]
fn body_in_broken_chunks_is_no_answer(
    #[values(SERVICE, STREAM, LOAD, ALLOCATIONS, CANCEL, ORDERS)] (call, body): Client,
) {
    assert_unknown(call, &broken_chunks("200 OK", body));
}

/// The same body in a response without a fault is taken.
#[rstest]
fn sound_response_is_taken(
    #[values(SERVICE, STREAM, LOAD, ALLOCATIONS, CANCEL, ORDERS)] (call, body): Client,
    #[values(false, true)] interim: bool,
) {
    let interim = if interim { "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" } else { "" };
    for response in sound_responses(body) {
        let response = format!("{interim}{response}");
        assert!(call(&serve(&response)).is_ok(), "{response:?}");
    }
}

/// The length in the answer to a HEAD is that of a body that is not sent.
#[rstest]
fn answer_to_a_head_has_no_body(
    #[values("content-length: 5", "transfer-encoding: chunked")] line: &str,
) {
    let response = format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\n");
    let answer = call_with("HEAD", &serve(&response)).expect("an answer");
    assert_eq!((answer.status, answer.body.len()), (200, 0));
}
