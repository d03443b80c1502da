//! Reads request bodies within limits on time, size and memory.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use bytes::Bytes;
use chunked_transfer::Decoder;
use mimosapass_core::error::{Failure, Kind};

use crate::head::{Framing, Head};
use crate::server::Limits;
use crate::shutdown_signal::{ShutdownSignal, WaitOutcome};

/// Raw bytes accepted for a chunked body, per byte of the body limit.
const CHUNKED_OVERHEAD: u64 = 2;

/// Memory limit for the bodies of all requests together.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl MemoryBudget {
    pub(crate) fn new(limit: usize) -> Self {
        Self { used: Arc::default(), limit }
    }

    /// Reserves memory for a body; dropping the reservation releases it.
    fn reserve(&self, bytes: usize) -> Result<Reservation, Failure> {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        match self.used.fetch_update(Ordering::SeqCst, Ordering::SeqCst, add) {
            Ok(_) => Ok(Reservation { used: Arc::clone(&self.used), bytes }),
            Err(used) => {
                let text = format!("the bodies of other requests hold {used} bytes");
                Err(Failure::new(Kind::QueueFull, text))
            }
        }
    }
}

/// Memory reserved for one body.
#[derive(Debug)]
pub(crate) struct Reservation {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

/// A complete body and the memory reserved for it.
#[derive(Debug)]
pub(crate) struct Body {
    pub(crate) bytes: Bytes,
    pub(crate) reservation: Reservation,
}

/// Reads the body that belongs to `head`; what follows it stays in `buffered`.
pub(crate) fn read(
    head: &Head,
    mut stream: &TcpStream,
    buffered: &mut Vec<u8>,
    limits: &Limits,
    memory: &MemoryBudget,
    abort: &ShutdownSignal,
) -> Result<Body, Failure> {
    let ambiguous = || Failure::new(Kind::BadRequest, "the length of the body is ambiguous");
    let framing = head.framing().ok_or_else(ambiguous)?;
    if matches!(framing, Framing::Length(n) if n > limits.body_bytes as u64) {
        return Err(too_large(limits));
    }
    let length = match framing {
        Framing::Length(length) => length as usize,
        Framing::Chunked => limits.body_bytes,
    };
    let reservation = memory.reserve(length)?;
    let expects = head.header("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    if expects && buffered.is_empty() && length > 0 {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(|e| read_failure(&e))?;
    }
    let reader = TimedReader { stream, deadline: Instant::now() + limits.body_timeout, abort };
    let bytes = match framing {
        Framing::Length(length) => read_length(reader, buffered, length as usize)?,
        Framing::Chunked => read_chunks(reader, buffered, limits)?,
    };
    Ok(Body { bytes, reservation })
}

fn too_large(limits: &Limits) -> Failure {
    Failure::new(Kind::TooLarge, format!("the body is over {} bytes", limits.body_bytes))
}

/// Converts a failed read of a request to a failure.
pub(crate) fn read_failure(error: &io::Error) -> Failure {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
            Failure::new(Kind::SlowRequest, "the request came too slowly")
        }
        io::ErrorKind::ConnectionAborted => {
            Failure::new(Kind::Stopping, "the instance stopped before the request was complete")
        }
        _ => Failure::new(Kind::CallerGone, error.to_string()),
    }
}

/// Failure of a request that ended before it was complete.
pub(crate) fn truncated() -> Failure {
    Failure::new(Kind::CallerGone, "the caller closed the connection during the request")
}

/// Reads a body of known length into a buffer of exactly that size.
fn read_length(
    mut reader: TimedReader<'_>,
    buffered: &mut Vec<u8>,
    length: usize,
) -> Result<Bytes, Failure> {
    let ready = buffered.len().min(length);
    let mut body = Vec::with_capacity(length);
    body.extend(buffered.drain(..ready));
    let missing = (length - ready) as u64;
    let read =
        reader.by_ref().take(missing).read_to_end(&mut body).map_err(|e| read_failure(&e))?;
    if read as u64 == missing { Ok(Bytes::from(body)) } else { Err(truncated()) }
}

fn read_chunks(
    reader: TimedReader<'_>,
    buffered: &mut Vec<u8>,
    limits: &Limits,
) -> Result<Bytes, Failure> {
    let ready = io::Cursor::new(std::mem::take(buffered));
    let most = limits.body_bytes as u64 + 1;
    // The decoder reads byte by byte, so what follows the body stays in the
    // source. It does not limit the line with a chunk's size, so the number of
    // raw bytes is limited instead.
    let mut source = ready.chain(reader).take(most * CHUNKED_OVERHEAD);
    let mut decoder = Decoder::new(&mut source);
    let mut body = Vec::new();
    let read = decoder.by_ref().take(most).read_to_end(&mut body);
    // The decoder treats the end of the connection within a chunk as the end of
    // the body.
    let complete = decoder.remaining_chunks_size().is_none();
    if body.len() as u64 == most || source.limit() == 0 {
        return Err(too_large(limits));
    }
    read.map_err(|e| match e.kind() {
        io::ErrorKind::InvalidInput | io::ErrorKind::Other => {
            Failure::new(Kind::BadRequest, "the chunked body is broken")
        }
        _ => read_failure(&e),
    })?;
    if !complete {
        return Err(truncated());
    }
    let (cursor, _) = source.into_inner().into_inner();
    let at = cursor.position() as usize;
    *buffered = cursor.into_inner().split_off(at);
    Ok(Bytes::from(body))
}

/// A stream whose reads all end at one deadline, or at the abort signal.
pub(crate) struct TimedReader<'a> {
    pub(crate) stream: &'a TcpStream,
    pub(crate) deadline: Instant,
    pub(crate) abort: &'a ShutdownSignal,
}

impl TimedReader<'_> {
    /// Reads and discards data until the caller closes, the deadline passes, or `most`
    /// bytes were read.
    pub(crate) fn drain(&mut self, most: usize) {
        let mut buffer = [0; 4096];
        let mut drained = 0;
        // A read succeeds also after the deadline if data is there.
        while drained < most && Instant::now() < self.deadline {
            match self.read(&mut buffer) {
                Ok(read) if read > 0 => drained += read,
                _ => return,
            }
        }
    }
}

impl Read for TimedReader<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.abort.wait(self.stream, Some(self.deadline))? {
            WaitOutcome::Ready => self.stream.read(buf),
            WaitOutcome::Signalled => Err(io::ErrorKind::ConnectionAborted.into()),
            WaitOutcome::TimedOut => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}
