//! Writes to a caller within a bound on the time of each piece.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use socket2::SockRef;

/// Flags of Linux: do not wait, and raise no signal.
const AT_ONCE: i32 = 0x40 | 0x4000;

/// Least time for a piece, so that a missed deadline can be told.
const LAST_WORD: Duration = Duration::from_secs(1);

/// A connection on which each piece must be taken within a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Paced<'a> {
    pub(crate) stream: &'a TcpStream,
    /// Time for one piece, however many reads the caller takes for it.
    pub(crate) time: Duration,
    /// Deadline of the request, where it has one.
    pub(crate) end: Option<Instant>,
}

impl Paced<'_> {
    fn wait(&mut self, mut rest: &[u8]) -> io::Result<()> {
        let now = Instant::now();
        let last = self.end.map_or(self.time, |end| (end - now.min(end)).max(LAST_WORD));
        let end = now + self.time.min(last);
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

impl Write for Paced<'_> {
    /// Writes the whole piece.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Nearly every piece fits at once and then needs no timeout.
        let written = match SockRef::from(self.stream).send_with_flags(buf, AT_ONCE) {
            Ok(written) => written,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
            Err(e) => return Err(e),
        };
        self.wait(&buf[written..])?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
