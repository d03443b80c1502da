//! Which parts of prompts are refused after crashes of targets.

use std::time::{Duration, Instant};

use mimosapass_core::edge::quarantine::{Admission, Crash, Quarantine, Refused, Report};
use mimosapass_core::ids::PartId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: Duration = Duration::from_millis(1);
const SHARED: PartId = 1;
const DEADLY: PartId = 666;
/// Reports in one datagram.
const MAX_REPORTS: usize = 8;

/// Returns the part for which a request is refused that was admitted before.
fn refused(quarantine: &Quarantine, parts: &[PartId], now: Instant) -> Option<Refused> {
    quarantine.find(parts, Admission::Trial, now)
}

/// Returns whether a request that has just arrived is refused.
fn is_refused(quarantine: &mut Quarantine, parts: &[PartId], now: Instant) -> bool {
    quarantine.admit(parts, now).is_err()
}

/// Returns a crash of a run that began a second before.
fn crash(id: u64, at: Instant) -> Crash {
    Crash { at, id, began: at.checked_sub(MS * 1_000).unwrap_or(at), depth: 1 }
}

/// Returns a quarantine in which `part` is held responsible for three crashes.
fn quarantined(part: PartId, now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.accuse(&[part], crash(u64::from(number), now + MS * 200 * number), now);
    }
    assert!(refused(&quarantine, &[part], now + MS * 600).is_some());
    quarantine
}

#[test]
fn part_is_refused_after_three_crashes_and_its_companions_are_not() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..3_u32 {
        assert_eq!(refused(&quarantine, &[SHARED, DEADLY], now), None, "{number} crashes");
        let at = now + MS * 300 * number;
        let companion = 10 + PartId::from(number);
        quarantine.accuse(&[companion, DEADLY], crash(u64::from(number), at), at);
    }
    let now = now + MS * 900;
    assert_eq!(refused(&quarantine, &[SHARED, DEADLY], now).map(|r| r.part), Some(DEADLY));
    assert_eq!(refused(&quarantine, &[SHARED, 10, 11, 12], now), None);
}

#[test]
fn request_is_retried_after_the_first_crash_only() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.accuse(&[DEADLY], crash(1, now), now);
    assert!(quarantine.may_retry(&[SHARED, DEADLY], now));
    quarantine.accuse(&[DEADLY], crash(2, now + MS * 200), now + MS * 200);
    assert!(!quarantine.may_retry(&[SHARED, DEADLY], now + MS * 200));
    assert!(quarantine.may_retry(&[SHARED], now + MS * 200));
}

#[test]
fn part_that_was_answered_is_not_accused() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.clear(&[SHARED], now);
    for number in 0..5 {
        let at = now + MS * 1_000 * number;
        quarantine.accuse(&[SHARED, DEADLY], crash(u64::from(number), at), at);
    }
    let now = now + MS * 5_000;
    assert_eq!(quarantine.suspects(&[SHARED, DEADLY], now), [DEADLY]);
    assert_eq!(refused(&quarantine, &[SHARED], now), None);
    assert!(refused(&quarantine, &[SHARED, DEADLY], now).is_some());
}

#[test]
fn answer_that_was_under_way_ends_a_quarantine() {
    let now = Instant::now();
    let mut quarantine = quarantined(SHARED, now);
    let now = now + MS * 700;
    assert_eq!(quarantine.clear(&[SHARED], now).lifted, [SHARED]);
    assert_eq!(refused(&quarantine, &[SHARED], now), None);
    assert!(quarantine.may_retry(&[SHARED], now));
}

#[test]
fn crashes_of_a_rack_that_loses_power_count_once() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..9 {
        let at = now + MS * 10 * number;
        quarantine.accuse(&[SHARED], crash(u64::from(number), at), at);
    }
    assert_eq!(refused(&quarantine, &[SHARED], now + MS * 100), None);
}

