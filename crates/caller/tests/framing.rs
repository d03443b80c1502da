//! HTTP framing, persistent connections and HTTP/1.0 callers.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use mimosapass_caller::server::{Limits, Server};
use rstest::rstest;

/// Time-out for events that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a server that echoes method, path and body, or streams at `/stream`.
fn start() -> Server {
    let limits = Limits { body_bytes: 1000, ..Limits::default() };
    Server::start(
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
        limits,
        Arc::new(|exchange| {
            if exchange.head.path.starts_with("/stream") {
                exchange.begin(200, &[]).expect("the caller is there");
                exchange.send(b"one ").expect("the caller is there");
                exchange.send(b"two").expect("the caller is there");
                if exchange.head.path == "/stream" {
                    exchange.finish();
                }
                return;
            }
            let head = format!("<{} {} ", exchange.head.method, exchange.head.path);
            let body = [head.as_bytes(), &exchange.body, b">"].concat();
            exchange.respond(200, &[], &body).expect("the caller is there");
        }),
    )
    .expect("the server starts")
}

/// Sends bytes, shuts down the sending side, and reads until the end.
fn send(bytes: &[u8]) -> Result<String, String> {
    let server = start();
    let mut stream = TcpStream::connect(server.addr()).expect("connects");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream.write_all(bytes).expect("sent");
    stream.shutdown(Shutdown::Write).expect("shut");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).map_err(|e| e.to_string())?;
    Ok(String::from_utf8(answer).expect("text"))
}

fn statuses(answer: &str) -> Vec<u16> {
    let lines = answer.split("HTTP/1.1 ").skip(1);
    lines.map(|l| l[..3].parse().expect("a status")).collect()
}

#[rstest]
#[case::get("GET /a HTTP/1.1\r\n\r\n", "<GET /a >")]
#[case::query("GET /a?b=c HTTP/1.1\r\n\r\n", "<GET /a >")]
#[case::length("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz", "<POST /a xyz>")]
#[case::empty("POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "<POST /a >")]
#[case::chunked(
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n2\r\nuv\r\n0\r\n\r\n",
    "<POST /a xyzuv>"
)]
#[case::chunk_extension(
    "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;n=v\r\nxyz\r\n0\r\n\r\n",
    "<POST /a xyz>"
)]
#[case::chunk_hex(
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nA\r\n0123456789\r\n0\r\n\r\n",
    "<POST /a 0123456789>"
)]
#[case::http10("POST /a HTTP/1.0\r\nContent-Length: 1\r\n\r\nx", "<POST /a x>")]
#[case::unusual_method("PATCH /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", "<PATCH /a x>")]
#[case::lone_line_feeds("GET /a HTTP/1.1\nx: y\n\n", "<GET /a >")]
fn a_valid_request_gets_a_response(#[case] request: &str, #[case] body: &str) {
    let answer = send(request.as_bytes()).expect("an answer");
    assert_eq!(statuses(&answer), [200], "{answer}");
    assert!(answer.ends_with(body), "{answer}");
    assert!(answer.contains(&format!("content-length: {}\r\n", body.len())), "{answer}");
}

