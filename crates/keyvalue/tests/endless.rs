//! Bounds on what is read from the key-value service and the list of members.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_keyvalue::kv::{KvClient, KvError};
use mimosapass_keyvalue::members::MembersClient;
use mimosapass_standin::endless::EndlessServer;
use rstest::rstest;

/// Time after which a call that does not end fails its test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);
/// The longest call, with a margin: the timeout is 1 s.
const MAX_CALL: Duration = Duration::from_millis(2_500);
/// Time within which the connection is closed after the call.
const MAX_CLOSE: Duration = Duration::from_secs(2);
/// More than the largest response, with what the kernel holds.
const MAX_SENT_BYTES: usize = 24 * 1024 * 1024;

type Call = fn(SocketAddr) -> Result<(), KvError>;

const CALLS: [(&str, Call); 7] = [
    ("get", |addr| kv(addr).get("a").map(drop)),
    ("watch", |addr| kv(addr).watch("a", 1, Duration::from_millis(100)).map(drop)),
    ("put", |addr| kv(addr).put("a", "1", 1, None).map(drop)),
    ("delete", |addr| kv(addr).delete("a", 1)),
    ("grant", |addr| kv(addr).grant(Duration::from_secs(1)).map(drop)),
    ("renew", |addr| kv(addr).renew(1)),
    ("members", |addr| MembersClient::new(&addr.to_string()).read().map(drop)),
];

fn kv(addr: SocketAddr) -> KvClient {
    KvClient::new(&addr.to_string())
}

const FAST: (usize, Duration) = (4096, Duration::ZERO);
const SLOW: (usize, Duration) = (1, Duration::from_millis(20));

#[rstest]
#[case::head("HTTP/1.1 200 OK\r\na: ", "a")]
#[case::headers("HTTP/1.1 200 OK\r\n", "a: b\r\n")]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::body("HTTP/1.1 200 OK\r\n\r\n", " ")]
#[case::numbers("HTTP/1.1 200 OK\r\n\r\n[", "0,")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\n \r\n")]
#[case::chunk_extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "a")]
#[case::conflict("HTTP/1.1 409 No\r\n\r\n", " ")]
#[case::refusal("HTTP/1.1 503 No\r\n\r\n", "a")]
fn response_without_end_fails_in_time(
    #[case] start: &str,
    #[case] repeated: &str,
    #[values(FAST, SLOW)] speed: (usize, Duration),
) {
    let (times, pause) = speed;
    let repeated = repeated.repeat(times);
    thread::scope(|scope| {
        for (name, call) in CALLS {
            let server = EndlessServer::start(start.as_bytes(), repeated.as_bytes(), pause);
            scope.spawn(move || check(name, call, &server));
        }
    });
}

fn check(name: &str, call: Call, server: &EndlessServer) {
    let (begun, addr) = (Instant::now(), server.addr);
    let (done, result) = std::sync::mpsc::channel();
    thread::spawn(move || done.send((call(addr), begun.elapsed())));
    let (result, took) = result.recv_timeout(WAIT_TIMEOUT).expect("the call ends");
    // The responses to these have no body that is read.
    let ends = matches!(name, "delete" | "renew");
    assert!(result.is_err() || ends, "{name}: {result:?}");
    assert!(took < MAX_CALL, "{name}: {took:?}");
    let end = Instant::now() + MAX_CLOSE;
    while server.seen().disconnected_at.is_none() {
        assert!(Instant::now() < end, "{name}: the connection stays open");
        thread::sleep(Duration::from_millis(5));
    }
    let seen = server.seen();
    assert!(seen.sent < MAX_SENT_BYTES, "{name}: {seen:?}");
}
