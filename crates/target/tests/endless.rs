//! Bounds on what clients of engines and services read.

use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_core::orders::DesiredState;
use mimosapass_standin::endless::EndlessServer;
use mimosapass_target::client::agent;
use mimosapass_target::engine::{Generate, generate, load};
use mimosapass_target::error::CallError;
use mimosapass_target::memory::{Cancel, allocations, cache_events, cancel};
use mimosapass_target::orders;
use mimosapass_target::service::{Call, call};
use rstest::rstest;
use ureq::Agent;

/// Time after which a call that does not end fails its test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit of the calls that are given one; the others have 2 s.
const TIME_LIMIT: Duration = Duration::from_secs(1);
/// The longest call, with a margin.
const MAX_CALL: Duration = Duration::from_millis(3_500);
/// Time within which the connection is closed after the call.
const MAX_CLOSE: Duration = Duration::from_secs(2);
/// More than the largest event and the largest response but that of a service, with what the
/// kernel holds.
const MAX_SENT_BYTES: usize = 24 * 1024 * 1024;
/// Longest text of an error.
const MAX_ERROR_CHARS: usize = 5 * 1024;

type Client = fn(&Agent, &str) -> Result<(), CallError>;

const CLIENTS: [(&str, Client); 7] = [
    ("load", |agent, addr| load(agent, addr).map(drop)),
    ("held", |agent, addr| allocations(agent, addr, false).map(drop)),
    ("events", |agent, addr| cache_events(agent, addr, 0).map(drop)),
    ("cancel", |agent, addr| cancel(agent, addr, &Cancel::default())),
    ("orders", |agent, addr| orders::fetch(agent, addr, TIME_LIMIT).map(drop)),
    ("order", |agent, addr| orders::send(agent, addr, 1, &DesiredState::default(), TIME_LIMIT)),
    ("generate", |agent, addr| generate(agent, &generate_call(addr), |_| true)),
];

fn generate_call(addr: &str) -> Generate {
    Generate {
        addr: addr.to_owned(),
        path: "/v1/completions",
        attempt: "a".to_owned(),
        offset: 0,
        resumes: None,
        holder: "i/1".to_owned(),
        expiry: TIME_LIMIT,
        group: Vec::new(),
        // The client adds two seconds.
        remaining: Duration::ZERO,
        priority: 50,
        trace: None,
        body: Bytes::from_static(b"{}"),
    }
}

/// Runs a call in a thread of its own, so that one without an end fails the test.
fn in_time(server: &EndlessServer, client: Client) -> (Result<(), CallError>, Duration) {
    let (begun, addr) = (Instant::now(), server.addr.to_string());
    let (done, result) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let agent = agent(1);
        let result = client(&agent, &addr);
        let took = begun.elapsed();
        done.send((result, took)).expect("the test waits");
        // The connection is closed although the agent is still in use.
        thread::sleep(MAX_CLOSE);
        drop(agent);
    });
    let outcome = result.recv_timeout(WAIT_TIMEOUT).expect("the call ends");
    let end = Instant::now() + MAX_CLOSE;
    while server.seen().disconnected_at.is_none() {
        assert!(Instant::now() < end, "the connection stays open");
        thread::sleep(Duration::from_millis(5));
    }
    outcome
}

const FAST: (usize, Duration) = (4096, Duration::ZERO);
const SLOW: (usize, Duration) = (1, Duration::from_millis(20));

#[rstest]
#[case::head("HTTP/1.1 200 OK\r\na: ", "a")]
#[case::headers("HTTP/1.1 200 OK\r\n", "a: b\r\n")]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::body("HTTP/1.1 200 OK\r\n\r\n", " ")]
#[case::line("HTTP/1.1 200 OK\r\n\r\n", "a")]
#[case::blank_lines("HTTP/1.1 200 OK\r\n\r\n", "\n")]
#[case::comments("HTTP/1.1 200 OK\r\n\r\n", ": a\n")]
#[case::event("HTTP/1.1 200 OK\r\n\r\ndata: ", " ")]
#[case::numbers("HTTP/1.1 200 OK\r\n\r\n[", "0,")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\n \r\n")]
#[case::chunk_extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "a")]
#[case::rejection("HTTP/1.1 400 No\r\n\r\n", "a")]
#[case::failure("HTTP/1.1 500 No\r\n\r\n", "a")]
#[case::refusal("HTTP/1.1 503 No\r\nmimosapass-refused: busy\r\n\r\n", "a")]
fn response_without_end_fails_in_time(
    #[case] start: &str,
    #[case] repeated: &str,
    #[values(FAST, SLOW)] speed: (usize, Duration),
) {
    let (times, pause) = speed;
    let repeated = &repeated.repeat(times);
    let check = &|name: &str, client: Client| {
        // The response to an order has no body that is read.
        let ends = name == "order";
        let server = EndlessServer::start(start.as_bytes(), repeated.as_bytes(), pause);
        let (result, took) = in_time(&server, client);
        assert!(result.is_err() || ends, "{name}: {result:?}");
        assert!(took < MAX_CALL, "{name}: {took:?}");
        let seen = server.seen();
        assert!(seen.sent < MAX_SENT_BYTES, "{name}: {seen:?}");
    };
    thread::scope(|scope| {
        for (name, client) in CLIENTS {
            scope.spawn(move || check(name, client));
        }
    });
}

/// Guards against an error, and log lines with it, as long as what a target sends.
#[test]
fn text_of_an_error_is_bounded() {
    let body = "a".repeat(5_000_000);
    for head in ["400 No", "500 No", "503 No\r\nmimosapass-refused: busy"] {
        let start = format!("HTTP/1.1 {head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        for (name, client) in CLIENTS {
            let server = EndlessServer::start(start.as_bytes(), b"", Duration::from_secs(1));
            let error = client(&agent(1), &server.addr.to_string()).expect_err("it fails");
            let text = error.to_string();
            assert!(text.contains("aaaa"), "{name}: {} characters", text.len());
            assert!(text.len() < MAX_ERROR_CHARS, "{name}: {} characters", text.len());
        }
    }
}

/// The body of a service's response is bounded in bytes and time.
#[rstest]
#[case::fast(FAST)]
#[case::slow(SLOW)]
fn response_of_a_service_without_end_fails_in_time(#[case] speed: (usize, Duration)) {
    let (times, pause) = speed;
    let start = b"HTTP/1.1 200 OK\r\n\r\n";
    let server = EndlessServer::start(start, " ".repeat(times).as_bytes(), pause);
    let (result, took) = in_time(&server, |agent, addr| {
        let service_call = Call {
            addr: addr.to_owned(),
            method: "POST".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            remaining: TIME_LIMIT,
            body: Bytes::new(),
        };
        call(agent, &service_call, |_| true).map(drop)
    });
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "{result:?}");
    assert!(took < MAX_CALL, "{took:?}");
}
