//! Groups are complete, use as little memory as possible, and never deadlock.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mimosapass_core::config::{Accept, Class, Config, Pool, TargetKind};
use mimosapass_core::group::{
    Candidate, Plan, Share, candidates, fits_one_engine, plan, required_tokens,
};
use mimosapass_core::labels::{Labels, Selector};
use mimosapass_core::target_table::{ListedTarget, LoadReport, TargetTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn candidate(name: usize, capacity: u64, free: u64) -> Candidate {
    Candidate {
        target: format!("e{name:02}").as_str().into(),
        addr: name.to_string(),
        capacity,
        free,
    }
}

fn engines() -> impl Strategy<Value = Vec<Candidate>> {
    prop::collection::vec((1..1_000_u64, 0..=100_u64), 0..12).prop_map(|sizes| {
        let of = |(n, (capacity, percent)): (usize, &(u64, u64))| {
            candidate(n, *capacity, capacity * percent / 100)
        };
        sizes.iter().enumerate().map(of).collect()
    })
}

/// Engines that reserve either a whole share or nothing.
#[derive(Debug)]
struct Engines {
    free: BTreeMap<String, u64>,
}

/// A leader that reserves the shares of a plan one by one.
#[derive(Debug, Default)]
struct Leader {
    shares: Vec<Share>,
    reserved: usize,
    granted: bool,
}

impl Leader {
    /// Reserves one share; releases all when an engine refuses.
    fn step(&mut self, engines: &mut Engines) {
        let Some(share) = self.shares.get(self.reserved) else {
            self.granted = !self.shares.is_empty();
            return;
        };
        let free = engines.free.get_mut(&share.addr).expect("it exists");
        if *free >= share.tokens {
            *free -= share.tokens;
            self.reserved += 1;
        } else {
            self.release(engines);
        }
    }

    fn release(&mut self, engines: &mut Engines) {
        for share in self.shares.drain(..).take(self.reserved) {
            *engines.free.get_mut(&share.addr).expect("it exists") += share.tokens;
        }
        (self.reserved, self.granted) = (0, false);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    #[test]
    fn plan_covers_the_need_with_the_fewest_engines(engines in engines(), need in 1..4_000_u64) {
        let total: u64 = engines.iter().map(|m| m.capacity).sum();
        let free: u64 = engines.iter().map(|m| m.free).sum();
        match plan(&engines, need) {
            Plan::TooLarge { capacity: stated } => {
                prop_assert!(need > total);
                prop_assert_eq!(stated, total);
            }
            Plan::Insufficient { free: stated } => {
                prop_assert!((need <= total || engines.is_empty()) && need > free);
                prop_assert_eq!(stated, free);
            }
            Plan::Group(shares) => {
                prop_assert_eq!(shares.iter().map(|s| s.tokens).sum::<u64>(), need);
                prop_assert!(shares.is_sorted_by(|a, b| a.target < b.target));
                for share in &shares {
                    let of = engines.iter().find(|m| m.target == share.target).expect("a candidate");
                    prop_assert!(share.tokens > 0 && share.tokens <= of.free);
                }
                // Fewer engines could not hold the prompt.
                let mut sizes: Vec<u64> = engines.iter().map(|m| m.free).collect();
                sizes.sort_unstable_by(|a, b| b.cmp(a));
                prop_assert!(sizes.iter().take(shares.len() - 1).sum::<u64>() < need);
                // No unused engine with less free memory could replace the last one.
                let last = shares.iter().find_map(|s| {
                    let of = engines.iter().find(|m| m.target == s.target)?;
                    (of.free > s.tokens).then_some((of.free, s.tokens))
                });
                if let Some((held, tokens)) = last {
                    let unused = |m: &&Candidate| shares.iter().all(|s| s.target != m.target);
                    let better = engines.iter().filter(unused).any(|m| m.free >= tokens && m.free < held);
                    prop_assert!(!better);
                }
            }
        }
    }

    /// Two leaders reserve concurrently, in any order of steps: each ends with a
    /// complete group or with nothing, and at least one gets its group.
    #[test]
    fn concurrent_leaders_get_complete_groups_or_nothing(
        engines in engines(),
        needs in (1..2_000_u64, 1..2_000_u64),
        order in prop::collection::vec(any::<bool>(), 60),
    ) {
        let mut pool = Engines {
            free: engines.iter().map(|m| (m.addr.clone(), m.free)).collect(),
        };
        let before = pool.free.clone();
        let shares = |need| match plan(&engines, need) {
            Plan::Group(shares) => shares,
            Plan::Insufficient { .. } | Plan::TooLarge { .. } => Vec::new(),
        };
        let mut leaders = [
            Leader { shares: shares(needs.0), ..Leader::default() },
            Leader { shares: shares(needs.1), ..Leader::default() },
        ];
        let any_planned = leaders.iter().any(|l| !l.shares.is_empty());
        for first in order {
            leaders[usize::from(first)].step(&mut pool);
        }
        // Both leaders finish.
        (0..30).for_each(|_| leaders.iter_mut().for_each(|l| l.step(&mut pool)));
        prop_assert!(!any_planned || leaders.iter().any(|l| l.granted), "neither leader got its group");
        for leader in &mut leaders {
            prop_assert!(leader.granted || leader.reserved == 0);
            leader.release(&mut pool);
        }
        prop_assert_eq!(&pool.free, &before);
    }
}

#[rstest]
#[case::fewest_engines(&[100, 60, 50], 120, &[("e00", 100), ("e02", 20)])]
#[case::least_that_suffices(&[100, 60, 50, 30], 125, &[("e00", 100), ("e03", 25)])]
#[case::all(&[100, 60, 50], 210, &[("e00", 100), ("e01", 60), ("e02", 50)])]
#[case::one(&[100, 60, 50], 55, &[("e01", 55)])]
fn group_has_the_expected_shares(
    #[case] free: &[u64],
    #[case] need: u64,
    #[case] shares: &[(&str, u64)],
) {
    let engines: Vec<Candidate> =
        free.iter().enumerate().map(|(n, f)| candidate(n, 100, *f)).collect();
    let Plan::Group(planned) = plan(&engines, need) else { panic!("no group") };
    let planned: Vec<(&str, u64)> = planned.iter().map(|s| (s.target.as_ref(), s.tokens)).collect();
    assert_eq!(planned, shares);
}

#[rstest]
#[case::too_large(&[(100, 100), (100, 100)], 201, Plan::TooLarge { capacity: 200 })]
#[case::busy(&[(100, 100), (100, 40)], 200, Plan::Insufficient { free: 140 })]
#[case::no_engine_is_known(&[], 1, Plan::Insufficient { free: 0 })]
#[case::size_unknown(&[(100, 100), (0, 0)], 201, Plan::Insufficient { free: 100 })]
fn no_group_is_planned_without_memory(
    #[case] sizes: &[(u64, u64)],
    #[case] need: u64,
    #[case] outcome: Plan,
) {
    let engines: Vec<Candidate> =
        sizes.iter().enumerate().map(|(n, (c, f))| candidate(n, *c, *f)).collect();
    assert_eq!(plan(&engines, need), outcome);
}

/// Which engines are candidates, and with how much free memory.
#[rstest]
#[case::fresh_report("z", false, Some(1), Some((100, 60)))]
#[case::old_report("z", false, Some(9), Some((100, 0)))]
#[case::no_report("z", false, None, Some((0, 0)))]
#[case::leaving("z", true, Some(1), None)]
#[case::another_zone("y", false, Some(1), None)]
fn candidate_depends_on_zone_report_and_listing(
    #[case] zone: &str,
    #[case] leaving: bool,
    #[case] age: Option<u64>,
    #[case] expected: Option<(u64, u64)>,
) {
    let now = Instant::now();
    let class = Class {
        name: "chats".into(),
        accept: Accept::default(),
        select: Selector::default(),
        priority: 50,
        promise_ms: 1,
        deadline_ms: 1,
        idempotent: None,
        queue: 1,
    };
    let pool = Pool { name: "p".into(), models: vec!["chat".into()], ..Pool::default() };
    let config = Config { pools: vec![pool], ..Config::default() };
    let listed = ListedTarget {
        name: "e".into(),
        kind: TargetKind::Engine,
        zone: "z".into(),
        addr: "a".to_owned(),
        labels: Labels::default(),
        leaving,
    };
    let mut targets = TargetTable::default();
    targets.apply_listing(vec![listed], &config);
    if age.is_some() {
        let report =
            LoadReport { boot: 1, number: 1, free: 60, capacity: 100, ..LoadReport::default() };
        targets.record_report("e", report, now);
    }
    let later = now + Duration::from_secs(age.unwrap_or(0));
    let found = candidates(&targets, &config, &class, &"chat".into(), zone, later);
    assert_eq!(found.first().map(|m| (m.capacity, m.free)), expected);
}

#[test]
fn one_engine_suffices_if_any_is_large_enough() {
    assert!(fits_one_engine(&[candidate(0, 100, 0), candidate(1, 50, 50)], 100));
    assert!(!fits_one_engine(&[candidate(0, 100, 100)], 101));
    assert!(
        !fits_one_engine(&[candidate(0, 100, 100), candidate(1, 0, 0)], 101),
        "one engine has an unknown size"
    );
    assert!(
        fits_one_engine(&[candidate(0, 0, 0), candidate(1, 0, 0)], 101),
        "all sizes are unknown"
    );
    assert_eq!(required_tokens(1_000, Some(50)), 1_150);
}
