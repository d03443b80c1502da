//! Background tasks of an instance, each on a thread of its own.

pub mod config_watch;
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

/// Stack size of a background thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;
/// Maximum number of concurrent calls of one task.
const MAX_CALLS: usize = 8;

/// Starts a background thread.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES).spawn(run).map(drop)
}

/// Runs `call` for each item, [`MAX_CALLS`] at a time, and waits for all.
///
/// A target that does not answer thus delays only the calls of one worker.
pub(crate) fn for_each_parallel<T: Sync>(items: &[T], call: impl Fn(&T) + Sync) {
    let next = AtomicUsize::new(0);
    let worker = || {
        while let Some(item) = items.get(next.fetch_add(1, Ordering::Relaxed)) {
            call(item);
        }
    };
    thread::scope(|scope| {
        for _ in 1..items.len().min(MAX_CALLS) {
            let builder = thread::Builder::new().name("lane".to_owned()).stack_size(STACK_BYTES);
            if builder.spawn_scoped(scope, worker).is_err() {
                // The workers that did start handle the remaining items.
                break;
            }
        }
        worker();
    });
}
