//! Answers whose status is none.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_target::client::agent;
use mimosapass_target::error::CallError;
use mimosapass_target::http::{BodyPart, Connection, Framing, ReadError};
use mimosapass_target::service::{Answer, Call, call};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a response to its end.
fn read(connection: &mut Connection) -> Result<Vec<u8>, ReadError> {
    let (mut framing, mut body) = (None::<Framing>, Vec::new());
    let end = Instant::now() + TIMEOUT;
    loop {
        let part = match &mut framing {
            None => match connection.parse_head("POST")? {
                Some(head) => {
                    framing = Some(head.framing);
                    continue;
                }
                None => BodyPart::NeedMore,
            },
            Some(framing) => connection.next_part(framing)?,
        };
        match part {
            BodyPart::Data(data) => body.extend(data),
            BodyPart::End => return Ok(body),
            BodyPart::NeedMore => {
                assert!(Instant::now() < end, "the reader does not end in time");
                connection.wait(None::<&TcpStream>, end).expect("polled");
                connection.fill();
            }
        }
    }
}

fn send(addr: SocketAddr, body: Vec<u8>) -> Result<Answer, CallError> {
    let request = Call {
        addr: addr.to_string(),
        method: "POST".to_owned(),
        path: "/a".to_owned(),
        headers: Vec::new(),
        remaining: TIMEOUT,
        body: Bytes::from(body),
    };
    call(&agent(0), &request, |_| true)
}

/// Starts a target that answers each request with this text, and closes.
fn start_text(text: String) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buffer = [0; 4096];
            let read = stream.read(&mut buffer).unwrap_or_default();
            assert!(read > 0, "a request");
            stream.write_all(text.as_bytes()).expect("sent");
        }
    });
    addr
}

/// Guards against an answer with a status that is none, and against one behind it.
#[rstest]
fn answer_whose_status_is_none_is_no_answer(
    #[values(
        "000", "0", "099", "20", "2000", "600", "700", "999", "abc", "+200", "-200", "", "2e2"
    )]
    status: &str,
    #[values("content-length: 4\r\n\r\nbody", "\r\nbody", "\r\n")] rest: &str,
    #[values(false, true)] followed: bool,
) {
    let second = if followed { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nyes" } else { "" };
    let text = format!("HTTP/1.1 {status} Odd\r\nx-server-seal: s\r\n{rest}{second}");
    let addr = start_text(text);
    let mut connection = Connection::open(addr, TIMEOUT).expect("connected");
    let end = Instant::now() + TIMEOUT;
    connection.send(b"POST /a HTTP/1.1\r\nhost: x\r\n\r\n", end).expect("sent");
    assert_eq!(read(&mut connection), Err(ReadError::Malformed));
    let result = send(addr, b"x".to_vec());
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "serve: {result:?}");
}
