//! Targets that answer within an upload and break off, and answers whose status is none.

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
use socket2::SockRef;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Size of an upload, more than the kernel holds on its way.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of an upload that a target reads before it answers.
const READ_BYTES: usize = 32 * 1024;
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-server-seal: s\r\n\r\npart of a body";
const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart of a body";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";

/// How a target ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Reset,
    /// With bytes of the upload that it has not read, which makes a reset of it.
    Close,
}

/// Starts a target that answers each request within its upload, and ends its connection `pause`
/// after that.
fn start(answer: &'static str, pause: Duration, end: End) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            stream.read_exact(&mut vec![0; READ_BYTES]).expect("an upload");
            stream.write_all(answer.as_bytes()).expect("sent");
            thread::sleep(pause);
            if matches!(end, End::Reset) {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
            }
        }
    });
    addr
}

/// Writes an upload until that fails.
fn upload(connection: &mut Connection) {
    let head = format!("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n");
    let request = [head.into_bytes(), vec![b'a'; UPLOAD_BYTES]].concat();
    let sent = connection.send(&request, Instant::now() + TIMEOUT);
    assert!(sent.is_err(), "the target breaks off");
}

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

/// Guards against a part of a body that is taken for the whole one: a failed write takes the
/// error of the socket, and the next read finds an ordinary end.
#[rstest]
fn body_is_not_whole_after_a_failed_write(
    #[values(UNFRAMED, WITH_LENGTH, CHUNKED)] answer: &'static str,
    #[values(End::Reset, End::Close)] end: End,
    #[values(0, 20, 200)] pause_ms: u64,
    #[values(false, true)] reads_first: bool,
) {
    let addr = start(answer, Duration::from_millis(pause_ms), end);
    let mut connection = Connection::open(addr, TIMEOUT).expect("connected");
    if reads_first {
        // The head and the body have arrived before the write fails.
        connection.write(&vec![b'a'; READ_BYTES]).expect("sent");
        connection.wait(None::<&TcpStream>, Instant::now() + TIMEOUT).expect("polled");
        connection.fill();
    }
    upload(&mut connection);
    assert_eq!(read(&mut connection), Err(ReadError::Truncated));
}

/// As above, for a service that is called by `mimosapass serve`.
#[rstest]
fn call_that_breaks_off_within_its_upload_has_no_answer(
    #[values(UNFRAMED, WITH_LENGTH, CHUNKED)] answer: &'static str,
    #[values(End::Reset, End::Close)] end: End,
    #[values(0, 20, 200)] pause_ms: u64,
) {
    let addr = start(answer, Duration::from_millis(pause_ms), end);
    let result = send(addr, vec![b'a'; UPLOAD_BYTES]);
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "{result:?}");
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
    let result = read(&mut connection);
    assert!(matches!(result, Err(ReadError::Malformed(_))), "{result:?}");
    let result = send(addr, b"x".to_vec());
    assert!(matches!(result, Err(CallError::OutcomeUnknown(_))), "serve: {result:?}");
}
