//! Paces one client's calls to the key-value service.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_core::pace::{Backoff, Bucket};

use crate::kv::{Kv, KvError};

/// First wait after a failed call, before jitter.
const LEAST: Duration = Duration::from_millis(500);
/// Longest wait after a failed call, before jitter.
const MOST: Duration = Duration::from_secs(4);
/// Calls a second, at most.
const RATE: f64 = 2.0;
/// Calls after a quiet time, at most.
const BURST: f64 = 6.0;

#[derive(Debug)]
struct Pace {
    backoff: Backoff,
    bucket: Bucket,
}

/// A client whose calls are limited, and spread out while the service fails.
#[derive(Debug)]
pub struct Paced {
    kv: Kv,
    pace: Mutex<Pace>,
}

impl Paced {
    /// Paces the calls of `kv`.
    pub fn new(kv: Kv) -> Self {
        let backoff = Backoff::new(LEAST, MOST);
        let bucket = Bucket::new(RATE, BURST, Instant::now());
        Self { kv, pace: Mutex::new(Pace { backoff, bucket }) }
    }

    /// Returns whether a call may be made now.
    pub fn ready(&self) -> bool {
        self.pace().backoff.ready(Instant::now())
    }

    /// Makes a call unless the limit or the back-off forbids it.
    ///
    /// # Errors
    ///
    /// As the call; [`KvError::Unavailable`] when it was not made.
    pub fn call<T>(&self, work: impl FnOnce(&Kv) -> Result<T, KvError>) -> Result<T, KvError> {
        self.admit()?;
        let result = work(&self.kv);
        let failed = matches!(result, Err(KvError::Unavailable(_) | KvError::Unknown(_)));
        self.note(!failed);
        result
    }

    /// Notes whether what a call gave could be used.
    pub fn note(&self, worked: bool) {
        let mut pace = self.pace();
        if worked {
            pace.backoff.succeeded();
        } else {
            pace.backoff.failed(Instant::now(), rand::random());
        }
    }

    fn admit(&self) -> Result<(), KvError> {
        let now = Instant::now();
        let mut pace = self.pace();
        if pace.backoff.ready(now) && pace.bucket.take(now) {
            Ok(())
        } else {
            Err(KvError::Unavailable("the call was held back".to_owned()))
        }
    }

    fn pace(&self) -> MutexGuard<'_, Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
