//! Stopping the server: linger time and abort.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_caller::server::{Limits, Server};

/// Time-out for events that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Linger time that outlasts every test.
const LONG_LINGER: Duration = Duration::from_mins(5);

fn start() -> Server {
    let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let handler = Arc::new(|exchange: &mut mimosapass_caller::exchange::Exchange<'_>| {
        exchange.respond(200, &[], b"done").unwrap_or_default();
    });
    Server::start(local, Limits::default(), handler).expect("it starts")
}

fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.addr()).expect("connects");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream
}

fn ask(stream: &mut TcpStream) -> String {
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("sent");
    let mut text = String::new();
    let mut buffer = [0; 256];
    while !text.ends_with("done") {
        let read = stream.read(&mut buffer).expect("readable");
        assert!(read > 0, "closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
    text
}

fn wait_drained(server: &Server) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !server.drained() {
        assert!(Instant::now() < end, "{} connections are left", server.connections());
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn requests_during_the_linger_time_are_served() {
    let server = start();
    let mut kept = connect(&server);
    assert!(!ask(&mut kept).contains("connection: close"));
    server.stop(LONG_LINGER);
    assert!(ask(&mut kept).contains("connection: close"));
    assert!(ask(&mut connect(&server)).contains("connection: close"));
    assert!(!server.drained(), "the linger time is not over");
}

#[test]
fn an_abort_closes_idle_connections_during_the_linger_time() {
    let server = start();
    let mut idle = connect(&server);
    ask(&mut idle);
    server.stop(LONG_LINGER);
    server.abort_incomplete();
    assert_eq!(idle.read(&mut [0; 8]).expect("closed without a reset"), 0);
    wait_drained(&server);
    let refused = TcpStream::connect(server.addr()).expect_err("connection refused");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
}

#[test]
fn a_request_that_has_started_outlasts_the_linger_time() {
    let server = start();
    let mut started = connect(&server);
    started.write_all(b"GET / HTTP/1.1\r\n").expect("sent");
    while server.active_requests() == 0 {
        std::thread::yield_now();
    }
    server.stop(Duration::ZERO);
    assert!(!server.drained());
    started.write_all(b"host: x\r\n\r\n").expect("sent");
    let mut text = String::new();
    started.read_to_string(&mut text).expect("readable");
    assert!(text.ends_with("done"), "{text}");
    wait_drained(&server);
}

/// Guards against callers without any answer, and a stop that waits for their connections.
#[test]
fn request_whose_handler_panics_is_answered_and_its_connection_no_longer_counts() {
    let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let server = Server::start(local, Limits::default(), Arc::new(|_| panic!("a bug")));
    let server = server.expect("it starts");
    let mut stream = connect(&server);
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("readable");
    assert!(text.starts_with("HTTP/1.1 500"), "{text:?}");
    server.stop(Duration::ZERO);
    wait_drained(&server);
    assert_eq!(server.active_requests(), 0);
}
