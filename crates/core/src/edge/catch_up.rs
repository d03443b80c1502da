//! When an instance asks its peers for what the store has not told it.
//!
//! Answers the pattern of a whole fleet that starts at once: each instance lists the store, and
//! copies of the same list between instances, asked for again while they are under way, would
//! fill the links of small machines for many times as long as the listings take.

use std::time::Duration;

/// Silence of the store after which peers are asked for what they know. A healthy store
/// answers a watch within 1.7 seconds of the one before.
pub const STORE_SILENCE: Duration = Duration::from_millis(1_900);
/// Time after which changes are asked for again.
pub const CHANGES_TIME: Duration = Duration::from_millis(600);
/// Time after which all targets are asked for again; there may be thousands.
pub const LIST_TIME: Duration = Duration::from_secs(2);

/// Returns whether the store tells this instance nothing at the moment.
///
/// `failing` is whether its last call failed, `last_answer` the time since it last answered,
/// `None` if it never did, and `uptime` the time since the start of the process.
pub fn is_store_silent(failing: bool, last_answer: Option<Duration>, uptime: Duration) -> bool {
    failing || last_answer.unwrap_or(uptime) >= STORE_SILENCE
}

/// Returns whether another request may be sent, `last_request` after the last one.
pub fn may_request(knows_targets: bool, last_request: Option<Duration>) -> bool {
    let answer_time = if knows_targets { CHANGES_TIME } else { LIST_TIME };
    last_request.is_none_or(|at| at >= answer_time)
}
