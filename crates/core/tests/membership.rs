//! Views and roles under packet loss, one-way partitions, pauses and churn.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use mimosapass_core::ids::InstanceId;
use mimosapass_core::membership::{HEARTBEAT_INTERVAL, Heartbeat, PEER_TIMEOUT, View};
use mimosapass_core::rendezvous::holder;
use mimosapass_core::roles::{MIN_PARTNERS, leader, partners, watchers};
use mimosapass_core::version::Head;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Time within which each role moves to a live instance.
const FAILOVER_TIME: Duration =
    Duration::from_secs(PEER_TIMEOUT.as_secs() + HEARTBEAT_INTERVAL.as_secs());
/// Number of targets whose holder is compared.
const TARGETS: usize = 67;

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(7), cases, ..ProptestConfig::default() }
}

fn beat(name: &str, zone: &str, boot: u64) -> Heartbeat {
    Heartbeat {
        name: name.into(),
        zone: zone.into(),
        boot,
        leaving: false,
        platform_unreachable: false,
        addr: None,
        head: Head::default(),
    }
}

/// A fault of one instance or of one direction between two.
#[derive(Clone, Debug)]
enum Fault {
    /// This share of the heartbeats from `from` to `to` is lost.
    Loss { from: usize, to: usize, percent: u8 },
    /// The instance neither sends nor receives.
    Paused(usize),
    /// The instance is replaced by one with a higher start number.
    Replaced(usize),
    /// The instance stops for good.
    Killed(usize),
}

struct Member {
    view: View,
    beat: Heartbeat,
    alive: bool,
    paused: bool,
}

struct Zone {
    members: Vec<Member>,
    loss: Vec<(usize, usize, u8)>,
    now: Instant,
    seed: u64,
}

impl Zone {
    fn new(count: usize) -> Self {
        let member = |i: usize| {
            let name = format!("zone-a-{i}");
            let view = View::new(name.as_str().into(), "zone-a".into());
            Member { view, beat: beat(&name, "zone-a", 1), alive: true, paused: false }
        };
        let members = (0..count).map(member).collect();
        Self { members, loss: Vec::new(), now: Instant::now(), seed: 9 }
    }

    fn random(&mut self) -> u8 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        ((self.seed >> 33) % 100) as u8
    }

    fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::Loss { from, to, percent } => self.loss.push((*from, *to, *percent)),
            Fault::Paused(at) => self.members[*at].paused = true,
            Fault::Killed(at) => self.members[*at].alive = false,
            Fault::Replaced(at) => {
                let member = &mut self.members[*at];
                member.beat.boot += 1;
                member.view = View::new(InstanceId::clone(&member.beat.name), "zone-a".into());
            }
        }
    }

    fn clear_faults(&mut self) {
        self.loss.clear();
        self.members.iter_mut().for_each(|m| m.paused = false);
    }

    /// Runs for a time; each member sends heartbeats to all others.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += HEARTBEAT_INTERVAL;
            for from in 0..self.members.len() {
                for to in 0..self.members.len() {
                    self.deliver(from, to);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let up = |m: &Member| m.alive && !m.paused;
        if from == to || !up(&self.members[from]) || !up(&self.members[to]) {
            return;
        }
        let rolled = self.random();
        let lost = self.loss.iter().any(|(f, t, p)| (*f, *t) == (from, to) && rolled < *p);
        if !lost {
            let (beat, now) = (self.members[from].beat.clone(), self.now);
            self.members[to].view.record(beat, now);
        }
    }

    fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.alive)
    }

    /// Returns the holders of all roles as each live member sees them.
    fn roles(&self) -> BTreeSet<Vec<String>> {
        self.live().map(|m| roles(&m.view, self.now)).collect()
    }
}

fn roles(view: &View, now: Instant) -> Vec<String> {
    let names = view.candidates(now);
    let holders =
        (0..TARGETS).filter_map(|t| holder(&format!("engine-{t}"), names.iter().copied()));
    let leader = leader(&names).into_iter();
    let watchers = watchers(&view.candidate_reachability(now));
    holders.chain(leader).chain(watchers).map(str::to_owned).collect()
}

fn fault(count: usize) -> impl Strategy<Value = Fault> {
    let at = 0..count;
    prop_oneof![
        3 => (0..count, 0..count, 5_u8..=100)
            .prop_map(|(from, to, percent)| Fault::Loss { from, to, percent }),
        1 => at.clone().prop_map(Fault::Paused),
        1 => at.clone().prop_map(Fault::Replaced),
        // Instance 0 is never killed, so that one remains.
        1 => (1..count).prop_map(Fault::Killed),
    ]
}

