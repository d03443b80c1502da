//! Keeps a non-idempotent request from running twice, by its record.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mimosapass_core::claim::{Claim, ClaimResult, Step, WriteResult};
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::idempotency::{self, Decision, Record, State, StoredResponse};
use mimosapass_keyvalue::kv::{Entry, KvError};

use crate::background::records::{Job, Lease};
use crate::node::Node;

/// Time for one claim on a record, all calls to the key-value service together.
const CLAIM: Duration = Duration::from_secs(1);
/// Least time after which a caller should come back when records are out.
const BACK: Duration = Duration::from_secs(5);

/// Why a protected request is not sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Halt {
    /// It ran before; this is the first answer.
    Replay(StoredResponse),
    /// It is refused.
    Refuse(Failure),
}

/// What a record is about.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// Service or model path.
    pub service: &'a str,
    /// Identifier that the caller chose.
    pub id: &'a str,
    /// Digest of the request.
    pub digest: u64,
}

/// A request whose record was looked at and may be claimed.
#[derive(Debug)]
pub struct Pending {
    node: Arc<Node>,
    key: String,
    claim: Claim,
    step: Step,
    end: Instant,
}

impl Pending {
    /// Looks at the record before the request waits for anything else.
    ///
    /// # Errors
    ///
    /// Says why the request must not be sent; [`Kind::RecordUnavailable`] when
    /// the key-value service does not answer.
    pub fn look(node: &Arc<Node>, subject: Subject<'_>, end: Instant) -> Result<Self, Halt> {
        if !node.records.is_available() {
            return Err(unavailable("the key-value service failed a moment ago"));
        }
        let deadline_ms = millis() + left(end).as_millis() as u64;
        let mine = Record {
            token: rand::random(),
            digest: subject.digest,
            deadline_ms,
            state: State::Sending,
        };
        let key = idempotency::key(subject.workspace, subject.service, subject.id);
        let claim = Claim::new(mine);
        let mut pending = Self { node: Arc::clone(node), key, claim, step: Step::Get, end };
        let read = pending.read(pending.limit());
        node.records.record_result(read.is_ok());
        let found = read.map_err(|e| unavailable(&e.to_string()))?;
        pending.step = pending.found(found);
        match pending.step.clone() {
            Step::End(end) => Err(halt(end)),
            Step::Get | Step::Put(_) => Ok(pending),
        }
    }

    /// Writes the record, after which the request may be sent.
    ///
    /// # Errors
    ///
    /// As [`Pending::look`].
    pub fn win(mut self) -> Result<Arc<Guard>, Halt> {
        let until = self.limit();
        let lease =
            self.node.records.lease(&self.node.kv, left(until)).map_err(|e| unavailable(&e))?;
        let end = self.drive(until, lease);
        let job = |revision| Job {
            key: self.key.clone(),
            record: self.claim.record().clone(),
            revision,
            lease: lease.id,
        };
        self.node.records.record_result(end != ClaimResult::Unavailable);
        let ClaimResult::Won(revision) = end else {
            // The write may still take effect; it must not block the next try.
            if let Some(revision) = self.claim.unconfirmed_write() {
                self.node.records.settle(job(revision), State::Unsent);
            }
            return Err(halt(end));
        };
        let node = Arc::clone(&self.node);
        let guard = Guard { node, job: job(revision), state: Mutex::new(State::Unsent) };
        if left(self.end).is_zero() {
            let text = "the deadline passed before it was sent";
            return Err(Halt::Refuse(Failure::new(Kind::QueueTimeout, text)));
        }
        Ok(Arc::new(guard))
    }

    fn drive(&mut self, until: Instant, lease: Lease) -> ClaimResult {
        let mut step = self.step.clone();
        while !left(until).is_zero() {
            step = match step {
                Step::End(end) => return end,
                Step::Put(revision) => self.write(revision, until, lease),
                Step::Get => match self.read(until) {
                    Ok(found) => self.found(found),
                    Err(KvError::OutcomeUnknown(_)) => Step::Get,
                    Err(_) => Step::End(ClaimResult::Unavailable),
                },
            };
        }
        match step {
            Step::End(end) => end,
            Step::Get | Step::Put(_) => ClaimResult::Unavailable,
        }
    }

