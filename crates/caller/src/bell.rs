//! Waits for a socket that end when a bell rings.

use std::io::{self, PipeReader, PipeWriter};
use std::os::fd::AsFd;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Rings once, for all threads that wait and for all that come later.
#[derive(Debug)]
pub(crate) struct Bell {
    reader: PipeReader,
    /// Closing this end wakes all that wait on the other.
    writer: Mutex<Option<PipeWriter>>,
}

/// Why a wait ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Woken {
    /// The socket can be read, or is broken.
    Ready,
    /// The bell rang.
    Rung,
    /// Time is up.
    Late,
}

impl Bell {
    pub(crate) fn new() -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        Ok(Self { reader, writer: Mutex::new(Some(writer)) })
    }

    pub(crate) fn ring(&self) {
        drop(self.writer.lock().unwrap_or_else(PoisonError::into_inner).take());
    }

    pub(crate) fn rung(&self) -> bool {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner).is_none()
    }

    /// Waits until `socket` can be read, the bell rings, or `end` has come.
    ///
    /// What can be read goes before the bell, and the bell before the time.
    pub(crate) fn wait(&self, socket: &impl AsFd, end: Option<Instant>) -> io::Result<Woken> {
        let mut fds =
            [PollFd::new(socket, PollFlags::IN), PollFd::new(&self.reader, PollFlags::IN)];
        loop {
            let left = end.map(|end| end.saturating_duration_since(Instant::now()));
            let time = left.and_then(|left| Timespec::try_from(left).ok());
            match poll(&mut fds, time.as_ref()) {
                Ok(0) => return Ok(Woken::Late),
                Ok(_) if !fds[0].revents().is_empty() => return Ok(Woken::Ready),
                Ok(_) => return Ok(Woken::Rung),
                Err(rustix::io::Errno::INTR) => {}
                Err(e) => return Err(e.into()),
            }
        }
    }
}
