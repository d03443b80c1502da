//! Which targets cannot be connected to, and when an instance is cut off.

use std::time::Instant;

use mimosapass_core::edge::reach::Reach;
use mimosapass_core::ids::TargetId;

fn ids(count: usize) -> Vec<TargetId> {
    (0..count).map(|n| TargetId::from(format!("i-{n}"))).collect()
}

/// Generates a test from the number of targets, how many of them the last connection failed
/// to, and whether the instance is cut off.
macro_rules! shares {
    ($($name:ident: $failed:expr, $all:expr => $cut_off:expr;)+) => {
        $(#[test]
        fn $name() {
            let (ids, now) = (ids($all), Instant::now());
            let mut reach = Reach::default();
            for id in ids.iter().take($failed) {
                reach.record(id, false, now);
            }
            assert_eq!(reach.paths(ids.iter()).is_cut_off(), $cut_off);
        })+
    };
}

shares! {
    service_without_targets: 0, 0 => false;
    only_target: 1, 1 => true;
    one_crashed_target_of_two: 1, 2 => false;
    two_of_three: 2, 3 => true;
    rack_of_six_that_crashed: 6, 21 => false;
    path_to_seventeen_of_twenty_one: 17, 21 => true;
}

#[test]
fn a_connection_shows_that_a_target_is_reachable() {
    let (ids, now) = (ids(1), Instant::now());
    let mut reach = Reach::default();
    assert!(reach.record(&ids[0], false, now));
    assert!(!reach.record(&ids[0], false, now), "known");
    assert!(reach.record(&ids[0], true, now));
    assert!(!reach.record(&ids[0], true, now));
    assert!(!reach.paths(ids.iter()).is_cut_off());
}

#[test]
fn a_target_that_is_gone_does_not_count() {
    let (ids, now) = (ids(3), Instant::now());
    let mut reach = Reach::default();
    for id in &ids {
        reach.record(id, false, now);
    }
    for id in &ids[1..] {
        reach.forget(id);
    }
    assert_eq!((reach.count(), reach.paths(ids.iter()).is_cut_off()), (1, false));
}
