//! One request and the ways to answer it.

use std::cell::Cell;
use std::io::{self, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chunked_transfer::Encoder;
use socket2::SockRef;

use crate::head::Head;

/// Flags of Linux: look without taking, and do not wait.
const PEEK: i32 = 0x02 | 0x40;

/// Least time that one write may block, however late the request is.
const LEAST_WRITE: Duration = Duration::from_millis(100);

/// Name and value of a response header.
pub type Header = (&'static str, String);

/// One request with its body, and the connection to answer on.
pub struct Exchange<'a> {
    /// Head of the request.
    pub head: Head,
    /// Whole body.
    pub body: Bytes,
    stream: &'a TcpStream,
    encoder: Option<Encoder<&'a TcpStream>>,
    close: bool,
    state: State,
    end: Cell<Option<Instant>>,
    limit: Option<Duration>,
}

impl std::fmt::Debug for Exchange<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Exchange").field("head", &self.head).finish_non_exhaustive()
    }
}

/// How far the answer has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// Nothing was written.
    Open,
    /// The answer was written whole.
    Whole,
    /// The answer broke off, so the connection must not be used again.
    Broken,
}

impl<'a> Exchange<'a> {
    pub(crate) fn new(head: Head, body: Bytes, stream: &'a TcpStream, close: bool) -> Self {
        let limit = stream.write_timeout().unwrap_or_default();
        let end = Cell::new(None);
        Self { head, body, stream, encoder: None, close, state: State::Open, end, limit }
    }

    pub(crate) fn reusable(&self) -> bool {
        self.state == State::Whole && !self.close
    }

    /// Bounds all writes by the deadline of the request.
    ///
    /// A caller that reads too slowly fails a write soon after `end`.
    pub fn until(&self, end: Instant) {
        self.end.set(Some(end));
    }

    /// Sets the time that the next write may block.
    fn arm(&self) -> io::Result<()> {
        let Some(end) = self.end.get() else { return Ok(()) };
        let left = end.saturating_duration_since(Instant::now()).max(LEAST_WRITE);
        self.stream.set_write_timeout(Some(self.limit.map_or(left, |most| most.min(left))))
    }

    /// Returns whether no answer was begun.
    pub fn unanswered(&self) -> bool {
        self.state == State::Open
    }

    /// Returns whether the caller has closed its side or the connection broke.
    pub fn caller_gone(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.stream).recv_with_flags(&mut byte, PEEK) {
            Ok(read) => read == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Writes a whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away or reads too slowly.
    pub fn answer(&mut self, status: u16, headers: &[Header], body: &[u8]) -> io::Result<()> {
        self.state = State::Broken;
        let head = self.start(status, headers);
        self.write(head, body)
    }

    fn write(&mut self, mut head: String, body: &[u8]) -> io::Result<()> {
        push(&mut head, "content-length", &body.len().to_string());
        head.push_str("\r\n");
        self.arm()?;
        let mut stream = self.stream;
        stream.write_all(head.as_bytes())?;
        if self.head.method != "HEAD" {
            stream.write_all(body)?;
        }
        self.state = State::Whole;
        Ok(())
    }

    /// Passes on a whole answer of a target with its own headers.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away or reads too slowly.
    pub fn relay(
        &mut self,
        status: u16,
        relayed: &[(String, String)],
        headers: &[Header],
        body: &[u8],
    ) -> io::Result<()> {
        self.state = State::Broken;
        let mut head = self.start(status, headers);
        for (name, value) in relayed {
            push(&mut head, name, value);
        }
        self.write(head, body)
    }

    /// Begins a streamed answer; each piece reaches the caller at once.
    ///
    /// Unless [`Exchange::finish`] follows, the connection is broken off, so
    /// that a truncated answer never looks whole.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away.
    pub fn begin(&mut self, status: u16, headers: &[Header]) -> io::Result<()> {
        self.state = State::Broken;
        let mut head = self.start(status, headers);
        head.push_str("transfer-encoding: chunked\r\n\r\n");
        self.arm()?;
        let mut stream = self.stream;
        stream.write_all(head.as_bytes())?;
        self.encoder = Some(Encoder::with_flush_after_write(self.stream));
        Ok(())
    }

    /// Writes one piece of a streamed answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away, reads too slowly, or when no streamed
    /// answer was begun.
    pub fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        self.arm()?;
        let encoder = self.encoder.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        encoder.write_all(piece)
    }

    /// Ends a streamed answer as whole.
    pub fn finish(&mut self) {
        if self.encoder.take().is_some() {
            self.state = State::Whole;
        }
    }

    fn start(&self, status: u16, headers: &[Header]) -> String {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            push(&mut head, name, value);
        }
        if self.close {
            head.push_str("connection: close\r\n");
        }
        head
    }
}

impl Drop for Exchange<'_> {
    /// Breaks the connection unless the streamed answer was finished.
    ///
    /// The encoder writes its closing chunk when it is dropped, right after
    /// this. Without the shutdown a truncated answer would look whole.
    fn drop(&mut self) {
        if self.end.get().is_some() {
            // The next request on the connection starts with the whole limit.
            self.stream.set_write_timeout(self.limit).unwrap_or_default();
        }
        if self.encoder.is_some() {
            self.stream.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }
}

fn push(head: &mut String, name: &str, value: &str) {
    head.extend([name, ": ", value, "\r\n"]);
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400..=499 => "Client Error",
        500..=599 => "Server Error",
        _ => "Status",
    }
}
