//! Which targets this instance cannot connect to, and when it is cut off from a service.
//!
//! Answers the pattern of an instance that has lost its path to most or all targets, while its
//! callers, the store and its peers reach it. A target that does not work and one that it
//! cannot reach look the same, one by one; but when a target crashes, the connections to others
//! succeed meanwhile. So what counts are the targets that were connected to, or not, since the
//! first of the failures that last.

use std::collections::HashMap;
use std::time::Instant;

use crate::edge::fleet::TargetId;

/// Number of targets of a service that are enough to judge all of its paths.
const SAMPLE: usize = 5;

/// The last connection to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Path {
    failed: bool,
    /// When it was last tried.
    at: Instant,
    /// Since when it has failed, or when it last succeeded.
    since: Instant,
}

/// Paths to the targets of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Paths {
    /// Number of targets.
    pub targets: usize,
    /// Number of those that cannot be connected to.
    pub unreachable: usize,
    /// Number of those that were connected to since the first of these failures.
    pub reached: usize,
}

impl Paths {
    /// Returns whether no target can be connected to.
    pub fn is_closed(&self) -> bool {
        self.targets > 0 && self.unreachable == self.targets
    }

    /// Returns whether most targets cannot be connected to, as far as they were tried.
    pub fn is_cut_off(&self) -> bool {
        self.unreachable * 2 > self.targets.min(SAMPLE) && self.unreachable > self.reached
    }
}

/// The last connection to each target.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    paths: HashMap<TargetId, Path>,
    /// Number of paths that have failed.
    failed: usize,
}

impl Reach {
    /// Records whether a new connection to a target was established; returns whether one is
    /// again that was not before.
    ///
    /// An open connection that goes on shows nothing: a path may be closed to new ones alone.
    pub fn record(&mut self, id: &TargetId, connected: bool, now: Instant) -> bool {
        let known = self.paths.get(id).filter(|path| path.failed);
        let since = known.filter(|_| !connected).map_or(now, |path| path.since);
        let had_failed = known.is_some();
        let path = Path { failed: !connected, at: now, since };
        self.paths.insert(TargetId::clone(id), path);
        self.failed = self.failed - usize::from(had_failed) + usize::from(!connected);
        had_failed && connected
    }

    /// Counts the targets of a service by what the last connection to them came to.
    pub fn paths<'a>(&self, targets: impl Iterator<Item = &'a TargetId>) -> Paths {
        let mut count = 0;
        let tried: Vec<&Path> =
            targets.inspect(|_| count += 1).filter_map(|id| self.paths.get(id)).collect();
        let failed = || tried.iter().filter(|path| path.failed);
        let Some(begin) = failed().map(|path| path.since).min() else {
            return Paths { targets: count, ..Paths::default() };
        };
        let reached = tried.iter().filter(|path| !path.failed && path.since >= begin).count();
        Paths { targets: count, unreachable: failed().count(), reached }
    }

    /// Returns the next target of a service to be tried, and whether it is only tried again:
    /// those that were not tried since the first failure come before.
    pub fn next_probe<'a>(
        &self,
        targets: impl Iterator<Item = &'a TargetId>,
    ) -> Option<(&'a TargetId, bool)> {
        let all: Vec<(&TargetId, Option<&Path>)> =
            targets.map(|id| (id, self.paths.get(id))).collect();
        let failed = || all.iter().filter_map(|(id, path)| Some((*id, path.filter(|p| p.failed)?)));
        let begin = failed().map(|(_, path)| path.since).min()?;
        let untried = all.iter().find(|(_, path)| path.is_none_or(|p| p.at < begin));
        let oldest = || failed().min_by_key(|(_, path)| path.at);
        untried.map(|(id, _)| (*id, false)).or_else(|| oldest().map(|(id, _)| (id, true)))
    }

    /// Removes what is known of a target that is gone or has restarted.
    pub fn forget(&mut self, id: &str) {
        let known = self.paths.remove(id);
        self.failed -= usize::from(known.is_some_and(|path| path.failed));
    }

    /// Returns the number of targets that cannot be connected to.
    pub fn count_unreachable(&self) -> usize {
        self.failed
    }
}
