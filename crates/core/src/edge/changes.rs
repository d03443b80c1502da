//! Which targets changed since a revision of the store.
//!
//! In a large zone most instances learn of targets from a peer. With thousands of targets
//! that register, drain and leave one by one, each change would otherwise send all of them
//! to every instance.

use std::collections::{BTreeSet, VecDeque};

use crate::ids::TargetId;

/// Most changes that are remembered; an instance that is further behind gets all targets.
const MAX_CHANGES: usize = 1_024;

/// Recent changes of targets by revision.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// All changes after this revision are in the log.
    complete_after: u64,
    changes: VecDeque<(u64, TargetId)>,
}

impl ChangeLog {
    /// Records a change; those of one revision or later ones may come in any number.
    pub fn record(&mut self, revision: u64, id: TargetId) {
        self.changes.push_back((revision, id));
        if self.changes.len() > MAX_CHANGES
            && let Some((oldest, _)) = self.changes.pop_front()
        {
            self.complete_after = self.complete_after.max(oldest);
        }
    }

    /// Starts anew after a listing, or a change without a revision; what happened up to
    /// `revision` is not known.
    pub fn reset(&mut self, revision: u64) {
        self.changes.clear();
        self.complete_after = revision;
    }

    /// Returns the targets that changed after `revision`, or `None` if they are not known.
    pub fn since(&self, revision: u64) -> Option<BTreeSet<&TargetId>> {
        let newer = self.changes.iter().filter(|(at, _)| *at > revision);
        (revision >= self.complete_after).then(|| newer.map(|(_, id)| id).collect())
    }
}
