//! After faults have ended, engines hold only what instances claim.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mimosapass_core::cancels::{GONE_TIMEOUT, PendingCancels};
use mimosapass_core::memory::{Claims, RENEWAL_GRACE, reclaimable, reclaimer};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const EXPIRY: Duration = Duration::from_secs(30);
const PERIOD: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_secs(1);
const INSTANCES: usize = 3;
const ENGINES: usize = 2;
/// Time after which all expiries, retries and time-outs have passed.
const RECOVERY: Duration = Duration::from_mins(3);

/// An event of one simulated second.
#[derive(Clone, Debug)]
enum Fault {
    Nothing(u8),
    Begin { instance: usize, engine: usize },
    End { instance: usize, freed: bool },
    Crash { instance: usize },
    Pause { instance: usize, paused: bool },
    Freeze { engine: usize, frozen: bool },
    LoseAnswers { engine: usize, lost: bool },
    Restart { engine: usize },
    Isolate { instance: usize, isolated: bool },
}

fn fault() -> impl Strategy<Value = Fault> {
    let (i, e) = (0..INSTANCES, 0..ENGINES);
    prop_oneof![
        3 => (1..20_u8).prop_map(Fault::Nothing),
        6 => (i.clone(), e.clone()).prop_map(|(instance, engine)| Fault::Begin { instance, engine }),
        3 => (i.clone(), any::<bool>()).prop_map(|(instance, freed)| Fault::End { instance, freed }),
        1 => i.clone().prop_map(|instance| Fault::Crash { instance }),
        1 => (i.clone(), any::<bool>()).prop_map(|(instance, paused)| Fault::Pause { instance, paused }),
        1 => (e.clone(), any::<bool>()).prop_map(|(engine, frozen)| Fault::Freeze { engine, frozen }),
        1 => (e.clone(), any::<bool>()).prop_map(|(engine, lost)| Fault::LoseAnswers { engine, lost }),
        1 => e.prop_map(|engine| Fault::Restart { engine }),
        1 => (i, any::<bool>()).prop_map(|(instance, isolated)| Fault::Isolate { instance, isolated }),
    ]
}

#[derive(Debug, Default)]
struct Engine {
    boot: u64,
    frozen: bool,
    loses_answers: bool,
    held: BTreeMap<String, (String, Instant)>,
}

#[derive(Debug, Default)]
struct Instance {
    boot: u64,
    paused: bool,
    isolated: bool,
    claims: Claims,
    pending: PendingCancels,
    running: BTreeSet<(String, String)>,
    round: u64,
}

#[derive(Debug)]
struct World {
    now: Instant,
    count: u64,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
}

fn holder_of(number: usize, boot: u64) -> String {
    format!("i{number}/{boot}")
}

impl World {
    fn new() -> Self {
        let engine = || Engine { boot: 1, ..Engine::default() };
        let instance = || Instance { boot: 1, ..Instance::default() };
        Self {
            now: Instant::now(),
            count: 0,
            engines: (0..ENGINES).map(|_| engine()).collect(),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
        }
    }

    fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Nothing(steps) => (1..steps).for_each(|_| self.step()),
            Fault::Begin { instance, engine } => self.begin(instance, engine),
            Fault::End { instance, freed } => self.end(instance, freed),
            Fault::Crash { instance } => {
                let boot = self.instances[instance].boot + 1;
                self.instances[instance] = Instance { boot, ..Instance::default() };
            }
            Fault::Pause { instance, paused } => self.instances[instance].paused = paused,
            Fault::Freeze { engine, frozen } => self.engines[engine].frozen = frozen,
            Fault::LoseAnswers { engine, lost } => self.engines[engine].loses_answers = lost,
            Fault::Restart { engine } => {
                let boot = self.engines[engine].boot + 1;
                self.engines[engine] = Engine { boot, ..Engine::default() };
                for instance in &mut self.instances {
                    let addr = engine.to_string();
                    let lost: Vec<_> =
                        instance.running.iter().filter(|(a, _)| *a == addr).cloned().collect();
                    for (addr, id) in lost {
                        instance.claims.remove(&addr, &id);
                        instance.running.remove(&(addr, id));
                    }
                }
            }
            Fault::Isolate { instance, isolated } => self.instances[instance].isolated = isolated,
        }
        self.step();
    }

    fn begin(&mut self, number: usize, engine: usize) {
        let instance = &mut self.instances[number];
        if instance.paused || self.engines[engine].frozen {
            return;
        }
        self.count += 1;
        let (addr, id) = (engine.to_string(), self.count.to_string());
        instance.claims.add(&addr, &id, self.now);
        instance.running.insert((addr, id.clone()));
        let holder = holder_of(number, instance.boot);
        self.engines[engine].held.insert(id, (holder, self.now + EXPIRY));
    }

    /// Ends the first attempt of an instance; `freed` if the engine freed it.
    fn end(&mut self, number: usize, freed: bool) {
        let instance = &mut self.instances[number];
        if instance.paused {
            return;
        }
        let Some((addr, id)) = instance.running.pop_first() else { return };
        let engine = &mut self.engines[addr.parse::<usize>().expect("a number")];
        instance.claims.remove(&addr, &id);
        if freed {
            engine.held.remove(&id);
        } else {
            instance.pending.add(&addr, &id, engine.boot, self.now);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for number in 0..INSTANCES {
            if !self.instances[number].paused {
                self.send_cancels(number);
                self.renew(number);
                self.reclaim(number);
            }
        }
    }

    fn send_cancels(&mut self, number: usize) {
        let (instance, now) = (&mut self.instances[number], self.now);
        let engines = &mut self.engines;
        instance.pending.discard_obsolete(now, |addr| {
            let engine = &engines[addr.parse::<usize>().expect("a number")];
            Some(if engine.frozen { 0 } else { engine.boot })
        });
        for (addr, ids) in instance.pending.due(now) {
            let engine = &mut engines[addr.parse::<usize>().expect("a number")];
            if !engine.frozen {
                engine.held.retain(|id, _| !ids.contains(id));
            }
            if engine.frozen || engine.loses_answers {
                instance.pending.failed(&addr, now);
            } else {
                instance.pending.confirmed(&addr, &ids, now);
            }
        }
    }

    fn renew(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.round += 1;
        if !instance.round.is_multiple_of(PERIOD.as_secs()) {
            return;
        }
        for (addr, ids) in instance.claims.due(self.now, PERIOD) {
            let engine = &mut self.engines[addr.parse::<usize>().expect("a number")];
            for id in ids.iter().filter(|_| !engine.frozen) {
                if let Some((_, until)) = engine.held.get_mut(id) {
                    *until = self.now + EXPIRY;
                }
            }
        }
    }

    /// Frees abandoned allocations at the engines that are the instance's to check.
    fn reclaim(&mut self, number: usize) {
        let names: Vec<String> = (0..INSTANCES).map(|n| format!("i{n}")).collect();
        let seen = |n: usize| {
            let (me, peer) = (&self.instances[number], &self.instances[n]);
            n == number || !(peer.paused || peer.isolated || me.isolated)
        };
        let members: Vec<(&str, &str)> =
            (0..INSTANCES).filter(|n| seen(*n)).map(|n| (names[n].as_str(), "z")).collect();
        let alive: Vec<String> = (0..INSTANCES)
            .filter(|n| seen(*n))
            .map(|n| holder_of(n, self.instances[n].boot))
            .collect();
        let now = self.now;
        for (e, engine) in self.engines.iter_mut().enumerate() {
            let responsible = reclaimer(&e.to_string(), "z", &members) == Some(&names[number]);
            if responsible && !engine.frozen {
                engine.held.retain(|_, (holder, until)| {
                    let expired = now.saturating_duration_since(*until);
                    !reclaimable(expired, alive.contains(holder))
                });
            }
        }
    }

    fn recover(&mut self) {
        self.instances.iter_mut().for_each(|i| (i.paused, i.isolated) = (false, false));
        self.engines.iter_mut().for_each(|e| (e.frozen, e.loses_answers) = (false, false));
        (0..RECOVERY.as_secs() / STEP.as_secs()).for_each(|_| self.step());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    #[test]
    fn after_recovery_engines_hold_only_what_is_claimed(faults in prop::collection::vec(fault(), 0..60)) {
        let mut world = World::new();
        for fault in &faults {
            world.apply(fault);
        }
        world.recover();
        let claimed: BTreeSet<(String, String)> =
            world.instances.iter().flat_map(|i| i.running.iter().cloned()).collect();
        for (number, engine) in world.engines.iter().enumerate() {
            for id in engine.held.keys() {
                prop_assert!(claimed.contains(&(number.to_string(), id.clone())), "{id} is held and not claimed");
            }
        }
        prop_assert!(world.instances.iter().all(|i| i.pending.count() == 0));
    }

    /// While engines answer and no holder is paused, nothing in use is freed,
    /// even if instances cannot reach each other.
    #[test]
    fn a_renewed_allocation_is_never_freed(
        faults in prop::collection::vec(fault(), 0..60),
    ) {
        let mut world = World::new();
        let allowed = |f: &&Fault| !matches!(f, Fault::Pause { .. } | Fault::Freeze { .. });
        for fault in faults.iter().filter(allowed) {
            world.apply(fault);
            for instance in &world.instances {
                for (addr, id) in &instance.running {
                    let engine = &world.engines[addr.parse::<usize>().expect("a number")];
                    prop_assert!(engine.held.contains_key(id), "{id} was freed in use");
                }
            }
        }
    }
}

#[rstest]
#[case::not_expired(Duration::ZERO, false, false)]
#[case::expired_and_holder_gone(Duration::from_millis(1), false, true)]
#[case::expired_and_holder_alive(Duration::from_millis(1), true, false)]
#[case::long_expired(RENEWAL_GRACE, true, true)]
fn an_allocation_may_be_freed(#[case] expired: Duration, #[case] alive: bool, #[case] may: bool) {
    assert_eq!(reclaimable(expired, alive), may);
}

#[rstest]
#[case::engine_restarted(&[1, 2], Duration::from_secs(1), 0)]
#[case::same_boot(&[1, 1], Duration::from_mins(10), 1)]
#[case::unknown_boot(&[0, 1], Duration::from_mins(10), 1)]
#[case::gone_for_long(&[1], GONE_TIMEOUT, 0)]
#[case::gone_for_a_moment(&[1], Duration::from_secs(1), 1)]
fn a_cancel_stays_pending(#[case] boots: &[u64], #[case] after: Duration, #[case] count: usize) {
    let start = Instant::now();
    let mut pending = PendingCancels::default();
    pending.add("a", "x", boots[0], start);
    pending.failed("a", start);
    pending.discard_obsolete(start + after, |_| boots.get(1).copied());
    assert_eq!(pending.count(), count);
}

#[test]
fn a_young_claim_needs_no_renewal() {
    let start = Instant::now();
    let mut claims = Claims::default();
    claims.add("a", "x", start);
    assert_eq!(claims.due(start + PERIOD / 2, PERIOD), []);
    assert_eq!(claims.due(start + PERIOD, PERIOD), [("a".to_owned(), vec!["x".to_owned()])]);
    claims.remove("a", "x");
    assert_eq!(claims.count(), 0);
}

#[rstest]
#[case::same_zone(&[("i1", "a"), ("i2", "b")], Some("i2"))]
#[case::another_zone_if_none_is_alive(&[("i1", "a")], Some("i1"))]
#[case::no_member(&[], None)]
fn the_reclaimer_is_an_instance_of_the_zone(
    #[case] members: &[(&str, &str)],
    #[case] name: Option<&str>,
) {
    assert_eq!(reclaimer("engine", "b", members), name);
}
