//! One request and the methods to respond to it.

use std::cell::Cell;
use std::fmt;
use std::io::{self, ErrorKind, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chunked_transfer::Encoder;
use socket2::SockRef;

use crate::head::Head;
use crate::timed_writer::TimedWriter;

/// `MSG_PEEK | MSG_DONTWAIT` of Linux.
const PEEK_NOWAIT: i32 = 0x02 | 0x40;

/// Largest body that is copied to be sent in one write with its head.
const SINGLE_WRITE_BYTES: usize = 16 * 1024;
/// Largest part of a body that is sent in one write, with one time-out.
const WRITE_BYTES: usize = 64 * 1024;

/// Name and value of a response header.
pub type Header = (&'static str, String);

/// One request with its body, and the connection to respond on.
pub struct Exchange<'a> {
    /// Head of the request.
    pub head: Head,
    /// Complete body.
    pub body: Bytes,
    writer: TimedWriter<'a>,
    encoder: Option<Encoder<TimedWriter<'a>>>,
    streaming: bool,
    deadline: Cell<Option<Instant>>,
    close: bool,
    state: State,
}

impl std::fmt::Debug for Exchange<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Exchange").field("head", &self.head).finish_non_exhaustive()
    }
}

/// Why a caller counts as disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// The caller closed its side.
    Closed,
    /// The connection broke.
    Broken(ErrorKind),
}

impl fmt::Display for Departure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => write!(f, "the caller closed its side"),
            Self::Broken(kind) => write!(f, "the caller's connection broke: {kind}"),
        }
    }
}

/// State of the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// Nothing has been written.
    Open,
    /// The response was written completely.
    Complete,
    /// The response is incomplete, so the connection must not be used again.
    Incomplete,
}

impl<'a> Exchange<'a> {
    pub(crate) fn new(head: Head, body: Bytes, writer: TimedWriter<'a>, close: bool) -> Self {
        let state = State::Open;
        Self {
            head,
            body,
            writer,
            encoder: None,
            streaming: false,
            deadline: Cell::new(None),
            close,
            state,
        }
    }

    pub(crate) fn reusable(&self) -> bool {
        self.state == State::Complete && !self.close
    }

