//! Late and reordered reports of targets, and removal of targets.

use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::{Change, Fleet, LAPSE_GRACE, Target};

fn target(id: &str, started_ms: u64, seq: u64, draining: bool) -> Target {
    Target {
        id: id.into(),
        service: "pool".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        zone: "a".into(),
        slots: 4,
        draining,
        started_ms,
        seq,
        warmup: Duration::ZERO,
    }
}

fn serving(fleet: &Fleet) -> usize {
    fleet.serving("pool").count()
}

/// Generates a test from a sequence of reports, the last change, and the count of serving
/// targets afterwards.
macro_rules! reports {
    ($($name:ident: [$(($started_ms:expr, $seq:expr, $draining:expr)),+] => $change:expr, $serving:expr;)+) => {
        $(#[test]
        fn $name() {
            let mut fleet = Fleet::default();
            let reports = [$(target("x", $started_ms, $seq, $draining)),+];
            let last = reports.into_iter().map(|report| fleet.report(report)).last();
            assert_eq!((last, serving(&fleet)), (Some($change), $serving));
        })+
    };
}

reports! {
    first_report_joins: [(1, 1, false)] => Change::Joined, 1;
    repeated_report_changes_nothing: [(1, 1, false), (1, 2, false)] => Change::Unchanged, 1;
    draining_takes_no_work: [(1, 1, false), (1, 2, true)] => Change::Draining, 0;
    late_report_does_not_undo_draining: [(1, 2, true), (1, 1, false)] => Change::Unchanged, 0;
    draining_is_final_for_a_start: [(1, 2, true), (1, 3, false)] => Change::Unchanged, 0;
    new_start_under_the_same_id_joins: [(1, 9, true), (2, 1, false)] => Change::Joined, 1;
    report_of_an_earlier_start_is_dropped: [(2, 1, false), (1, 9, true)] => Change::Unchanged, 1;
}

#[test]
fn late_report_does_not_bring_back_a_gone_target() {
    let mut fleet = Fleet::default();
    fleet.report(target("x", 1, 5, false));
    assert_eq!(fleet.remove("x", false), Change::Gone);
    assert_eq!(fleet.report(target("x", 1, 5, false)), Change::Unchanged);
    assert_eq!(serving(&fleet), 0);
    assert_eq!(fleet.report(target("x", 1, 6, false)), Change::Joined);
}

#[test]
fn entry_that_lapsed_in_an_outage_is_kept_for_a_while() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.report(target("x", 1, 5, false));
    assert_eq!(fleet.remove("x", true), Change::Lapsed);
    assert_eq!(fleet.remove("x", true), Change::Unchanged, "it has lapsed already");
    assert_eq!((serving(&fleet), fleet.lapsed_count()), (1, 1));
    assert!(fleet.expire(None, now + LAPSE_GRACE * 5).is_empty(), "the store is still away");
    let end = now + LAPSE_GRACE * 6;
    assert!(fleet.expire(Some(end), now + LAPSE_GRACE * 5).is_empty());
    assert_eq!(fleet.expire(Some(end), end).len(), 1);
    assert_eq!(serving(&fleet), 0);
}

#[test]
fn entry_that_came_back_after_an_outage_stays() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.report(target("x", 1, 5, false));
    fleet.remove("x", true);
    fleet.report(target("x", 1, 6, false));
    assert!(fleet.expire(Some(now), now + LAPSE_GRACE).is_empty());
    assert_eq!((serving(&fleet), fleet.lapsed_count()), (1, 0));
}

#[test]
fn draining_target_that_lapses_in_an_outage_is_gone() {
    let mut fleet = Fleet::default();
    fleet.report(target("x", 1, 5, true));
    assert_eq!(fleet.remove("x", true), Change::Gone);
}

#[test]
fn listing_removes_what_it_does_not_name() {
    let mut fleet = Fleet::default();
    for id in ["x", "y"] {
        fleet.report(target(id, 1, 1, false));
    }
    let gone = fleet.reconcile(&["y".into()], false);
    assert_eq!(gone, [("x".into(), Change::Gone)]);
    assert_eq!(serving(&fleet), 1);
    assert_eq!(fleet.reconcile(&[], true), [("y".into(), Change::Lapsed)]);
    assert!(fleet.reconcile(&[], true).is_empty());
}

