//! Which targets this instance cannot connect to.
//!
//! Answers the pattern of an instance that has lost its path to most or all targets, while its
//! callers, the store and its peers reach it: targets that do not work and targets that it
//! cannot reach look the same, one by one, but a single instance rarely sees most of a
//! service's targets crash while its peers do not.

use std::collections::HashMap;
use std::time::Instant;

use crate::edge::fleet::TargetId;

/// Paths to the targets of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Paths {
    /// Number of targets.
    pub targets: usize,
    /// Number of those that cannot be connected to.
    pub unreachable: usize,
}

impl Paths {
    /// Returns whether most of the targets cannot be connected to.
    pub fn is_cut_off(&self) -> bool {
        self.unreachable * 2 > self.targets
    }
}

/// Targets to which the last connection failed.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// When the last connection failed.
    failed: HashMap<TargetId, Instant>,
}

impl Reach {
    /// Records whether a new connection to a target was established; returns whether that
    /// differs from the one before.
    ///
    /// An open connection that goes on shows nothing: a path may be closed to new ones alone.
    pub fn record(&mut self, id: &TargetId, connected: bool, now: Instant) -> bool {
        if connected {
            return self.failed.remove(id).is_some();
        }
        self.failed.insert(TargetId::clone(id), now).is_none()
    }

    /// Counts the targets of a service, and those that cannot be connected to.
    pub fn paths<'a>(&self, targets: impl Iterator<Item = &'a TargetId>) -> Paths {
        let mut paths = Paths::default();
        for id in targets {
            paths.targets += 1;
            paths.unreachable += usize::from(self.failed.contains_key(id));
        }
        paths
    }

    /// Removes what is known of a target that is gone or has restarted.
    pub fn forget(&mut self, id: &str) {
        self.failed.remove(id);
    }

    /// Returns the number of targets that cannot be connected to.
    pub fn count(&self) -> usize {
        self.failed.len()
    }
}
