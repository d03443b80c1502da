//! Responses of targets whose head or framing is broken: no caller gets one as an answer, nor a
//! promise that comes from its head.

use mimosapass_standin::target::{Reply, ScriptedTarget, Step};
use rstest::rstest;

use super::{Answer, Cluster, KEY, call, head, start_target};
use crate::common::WAIT_TIMEOUT;

/// Length of the body that targets send.
const BODY_BYTES: usize = 200;
const SHORT_PROMPT: &str = "x-token-usage: 100,50\r\n";

/// What a target does after its response.
#[derive(Clone, Copy, Debug)]
enum After {
    Close,
    Hold,
}

/// A path and the service of its route.
type Route = (&'static str, &'static str);

const CALL: Route = ("/book/1", "desk");
const REPEATABLE: Route = ("/look/1", "desk");
const STREAM: Route = ("/chat/1", "pool");

/// Returns a signed response; `lines` end in CRLF and are followed by `body`.
fn signed(status: &str, lines: &str, body: &str) -> Vec<Step> {
    let head = format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: id-1\r\nx-server-seal: s\r\n\
         content-type: text/event-stream\r\n{lines}\r\n"
    );
    vec![Step::Text(head), Step::Text(body.to_owned())]
}

/// Returns events of 20 bytes each.
fn body() -> String {
    let events: Vec<String> =
        (0..BODY_BYTES / 20).map(|n| format!("id: 1{n}\ndata: {n:05}\n\n")).collect();
    events.concat()
}

/// Returns one chunk with the body, its size line and what follows it.
fn in_chunks(size_line: &str, end: &str) -> String {
    format!("{size_line}\r\n{}\r\n{end}", body())
}

/// Asks on a route with one target that replies so; returns the answer and the target's requests.
fn ask(route: Route, steps: Vec<Step>, after: After) -> (Answer, usize, String) {
    let (path, service) = route;
    let last = match after {
        After::Close => Step::Close,
        After::Hold => Step::Silence(WAIT_TIMEOUT),
    };
    let target = start_target("i-0", Reply::Steps([steps, vec![last]].concat()));
    let cluster = Cluster::start(1);
    cluster.register(&target, service);
    cluster.ready(0).knows_targets(0, 1);
    // A request that may be repeated waits for another target until its deadline.
    let head =
        head(path, "id-1", KEY, SHORT_PROMPT).replace("x-deadline-ms: 6000", "x-deadline-ms: 2000");
    let answer = call(cluster.callers(0), &head, b"question");
    (answer, target.requests().len(), cluster.log(0))
}

fn assert_failed((answer, requests, log): (Answer, usize, String)) {
    let signature = answer.response.header("x-server-seal");
    assert_eq!((answer.response.status, signature), (502, None), "{answer:?}\n{log}");
    assert_eq!(requests, 1, "{log}");
    assert!(answer.body.contains("the response is malformed"), "{answer:?}\n{log}");
}

/// Guards against a body that is not the target's, in a head that tells its length wrongly.
#[rstest]
fn head_with_a_broken_framing_is_no_answer(
    #[values(CALL, REPEATABLE, STREAM)] route: Route,
    #[values("200 OK", "500 Error", "204 No Content", "304 Not Modified")] status: &str,
    #[values(
        "content-length: +20\r\n",
        "content-length: 2 00\r\n",
        "content-length: 0x14\r\n",
        "content-length: 20\u{a0}\r\n",
        "content-length: \u{2003}20\r\n",
        "content-length: \r\n",
        "content-length: 20, 20\r\n",
        "content-length: 99999999999999999999\r\n",
        "content-length: 20\r\ncontent-length: 200\r\n",
        "content-length: 200\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunke\r\n",
        "transfer-encoding: \u{a0}chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n"
    )]
    lines: &str,
) {
    let text = if lines.contains("transfer") { in_chunks("c8", "0\r\n\r\n") } else { body() };
    assert_failed(ask(route, signed(status, lines, &text), After::Close));
}

