//! Status pages: requests without end are closed, and delay no other.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_operator::pages::{Sources, start};
use prometheus::Registry;
use rstest::rstest;

/// Time within which a request without end is closed.
const MAX_TIME: Duration = Duration::from_secs(10);
/// More than the largest request, its drain, and what the kernel holds.
const MAX_SENT_BYTES: usize = 48 * 1024 * 1024;

fn serve() -> SocketAddr {
    let sources = Sources {
        ready: Arc::new(|| Ok(())),
        status: Arc::new(|| "{}".to_owned()),
        explain: Arc::new(|_| None),
        registry: Registry::new(),
    };
    start(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0), sources).expect("pages start")
}

fn is_ready(addr: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(addr).expect("connected");
    stream.set_read_timeout(Some(Duration::from_secs(1))).expect("set");
    stream
        .write_all(b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .expect("sent");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200"
}

#[rstest]
#[case::path("GET /", "a")]
#[case::header("GET /readyz HTTP/1.1\r\na: ", "a")]
#[case::headers("GET /readyz HTTP/1.1\r\n", "a: b\r\n")]
#[case::body("GET /readyz HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n", "a")]
fn request_without_end_is_closed(#[case] start_of_request: &str, #[case] repeated: &str) {
    let addr = serve();
    let mut stream = TcpStream::connect(addr).expect("connected");
    let (begun, mut sent) = (Instant::now(), 0);
    let repeated = repeated.repeat(4096);
    let mut part = start_of_request.as_bytes();
    while stream.write_all(part).is_ok() {
        sent += part.len();
        part = repeated.as_bytes();
        assert!(sent < MAX_SENT_BYTES, "{sent} bytes were read");
        assert!(begun.elapsed() < MAX_TIME, "the connection stays open");
    }
}

/// Connections that send slowly or nothing do not keep the balancer from asking.
#[test]
fn slow_requests_delay_no_other() {
    let addr = serve();
    let open: Vec<TcpStream> = (0..32)
        .map(|_| {
            let mut stream = TcpStream::connect(addr).expect("connected");
            stream.write_all(b"GET /readyz HTTP/1.1\r\na: ").expect("sent");
            stream
        })
        .collect();
    assert!(is_ready(addr));
    drop(open);
}