    fn write(&mut self, revision: u64, until: Instant, lease: Lease) -> Step {
        let text = serde_json::to_string(self.claim.record()).unwrap_or_default();
        let kv = self.node.kv.with_timeout(left(until));
        let wrote = match kv.put(&self.key, &text, revision, Some(lease.id)) {
            Ok(revision) => WriteResult::Done(revision),
            Err(KvError::Conflict(_)) => WriteResult::Conflict,
            Err(KvError::Unavailable(_)) => WriteResult::NotApplied,
            Err(KvError::OutcomeUnknown(_)) => WriteResult::Unknown,
            Err(KvError::LeaseExpired) => {
                self.node.records.discard_lease(lease);
                WriteResult::NotApplied
            }
        };
        self.claim.on_write(wrote)
    }

    fn read(&self, until: Instant) -> Result<Option<Entry>, KvError> {
        self.node.kv.with_timeout(left(until)).get(&self.key)
    }

    fn found(&mut self, found: Option<Entry>) -> Step {
        let Some(entry) = found else { return self.claim.on_read(None, millis()) };
        match serde_json::from_str(&entry.value) {
            Ok(record) => self.claim.on_read(Some((entry.revision, &record)), millis()),
            Err(e) => {
                log::error!("once: the record {} cannot be read: {e}.", self.key);
                Step::End(ClaimResult::Lost(Decision::OutcomeUnknown))
            }
        }
    }

    /// Returns when a claim is given up: it gets at most half of what is left.
    fn limit(&self) -> Instant {
        Instant::now() + CLAIM.min(left(self.end) / 2)
    }
}

/// The right to send one request, and the duty to write what became of it.
///
/// Whoever drops the last reference without having sent gives the right back.
#[derive(Debug)]
pub struct Guard {
    node: Arc<Node>,
    job: Job,
    state: Mutex<State>,
}

impl Guard {
    /// Notes that the request is sent now.
    pub fn sending(&self) {
        self.note(State::Sending);
    }

    /// Notes that it is certain that nothing was run.
    pub fn not_run(&self) {
        self.note(State::Unsent);
    }

    /// Writes beside the record what became of the request.
    pub fn ended(&self, state: State) {
        self.note(State::Sending);
        self.node.records.settle(self.job.clone(), state);
    }

    fn note(&self, state: State) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let state = self.state.get_mut().unwrap_or_else(PoisonError::into_inner);
        if *state == State::Unsent {
            self.node.records.settle(self.job.clone(), State::Unsent);
        }
    }
}

fn halt(end: ClaimResult) -> Halt {
    let (kind, text) = match end {
        ClaimResult::Lost(Decision::Replay(outcome)) => return Halt::Replay(outcome),
        ClaimResult::Lost(Decision::Ran(status)) => {
            (Kind::AlreadyRan, format!("it ran, with status {status}; its answer was not stored"))
        }
        ClaimResult::Lost(Decision::Running) => {
            (Kind::Running, "a request with this identifier may be running".to_owned())
        }
        ClaimResult::Lost(Decision::Mismatch) => {
            (Kind::Mismatch, "this identifier belongs to another request".to_owned())
        }
        ClaimResult::Lost(Decision::OutcomeUnknown | Decision::Send | Decision::Claim)
        | ClaimResult::Won(_) => {
            (Kind::OutcomeUnknown, "it may have been sent; its outcome is unknown".to_owned())
        }
        ClaimResult::Unavailable => return unavailable("no answer in time"),
    };
    Halt::Refuse(Failure::new(kind, text))
}

fn unavailable(why: &str) -> Halt {
    let text = format!("no idempotency record could be written: {why}");
    let back = BACK.mul_f64(rand::random_range(1.0..2.0));
    Halt::Refuse(Failure::new(Kind::RecordUnavailable, text).after(back))
}

fn left(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}

fn millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
