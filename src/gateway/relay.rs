//! Passes a stream on, event by event.
//!
//! Only whole events are passed on, so that a stream that breaks in the middle
//! of an event can go on at another target without a gap or a repeat.

use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_target::http::{Connection, Framing, ResponseHead};

use super::attempt::{self, Next};

/// What a caller has got of a stream.
#[derive(Debug, Default)]
pub struct Progress {
    /// Whether the head of the answer was sent.
    pub begun: bool,
    /// Identifier of the last event that was sent.
    pub last_event: Option<String>,
    /// Pieces that were sent.
    pub pieces: usize,
    /// When the last piece was sent.
    pub last: Option<Instant>,
    /// Longest pause between two pieces.
    pub pause: Duration,
}

/// How the relay of one target's stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The stream is complete.
    Complete,
    /// The target broke off or fell silent; the text says how.
    Cut(&'static str),
    /// The caller left or reads too slowly.
    CallerGone,
    /// The request's time is over.
    Late,
}

/// For how long a stream may go on.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest pause of the target, where another one can be asked.
    pub silence: Option<Duration>,
    /// When the request's time is over.
    pub end: Instant,
}

/// Passes on what a target streams until it ends; `event` is called at each event
/// with the pause since this target's last one, `None` at its first.
///
/// Without `silence` the stream goes on until `end`, however long the target
/// pauses: there is nobody else to ask.
pub fn run(
    exchange: &mut Exchange<'_>,
    connection: &mut Connection,
    reply: &ResponseHead,
    progress: &mut Progress,
    limits: Limits,
    mut event: impl FnMut(Option<Duration>),
) -> End {
    let Limits { silence, end } = limits;
    let mut framing = reply.framing;
    let mut partial: Vec<u8> = Vec::new();
    let mut last: Option<Instant> = None;
    loop {
        let until = silence.map_or(end, |silence| end.min(Instant::now() + silence));
        match attempt::next(exchange, connection, &mut framing, until) {
            Next::Data(data) => {
                partial.extend(data);
                let Some(whole) = boundary(&partial) else { continue };
                let now = Instant::now();
                event(last.map(|at| now.saturating_duration_since(at)));
                last = Some(now);
                if !pass(exchange, reply, progress, &partial[..whole]) {
                    return End::CallerGone;
                }
                partial.drain(..whole);
            }
            Next::End if !partial.is_empty() && framing == Framing::UntilClose => {
                return End::Cut("the stream ended in the middle of an event");
            }
            Next::End => {
                let rest = std::mem::take(&mut partial);
                let taken = pass(exchange, reply, progress, &rest);
                return if taken { End::Complete } else { End::CallerGone };
            }
            Next::CallerGone => return End::CallerGone,
            Next::Cut(_) if Instant::now() >= end => return End::Late,
            Next::Cut(why) => return End::Cut(why),
        }
    }
}

/// Sends whole events to the caller; returns whether it took them.
fn pass(
    exchange: &mut Exchange<'_>,
    reply: &ResponseHead,
    progress: &mut Progress,
    events: &[u8],
) -> bool {
    if !progress.begun {
        progress.begun = true;
        if exchange.begin_relayed(reply.status, &attempt::relayed(reply), &[]).is_err() {
            return false;
        }
    }
    if events.is_empty() {
        return true;
    }
    if let Some(id) = last_id(events) {
        progress.last_event = Some(id);
    }
    let now = Instant::now();
    progress.pause = progress.pause.max(progress.last.map_or(Duration::ZERO, |at| now - at));
    progress.last = Some(now);
    progress.pieces += 1;
    exchange.send(events).is_ok()
}

/// Returns the length of the whole events at the start of `bytes`.
fn boundary(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    plain.max(returns)
}

/// Returns the identifier of the last event that states one.
fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|b| *b == b'\n').rev();
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok().map(|id| id.trim().to_owned())
}