/// Guards against a request that is repeated at once: each crash is of a run that began later.
#[test]
fn crashes_of_runs_one_after_the_other_each_count() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let began = now + MS * 30 * number;
        let at = began + MS * 20;
        quarantine.accuse(&[DEADLY], Crash { at, id: u64::from(number), began, depth: 1 }, at);
    }
    let now = now + MS * 100;
    assert!(refused(&quarantine, &[DEADLY], now).is_some());
    let mut peer = Quarantine::default();
    peer.merge(&quarantine.reports(MAX_REPORTS, now), now);
    assert!(refused(&peer, &[DEADLY], now).is_some(), "peers know it");
}

/// Guards against copies that run at the same moment and are told from a rack by chance.
#[test]
fn crashes_of_runs_at_the_same_time_count_once() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let at = now + MS * 15 * (number + 1);
        quarantine.accuse(&[SHARED], Crash { at, id: u64::from(number), began: now, depth: 1 }, at);
    }
    assert!(quarantine.may_retry(&[SHARED], now + MS * 100));
}

#[test]
fn crash_noticed_by_several_instances_counts_once() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for number in 0..9 {
        let at = now + MS * 150 * number;
        quarantine.merge(&[Report { part: SHARED, crashes: vec![crash(7, at)] }], at);
    }
    assert!(quarantine.may_retry(&[SHARED], now + MS * 1_500));
}

#[test]
fn crashes_of_several_instances_add_up() {
    let now = Instant::now();
    let mut here = Quarantine::default();
    here.accuse(&[DEADLY], crash(1, now), now);
    let mut there = Quarantine::default();
    there.accuse(&[DEADLY], crash(2, now + MS * 200), now + MS * 200);
    there.accuse(&[DEADLY], crash(3, now + MS * 400), now + MS * 400);
    let now = now + MS * 500;
    assert_eq!(here.merge(&there.reports(MAX_REPORTS, now), now).quarantined, [DEADLY]);
    assert_eq!(there.merge(&here.reports(MAX_REPORTS, now), now).quarantined, [DEADLY]);
    let mut started = Quarantine::default();
    started.merge(&there.reports(MAX_REPORTS, now), now);
    assert!(refused(&started, &[DEADLY], now).is_some(), "an instance that has just started");
}

#[test]
fn peers_that_accuse_a_sound_part_are_told_that_it_is() {
    let now = Instant::now();
    let mut fresh = quarantined(SHARED, now);
    let mut peer = Quarantine::default();
    peer.clear(&[SHARED], now);
    let now = now + MS * 700;
    assert!(peer.reports(MAX_REPORTS, now).is_empty());
    peer.merge(&fresh.reports(MAX_REPORTS, now), now);
    assert_eq!(refused(&peer, &[SHARED], now), None);
    assert_eq!(fresh.merge(&peer.reports(MAX_REPORTS, now), now).lifted, [SHARED]);
    assert_eq!(refused(&fresh, &[SHARED], now), None);
    assert_eq!(fresh.suspects(&[SHARED], now), []);
    assert!(fresh.reports(MAX_REPORTS, now).is_empty());
}

#[test]
fn part_is_tried_again_after_ten_minutes() {
    let now = Instant::now();
    let quarantine = quarantined(DEADLY, now);
    let Refused { left, .. } = refused(&quarantine, &[DEADLY], now + MS * 600).expect("refused");
    assert_eq!(left + MS * 600, Duration::from_mins(10));
    assert!(refused(&quarantine, &[DEADLY], now + MS * 600 + left).is_none());
}

/// Returns a quarantine in which two parts were together under all crashes.
fn ambiguous(now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..4 {
        let at = now + MS * 200 * number;
        quarantine.accuse(&[SHARED, DEADLY], crash(u64::from(number), at), at);
    }
    quarantine
}

#[test]
fn sound_part_that_was_always_beside_the_cause_is_tried_and_cleared() {
    let now = Instant::now();
    let mut quarantine = ambiguous(now);
    let now = now + MS * 1_000;
    assert!(is_refused(&mut quarantine, &[SHARED, DEADLY], now));
    assert_eq!(quarantine.admit(&[SHARED, 7], now), Ok(Admission::Trial));
    assert!(is_refused(&mut quarantine, &[SHARED, 8], now), "one at a time");
    quarantine.clear(&[SHARED, 7], now + MS * 700);
    assert_eq!(quarantine.admit(&[SHARED, 8], now + MS * 800), Ok(Admission::Free));
    assert!(is_refused(&mut quarantine, &[SHARED, DEADLY], now + MS * 800));
}

