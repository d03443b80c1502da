//! The HTTP server: accepts connections and bounds every wait for a caller.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chunked_transfer::Decoder;
use mimosapass_core::error::{Failure, Kind};

use crate::answer;
use crate::exchange::Exchange;
use crate::head::{Framing, Head, Parsed, parse};

/// Stack of a connection's thread, in bytes.
const STACK: usize = 256 * 1024;
/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes read at once.
const READ: usize = 16 * 1024;

/// Bounds of the server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes in a request head.
    pub head_bytes: usize,
    /// Most bytes in a body.
    pub body_bytes: usize,
    /// Most connections at once.
    pub connections: usize,
    /// Time for a whole head, from its first byte.
    pub head_time: Duration,
    /// Time for a whole body.
    pub body_time: Duration,
    /// Time that a connection may stay silent between requests.
    pub idle_time: Duration,
    /// Time that one write to a caller may block.
    pub write_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            body_bytes: 16 * 1024 * 1024,
            connections: 4096,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_mins(1),
            idle_time: Duration::from_mins(1),
            write_time: Duration::from_secs(20),
        }
    }
}

/// Handles one request; it must answer on the exchange.
pub type Handler = Arc<dyn Fn(&mut Exchange<'_>) + Send + Sync>;

/// A running server.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server").field("addr", &self.shared.addr).finish_non_exhaustive()
    }
}

struct Shared {
    addr: SocketAddr,
    limits: Limits,
    handler: Handler,
    stopping: AtomicBool,
    open: AtomicUsize,
    busy: AtomicUsize,
}

impl Server {
    /// Starts to serve on `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(addr: SocketAddr, limits: Limits, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let shared = Arc::new(Shared {
            addr: listener.local_addr()?,
            limits,
            handler,
            stopping: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || accept(&listener, &accepting))?;
        Ok(Self { shared })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the number of requests that are being answered.
    pub fn busy(&self) -> usize {
        self.shared.busy.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Stops to accept connections; those that wait in the backlog are served.
    ///
    /// Kept connections are answered with `connection: close` from now on.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // A connection of our own wakes the accepting thread.
        drop(TcpStream::connect_timeout(&self.shared.addr, Duration::from_secs(1)));
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => admit(stream, shared),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) => {
                log::warn!("caller: accept failed: {e}.");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
        if shared.stopping.load(Ordering::SeqCst) && listener.set_nonblocking(true).is_err() {
            return;
        }
    }
}

fn admit(stream: TcpStream, shared: &Arc<Shared>) {
    if shared.open.fetch_add(1, Ordering::SeqCst) >= shared.limits.connections {
        shared.open.fetch_sub(1, Ordering::SeqCst);
        log::warn!("caller: too many connections, one was closed.");
        return;
    }
    let serving = Arc::clone(shared);
    let spawned =
        thread::Builder::new().name("caller".to_owned()).stack_size(STACK).spawn(move || {
            serve(&stream, &serving);
            serving.open.fetch_sub(1, Ordering::SeqCst);
        });
    if let Err(e) = spawned {
        shared.open.fetch_sub(1, Ordering::SeqCst);
        log::error!("caller: no thread for a connection: {e}.");
    }
}

fn serve(stream: &TcpStream, shared: &Shared) {
    let limits = &shared.limits;
    if stream.set_nodelay(true).is_err()
        || stream.set_write_timeout(Some(limits.write_time)).is_err()
    {
        return;
    }
    let mut kept = Vec::new();
    loop {
        match read_request(stream, &mut kept, shared) {
            Ok(Some((head, body))) => {
                let reusable = handle(head, body, stream, shared);
                if !reusable {
                    return;
                }
            }
            Ok(None) => return,
            Err(failure) => {
                refuse(stream, &failure);
                return;
            }
        }
    }
}

fn handle(head: Head, body: Bytes, stream: &TcpStream, shared: &Shared) -> bool {
    let close = head.closes() || shared.stopping.load(Ordering::SeqCst);
    let mut exchange = Exchange::new(head, body, stream, close);
    (shared.handler)(&mut exchange);
    if exchange.unanswered() {
        let failure = Failure::new(Kind::Internal, "the request was not answered");
        answer::fail(&mut exchange, &failure, None).unwrap_or_default();
    }
    let reusable = exchange.reusable();
    shared.busy.fetch_sub(1, Ordering::SeqCst);
    reusable
}

fn refuse(stream: &TcpStream, failure: &Failure) {
    let mut exchange = Exchange::new(Head::default(), Bytes::new(), stream, true);
    answer::fail(&mut exchange, failure, None).unwrap_or_default();
}

/// Reads one request; `None` means that the caller closed or stayed idle.
///
/// The request counts as busy from its first byte, so that a stop waits for it.
fn read_request(
    stream: &TcpStream,
    kept: &mut Vec<u8>,
    shared: &Shared,
) -> Result<Option<(Head, Bytes)>, Failure> {
    if kept.is_empty() && !wait_first(stream, kept, shared) {
        return Ok(None);
    }
    shared.busy.fetch_add(1, Ordering::SeqCst);
    let read = read_head(stream, kept, &shared.limits)
        .and_then(|head| Ok((read_body(&head, stream, kept, &shared.limits)?, head)));
    match read {
        Ok((body, head)) => Ok(Some((head, body))),
        Err(failure) => {
            shared.busy.fetch_sub(1, Ordering::SeqCst);
            Err(failure)
        }
    }
}

