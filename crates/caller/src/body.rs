//! Reads request bodies within bounds on time, size and memory.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use bytes::Bytes;
use chunked_transfer::Decoder;
use mimosapass_core::error::{Failure, Kind};

use crate::bell::{Bell, Woken};
use crate::head::{Framing, Head};
use crate::server::Limits;

/// Raw bytes of a chunked body for each byte that the body may have.
const OVERHEAD: u64 = 2;

/// Memory that the bodies of all requests may use together.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    used: Arc<AtomicUsize>,
    most: usize,
}

impl Memory {
    pub(crate) fn new(most: usize) -> Self {
        Self { used: Arc::default(), most }
    }

    /// Reserves memory for a body; dropping the result gives it back.
    fn reserve(&self, bytes: usize) -> Result<Reserved, Failure> {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.most);
        match self.used.fetch_update(Ordering::SeqCst, Ordering::SeqCst, add) {
            Ok(_) => Ok(Reserved { used: Arc::clone(&self.used), bytes }),
            Err(used) => {
                let text = format!("the bodies of other requests hold {used} bytes");
                Err(Failure::new(Kind::QueueFull, text))
            }
        }
    }
}

/// Reserved memory.
#[derive(Debug)]
pub(crate) struct Reserved {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

/// A whole body and the memory reserved for it.
#[derive(Debug)]
pub(crate) struct Body {
    pub(crate) bytes: Bytes,
    pub(crate) reserved: Reserved,
}

/// Reads the body that belongs to `head`; what follows it stays in `kept`.
pub(crate) fn read(
    head: &Head,
    mut stream: &TcpStream,
    kept: &mut Vec<u8>,
    limits: &Limits,
    memory: &Memory,
    ending: &Bell,
) -> Result<Body, Failure> {
    let bad = || Failure::new(Kind::BadRequest, "the length of the body is not clear");
    let framing = head.framing().ok_or_else(bad)?;
    if matches!(framing, Framing::Length(n) if n > limits.body_bytes as u64) {
        return Err(over(limits));
    }
    let length = match framing {
        Framing::Length(length) => length as usize,
        Framing::Chunked => limits.body_bytes,
    };
    let reserved = memory.reserve(length)?;
    let expects = head.header("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    if expects && kept.is_empty() && length > 0 {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(|e| slow(&e))?;
    }
    let timed = Timed { stream, end: Instant::now() + limits.body_timeout, ending };
    let bytes = match framing {
        Framing::Length(length) => read_length(timed, kept, length as usize)?,
        Framing::Chunked => read_chunks(timed, kept, limits)?,
    };
    Ok(Body { bytes, reserved })
}

fn over(limits: &Limits) -> Failure {
    Failure::new(Kind::TooLarge, format!("the body is over {} bytes", limits.body_bytes))
}

/// Tells what a failed read of a request means.
pub(crate) fn slow(error: &io::Error) -> Failure {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
            Failure::new(Kind::SlowRequest, "the request came too slowly")
        }
        io::ErrorKind::ConnectionAborted => {
            Failure::new(Kind::Stopping, "the instance ended before the request was whole")
        }
        _ => Failure::new(Kind::CallerGone, error.to_string()),
    }
}

/// Tells that a request ended before it was whole.
pub(crate) fn cut() -> Failure {
    Failure::new(Kind::CallerGone, "the caller closed in mid-request")
}

/// Reads a body of known length into memory of just that size.
fn read_length(mut timed: Timed<'_>, kept: &mut Vec<u8>, length: usize) -> Result<Bytes, Failure> {
    let ready = kept.len().min(length);
    let mut body = Vec::with_capacity(length);
    body.extend(kept.drain(..ready));
    let missing = (length - ready) as u64;
    let read = timed.by_ref().take(missing).read_to_end(&mut body).map_err(|e| slow(&e))?;
    if read as u64 == missing { Ok(Bytes::from(body)) } else { Err(cut()) }
}

fn read_chunks(timed: Timed<'_>, kept: &mut Vec<u8>, limits: &Limits) -> Result<Bytes, Failure> {
    let ready = io::Cursor::new(std::mem::take(kept));
    let most = limits.body_bytes as u64 + 1;
    // The decoder takes byte by byte and leaves what follows in the source. It
    // does not bound the line with a chunk's size, so the raw bytes are bounded.
    let mut source = ready.chain(timed).take(most * OVERHEAD);
    let mut decoder = Decoder::new(&mut source);
    let mut body = Vec::new();
    let read = decoder.by_ref().take(most).read_to_end(&mut body);
    // The decoder takes the end of the connection within a chunk for the end of
    // the body.
    let whole = decoder.remaining_chunks_size().is_none();
    if body.len() as u64 == most || source.limit() == 0 {
        return Err(over(limits));
    }
    read.map_err(|e| match e.kind() {
        io::ErrorKind::InvalidInput | io::ErrorKind::Other => {
            Failure::new(Kind::BadRequest, "the chunked body is broken")
        }
        _ => slow(&e),
    })?;
    if !whole {
        return Err(cut());
    }
    let (cursor, _) = source.into_inner().into_inner();
    let at = cursor.position() as usize;
    *kept = cursor.into_inner().split_off(at);
    Ok(Bytes::from(body))
}

/// A stream whose reads together end at one point in time, or at the bell.
pub(crate) struct Timed<'a> {
    pub(crate) stream: &'a TcpStream,
    pub(crate) end: Instant,
    pub(crate) ending: &'a Bell,
}

impl Timed<'_> {
    /// Reads and drops what comes until the caller closes or time is up.
    pub(crate) fn drain(&mut self) {
        let mut buffer = [0; 4096];
        while matches!(self.read(&mut buffer), Ok(read) if read > 0) {}
    }
}

impl Read for Timed<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.ending.wait(self.stream, Some(self.end))? {
            Woken::Ready => self.stream.read(buf),
            Woken::Rung => Err(io::ErrorKind::ConnectionAborted.into()),
            Woken::Late => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}
