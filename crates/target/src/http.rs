//! One HTTP/1.1 connection to a target, read incrementally.
//!
//! `ureq` hides what the gateway has to distinguish: whether any byte of a
//! request was written, whether a connection holds bytes that belong to no
//! request, and whether a response ended by its framing or was truncated. So
//! this connection is built on `std` sockets and the decoder of
//! `mimosapass-http`. One thread waits for the target and the caller at the
//! same time.

use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::time::{Duration, Instant};

use mimosapass_http::decoder::Decoder;
pub use mimosapass_http::decoder::{BodyPart, ReadError};
pub use mimosapass_http::defect::Defect;
pub use mimosapass_http::response::{Framing, Header, ResponseHead};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;

/// Size of the read buffer.
const READ_BYTES: usize = 16 * 1024;
/// Time after which the kernel closes a connection with unacknowledged bytes.
///
/// Without it, a network partition would not be detected.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// `MSG_PEEK | MSG_DONTWAIT` of Linux.
const PEEK_NOWAIT: i32 = 0x02 | 0x40;

/// Why a wait ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitOutcome {
    /// The target sent data, or its connection broke.
    Target,
    /// The caller sent data, or disconnected.
    Caller,
    /// The deadline passed.
    TimedOut,
}

/// A connection to a target.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    addr: SocketAddr,
    decoder: Decoder,
    /// When it became idle, and for how long the target keeps it open.
    idle: Option<(Instant, Duration)>,
}

impl Connection {
    /// Connects to a target within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is not established in time.
    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, timeout.max(Duration::from_millis(1)))?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        stream.set_nonblocking(true)?;
        Ok(Self { stream, addr, decoder: Decoder::default(), idle: None })
    }

    /// Returns the address of the target.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Marks the connection as idle; the target keeps it open for `keep_alive`.
    pub fn mark_idle(&mut self, keep_alive: Duration, now: Instant) {
        self.idle = Some((now, keep_alive));
    }

    /// Returns whether the connection can be used for another request.
    ///
    /// Unrequested bytes belong to no request, so a connection that has received
    /// any is not reused.
    pub fn reusable(&self, now: Instant) -> bool {
        let fresh = self
            .idle
            .is_none_or(|(since, keep_alive)| now.saturating_duration_since(since) < keep_alive);
        let mut byte = [MaybeUninit::uninit()];
        let no_data = || {
            let peeked = SockRef::from(&self.stream).recv_with_flags(&mut byte, PEEK_NOWAIT);
            matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
        };
        fresh && self.decoder.is_idle() && { no_data }()
    }

    /// Begins a request on an idle connection.
    pub fn begin(&mut self) {
        self.idle = None;
    }

    /// Writes a complete request before `end`.
    ///
    /// # Errors
    ///
    /// The error is the number of bytes that the kernel accepted.
    pub fn send(&mut self, bytes: &[u8], end: Instant) -> Result<(), usize> {
        self.begin();
        let mut written = 0;
        while written < bytes.len() {
            match self.write(&bytes[written..]) {
                Ok(0) if Instant::now() < end => {
                    if let Err(e) = self.wait_writable(end) {
                        log::debug!(
                            "target: cannot write the rest of a request to {}: {e}.",
                            self.addr
                        );
                        return Err(written);
                    }
                }
                Ok(0) | Err(_) => return Err(written),
                Ok(count) => written += count,
            }
        }
        Ok(())
    }

    /// Writes what the kernel takes without waiting; returns the number of bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.try_write(bytes);
        if written.is_err() {
            // The kernel tells of a reset once; the next read would find an ordinary end.
            self.decoder.break_off();
        }
        written
    }

    fn try_write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match self.stream.write(bytes) {
                Ok(0) if !bytes.is_empty() => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => return Ok(written),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(0),
                Err(e) => return Err(e),
            }
        }
    }

    fn wait_writable(&self, end: Instant) -> io::Result<()> {
        let mut fds = [PollFd::new(&self.stream, PollFlags::OUT)];
        match poll(&mut fds, time_left(end).as_ref()) {
            Ok(0) => Err(io::ErrorKind::TimedOut.into()),
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Waits until the target or the caller sends data, or `end` has passed.
    ///
    /// # Errors
    ///
    /// Fails when `poll` fails.
    pub fn wait(&self, caller: Option<&impl AsFd>, end: Instant) -> io::Result<WaitOutcome> {
        wait_any(&[Awaited { connection: self, writing: false }], caller, end)
    }

    /// Reads received data without waiting; returns whether there was any.
    pub fn fill(&mut self) -> bool {
        let mut buffer = [0; READ_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.decoder.close(),
                Ok(read) => {
                    self.decoder.push(&buffer[..read]);
                    return true;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.decoder.break_off(),
            }
            return false;
        }
    }

    /// Parses the head of a response; `None` if more data has to be read.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a response, or end within the head.
    pub fn parse_head(&mut self, method: &str) -> Result<Option<ResponseHead>, ReadError> {
        self.decoder.parse_head(method)
    }

    /// Takes the next part of the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is truncated or its framing is malformed.
    pub fn next_part(&mut self, framing: &mut Framing) -> Result<BodyPart, ReadError> {
        self.decoder.next_part(framing)
    }

    /// Shuts the connection down, so that the target stops its work.
    pub fn abort(&self) {
        if let Err(e) = self.stream.shutdown(Shutdown::Both) {
            log::debug!("target: connection to {} was already closed: {e}.", self.addr);
        }
    }
}

/// A connection to wait for.
#[derive(Clone, Copy, Debug)]
pub struct Awaited<'a> {
    /// The connection.
    pub connection: &'a Connection,
    /// Whether a part of the request is still to be written.
    pub writing: bool,
}

