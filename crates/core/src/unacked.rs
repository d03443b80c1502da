//! Messages to a peer that it has not acknowledged, and when their link counts as silent.
//!
//! Answers the pattern of many connections that fall silent at once, without a reset, while
//! a change is passed on: a question is lost on the link of the one that asks, then its answer
//! on that of the one that answers, and each loss is noticed only by waiting for it. Messages
//! that may arrive twice are sent again over the next link, so that nobody has to ask again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Time within which a message is acknowledged, besides the time for its bytes. A question
/// and its answer may both be lost within the second in which a change is to be passed on.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Least rate of a link in bytes a second: small machines send large messages to many peers
/// at once.
const MIN_RATE: usize = 32 * 1024;
/// Number of links over which a message is sent before it is dropped.
const MAX_SENDS: u32 = 3;
/// Maximum size of the messages kept for sending them again.
const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;

/// An encoded message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Encoded form.
    pub bytes: Bytes,
    /// Whether it may arrive twice.
    pub repeatable: bool,
}

#[derive(Debug)]
struct Sent {
    /// `None` if it is not sent again.
    message: Option<Message>,
    sends: u32,
    /// When its bytes have arrived at the latest over a link that works.
    transferred: Instant,
}

/// Messages to one peer that are not acknowledged, over one link after the other.
#[derive(Debug, Default)]
pub struct Unacked {
    sent: VecDeque<Sent>,
    kept_bytes: usize,
    /// Whether the peer has acknowledged anything; former versions never do.
    acknowledges: bool,
    last_ack: Option<Instant>,
}

impl Unacked {
    /// Records that a message is sent, for the `sends`th time.
    pub fn sent(&mut self, message: Message, sends: u32, now: Instant) {
        let len = message.bytes.len();
        let begin = self.sent.back().map_or(now, |last| last.transferred.max(now));
        let repeated =
            message.repeatable && sends < MAX_SENDS && self.kept_bytes + len <= MAX_KEPT_BYTES;
        self.kept_bytes += if repeated { len } else { 0 };
        self.sent.push_back(Sent {
            message: repeated.then_some(message),
            sends,
            transferred: begin + transfer_time(len),
        });
    }

    /// Records an acknowledgement of the oldest message; returns whether there is one.
    pub fn acknowledge(&mut self, now: Instant) -> bool {
        self.acknowledges = true;
        self.last_ack = Some(now);
        let Some(oldest) = self.sent.pop_front() else { return false };
        self.kept_bytes -= oldest.message.map_or(0, |m| m.bytes.len());
        true
    }

    /// Returns when the link counts as silent; `None` while everything is acknowledged.
    ///
    /// Messages that are sent later do not delay it.
    pub fn silent_at(&self) -> Option<Instant> {
        let oldest = self.sent.front()?.transferred;
        Some(self.last_ack.map_or(oldest, |at| oldest.max(at)) + ACK_TIMEOUT)
    }

    /// Returns the number of messages that are not acknowledged.
    pub fn count(&self) -> usize {
        self.sent.len()
    }

    /// Forgets the messages of a link that has ended; returns those to be sent again, each with
    /// the number of times that it was sent.
    pub fn take_lost(&mut self) -> Vec<(Message, u32)> {
        self.kept_bytes = 0;
        self.last_ack = None;
        let lost = std::mem::take(&mut self.sent);
        if !self.acknowledges {
            return Vec::new();
        }
        lost.into_iter().filter_map(|sent| Some((sent.message?, sent.sends))).collect()
    }
}

/// Returns the longest time in which `len` bytes are sent over a link that works.
fn transfer_time(len: usize) -> Duration {
    Duration::from_secs(1).mul_f64(len as f64 / MIN_RATE as f64)
}
