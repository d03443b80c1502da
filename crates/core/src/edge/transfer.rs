//! How long an answer may take to arrive.
//!
//! Answers the pattern of large configurations written in quick succession. With one time
//! limit for answers of any size, a large one over a narrow or busy link is given up before
//! it is complete, each time anew, and the bytes that did arrive are lost.

use std::time::Duration;

/// Rate in bytes a second that is a sign of progress: an answer of a megabyte still arrives
/// within the few seconds in which a change has to be in force.
pub const MIN_RATE: usize = 256 * 1024;

/// Returns the time within which an answer must be complete, of which `received` bytes have
/// arrived; `base` is the time limit of an empty one.
pub fn time_limit(base: Duration, received: usize) -> Duration {
    base + Duration::from_secs(1).mul_f64(received as f64 / MIN_RATE as f64)
}
