//! Relays event streams from targets to callers.
//!
//! Only complete events are relayed, so that a stream that fails within an event can
//! be resumed at another target without lost or repeated events.

use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_target::http::ResponseHead;

use super::attempt;

/// The part of a stream that was sent to the caller.
#[derive(Debug, Default)]
pub struct Progress {
    /// Whether the response head was sent.
    pub begun: bool,
    /// Identifier of the last event that was sent.
    pub last_event: Option<String>,
    /// Number of chunks that were sent; each holds one or more events.
    pub chunks: usize,
    /// When the last chunk was sent.
    pub last_sent: Option<Instant>,
    /// Longest time between two chunks.
    pub max_gap: Duration,
}

impl Progress {
    /// Returns whether the rest of the stream can come from another target.
    pub fn is_resumable(&self) -> bool {
        !self.begun || self.last_event.is_some()
    }
}

/// Sends complete events to the caller; returns whether this succeeded.
pub fn send_events(
    exchange: &mut Exchange<'_>,
    response: &ResponseHead,
    progress: &mut Progress,
    events: &[u8],
) -> bool {
    if !progress.begun {
        progress.begun = true;
        if exchange
            .begin_relayed(response.status, &attempt::end_to_end_headers(response), &[])
            .is_err()
        {
            return false;
        }
    }
    if events.is_empty() {
        return true;
    }
    if let Some(id) = last_event_id(events) {
        progress.last_event = Some(id);
    }
    let now = Instant::now();
    progress.max_gap =
        progress.max_gap.max(progress.last_sent.map_or(Duration::ZERO, |at| now - at));
    progress.last_sent = Some(now);
    progress.chunks += 1;
    exchange.send(events).is_ok()
}

/// Returns the length of the complete events at the start of `bytes`.
pub fn complete_length(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

/// Returns the identifier of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|b| *b == b'\n').rev();
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok().map(|id| id.trim().to_owned())
}
