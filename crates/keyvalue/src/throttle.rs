//! Limits the rate of one client's calls to the key-value service.

use std::sync::{Mutex, MutexGuard, PoisonError};
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

#[derive(Debug)]
struct Limits {
    backoff: Backoff,
    bucket: Bucket,
}

/// Client with a rate limit, and a back-off while the service fails.
#[derive(Debug)]
pub struct ThrottledKv {
    kv: KvClient,
    limits: Mutex<Limits>,
}

impl ThrottledKv {
    /// Limits the calls of `kv`.
    pub fn new(kv: KvClient) -> Self {
        let backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let bucket = Bucket::new(CALLS_PER_S, BURST_CALLS, Instant::now());
        Self { kv, limits: Mutex::new(Limits { backoff, bucket }) }
    }

    /// Returns whether the back-off allows a call now.
    pub fn ready(&self) -> bool {
        self.limits().backoff.ready(Instant::now())
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
        let mut limits = self.limits();
        if usable {
            limits.backoff.succeeded();
        } else {
            limits.backoff.failed(Instant::now(), rand::random());
        }
    }

    fn admit(&self) -> Result<(), KvError> {
        let now = Instant::now();
        let mut limits = self.limits();
        if limits.backoff.ready(now) && limits.bucket.take(now) {
            Ok(())
        } else {
            Err(KvError::Unavailable("the call was throttled".to_owned()))
        }
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
