//! Contract of calls to plain services: whole answers, true faults, no resends.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use mimosapass_standin::service::{Faults, Ran, Service};
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

fn ask(service: &Service, remaining: Duration) -> Result<Answer, CallError> {
    call(&agent(0), &booking(service.addr(), "POST", remaining))
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

/// A target that answers `answered` requests on each connection, then reads
/// one more and closes without an answer. It counts what it read.
fn closing(answered: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(LOCAL).expect("bound");
    let addr = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let counting = Arc::clone(&count);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            for number in 0..=answered {
                if read_request(&mut stream).is_none() {
                    break;
                }
                counting.fetch_add(1, Ordering::SeqCst);
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
#[case::kept_connection(16, 1, "POST")]
#[case::kept_for_long(16, 3, "POST")]
#[case::kept_idempotent(16, 1, "PUT")]
fn a_call_that_broke_is_not_resent_by_the_library(
    #[case] idle: usize,
    #[case] answered: usize,
    #[case] method: &str,
) {
    let (addr, count) = closing(answered);
    let agent = agent(idle);
    let asked = booking(addr, method, Duration::from_secs(10));
    for _ in 0..answered {
        assert_eq!(call(&agent, &asked).expect("an answer").status, 200);
    }
    let fault = call(&agent, &asked).expect_err("it closes");
    assert!(matches!(fault, CallError::OutcomeUnknown(_)), "{fault}");
    assert!(!fault.not_run());
    assert_eq!(count.load(Ordering::SeqCst), answered + 1);
}

#[test]
fn a_call_and_its_answer_pass_whole() {
    let service = Service::start(LOCAL).expect("starts");
    let answer = ask(&service, Duration::from_secs(10)).expect("an answer");
    let ran: Ran = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!((ran.method.as_str(), ran.path.as_str()), ("POST", "/vans/7?day=2"));
    assert_eq!((ran.bytes, ran.runs, answer.status), (7, 1, 200));
    assert!(answer.headers.iter().all(|(n, _)| n != "content-length" && n != "connection"));
}

#[rstest]
#[case::leaving(Faults { leaving: true, ..Faults::default() }, 0, true)]
#[case::busy(Faults { refuse: true, ..Faults::default() }, 0, true)]
#[case::lost_answer(Faults { lose_answer: true, ..Faults::default() }, 1, false)]
#[case::late(Faults { delay_ms: 2_000, ..Faults::default() }, 1, false)]
#[case::held(Faults { hold: true, ..Faults::default() }, 1, false)]
fn a_fault_tells_the_truth(#[case] faults: Faults, #[case] runs: usize, #[case] not_run: bool) {
    let service = Service::start(LOCAL).expect("starts");
    service.set(faults);
    let fault = ask(&service, Duration::from_millis(500)).expect_err("no answer");
    assert_eq!((service.runs().len(), fault.not_run()), (runs, not_run), "{fault}");
    service.set(Faults::default());
}

#[test]
fn nobody_there_is_a_true_not_run() {
    let listener = TcpListener::bind(LOCAL).expect("bound");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let asked = booking(addr, "POST", Duration::from_secs(5));
    assert!(matches!(call(&agent(0), &asked), Err(CallError::NotSent(_))));
}
