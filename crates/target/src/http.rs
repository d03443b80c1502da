//! One HTTP/1.1 connection to a target, read piece by piece.
//!
//! `ureq` hides what the gateway has to tell apart: whether any byte of a
//! request was written, whether a connection holds bytes that belong to no
//! request, and whether an answer ended by its framing or was cut. So the
//! connection stands on `std` sockets and `httparse`. A thread waits for the
//! target and for the caller at once.

use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;

/// Bytes read at once.
const READ: usize = 16 * 1024;
/// Most bytes of an answer's head.
const HEAD: usize = 64 * 1024;
/// Most headers of an answer.
const MOST_HEADERS: usize = 64;
/// Longest line that states the size of a chunk, in bytes.
const CHUNK_LINE: usize = 256;
/// Time for which the kernel tries to deliver bytes before the connection
/// counts as broken; a partition shows only so.
const UNDELIVERED: Duration = Duration::from_secs(3);
/// Flags of Linux: look without taking, and do not wait.
const PEEK: i32 = 0x02 | 0x40;

/// How an answer is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// So many bytes are left.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The end of the connection ends the answer.
    UntilClose,
}

/// Head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the target closes the connection afterwards.
    pub close: bool,
}

impl ResponseHead {
    /// Returns the first value of the header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Why an answer could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The connection ended or was reset before the answer was whole.
    Truncated,
    /// The bytes are no answer.
    Malformed,
}

/// What a wait ended with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitOutcome {
    /// The target sent something, or the connection broke.
    Target,
    /// The caller sent something, or went away.
    Caller,
    /// Time is up.
    TimedOut,
}

/// One part of an answer's body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Vec<u8>),
    /// More has to be read.
    NeedMore,
    /// The body is whole.
    End,
}

/// State of a chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

/// A connection to a target.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    addr: SocketAddr,
    kept: Vec<u8>,
    chunk: Chunk,
    ended: bool,
    reset: bool,
    /// When it was last used, and for how long the target keeps it.
    idle: Option<(Instant, Duration)>,
}

