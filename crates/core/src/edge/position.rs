//! Order of what was read from the store.
//!
//! A store that comes back from a copy gives out revisions again. Its era rises by one each
//! time, so that positions are ordered by era first.

/// A point in the history of the store.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of times that the store came back from a copy; 0 if it does not state it.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl Position {
    /// Returns the position with a revision of the same era.
    #[must_use]
    pub fn at(self, revision: u64) -> Self {
        Self { revision, ..self }
    }
}