fn wait_first(stream: &TcpStream, kept: &mut Vec<u8>, shared: &Shared) -> bool {
    if stream.set_read_timeout(Some(shared.limits.idle_time)).is_err() {
        return false;
    }
    matches!(read_some(stream, kept), Ok(read) if read > 0)
}

fn read_some(mut stream: &TcpStream, kept: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0; READ];
    let read = stream.read(&mut buffer)?;
    kept.extend_from_slice(&buffer[..read]);
    Ok(read)
}

fn read_head(stream: &TcpStream, kept: &mut Vec<u8>, limits: &Limits) -> Result<Head, Failure> {
    let end = Instant::now() + limits.head_time;
    loop {
        match parse(kept) {
            Parsed::Whole(head, length) => {
                kept.drain(..length);
                return Ok(head);
            }
            Parsed::Bad => return Err(Failure::new(Kind::BadRequest, "this is no HTTP request")),
            Parsed::Partial if kept.len() > limits.head_bytes => {
                let text = format!("the head is over {} bytes", limits.head_bytes);
                return Err(Failure::new(Kind::TooLarge, text));
            }
            Parsed::Partial => {}
        }
        let mut timed = Timed { stream, end };
        timed.arm().and_then(|()| read_some(stream, kept)).map_err(|e| slow(&e)).and_then(whole)?;
    }
}

fn whole(read: usize) -> Result<(), Failure> {
    match read {
        0 => Err(Failure::new(Kind::CallerGone, "the caller closed in mid-request")),
        _ => Ok(()),
    }
}

fn slow(error: &io::Error) -> Failure {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
            Failure::new(Kind::SlowRequest, "the request came too slowly")
        }
        _ => Failure::new(Kind::CallerGone, error.to_string()),
    }
}

fn read_body(
    head: &Head,
    mut stream: &TcpStream,
    kept: &mut Vec<u8>,
    limits: &Limits,
) -> Result<Bytes, Failure> {
    let bad = || Failure::new(Kind::BadRequest, "the length of the body is not clear");
    let framing = head.framing().ok_or_else(bad)?;
    if matches!(framing, Framing::Length(n) if n > limits.body_bytes as u64) {
        return Err(over(limits));
    }
    let expects = head.header("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    if expects && kept.is_empty() {
        io::Write::write_all(&mut stream, b"HTTP/1.1 100 Continue\r\n\r\n")
            .map_err(|e| slow(&e))?;
    }
    let timed = Timed { stream, end: Instant::now() + limits.body_time };
    match framing {
        Framing::Length(length) => read_length(timed, kept, length as usize),
        Framing::Chunked => read_chunks(timed, kept, limits),
    }
}

fn over(limits: &Limits) -> Failure {
    Failure::new(Kind::TooLarge, format!("the body is over {} bytes", limits.body_bytes))
}

/// Reads a body of known length into memory of just that size.
fn read_length(mut timed: Timed<'_>, kept: &mut Vec<u8>, length: usize) -> Result<Bytes, Failure> {
    let ready = kept.len().min(length);
    let mut body = Vec::with_capacity(length);
    body.extend(kept.drain(..ready));
    let missing = (length - ready) as u64;
    let read = timed.by_ref().take(missing).read_to_end(&mut body).map_err(|e| slow(&e))?;
    if read as u64 != missing {
        return Err(Failure::new(Kind::CallerGone, "the caller closed in mid-request"));
    }
    Ok(Bytes::from(body))
}

fn read_chunks(timed: Timed<'_>, kept: &mut Vec<u8>, limits: &Limits) -> Result<Bytes, Failure> {
    let ready = std::mem::take(kept);
    // A chunked request is the last one on its connection as far as bytes go:
    // the decoder takes byte by byte and leaves what follows in the socket.
    let mut source = io::Cursor::new(ready).chain(timed);
    let mut body = Vec::new();
    let most = limits.body_bytes as u64 + 1;
    Decoder::new(&mut source).take(most).read_to_end(&mut body).map_err(|e| match e.kind() {
        io::ErrorKind::InvalidInput | io::ErrorKind::Other => {
            Failure::new(Kind::BadRequest, "the chunked body is broken")
        }
        _ => slow(&e),
    })?;
    if body.len() as u64 == most {
        return Err(over(limits));
    }
    let (cursor, _) = source.into_inner();
    let at = cursor.position() as usize;
    *kept = cursor.into_inner().split_off(at);
    Ok(Bytes::from(body))
}

/// A stream whose reads together end at one point in time.
struct Timed<'a> {
    stream: &'a TcpStream,
    end: Instant,
}

impl Timed<'_> {
    fn arm(&mut self) -> io::Result<()> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))
    }
}

impl Read for Timed<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.arm()?;
        self.stream.read(buf)
    }
}
