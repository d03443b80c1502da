//! Bounds on callers: each has a clear answer and frees what was held.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use mimosapass_caller::server::{Handler, Limits, Server};

/// Longest wait for something that has to happen.
const PATIENCE: Duration = Duration::from_secs(30);
/// A bound that a test waits for.
const SOON: Duration = Duration::from_millis(200);

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
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream
}

fn rest(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("readable");
    text
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_large_body_over_the_limit_is_answered_although_it_is_all_sent() {
    let server = start(Limits { body_bytes: 1000, ..Limits::default() }, echo());
    let mut stream = connect(&server);
    let size = 4_000_000;
    write!(stream, "POST / HTTP/1.1\r\nContent-Length: {size}\r\n\r\n").expect("sent");
    // The answer must not be lost to a reset while the caller still sends.
    stream.write_all(&vec![b'x'; size]).expect("sent");
    assert!(rest(stream).starts_with("HTTP/1.1 413 "));
}

#[test]
fn a_body_that_comes_too_slowly_is_answered() {
    let server = start(Limits { body_timeout: SOON, ..Limits::default() }, echo());
    let mut stream = connect(&server);
    stream.write_all(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nx").expect("sent");
    assert!(rest(stream).starts_with("HTTP/1.1 408 "));
    until("nothing is busy", || server.active_requests() == 0);
}

#[test]
fn a_head_that_trickles_in_is_answered() {
    let server = start(Limits { head_timeout: SOON, ..Limits::default() }, echo());
    let mut stream = connect(&server);
    let mut writer = stream.try_clone().expect("cloned");
    let trickle = std::thread::spawn(move || {
        // Each byte comes within the bound; only all of them together do not.
        while writer.write_all(b"x").is_ok() {
            std::thread::sleep(SOON / 10);
        }
    });
    let mut answer = [0; 13];
    stream.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 408 ");
    drop(stream);
    trickle.join().expect("it ends");
}

#[test]
fn an_idle_connection_is_closed() {
    let server = start(Limits { idle_timeout: SOON, ..Limits::default() }, echo());
    let silent = connect(&server);
    let mut kept = connect(&server);
    kept.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    assert!(rest(kept).ends_with("\r\n\r\n0"));
    assert_eq!(rest(silent), "");
    until("no connection is open", || server.connections() == 0);
}

#[test]
fn a_connection_over_the_cap_is_told_when_to_come_back() {
    let server = start(Limits { connections: 2, ..Limits::default() }, echo());
    let held: Vec<TcpStream> = (0..2).map(|_| connect(&server)).collect();
    until("both are open", || server.connections() == 2);
    let mut over = connect(&server);
    over.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    let answer = rest(over);
    assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert!(answer.contains("mimosapass-not-run: true\r\n"), "{answer}");
    drop(held);
    until("there is room again", || server.connections() == 0);
    let mut next = connect(&server);
    next.write_all(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n").expect("sent");
    assert!(rest(next).starts_with("HTTP/1.1 200 "));
}

#[test]
fn all_bodies_together_have_a_bound() {
    let limits = Limits { body_bytes: 1000, bodies_bytes: 1500, ..Limits::default() };
    let server = start(limits, echo());
    let mut first = connect(&server);
    first
        .write_all(b"POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n")
        .expect("sent");
    until("it is being read", || server.active_requests() == 1);
    let ask = |path: &str| {
        let mut stream = connect(&server);
        let head =
            format!("POST {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: 900\r\n\r\n");
        stream.write_all(&[head.as_bytes(), &[b'x'; 900]].concat()).expect("sent");
        rest(stream)
    };
    // The first body may not be reserved yet when it counts as busy.
    until("the second is refused", || ask("/second").starts_with("HTTP/1.1 429 "));
    first.write_all(&[b'x'; 1000]).expect("sent");
    assert!(rest(first).ends_with("\r\n\r\n1000"));
    until("its memory is given back", || ask("/third").ends_with("\r\n\r\n900"));
}

/// Serves endless pieces and tells how the sending ended.
fn endless(limits: Limits, deadline: Option<Duration>) -> (Server, Receiver<bool>) {
    let (sender, ended) = channel();
    let sender = std::sync::Mutex::new(sender);
    let handler: Handler = Arc::new(move |exchange| {
        if let Some(time) = deadline {
            exchange.set_deadline(Instant::now() + time);
        }
        exchange.begin(200, &[]).expect("begun");
        let piece = vec![b'x'; 64 * 1024];
        while exchange.send(&piece).is_ok() {}
        sender.lock().expect("whole").send(true).unwrap_or_default();
    });
    (start(limits, handler), ended)
}

/// Reads one byte now and then for as long as the connection lives.
fn trickle(mut stream: TcpStream) {
    std::thread::spawn(move || {
        let mut byte = [0];
        while matches!(stream.read(&mut byte), Ok(1)) {
            std::thread::sleep(SOON / 10);
        }
    });
}

#[test]
fn a_caller_that_reads_too_slowly_is_given_up() {
    let (server, ended) = endless(Limits { write_timeout: SOON, ..Limits::default() }, None);
    let mut stream = connect(&server);
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    trickle(stream);
    assert!(ended.recv_timeout(PATIENCE).expect("it ended"));
    until("no connection is open", || server.connections() == 0);
}

#[test]
fn a_deadline_ends_a_write_to_a_slow_caller() {
    let limits = Limits { write_timeout: Duration::from_mins(10), ..Limits::default() };
    let (server, ended) = endless(limits, Some(SOON));
    let mut stream = connect(&server);
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    trickle(stream);
    assert!(ended.recv_timeout(PATIENCE).expect("it ended"));
    until("nothing is busy", || server.active_requests() == 0);
}

#[test]
fn a_caller_that_went_away_is_noticed_while_nothing_is_sent() {
    let (sender, noticed) = channel();
    let sender = std::sync::Mutex::new(sender);
    let handler: Handler = Arc::new(move |exchange| {
        until("the caller is gone", || exchange.caller_gone());
        sender.lock().expect("whole").send(()).unwrap_or_default();
    });
    let server = start(Limits::default(), handler);
    let mut stream = connect(&server);
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    drop(stream);
    noticed.recv_timeout(PATIENCE).expect("it was noticed");
}
