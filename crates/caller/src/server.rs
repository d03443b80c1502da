//! The HTTP server: accepts connections and limits every wait for a caller.

use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_core::error::{Failure, Kind};

use crate::body::{self, Body, MemoryBudget, TimedReader, read_failure, truncated};
use crate::error_response;
use crate::exchange::Exchange;
use crate::head::{Head, Parsed, parse};
use crate::shutdown_signal::{ShutdownSignal, WaitOutcome};
use crate::timed_writer::TimedWriter;

/// Stack size of a connection's thread.
const STACK_BYTES: usize = 256 * 1024;
/// Interval between checks whether a server that is stopping has no connection left.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the first request on a connection that was accepted after the linger time has to
/// begin: callers that have just connected send it at once.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The same once the server aborts: the process is about to end.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Size of the read buffer.
const READ_BYTES: usize = 16 * 1024;
/// Maximum number of connections over the limit that get an error response.
///
/// Any more are closed without one.
const MAX_REJECTED: usize = 64;
/// Time to send an error response, and again to drain the request after it.
const REJECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest part of a rejected request that is drained: twice the default limit on a body.
const MAX_DRAIN_BYTES: usize = 32 * 1024 * 1024;

/// Limits of the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a body.
    pub body_bytes: usize,
    /// Maximum size of the bodies of all requests together.
    pub bodies_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time to receive a complete head, from its first byte.
    pub head_timeout: Duration,
    /// Time to receive a complete body.
    pub body_timeout: Duration,
    /// Time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
    /// Time within which a caller must take one write of a response.
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

/// Handles one request; it must respond on the exchange.
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
    stop_signal: ShutdownSignal,
    abort_signal: ShutdownSignal,
    linger_end: OnceLock<Instant>,
    accepting: AtomicBool,
    connections: AtomicUsize,
    active_requests: AtomicUsize,
    body_memory: MemoryBudget,
}

impl Server {
    /// Starts serving on `addr`.
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
            stop_signal: ShutdownSignal::new()?,
            abort_signal: ShutdownSignal::new()?,
            linger_end: OnceLock::new(),
            accepting: AtomicBool::new(true),
            connections: AtomicUsize::new(0),
            active_requests: AtomicUsize::new(0),
            body_memory: MemoryBudget::new(limits.bodies_bytes),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || accept_connections(&listener, &accepting))?;
        Ok(Self { shared })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the number of requests that are being received or handled.
    pub fn active_requests(&self) -> usize {
        self.shared.active_requests.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Sends `connection: close` with every response from now on.
    ///
    /// Callers then connect to another instance for their next request.
    pub fn disable_keep_alive(&self) {
        self.shared.keep_alive_disabled.store(true, Ordering::SeqCst);
    }

    /// Closes idle connections after `linger`, and stops accepting new ones once none is open.
    ///
    /// Until then, requests on existing and new connections are handled: a closed port would tell
    /// a caller nothing.
    pub fn stop(&self, linger: Duration) {
        self.disable_keep_alive();
        self.shared.linger_end.get_or_init(|| Instant::now() + linger);
        self.shared.stop_signal.raise();
    }

    /// Stops, and fails the requests that are not received completely.
    ///
    /// Their error responses state that they were not run.
    pub fn abort_incomplete(&self) {
        self.stop(Duration::ZERO);
        self.shared.abort_signal.raise();
    }

    /// Returns whether the server has stopped and no connection is open.
    pub fn drained(&self) -> bool {
        !self.shared.accepting.load(Ordering::SeqCst) && self.connections() == 0
    }
}

impl Shared {
    /// Returns whether the linger time of a stop has passed and no connection is open.
    fn is_over(&self) -> bool {
        let passed = self.linger_end.get().is_some_and(|end| Instant::now() >= *end);
        let passed = passed || self.abort_signal.is_raised();
        passed && self.connections.load(Ordering::SeqCst) == 0
    }

    /// Returns whether a connection can be accepted; `false` to look at the stop again.
    fn wait_acceptable(&self, listener: &TcpListener) -> io::Result<bool> {
        if self.linger_end.get().is_none() {
            return Ok(self.stop_signal.wait(listener, None)? == WaitOutcome::Ready);
        }
        let end = Some(Instant::now() + STOP_POLL_INTERVAL);
        Ok(ShutdownSignal::wait_alone(listener, end)? == WaitOutcome::Ready)
    }

