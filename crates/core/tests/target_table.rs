//! Own requests are added to the last report of a target, and removed when they end.

use std::time::Instant;

use mimosapass_core::config::{Config, TargetKind};
use mimosapass_core::target_table::{ListedTarget, LoadReport, TargetTable};

#[test]
fn ended_requests_are_not_counted_before_the_next_report() {
    let mut targets = TargetTable::default();
    let listed = ListedTarget {
        name: "engine".into(),
        kind: TargetKind::Engine,
        zone: "zone".into(),
        addr: "127.0.0.1:1".to_owned(),
        labels: [].into(),
        leaving: false,
    };
    targets.apply_listing(vec![listed], &Config::default());
    let now = Instant::now();
    let report = LoadReport {
        boot: 1,
        number: 1,
        slots: 4,
        free: 10_000,
        capacity: 10_000,
        speed: 1_000,
        ..LoadReport::default()
    };
    assert!(targets.record_report("engine", report, now));
    for _ in 0..100 {
        targets.record_sent("engine", 1_000, 1_500, now);
        targets.record_first_token("engine", 1_000, None);
        targets.record_end("engine", true, now);
        targets.record_freed("engine", 1_500);
    }
    let target = targets.get("engine").expect("listed");
    assert_eq!((target.in_flight(), target.queued(), target.free_tokens()), (0, 0, 10_000));
    assert!(target.pending_tokens(now) <= 0.0, "{}", target.pending_tokens(now));
}
