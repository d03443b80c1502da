//! Orders to evacuate zones, in whatever sequence they become known, and where requests go.

use std::time::{Duration, Instant};

use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::evacuation::{Evacuations, Order};
use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::history::Kind;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::position::Position;
use mimosapass_core::edge::route_table::{RouteTable, Service};
use mimosapass_core::edge::schedule::{Grant, Refusal, Requirements, Scheduler};
use mimosapass_core::edge::wait::QueueEntry;
use mimosapass_core::ids::ZoneId;

fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn zone() -> ZoneId {
    "b".into()
}

/// A step in which an instance learns something of zone `b`.
#[derive(Clone, Copy)]
enum Learned {
    /// An entry of a watch, or the order of a peer.
    Order(bool, Position),
    /// A listing as of the first position; with the revision of the order if it is there.
    Listing(Position, Option<u64>),
}

use Learned::{Listing, Order as Word};

fn learn(evacuations: &mut Evacuations, step: Learned) {
    match step {
        Word(evacuated, at) => drop(evacuations.record(&zone(), Order { evacuated, at })),
        Listing(at, order) => {
            let listed: Vec<_> = order.iter().map(|r| (zone(), at.at(*r))).collect();
            evacuations.list(&listed, at);
        }
    }
}

/// Generates a test from what an instance learns, and whether the zone is evacuated then.
macro_rules! sequences {
    ($($name:ident: [$($step:expr),+] => $evacuated:expr;)+) => {
        $(#[test]
        fn $name() {
            let mut evacuations = Evacuations::default();
            for step in [$($step),+] {
                learn(&mut evacuations, step);
            }
            assert_eq!(evacuations.is_evacuated("b"), $evacuated);
            assert_eq!(evacuations.count(), usize::from($evacuated));
            assert!(!evacuations.is_evacuated("a"));
        })+
    };
}

const OLD_ERA: Position = Position { era: 0, revision: 90 };

sequences! {
    listed_order_holds: [Listing(at(10), Some(5))] => true;
    order_of_the_watch_holds: [Listing(at(10), None), Word(true, at(11))] => true;
    removal_takes_the_zone_back: [Word(true, at(11)), Word(false, at(12))] => false;
    order_can_be_given_again: [Word(true, at(11)), Word(false, at(12)), Word(true, at(13))] => true;
    removal_that_arrives_first_holds: [Word(false, at(12)), Word(true, at(11))] => false;
    order_that_arrives_late_holds: [Word(true, at(13)), Word(false, at(12))] => true;
    older_listing_does_not_take_the_zone_back: [Word(true, at(11)), Listing(at(10), None)] => true;
    older_listing_does_not_evacuate_again: [Word(false, at(12)), Listing(at(10), Some(5))] => false;
    key_missing_after_an_outage_takes_the_zone_back:
        [Word(true, at(11)), Listing(at(20), None)] => false;
    key_that_is_still_there_changes_nothing: [Word(true, at(11)), Listing(at(20), Some(11))] => true;
    watch_repeats_what_was_listed: [Listing(at(10), Some(12)), Word(false, at(11))] => true;
    copy_of_the_store_takes_no_order_back: [Word(true, OLD_ERA), Listing(at(10), None)] => true;
    order_of_the_new_era_counts: [Word(true, OLD_ERA), Word(false, at(10))] => false;
    peer_of_the_old_era_changes_nothing: [Word(false, at(10)), Word(true, OLD_ERA)] => false;
    key_missing_in_the_new_era_takes_its_order_back:
        [Word(true, OLD_ERA), Word(true, at(10)), Listing(at(12), None)] => false;
}

/// Whatever is learned in whatever sequence, the same orders lead to the same result.
#[test]
fn result_does_not_depend_on_the_sequence() {
    let orders = [(true, OLD_ERA), (false, at(3)), (true, at(7)), (false, at(8)), (true, at(9))];
    for rotation in 0..orders.len() {
        for reversed in [false, true] {
            let mut sequence: Vec<_> = orders.to_vec();
            sequence.rotate_left(rotation);
            if reversed {
                sequence.reverse();
            }
            let mut evacuations = Evacuations::default();
            for (evacuated, at) in sequence {
                evacuations.record(&zone(), Order { evacuated, at });
            }
            assert!(evacuations.is_evacuated("b"));
            assert_eq!(evacuations.latest(), at(9));
        }
    }
}