#[rstest]
#[case::both(
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400
)]
#[case::two_lengths("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nxyzu", 400)]
#[case::same_length_twice(
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nxyz",
    400
)]
#[case::length_list("POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nxyz", 400)]
#[case::signed_length("POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nxyz", 400)]
#[case::negative_length("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nxyz", 400)]
#[case::hex_length("POST / HTTP/1.1\r\nContent-Length: 0x3\r\n\r\nxyz", 400)]
#[case::no_length("POST / HTTP/1.1\r\nContent-Length: \r\n\r\nxyz", 400)]
#[case::huge_length("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\nxyz", 400)]
#[case::other_coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nxyz", 400)]
#[case::two_codings("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400)]
#[case::coding_twice(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400
)]
#[case::http10_chunked("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400)]
#[case::bad_chunk_size(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\nabc\r\n0\r\n\r\n",
    400
)]
#[case::long_chunk(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n",
    400
)]
#[case::no_last_line(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx",
    400
)]
#[case::cut_chunk("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", 499)]
#[case::cut_body("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", 499)]
#[case::cut_head("POST / HTTP/1.1\r\nContent-Le", 499)]
#[case::no_http("hello\r\n\r\n", 400)]
#[case::space_before_colon("GET / HTTP/1.1\r\nx : y\r\n\r\n", 400)]
#[case::folded_header("GET / HTTP/1.1\r\nx: y\r\n z\r\n\r\n", 400)]
#[case::over_the_limit("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413)]
fn an_ambiguous_or_invalid_request_is_rejected_and_closed(
    #[case] request: &str,
    #[case] status: u16,
) {
    // What follows must never be parsed as a second request.
    let followed = format!("{request}GET /next HTTP/1.1\r\n\r\n");
    let bytes = if status == 499 { request } else { &followed };
    let answer = send(bytes.as_bytes()).expect("an answer");
    assert_eq!(statuses(&answer), [status], "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(answer.contains("mimosapass-not-run: true\r\n") || status == 499, "{answer}");
}

#[rstest]
#[case::chunked_body(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", b"64\r\n0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789\r\n", 11)]
#[case::endless_chunk_size(
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"0000000000",
    500
)]
#[case::endless_extension(
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    b"xxxxxxxxxx",
    500
)]
#[case::endless_head(b"GET / HTTP/1.1\r\n", b"x: 0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789\r\n", 70)]
#[case::endless_header(b"GET / HTTP/1.1\r\nx: ", b"0123456789", 5000)]
fn a_request_without_end_is_rejected_by_its_size(
    #[case] head: &[u8],
    #[case] part: &[u8],
    #[case] times: usize,
) {
    let mut bytes = head.to_vec();
    bytes.extend(part.repeat(times));
    let answer = send(&bytes).expect("an answer");
    assert_eq!(statuses(&answer), [413], "{answer}");
}

#[test]
fn pipelined_requests_get_responses_in_order() {
    let answer = send(
        b"GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n\
        POST /3 HTTP/1.1\r\nContent-Length: 1\r\n\r\nyGET /stream HTTP/1.1\r\n\r\nGET /5 HTTP/1.1\r\n\r\n",
    );
    let answer = answer.expect("answers");
    assert_eq!(statuses(&answer), [200; 5], "{answer}");
    let at = |text: &str| answer.find(text).expect(text);
    let order =
        [at("<GET /1 >"), at("<POST /2 x>"), at("<POST /3 y>"), at("4\r\none "), at("<GET /5 >")];
    assert!(order.is_sorted(), "{answer}");
}

#[rstest]
#[case::close("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n")]
#[case::http10("GET /1 HTTP/1.0\r\n\r\n")]
fn a_connection_without_keep_alive_closes_after_its_response(#[case] first: &str) {
    let answer = send(format!("{first}GET /2 HTTP/1.1\r\n\r\n").as_bytes()).expect("an answer");
    assert_eq!(statuses(&answer), [200], "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
}

#[test]
fn a_head_request_gets_no_body() {
    let answer = send(b"HEAD /a HTTP/1.1\r\n\r\n").expect("an answer");
    assert!(answer.ends_with("content-length: 10\r\n\r\n"), "{answer}");
}

#[test]
fn a_caller_that_expects_100_continue_receives_it() {
    let server = start();
    let mut stream = TcpStream::connect(server.addr()).expect("connects");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream
        .write_all(b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 3\r\n\r\n")
        .expect("sent");
    let mut first = [0; 25];
    stream.read_exact(&mut first).expect("the interim response");
    assert_eq!(&first, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"xyz").expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.ends_with("<POST /a xyz>"), "{answer}");
}

#[test]
fn a_body_over_the_limit_gets_no_100_continue() {
    let answer = send(b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n");
    assert_eq!(statuses(&answer.expect("an answer")), [413]);
}

#[test]
fn a_stream_to_an_http10_caller_has_no_chunks() {
    let answer = send(b"GET /stream HTTP/1.0\r\n\r\n").expect("an answer");
    assert!(answer.ends_with("connection: close\r\n\r\none two"), "{answer}");
}

#[rstest]
#[case::http11("HTTP/1.1")]
#[case::http10("HTTP/1.0")]
fn a_truncated_stream_never_looks_complete(#[case] version: &str) {
    match send(format!("GET /stream/cut {version}\r\n\r\n").as_bytes()) {
        Ok(answer) => {
            assert_eq!(version, "HTTP/1.1", "a reset was expected");
            assert!(!answer.contains("\r\n0\r\n\r\n"), "{answer}");
        }
        Err(e) => assert!(e.contains("reset"), "{e}"),
    }
}