impl Connection {
    /// Connects to a target within `time`.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection in time.
    pub fn open(addr: SocketAddr, time: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, time.max(Duration::from_millis(1)))?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNDELIVERED))?;
        stream.set_nonblocking(true)?;
        Ok(Self {
            stream,
            addr,
            kept: Vec::new(),
            chunk: Chunk::Size,
            ended: false,
            reset: false,
            idle: None,
        })
    }

    /// Returns the address of the target.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Marks the connection as idle; the target keeps it for `time`.
    pub fn mark_idle(&mut self, time: Duration, now: Instant) {
        self.idle = Some((now, time));
    }

    /// Returns whether the connection can carry another request.
    ///
    /// Bytes that nobody asked for belong to no request, so a connection that
    /// holds any is not used again.
    pub fn reusable(&self, now: Instant) -> bool {
        let fresh = self.idle.is_none_or(|(since, time)| now < since + time);
        let mut byte = [MaybeUninit::uninit()];
        let silent = || {
            let seen = SockRef::from(&self.stream).recv_with_flags(&mut byte, PEEK);
            matches!(seen, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
        };
        fresh && self.kept.is_empty() && !self.ended && { silent }()
    }

    /// Writes a whole request by `end`; tells how many bytes were written on failure.
    ///
    /// # Errors
    ///
    /// Fails with the number of bytes that the kernel had taken.
    pub fn send(&mut self, mut bytes: &[u8], end: Instant) -> Result<(), usize> {
        self.idle = None;
        self.chunk = Chunk::Size;
        let whole = bytes.len();
        while !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(0) => return Err(whole - bytes.len()),
                Ok(written) => bytes = &bytes[written..],
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && Instant::now() < end => {
                    if let Err(e) = self.writable(end) {
                        log::debug!("target: {} takes no more of a request: {e}.", self.addr);
                        return Err(whole - bytes.len());
                    }
                }
                Err(_) => return Err(whole - bytes.len()),
            }
        }
        Ok(())
    }

    fn writable(&self, end: Instant) -> io::Result<()> {
        let mut fds = [PollFd::new(&self.stream, PollFlags::OUT)];
        match poll(&mut fds, left(end).as_ref()) {
            Ok(0) => Err(io::ErrorKind::TimedOut.into()),
            Ok(_) | Err(rustix::io::Errno::INTR) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Waits until the target or the caller sends something, or `end` has come.
    ///
    /// # Errors
    ///
    /// Fails when the kernel cannot wait.
    pub fn wait(&self, caller: Option<&impl AsFd>, end: Instant) -> io::Result<WaitOutcome> {
        let target = PollFd::new(&self.stream, PollFlags::IN);
        let mut fds = match caller {
            Some(caller) => vec![target, PollFd::new(caller, PollFlags::IN)],
            None => vec![target],
        };
        loop {
            match poll(&mut fds, left(end).as_ref()) {
                Ok(0) => return Ok(WaitOutcome::TimedOut),
                Ok(_) if !fds[0].revents().is_empty() => return Ok(WaitOutcome::Target),
                Ok(_) => return Ok(WaitOutcome::Caller),
                Err(rustix::io::Errno::INTR) => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Reads what has come, without waiting; returns whether anything was read.
    pub fn fill(&mut self) -> bool {
        let mut buffer = [0; READ];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.ended = true,
                Ok(read) => {
                    self.kept.extend_from_slice(&buffer[..read]);
                    return true;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => (self.ended, self.reset) = (true, true),
            }
            return false;
        }
    }

    /// Parses the head of an answer; `None` when more has to be read.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no answer, or end before the head does.
    pub fn parse_head(&mut self, method: &str) -> Result<Option<ResponseHead>, ReadError> {
        loop {
            let mut slots = [httparse::EMPTY_HEADER; MOST_HEADERS];
            let mut response = httparse::Response::new(&mut slots);
            let length = match response.parse(&self.kept) {
                Ok(httparse::Status::Complete(length)) => length,
                Ok(httparse::Status::Partial) if self.kept.len() > HEAD => {
                    return Err(ReadError::Malformed);
                }
                Ok(httparse::Status::Partial) if self.ended => return Err(ReadError::Truncated),
                Ok(httparse::Status::Partial) => return Ok(None),
                Err(_) => return Err(ReadError::Malformed),
            };
            let reply = reply(&response, method).ok_or(ReadError::Malformed)?;
            self.kept.drain(..length);
            self.chunk = Chunk::Size;
            // Interim answers carry no body and are followed by another head.
            if reply.status >= 200 {
                return Ok(Some(reply));
            }
        }
    }

    /// Takes the next piece of the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut short or its framing makes no sense.
    pub fn next_part(&mut self, framing: &mut Framing) -> Result<BodyPart, ReadError> {
        match framing {
            Framing::Length(0) => Ok(BodyPart::End),
            Framing::Length(left) => {
                let take = (*left).min(self.kept.len() as u64) as usize;
                *left -= take as u64;
                self.take(take)
            }
            Framing::Chunked => self.chunked(),
            Framing::UntilClose if !self.kept.is_empty() => self.take(self.kept.len()),
            Framing::UntilClose if self.reset => Err(ReadError::Truncated),
            Framing::UntilClose if self.ended => Ok(BodyPart::End),
            Framing::UntilClose => Ok(BodyPart::NeedMore),
        }
    }

    fn take(&mut self, bytes: usize) -> Result<BodyPart, ReadError> {
        match bytes {
            0 if self.ended => Err(ReadError::Truncated),
            0 => Ok(BodyPart::NeedMore),
            _ => Ok(BodyPart::Data(self.kept.drain(..bytes).collect())),
        }
    }

    fn chunked(&mut self) -> Result<BodyPart, ReadError> {
        let mut data = Vec::new();
        loop {
            match self.chunk {
                Chunk::Size => match httparse::parse_chunk_size(&self.kept) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        self.kept.drain(..line);
                        self.chunk = if size == 0 { Chunk::Trailer } else { Chunk::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if self.kept.len() <= CHUNK_LINE => break,
                    Ok(httparse::Status::Partial) | Err(_) => return Err(ReadError::Malformed),
                },
                Chunk::Data(left) => {
                    let take = left.min(self.kept.len() as u64) as usize;
                    if take == 0 {
                        break;
                    }
                    data.extend(self.kept.drain(..take));
                    let left = left - take as u64;
                    self.chunk = if left == 0 { Chunk::DataEnd } else { Chunk::Data(left) };
                }
                Chunk::DataEnd => match self.kept.get(..2) {
                    Some(b"\r\n") => {
                        self.kept.drain(..2);
                        self.chunk = Chunk::Size;
                    }
                    Some(_) => return Err(ReadError::Malformed),
                    None => break,
                },
                Chunk::Trailer => match self.kept.windows(2).position(|w| w == b"\r\n") {
                    // Data goes first; the end is found again at the next call.
                    _ if !data.is_empty() => break,
                    Some(0) => {
                        self.kept.drain(..2);
                        return Ok(BodyPart::End);
                    }
                    Some(line) => drop(self.kept.drain(..line + 2)),
                    None => break,
                },
            }
        }
        match data.is_empty() {
            false => Ok(BodyPart::Data(data)),
            true if self.ended => Err(ReadError::Truncated),
            true => Ok(BodyPart::NeedMore),
        }
    }

    /// Breaks the connection off, so that the target stops its work.
    pub fn abort(&self) {
        if let Err(e) = self.stream.shutdown(Shutdown::Both) {
            log::debug!("target: {} was closed already: {e}.", self.addr);
        }
    }
}

fn left(end: Instant) -> Option<Timespec> {
    Timespec::try_from(end.saturating_duration_since(Instant::now())).ok()
}

fn reply(response: &httparse::Response<'_, '_>, method: &str) -> Option<ResponseHead> {
    let status = response.code?;
    let mut headers = Vec::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        headers.push((header.name.to_ascii_lowercase(), value));
    }
    let find = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
    let coding = find("transfer-encoding");
    let length = headers.iter().filter(|(n, _)| n == "content-length").map(|(_, v)| v);
    let mut lengths = length.map(|v| v.parse::<u64>());
    let framing = match (coding, lengths.next(), lengths.next()) {
        _ if method == "HEAD" || status < 200 || matches!(status, 204 | 304) => Framing::Length(0),
        (Some(v), None, None) if v.eq_ignore_ascii_case("chunked") => Framing::Chunked,
        (None, Some(Ok(length)), None) => Framing::Length(length),
        (None, None, None) => Framing::UntilClose,
        _ => return None,
    };
    let stated = find("connection").unwrap_or_default().to_ascii_lowercase();
    let close = stated.contains("close")
        || response.version == Some(0) && !stated.contains("keep-alive")
        || framing == Framing::UntilClose;
    Some(ResponseHead { status, headers, framing, close })
}

/// Posts a JSON body and returns the status of the answer.
///
/// # Errors
///
/// Fails when the answer does not come whole by `end`.
pub fn post(
    connection: &mut Connection,
    path: &str,
    body: &[u8],
    end: Instant,
) -> Result<u16, ReadError> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        connection.addr,
        body.len()
    );
    let whole = [head.as_bytes(), body].concat();
    if connection.send(&whole, end).is_err() {
        return Err(ReadError::Truncated);
    }
    loop {
        if let Some(reply) = connection.parse_head("POST")? {
            return Ok(reply.status);
        }
        match connection.wait(None::<&TcpStream>, end) {
            Ok(WaitOutcome::Target) => drop(connection.fill()),
            Ok(_) | Err(_) => return Err(ReadError::Truncated),
        }
    }
}
