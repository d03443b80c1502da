//! Writes to a caller with a time-out for each write.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use socket2::SockRef;

/// `MSG_DONTWAIT | MSG_NOSIGNAL` of Linux.
const SEND_NOWAIT: i32 = 0x40 | 0x4000;

/// Minimum time-out, so that the caller can be told of a missed deadline.
const MIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to a caller that must take each write within a time-out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedWriter<'a> {
    pub(crate) stream: &'a TcpStream,
    /// Time for one write, however many reads the caller needs for it.
    pub(crate) timeout: Duration,
    /// Deadline of the request, if it has one.
    pub(crate) deadline: Option<Instant>,
}

impl TimedWriter<'_> {
    fn write_blocking(&mut self, mut rest: &[u8]) -> io::Result<()> {
        let now = Instant::now();
        let remaining =
            self.deadline.map_or(self.timeout, |end| (end - now.min(end)).max(MIN_TIMEOUT));
        let end = now + self.timeout.min(remaining);
        while !rest.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_write_timeout(Some(left))?;
            match self.stream.write(rest) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => rest = &rest[written..],
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

impl Write for TimedWriter<'_> {
    /// Writes all of `buf`.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Almost every write fits the socket's buffer and then needs no time-out.
        let written = match SockRef::from(self.stream).send_with_flags(buf, SEND_NOWAIT) {
            Ok(written) => written,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
            Err(e) => return Err(e),
        };
        self.write_blocking(&buf[written..])?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
