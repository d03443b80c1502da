//! The parts of an instance that run beside the requests.

pub mod configure;
pub mod contacts;
pub mod groups;
pub mod listing;
pub mod memory;
pub mod orders;
pub mod peers;
pub mod poll;
pub mod reclaim;
pub mod records;

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Stack of a part's thread, in bytes.
const STACK: usize = 512 * 1024;
/// Calls that a part makes at once, at most.
const LANES: usize = 8;

/// Starts the thread of a part.
///
/// # Errors
///
/// Fails when no thread can be started.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).stack_size(STACK).spawn(run).map(drop)
}

/// Runs `call` for each item, several at once, and waits for all.
///
/// One target that does not answer thus holds up only its own lane.
pub(crate) fn each<T: Sync>(items: &[T], call: impl Fn(&T) + Sync) {
    let next = AtomicUsize::new(0);
    let lane = || {
        while let Some(item) = items.get(next.fetch_add(1, Ordering::Relaxed)) {
            call(item);
        }
    };
    thread::scope(|scope| {
        for _ in 1..items.len().min(LANES) {
            let builder = thread::Builder::new().name("lane".to_owned()).stack_size(STACK);
            if builder.spawn_scoped(scope, lane).is_err() {
                // The lanes that run take over the rest.
                break;
            }
        }
        lane();
    });
}