proptest! {
    #![proptest_config(fixed(48))]

    #[test]
    fn after_any_faults_views_agree_and_roles_are_held_by_live_instances(
        faults in prop::collection::vec((fault(7), 0_u64..9), 1..10),
    ) {
        let mut zone = Zone::new(7);
        zone.run(HEARTBEAT_INTERVAL * 2);
        for (fault, secs) in &faults {
            zone.inject(fault);
            zone.run(Duration::from_secs(*secs));
        }
        zone.clear_faults();
        zone.run(FAILOVER_TIME);
        let seen = zone.roles();
        prop_assert_eq!(seen.len(), 1, "views differ");
        let live: BTreeSet<String> = zone.live().map(|m| m.beat.name.to_string()).collect();
        for holder in seen.iter().flatten() {
            prop_assert!(live.contains(holder), "{holder} is dead and holds a role");
        }
    }

    #[test]
    fn only_roles_of_a_replaced_instance_move(count in 2_usize..43, at in 0_usize..42) {
        let names: Vec<String> = (0..count).map(|i| format!("zone-a-{i}")).collect();
        let replaced = &names[at % count];
        let others: Vec<&str> = names.iter().filter(|n| *n != replaced).map(String::as_str).collect();
        for target in 0..600 {
            let role = format!("engine-{target}");
            let before = holder(&role, names.iter().map(String::as_str));
            let after = holder(&role, others.iter().copied());
            prop_assert!(before == Some(replaced) || before == after);
        }
    }

    #[test]
    fn every_instance_gets_heartbeats_from_every_other_zone(ours in 1_usize..50, theirs in 1_usize..50) {
        let mine: Vec<String> = (0..ours).map(|i| format!("zone-a-{i}")).collect();
        let mine: Vec<&str> = mine.iter().map(String::as_str).collect();
        let other: Vec<InstanceId> = (0..theirs).map(|i| format!("zone-b-{i}").into()).collect();
        let mut received = vec![0; theirs];
        let max = MIN_PARTNERS * theirs.div_ceil(ours);
        for me in &mine {
            let partners = partners(me, &mine, &other);
            prop_assert!(partners.len() <= max, "{} over {max}", partners.len());
            prop_assert!(partners.len() >= MIN_PARTNERS.min(theirs));
            for partner in partners {
                received[other.iter().position(|n| n == partner).expect("a member")] += 1;
            }
        }
        prop_assert!(received.iter().all(|n| *n >= MIN_PARTNERS.min(ours)), "{received:?}");
    }
}

#[rstest]
#[case::killed(Fault::Killed(0))]
#[case::paused(Fault::Paused(0))]
fn roles_move_within_the_failover_time(#[case] fault: Fault) {
    for at in 0..9 {
        let mut zone = Zone::new(9);
        zone.run(HEARTBEAT_INTERVAL * 2);
        let fault = match fault {
            Fault::Killed(_) => Fault::Killed(at),
            _ => Fault::Paused(at),
        };
        zone.inject(&fault);
        zone.run(FAILOVER_TIME);
        let gone = format!("zone-a-{at}");
        let others = zone.members.iter().enumerate().filter(|(i, _)| *i != at);
        for (_, member) in others {
            assert!(!roles(&member.view, zone.now).contains(&gone), "{gone} still holds a role");
        }
    }
}

/// One day of churn in a zone of 42: 17 replacements with pauses between them.
#[test]
fn views_agree_after_each_replacement_of_a_day() {
    let mut zone = Zone::new(42);
    zone.run(HEARTBEAT_INTERVAL * 2);
    for i in 0..17 {
        zone.inject(&Fault::Replaced(i * 5 % 42));
        // The new process hears from all others within one heartbeat interval.
        zone.run(HEARTBEAT_INTERVAL * 2);
        assert_eq!(zone.roles().len(), 1, "views differ after replacement {i}");
    }
}

#[rstest]
#[case::late_heartbeat_of_the_old_process(2, 1, 1, 2)]
#[case::restart(1, 2, 1, 2)]
#[case::replacement_whose_clock_is_behind(2, 1, 5, 1)]
fn a_heartbeat_of_an_older_process_is_dropped_while_the_newer_is_alive(
    #[case] first: u64,
    #[case] second: u64,
    #[case] after: u64,
    #[case] expected: u64,
) {
    let start = Instant::now();
    let mut view = View::new("me".into(), "zone-a".into());
    view.record(beat("other", "zone-a", first), start);
    let now = start + Duration::from_secs(after);
    view.record(beat("other", "zone-a", second), now);
    let boots: Vec<u64> = view.alive(now).map(|b| b.boot).collect();
    assert_eq!(boots, [expected]);
}

#[test]
fn instances_that_reach_the_platform_are_preferred_as_watchers() {
    let all: Vec<(&str, bool)> = vec![("a", false), ("b", false), ("c", false), ("d", false)];
    let first = watchers(&all);
    let unreachable = |(name, _): &(&'static str, bool)| (*name, first.contains(name));
    let moved = watchers(&all.iter().map(unreachable).collect::<Vec<_>>());
    assert!(moved.iter().all(|name| !first.contains(name)), "{first:?} then {moved:?}");
    let none: Vec<(&str, bool)> = all.iter().map(|(name, _)| (*name, true)).collect();
    assert_eq!(
        watchers(&none),
        first,
        "no candidate reaches the platform, so the watchers stay the same"
    );
}
