//! The HTTP server: accepts connections and bounds every wait for a caller.

use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_core::error::{Failure, Kind};

use crate::bell::{Bell, Woken};
use crate::body::{self, Body, Memory, Timed, cut, slow};
use crate::error_response;
use crate::exchange::Exchange;
use crate::head::{Head, Parsed, parse};
use crate::paced::Paced;

/// Stack of a connection's thread, in bytes.
const STACK: usize = 256 * 1024;
/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes read at once.
const READ: usize = 16 * 1024;
/// Connections over the limit that are told so; any more are closed at once.
const TOLD: usize = 64;
/// Time to tell a caller of a refusal before its connection is closed.
const FAREWELL: Duration = Duration::from_secs(2);

/// Bounds of the server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes in a request head.
    pub head_bytes: usize,
    /// Most bytes in a body.
    pub body_bytes: usize,
    /// Most bytes in the bodies of all requests together.
    pub bodies_bytes: usize,
    /// Most connections at once.
    pub connections: usize,
    /// Time for a whole head, from its first byte.
    pub head_timeout: Duration,
    /// Time for a whole body.
    pub body_timeout: Duration,
    /// Time that a connection may stay silent between requests.
    pub idle_timeout: Duration,
    /// Time within which a caller must take one piece of an answer.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            body_bytes: 16 * 1024 * 1024,
            bodies_bytes: 1024 * 1024 * 1024,
            connections: 4096,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_mins(1),
            idle_timeout: Duration::from_mins(1),
            write_timeout: Duration::from_secs(20),
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
    keep_alive_disabled: AtomicBool,
    closing: Bell,
    ending: Bell,
    linger: OnceLock<Instant>,
    accepting: AtomicBool,
    open: AtomicUsize,
    busy: AtomicUsize,
    memory: Memory,
}

impl Server {
    /// Starts to serve on `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(addr: SocketAddr, limits: Limits, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            addr: listener.local_addr()?,
            limits,
            handler,
            keep_alive_disabled: AtomicBool::new(false),
            closing: Bell::new()?,
            ending: Bell::new()?,
            linger: OnceLock::new(),
            accepting: AtomicBool::new(true),
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            memory: Memory::new(limits.bodies_bytes),
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
    pub fn active_requests(&self) -> usize {
        self.shared.busy.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Answers with `connection: close` from now on, so that callers move.
    pub fn disable_keep_alive(&self) {
        self.shared.keep_alive_disabled.store(true, Ordering::SeqCst);
    }

    /// Closes what stays idle for `linger`, then stops to accept connections.
    ///
    /// Requests that come on kept or new connections meanwhile are served.
    pub fn stop(&self, linger: Duration) {
        self.disable_keep_alive();
        self.shared.linger.get_or_init(|| Instant::now() + linger);
        self.shared.closing.ring();
    }

    /// Ends requests that are not whole yet; they are answered as not run.
    pub fn abort_incomplete(&self) {
        self.stop(Duration::ZERO);
        self.shared.ending.ring();
    }

    /// Returns whether it has stopped and no connection is left.
    pub fn drained(&self) -> bool {
        !self.shared.accepting.load(Ordering::SeqCst) && self.connections() == 0
    }
}

impl Shared {
    /// Waits for a socket; `false` when `idle` has passed or the linger is over.
    fn wait(&self, socket: &impl AsFd, idle: Option<Instant>) -> io::Result<bool> {
        loop {
            let woken = match self.linger.get() {
                None => self.closing.wait(socket, idle)?,
                Some(end) => {
                    let end = idle.map_or(*end, |idle| idle.min(*end));
                    self.ending.wait(socket, Some(end))?
                }
            };
            match woken {
                Woken::Ready => return Ok(true),
                // From now on it waits for the linger alone.
                Woken::Rung if !self.ending.rung() => {}
                Woken::Rung | Woken::Late => return Ok(false),
            }
        }
    }
}

/// Accepts until the linger is over and nobody waits any more.
fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while shared.wait(listener, None).unwrap_or(true) {
        match listener.accept() {
            Ok((stream, _)) => admit(stream, shared),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => {
                log::warn!("caller: accept failed: {e}.");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
    shared.accepting.store(false, Ordering::SeqCst);
}

fn admit(stream: TcpStream, shared: &Arc<Shared>) {
    let open = shared.open.fetch_add(1, Ordering::SeqCst);
    let limit = shared.limits.connections;
    if open >= limit + TOLD {
        shared.open.fetch_sub(1, Ordering::SeqCst);
        log::warn!("caller: far too many connections, one was closed.");
        return;
    }
    let serving = Arc::clone(shared);
    let work = move || {
        if open < limit {
            serve(&stream, &serving);
        } else {
            let text = format!("all {limit} connections of this instance are in use");
            refuse(&stream, &serving, &Failure::new(Kind::QueueFull, text));
        }
        serving.open.fetch_sub(1, Ordering::SeqCst);
    };
    let spawned = thread::Builder::new().name("caller".to_owned()).stack_size(STACK).spawn(work);
    if let Err(e) = spawned {
        shared.open.fetch_sub(1, Ordering::SeqCst);
        log::error!("caller: no thread for a connection: {e}.");
    }
}

fn serve(stream: &TcpStream, shared: &Shared) {
    if stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true)).is_err() {
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
                refuse(stream, shared, &failure);
                return;
            }
        }
    }
}

