//! Errors of commands and their exit codes.

use std::fmt;

use mimosapass_core::ids::ConfigVersion;
use mimosapass_operator::edit::EditError;
use mimosapass_operator::store::StoreError;
use mimosapass_operator::yaml::Faults;

/// Reason why a command failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandError {
    /// Any other failure, described in one sentence.
    Other(String),
    /// The file has faults.
    Invalid(Faults),
    /// Another change was applied first.
    Conflict {
        /// Version found in the store.
        found: ConfigVersion,
        /// Both changes as unified diffs.
        changes: String,
    },
    /// The platform or an instance did not answer.
    Unreachable(String),
    /// It is unknown whether the change was accepted.
    OutcomeUnknown,
    /// The request or configuration does not exist.
    NotFound(String),
    /// `diff` found differences.
    Differs,
}

impl CommandError {
    /// Returns the exit code listed in the help text.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Other(_) => 1,
            Self::Invalid(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Unreachable(_) => 4,
            Self::OutcomeUnknown => 5,
            Self::NotFound(_) => 6,
            Self::Differs => 7,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Other(text) | Self::Unreachable(text) | Self::NotFound(text) => {
                write!(f, "mimosactl: {text}")
            }
            // No `mimosactl:` prefix, so that editors recognize `file:line:`.
            Self::Invalid(faults) => write!(f, "{faults}"),
            Self::Conflict { found, changes } => write!(
                f,
                "{changes}mimosactl: version {found} was applied in the meantime; \
                 nothing was changed"
            ),
            Self::OutcomeUnknown => write!(f, "mimosactl: {}", StoreError::OutcomeUnknown),
            Self::Differs => write!(f, "mimosactl: the texts differ"),
        }
    }
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Invalid(faults) => Self::Invalid(faults),
            StoreError::Conflict(found) => Self::Conflict { found, changes: String::new() },
            StoreError::Kv(_) => Self::Unreachable(error.to_string()),
            StoreError::OutcomeUnknown => Self::OutcomeUnknown,
            StoreError::Corrupt(_) => Self::Other(error.to_string()),
        }
    }
}

impl From<EditError> for CommandError {
    fn from(error: EditError) -> Self {
        match error {
            EditError::Invalid(faults) => Self::Invalid(faults),
            EditError::NoChange(_) | EditError::UnsupportedForm => Self::Other(error.to_string()),
        }
    }
}
