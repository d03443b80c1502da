//! Outages of the store that affected all instances, and those that did not.

use std::time::{Duration, Instant};

use mimosapass_core::edge::outage::{Outage, is_total};

/// Time of the tests before the end of the own outage, in milliseconds.
const BEFORE_MS: u64 = 60_000;

/// Outage of an instance, from and until so many milliseconds before the end of the own one;
/// it goes on if it has no end.
fn outage(start: Instant, from_ms: u64, until_ms: Option<u64>) -> Option<Outage> {
    let at = |ms| start + Duration::from_millis(BEFORE_MS - ms);
    let begun = Outage::update(None, true, at(from_ms));
    let repeated = Outage::update(begun, true, at(from_ms - 1));
    match until_ms {
        Some(ms) => Outage::update(repeated, false, at(ms)),
        None => repeated,
    }
}

/// Generates a test from groups of peers, each with its number and its outage, and whether
/// the outage is total.
macro_rules! outages {
    ($($name:ident: [$($count:literal * $outage:expr),*] => $total:expr;)+) => {
        $(#[test]
        fn $name() {
            let start = Instant::now();
            let peer = |last: Option<(u64, Option<u64>)>| {
                last.and_then(|(from_ms, until_ms)| outage(start, from_ms, until_ms))
            };
            let groups: Vec<Vec<Option<Outage>>> = vec![$([peer($outage)].repeat($count)),*];
            let end = start + Duration::from_millis(BEFORE_MS);
            assert_eq!(is_total(groups.concat().into_iter(), end), $total);
        })+
    };
}

outages! {
    // In day closed-store of atlas-loc with seed 1038326299605 the store refused five of
    // nine, and a target that had left got requests for two more seconds.
    half_of_the_fleet_refused: [4 * Some((4_000, None)), 4 * None] => false;
    five_of_eight_refused: [5 * Some((4_000, None)), 3 * None] => false;
    all_cut_off: [8 * Some((4_000, None))] => true;
    all_cut_off_and_back_sooner: [8 * Some((4_000, Some(1_500)))] => true;
    all_but_one_that_has_just_started: [7 * Some((4_000, Some(100))), 1 * None] => true;
    single_instance: [0 * None] => true;
    // In day scale-2 of atlas-loc three of nine were cut off for 12 seconds; the watches of
    // the others were cut once, four seconds before its end.
    others_had_one_failed_call_each: [2 * Some((12_000, None)), 6 * Some((4_600, Some(4_300)))]
        => false;
    others_had_one_failed_call_each_at_the_end: [8 * Some((300, Some(50)))] => false;
    others_had_an_earlier_outage: [8 * Some((9_000, Some(5_000)))] => false;
    others_lost_the_store_as_it_came_back: [8 * Some((100, None))] => false;
}