#[test]
fn changes_are_told_once() {
    let mut evacuations = Evacuations::default();
    let order = Order { evacuated: true, at: at(5) };
    assert!(evacuations.record(&zone(), order));
    assert!(!evacuations.record(&zone(), order));
    assert!(evacuations.list(&[(zone(), at(6))], at(8)).is_empty(), "it was evacuated already");
    assert_eq!(evacuations.list(&[], at(9)), [zone()]);
    assert!(evacuations.list(&[], at(9)).is_empty());
}

fn target(id: &str, zone: &str) -> Target {
    Target {
        id: id.into(),
        service: "desk".into(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        zone: zone.into(),
        slots: 4,
        draining: false,
        started_ms: 1,
        seq: 1,
        warmup: Duration::ZERO,
    }
}

fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 450_000,
        step_ms: 0.9,
        request_ms: 0.005,
        context_ms: 0.0025,
        tokens_per_ms: 256.0,
        pairs_ms: 0.09,
        chunk: 2_048,
        stride: 46,
        hop_ms: 0.1,
        mean_prompt: 13_000.0,
        mean_answer: 1_500.0,
    }
}

fn requirements(now: Instant, prompt: u64) -> Requirements {
    let time = Duration::from_secs(5);
    Requirements {
        service: "desk".into(),
        engine: (prompt > 0).then(engine),
        prompt,
        answer: 0,
        max_gap: Duration::from_millis(200),
        long: prompt > 0,
        whole: false,
        kind: Kind::default(),
        stated: None,
        max_answer: 0,
        call_time: Duration::from_millis(60),
        entry: QueueEntry {
            arrived: now,
            due: now + time,
            expires: now + time,
            value: 1.0,
            work: Duration::from_millis(20),
            min_work: Duration::from_millis(20),
            priority: 1,
        },
        avoid: Vec::new(),
    }
}

/// Returns a scheduler in zone `a` with targets in the given zones, `b` among them evacuated.
fn evacuated(zones: &[&str]) -> Scheduler {
    let mut scheduler = Scheduler::new("a".into());
    for (number, zone) in zones.iter().enumerate() {
        scheduler.fleet.report(target(&format!("{zone}-{number}"), zone));
    }
    order(&mut scheduler, true, 1);
    scheduler
}

fn order(scheduler: &mut Scheduler, evacuated: bool, revision: u64) {
    scheduler.fleet.evacuations.record(&zone(), Order { evacuated, at: at(revision) });
}

fn dispatch(scheduler: &mut Scheduler, now: Instant) -> Vec<Grant> {
    let desk = Service {
        name: "desk".into(),
        health_path: "/".to_owned(),
        max_connections: 10,
        engine: None,
    };
    scheduler.dispatch(&RouteTable::new(1, Vec::new(), vec![desk]), now)
}

/// Sends requests until there is no place; returns the targets that they were granted.
fn fill(scheduler: &mut Scheduler, now: Instant) -> Vec<String> {
    for id in 0..20 {
        scheduler.enqueue(id, requirements(now, 0));
    }
    dispatch(scheduler, now).iter().map(|g| g.placement.target.id.to_string()).collect()
}

#[test]
fn evacuated_zone_gets_nothing_although_it_is_the_own_one() {
    let mut scheduler = evacuated(&["a", "b"]);
    scheduler.zone = zone();
    assert_eq!(fill(&mut scheduler, Instant::now()), ["a-0"; 4]);
}

