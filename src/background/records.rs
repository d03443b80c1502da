//! Writes the final states of idempotency records in the background.
//!
//! A final state is the outcome of a request, or that it was not sent after all.
//! One thread writes them in sequence, so that an instance never loads the
//! key-value service with more than one such write at a time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_core::claim::{Settlement, after_conflict};
use mimosapass_core::idempotency::{LEASE_WINDOW, RETENTION, Record, Revision, State};
use mimosapass_core::pace::Backoff;
use mimosapass_keyvalue::kv::{KvClient, KvError, LeaseId};

use crate::node::Node;

/// Maximum number of records that wait to be settled.
const MAX_JOBS: usize = 4096;
/// First pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Maximum pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// A record to be settled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Key of the record.
    pub key: String,
    /// Record as it was last written.
    pub record: Record,
    /// Revision of the last write, or of the last attempted one.
    pub revision: Revision,
    /// Lease that the record expires with.
    pub lease: LeaseId,
}

/// A lease that new records are attached to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Identifier.
    pub id: LeaseId,
    requested_at: Instant,
}

/// Records of one instance to be settled, and the lease of new ones.
#[derive(Debug)]
pub struct Records {
    jobs: SyncSender<Job>,
    unsettled: AtomicUsize,
    lease: Mutex<Option<Lease>>,
    backoff: Mutex<Backoff>,
}

impl Records {
    /// Builds the queue of records and its receiver for [`run`].
    pub fn new() -> (Self, Receiver<Job>) {
        let (jobs, inbox) = sync_channel(MAX_JOBS);
        let backoff = Mutex::new(Backoff::new(MIN_PAUSE, MAX_PAUSE));
        (Self { jobs, unsettled: AtomicUsize::new(0), lease: Mutex::new(None), backoff }, inbox)
    }

    /// Queues `state` to be written in the background.
    pub fn settle(&self, mut job: Job, state: State) {
        job.record.state = state;
        self.unsettled.fetch_add(1, Ordering::SeqCst);
        if let Err(e) = self.jobs.try_send(job) {
            self.unsettled.fetch_sub(1, Ordering::SeqCst);
            // The record still states that the request may have been sent.
            log::error!("records: record not settled, queue limit {MAX_JOBS}: {e}.");
        }
    }

    /// Returns the number of records to be settled.
    pub fn unsettled(&self) -> usize {
        self.unsettled.load(Ordering::SeqCst)
    }

    /// Returns whether the service may be called; `false` during a backoff.
    pub fn is_available(&self) -> bool {
        self.backoff().ready(Instant::now())
    }

    /// Records whether the service answered.
    pub fn record_result(&self, answered: bool) {
        let mut backoff = self.backoff();
        if answered {
            backoff.succeeded();
        } else if backoff.ready(Instant::now()) {
            backoff.failed(Instant::now(), rand::random());
        }
    }

    fn backoff(&self) -> MutexGuard<'_, Backoff> {
        self.backoff.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lease for a new record; each is used for one [`LEASE_WINDOW`].
    ///
    /// # Errors
    ///
    /// Returns why no lease was granted.
    pub fn lease(&self, kv: &KvClient, timeout: Duration) -> Result<Lease, String> {
        let usable = |l: &Lease| l.requested_at.elapsed() < LEASE_WINDOW;
        if let Some(lease) = self.current_lease().filter(usable) {
            return Ok(lease);
        }
        let requested_at = Instant::now();
        let id =
            kv.with_timeout(timeout).grant(RETENTION + LEASE_WINDOW).map_err(|e| e.to_string())?;
        let lease = Lease { id, requested_at };
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = Some(lease);
        Ok(lease)
    }

    fn current_lease(&self) -> Option<Lease> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Discards a lease that the service no longer knows.
    pub fn discard_lease(&self, lease: Lease) {
        let mut current = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        if *current == Some(lease) {
            *current = None;
        }
    }
}

/// Settles records as long as the process runs.
pub fn run(node: &Arc<Node>, inbox: &Receiver<Job>) {
    while let Ok(job) = inbox.recv() {
        write(node, job);
        node.records.unsettled.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Writes a record; repeats failed calls for as long as the record is retained.
fn write(node: &Node, mut job: Job) {
    let started = Instant::now();
    let mut pause = MIN_PAUSE;
    while started.elapsed() < RETENTION {
        match try_write(&node.kv, &job) {
            Ok(None) => return,
            Ok(Some(revision)) => job.revision = revision,
            Err(KvError::LeaseExpired) => {
                log::debug!("records: {} not settled: its lease has expired.", job.key);
                return;
            }
            Err(e) => {
                log::debug!("records: {} not settled yet: {e}.", job.key);
                node.sleep(pause.mul_f64(rand::random_range(0.5..1.5)));
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Attempts one write; returns the revision for the next one if it is needed.
fn try_write(kv: &KvClient, job: &Job) -> Result<Option<Revision>, KvError> {
    let text = serde_json::to_string(&job.record).unwrap_or_default();
    match kv.put(&job.key, &text, job.revision, Some(job.lease)) {
        Ok(_) => Ok(None),
        Err(KvError::Conflict(current)) => resolve_conflict(kv, job, current),
        Err(e) => Err(e),
    }
}

/// Returns the revision for the next write after a conflict at `current`.
fn resolve_conflict(
    kv: &KvClient,
    job: &Job,
    current: Revision,
) -> Result<Option<Revision>, KvError> {
    let found = kv.get(&job.key)?;
    let record: Option<(Revision, Record)> =
        found.and_then(|e| Some((e.revision, serde_json::from_str(&e.value).ok()?)));
    match after_conflict(&job.record, current, record.as_ref().map(|(at, r)| (*at, r))) {
        Settlement::Done => Ok(None),
        Settlement::Write(revision) => Ok(Some(revision)),
        Settlement::Reread => Err(KvError::OutcomeUnknown("the read was stale".to_owned())),
    }
}
