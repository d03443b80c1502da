//! Streams that break off, and next targets that answer with an error.
//!
//! The caller's stream ends as cut, after whole events of the first target, with no byte of
//! another answer.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use mimosapass_standin::relay::{Admission, Relay};
use mimosapass_standin::target::{Reply, ScriptedTarget, Step};
use rstest::rstest;

use super::{Cluster, KEY, events, head};

const SHORT_PROMPT: &str = "x-token-usage: 100,50\r\n";
const MANY_RETRIES: &str = "repeats: {first_start: true, ratio: 1, slack: 500, window_ms: 10000}\n";
const TIMEOUT: Duration = Duration::from_secs(10);
/// Part of all errors.
const MARK: &str = "secret-error";

/// Returns a reply of some text, after which the connection ends.
fn text(head: &str, body: &str) -> Reply {
    let text = format!("{head}\r\nx-attempt-id: id-1\r\n{body}");
    Reply::Steps(vec![Step::Text(text), Step::Close])
}

fn with_length(head: &str) -> Reply {
    let body = format!("{MARK}\n\n");
    text(head, &format!("content-length: {}\r\n\r\n{body}", body.len()))
}

fn in_chunks(head: &str) -> Reply {
    let body = format!("{MARK}\n\n");
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    text(head, &format!("transfer-encoding: chunked\r\n\r\n{chunks}"))
}

fn until_close(head: &str) -> Reply {
    text(head, &format!("\r\n{MARK}\n\n"))
}

/// Returns a stream of these events, complete.
fn stream_of(body: &str) -> Reply {
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    Reply::Steps(vec![Step::Head, Step::Text(chunk), Step::End])
}

/// An error of the next target.
fn error(form: &str) -> Reply {
    let seal = "x-server-seal: s";
    let signed = |status: &str| format!("HTTP/1.1 {status}\r\n{seal}");
    match form {
        "500 with a length" => with_length(&signed("500 Error")),
        "500 in chunks" => in_chunks(&signed("500 Error")),
        "500 until close" => until_close(&signed("500 Error")),
        "400 with a length" => with_length(&signed("400 Bad")),
        "504 with a length" => with_length(&signed("504 Late")),
        "503 not run" => with_length("HTTP/1.1 503 Busy\r\nx-not-executed: 1"),
        "421" => with_length("HTTP/1.1 421 Misdirected"),
        "500 unsigned" => with_length("HTTP/1.1 500 Error"),
        "200 unsigned" => with_length("HTTP/1.1 200 OK"),
        "302" => with_length(&signed("302 Found")),
        "204" => text(&signed("204 No"), "\r\n"),
        "200 with a length" => with_length(&signed("200 OK")),
        "200 in chunks" => in_chunks(&signed("200 OK")),
        "200 until close" => until_close(&signed("200 OK")),
        "no response" => text(MARK, "\r\n"),
        "half a head" => Reply::Steps(vec![
            Step::Text(format!("HTTP/1.1 500 Error\r\n{seal}\r\nx: {MARK}")),
            Step::Close,
        ]),
        "an event that is an error" => stream_of(&format!("event: error\ndata: {MARK}\n\n")),
        "an earlier event" => stream_of(&format!("id: 1\ndata: {MARK}\n\n")),
        "the last event again" => stream_of(&format!("id: 2\ndata: {MARK}\n\n")),
        "another body" => stream_of(&format!("{{\"error\": \"{MARK}\"}}\n\n")),
        other => panic!("no form {other}"),
    }
}

/// What a caller received.
#[derive(Debug)]
struct Received {
    text: String,
    /// Whether the connection ended with a reset.
    reset: bool,
}

