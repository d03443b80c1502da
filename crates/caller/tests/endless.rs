//! Requests without end get a response and are closed within bounds on bytes and time.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_caller::server::{Limits, Server};
use rstest::rstest;

/// Time limit of heads and bodies.
const TIME_LIMIT: Duration = Duration::from_millis(400);
/// The time limit, that of the drain after a rejection, and a margin.
const MAX_TIME: Duration = Duration::from_secs(4);
/// Bounds on a head and on a body, the drain after a rejection, and what the kernel holds.
const MAX_SENT_BYTES: usize = 48 * 1024 * 1024;

fn start() -> Server {
    let limits = Limits {
        body_bytes: 64 * 1024,
        head_timeout: TIME_LIMIT,
        body_timeout: TIME_LIMIT,
        ..Limits::default()
    };
    let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let handler = |exchange: &mut mimosapass_caller::exchange::Exchange<'_>| {
        exchange.respond(200, &[], b"ok").unwrap_or_default();
    };
    Server::start(local, limits, Arc::new(handler)).expect("the server starts")
}

/// Sends bytes until the connection ends; returns how many were sent, and the response.
fn send_endlessly(
    server: &Server,
    start: &str,
    repeated: &[u8],
    pause: Duration,
) -> (usize, Vec<u8>) {
    let stream = TcpStream::connect(server.addr()).expect("connected");
    let mut reader = stream.try_clone().expect("cloned");
    reader.set_read_timeout(Some(MAX_TIME)).expect("set");
    let reading = std::thread::spawn(move || {
        let (mut response, mut buffer) = (Vec::new(), [0; 1024]);
        while let Ok(read @ 1..) = reader.read(&mut buffer) {
            response.extend_from_slice(&buffer[..read]);
        }
        response
    });
    let begun = Instant::now();
    let (mut writer, mut part, mut sent) = (&stream, start.as_bytes(), 0);
    while writer.write_all(part).is_ok() {
        sent += part.len();
        part = repeated;
        std::thread::sleep(pause);
        assert!(begun.elapsed() < MAX_TIME, "the connection stays open, {sent} bytes were sent");
    }
    stream.shutdown(Shutdown::Both).unwrap_or_default();
    (sent, reading.join().expect("it ends"))
}

const FAST: (usize, Duration) = (4096, Duration::ZERO);
const SLOW: (usize, Duration) = (1, Duration::from_millis(10));

#[rstest]
#[case::path("GET /", "a")]
#[case::header("GET / HTTP/1.1\r\na: ", "a")]
#[case::headers("GET / HTTP/1.1\r\n", "a: b\r\n")]
#[case::blank_lines("", "\r\n")]
#[case::no_request("\0", "\0")]
#[case::body("POST / HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n", "a")]
#[case::slow_body("POST / HTTP/1.1\r\ncontent-length: 65536\r\nconnection: close\r\n\r\n", "a")]
#[case::chunks("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\na\r\n")]
#[case::chunk_size("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[case::chunk_extension("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1;", "a")]
#[case::trailer("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: ", "a")]
#[case::trailers("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n")]
fn request_without_end_is_closed(
    #[case] start_of_request: &str,
    #[case] repeated: &str,
    #[values(FAST, SLOW)] speed: (usize, Duration),
) {
    let server = start();
    let (times, pause) = speed;
    let repeated = repeated.repeat(times);
    let (sent, response) = send_endlessly(&server, start_of_request, repeated.as_bytes(), pause);
    assert!(sent < MAX_SENT_BYTES, "{sent} bytes were sent");
    let response = String::from_utf8_lossy(&response).into_owned();
    println!("{sent} bytes, {response}");
    assert!(!response.contains("200 OK") || start_of_request.contains("65536"), "{response}");
    let end = Instant::now() + MAX_TIME;
    while server.connections() > 0 {
        assert!(Instant::now() < end, "the connection stays open");
        std::thread::sleep(Duration::from_millis(5));
    }
}
