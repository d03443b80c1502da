//! Why a command failed, and the exit code for it.

use std::fmt;

use mimosapass_core::ids::ConfigVersion;
use mimosapass_operator::edit::EditError;
use mimosapass_operator::store::StoreError;
use mimosapass_operator::yaml::Faults;

/// Why a command failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fail {
    /// Something else, told in one sentence.
    Told(String),
    /// The file has faults.
    Faults(Faults),
    /// Another change came first.
    Lost {
        /// Version that was found.
        found: ConfigVersion,
        /// Both changes, as texts of differences.
        changes: String,
    },
    /// The platform or an instance did not answer.
    Unreachable(String),
    /// Whether the change was accepted is not known.
    Unsettled,
    /// There is no such thing.
    Absent(String),
    /// `diff` found differences.
    Differs,
}

impl Fail {
    /// Returns the exit code, as the help text lists it.
    pub fn code(&self) -> u8 {
        match self {
            Self::Told(_) => 1,
            Self::Faults(_) => 2,
            Self::Lost { .. } => 3,
            Self::Unreachable(_) => 4,
            Self::Unsettled => 5,
            Self::Absent(_) => 6,
            Self::Differs => 7,
        }
    }
}

impl fmt::Display for Fail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Told(text) | Self::Unreachable(text) | Self::Absent(text) => {
                write!(f, "mimosactl: {text}")
            }
            // Faults name file and line, so that editors can follow them.
            Self::Faults(faults) => write!(f, "{faults}"),
            Self::Lost { found, changes } => write!(
                f,
                "{changes}mimosactl: version {found} was applied meanwhile; nothing was changed"
            ),
            Self::Unsettled => write!(f, "mimosactl: {}", StoreError::OutcomeUnknown),
            Self::Differs => write!(f, "mimosactl: the texts differ"),
        }
    }
}

impl From<StoreError> for Fail {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Invalid(faults) => Self::Faults(faults),
            StoreError::Conflict(found) => Self::Lost { found, changes: String::new() },
            StoreError::Kv(_) => Self::Unreachable(error.to_string()),
            StoreError::OutcomeUnknown => Self::Unsettled,
            StoreError::Corrupt(_) => Self::Told(error.to_string()),
        }
    }
}

impl From<EditError> for Fail {
    fn from(error: EditError) -> Self {
        match error {
            EditError::Invalid(faults) => Self::Faults(faults),
            EditError::NoChange(_) | EditError::UnsupportedForm => Self::Told(error.to_string()),
        }
    }
}
