//! Which instances of a zone act for the others.

use std::time::Duration;

use mimosapass_core::edge::election::{ELECTED, Nominee, schedulers, should_watch};

fn nominee(name: &str, capacity: u32) -> Nominee<'_> {
    Nominee { name, capacity, silence: Duration::ZERO, cut_off: false }
}

/// Returns which of `count` instances watch, after `change` was applied to each.
fn watching(count: usize, change: impl Fn(usize, &mut Nominee<'_>)) -> Vec<usize> {
    let names: Vec<String> = (0..count).map(|i| format!("gate-{i:02}")).collect();
    let neighbours: Vec<Nominee<'_>> = names
        .iter()
        .enumerate()
        .map(|(i, name)| {
            let mut neighbour = nominee(name, 250);
            change(i, &mut neighbour);
            neighbour
        })
        .collect();
    let watch = |i: &usize| {
        let peers = neighbours.iter().enumerate().filter(|(j, _)| j != i).map(|(_, n)| *n);
        should_watch(nominee(&names[*i], 250), peers)
    };
    (0..count).filter(watch).collect()
}

#[test]
fn few_watch_for_a_large_zone() {
    assert_eq!(watching(26, |_, _| {}), vec![0, 1, 2]);
}

#[test]
fn all_watch_in_a_small_zone() {
    assert_eq!(watching(ELECTED, |_, _| {}).len(), ELECTED);
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

#[test]
fn large_machines_place_requests_first() {
    let names = ["a", "b", "c", "d", "e"];
    let capacities = [120, 500, 120, 500, 120];
    let nominees = std::iter::zip(names, capacities).map(|(name, cores)| nominee(name, cores));
    assert_eq!(schedulers(nominees), ["b", "d", "a"]);
}

#[test]
fn former_versions_and_silent_instances_place_no_requests_of_others() {
    let former = nominee("a", 0);
    let silent = Nominee { silence: Duration::from_secs(2), ..nominee("b", 250) };
    let cut_off = Nominee { cut_off: true, ..nominee("c", 250) };
    assert_eq!(schedulers([former, silent, cut_off, nominee("d", 250)].into_iter()), ["c", "d"]);
}

#[test]
fn order_does_not_depend_on_who_asks() {
    let names: Vec<String> = (0..40).map(|i| format!("gate-{i:02}")).collect();
    let forward = schedulers(names.iter().map(|name| nominee(name, 120)));
    let backward = schedulers(names.iter().rev().map(|name| nominee(name, 120)));
    assert_eq!(forward, backward);
    assert_eq!(forward.len(), ELECTED);
}
