//! Prevents a non-idempotent request from running twice, by a shared record.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mimosapass_core::claim::{Claim, ClaimResult, Step, WriteResult};
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::idempotency::{self, Decision, Record, State, StoredResponse};
use mimosapass_keyvalue::kv::{Entry, KvError};

use crate::background::records::{Job, Lease};
use crate::node::Node;

/// Time limit of one claim, over all its calls to the key-value service.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest `retry-after` while records cannot be written.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Why a request with a record is not sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotSent {
    /// It ran before; this is the stored answer.
    Replay(StoredResponse),
    /// It fails without being sent.
    Refused(Failure),
}

/// Request that a record stands for.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// Service or model path.
    pub service: &'a str,
    /// Identifier that the caller chose.
    pub id: &'a str,
    /// Digest of the request.
    pub digest: u64,
}

/// A request whose record was read and may be claimed.
#[derive(Debug)]
pub struct PendingClaim {
    node: Arc<Node>,
    key: String,
    claim: Claim,
    step: Step,
    request_deadline: Instant,
}

impl PendingClaim {
    /// Reads the record without claiming it.
    ///
    /// # Errors
    ///
    /// The stored answer or the failure; [`Kind::RecordUnavailable`] when the
    /// key-value service does not answer.
    pub fn lookup(
        node: &Arc<Node>,
        identity: RequestIdentity<'_>,
        request_deadline: Instant,
    ) -> Result<Self, NotSent> {
        if !node.records.is_available() {
            return Err(unavailable("the key-value service failed recently"));
        }
        let deadline_ms = unix_ms() + remaining(request_deadline).as_millis() as u64;
        let record = Record {
            token: rand::random(),
            digest: identity.digest,
            deadline_ms,
            state: State::Sending,
        };
        let key = idempotency::key(identity.workspace, identity.service, identity.id);
        let claim = Claim::new(record);
        let mut pending =
            Self { node: Arc::clone(node), key, claim, step: Step::Get, request_deadline };
        let read = pending.read(pending.claim_deadline());
        node.records.record_result(read.is_ok());
        let found = read.map_err(|e| unavailable(&e.to_string()))?;
        pending.step = pending.on_read(found);
        match pending.step.clone() {
            Step::End(result) => Err(not_sent(result)),
            Step::Get | Step::Put(_) => Ok(pending),
        }
    }

    /// Writes the record, after which the request may be sent.
    ///
    /// # Errors
    ///
    /// As [`PendingClaim::lookup`].
    pub fn claim(mut self) -> Result<Arc<SendGuard>, NotSent> {
        let deadline = self.claim_deadline();
        let lease = self
            .node
            .records
            .lease(&self.node.kv, remaining(deadline))
            .map_err(|e| unavailable(&e))?;
        let result = self.run_claim(deadline, lease);
        let job = |revision| Job {
            key: self.key.clone(),
            record: self.claim.record().clone(),
            revision,
            lease: lease.id,
        };
        self.node.records.record_result(result != ClaimResult::Unavailable);
        let ClaimResult::Won(revision) = result else {
            // The write may still take effect and would block the next try.
            if let Some(revision) = self.claim.unconfirmed_write() {
                self.node.records.settle(job(revision), State::Unsent);
            }
            return Err(not_sent(result));
        };
        let node = Arc::clone(&self.node);
        let guard = SendGuard { node, job: job(revision), state: Mutex::new(State::Unsent) };
        if remaining(self.request_deadline).is_zero() {
            let text = "the deadline passed before the request was sent";
            return Err(NotSent::Refused(Failure::new(Kind::QueueTimeout, text)));
        }
        Ok(Arc::new(guard))
    }

    fn run_claim(&mut self, deadline: Instant, lease: Lease) -> ClaimResult {
        let mut step = self.step.clone();
        while !remaining(deadline).is_zero() {
            step = match step {
                Step::End(result) => return result,
                Step::Put(revision) => self.write(revision, deadline, lease),
                Step::Get => match self.read(deadline) {
                    Ok(found) => self.on_read(found),
                    Err(KvError::OutcomeUnknown(_)) => Step::Get,
                    Err(_) => Step::End(ClaimResult::Unavailable),
                },
            };
        }
        match step {
            Step::End(result) => result,
            Step::Get | Step::Put(_) => ClaimResult::Unavailable,
        }
    }

