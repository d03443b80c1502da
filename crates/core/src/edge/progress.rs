//! How far an instance has followed the store, and which news of targets it applies.
//!
//! Targets are told by listings, watches and snapshots of peers, which overtake each other.
//! Answers the pattern of a listing that takes long: what it says holds as of its position,
//! and a peer may tell of later changes before it is applied. Undoing these would be final,
//! since the watch does not repeat what a peer has told.

use crate::edge::position::Position;

/// How far an instance has followed the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Position up to which this instance has watched the store.
    pub watched: Position,
    /// Position up to which changes of targets are known, from the store or a peer.
    pub targets: Position,
    /// Position up to which a peer has told of changes of targets.
    learned: Position,
}

impl Progress {
    /// Records a listing as of `at`; returns whether its targets are to be applied.
    ///
    /// The watch goes on from there in any case: the listing has other entries too.
    pub fn list(&mut self, at: Position) -> bool {
        self.watched = at;
        self.targets = self.targets.max(at);
        at >= self.learned
    }

    /// Records the snapshot of a peer as of `at`; returns whether its targets are to be applied.
    ///
    /// The watch does not advance: it has other entries to deliver than targets.
    pub fn learn(&mut self, at: Position) -> bool {
        if at <= self.targets {
            return false;
        }
        self.targets = at;
        self.learned = at;
        true
    }

    /// Records a change of a target in a watch; returns whether it is to be applied.
    pub fn change(&mut self, at: Position) -> bool {
        // Several changes may have one position, so that of the last one is no bound.
        self.targets = self.targets.max(at);
        at > self.learned
    }

    /// Records that a watch has delivered all changes up to `at`.
    pub fn watch(&mut self, at: Position) {
        self.watched = self.watched.max(at);
    }
}