#[test]
fn part_that_crashes_a_target_on_trial_is_not_tried_again() {
    let now = Instant::now();
    let mut quarantine = ambiguous(now);
    let now = now + MS * 1_000;
    assert_eq!(quarantine.admit(&[9, DEADLY], now), Ok(Admission::Trial));
    quarantine.accuse(&[9, DEADLY], crash(99, now), now);
    assert!(is_refused(&mut quarantine, &[10, DEADLY], now + MS * 60_000));
    assert_eq!(quarantine.admit(&[SHARED, 7], now), Ok(Admission::Trial));
}

#[test]
fn endless_parts_do_not_displace_the_quarantined_one() {
    let now = Instant::now();
    let mut quarantine = quarantined(DEADLY, now);
    for part in 1_000..50_000 {
        quarantine.clear(&[part], now + MS * 700);
    }
    for part in 50_000..100_000 {
        quarantine.accuse(&[part], crash(part, now + MS * 700), now + MS * 700);
    }
    assert!(quarantine.known() <= 2 * 4_096, "{}", quarantine.known());
    assert!(refused(&quarantine, &[DEADLY], now + MS * 700).is_some());
    let first = quarantine.reports(MAX_REPORTS, now + MS * 700);
    assert_eq!(first.first().map(|report| report.part), Some(DEADLY));
}

/// What a replay has come to.
#[derive(Debug, Default)]
struct Replayed {
    /// When targets crashed, in milliseconds.
    crashes: Vec<u32>,
    /// Sound requests that were refused.
    refused: u32,
}

impl Replayed {
    /// Returns the crashes later than three seconds after the fifth.
    fn late(&self) -> usize {
        let bound = self.crashes.get(4).map_or(u32::MAX, |ms| ms + 3_000);
        self.crashes.iter().filter(|ms| **ms > bound).count()
    }
}

/// Replays deadly requests among sound ones that share all other parts; each comes to another
/// instance, which learns of its peers' evidence every 300 ms.
fn replay(instances: usize, interval_ms: u32) -> Replayed {
    let begun = Instant::now();
    let mut fleet = vec![Quarantine::default(); instances];
    let mut replayed = Replayed::default();
    for ms in 0..20_000_u32 {
        let now = begun + MS * ms;
        let parts = [SHARED, 100 + PartId::from(ms / 50 % 20), DEADLY];
        let (sound, at) = (&parts[..2], ms as usize / 50 % instances);
        if ms % 50 == 0 {
            match fleet[at].admit(sound, now) {
                Err(_) => replayed.refused += 1,
                Ok(_) => drop(fleet[at].clear(sound, now)),
            }
        }
        if ms % interval_ms == 0 && fleet[at].admit(&parts, now).is_ok() {
            let retried = fleet[at].may_retry(&parts, now);
            fleet[at].accuse(&parts, crash(u64::from(2 * ms), now), now);
            replayed.crashes.push(ms);
            if retried {
                let later = now + MS * 150;
                fleet[at].accuse(&parts, crash(u64::from(2 * ms + 1), later), later);
                replayed.crashes.push(ms + 150);
            }
        }
        if ms % 300 == 0 {
            let told: Vec<_> = fleet.iter().map(|q| q.reports(MAX_REPORTS, now)).collect();
            for (receiver, sender) in pairs(instances) {
                fleet[receiver].merge(&told[sender], now);
            }
        }
    }
    replayed
}