    /// Sets the deadline of the request; no write waits much longer.
    pub fn set_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }

    /// Returns whether no response has been started.
    pub fn unanswered(&self) -> bool {
        self.state == State::Open
    }

    /// Returns whether the caller closed its side or the connection broke.
    pub fn caller_gone(&self) -> bool {
        self.departure().is_some()
    }

    /// Returns why the caller counts as disconnected; `None` while it is connected.
    pub fn departure(&self) -> Option<Departure> {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.writer.stream).recv_with_flags(&mut byte, PEEK_NOWAIT) {
            Ok(0) => Some(Departure::Closed),
            Ok(_) => None,
            // An interrupted call says nothing of the connection.
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => None,
            Err(e) => Some(Departure::Broken(e.kind())),
        }
    }

    /// Returns the connection, to poll it together with other sockets.
    pub fn socket(&self) -> &'a std::net::TcpStream {
        self.writer.stream
    }

    /// Writes a complete response.
    ///
    /// # Errors
    ///
    /// Fails when the caller closed the connection or reads too slowly.
    pub fn respond(&mut self, status: u16, headers: &[Header], body: &[u8]) -> io::Result<()> {
        self.state = State::Incomplete;
        self.writer.deadline = self.deadline.get();
        let head = self.build_head(status, headers);
        self.write_head_and_body(head, body)
    }

    fn write_head_and_body(&mut self, mut head: Vec<u8>, body: &[u8]) -> io::Result<()> {
        push_header(&mut head, "content-length", body.len().to_string());
        head.extend_from_slice(b"\r\n");
        if self.head.method == "HEAD" {
            self.writer.write_all(&head)?;
        } else if body.len() <= SINGLE_WRITE_BYTES {
            let response = [&head, body].concat();
            self.writer.write_all(&response)?;
        } else {
            self.writer.write_all(&head)?;
            body.chunks(WRITE_BYTES).try_for_each(|part| self.writer.write_all(part))?;
        }
        self.state = State::Complete;
        Ok(())
    }

    /// Relays a complete response of a target with its headers.
    ///
    /// # Errors
    ///
    /// Fails when the caller closed the connection or reads too slowly.
    pub fn relay(
        &mut self,
        status: u16,
        relayed: &[(String, impl AsRef<[u8]>)],
        headers: &[Header],
        body: &[u8],
    ) -> io::Result<()> {
        self.state = State::Incomplete;
        self.writer.deadline = self.deadline.get();
        let mut head = self.build_head(status, headers);
        for (name, value) in relayed {
            push_header(&mut head, name, value);
        }
        self.write_head_and_body(head, body)
    }

    /// Starts a streamed response; each part is sent immediately.
    ///
    /// Unless [`Exchange::finish`] follows, the connection is shut down or reset,
    /// so that a truncated response never looks complete.
    ///
    /// # Errors
    ///
    /// Fails when the caller closed the connection.
    pub fn begin(&mut self, status: u16, headers: &[Header]) -> io::Result<()> {
        let relayed: [(String, String); 0] = [];
        self.begin_relayed(status, &relayed, headers)
    }

    /// Starts a streamed response that carries headers of a target.
    ///
    /// # Errors
    ///
    /// Fails when the caller closed the connection.
    pub fn begin_relayed(
        &mut self,
        status: u16,
        relayed: &[(String, impl AsRef<[u8]>)],
        headers: &[Header],
    ) -> io::Result<()> {
        self.state = State::Incomplete;
        self.writer.deadline = self.deadline.get();
        // HTTP/1.0 has no chunked coding: there the end of the connection ends the
        // response, and an incomplete response ends with a reset.
        self.close |= self.head.http10;
        let mut head = self.build_head(status, headers);
        for (name, value) in relayed {
            push_header(&mut head, name, value);
        }
        if !self.head.http10 {
            push_header(&mut head, "transfer-encoding", "chunked");
        }
        head.extend_from_slice(b"\r\n");
        self.writer.write_all(&head)?;
        self.streaming = true;
        self.encoder = (!self.head.http10).then(|| Encoder::with_flush_after_write(self.writer));
        Ok(())
    }

    /// Writes one part of a streamed response.
    ///
    /// # Errors
    ///
    /// Fails when the caller closed the connection or reads too slowly, or when
    /// no streamed response was started.
    pub fn send(&mut self, part: &[u8]) -> io::Result<()> {
        match &mut self.encoder {
            Some(encoder) => encoder.write_all(part),
            None if self.streaming => self.writer.write_all(part),
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Ends a streamed response as complete.
    pub fn finish(&mut self) {
        self.encoder = None;
        if self.streaming {
            self.streaming = false;
            self.state = State::Complete;
        }
    }

    fn build_head(&self, status: u16, headers: &[Header]) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
        for (name, value) in headers {
            push_header(&mut head, name, value);
        }
        if self.close {
            push_header(&mut head, "connection", "close");
        }
        head
    }
}

impl Drop for Exchange<'_> {
    /// Breaks the connection unless the streamed response was finished.
    ///
    /// The encoder writes the last chunk when it is dropped, right after this.
    /// Without the shutdown a truncated response would look complete.
    fn drop(&mut self) {
        if !self.streaming {
            return;
        }
        if self.head.http10 {
            SockRef::from(self.writer.stream).set_linger(Some(Duration::ZERO)).unwrap_or_default();
        } else {
            self.writer.stream.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }
}

fn push_header(head: &mut Vec<u8>, name: &str, value: impl AsRef<[u8]>) {
    for part in [name.as_bytes(), b": ", value.as_ref(), b"\r\n"] {
        head.extend_from_slice(part);
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400..=499 => "Client Error",
        500..=599 => "Server Error",
        _ => "Status",
    }
}
