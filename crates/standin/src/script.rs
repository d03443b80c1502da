//! What a scripted target replies.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// How a target replies to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A complete response with this status and body.
    Complete(u16, &'static str),
    /// A complete response with this status and body, and an extra header line.
    WithHeader(u16, &'static str, &'static str),
    /// A complete response without the target's signature.
    Unsigned(&'static str),
    /// A refusal with this status, marked as not executed.
    NotExecuted(u16),
    /// Events with identifiers from 1 or after the caller's last one, and the end.
    Stream {
        /// Identifier of the last event.
        last: u64,
        /// Pause before each event.
        pause: Duration,
        /// Identifier of the event within which the connection is closed, if any.
        cut_at: Option<u64>,
    },
    /// A body that is shorter than its stated length.
    Truncated(&'static str),
    /// First a response to another attempt, then the right one.
    WrongAttemptFirst(&'static str),
    /// The right response twice.
    Duplicated(&'static str),
    /// The connection is closed without a response.
    Disconnect,
    /// The target crashes: all its connections are closed and new ones refused.
    Crash,
    /// No response until the caller disconnects.
    Hang,
    /// These steps, one after the other.
    Steps(Vec<Step>),
}

/// A part of a reply.
#[derive(Clone, Debug)]
pub enum Step {
    /// The signed head of a chunked response with status 200.
    Head,
    /// The event with this identifier, as one chunk.
    Event(u64),
    /// The end of a chunked response.
    End,
    /// A complete response with this status and body.
    Whole(u16, &'static str),
    /// Bytes as they are.
    Bytes(&'static [u8]),
    /// Text as it is.
    Text(String),
    /// What a function of the test does on the connection.
    Run(Hook),
    /// Nothing for this time.
    Silence(Duration),
    /// These bytes again and again until the caller disconnects.
    Endless(&'static [u8]),
    /// The end of the connection.
    Close,
    /// The target crashes: all its connections are closed and new ones refused.
    Crash,
    /// A reset of the connection, after what was sent has arrived.
    Reset,
}

/// A function of a test that gets the connection and returns whether it stays open.
#[derive(Clone)]
pub struct Hook(Arc<dyn Fn(&TcpStream) -> bool + Send + Sync>);

impl Hook {
    /// Creates a hook from a function.
    pub fn new(function: impl Fn(&TcpStream) -> bool + Send + Sync + 'static) -> Self {
        Self(Arc::new(function))
    }

    /// Returns whether the connection stays open.
    pub(crate) fn run(&self, stream: &TcpStream) -> bool {
        (self.0)(stream)
    }
}

impl std::fmt::Debug for Hook {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hook").finish_non_exhaustive()
    }
}
