//! Which configuration version is in force on an instance: it only goes up.

use crate::ids::ConfigVersion;

/// Head of a configuration: its version and the digest of its text.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Head {
    /// Version, 0 for none.
    pub version: ConfigVersion,
    /// Digest of the configuration text.
    pub digest: u64,
}

/// What to do with a head that was heard of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadComparison {
    /// It is newer: fetch its text.
    Newer,
    /// It is the one in force.
    Same,
    /// It is older: the teller should be told ours.
    Older,
    /// Same version with another digest: a fault that people must look at.
    Conflict,
}

/// The version in force, which never reverts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActiveHead {
    head: Head,
}

impl ActiveHead {
    /// Returns the head in force; version 0 means none.
    pub fn head(&self) -> Head {
        self.head
    }

    /// Compares a head that was heard of with the one in force.
    pub fn compare(&self, head: Head) -> HeadComparison {
        match head.version.cmp(&self.head.version) {
            std::cmp::Ordering::Greater => HeadComparison::Newer,
            std::cmp::Ordering::Less => HeadComparison::Older,
            std::cmp::Ordering::Equal if head.digest == self.head.digest => HeadComparison::Same,
            std::cmp::Ordering::Equal => HeadComparison::Conflict,
        }
    }

    /// Puts `head` in force if it is newer; returns whether it did.
    pub fn install(&mut self, head: Head) -> bool {
        let newer = self.compare(head) == HeadComparison::Newer;
        if newer {
            self.head = head;
        }
        newer
    }
}
