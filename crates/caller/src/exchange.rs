//! One request and the ways to answer it.

use std::cell::Cell;
use std::io::{self, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chunked_transfer::Encoder;
use socket2::SockRef;

use crate::head::Head;
use crate::paced::Paced;

/// Flags of Linux: look without taking, and do not wait.
const PEEK: i32 = 0x02 | 0x40;

/// Longest body that is copied to be sent in one write with its head, in bytes.
const SMALL: usize = 16 * 1024;
/// Longest piece of a whole body that has one bound on its time, in bytes.
const PIECE: usize = 64 * 1024;

/// Name and value of a response header.
pub type Header = (&'static str, String);

/// One request with its body, and the connection to answer on.
pub struct Exchange<'a> {
    /// Head of the request.
    pub head: Head,
    /// Whole body.
    pub body: Bytes,
    paced: Paced<'a>,
    encoder: Option<Encoder<Paced<'a>>>,
    streaming: bool,
    end: Cell<Option<Instant>>,
    close: bool,
    state: State,
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
    pub(crate) fn new(head: Head, body: Bytes, paced: Paced<'a>, close: bool) -> Self {
        let state = State::Open;
        Self {
            head,
            body,
            paced,
            encoder: None,
            streaming: false,
            end: Cell::new(None),
            close,
            state,
        }
    }

    pub(crate) fn reusable(&self) -> bool {
        self.state == State::Whole && !self.close
    }

    /// States the deadline of the request; no write waits much longer.
    pub fn set_deadline(&self, end: Instant) {
        self.end.set(Some(end));
    }

    /// Returns whether no answer was begun.
    pub fn unanswered(&self) -> bool {
        self.state == State::Open
    }

    /// Returns whether the caller has closed its side or the connection broke.
    pub fn caller_gone(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.paced.stream).recv_with_flags(&mut byte, PEEK) {
            Ok(read) => read == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Returns the connection, to wait for the caller beside something else.
    pub fn socket(&self) -> &'a std::net::TcpStream {
        self.paced.stream
    }

    /// Writes a whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away or reads too slowly.
    pub fn respond(&mut self, status: u16, headers: &[Header], body: &[u8]) -> io::Result<()> {
        self.state = State::Broken;
        self.paced.end = self.end.get();
        let head = self.start(status, headers);
        self.write(head, body)
    }

    fn write(&mut self, mut head: String, body: &[u8]) -> io::Result<()> {
        push(&mut head, "content-length", &body.len().to_string());
        head.push_str("\r\n");
        if self.head.method == "HEAD" {
            self.paced.write_all(head.as_bytes())?;
        } else if body.len() <= SMALL {
            let whole = [head.as_bytes(), body].concat();
            self.paced.write_all(&whole)?;
        } else {
            self.paced.write_all(head.as_bytes())?;
            body.chunks(PIECE).try_for_each(|piece| self.paced.write_all(piece))?;
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
        self.paced.end = self.end.get();
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
        self.begin_relayed(status, &[], headers)
    }

    /// Begins a streamed answer that carries headers of a target.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away.
    pub fn begin_relayed(
        &mut self,
        status: u16,
        relayed: &[(String, String)],
        headers: &[Header],
    ) -> io::Result<()> {
        self.state = State::Broken;
        self.paced.end = self.end.get();
        // A caller of HTTP/1.0 knows no chunks: there the end of the connection
        // ends the answer, and one that breaks off ends with a reset.
        self.close |= self.head.http10;
        let mut head = self.start(status, headers);
        for (name, value) in relayed {
            push(&mut head, name, value);
        }
        head.push_str(if self.head.http10 { "\r\n" } else { "transfer-encoding: chunked\r\n\r\n" });
        self.paced.write_all(head.as_bytes())?;
        self.streaming = true;
        self.encoder = (!self.head.http10).then(|| Encoder::with_flush_after_write(self.paced));
        Ok(())
    }

    /// Writes one piece of a streamed answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away, reads too slowly, or when no streamed
    /// answer was begun.
    pub fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        match &mut self.encoder {
            Some(encoder) => encoder.write_all(piece),
            None if self.streaming => self.paced.write_all(piece),
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Ends a streamed answer as whole.
    pub fn finish(&mut self) {
        self.encoder = None;
        if self.streaming {
            self.streaming = false;
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
        if !self.streaming {
            return;
        }
        if self.head.http10 {
            SockRef::from(self.paced.stream).set_linger(Some(Duration::ZERO)).unwrap_or_default();
        } else {
            self.paced.stream.shutdown(Shutdown::Both).unwrap_or_default();
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
