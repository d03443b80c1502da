//! Limits the rate of one client's calls to the key-value service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_core::pace::{Backoff, Bucket};

use crate::kv::{KvClient, KvError};

/// Delay after the first failed call, before jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum delay after a failed call, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Sustained calls a second.
const CALLS_PER_S: f64 = 2.0;
/// Maximum burst of calls after an idle time.
const BURST_CALLS: f64 = 6.0;

/// Client with a rate limit, and a back-off while the service fails.
///
/// Each part of an instance has a client of its own. The rate is shared by all of them.
/// The back-off is not: a part that calls often would use every call that a shared one
/// allows, and the others would never learn whether the service answers.
#[derive(Debug)]
pub struct ThrottledKv {
    kv: KvClient,
    bucket: Arc<Mutex<Bucket>>,
    backoff: Mutex<Backoff>,
}

impl ThrottledKv {
    /// Limits the calls of `kv`.
    pub fn new(kv: KvClient) -> Self {
        let bucket = Bucket::new(CALLS_PER_S, BURST_CALLS, Instant::now());
        Self { kv, bucket: Arc::new(Mutex::new(bucket)), backoff: new_backoff() }
    }

    /// Returns a client with the same rate limit and a back-off of its own.
    #[must_use]
    pub fn sharing_rate(&self) -> Self {
        Self { kv: self.kv.clone(), bucket: Arc::clone(&self.bucket), backoff: new_backoff() }
    }

    /// Returns whether the back-off allows a call now.
    pub fn ready(&self) -> bool {
        lock(&self.backoff).ready(Instant::now())
    }

    /// Makes a call unless the rate limit or the back-off forbids it.
    ///
    /// # Errors
    ///
    /// The error of the call; [`KvError::Unavailable`] when it was not made.
    pub fn call<T>(
        &self,
        request: impl FnOnce(&KvClient) -> Result<T, KvError>,
    ) -> Result<T, KvError> {
        self.admit()?;
        let result = request(&self.kv);
        let failed = matches!(result, Err(KvError::Unavailable(_) | KvError::OutcomeUnknown(_)));
        self.record_result(!failed);
        result
    }

    /// Records for the back-off whether the result of a call was usable.
    pub fn record_result(&self, usable: bool) {
        let mut backoff = lock(&self.backoff);
        if usable {
            backoff.succeeded();
        } else {
            backoff.failed(Instant::now(), rand::random());
        }
    }

    fn admit(&self) -> Result<(), KvError> {
        let now = Instant::now();
        if lock(&self.backoff).ready(now) && lock(&self.bucket).take(now) {
            Ok(())
        } else {
            Err(KvError::Unavailable("the call was throttled".to_owned()))
        }
    }
}

fn new_backoff() -> Mutex<Backoff> {
    Mutex::new(Backoff::new(MIN_BACKOFF, MAX_BACKOFF))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
