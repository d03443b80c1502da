//! Each load pattern, replayed on the decisions with a fixed seed.
//!
//! Bounds are those that the users state: no kind is served a quarter as often as
//! all, no size band half as often as its kind; and the decision has to earn more
//! than policies that know no lengths, on the same calls.

use mimosapass_emulator::load;
use mimosapass_emulator::load::KINDS;
use mimosapass_emulator::pattern::{Pattern, all_patterns};
use mimosapass_emulator::policy::{ALL_POLICIES, Policy};
use mimosapass_emulator::report::{metrics, served_by_size, short_p95_ms};
use mimosapass_emulator::simulation::{CallEnd, CallRecord, replay, run};

const SEED: u64 = 1;

fn pattern(name: &str) -> Pattern {
    all_patterns().into_iter().find(|p| p.name == name).expect("the pattern is listed")
}

/// Returns the share of calls that are served, of those that are owed.
fn served(records: &[CallRecord], kind: Option<usize>) -> f64 {
    let eligible: Vec<&CallRecord> = records
        .iter()
        .filter(|f| f.end != Some(CallEnd::Left) && kind.is_none_or(|k| f.call.kind == k))
        .collect();
    let served = eligible.iter().filter(|f| f.end == Some(CallEnd::Served)).count();
    served as f64 / eligible.len().max(1) as f64
}

fn check(name: &str) {
    let pattern = pattern(name);
    let runs = ALL_POLICIES.map(|policy| run(&pattern, policy, SEED));
    let worth = runs.each_ref().map(|r| metrics(&r.records).worth);
    assert!(worth[2] > worth[0] && worth[2] > worth[1], "worth by policy: {worth:?}");
    let [.., own] = &runs;
    assert!(own.records.iter().all(|f| f.end.is_some()), "a call has no end");
    assert_eq!(own.leaked, 0, "instances believe in requests that are over");
    let all = served(&own.records, None);
    for (kind, stated) in KINDS.iter().enumerate() {
        let share = served(&own.records, Some(kind));
        assert!(share * 4.0 >= all, "{} starves: {share:.3} of {all:.3}", stated.name);
    }
}

/// Seeds whose calls are taken together, so that the largest tenth of a kind has
/// dozens of calls.
const SEEDS: u64 = 6;

/// The users' bound on sizes: neither the largest tenth of a kind nor the fifth below
/// it is served less than half as often as all of it.
fn check_sizes(name: &str) {
    let pattern = pattern(name);
    let runs = (0..SEEDS).map(|i| run(&pattern, Policy::Mimosapass, SEED + i));
    let records: Vec<CallRecord> = runs.flat_map(|r| r.records).collect();
    for (kind, stated) in KINDS.iter().enumerate() {
        let [tenth, fifth, whole] = served_by_size(&records, kind);
        let sizes = format!("{}: {tenth:.3}, {fifth:.3} of {whole:.3}", stated.name);
        assert!(tenth * 2.0 >= whole && fifth * 2.0 >= whole, "a size starves, {sizes}");
    }
}

/// Names the tests of a pattern.
macro_rules! replays {
    ($($test:ident: $name:expr;)+) => {
        $(#[test]
        fn $test() {
            check($name);
        })+

        mod sizes {
            $(#[test]
            fn $test() {
                super::check_sizes($name);
            })+
        }
    };
}

replays! {
    calm: "calm";
    usual: "usual";
    busy: "busy";
    full: "full";
    burst_of_all: "burst of all";
    burst_of_reviews: "burst of reviews";
    burst_of_chats: "burst of chats";
    burst_of_one_zone: "burst of one zone";
    swing_between_short_and_long: "swing";
    retry_abuse: "retry abuse";
    callers_that_leave: "callers leave";
    dark_engines: "dark engines";
    slow_engines: "slow engines";
    grey_engines: "grey engines";
    release_one_by_one: "release";
    scale_in: "scale-in";
    zone_lost_at_peak: "zone lost";
    all_instances_restarted: "all restarted";
    few_instances: "few instances";
    many_instances: "many instances";
}

#[test]
fn every_pattern_has_a_test() {
    assert_eq!(all_patterns().len(), 20);
}

#[test]
fn same_seed_gives_the_same_run() {
    let pattern = pattern("retry abuse");
    let ends = || {
        let run = run(&pattern, Policy::Mimosapass, SEED);
        run.records.iter().map(|f| (f.end, f.first_event, f.max_gap)).collect::<Vec<_>>()
    };
    assert!(ends() == ends(), "two runs with one seed differ");
}

/// The brief's measure: p95 of short prompts with long ones beside them, over that
/// without them, at most 1.2 under usual load.
#[test]
fn long_prompts_slow_short_ones_little() {
    for name in ["calm", "usual", "busy"] {
        let pattern = pattern(name);
        let with = run(&pattern, Policy::Mimosapass, SEED);
        let mut calls = load::calls(&pattern, SEED);
        calls.retain(|call| call.kind == 0);
        let without = replay(&pattern, Policy::Mimosapass, SEED, calls);
        let times = [&with, &without].map(|r| short_p95_ms(&metrics(&r.records)) as f64);
        assert!(times[0] <= times[1] * 1.2, "{name}: {times:?} ms");
    }
}