/// Guards against a part of a head that is taken for the body.
#[rstest]
fn head_with_a_broken_line_is_no_answer(
    #[values(CALL, STREAM)] route: Route,
    #[values(
        "content-length: 20\n\r\n",
        "\nontent-length: 200\r\n",
        "x-a: a\nx-b: b\r\ncontent-length: 200\r\n",
        "transfer-encoding: chunked\n\r\n",
        "x-a: a\rx-b: b\r\ncontent-length: 200\r\n",
        "garbage\r\ncontent-length: 200\r\n",
        "content length: 200\r\n",
        "content-length : 200\r\n",
        "content\0length: 200\r\n",
        "content\tlength: 200\r\n",
        "content-length: 200\r\n x: folded\r\n",
        ": 200\r\n"
    )]
    lines: &str,
    #[values(After::Close, After::Hold)] after: After,
) {
    let text = if lines.contains("transfer") { in_chunks("c8", "0\r\n\r\n") } else { body() };
    assert_failed(ask(route, signed("200 OK", lines, &text), after));
}

/// Guards against a head that lost the line with its framing, and one that changes the protocol.
#[rstest]
fn head_that_contradicts_itself_is_no_answer(
    #[values(CALL, REPEATABLE, STREAM)] route: Route,
    #[values(
        ("200 OK", "keep-alive: timeout=10\r\n"),
        ("200 OK", "connection: x\r\nconnection: a, Keep-Alive\r\n"),
        ("500 Error", "keep-alive: timeout=10\r\ncontemt-length: 200\r\n"),
        ("101 Switching Protocols", ""),
        ("200", "content-length: 200\r\n")
    )]
    (status, lines): (&str, &str),
) {
    assert_failed(ask(route, signed(status, lines, &body()), After::Close));
}

/// Guards against chunks whose size or end is read from what tells neither.
#[rstest]
fn body_in_broken_chunks_is_no_answer(
    #[values(CALL, REPEATABLE)] route: Route,
    #[values(
        ("", "0\r\n\r\n"),
        (";", "0\r\n\r\n"),
        ("+c8", "0\r\n\r\n"),
        ("c8;a=\0", "0\r\n\r\n"),
        ("c8;a=\u{7f}", "0\r\n\r\n"),
        ("c8;a=b\nc", "0\r\n\r\n"),
        ("c8", "\r\n\r\n"),
        ("c8", ";\r\n\r\n"),
        ("c8", "0\r\ngarbage\r\n\r\n"),
        ("c8", "0\r\nx y: z\r\n\r\n"),
        ("c8", "0\r\nx: \0\r\n\r\n"),
        ("c8", "0\r\nx: a\ny: b\r\n\r\n")
    )]
    (size_line, end): (&str, &str),
    #[values(After::Close, After::Hold)] after: After,
) {
    let text = in_chunks(size_line, end);
    assert_failed(ask(route, signed("200 OK", "transfer-encoding: chunked\r\n", &text), after));
}

/// Guards against a stream that ends as a whole one at a size that is none.
#[rstest]
fn stream_in_broken_chunks_does_not_end_as_whole(
    #[values("\r\n\r\n", ";\r\n\r\n", "0\r\ngarbage\r\n\r\n")] end: &str,
) {
    let text = in_chunks("c8", end);
    let steps = signed("200 OK", "transfer-encoding: chunked\r\n", &text);
    let (answer, _, log) = ask(STREAM, steps, After::Close);
    assert_eq!((answer.response.status, answer.complete), (200, false), "{answer:?}\n{log}");
}

/// Guards against an interim head that is skipped although it cannot be read.
#[rstest]
fn response_behind_a_broken_interim_head_is_no_answer(
    #[values(
        "content-length: +20",
        "content-length: 5",
        "transfer-encoding: chunked",
        "x: a\ny: b"
    )]
    line: &str,
) {
    let interim = Step::Text(format!("HTTP/1.1 103 Early Hints\r\n{line}\r\n\r\n"));
    let sound = signed("200 OK", "content-length: 200\r\n", &body());
    assert_failed(ask(CALL, [vec![interim], sound].concat(), After::Close));
}

/// Guards against promises of a head that cannot be trusted: the request may have run.
#[rstest]
fn broken_head_promises_nothing(
    #[values(CALL, REPEATABLE)] route: Route,
    #[values("503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request")]
    status: &str,
    #[values("content-length: +20\r\n", "x-a: a\nx-b: b\r\ncontent-length: 200\r\n")] lines: &str,
) {
    let lines = format!("x-not-executed: 1\r\nretry-after: 5\r\nserver-limit: 1\r\n{lines}");
    assert_failed(ask(route, signed(status, &lines, &body()), After::Close));
}

