//! Error kinds and the answer that a caller gets for each.
//!
//! A kind determines the whole answer: status, code, whether the answer
//! guarantees that nothing ran, and whether a retry can succeed. Two failures
//! that differ in any of these are two kinds.

use std::fmt;
use std::time::Duration;

/// Why a request got no successful answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// The request could not be understood.
    BadRequest,
    /// The body or the header exceeds its limit.
    TooLarge,
    /// The caller was too slow in sending its request.
    SlowRequest,
    /// No such path, model or service.
    NotFound,
    /// The key belongs to no workspace.
    UnknownKey,
    /// The workspace is not in the configuration.
    UnknownWorkspace,
    /// No class of work accepts the request.
    NoClass,
    /// The zone can never serve a prompt of this length.
    NeverFits,
    /// The workspace has reached its limit of requests in flight.
    WorkspaceLimit,
    /// The queue of the class is full.
    QueueFull,
    /// The deadline cannot be met according to the current estimate.
    TooLate,
    /// The deadline passed while the request waited in the queue.
    QueueTimeout,
    /// No target can serve the request now.
    NoTarget,
    /// A part of the prompt has crashed several targets.
    Quarantined,
    /// The instance has no configuration yet.
    NotReady,
    /// The instance is stopping.
    Stopping,
    /// The idempotency record could not be written, so nothing was sent.
    RecordUnavailable,
    /// A request with the same identifier is still running.
    Running,
    /// A request with the same identifier was sent and its outcome is unknown.
    OutcomeUnknown,
    /// A request with the same identifier ran and its answer was not stored.
    AlreadyRan,
    /// The identifier belongs to another request.
    Mismatch,
    /// The target rejected the request as invalid; it may have run in part.
    Rejected,
    /// Every target tried refused the request before running it.
    Refused,
    /// The target failed after the request may have reached it.
    TargetFailed,
    /// The answer ended before its end event and could not be resumed.
    CutAnswer,
    /// The deadline passed after the request was sent.
    RunTimeout,
    /// The caller disconnected or read too slowly.
    CallerGone,
    /// An internal error after the request may have been sent.
    Internal,
}

/// Whether and when a caller may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// The same request will fail again.
    Never,
    /// A retry may succeed after this time, or a longer computed one.
    After(Duration),
}

/// The answer to one kind of failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// Kind of failure.
    pub kind: Kind,
    /// HTTP status.
    pub status: u16,
    /// Stable code in the error body.
    pub code: &'static str,
    /// Whether the answer guarantees that no target ran any part of the request.
    pub not_run: bool,
    /// Whether and when to retry.
    pub retry: Retry,
}

const SOON: Retry = Retry::After(Duration::from_secs(1));
/// Another instance takes the request right away.
const ELSEWHERE: Retry = Retry::After(Duration::from_millis(100));
const LATER: Retry = Retry::After(Duration::from_secs(5));
const NEVER: Retry = Retry::Never;

const fn row(kind: Kind, status: u16, code: &'static str, not_run: bool, retry: Retry) -> Row {
    Row { kind, status, code, not_run, retry }
}

/// One row for each kind, in the order of [`Kind`].
pub const TABLE: [Row; 28] = [
    row(Kind::BadRequest, 400, "bad_request", true, NEVER),
    row(Kind::TooLarge, 413, "too_large", true, NEVER),
    row(Kind::SlowRequest, 408, "slow_request", true, SOON),
    row(Kind::NotFound, 404, "not_found", true, NEVER),
    row(Kind::UnknownKey, 401, "unknown_key", true, NEVER),
    row(Kind::UnknownWorkspace, 403, "unknown_workspace", true, NEVER),
    row(Kind::NoClass, 403, "no_class", true, NEVER),
    row(Kind::NeverFits, 422, "never_fits", true, NEVER),
    row(Kind::WorkspaceLimit, 429, "workspace_limit", true, SOON),
    row(Kind::QueueFull, 429, "queue_full", true, SOON),
    row(Kind::TooLate, 503, "too_late", true, SOON),
    row(Kind::QueueTimeout, 503, "queue_timeout", true, SOON),
    row(Kind::NoTarget, 503, "no_target", true, SOON),
    row(Kind::Quarantined, 503, "quarantined", true, LATER),
    row(Kind::NotReady, 503, "not_ready", true, SOON),
    row(Kind::Stopping, 503, "stopping", true, ELSEWHERE),
    row(Kind::RecordUnavailable, 503, "record_unavailable", true, LATER),
    row(Kind::Running, 409, "running", false, SOON),
    row(Kind::OutcomeUnknown, 409, "outcome_unknown", false, NEVER),
    row(Kind::AlreadyRan, 409, "already_ran", false, NEVER),
    row(Kind::Mismatch, 409, "id_mismatch", false, NEVER),
    row(Kind::Rejected, 400, "rejected", false, NEVER),
    row(Kind::Refused, 503, "refused", true, SOON),
    row(Kind::TargetFailed, 502, "target_failed", false, SOON),
    row(Kind::CutAnswer, 502, "cut_answer", false, SOON),
    row(Kind::RunTimeout, 504, "run_timeout", false, LATER),
    row(Kind::CallerGone, 499, "caller_gone", false, NEVER),
    row(Kind::Internal, 500, "internal", false, LATER),
];

impl Kind {
    /// Returns the row of the table for this kind.
    pub fn row(self) -> &'static Row {
        &TABLE[self as usize]
    }
}

/// A failed request: its kind, a readable sentence and the retry time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Kind, which determines the answer.
    pub kind: Kind,
    /// One sentence that says what happened.
    pub detail: String,
    /// Computed retry time; used if longer than that of the kind.
    pub retry: Option<Duration>,
}

impl Failure {
    /// Builds a failure without a computed retry time.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry: None }
    }

    /// Sets the computed retry time.
    #[must_use]
    pub fn after(mut self, retry: Duration) -> Self {
        self.retry = Some(retry);
        self
    }

    /// Adds jitter to a retry time that was not computed.
    ///
    /// `random` is from 0 to 1. Callers that were refused at the same moment
    /// should not all retry at the same moment.
    #[must_use]
    pub fn with_jitter(self, random: f64) -> Self {
        match self.kind.row().retry {
            Retry::After(min) if self.retry.is_none() => {
                self.after(min.mul_f64(1.0 + random.clamp(0.0, 1.0)))
            }
            Retry::After(_) | Retry::Never => self,
        }
    }

    /// Returns the time after which the caller may retry, or `None` for never.
    pub fn retry_after(&self) -> Option<Duration> {
        match self.kind.row().retry {
            Retry::Never => None,
            Retry::After(min) => Some(self.retry.unwrap_or(min).max(min)),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.row().code, self.detail)
    }
}

impl std::error::Error for Failure {}
