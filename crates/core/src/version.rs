//! The active configuration version of an instance, which never decreases.

use crate::ids::ConfigVersion;

/// Head of a configuration: its version and the digest of its text.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Head {
    /// Version, 0 for none.
    pub version: ConfigVersion,
    /// Digest of the configuration text.
    pub digest: u64,
}

/// Result of comparing a received head with the active one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadComparison {
    /// It is newer: its text has to be fetched.
    Newer,
    /// It is the active one.
    Same,
    /// It is older: the sender should receive the active one.
    Older,
    /// It has the same version and another digest: operators have to act.
    Conflict,
}

/// Head of the active configuration; its version never decreases.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActiveHead {
    head: Head,
}

impl ActiveHead {
    /// Returns the active head; version 0 means none.
    pub fn head(&self) -> Head {
        self.head
    }

    /// Compares a received head with the active one.
    pub fn compare(&self, head: Head) -> HeadComparison {
        match head.version.cmp(&self.head.version) {
            std::cmp::Ordering::Greater => HeadComparison::Newer,
            std::cmp::Ordering::Less => HeadComparison::Older,
            std::cmp::Ordering::Equal if head.digest == self.head.digest => HeadComparison::Same,
            std::cmp::Ordering::Equal => HeadComparison::Conflict,
        }
    }

    /// Activates `head` if it is newer; returns whether it did.
    pub fn install(&mut self, head: Head) -> bool {
        let newer = self.compare(head) == HeadComparison::Newer;
        if newer {
            self.head = head;
        }
        newer
    }
}
