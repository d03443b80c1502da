//! Bounds on what is read from a target over one connection.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use mimosapass_standin::endless::EndlessServer;
use mimosapass_target::http::{BodyPart, Connection, ReadError, WaitOutcome, post};
use mimosapass_target::pool::ConnectionPool;
use rstest::rstest;

/// Time after which a reader that does not end fails its test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that a reader may take before it ends; more than any bound on a head or a trailer.
const MAX_READ_BYTES: usize = 256 * 1024;
/// Bytes that a server sends at once.
const BLOCK_BYTES: usize = 64 * 1024;
/// Chunks of one byte in a body.
const SHORT_CHUNKS: usize = 1_000_000;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Returns a text again and again, as much as several reads take: a bound is told by the number
/// of reads, and short ones would count as whole ones.
fn block(text: &str) -> Vec<u8> {
    text.repeat(BLOCK_BYTES / text.len()).into_bytes()
}

fn connect(server: &EndlessServer) -> Connection {
    let mut connection = Connection::open(server.addr, WAIT_TIMEOUT).expect("connected");
    let end = Instant::now() + WAIT_TIMEOUT;
    connection.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", end).expect("sent");
    connection
}

/// Reads a response until it ends or fails; returns the bytes of its body.
///
/// Panics if the reader takes too many bytes besides the body, or too much time.
fn read(server: &EndlessServer, most: usize) -> Result<usize, ReadError> {
    let mut connection = connect(server);
    let end = Instant::now() + WAIT_TIMEOUT;
    let (mut framing, mut body, mut fills) = (None, 0, 0);
    loop {
        let part = match &mut framing {
            None => match connection.parse_head("GET")? {
                Some(head) => {
                    framing = Some(head.framing);
                    continue;
                }
                None => BodyPart::NeedMore,
            },
            Some(framing) => connection.next_part(framing)?,
        };
        match part {
            BodyPart::Data(data) => body += data.len(),
            BodyPart::End => return Ok(body),
            BodyPart::NeedMore => {
                let waited = connection.wait(None::<&TcpStream>, end).expect("polled");
                assert_eq!(waited, WaitOutcome::Target, "the server sends");
                connection.fill();
                // A read takes 16 KiB at most.
                fills += 1;
                assert!(fills * 16 * 1024 < most + body, "the reader does not end");
                assert!(Instant::now() < end, "the reader does not end in time");
            }
        }
    }
}

#[rstest]
#[case::status_line("HTTP/1.1 200 ", "aaaaaaaaaaaaaaaa")]
#[case::header_line("HTTP/1.1 200 OK\r\na: ", "aaaaaaaaaaaaaaaa")]
#[case::header_name("HTTP/1.1 200 OK\r\n", "aaaaaaaaaaaaaaaa")]
#[case::headers("HTTP/1.1 200 OK\r\n", "a: b\r\n")]
#[case::long_headers("HTTP/1.1 200 OK\r\n", LONG_HEADER)]
#[case::blank_lines("", "\r\n")]
#[case::no_response("", "garbage ")]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::interim_responses_with_headers("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")]
fn head_without_end_is_malformed(#[case] start: &str, #[case] repeated: &str) {
    let server = EndlessServer::start(start.as_bytes(), &block(repeated), Duration::ZERO);
    let result = read(&server, MAX_READ_BYTES);
    assert!(matches!(result, Err(ReadError::Malformed(_))), "{result:?}");
}

/// A header of 2 KiB.
const LONG_HEADER: &str = {
    const TEXT: [u8; 2048] = {
        let mut text = [b'a'; 2048];
        (text[1], text[2046], text[2047]) = (b':', b'\r', b'\n');
        text
    };
    match std::str::from_utf8(&TEXT) {
        Ok(text) => text,
        Err(_) => "",
    }
};

#[rstest]
#[case::chunk_size("0")]
#[case::chunk_extension("1;aaaaaaaaaaaaaaa")]
#[case::trailer("0\r\na: ")]
#[case::trailers("0\r\na: b\r\n")]
fn framing_without_end_is_malformed(#[case] start: &str) {
    let (prefix, repeated) = match start.strip_suffix("a: b\r\n") {
        Some(prefix) => (prefix, "a: b\r\n"),
        None => (start, "0000000000000000"),
    };
    let start = [CHUNKED, prefix].concat();
    let server = EndlessServer::start(start.as_bytes(), &block(repeated), Duration::ZERO);
    let result = read(&server, MAX_READ_BYTES);
    assert!(matches!(result, Err(ReadError::Malformed(_))), "{result:?}");
}

/// A trailer within the bound is skipped.
#[test]
fn trailer_is_skipped() {
    let start = [CHUNKED, "3\r\nabc\r\n0\r\na: b\r\nc: d\r\n\r\n"].concat();
    let server = EndlessServer::start(start.as_bytes(), b"", Duration::from_millis(10));
    assert_eq!(read(&server, MAX_READ_BYTES), Ok(3));
}

