//! Heads of responses that end in the middle, at each byte: none is taken for a whole one.
//!
//! A client that takes what has arrived at the end of a connection for a whole head gives its
//! caller a short body, or none, framed as whole.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_standin::cut::{CutServer, End};
use mimosapass_target::client;
use mimosapass_target::engine::{Event, Generate, generate, load};
use mimosapass_target::error::CallError;
use mimosapass_target::http::{Connection, WaitOutcome};
use mimosapass_target::memory::allocations;
use mimosapass_target::service::{self, Call};
use rstest::rstest;

/// Body of a generate call.
const BODY: &[u8] = b"{}";
/// Time limit of a call whose target falls silent.
const SHORT: Duration = Duration::from_millis(200);

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// Returns the head of a response with a body of 1,234 bytes.
fn head(status: &str, framing: Framing, line_end: &str, interim: bool) -> String {
    let framing = match framing {
        Framing::Length => "Content-Length: 1234",
        Framing::Chunked => "Transfer-Encoding: chunked",
        Framing::UntilClose => "Connection: close",
    };
    let interim = if interim {
        format!("HTTP/1.1 103 Early Hints{line_end}Link: </a>{line_end}{line_end}")
    } else {
        String::new()
    };
    // The last header comes after all that a client may look for.
    let lines = [
        &format!("HTTP/1.1 {status}"),
        "X-Attempt-Id: a",
        "Location: /other",
        framing,
        "X-Server-Seal: 1.2.3",
        "",
        "",
    ];
    format!("{interim}{}", lines.join(line_end))
}

/// Returns a whole response for the first request of a connection.
fn whole() -> String {
    let body = r#"{"boot":1,"held":[]}"#;
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A client whose response is cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Client {
    /// Calls of the gateway.
    Connection,
    Service,
    Stream,
    ResumedStream,
    Load,
    Memory,
}

/// Makes a call; returns what was received if it was taken for a whole head.
fn call(client: Client, addr: SocketAddr, agent: &ureq::Agent, time: Duration) -> Option<String> {
    let unsound = |error: CallError| match error {
        // Whether the call ran is not known.
        CallError::OutcomeUnknown(_) => None,
        error => Some(format!("{error:?}")),
    };
    match client {
        Client::Connection => {
            let mut connection = Connection::open(addr, Duration::from_secs(2)).expect("open");
            let end = Instant::now() + time;
            connection.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", end).expect("sent");
            loop {
                match connection.parse_head("GET") {
                    Ok(Some(head)) => return Some(format!("{head:?}")),
                    Ok(None) => {}
                    Err(_) => return None,
                }
                match connection.wait(None::<&TcpStream>, end).expect("it waits") {
                    WaitOutcome::Target => drop(connection.fill()),
                    WaitOutcome::Caller | WaitOutcome::TimedOut => return None,
                }
            }
        }
        Client::Service => {
            let call = Call {
                addr: addr.to_string(),
                method: "GET".to_owned(),
                path: "/".to_owned(),
                headers: Vec::new(),
                remaining: time,
                body: Bytes::new(),
            };
            let answer = service::call(agent, &call, |_| true);
            answer.map_or_else(unsound, |answer| Some(format!("{answer:?}")))
        }
        Client::Stream | Client::ResumedStream => {
            let call = Generate {
                addr: addr.to_string(),
                path: "/v1/completions",
                attempt: "a".to_owned(),
                offset: u64::from(client == Client::ResumedStream),
                resumes: None,
                holder: "i/1".to_owned(),
                expiry: Duration::from_mins(1),
                group: Vec::new(),
                remaining: time,
                priority: 50,
                trace: None,
                body: Bytes::from_static(BODY),
            };
            let ended = generate(agent, &call, |_: Event| true);
            ended.map_or_else(unsound, |()| Some("an ended stream".to_owned()))
        }
        Client::Load => load(agent, &addr.to_string()).ok().map(|load| format!("{load:?}")),
        Client::Memory => {
            let held = allocations(agent, &addr.to_string(), false);
            held.ok().map(|held| format!("{held:?}"))
        }
    }
}

/// Guards against callers that get a success with an empty or short body, framed as whole.
#[rstest]
fn head_that_ends_in_the_middle_is_no_response(
    #[values(
        Client::Connection,
        Client::Service,
        Client::Stream,
        Client::ResumedStream,
        Client::Load,
        Client::Memory
    )]
    client: Client,
    #[values("200 OK", "302 Found", "500 Error")] status: &str,
    #[values(Framing::Length, Framing::Chunked, Framing::UntilClose)] framing: Framing,
    #[values(End::Close, End::Reset)] end: End,
    #[values(
        ("\r\n", false, false),
        ("\r\n", true, false),
        ("\r\n", false, true),
        ("\n", false, false),
        ("\n", true, true)
    )]
    (line_end, interim, kept): (&str, bool, bool),
) {
    let head = head(status, framing, line_end, interim);
    // The gateway's connections are kept by its pool, which tests of the gateway use.
    let kept = kept && client != Client::Connection;
    let target = CutServer::start(&head, end, kept.then(whole));
    let mut taken = Vec::new();
    for length in 0..head.len() {
        target.set_length(length);
        let agent = client::agent(1);
        if kept {
            allocations(&agent, &target.addr.to_string(), false).expect("a whole response");
        }
        let received = call(client, target.addr, &agent, Duration::from_secs(5));
        taken.extend(received.map(|r| format!("{:?}: {r}", &head[..length])));
    }
    assert!(taken.is_empty(), "{} of {}: {taken:#?}", taken.len(), head.len());
}

/// As above, for targets that fall silent: the call ends at its time limit.
#[rstest]
fn silence_within_a_head_is_no_response(
    #[values(Client::Connection, Client::Service, Client::Stream)] client: Client,
    #[values(Framing::Length, Framing::Chunked, Framing::UntilClose)] framing: Framing,
) {
    let head = head("200 OK", framing, "\r\n", false);
    let target = CutServer::start(&head, End::Silence, None);
    // A stream's call has a margin of seconds.
    let step = if client == Client::Stream { head.len() / 2 } else { 17 };
    for length in (0..head.len()).step_by(step) {
        target.set_length(length);
        let received = call(client, target.addr, &client::agent(0), SHORT);
        assert_eq!(received, None, "{:?}", &head[..length]);
    }
}

/// What can be told of a response without a length that ends with its connection: a reset, and a
/// head that is not whole. A body that ends early cannot be told from a whole one.
#[rstest]
#[case::nothing("", "")]
#[case::a_part("{\"boot\"", "{\"boot\"")]
fn body_without_a_length_ends_with_its_connection(#[case] sent: &str, #[case] wanted: &str) {
    let head = format!("{}{sent}", head("200 OK", Framing::UntilClose, "\r\n", false));
    let target = CutServer::start(&head, End::Close, None);
    target.set_length(head.len());
    let call = Call {
        addr: target.addr.to_string(),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        remaining: Duration::from_secs(5),
        body: Bytes::new(),
    };
    let answer = service::call(&client::agent(0), &call, |_| true).expect("a response");
    assert_eq!(answer.body, wanted);
}