#[test]
fn target_kept_by_a_peer_is_gone_at_the_end_although_the_store_is_away() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    assert_eq!(fleet.report_kept(target("x", 1, 5, false), now + LAPSE_GRACE), Change::Joined);
    assert_eq!(fleet.time_kept("x", None, now), Some(LAPSE_GRACE));
    assert!(fleet.expire(None, now + LAPSE_GRACE / 2).is_empty());
    assert_eq!(fleet.expire(None, now + LAPSE_GRACE).len(), 1);
    assert_eq!(serving(&fleet), 0);
}

#[test]
fn target_kept_by_a_peer_stays_when_its_entry_is_back() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    fleet.report_kept(target("x", 1, 5, false), now);
    fleet.report(target("x", 1, 6, false));
    fleet.report_kept(target("x", 1, 5, false), now);
    assert_eq!(fleet.time_kept("x", None, now), None);
    assert!(fleet.expire(None, now + LAPSE_GRACE).is_empty());
}

#[test]
fn target_that_states_that_it_leaves_takes_no_work_until_a_new_start() {
    let mut fleet = Fleet::default();
    fleet.report(target("x", 1, 5, false));
    assert_eq!(fleet.leave("x", 1, true), Change::Draining);
    assert_eq!(fleet.leave("x", 1, true), Change::Unchanged);
    assert_eq!(fleet.report(target("x", 1, 6, false)), Change::Unchanged);
    assert_eq!(serving(&fleet), 0);
    // Its entry lapses and comes back.
    fleet.remove("x", false);
    assert_eq!(fleet.report(target("x", 1, 7, false)), Change::Draining);
    assert_eq!(serving(&fleet), 0);
    assert_eq!(fleet.report(target("x", 2, 1, false)), Change::Joined);
    assert_eq!((serving(&fleet), fleet.told_leaving().count()), (1, 0));
}

#[test]
fn statement_of_an_earlier_start_is_ignored() {
    let mut fleet = Fleet::default();
    fleet.report(target("x", 2, 1, false));
    assert_eq!(fleet.leave("x", 1, false), Change::Unchanged);
    assert_eq!(fleet.leave("y", 1, false), Change::Unchanged);
    assert_eq!(serving(&fleet), 1);
}

#[test]
fn only_what_a_target_told_here_is_passed_on() {
    let mut fleet = Fleet::default();
    fleet.report(target("x", 1, 1, false));
    assert_eq!(fleet.leave("x", 1, false), Change::Draining);
    assert_eq!(fleet.told_leaving().count(), 0);
    fleet.leave("x", 1, true);
    assert_eq!(fleet.told_leaving().collect::<Vec<_>>(), [(&"x".into(), 1)]);
    fleet.remove("x", false);
    assert_eq!(fleet.told_leaving().count(), 0);
}

#[test]
fn digest_tells_apart_what_is_known() {
    let fleet = |reports: &[Target]| {
        let mut fleet = Fleet::default();
        for report in reports {
            fleet.report(report.clone());
        }
        fleet
    };
    let (x, y) = (target("x", 1, 1, false), target("y", 1, 1, false));
    let both = fleet(&[x.clone(), y.clone()]);
    assert_eq!(both.digest(), fleet(&[y.clone(), x.clone()]).digest());
    let others = [
        vec![x.clone()],
        vec![x.clone(), target("z", 1, 1, false)],
        vec![x.clone(), target("y", 2, 1, false)],
        vec![x.clone(), target("y", 1, 2, false)],
        vec![x, target("y", 1, 1, true)],
    ];
    for other in others {
        assert_ne!(both.digest(), fleet(&other).digest(), "{other:?}");
    }
    let mut lapsed = both;
    lapsed.remove("y", true);
    assert_eq!(lapsed.digest(), None);
}
