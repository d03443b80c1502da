//! Changes of targets since a revision.

use mimosapass_core::edge::changes::ChangeLog;
use mimosapass_core::edge::position::Position;

fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn log(changes: &[(u64, &str)]) -> ChangeLog {
    let mut log = ChangeLog::default();
    log.reset(at(10));
    for (revision, id) in changes {
        log.record(at(*revision), (*id).into());
    }
    log
}

#[test]
fn only_later_changes_are_returned_once_each() {
    let log = log(&[(11, "a"), (12, "b"), (13, "a"), (14, "c")]);
    let names = |revision| {
        let changed = log.since(at(revision))?;
        Some(changed.into_iter().map(ToString::to_string).collect::<Vec<_>>())
    };
    assert_eq!(names(10), Some(vec!["a".to_owned(), "b".to_owned(), "c".to_owned()]));
    assert_eq!(names(13), Some(vec!["c".to_owned()]));
    assert_eq!(names(14), Some(Vec::new()));
}

#[test]
fn what_came_before_the_listing_is_not_known() {
    assert_eq!(log(&[(11, "a")]).since(at(9)), None);
}

#[test]
fn an_instance_far_behind_gets_everything() {
    let mut log = log(&[]);
    for revision in 11..2_011 {
        log.record(at(revision), format!("t{revision}").as_str().into());
    }
    assert_eq!(log.since(at(11)), None);
    assert_eq!(log.since(at(2_000)).map(|changed| changed.len()), Some(10));
}

/// A target that expired after an outage has no revision of its own.
#[test]
fn change_without_a_revision_makes_all_ask_for_everything() {
    let mut log = log(&[(11, "a"), (12, "b")]);
    log.reset(at(13));
    assert_eq!(log.since(at(12)), None);
    assert_eq!(log.since(at(13)).map(|changed| changed.len()), Some(0));
}

#[test]
fn an_instance_of_an_earlier_era_gets_everything() {
    let log = log(&[(11, "a")]);
    assert_eq!(log.since(Position { era: 0, revision: 900 }), None);
    assert!(Position { era: 0, revision: 900 } < at(1));
}
