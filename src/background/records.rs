//! Settles idempotency records: outcomes, and rights to send that were given up.
//!
//! One thread writes them one after the other, so that an instance never
//! loads the key-value service with more than one such write at a time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_core::claim::{Settlement, after_conflict};
use mimosapass_core::idempotency::{LEASE_WINDOW, RETENTION, Record, Revision, State};
use mimosapass_core::pace::Backoff;
use mimosapass_keyvalue::kv::{KvClient, KvError, LeaseId};

use crate::node::Node;

/// Records that may wait to be settled.
const MOST: usize = 4096;
/// First pause after a failed call.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// A record to be settled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Key of the record.
    pub key: String,
    /// Record as its writer last wrote it.
    pub record: Record,
    /// Revision at which it was last written, or tried to be.
    pub revision: Revision,
    /// Lease on which it hangs.
    pub lease: LeaseId,
}

/// A lease that new records hang on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Identifier.
    pub id: LeaseId,
    begun: Instant,
}

/// Records of one instance that wait to be settled, and their lease.
#[derive(Debug)]
pub struct Records {
    jobs: SyncSender<Job>,
    unsettled: AtomicUsize,
    lease: Mutex<Option<Lease>>,
    backoff: Mutex<Backoff>,
}

impl Records {
    /// Builds the queue of records and its reading end for [`run`].
    pub fn new() -> (Self, Receiver<Job>) {
        let (jobs, inbox) = sync_channel(MOST);
        let backoff = Mutex::new(Backoff::new(PAUSE, LONGEST_PAUSE));
        (Self { jobs, unsettled: AtomicUsize::new(0), lease: Mutex::new(None), backoff }, inbox)
    }

    /// Has `state` written in the background.
    pub fn settle(&self, mut job: Job, state: State) {
        job.record.state = state;
        self.unsettled.fetch_add(1, Ordering::SeqCst);
        if let Err(e) = self.jobs.try_send(job) {
            self.unsettled.fetch_sub(1, Ordering::SeqCst);
            // The record goes on to say that it may have been sent.
            log::error!("records: a record is not settled: {e}.");
        }
    }

    /// Returns how many records wait.
    pub fn unsettled(&self) -> usize {
        self.unsettled.load(Ordering::SeqCst)
    }

    /// Returns whether the service may be asked; after a failure it is left alone.
    pub fn is_available(&self) -> bool {
        self.backoff().ready(Instant::now())
    }

    /// Notes whether the service answered.
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

    /// Returns the lease for a new record; each lease serves for one [`LEASE_WINDOW`].
    ///
    /// # Errors
    ///
    /// Says why no lease was granted.
    pub fn lease(&self, kv: &KvClient, time: Duration) -> Result<Lease, String> {
        let fresh = |l: &Lease| l.begun.elapsed() < LEASE_WINDOW;
        if let Some(lease) = self.held().filter(fresh) {
            return Ok(lease);
        }
        let begun = Instant::now();
        let id =
            kv.with_timeout(time).grant(RETENTION + LEASE_WINDOW).map_err(|e| e.to_string())?;
        let lease = Lease { id, begun };
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = Some(lease);
        Ok(lease)
    }

    fn held(&self) -> Option<Lease> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets a lease that the service does not know any more.
    pub fn discard_lease(&self, lease: Lease) {
        let mut held = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        if *held == Some(lease) {
            *held = None;
        }
    }
}

/// Settles records for as long as the process lives.
pub fn run(node: &Arc<Node>, inbox: &Receiver<Job>) {
    while let Ok(job) = inbox.recv() {
        finish(node, job);
        node.records.unsettled.fetch_sub(1, Ordering::SeqCst);
    }
}

fn finish(node: &Node, mut job: Job) {
    let begun = Instant::now();
    let mut pause = PAUSE;
    while begun.elapsed() < RETENTION {
        match attempt(&node.kv, &job) {
            Ok(None) => return,
            Ok(Some(revision)) => job.revision = revision,
            Err(KvError::LeaseExpired) => {
                log::debug!("records: {} has aged out.", job.key);
                return;
            }
            Err(e) => {
                log::debug!("records: {} is not settled yet: {e}.", job.key);
                node.sleep(pause.mul_f64(rand::random_range(0.5..1.5)));
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Tries one write; returns the revision for the next one, if one is needed.
fn attempt(kv: &KvClient, job: &Job) -> Result<Option<Revision>, KvError> {
    let text = serde_json::to_string(&job.record).unwrap_or_default();
    match kv.put(&job.key, &text, job.revision, Some(job.lease)) {
        Ok(_) => Ok(None),
        Err(KvError::Conflict(told)) => after(kv, job, told),
        Err(e) => Err(e),
    }
}

/// Returns the revision for the next write after a conflict at `told`.
fn after(kv: &KvClient, job: &Job, told: Revision) -> Result<Option<Revision>, KvError> {
    let found = kv.get(&job.key)?;
    let record: Option<(Revision, Record)> =
        found.and_then(|e| Some((e.revision, serde_json::from_str(&e.value).ok()?)));
    match after_conflict(&job.record, told, record.as_ref().map(|(at, r)| (*at, r))) {
        Settlement::Done => Ok(None),
        Settlement::Write(revision) => Ok(Some(revision)),
        Settlement::Reread => Err(KvError::OutcomeUnknown("the read was stale".to_owned())),
    }
}
