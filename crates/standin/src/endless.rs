//! Stand-in for a server whose bytes have no end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What the server has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Accepted connections.
    pub connections: usize,
    /// Bytes that the kernel accepted for all connections.
    pub sent: usize,
    /// When the last connection was closed by its client.
    pub disconnected_at: Option<Instant>,
}

/// A server that answers each connection with bytes that have no end.
#[derive(Clone, Debug)]
pub struct EndlessServer {
    /// Address.
    pub addr: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl EndlessServer {
    /// Starts a server that sends `start`, and then `repeated` again and again with a pause
    /// after each, once something was received.
    ///
    /// # Panics
    ///
    /// Panics when no address can be bound.
    pub fn start(start: &[u8], repeated: &[u8], pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let addr = listener.local_addr().expect("an address");
        let server = Self { addr, seen: Arc::default() };
        let (accepting, start, repeated) = (server.clone(), start.to_vec(), repeated.to_vec());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.lock().connections += 1;
                let (serving, start, repeated) =
                    (accepting.clone(), start.clone(), repeated.clone());
                thread::spawn(move || serving.serve(stream, &start, &repeated, pause));
            }
        });
        server
    }

    /// Returns what the server has seen so far.
    pub fn seen(&self) -> Seen {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut stream: TcpStream, start: &[u8], repeated: &[u8], pause: Duration) {
        let mut request = [0; 4096];
        if !matches!(stream.read(&mut request), Ok(read) if read > 0) {
            return;
        }
        let mut part = start;
        while stream.write_all(part).is_ok() {
            self.lock().sent += part.len();
            part = repeated;
            thread::sleep(pause);
        }
        self.lock().disconnected_at = Some(Instant::now());
    }
}
