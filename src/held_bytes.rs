//! The memory that the bodies of all responses take together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which a response is always accepted, so that large ones do not keep out small ones.
const SMALL_BYTES: usize = 64 * 1024;

/// Memory that one response takes; it is given back when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    all: Arc<AtomicUsize>,
    own: usize,
}

impl HeldBytes {
    /// Creates the account of a response in that of all.
    pub fn new(all: &Arc<AtomicUsize>) -> Self {
        Self { all: Arc::clone(all), own: 0 }
    }

    /// Adds bytes; returns whether the response is small or all together stay within `max`.
    pub fn grow(&mut self, bytes: usize, max: usize) -> bool {
        self.own += bytes;
        let all = self.all.fetch_add(bytes, Ordering::SeqCst) + bytes;
        self.own <= SMALL_BYTES || all <= max
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.all.fetch_sub(self.own, Ordering::SeqCst);
    }
}
