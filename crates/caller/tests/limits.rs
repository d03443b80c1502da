//! Limits on callers: each is reported in a response and releases its resources.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use mimosapass_caller::server::{Handler, Limits, Server};

/// Time-out for events that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit that a test waits for to expire.
const SHORT_LIMIT: Duration = Duration::from_millis(200);

fn start(limits: Limits, handler: Handler) -> Server {
    let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    Server::start(local, limits, handler).expect("the server starts")
}

fn echo() -> Handler {
    Arc::new(|exchange| {
        let length = exchange.body.len().to_string();
        exchange.respond(200, &[], length.as_bytes()).unwrap_or_default();
    })
}

fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.addr()).expect("connects");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream
}

fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("readable");
    text
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_body_over_the_limit_gets_a_response_although_all_of_it_is_sent() {
    let server = start(Limits { body_bytes: 1000, ..Limits::default() }, echo());
    let mut stream = connect(&server);
    let size = 4_000_000;
    write!(stream, "POST / HTTP/1.1\r\nContent-Length: {size}\r\n\r\n").expect("sent");
    // A reset while the caller still sends would discard the response.
    stream.write_all(&vec![b'x'; size]).expect("sent");
    assert!(read_to_end(stream).starts_with("HTTP/1.1 413 "));
}

#[test]
fn a_body_that_arrives_too_slowly_gets_a_response() {
    let server = start(Limits { body_timeout: SHORT_LIMIT, ..Limits::default() }, echo());
    let mut stream = connect(&server);
    stream.write_all(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nx").expect("sent");
    assert!(read_to_end(stream).starts_with("HTTP/1.1 408 "));
    wait_until("no request is active", || server.active_requests() == 0);
}

#[test]
fn a_head_that_arrives_too_slowly_gets_a_response() {
    let server = start(Limits { head_timeout: SHORT_LIMIT, ..Limits::default() }, echo());
    let mut stream = connect(&server);
    let mut writer = stream.try_clone().expect("cloned");
    let sender = std::thread::spawn(move || {
        // Each byte arrives within the limit, but the complete head does not.
        while writer.write_all(b"x").is_ok() {
            std::thread::sleep(SHORT_LIMIT / 10);
        }
    });
    let mut answer = [0; 13];
    stream.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 408 ");
    drop(stream);
    sender.join().expect("it ends");
}

#[test]
fn an_idle_connection_is_closed() {
    let server = start(Limits { idle_timeout: SHORT_LIMIT, ..Limits::default() }, echo());
    let silent = connect(&server);
    let mut kept = connect(&server);
    kept.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    assert!(read_to_end(kept).ends_with("\r\n\r\n0"));
    assert_eq!(read_to_end(silent), "");
    wait_until("no connection is open", || server.connections() == 0);
}

#[test]
fn a_connection_over_the_limit_gets_a_retry_delay() {
    let server = start(Limits { connections: 2, ..Limits::default() }, echo());
    let open: Vec<TcpStream> = (0..2).map(|_| connect(&server)).collect();
    wait_until("both are open", || server.connections() == 2);
    let mut over = connect(&server);
    over.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    let answer = read_to_end(over);
    assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert!(answer.contains("mimosapass-not-run: true\r\n"), "{answer}");
    drop(open);
    wait_until("both are closed", || server.connections() == 0);
    let mut next = connect(&server);
    next.write_all(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n").expect("sent");
    assert!(read_to_end(next).starts_with("HTTP/1.1 200 "));
}

#[test]
fn all_bodies_together_have_a_memory_limit() {
    let limits = Limits { body_bytes: 1000, bodies_bytes: 1500, ..Limits::default() };
    let server = start(limits, echo());
    let mut first = connect(&server);
    first
        .write_all(b"POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n")
        .expect("sent");
    wait_until("it is being read", || server.active_requests() == 1);
    let ask = |path: &str| {
        let mut stream = connect(&server);
        let head =
            format!("POST {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: 900\r\n\r\n");
        stream.write_all(&[head.as_bytes(), &[b'x'; 900]].concat()).expect("sent");
        read_to_end(stream)
    };
    // The first request may count as active before its body is reserved.
    wait_until("the second is rejected", || ask("/second").starts_with("HTTP/1.1 429 "));
    first.write_all(&[b'x'; 1000]).expect("sent");
    assert!(read_to_end(first).ends_with("\r\n\r\n1000"));
    wait_until("its memory is released", || ask("/third").ends_with("\r\n\r\n900"));
}

/// Starts a server that streams without end; reports when sending failed.
fn start_endless(limits: Limits, deadline: Option<Duration>) -> (Server, Receiver<bool>) {
    let (sender, ended) = channel();
    let sender = std::sync::Mutex::new(sender);
    let handler: Handler = Arc::new(move |exchange| {
        if let Some(time) = deadline {
            exchange.set_deadline(Instant::now() + time);
        }
        exchange.begin(200, &[]).expect("begun");
        let part = vec![b'x'; 64 * 1024];
        while exchange.send(&part).is_ok() {}
        sender.lock().expect("whole").send(true).unwrap_or_default();
    });
    (start(limits, handler), ended)
}

/// Reads single bytes slowly until the connection ends.
fn read_slowly(mut stream: TcpStream) {
    std::thread::spawn(move || {
        let mut byte = [0];
        while matches!(stream.read(&mut byte), Ok(1)) {
            std::thread::sleep(SHORT_LIMIT / 10);
        }
    });
}

#[test]
fn a_caller_that_reads_too_slowly_is_disconnected() {
    let (server, ended) =
        start_endless(Limits { write_timeout: SHORT_LIMIT, ..Limits::default() }, None);
    let mut stream = connect(&server);
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    read_slowly(stream);
    assert!(ended.recv_timeout(TEST_TIMEOUT).expect("it ended"));
    wait_until("no connection is open", || server.connections() == 0);
}

#[test]
fn a_deadline_ends_a_write_to_a_slow_caller() {
    let limits = Limits { write_timeout: Duration::from_mins(10), ..Limits::default() };
    let (server, ended) = start_endless(limits, Some(SHORT_LIMIT));
    let mut stream = connect(&server);
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    read_slowly(stream);
    assert!(ended.recv_timeout(TEST_TIMEOUT).expect("it ended"));
    wait_until("no request is active", || server.active_requests() == 0);
}

#[test]
fn a_disconnected_caller_is_detected_while_nothing_is_sent() {
    let (sender, detected) = channel();
    let sender = std::sync::Mutex::new(sender);
    let handler: Handler = Arc::new(move |exchange| {
        wait_until("the caller is disconnected", || exchange.caller_gone());
        sender.lock().expect("whole").send(()).unwrap_or_default();
    });
    let server = start(Limits::default(), handler);
    let mut stream = connect(&server);
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    drop(stream);
    detected.recv_timeout(TEST_TIMEOUT).expect("it was detected");
}
