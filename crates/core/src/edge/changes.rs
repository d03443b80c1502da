//! Which targets changed since a position in the store's history.
//!
//! In a large zone most instances learn of targets from a peer. With thousands of targets
//! that register, drain and leave one by one, each change would otherwise send all of them
//! to every instance.

use std::collections::{BTreeSet, VecDeque};

use crate::edge::position::Position;
use crate::ids::TargetId;

/// Most changes that are remembered; an instance that is further behind gets all targets.
const MAX_CHANGES: usize = 1_024;

/// Recent changes of targets by position.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// All changes after this position are in the log.
    complete_after: Position,
    changes: VecDeque<(Position, TargetId)>,
}

impl ChangeLog {
    /// Records a change; those of one position or later ones may come in any number.
    pub fn record(&mut self, at: Position, id: TargetId) {
        self.changes.push_back((at, id));
        if self.changes.len() > MAX_CHANGES
            && let Some((oldest, _)) = self.changes.pop_front()
        {
            self.complete_after = self.complete_after.max(oldest);
        }
    }

    /// Starts anew after a listing, or a change without a revision; what happened up to
    /// `position` is not known.
    pub fn reset(&mut self, position: Position) {
        self.changes.clear();
        self.complete_after = position;
    }

    /// Returns the targets that changed after `position`, or `None` if they are not known.
    pub fn since(&self, position: Position) -> Option<BTreeSet<&TargetId>> {
        let newer = self.changes.iter().filter(|(at, _)| *at > position);
        (position >= self.complete_after).then(|| newer.map(|(_, id)| id).collect())
    }
}
