//! How a call to a target failed, and how far it may have got.

use std::fmt;

/// Failure of a call to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No byte of the request reached the target.
    NotSent(String),
    /// The target refused before running; `leaving` tells that it goes away.
    Refused {
        /// Whether the target takes no new work any more.
        leaving: bool,
        /// What it said.
        text: String,
    },
    /// The target answered that the request is wrong.
    Rejected {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        text: String,
    },
    /// The engine did not start its answer at the offset that was asked for.
    ResumeUnsupported,
    /// The call broke after the request may have reached the target.
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
            Self::OutcomeUnknown(text) => write!(f, "broken: {text}"),
        }
    }
}

impl std::error::Error for CallError {}