/// Sends a request and reads until the connection ends.
fn ask(addr: SocketAddr, version: &str) -> Received {
    let mut caller = TcpStream::connect(addr).expect("connected");
    caller.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let head = head("/chat/1", "id-1", KEY, SHORT_PROMPT).replacen("HTTP/1.1", version, 1);
    caller.write_all(&[head.as_bytes(), b"question"].concat()).expect("sent");
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    let reset = loop {
        match caller.read(&mut buffer) {
            Ok(0) => break false,
            Ok(read) => received.extend_from_slice(&buffer[..read]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => break true,
            Err(e) => panic!("the connection did not end: {e}"),
        }
    };
    Received { text: String::from_utf8(received).expect("text"), reset }
}

/// Checks that the stream ended as cut, after whole events of the first target only.
fn assert_cut(received: &Received, version: &str, log: &str) {
    let Received { text, reset } = received;
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.contains(" 200 "), "{text}");
    assert_eq!(text.matches("HTTP/1.").count(), 1, "{text}");
    assert!(!text.contains(MARK) && !text.contains("retry-after"), "{text}\n{log}");
    let chunked = head.to_ascii_lowercase().contains("transfer-encoding: chunked");
    assert!(chunked || version == "HTTP/1.0", "{head}");
    let complete = if chunked { body.ends_with("0\r\n\r\n") } else { !reset };
    assert!(!complete, "it looks complete: {received:?}\n{log}");
    // Two events, and maybe nothing of the third one.
    let wanted = events(1, 2);
    let events: String = body.lines().filter(|l| l.contains(": ") || l.is_empty()).collect();
    assert!(events.starts_with(&wanted.replace('\n', "")), "{body}\n{log}");
    assert!(!body.contains("e3"), "{body}");
}

/// The first target: two events, and a part of the third.
fn broken(how: &str) -> Reply {
    let part = |end| {
        Reply::Steps(vec![
            Step::Head,
            Step::Event(1),
            Step::Event(2),
            Step::Text("9\r\nid: 3\nda\r\n".to_owned()),
            end,
        ])
    };
    match how {
        "reset" => part(Step::Reset),
        "ended" => part(Step::End),
        _ => part(Step::Close),
    }
}

/// Returns a target that breaks off when it is first, and has this error when it is next.
fn target(id: &str, how: &'static str, form: &'static str) -> ScriptedTarget {
    ScriptedTarget::start(id, move |head| match head.header("last-event-id") {
        None => broken(how),
        Some(_) => error(form),
    })
}

#[rstest]
fn stream_ends_as_cut(
    #[values(
        "500 with a length",
        "500 in chunks",
        "500 until close",
        "400 with a length",
        "504 with a length",
        "503 not run",
        "421",
        "500 unsigned",
        "200 unsigned",
        "302",
        "204",
        "200 with a length",
        "200 in chunks",
        "200 until close",
        "no response",
        "half a head",
        "an event that is an error",
        "an earlier event",
        "the last event again",
        "another body"
    )]
    form: &'static str,
    #[values("HTTP/1.1", "HTTP/1.0")] version: &str,
    #[values(false, true)] over_peer: bool,
) {
    let mut cluster = Cluster::start(0);
    let (direct, apart) = (cluster.endpoint.clone(), cluster.store.open_endpoint());
    let targets = ["close", "reset", "ended"].map(|how| target(&format!("i-{how}"), how, form));
    let mut paths = Vec::new();
    for target in &targets {
        let path = Relay::start(target.addr).expect("a port");
        if over_peer {
            path.set_admission(Admission::Refused);
        }
        apart.set_path(target.addr, path.addr());
        cluster.register(target, "pool");
        paths.push(path);
    }
    cluster.add_with(&apart, &[], MANY_RETRIES);
    let last = usize::from(over_peer);
    if over_peer {
        cluster.add_with(&direct, &[], MANY_RETRIES);
    }
    for number in 0..=last {
        cluster.ready(number);
        cluster.knows_targets(number, targets.len());
    }
    if over_peer {
        cluster.logged(0, &["first datagram received", "gate-1"]);
        cluster.logged(1, &["first datagram received", "gate-0"]);
    }
    let received = ask(cluster.callers(0), version);
    assert_cut(&received, version, &cluster.log(last));
    let runs: usize = targets.iter().map(|t| t.requests().len()).sum();
    let logs = || (0..=last).map(|number| cluster.log(number)).collect::<Vec<_>>().join("\n\n");
    assert!(runs >= 2, "no next target was asked: {received:?}\n{}", logs());
}
