//! Waits for a socket that a signal from another thread can end.

use std::io::{self, PipeReader, PipeWriter};
use std::os::fd::AsFd;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// One-shot signal that wakes every current and later wait.
#[derive(Debug)]
pub(crate) struct ShutdownSignal {
    reader: PipeReader,
    /// Closing this end wakes every thread that polls the other end.
    writer: Mutex<Option<PipeWriter>>,
}

/// Why a wait ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WaitOutcome {
    /// The socket is readable or broken.
    Ready,
    /// The signal was raised.
    Signalled,
    /// The deadline passed.
    TimedOut,
}

impl ShutdownSignal {
    pub(crate) fn new() -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        Ok(Self { reader, writer: Mutex::new(Some(writer)) })
    }

    pub(crate) fn raise(&self) {
        drop(self.writer.lock().unwrap_or_else(PoisonError::into_inner).take());
    }

    pub(crate) fn is_raised(&self) -> bool {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner).is_none()
    }

    /// Waits until `socket` is readable, the signal is raised, or `end` has passed.
    ///
    /// If several hold, readable takes precedence over the signal, and the
    /// signal over the deadline.
    pub(crate) fn wait(&self, socket: &impl AsFd, end: Option<Instant>) -> io::Result<WaitOutcome> {
        wait_for(
            &mut [PollFd::new(socket, PollFlags::IN), PollFd::new(&self.reader, PollFlags::IN)],
            end,
        )
    }

    /// Waits until `socket` is readable, or `end` has passed, also while a signal is raised.
    pub(crate) fn wait_alone(socket: &impl AsFd, end: Option<Instant>) -> io::Result<WaitOutcome> {
        wait_for(&mut [PollFd::new(socket, PollFlags::IN)], end)
    }
}

/// Waits until one of the descriptors is readable; the first one is the socket.
fn wait_for(fds: &mut [PollFd<'_>], end: Option<Instant>) -> io::Result<WaitOutcome> {
    loop {
        let left = end.map(|end| end.saturating_duration_since(Instant::now()));
        let timeout = left.and_then(|left| Timespec::try_from(left).ok());
        match poll(fds, timeout.as_ref()) {
            Ok(0) => return Ok(WaitOutcome::TimedOut),
            Ok(_) if !fds[0].revents().is_empty() => return Ok(WaitOutcome::Ready),
            Ok(_) => return Ok(WaitOutcome::Signalled),
            Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
    }
}