    /// Returns whether `socket` becomes readable before the wait ends.
    ///
    /// The wait ends at `idle_end` or at the end of the linger time.
    ///
    /// Before `least_end` a stop does not end it; an abort leaves [`LAST_REQUEST_TIMEOUT`] of that.
    fn wait_readable(
        &self,
        socket: &impl AsFd,
        idle_end: Instant,
        least_end: Instant,
    ) -> io::Result<bool> {
        loop {
            let outcome = match self.linger_end.get() {
                Some(_) if self.abort_signal.is_raised() => {
                    let end = least_end.min(Instant::now() + LAST_REQUEST_TIMEOUT);
                    return Ok(ShutdownSignal::wait_alone(socket, Some(end))? == WaitOutcome::Ready);
                }
                None => self.stop_signal.wait(socket, Some(idle_end))?,
                Some(end) => {
                    self.abort_signal.wait(socket, Some(idle_end.min((*end).max(least_end))))?
                }
            };
            match outcome {
                WaitOutcome::Ready => return Ok(true),
                // The server is stopping: wait until the end of the linger time.
                WaitOutcome::Signalled if !self.abort_signal.is_raised() => {}
                WaitOutcome::Signalled | WaitOutcome::TimedOut => return Ok(false),
            }
        }
    }
}

/// Accepts connections until the server stops and, after the linger time, none is open.
fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.is_over() {
        match shared.wait_acceptable(listener) {
            Ok(true) => {}
            Ok(false) => continue,
            Err(e) => log::warn!("caller: waiting for connections failed: {e}."),
        }
        match listener.accept() {
            Ok((stream, _)) => start_connection(stream, shared),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => {
                log::warn!("caller: accept failed: {e}.");
                thread::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
    shared.accepting.store(false, Ordering::SeqCst);
}

fn start_connection(stream: TcpStream, shared: &Arc<Shared>) {
    let open = shared.connections.fetch_add(1, Ordering::SeqCst);
    let limit = shared.limits.connections;
    if open >= limit + MAX_REJECTED {
        shared.connections.fetch_sub(1, Ordering::SeqCst);
        log::warn!("caller: too many connections; one was closed without a response.");
        return;
    }
    let counted = OpenConnection(Arc::clone(shared));
    let work = move || {
        let serving = &*counted.0;
        if open < limit {
            serve_connection(&stream, serving);
        } else {
            let text = format!("all {limit} connections of this instance are in use");
            reject(&stream, serving, &Failure::new(Kind::QueueFull, text));
        }
    };
    let spawned =
        thread::Builder::new().name("caller".to_owned()).stack_size(STACK_BYTES).spawn(work);
    if let Err(e) = spawned {
        log::error!("caller: cannot start a thread for a connection: {e}.");
    }
}

/// An open connection; it no longer counts when this is dropped, also by a panic.
struct OpenConnection(Arc<Shared>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A request that is being handled; it no longer counts when this is dropped.
struct ActiveRequest<'a>(&'a Shared);

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

fn serve_connection(stream: &TcpStream, shared: &Shared) {
    if stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true)).is_err() {
        return;
    }
    let mut buffered = Vec::new();
    let mut least_end = Instant::now() + FIRST_REQUEST_TIMEOUT;
    loop {
        let read = read_request(stream, &mut buffered, shared, least_end);
        least_end = Instant::now();
        match read {
            Ok(Some((head, body))) => {
                let reusable = handle(head, body, stream, shared);
                if !reusable {
                    return;
                }
            }
            Ok(None) => return,
            Err(Rejection { head, failure }) => {
                log_rejection(stream, head.as_deref(), &failure);
                reject(stream, shared, &failure);
                return;
            }
        }
    }
}

/// A request that was not read completely, with its head if that was read.
struct Rejection {
    head: Option<Box<Head>>,
    failure: Failure,
}

impl From<Failure> for Rejection {
    fn from(failure: Failure) -> Self {
        Self { head: None, failure }
    }
}

fn log_rejection(stream: &TcpStream, head: Option<&Head>, failure: &Failure) {
    let (method, path) =
        head.map_or(("none", "none"), |head| (head.method.as_str(), head.path.as_str()));
    let caller = stream.peer_addr().map_or_else(|e| e.to_string(), |addr| addr.to_string());
    let status = failure.kind.row().status;
    log::info!(
        caller = caller.as_str(), status, method, path;
        "caller: rejected a request that was not read completely, {failure}."
    );
}

