//! Listings, watches and snapshots of peers that overtake each other.

use std::time::Duration;

use mimosapass_core::edge::fleet::{Fleet, Target};
use mimosapass_core::edge::position::Position;
use mimosapass_core::edge::progress::Progress;
use mimosapass_core::ids::TargetId;

fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn target(id: &str, seq: u64) -> Target {
    Target {
        id: id.into(),
        service: "pool".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        draining: false,
        started_ms: 1,
        seq,
        warmup: Duration::ZERO,
    }
}

/// An instance, as far as it knows targets.
#[derive(Default)]
struct Instance {
    progress: Progress,
    fleet: Fleet,
}

impl Instance {
    fn list(&mut self, position: Position, listed: &[Target]) {
        if self.progress.list(position) {
            let named: Vec<_> = listed.iter().map(|t| TargetId::clone(&t.id)).collect();
            for target in listed {
                self.fleet.report(target.clone());
            }
            self.fleet.reconcile(&named, false);
        }
    }

    fn learn(&mut self, position: Position, reported: &[Target], gone: &[&str]) {
        if self.progress.learn(position) {
            for target in reported {
                self.fleet.report(target.clone());
            }
            for id in gone {
                self.fleet.remove(id, false);
            }
        }
    }

    fn watch(&mut self, position: Position, reported: &[Target], gone: &[&str]) {
        for target in reported {
            if self.progress.change(position) {
                self.fleet.report(target.clone());
            }
        }
        for id in gone {
            if self.progress.change(position) {
                self.fleet.remove(id, false);
            }
        }
        self.progress.watch(position);
    }

    fn serving(&self) -> Vec<&str> {
        self.fleet.serving("pool").map(|t| &*t.id).collect()
    }
}

/// Guards against a target that is unused until its next change: the listing did not name it,
/// and the watch skipped its entry as one that a peer had told of.
#[test]
fn target_that_joined_after_a_listing_was_read_is_used() {
    let mut instance = Instance::default();
    instance.learn(at(12), &[target("old", 1), target("new", 1)], &[]);
    instance.list(at(10), &[target("old", 1)]);
    instance.watch(at(12), &[target("new", 1)], &[]);
    assert_eq!(instance.serving(), ["new", "old"]);
}

/// The same order of events the other way round: it would be used although it left.
#[test]
fn target_that_left_after_a_listing_was_read_is_not_used() {
    let mut instance = Instance::default();
    instance.learn(at(12), &[target("new", 1)], &[]);
    instance.list(at(10), &[target("old", 1)]);
    instance.watch(at(11), &[], &["old"]);
    instance.watch(at(12), &[target("new", 1)], &[]);
    assert_eq!(instance.serving(), ["new"]);
}

/// A removal that a peer's snapshot overtakes would remove what came back since.
#[test]
fn removal_older_than_a_snapshot_does_not_undo_it() {
    let mut instance = Instance::default();
    instance.list(at(10), &[target("x", 1)]);
    instance.learn(at(13), &[target("x", 2)], &[]);
    instance.watch(at(11), &[], &["x"]);
    instance.watch(at(12), &[target("x", 2)], &[]);
    assert_eq!(instance.serving(), ["x"]);
}

/// A snapshot has the targets alone: the watch has to deliver the other entries.
#[test]
fn watch_does_not_advance_with_the_snapshot_of_a_peer() {
    let mut progress = Progress::default();
    progress.list(at(10));
    assert!(progress.learn(at(14)));
    assert_eq!(progress.watched, at(10));
    progress.watch(at(11));
    assert_eq!((progress.watched, progress.targets), (at(11), at(14)));
}

/// Entries that are written together have one position.
#[test]
fn all_changes_of_one_position_are_applied() {
    let mut instance = Instance::default();
    instance.list(at(10), &[]);
    instance.watch(at(11), &[target("x", 1), target("y", 1)], &[]);
    assert_eq!(instance.serving(), ["x", "y"]);
}

#[test]
fn listing_as_new_as_what_is_known_is_applied() {
    let mut instance = Instance::default();
    instance.learn(at(12), &[target("old", 1)], &[]);
    instance.list(at(12), &[target("new", 1)]);
    assert_eq!(instance.serving(), ["new"]);
}

#[test]
fn listing_of_a_new_era_is_applied_although_its_revision_is_lower() {
    let mut instance = Instance::default();
    instance.learn(Position { era: 0, revision: 90 }, &[target("old", 1)], &[]);
    instance.list(at(12), &[target("new", 1)]);
    assert_eq!(instance.serving(), ["new"]);
}

#[test]
fn snapshot_that_is_not_newer_is_not_applied() {
    let mut instance = Instance::default();
    instance.list(at(12), &[target("x", 1)]);
    instance.learn(at(12), &[target("y", 1)], &["x"]);
    assert_eq!(instance.serving(), ["x"]);
}
