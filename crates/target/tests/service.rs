//! Calls to plain services: complete responses, correct errors, no resends.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use mimosapass_standin::service::{EchoedCall, Faults, Service};
use mimosapass_target::client::agent;
use mimosapass_target::error::CallError;
use mimosapass_target::service::{Answer, Call, call};
use rstest::rstest;

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn booking(addr: SocketAddr, method: &str, remaining: Duration) -> Call {
    Call {
        addr: addr.to_string(),
        method: method.to_owned(),
        path: "/vans/7?day=2".to_owned(),
        headers: vec![
            ("x-courier".to_owned(), "9".to_owned()),
            ("connection".to_owned(), "close".to_owned()),
        ],
        remaining,
        body: Bytes::from_static(b"one van"),
    }
}

fn send_call(service: &Service, remaining: Duration) -> Result<Answer, CallError> {
    call(&agent(0), &booking(service.addr(), "POST", remaining), |_| true)
}

/// Reads one request with its body; `None` when the connection was closed.
fn read_request(stream: &mut TcpStream) -> Option<usize> {
    let mut read = Vec::new();
    let mut buffer = [0; 1024];
    while !read.ends_with(b"one van") {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => read.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
    Some(read.len())
}

/// Starts a target that closes each connection without a last response.
///
/// It responds to `answered` requests on each connection, then reads one more
/// and closes. The returned counter counts all requests that it read.
fn start_closing_target(answered: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(LOCAL).expect("bound");
    let addr = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            for number in 0..=answered {
                if read_request(&mut stream).is_none() {
                    break;
                }
                counter.fetch_add(1, Ordering::SeqCst);
                if number < answered {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(answer).expect("answered");
                }
            }
        }
    });
    (addr, count)
}

#[rstest]
#[case::fresh_connection(0, 0, "POST")]
#[case::reused_connection(16, 1, "POST")]
#[case::connection_reused_often(16, 3, "POST")]
#[case::idempotent_method(16, 1, "PUT")]
fn a_failed_call_is_not_resent_by_the_library(
    #[case] idle: usize,
    #[case] answered: usize,
    #[case] method: &str,
) {
    let (addr, count) = start_closing_target(answered);
    let agent = agent(idle);
    let request = booking(addr, method, Duration::from_secs(10));
    for _ in 0..answered {
        assert_eq!(call(&agent, &request, |_| true).expect("an answer").status, 200);
    }
    let error = call(&agent, &request, |_| true).expect_err("it closes");
    assert!(matches!(error, CallError::OutcomeUnknown(_)), "{error}");
    assert!(!error.not_run());
    assert_eq!(count.load(Ordering::SeqCst), answered + 1);
}

#[test]
fn a_call_and_its_response_are_forwarded_completely() {
    let service = Service::start(LOCAL).expect("starts");
    let answer = send_call(&service, Duration::from_secs(10)).expect("an answer");
    let ran: EchoedCall = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!((ran.method.as_str(), ran.path.as_str()), ("POST", "/vans/7?day=2"));
    assert_eq!((ran.bytes, ran.runs, answer.status), (7, 1, 200));
    assert!(answer.headers.iter().all(|(n, _)| n != "content-length" && n != "connection"));
}

#[rstest]
#[case::leaving(Faults { leaving: true, ..Faults::default() }, 0, true)]
#[case::busy(Faults { refuse: true, ..Faults::default() }, 0, true)]
#[case::lost_answer(Faults { lose_answer: true, ..Faults::default() }, 1, false)]
#[case::delayed(Faults { delay_ms: 2_000, ..Faults::default() }, 1, false)]
#[case::held(Faults { hold: true, ..Faults::default() }, 1, false)]
fn an_error_states_correctly_whether_the_call_ran(
    #[case] faults: Faults,
    #[case] runs: usize,
    #[case] not_run: bool,
) {
    let service = Service::start(LOCAL).expect("starts");
    service.set(faults);
    let error = send_call(&service, Duration::from_millis(500)).expect_err("no answer");
    assert_eq!((service.runs().len(), error.not_run()), (runs, not_run), "{error}");
    service.set(Faults::default());
}

#[test]
fn a_call_to_a_closed_port_is_not_sent() {
    let listener = TcpListener::bind(LOCAL).expect("bound");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let request = booking(addr, "POST", Duration::from_secs(5));
    assert!(matches!(call(&agent(0), &request, |_| true), Err(CallError::NotSent(_))));
}
