//! Server whose responses end in the middle.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use mimosapass_caller::head::{Framing, Parsed, parse};
use socket2::SockRef;

/// Time for the receiver to read what a reset would discard.
const RESET_DELAY: Duration = Duration::from_millis(2);

/// How a response ends after the part of it that is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// Nothing more is sent, and the connection stays open.
    Silence,
}

/// A server that sends the first bytes of a response to each request.
#[derive(Debug)]
pub struct CutServer {
    /// Its address.
    pub addr: SocketAddr,
    length: Arc<AtomicUsize>,
}

impl CutServer {
    /// Starts a server that cuts `response`; with `before` it sends that to the first request of
    /// each connection.
    ///
    /// # Panics
    ///
    /// Panics when no address can be bound.
    pub fn start(response: &str, end: End, before: Option<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let addr = listener.local_addr().expect("an address");
        let (response, length) = (response.to_owned(), Arc::new(AtomicUsize::new(0)));
        let prefix = Arc::clone(&length);
        thread::spawn(move || {
            let mut silent = Vec::new();
            for mut stream in listener.incoming().flatten() {
                let part = || &response.as_bytes()[..prefix.load(Ordering::SeqCst)];
                if answer(&mut stream, before.as_deref(), part).is_none() {
                    continue;
                }
                match end {
                    End::Close => {}
                    End::Reset => {
                        thread::sleep(RESET_DELAY);
                        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap_or_default();
                    }
                    End::Silence => silent.push(stream),
                }
            }
        });
        Self { addr, length }
    }

    /// Sets how many bytes of the response are sent.
    pub fn set_length(&self, bytes: usize) {
        self.length.store(bytes, Ordering::SeqCst);
    }
}

fn answer<'r>(
    stream: &mut TcpStream,
    before: Option<&str>,
    part: impl Fn() -> &'r [u8],
) -> Option<()> {
    if let Some(before) = before {
        read_request(stream)?;
        stream.write_all(before.as_bytes()).ok()?;
    }
    read_request(stream)?;
    stream.write_all(part()).ok()
}

/// Reads a whole request, since bytes that are left would reset the connection.
fn read_request(stream: &mut TcpStream) -> Option<()> {
    let (mut request, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        if let Parsed::Complete(head, length) = parse(&request) {
            match head.framing() {
                Some(Framing::Length(body)) if (request.len() - length) as u64 >= body => {
                    return Some(());
                }
                Some(Framing::Chunked) if request.ends_with(b"0\r\n\r\n") => return Some(()),
                _ => {}
            }
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        request.extend_from_slice(&buffer[..read]);
    }
}