/// A few interim responses are skipped.
#[test]
fn interim_responses_are_skipped() {
    let start = ["HTTP/1.1 100 Continue\r\n\r\n"; 20].concat()
        + "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let server = EndlessServer::start(start.as_bytes(), b"", Duration::from_millis(10));
    assert_eq!(read(&server, MAX_READ_BYTES), Ok(2));
}

/// Guards against a decoder that moves the rest of the buffer for each chunk.
#[test]
fn short_chunks_take_little_processor_time() {
    let chunks = "1\r\nx\r\n".repeat(SHORT_CHUNKS);
    let start = [CHUNKED, &chunks, "0\r\n\r\n"].concat();
    let server = EndlessServer::start(start.as_bytes(), b"", Duration::from_millis(10));
    let begun = process_time();
    assert_eq!(read(&server, usize::MAX / 2), Ok(SHORT_CHUNKS));
    let took = process_time().saturating_sub(begun);
    println!("{SHORT_CHUNKS} chunks take {took:?} of this thread's processor time");
    assert!(took < Duration::from_millis(300), "{took:?}");
}

/// Returns the processor time of this thread.
fn process_time() -> Duration {
    let time = std::fs::read_to_string("/proc/thread-self/schedstat").expect("readable");
    let spent = time.split(' ').next().and_then(|ns| ns.parse().ok()).expect("nanoseconds");
    Duration::from_nanos(spent)
}

/// Guards against a call that reads on for as long as something is received.
#[rstest]
#[case::interim_responses("", &"HTTP/1.1 100 Continue\r\n\r\n".repeat(64), Duration::ZERO)]
#[case::slow_interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n", Duration::from_millis(1))]
#[case::header("HTTP/1.1 200 OK\r\na: ", "aaaa", Duration::ZERO)]
#[case::slow_header("HTTP/1.1 200 OK\r\na: ", "a", Duration::from_millis(1))]
fn call_ends_in_time(#[case] start: &str, #[case] repeated: &str, #[case] pause: Duration) {
    let server = EndlessServer::start(start.as_bytes(), repeated.as_bytes(), pause);
    let mut connection = Connection::open(server.addr, WAIT_TIMEOUT).expect("connected");
    let begun = Instant::now();
    let (done, result) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let end = begun + Duration::from_millis(400);
        let response = post(&mut connection, "/order", &[], b"{}", end);
        drop(connection);
        done.send(response).expect("the test waits");
    });
    let response = result.recv_timeout(WAIT_TIMEOUT).expect("the call ends");
    assert!(response.is_err(), "{response:?}");
    assert!(begun.elapsed() < Duration::from_millis(600), "{:?}", begun.elapsed());
    std::thread::sleep(Duration::from_millis(200));
    assert!(server.seen().disconnected_at.is_some(), "the connection is closed");
}

/// A connection on which bytes follow a complete response is not used again.
#[test]
fn connection_with_bytes_after_a_response_is_not_reusable() {
    let start = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let server = EndlessServer::start(start.as_bytes(), b"ok", Duration::from_millis(1));
    let connection = answered(&server);
    std::thread::sleep(Duration::from_millis(50));
    assert!(!connection.reusable(Instant::now()));
}

/// Guards against idle connections that stay open, and receive, until their target is used
/// again.
#[test]
fn idle_connection_with_unrequested_bytes_is_closed() {
    let start = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let sending = EndlessServer::start(start.as_bytes(), b"ok", Duration::from_millis(200));
    let other = EndlessServer::start(start.as_bytes(), b"", Duration::from_secs(1));
    let pool = ConnectionPool::default();
    pool.keep(answered(&sending), WAIT_TIMEOUT, Instant::now());
    let end = Instant::now() + WAIT_TIMEOUT;
    while sending.seen().disconnected_at.is_none() {
        assert!(Instant::now() < end, "the connection stays open");
        assert!(pool.take(other.addr, Instant::now()).is_none());
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A connection that stays silent is kept for its whole keep-alive time.
#[test]
fn idle_connection_is_reused() {
    let start = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let server = EndlessServer::start(start.as_bytes(), b"", Duration::from_secs(1));
    let other = EndlessServer::start(start.as_bytes(), b"", Duration::from_secs(1));
    let pool = ConnectionPool::default();
    pool.keep(answered(&server), WAIT_TIMEOUT, Instant::now());
    for _ in 0..15 {
        std::thread::sleep(Duration::from_millis(100));
        assert!(pool.take(other.addr, Instant::now()).is_none());
    }
    assert!(pool.take(server.addr, Instant::now()).is_some());
}

/// Returns a connection on which a response was read.
fn answered(server: &EndlessServer) -> Connection {
    let mut connection = connect(server);
    let end = Instant::now() + WAIT_TIMEOUT;
    let mut framing = loop {
        if let Some(head) = connection.parse_head("GET").expect("a head") {
            break head.framing;
        }
        connection.wait(None::<&TcpStream>, end).expect("polled");
        connection.fill();
    };
    while connection.next_part(&mut framing).expect("a body") != BodyPart::End {}
    connection
}
