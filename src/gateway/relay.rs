//! Relays event streams from targets to callers.
//!
//! Only complete events are relayed, so that a stream that fails within an event can
//! be resumed at another target without lost or repeated events.

use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_target::http::{Connection, Framing, ResponseHead};

use super::attempt::{self, StreamPart};

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

/// How the relay of a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The target failed or fell silent; the text says how.
    Failed(&'static str),
    /// The caller disconnected or reads too slowly.
    CallerGone,
    /// The request's deadline passed.
    Expired,
}

/// Time limits of a stream.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// Longest silence of the target, if the request may be retried.
    pub silence: Option<Duration>,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Relays a stream until it ends.
///
/// `on_event` is called for each received part that completes an event, with the time
/// since the previous one, `None` at the first. Without a limit on silence, or if `give_up`
/// returns that no retry is allowed, the relay waits for the target until the deadline.
pub fn relay(
    exchange: &mut Exchange<'_>,
    connection: &mut Connection,
    response: &ResponseHead,
    progress: &mut Progress,
    limits: RelayLimits,
    mut on_event: impl FnMut(Option<Duration>),
    mut give_up: impl FnMut() -> bool,
) -> RelayEnd {
    let RelayLimits { mut silence, deadline } = limits;
    let mut framing = response.framing;
    let mut partial: Vec<u8> = Vec::new();
    let mut last_event: Option<Instant> = None;
    loop {
        let until = silence.map_or(deadline, |silence| deadline.min(Instant::now() + silence));
        match attempt::next_part(exchange, connection, &mut framing, until) {
            StreamPart::Data(data) => {
                partial.extend(data);
                let Some(length) = complete_length(&partial) else { continue };
                let now = Instant::now();
                on_event(last_event.map(|at| now.saturating_duration_since(at)));
                last_event = Some(now);
                if !send_events(exchange, response, progress, &partial[..length]) {
                    return RelayEnd::CallerGone;
                }
                partial.drain(..length);
            }
            StreamPart::End if !partial.is_empty() && framing == Framing::UntilClose => {
                return RelayEnd::Failed("the stream ended within an event");
            }
            StreamPart::End => {
                let rest = std::mem::take(&mut partial);
                let sent = send_events(exchange, response, progress, &rest);
                return if sent { RelayEnd::Complete } else { RelayEnd::CallerGone };
            }
            StreamPart::CallerGone => return RelayEnd::CallerGone,
            StreamPart::Failed(_) | StreamPart::Silent if Instant::now() >= deadline => {
                return RelayEnd::Expired;
            }
            StreamPart::Silent if progress.is_resumable() && give_up() => {
                return RelayEnd::Failed("the target did not respond in time");
            }
            StreamPart::Silent => silence = None,
            StreamPart::Failed(error) => return RelayEnd::Failed(error),
        }
    }
}

/// Sends complete events to the caller; returns whether this succeeded.
fn send_events(
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
fn complete_length(bytes: &[u8]) -> Option<usize> {
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