/// Waits until one of the targets or the caller can go on, or `end` has passed.
///
/// # Errors
///
/// Fails when `poll` fails.
pub fn wait_any(
    awaited: &[Awaited<'_>],
    caller: Option<&impl AsFd>,
    end: Instant,
) -> io::Result<WaitOutcome> {
    let flags = |a: &Awaited<'_>| {
        if a.writing { PollFlags::IN | PollFlags::OUT } else { PollFlags::IN }
    };
    let mut fds: Vec<PollFd<'_>> =
        awaited.iter().map(|a| PollFd::new(&a.connection.stream, flags(a))).collect();
    fds.extend(caller.map(|caller| PollFd::new(caller, PollFlags::IN)));
    loop {
        match poll(&mut fds, time_left(end).as_ref()) {
            Ok(0) => return Ok(WaitOutcome::TimedOut),
            Ok(_) => {
                let targets = &fds[..awaited.len()];
                let ready = targets.iter().any(|fd| !fd.revents().is_empty());
                return Ok(if ready { WaitOutcome::Target } else { WaitOutcome::Caller });
            }
            Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
    }
}

fn time_left(end: Instant) -> Option<Timespec> {
    Timespec::try_from(end.saturating_duration_since(Instant::now())).ok()
}

/// Posts a JSON body with extra headers and returns the head of the response.
///
/// # Errors
///
/// Fails when no complete response head is received before `end`.
pub fn post(
    connection: &mut Connection,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    end: Instant,
) -> Result<ResponseHead, ReadError> {
    let more: String =
        headers.iter().flat_map(|(name, value)| [name, ": ", value, "\r\n"]).collect();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n\
         connection: close\r\n{more}content-length: {}\r\n\r\n",
        connection.addr,
        body.len()
    );
    let request = [head.as_bytes(), body].concat();
    if connection.send(&request, end).is_err() {
        return Err(ReadError::Truncated);
    }
    loop {
        if let Some(head) = connection.parse_head("POST")? {
            return Ok(head);
        }
        // The wait reports bytes that are there also after its end.
        if Instant::now() >= end {
            return Err(ReadError::Truncated);
        }
        match connection.wait(None::<&TcpStream>, end) {
            Ok(WaitOutcome::Target) => drop(connection.fill()),
            Ok(_) | Err(_) => return Err(ReadError::Truncated),
        }
    }
}