/// What waits is placed in other zones by the next round, and here again when it is taken back.
#[test]
fn order_is_in_force_for_what_waits() {
    let (mut scheduler, now) = (evacuated(&["b"]), Instant::now());
    order(&mut scheduler, false, 2);
    assert_eq!(fill(&mut scheduler, now), ["b-0"; 4]);
    scheduler.fleet.report(target("b-1", "b"));
    order(&mut scheduler, true, 3);
    let later = now + Duration::from_millis(10);
    assert!(dispatch(&mut scheduler, later).is_empty());
    scheduler.fleet.report(target("a-2", "a"));
    let later = later + Duration::from_millis(10);
    assert_eq!(dispatch(&mut scheduler, later).len(), 4, "the other zone");
    order(&mut scheduler, false, 4);
    let later = later + Duration::from_millis(10);
    assert_eq!(dispatch(&mut scheduler, later).len(), 4, "the target in the zone taken back");
}

#[test]
fn excluded_targets_of_other_zones_are_used_before_those_of_an_evacuated_zone() {
    let (mut scheduler, now) = (evacuated(&["a", "b"]), Instant::now());
    scheduler.record_outcome(&"a-0".into(), Outcome::Silent, now);
    assert!(scheduler.outcomes.is_avoided("a-0", now));
    assert_eq!(fill(&mut scheduler, now), ["a-0"; 4]);
}

#[test]
fn evacuated_zone_that_is_cut_off_gets_nothing_at_its_return() {
    let (mut scheduler, now) = (evacuated(&["a", "b"]), Instant::now());
    scheduler.reachability.record_peer_datagram(&zone(), now);
    let silent = now + Duration::from_secs(2);
    scheduler.record_outcome(&"b-1".into(), Outcome::Silent, silent);
    assert!(scheduler.reachability.is_cut_off("b", silent));
    let back = silent + Duration::from_secs(10);
    scheduler.reachability.record_peer_datagram(&zone(), back);
    assert_eq!(fill(&mut scheduler, back), ["a-0"; 4]);
}

#[test]
fn target_that_starts_in_an_evacuated_zone_gets_nothing() {
    let (mut scheduler, now) = (evacuated(&["a", "b"]), Instant::now());
    scheduler.fleet.report(Target { draining: true, seq: 2, ..target("b-1", "b") });
    scheduler.fleet.report(Target { started_ms: 2, ..target("b-1", "b") });
    scheduler.fleet.report(target("b-9", "b"));
    assert_eq!(fill(&mut scheduler, now), ["a-0"; 4]);
}

#[test]
fn target_that_drains_when_its_zone_is_taken_back_gets_nothing() {
    let (mut scheduler, now) = (evacuated(&["a", "b"]), Instant::now());
    scheduler.fleet.report(Target { draining: true, seq: 2, ..target("b-1", "b") });
    order(&mut scheduler, false, 2);
    assert_eq!(fill(&mut scheduler, now), ["a-0"; 4]);
}

#[test]
fn long_prompt_gets_no_helper_in_an_evacuated_zone() {
    let now = Instant::now();
    let zones = ["a", "a", "a", "b", "b", "b", "b", "b"];
    let mut scheduler = evacuated(&zones);
    scheduler.enqueue(1, requirements(now, 400_000));
    let grants = dispatch(&mut scheduler, now);
    let targets = grants.first().expect("a grant").targets();
    assert!(targets.len() > 1, "it has helpers: {targets:?}");
    assert!(targets.iter().all(|id| id.starts_with('a')), "{targets:?}");
}

/// Generates a test from the zones of targets, whether those in zone `a` drain, and whether
/// a request is refused at once.
macro_rules! refusals {
    ($($name:ident: $zones:expr, $draining:expr => $refused:expr;)+) => {
        $(#[test]
        fn $name() {
            let (mut scheduler, now) = (evacuated(&$zones), Instant::now());
            if $draining {
                scheduler.fleet.report(Target { draining: true, seq: 2, ..target("a-0", "a") });
            }
            let refusal = scheduler.refusal(&requirements(now, 0), now);
            assert_eq!(refusal, $refused.then_some(Refusal::Late));
        })+
    };
}

refusals! {
    request_is_refused_when_all_zones_are_evacuated: ["b", "b"], false => true;
    request_waits_for_a_zone_that_is_not_evacuated: ["a", "b"], false => false;
    request_waits_while_the_other_zone_restarts: ["a", "b"], true => false;
    request_waits_while_no_target_is_known: [], false => false;
}
