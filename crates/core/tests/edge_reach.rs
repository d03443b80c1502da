//! Which targets cannot be connected to, and when an instance is cut off.

use std::time::{Duration, Instant};

use mimosapass_core::edge::reach::Reach;
use mimosapass_core::ids::TargetId;

const MS: Duration = Duration::from_millis(1);

fn ids(count: usize) -> Vec<TargetId> {
    (0..count).map(|n| TargetId::from(format!("i-{n:02}"))).collect()
}

/// Generates a test from the number of targets, the outcomes of connections to them in turn (`.`
/// established, `x` failed), and whether the instance is cut off.
macro_rules! connections {
    ($($name:ident: $all:expr, $outcomes:expr => $cut_off:expr;)+) => {
        $(#[test]
        fn $name() {
            let (ids, begun) = (ids($all), Instant::now());
            let mut reach = Reach::default();
            for (n, (id, outcome)) in ids.iter().cycle().zip($outcomes.chars()).enumerate() {
                reach.record(id, outcome == '.', begun + MS * n as u32);
            }
            let paths = reach.paths(ids.iter());
            assert_eq!(paths.is_cut_off(), $cut_off, "{paths:?}");
        })+
    };
}

connections! {
    nothing_was_tried: 3, "" => false;
    only_target: 1, "x" => true;
    only_target_that_is_back: 1, "x." => false;
    one_crashed_target_of_two: 2, ".x" => false;
    both_of_two: 2, "xx" => true;
    two_of_three: 3, "xx" => true;
    two_of_three_beside_one_that_works: 3, "x.x" => true;
    two_failures_of_many: 21, "xx" => false;
    three_failures_of_many_and_nothing_else: 21, "xxx" => true;
    connections_before_the_first_failure: 21, "..........xxx" => true;
    rack_of_six_that_crashed: 21, "xx..xx..x...x........" => false;
    paths_to_seventeen_of_twenty_one: 21, "xxxx.xxxxxx.xxx.xxx.x" => true;
    paths_that_are_back: 6, "xxxxxx...." => false;
    crash_after_an_old_one: 6, "x.....x.x..." => false;
}

#[test]
fn no_target_is_reachable_only_if_all_have_failed() {
    let (ids, now) = (ids(3), Instant::now());
    let mut reach = Reach::default();
    assert!(!reach.paths([].into_iter()).is_closed(), "a service without targets");
    for (n, id) in ids.iter().enumerate() {
        assert!(!reach.paths(ids.iter()).is_closed(), "{n} have failed");
        reach.record(id, false, now);
    }
    assert!(reach.paths(ids.iter()).is_closed());
}

#[test]
fn a_connection_after_a_failure_is_news() {
    let (ids, now) = (ids(1), Instant::now());
    let mut reach = Reach::default();
    assert!(!reach.record(&ids[0], true, now));
    assert!(!reach.record(&ids[0], false, now));
    assert!(reach.record(&ids[0], true, now));
    assert!(!reach.record(&ids[0], true, now));
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
    assert_eq!((reach.count_unreachable(), reach.paths(ids.iter()).is_cut_off()), (1, false));
}

/// Replays an instance that loses all paths: probes try each target once, then one after the other.
#[test]
fn probes_try_all_targets_before_any_again() {
    let (ids, begun) = (ids(4), Instant::now());
    let mut reach = Reach::default();
    assert_eq!(reach.next_probe(ids.iter()), None, "nothing has failed");
    for (n, id) in ids.iter().enumerate() {
        reach.record(id, true, begun + MS * n as u32);
    }
    reach.record(&ids[2], false, begun + MS * 10);
    let mut probed = Vec::new();
    for n in 11..18 {
        let (id, again) = reach.next_probe(ids.iter()).expect("a target");
        probed.push((id.to_string(), again));
        reach.record(id, false, begun + MS * n);
    }
    let expected = [(0, false), (1, false), (3, false), (2, true), (0, true), (1, true), (3, true)];
    let expected = expected.map(|(n, again)| (ids[n].to_string(), again));
    assert_eq!(probed, expected);
}