fn handle(head: Head, body: Body, stream: &TcpStream, shared: &Shared) -> bool {
    let close = head.wants_close() || shared.keep_alive_disabled.load(Ordering::SeqCst);
    let Body { bytes, reserved } = body;
    let paced = Paced { stream, time: shared.limits.write_timeout, end: None };
    let mut exchange = Exchange::new(head, bytes, paced, close);
    (shared.handler)(&mut exchange);
    if exchange.unanswered() {
        let failure = Failure::new(Kind::Internal, "the request was not answered");
        error_response::send(&mut exchange, &failure, None).unwrap_or_default();
    }
    let reusable = exchange.reusable();
    drop(exchange);
    drop(reserved);
    shared.busy.fetch_sub(1, Ordering::SeqCst);
    reusable
}

/// Answers a request that was not read whole, and closes.
///
/// What the caller still sends is read and dropped for a while: closing before
/// that would reset the connection and lose the answer on its way.
fn refuse(stream: &TcpStream, shared: &Shared, failure: &Failure) {
    let paced = Paced { stream, time: FAREWELL, end: None };
    let mut exchange = Exchange::new(Head::default(), Bytes::new(), paced, true);
    let told = error_response::send(&mut exchange, failure, None);
    if told.and_then(|()| stream.shutdown(Shutdown::Write)).is_ok() {
        Timed { stream, end: Instant::now() + FAREWELL, ending: &shared.ending }.drain();
    }
}

/// Reads one request; `None` means that the caller closed or stayed idle.
///
/// The request counts as busy from its first byte, so that a stop waits for it.
fn read_request(
    stream: &TcpStream,
    kept: &mut Vec<u8>,
    shared: &Shared,
) -> Result<Option<(Head, Body)>, Failure> {
    if kept.is_empty() && !wait_first(stream, kept, shared) {
        return Ok(None);
    }
    shared.busy.fetch_add(1, Ordering::SeqCst);
    let limits = &shared.limits;
    let read = read_head(stream, kept, shared).and_then(|head| {
        let body = body::read(&head, stream, kept, limits, &shared.memory, &shared.ending)?;
        Ok((body, head))
    });
    match read {
        Ok((body, head)) => Ok(Some((head, body))),
        Err(failure) => {
            shared.busy.fetch_sub(1, Ordering::SeqCst);
            Err(failure)
        }
    }
}

fn wait_first(stream: &TcpStream, kept: &mut Vec<u8>, shared: &Shared) -> bool {
    let idle = Instant::now() + shared.limits.idle_timeout;
    let comes = shared.wait(stream, Some(idle)).unwrap_or(false);
    comes && matches!(read_some(stream, kept), Ok(read) if read > 0)
}

fn read_some(mut source: impl Read, kept: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0; READ];
    let read = source.read(&mut buffer)?;
    kept.extend_from_slice(&buffer[..read]);
    Ok(read)
}

fn read_head(stream: &TcpStream, kept: &mut Vec<u8>, shared: &Shared) -> Result<Head, Failure> {
    let limits = &shared.limits;
    let end = Instant::now() + limits.head_timeout;
    loop {
        match parse(kept) {
            Parsed::Complete(head, length) => {
                kept.drain(..length);
                return Ok(head);
            }
            Parsed::Malformed => {
                return Err(Failure::new(Kind::BadRequest, "this is no HTTP request"));
            }
            Parsed::TooManyHeaders => return Err(Failure::new(Kind::TooLarge, "too many headers")),
            Parsed::Partial if kept.len() > limits.head_bytes => {
                let text = format!("the head is over {} bytes", limits.head_bytes);
                return Err(Failure::new(Kind::TooLarge, text));
            }
            Parsed::Partial => {}
        }
        let timed = Timed { stream, end, ending: &shared.ending };
        read_some(timed, kept).map_err(|e| slow(&e)).and_then(whole)?;
    }
}

fn whole(read: usize) -> Result<(), Failure> {
    if read == 0 { Err(cut()) } else { Ok(()) }
}
