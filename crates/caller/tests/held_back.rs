//! Why `rouille` does not serve callers: it holds back a streamed body.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use mimosapass_caller::server::{Limits, Server};

/// Wait after which a piece counts as held back.
const HELD: Duration = Duration::from_secs(1);
/// Longest wait for something that has to happen.
const PATIENCE: Duration = Duration::from_secs(30);

/// A body of two pieces; the second waits for the caller's word.
struct Pieces {
    first: bool,
    word: Receiver<()>,
}

impl Read for Pieces {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.first {
            self.first = false;
            buf[..5].copy_from_slice(b"first");
            return Ok(5);
        }
        match self.word.recv() {
            Ok(()) => {
                buf[..6].copy_from_slice(b"second");
                Ok(6)
            }
            Err(_) => Ok(0),
        }
    }
}

/// Returns whether the first piece comes while the second waits.
fn first_comes_alone(addr: SocketAddr, word: SyncSender<()>, wait: Duration) -> bool {
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
    word.send(()).expect("wanted");
    // The body ends when nobody can give another word.
    drop(word);
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream.read_to_end(&mut seen).expect("the rest");
    assert!(seen.windows(6).any(|w| w == b"second"));
    alone
}

fn local() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

#[test]
fn rouille_holds_back_a_streamed_body() {
    let (word, waiting) = sync_channel(1);
    let waiting = std::sync::Mutex::new(Some(waiting));
    let server = rouille::Server::new(local(), move |_| {
        let word = waiting.lock().expect("whole").take().expect("one request");
        let body = rouille::ResponseBody::from_reader(Pieces { first: true, word });
        rouille::Response { status_code: 200, headers: Vec::new(), data: body, upgrade: None }
    })
    .expect("the server starts");
    let addr = server.server_addr();
    std::thread::spawn(move || server.run());
    assert!(
        !first_comes_alone(addr, word, HELD),
        "it streams now: use it for callers as the style asks"
    );
}

#[test]
fn the_server_for_callers_does_not() {
    let (word, waiting) = sync_channel(1);
    let waiting = std::sync::Mutex::new(waiting);
    let server = Server::start(
        local(),
        Limits::default(),
        Arc::new(move |exchange| {
            exchange.begin(200, &[]).expect("begun");
            exchange.send(b"first").expect("sent");
            waiting.lock().expect("whole").recv().expect("a word");
            exchange.send(b"second").expect("sent");
            exchange.finish();
        }),
    )
    .expect("the server starts");
    assert!(first_comes_alone(server.addr(), word, PATIENCE));
}
