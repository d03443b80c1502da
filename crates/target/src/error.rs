//! Errors of calls to targets, by how far the call may have got.

use std::fmt;

/// Error of a call to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No byte of the request reached the target.
    NotSent(String),
    /// The target refused the call before running it.
    Refused {
        /// Whether the target no longer accepts new work.
        leaving: bool,
        /// Body of the response.
        text: String,
    },
    /// The target rejected the request as invalid.
    Rejected {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        text: String,
    },
    /// The engine did not start its output at the requested offset.
    ResumeUnsupported,
    /// The call failed after the request may have reached the target.
    OutcomeUnknown(String),
}

impl CallError {
    /// Returns whether it is certain that the target ran nothing.
    pub fn not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused { .. })
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(text) => write!(f, "not sent: {text}"),
            Self::Refused { text, .. } => write!(f, "refused: {text}"),
            Self::Rejected { status, text } => write!(f, "rejected with {status}: {text}"),
            Self::ResumeUnsupported => f.write_str("the engine cannot resume at an offset"),
            Self::OutcomeUnknown(text) => write!(f, "call failed, outcome unknown: {text}"),
        }
    }
}

impl std::error::Error for CallError {}
