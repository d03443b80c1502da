//! Responses that have neither a length nor chunks and end with their connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use mimosapass_target::client;
use mimosapass_target::engine::{Event, Generate, generate};
use mimosapass_target::error::CallError;
use mimosapass_target::service::{self, Call};
use socket2::SockRef;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const TOKEN: &str = r#"data: {"event":"token","attempt":"a","index":0,"text":"x"}"#;
const END: &str = r#"data: {"event":"end","attempt":"a","tokens":1,"prompt":1,"reason":"stop"}"#;
/// Body of a generate call.
const BODY: &[u8] = b"{}";

/// Starts a target that sends this body to one caller, then closes or resets the connection.
fn start(body: String, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        read_request(&mut stream);
        stream.write_all(format!("{HEAD}{body}").as_bytes()).expect("sent");
        if reset {
            thread::sleep(Duration::from_millis(50));
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
        }
    });
    addr
}

/// Reads a whole request, since bytes that are left would reset the connection.
fn read_request(stream: &mut TcpStream) {
    let (mut request, mut buffer) = (Vec::new(), [0; 1024]);
    let ends: [&[u8]; 2] = [b"\r\n\r\n", BODY];
    let end = |request: &[u8]| if request.starts_with(b"GET") { ends[0] } else { ends[1] };
    while !request.ends_with(end(&request)) {
        let read = stream.read(&mut buffer).expect("a request");
        assert!(read > 0, "the request ends");
        request.extend_from_slice(&buffer[..read]);
    }
}

/// Returns the number of events that a generate call receives, and how it ends.
fn stream(body: String, reset: bool) -> (usize, Result<(), CallError>) {
    let call = Generate {
        addr: start(body, reset).to_string(),
        path: "/v1/completions",
        attempt: "a".to_owned(),
        offset: 0,
        resumes: None,
        holder: "i/1".to_owned(),
        expiry: Duration::from_mins(1),
        group: Vec::new(),
        remaining: Duration::from_secs(5),
        priority: 50,
        trace: None,
        body: Bytes::from_static(BODY),
    };
    let mut events = 0;
    let ended = generate(&client::agent(1), &call, |_: Event| {
        events += 1;
        true
    });
    (events, ended)
}

/// Calls a service that sends this body.
fn call(body: &str, reset: bool) -> Result<Bytes, CallError> {
    let call = Call {
        addr: start(body.to_owned(), reset).to_string(),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        remaining: Duration::from_secs(5),
        body: Bytes::new(),
    };
    service::call(&client::agent(1), &call, |_| true).map(|answer| answer.body)
}

fn is_unknown<T>(result: &Result<T, CallError>) -> bool {
    matches!(result, Err(CallError::OutcomeUnknown(_)))
}

#[test]
fn stream_that_ends_with_its_connection_is_whole() {
    let (events, ended) = stream(format!("{TOKEN}\n\n{END}\n\n"), false);
    assert!(events == 2 && ended.is_ok(), "{events} {ended:?}");
}

#[test]
fn stream_that_ends_within_an_event_is_broken_off() {
    let (events, ended) = stream(format!("{TOKEN}\n\n{}", &END[..20]), false);
    assert!(events == 1 && is_unknown(&ended), "{events} {ended:?}");
    let (events, ended) = stream(format!("{TOKEN}\n\n{END}"), false);
    assert!(events == 1 && is_unknown(&ended), "before the end of its line: {events} {ended:?}");
}

#[test]
fn stream_that_is_reset_is_broken_off() {
    let (events, ended) = stream(format!("{TOKEN}\n\n"), true);
    assert!(events == 1 && is_unknown(&ended), "{events} {ended:?}");
}

#[test]
fn response_of_a_service_that_ends_with_its_connection_is_whole() {
    assert_eq!(call("whole", false).expect("a response"), "whole");
}

#[test]
fn response_of_a_service_that_is_reset_is_not_whole() {
    let result = call("who", true);
    assert!(is_unknown(&result), "{result:?}");
}
