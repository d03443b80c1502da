//! The parts of an instance that run beside the requests.

pub mod configure;
pub mod contacts;
pub mod listing;
pub mod orders;
pub mod peers;
pub mod poll;
pub mod reclaim;
pub mod records;

use std::io;
use std::thread;

/// Stack of a part's thread, in bytes.
const STACK: usize = 512 * 1024;

/// Starts the thread of a part.
///
/// # Errors
///
/// Fails when no thread can be started.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).stack_size(STACK).spawn(run).map(drop)
}