    fn write(&mut self, revision: u64, deadline: Instant, lease: Lease) -> Step {
        let text = serde_json::to_string(self.claim.record()).unwrap_or_default();
        let kv = self.node.kv.with_timeout(remaining(deadline));
        let result = match kv.put(&self.key, &text, revision, Some(lease.id)) {
            Ok(revision) => WriteResult::Done(revision),
            Err(KvError::Conflict(_)) => WriteResult::Conflict,
            Err(KvError::Unavailable(_)) => WriteResult::NotApplied,
            Err(KvError::OutcomeUnknown(_)) => WriteResult::Unknown,
            Err(KvError::LeaseExpired) => {
                self.node.records.discard_lease(lease);
                WriteResult::NotApplied
            }
        };
        self.claim.on_write(result)
    }

    fn read(&self, deadline: Instant) -> Result<Option<Entry>, KvError> {
        self.node.kv.with_timeout(remaining(deadline)).get(&self.key)
    }

    fn on_read(&mut self, found: Option<Entry>) -> Step {
        let Some(entry) = found else { return self.claim.on_read(None, unix_ms()) };
        match serde_json::from_str(&entry.value) {
            Ok(record) => self.claim.on_read(Some((entry.revision, &record)), unix_ms()),
            Err(e) => {
                log::error!("idempotency: the record {} cannot be parsed: {e}.", self.key);
                Step::End(ClaimResult::Lost(Decision::OutcomeUnknown))
            }
        }
    }

    /// Returns the end of the claim, which may take half of the remaining time.
    fn claim_deadline(&self) -> Instant {
        Instant::now() + CLAIM_TIMEOUT.min(remaining(self.request_deadline) / 2)
    }
}

/// A claimed record, which allows its request to be sent.
///
/// Dropping the last reference before sending releases the claim.
#[derive(Debug)]
pub struct SendGuard {
    node: Arc<Node>,
    job: Job,
    state: Mutex<State>,
}

impl SendGuard {
    /// Marks the request as being sent.
    pub fn mark_sending(&self) {
        self.set_state(State::Sending);
    }

    /// Marks that certainly no target ran the request.
    pub fn mark_not_run(&self) {
        self.set_state(State::Unsent);
    }

    /// Writes the outcome of the request to its record in the background.
    pub fn record_outcome(&self, state: State) {
        self.set_state(State::Sending);
        self.node.records.settle(self.job.clone(), state);
    }

    fn set_state(&self, state: State) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let state = self.state.get_mut().unwrap_or_else(PoisonError::into_inner);
        if *state == State::Unsent {
            self.node.records.settle(self.job.clone(), State::Unsent);
        }
    }
}

fn not_sent(result: ClaimResult) -> NotSent {
    let (kind, text) = match result {
        ClaimResult::Lost(Decision::Replay(outcome)) => return NotSent::Replay(outcome),
        ClaimResult::Lost(Decision::Ran(status)) => (
            Kind::AlreadyRan,
            format!("the request ran, with status {status}; its answer was not stored"),
        ),
        ClaimResult::Lost(Decision::Running) => {
            (Kind::Running, "a request with this identifier may be running".to_owned())
        }
        ClaimResult::Lost(Decision::Mismatch) => {
            (Kind::Mismatch, "another request has this identifier".to_owned())
        }
        ClaimResult::Lost(Decision::OutcomeUnknown | Decision::Send | Decision::Claim)
        | ClaimResult::Won(_) => (
            Kind::OutcomeUnknown,
            "the request may have been sent; its outcome is unknown".to_owned(),
        ),
        ClaimResult::Unavailable => {
            return unavailable("the key-value service did not answer in time");
        }
    };
    NotSent::Refused(Failure::new(kind, text))
}

fn unavailable(why: &str) -> NotSent {
    let text = format!("no idempotency record could be written: {why}");
    let retry_after = MIN_RETRY_AFTER.mul_f64(rand::random_range(1.0..2.0));
    NotSent::Refused(Failure::new(Kind::RecordUnavailable, text).after(retry_after))
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