/// Replays a request that comes again to a service of three targets, which are back after three
/// seconds; sound calls run beside it, and what runs at a crashed target fails with it.
///
/// Returns the times of crashes, how many of these are later than three seconds after the third,
/// and how many sound calls were refused.
fn replay_service(instances: usize, interval_ms: u32) -> (Vec<u32>, usize, u32) {
    let begun = Instant::now();
    let mut fleet = vec![Quarantine::default(); instances];
    let (mut crashes, mut refused) = (Vec::new(), 0);
    let mut back = [0_u32; 3];
    for ms in 0..20_000_u32 {
        let now = begun + MS * ms;
        if ms % 37 == 0 {
            let at = ms as usize / 37 % instances;
            let sound = [1_000 + PartId::from(ms)];
            match fleet[at].admit(&sound, now) {
                Err(_) => refused += 1,
                Ok(_) if back.iter().any(|until| ms >= *until) => {
                    fleet[at].clear(&sound, now);
                }
                Ok(_) => {}
            }
        }
        let target = back.iter().position(|until| ms >= *until);
        if let (true, Some(target)) = (ms % interval_ms == 0, target) {
            let at = ms as usize / 7 % instances;
            if fleet[at].admit(&[DEADLY], now).is_ok() {
                back[target] = ms + 3_000;
                let noticed = now + MS * 20;
                let crash = Crash { at: noticed, id: u64::from(ms), began: now, depth: 1 };
                // Two sound calls ran there as well.
                let companion = 100_000 + PartId::from(ms);
                fleet[at].accuse(&[companion, DEADLY, companion + 1], crash, noticed);
                crashes.push(ms);
                let told = fleet[at].reports(MAX_REPORTS, noticed);
                (0..instances).filter(|to| *to != at).for_each(|to| {
                    fleet[to].merge(&told, noticed);
                });
            }
        }
    }
    let bound = crashes.get(2).map_or(u32::MAX, |third| third + 3_000);
    let late = crashes.iter().filter(|ms| **ms > bound).count();
    (crashes, late, refused)
}

/// Guards against a service that is down as a whole because one of its calls comes again.
#[test]
fn call_that_comes_again_is_refused_and_sound_ones_are_not() {
    for (instances, interval_ms) in [(1, 50), (9, 50), (9, 700), (9, 4_000), (60, 11)] {
        let (crashes, late, refused) = replay_service(instances, interval_ms);
        assert_eq!((late, refused), (0, 0), "{crashes:?}");
        assert!(crashes.len() <= 3 + 3, "{crashes:?}");
    }
}

/// Returns all pairs of different instances.
fn pairs(instances: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..instances).flat_map(move |a| (0..instances).map(move |b| (a, b))).filter(|(a, b)| a != b)
}

/// Generates a test from the number of instances and the time between two deadly requests.
macro_rules! deadly_requests {
    ($($name:ident: $instances:expr, $interval_ms:expr;)+) => {
        $(#[test]
        fn $name() {
            let replayed = replay($instances, $interval_ms);
            assert_eq!((replayed.late(), replayed.refused), (0, 0), "{replayed:?}");
        })+
    };
}

deadly_requests! {
    deadly_requests_at_one_instance: 1, 500;
    deadly_requests_at_few_instances: 9, 500;
    deadly_requests_at_many_instances: 60, 500;
    rare_deadly_requests: 9, 4_000;
    frequent_deadly_requests: 9, 150;
    burst_of_deadly_requests: 9, 30;
    burst_of_deadly_requests_at_many_instances: 60, 7;
}

fn reports() -> impl Strategy<Value = Vec<(PartId, Vec<(u32, u64)>)>> {
    let crashes = prop::collection::vec((0..60_000_u32, 0..6_u64), 1..4);
    prop::collection::vec((0..4_u64, crashes), 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(32), ..ProptestConfig::default() })]

    #[test]
    fn no_part_is_refused_for_fewer_than_three_targets(reports in reports()) {
        let begun = Instant::now();
        let now = begun + MS * 60_000;
        let mut quarantine = Quarantine::default();
        for (part, crashes) in &reports {
            let crashes = crashes.iter().map(|(ms, id)| crash(*id, begun + MS * *ms)).collect();
            quarantine.merge(&[Report { part: *part, crashes }], now);
        }
        for part in 0..4 {
            let of_part = reports.iter().filter(|(p, _)| *p == part).flat_map(|(_, c)| c);
            let targets: std::collections::BTreeSet<u64> = of_part.map(|(_, id)| *id).collect();
            prop_assert!(refused(&quarantine, &[part], now).is_none() || targets.len() >= 3);
        }
    }
}