fn handle(head: Head, body: Body, stream: &TcpStream, shared: &Shared) -> bool {
    let active = ActiveRequest(shared);
    let close = head.wants_close() || shared.keep_alive_disabled.load(Ordering::SeqCst);
    let Body { bytes, reservation } = body;
    let writer = TimedWriter { stream, timeout: shared.limits.write_timeout, deadline: None };
    let mut exchange = Exchange::new(head, bytes, writer, close);
    let handled = catch_unwind(AssertUnwindSafe(|| (shared.handler)(&mut exchange)));
    if handled.is_err() {
        log::error!("caller: the handler of a request panicked.");
    }
    if exchange.unanswered() {
        let failure = Failure::new(Kind::Internal, "the request handler sent no response");
        error_response::send(&mut exchange, &failure, None).unwrap_or_default();
    }
    let reusable = exchange.reusable();
    drop(exchange);
    drop(reservation);
    drop(active);
    reusable
}

/// Sends an error response to a request that was not read completely, and closes.
///
/// What the caller still sends is read and discarded for a limited time: closing
/// earlier would reset the connection, and the response could be lost.
fn reject(stream: &TcpStream, shared: &Shared, failure: &Failure) {
    let writer = TimedWriter { stream, timeout: REJECT_TIMEOUT, deadline: None };
    let mut exchange = Exchange::new(Head::default(), Bytes::new(), writer, true);
    let sent = error_response::send(&mut exchange, failure, None);
    if sent.and_then(|()| stream.shutdown(Shutdown::Write)).is_ok() {
        TimedReader {
            stream,
            deadline: Instant::now() + REJECT_TIMEOUT,
            abort: &shared.abort_signal,
        }
        .drain(MAX_DRAIN_BYTES);
    }
}

/// Reads one request; `None` means that the caller closed or stayed idle.
///
/// The request counts as active from its first byte, so that a stop waits for it.
fn read_request(
    stream: &TcpStream,
    buffered: &mut Vec<u8>,
    shared: &Shared,
    least_end: Instant,
) -> Result<Option<(Head, Body)>, Rejection> {
    if buffered.is_empty() && !wait_for_request(stream, buffered, shared, least_end) {
        return Ok(None);
    }
    shared.active_requests.fetch_add(1, Ordering::SeqCst);
    let read = read_head_and_body(stream, buffered, shared);
    if read.is_err() {
        shared.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
    read.map(Some)
}

fn read_head_and_body(
    stream: &TcpStream,
    buffered: &mut Vec<u8>,
    shared: &Shared,
) -> Result<(Head, Body), Rejection> {
    let head = read_head(stream, buffered, shared)?;
    let (memory, abort) = (&shared.body_memory, &shared.abort_signal);
    match body::read(&head, stream, buffered, &shared.limits, memory, abort) {
        Ok(body) => Ok((head, body)),
        Err(failure) => Err(Rejection { head: Some(Box::new(head)), failure }),
    }
}

fn wait_for_request(
    stream: &TcpStream,
    buffered: &mut Vec<u8>,
    shared: &Shared,
    least_end: Instant,
) -> bool {
    let idle_end = Instant::now() + shared.limits.idle_timeout;
    let read = match shared.wait_readable(stream, idle_end, least_end) {
        Ok(true) => read_some(stream, buffered),
        Ok(false) => return false,
        Err(e) => Err(e),
    };
    if let Err(e) = &read {
        let reset = e.kind() == io::ErrorKind::ConnectionReset;
        let level = if reset { log::Level::Debug } else { log::Level::Info };
        log::log!(level, "caller: closing an idle connection, it cannot be read: {e}.");
    }
    matches!(read, Ok(read) if read > 0)
}

fn read_some(mut source: impl Read, buffered: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0; READ_BYTES];
    loop {
        match source.read(&mut buffer) {
            Ok(read) => {
                buffered.extend_from_slice(&buffer[..read]);
                return Ok(read);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

fn read_head(stream: &TcpStream, buffered: &mut Vec<u8>, shared: &Shared) -> Result<Head, Failure> {
    let limits = &shared.limits;
    let deadline = Instant::now() + limits.head_timeout;
    loop {
        match parse(buffered) {
            Parsed::Complete(head, length) => {
                buffered.drain(..length);
                return Ok(head);
            }
            Parsed::Malformed => {
                return Err(Failure::new(Kind::BadRequest, "this is not an HTTP request"));
            }
            Parsed::TooManyHeaders => return Err(Failure::new(Kind::TooLarge, "too many headers")),
            Parsed::Partial if buffered.len() > limits.head_bytes => {
                let text = format!("the head is over {} bytes", limits.head_bytes);
                return Err(Failure::new(Kind::TooLarge, text));
            }
            Parsed::Partial => {}
        }
        let reader = TimedReader { stream, deadline, abort: &shared.abort_signal };
        read_some(reader, buffered).map_err(|e| read_failure(&e)).and_then(require_data)?;
    }
}

fn require_data(read: usize) -> Result<(), Failure> {
    if read == 0 { Err(truncated()) } else { Ok(()) }
}
