//! Streamed bodies are sent immediately; `rouille` buffers them instead.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use mimosapass_caller::server::{Limits, Server};

/// Wait after which a part counts as buffered.
const BUFFERED_WAIT: Duration = Duration::from_secs(1);
/// Time-out for events that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A body of two parts; the second waits for a message on the channel.
struct TwoParts {
    first: bool,
    release: Receiver<()>,
}

impl Read for TwoParts {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.first {
            self.first = false;
            buf[..5].copy_from_slice(b"first");
            return Ok(5);
        }
        match self.release.recv() {
            Ok(()) => {
                buf[..6].copy_from_slice(b"second");
                Ok(6)
            }
            Err(_) => Ok(0),
        }
    }
}

/// Returns whether the first part arrives while the second waits.
fn first_arrives_alone(addr: SocketAddr, release: SyncSender<()>, wait: Duration) -> bool {
    let mut stream = TcpStream::connect(addr).expect("connects");
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("sent");
    stream.set_read_timeout(Some(wait)).expect("set");
    let mut seen = Vec::new();
    let mut buffer = [0; 1024];
    let alone = loop {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => seen.extend_from_slice(&buffer[..read]),
            _ => break false,
        }
        if seen.windows(5).any(|w| w == b"first") {
            break true;
        }
    };
    release.send(()).expect("received");
    // The body ends when the channel is closed.
    drop(release);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream.read_to_end(&mut seen).expect("the rest");
    assert!(seen.windows(6).any(|w| w == b"second"));
    alone
}

fn local() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

#[test]
fn rouille_buffers_a_streamed_body() {
    let (release, waiting) = sync_channel(1);
    let waiting = std::sync::Mutex::new(Some(waiting));
    let server = rouille::Server::new(local(), move |_| {
        let release = waiting.lock().expect("whole").take().expect("one request");
        let body = rouille::ResponseBody::from_reader(TwoParts { first: true, release });
        rouille::Response { status_code: 200, headers: Vec::new(), data: body, upgrade: None }
    })
    .expect("the server starts");
    let addr = server.server_addr();
    std::thread::spawn(move || server.run());
    assert!(
        !first_arrives_alone(addr, release, BUFFERED_WAIT),
        "rouille streams immediately now and can replace the server of this crate"
    );
}

#[test]
fn the_server_sends_a_streamed_body_immediately() {
    let (release, waiting) = sync_channel(1);
    let waiting = std::sync::Mutex::new(waiting);
    let server = Server::start(
        local(),
        Limits::default(),
        Arc::new(move |exchange| {
            exchange.begin(200, &[]).expect("begun");
            exchange.send(b"first").expect("sent");
            waiting.lock().expect("whole").recv().expect("released");
            exchange.send(b"second").expect("sent");
            exchange.finish();
        }),
    )
    .expect("the server starts");
    assert!(first_arrives_alone(server.addr(), release, TEST_TIMEOUT));
}
