//! Which instances watch the store.

use std::time::Duration;

use mimosapass_core::edge::watch::{Neighbour, WATCHERS, is_total_outage, should_watch};

/// Returns which of `count` instances watch, after `change` was applied to each.
fn watching(count: usize, change: impl Fn(usize, &mut Neighbour<'_>)) -> Vec<usize> {
    let names: Vec<String> = (0..count).map(|i| format!("gate-{i:02}")).collect();
    let neighbours: Vec<Neighbour<'_>> = names
        .iter()
        .enumerate()
        .map(|(i, name)| {
            let mut neighbour = Neighbour { name, silence: Duration::ZERO, cut_off: false };
            change(i, &mut neighbour);
            neighbour
        })
        .collect();
    let watch = |i: &usize| {
        let peers = neighbours.iter().enumerate().filter(|(j, _)| j != i).map(|(_, n)| *n);
        should_watch(&names[*i], peers)
    };
    (0..count).filter(watch).collect()
}

#[test]
fn few_watch_for_a_large_zone() {
    assert_eq!(watching(26, |_, _| {}), vec![0, 1, 2]);
}

#[test]
fn all_watch_in_a_small_zone() {
    assert_eq!(watching(WATCHERS, |_, _| {}).len(), WATCHERS);
}

#[test]
fn next_one_watches_when_one_is_cut_off_or_silent() {
    let cut = watching(8, |i, n| n.cut_off = i == 1);
    assert_eq!(cut, vec![0, 1, 2, 3], "the instance that is cut off keeps trying");
    let silent = watching(8, |i, n| {
        n.silence = if i == 0 { Duration::from_secs(2) } else { Duration::ZERO };
    });
    assert_eq!(silent, vec![0, 1, 2, 3]);
}

#[test]
fn all_watch_when_the_store_refuses_all() {
    assert_eq!(watching(9, |_, n| n.cut_off = true).len(), 9);
}

/// Generates a test from the count of peers that were cut off, of those that tried, and
/// whether that is a total outage.
macro_rules! outages {
    ($($name:ident: $cut:expr, of $tried:expr => $whole:expr;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(is_total_outage($tried, $cut), $whole);
        })+
    };
}

outages! {
    // In day closed-store of atlas-loc with seed 1038326299605 the store refused five of
    // nine, and a target that had left got requests for two more seconds.
    half_of_the_fleet_refused: 4, of 8 => false;
    five_of_eight_refused: 5, of 8 => false;
    all_cut_off: 8, of 8 => true;
    all_but_one_that_has_just_started: 7, of 8 => true;
    single_instance: 0, of 0 => true;
}