/// The log line and the counter of a malformed response say which request, target and fault.
#[test]
fn broken_response_is_explained() {
    let target = start_target("i-0", Reply::Steps(signed("200 OK", "content-length: +20\r\n", "")));
    let cluster = Cluster::start(1);
    cluster.register(&target, "desk");
    cluster.ready(0).knows_targets(0, 1);
    assert_eq!(cluster.ask(0, "/book/1", "id-1").response.status, 502);
    let line = cluster.logged(0, &["target: a malformed response"]);
    for part in ["id=id-1", "target_id=i-0", "reason=framing"] {
        assert!(line.contains(part), "{line}");
    }
    cluster.measures(0, "gateway_malformed_responses{reason=\"framing\"}", |count| count == 1);
}

/// A request that may be repeated is answered by another target.
#[test]
fn repeatable_request_goes_to_another_target() {
    let broken = signed("200 OK", "content-length: +20\r\n", &body());
    let one = start_target("i-0", Reply::Steps(broken));
    let two = ScriptedTarget::start("i-1", |_| Reply::Complete(200, "whole"));
    let cluster = Cluster::start(1);
    cluster.register(&one, "desk");
    cluster.ready(0).knows_targets(0, 1);
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| cluster.ask(0, "/look/1", "id-1"));
        super::eventually("the first target has it", || !one.requests().is_empty());
        cluster.register(&two, "desk");
        asking.join().expect("an answer")
    });
    assert_eq!((answer.response.status, answer.complete), (200, true), "{}", cluster.log(0));
    assert_eq!(answer.body, "whole");
}

/// Responses of each framing are relayed, with what a strict reader accepts in them.
#[rstest]
#[case::length("200 OK", "content-length: 200\r\n", &body(), 200)]
#[case::length_with_zeros("200 OK", "Content-Length:\t00200 \t\r\n", &body(), 200)]
#[case::chunks("200 OK", "Transfer-Encoding: Chunked\r\n", &in_chunks("0C8", "00\r\n\r\n"), 200)]
#[case::extensions("200 OK", "transfer-encoding: chunked\r\n",
    &in_chunks("c8;a=b ; c = \"d;\\\"\" ;e", "0;f\r\nx: y\r\n\r\n"), 200)]
#[case::until_close("200 OK", "", &body(), 200)]
#[case::until_close_beside_keep_alive("200 OK", "connection: close\r\nkeep-alive: timeout=10\r\n", &body(), 200)]
#[case::reason_missing("200 ", "content-length: 200\r\n", &body(), 200)]
#[case::failure("500 Error", "content-length: 200\r\n", &body(), 500)]
#[case::no_content("204 No Content", "", "", 204)]
#[case::no_content_with_length("204 No Content", "content-length: 0\r\n", "", 204)]
fn sound_response_is_relayed(
    #[case] status: &str,
    #[case] lines: &str,
    #[case] text: &str,
    #[case] wanted: u16,
) {
    let (answer, _, log) = ask(CALL, signed(status, lines, text), After::Close);
    let sound = if wanted == 204 { String::new() } else { body() };
    assert_eq!((answer.response.status, answer.complete), (wanted, true), "{answer:?}\n{log}");
    assert_eq!((answer.body, answer.response.header("x-server-seal")), (sound, Some("s")));
}

/// A stream of each framing is relayed whole.
#[rstest]
#[case::length("content-length: 200\r\n", &body())]
#[case::chunks("transfer-encoding: chunked\r\n", &in_chunks("c8", "0\r\n\r\n"))]
#[case::until_close("connection: close\r\n", &body())]
fn sound_stream_is_relayed(#[case] lines: &str, #[case] text: &str) {
    let (answer, _, log) = ask(STREAM, signed("200 OK", lines, text), After::Close);
    assert_eq!((answer.response.status, answer.complete), (200, true), "{answer:?}\n{log}");
    assert_eq!(answer.body, body());
}

/// Values of headers are opaque bytes, which are relayed as they are.
#[rstest]
fn header_that_is_not_text_is_relayed_unchanged(#[values(CALL, STREAM)] route: Route) {
    let head =
        b"HTTP/1.1 200 OK\r\nx-attempt-id: id-1\r\nx-server-seal: s\r\nx-name: caf\xe9\xff\r\n\
        content-length: 200\r\n\r\n";
    let (answer, _, log) = ask(route, vec![Step::Bytes(head), Step::Text(body())], After::Close);
    assert_eq!((answer.response.status, answer.complete), (200, true), "{answer:?}\n{log}");
    let mut headers = answer.response.headers.iter();
    let value = headers.find_map(|(name, value)| (name == "x-name").then_some(value.as_slice()));
    assert_eq!(value, Some(b"caf\xe9\xff".as_slice()), "{answer:?}");
}
