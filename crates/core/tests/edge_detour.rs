//! Over which peer a request goes whose targets cannot be connected to.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosapass_core::edge::detour::{Candidate, choose};
use mimosapass_core::ids::InstanceId;

/// A zone of other zones and the own one, by the first letter of a name.
fn candidate(name: &InstanceId, able: bool, silence_ms: Option<u64>) -> Candidate<'_> {
    let silence = silence_ms.map(Duration::from_millis);
    Candidate { name, in_zone: name.starts_with('a'), silence, able }
}

/// Returns how many of 1,000 requests go over each peer; those in `cut` are cut off.
fn shares(names: &[&str], cut: &[&str], tried: &[&str]) -> BTreeMap<String, u32> {
    let names: Vec<InstanceId> = names.iter().map(|n| InstanceId::from(*n)).collect();
    let tried: Vec<InstanceId> = tried.iter().map(|n| InstanceId::from(*n)).collect();
    let candidates: Vec<Candidate<'_>> =
        names.iter().map(|n| candidate(n, !cut.contains(&&**n), Some(100))).collect();
    let mut shares = BTreeMap::new();
    for draw in 0..1_000 {
        let chosen = choose(&candidates, &tried, f64::from(draw) / 1_000.0);
        *shares.entry(chosen.map_or_else(String::new, ToString::to_string)).or_default() += 1;
    }
    shares
}

fn expect(shares: &[(&str, u32)]) -> BTreeMap<String, u32> {
    shares.iter().map(|(name, n)| ((*name).to_owned(), *n)).collect()
}

#[test]
fn requests_stay_in_a_zone_of_which_half_can_take_them() {
    let shares = shares(&["a1", "a2", "a3", "a4", "b1"], &["a1", "a2"], &[]);
    assert_eq!(shares, expect(&[("a3", 500), ("a4", 500)]));
}

/// Replays a zone of which one instance reaches the targets: it would carry all requests.
#[test]
fn requests_of_a_zone_that_is_mostly_cut_off_are_spread_over_all_zones() {
    let shares = shares(&["a1", "a2", "a3", "b1", "c1", "c2"], &["a1", "a2"], &[]);
    assert_eq!(shares, expect(&[("a3", 250), ("b1", 250), ("c1", 250), ("c2", 250)]));
}

#[test]
fn whole_zone_is_cut_off() {
    let shares = shares(&["a1", "a2", "b1"], &["a1", "a2"], &[]);
    assert_eq!(shares, expect(&[("b1", 1_000)]));
}

#[test]
fn everybody_is_cut_off() {
    let shares = shares(&["a1", "b1"], &["a1", "b1"], &[]);
    assert_eq!(shares, expect(&[("", 1_000)]));
}

#[test]
fn no_peer_is_tried_twice() {
    let shares = shares(&["a1", "a2"], &[], &["a1"]);
    assert_eq!(shares, expect(&[("a2", 1_000)]));
}

#[test]
fn silent_peer_is_not_used_and_registered_one_only_if_none_is_heard() {
    let names: Vec<InstanceId> = ["a1", "b1", "b2"].map(InstanceId::from).into();
    let silent = candidate(&names[0], true, Some(1_200));
    let registered = candidate(&names[1], true, None);
    assert_eq!(choose(&[silent], &[], 0.5), None);
    assert_eq!(choose(&[silent, registered], &[], 0.5), Some(&names[1]));
    let heard = candidate(&names[2], true, Some(100));
    assert_eq!(choose(&[silent, registered, heard], &[], 0.1), Some(&names[2]));
}
