//! Choice of a target: tiers, ejection, prefix hints and spillover.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mimosapass_core::config::{Config, Pool, TargetKind};
use mimosapass_core::health::max_ejected;
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::{
    Cause, RouteQuery, can_serve, choose, estimate_ttft, required_memory,
};
use mimosapass_core::spillover::{EngineOffer, ZoneOffer};
use mimosapass_core::target_table::{ListedTarget, LoadReport, TargetState, TargetTable};
use mimosapass_core::tiers::{BAND_COUNT, LoadSample, Tiers, length_band};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;
use rstest::rstest;

const ZONE: &str = "zone-a";
const SPEED: u64 = 20_000;
/// Longest wait beyond its own prefill that a prompt of each band may get while a
/// usable engine of the home zone is idle.
const MAX_EXTRA_WAIT: [Duration; BAND_COUNT] =
    [Duration::from_secs(1), Duration::from_secs(8), Duration::from_mins(1)];

/// Generated state of one engine.
#[derive(Clone, Debug)]
struct EngineCase {
    prefill: [u64; BAND_COUNT],
    free: u64,
    running: u32,
    leaving: bool,
    drained: bool,
    refused: bool,
    failures: u8,
}

fn engine_case() -> impl Strategy<Value = EngineCase> {
    let prefill = [0..20_000_u64, 0..60_000, 0..400_000];
    let busy = any::<[bool; BAND_COUNT]>();
    let flags = (0..8_u8, 0..8_u8, 0..8_u8);
    (prefill, busy, 0..450_000_u64, 0..70_u32, flags, 0..7_u8).prop_map(
        |(prefill, busy, free, running, flags, failures)| EngineCase {
            prefill: std::array::from_fn(|i| if busy[i] { prefill[i] } else { 0 }),
            free,
            running,
            leaving: flags.0 == 0,
            drained: flags.1 == 0,
            refused: flags.2 == 0,
            failures,
        },
    )
}

fn pool() -> Pool {
    Pool { name: "pool".into(), ..Pool::default() }
}

fn listed(i: usize, zone: &str) -> ListedTarget {
    ListedTarget {
        name: format!("engine-{i}").into(),
        kind: TargetKind::Engine,
        zone: zone.into(),
        addr: format!("127.0.0.1:{i}"),
        labels: BTreeMap::from([("n".to_owned(), i.to_string())]),
        leaving: false,
    }
}

fn report(number: u64, engine: &EngineCase) -> LoadReport {
    LoadReport {
        boot: 1,
        number,
        prefill: engine.prefill.iter().sum(),
        bands: engine.prefill,
        running: engine.running,
        slots: 64,
        free: engine.free,
        capacity: 450_000,
        speed: SPEED,
        leaving: engine.leaving,
        ..LoadReport::default()
    }
}

/// Rounds of reports before a choice, enough for the tiers to settle.
const REPORT_ROUNDS: u64 = 40;
/// Time between two rounds of reports.
const ROUND_INTERVAL: Duration = Duration::from_secs(8);

/// Builds a table whose tiers have settled on the reports.
fn targets(engines: &[EngineCase], order: impl Fn(usize) -> usize, now: Instant) -> TargetTable {
    let drained = |i: &usize| engines[*i].drained;
    let config = Config {
        pools: vec![pool()],
        drained: (0..engines.len())
            .filter(drained)
            .map(|i| BTreeMap::from([("n".to_owned(), i.to_string())]))
            .collect(),
        ..Config::default()
    };
    let mut targets = TargetTable::default();
    targets.apply_listing((0..engines.len()).map(|i| listed(order(i), ZONE)).collect(), &config);
    for number in 1..=REPORT_ROUNDS {
        let at =
            before(now, Duration::from_secs(1) + ROUND_INTERVAL * (REPORT_ROUNDS - number) as u32);
        for i in (0..engines.len()).map(&order) {
            targets.record_report(&format!("engine-{i}"), report(number, &engines[i]), at);
        }
    }
    // A repeated report changes no load, but triggers an update of the tiers.
    targets.record_report("engine-0", report(1, &engines[0]), now);
    for (i, engine) in engines.iter().enumerate() {
        let name = format!("engine-{i}");
        for _ in 0..engine.failures {
            targets.record_sent(&name, 0, 0, now);
            targets.record_end(&name, false, now);
        }
        if engine.refused {
            targets.record_draining(&name);
        }
    }
    targets
}

fn start() -> Instant {
    Instant::now() + Duration::from_hours(1)
}

fn before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).expect("properties start an hour ahead")
}

fn ejected(targets: &TargetTable, now: Instant) -> usize {
    targets.all().filter(|t| t.health.is_ejected(now)).count()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    #[test]
    fn choice_is_available_has_memory_and_was_not_tried(
        engines in proptest::collection::vec(engine_case(), 1..20),
        tokens in 1..450_000_u64,
        answer in 0..4_000_u64,
        tried in 0..3_usize,
        seed in any::<u64>(),
    ) {
        let now = start();
        let targets = targets(&engines, |i| i, now);
        let tried: Vec<TargetId> = (0..tried).map(|i| format!("engine-{i}").into()).collect();
        let (pool, zone) = (pool(), ZONE);
        let query =
            RouteQuery { pools: &[&pool], zone, tokens, answer, seed, tried: &tried, ..RouteQuery::default() };
        let Ok(choice) = choose(&targets, &query, now) else { return Ok(()) };
        let target = targets.get(&choice.target).expect("it is listed");
        let engine = &engines[choice.target["engine-".len()..].parse::<usize>().expect("a number")];
        prop_assert!(engine.free >= required_memory(tokens, answer), "{choice:?} of {engine:?}");
        prop_assert!(!(engine.leaving || engine.drained || engine.refused));
        prop_assert!(!target.health.is_ejected(now) && !tried.contains(&choice.target));
        prop_assert_eq!(estimate_ttft(&targets, &query, now), choice.reason.wait);
    }

    #[test]
    fn own_requests_since_the_report_count_against_memory(
        sizes in proptest::collection::vec(1_000..200_000_u64, 1..30),
        seed in any::<u64>(),
    ) {
        let now = start();
        let idle = EngineCase {
            prefill: [0; BAND_COUNT], free: 450_000, running: 0,
            leaving: false, drained: false, refused: false, failures: 0,
        };
        let mut targets = targets(&vec![idle; 4], |i| i, now);
        let mut held: BTreeMap<TargetId, u64> = BTreeMap::new();
        let pool = pool();
        for tokens in sizes {
            let query = RouteQuery { pools: &[&pool], zone: ZONE, tokens, seed, ..RouteQuery::default() };
            let Ok(choice) = choose(&targets, &query, now) else { continue };
            targets.record_sent(&choice.target, tokens, query.required_memory(), now);
            let held = held.entry(choice.target).or_default();
            *held += query.required_memory();
            prop_assert!(*held <= 450_000, "{held} tokens on one engine");
        }
    }

    #[test]
    fn equal_inputs_give_equal_choices(
        engines in proptest::collection::vec(engine_case(), 1..20),
        tokens in 1..450_000_u64,
        seed in any::<u64>(),
    ) {
        let now = start();
        let last = engines.len() - 1;
        let one = targets(&engines, |i| i, now);
        let other = targets(&engines, |i| last - i, now);
        let pool = pool();
        let query = RouteQuery { pools: &[&pool], zone: ZONE, tokens, seed, ..RouteQuery::default() };
        // The limit on ejections may have ejected other engines in another order of failures.
        let tiers = |table: &TargetTable| table.all().map(|t| t.tier).collect::<Vec<_>>();
        prop_assert_eq!(tiers(&one), tiers(&other));
        prop_assert_eq!(choose(&one, &query, now), choose(&other, &query, now));
    }

    #[test]
    fn no_request_waits_long_while_an_engine_is_idle(
        engines in proptest::collection::vec(engine_case(), 1..20),
        tokens in 1..400_000_u64,
        seed in any::<u64>(),
    ) {
        let now = start();
        let targets = targets(&engines, |i| i, now);
        let pool = pool();
        let query = RouteQuery { pools: &[&pool], zone: ZONE, tokens, seed, ..RouteQuery::default() };
        let Ok(choice) = choose(&targets, &query, now) else { return Ok(()) };
        let long = length_band(tokens) == BAND_COUNT - 1;
        let idle = |t: &&TargetState| {
            let usable = !long || t.tier > 0;
            can_serve(t, &query, now) && usable && t.pending_seconds(now) <= 0.0 && t.queued() == 0
        };
        let own = Duration::from_secs_f64(tokens as f64 / SPEED as f64);
        if targets.all().any(|t| idle(&t)) {
            let most = own + MAX_EXTRA_WAIT[length_band(tokens)];
            prop_assert!(choice.reason.wait <= most, "{choice:?} waits while an engine is idle");
        }
    }

    #[test]
    fn first_tier_keeps_engines_free_of_long_prompts(
        engines in proptest::collection::vec(engine_case(), 2..20),
        tokens in 33_000..400_000_u64,
        seed in any::<u64>(),
    ) {
        let now = start();
        let targets = targets(&engines, |i| i, now);
        let pool = pool();
        let query = RouteQuery { pools: &[&pool], zone: ZONE, tokens, seed, ..RouteQuery::default() };
        let Ok(choice) = choose(&targets, &query, now) else { return Ok(()) };
        let open = |t: &&TargetState| t.is_available(now);
        let head = || targets.all().filter(open).filter(|t| t.tier == 0);
        let clear = head().filter(|t| t.report.bands[BAND_COUNT - 1] == 0).count();
        let others = targets.all().filter(open).any(|t| t.tier > 0);
        let chosen = targets.get(&choice.target).expect("it is listed");
        if others && clear <= (head().count() / 2).max(1) {
            prop_assert!(chosen.tier > 0, "{choice:?} takes one of the last clear engines");
        }
    }

    #[test]
    fn ejections_never_exceed_the_maximum(
        count in 1..12_usize,
        failing in proptest::collection::vec((0..12_usize, 0..4_000_u64), 0..200),
    ) {
        let mut now = start();
        let mut targets = TargetTable::default();
        let config = Config { pools: vec![pool()], ..Config::default() };
        targets.apply_listing((0..count).map(|i| listed(i, ZONE)).collect(), &config);
        for (engine, millis) in failing {
            now += Duration::from_millis(millis);
            let name = format!("engine-{}", engine % count);
            targets.record_sent(&name, 0, 0, now);
            targets.record_end(&name, false, now);
            prop_assert!(ejected(&targets, now) <= max_ejected(count));
        }
    }

    #[test]
    fn boundaries_stay_stable_under_noisy_demand(
        engines in 8..70_usize,
        share in 0.1..0.8_f64,
        noise in proptest::collection::vec(any::<bool>(), 300),
    ) {
        let mut tiers = Tiers::default();
        let mut now = start();
        let long = (engines as f64 * share) as usize;
        let mut moves = 0;
        for (second, up) in noise.into_iter().enumerate() {
            now += Duration::from_secs(1);
            let busy = [1, 1, long + usize::from(up)];
            let old_ends = tiers.ends();
            tiers.observe(LoadSample { engines, busy, ..LoadSample::default() }, now);
            moves += usize::from(second > 60 && tiers.ends() != old_ends);
        }
        // 240 s of noise by one engine; a tier shrinks only after 15 s.
        prop_assert!(moves <= 16, "{moves} moves");
    }

    #[test]
    fn instances_with_different_histories_converge_to_equal_boundaries(
        engines in 8..70_usize,
        history in proptest::collection::vec((0..60_usize, 0..20_usize), 0..60),
        long in 0.1..0.6_f64,
    ) {
        let (mut old, mut new) = (Tiers::default(), Tiers::default());
        let mut now = start();
        for (long, short) in history {
            now += Duration::from_secs(1);
            let busy = [short.min(engines), 0, long.min(engines)];
            old.observe(LoadSample { engines, busy, ..LoadSample::default() }, now);
        }
        let busy = [engines / 10, 1, (engines as f64 * long) as usize];
        for _ in 0..900 {
            now += Duration::from_secs(1);
            let sample = LoadSample { engines, busy, ..LoadSample::default() };
            old.observe(sample, now);
            new.observe(sample, now);
        }
        prop_assert_eq!(old.ends(), new.ends());
    }

    #[test]
    fn spillover_stays_within_the_offer(
        spare in 0..40_000_u64,
        sizes in proptest::collection::vec(500..8_000_u64, 1..60),
        busy in 0..100_000_u64,
    ) {
        let now = start();
        let (mut targets, pool) = (two_zones(busy, now), pool());
        let engines = vec![EngineOffer {
            target: "engine-1".into(), band: 0, prefill: 0, free: 450_000, speed: SPEED,
        }];
        let offer = ZoneOffer { wait: Duration::from_millis(100), spare, engines };
        targets.record_offer(&"zone-b".into(), &offer, now);
        let promise = Duration::from_millis(1_800);
        let mut spilled = 0;
        for tokens in sizes {
            let query = RouteQuery { pools: &[&pool], zone: ZONE, tokens, promise, ..RouteQuery::default() };
            let choice = choose(&targets, &query, now).expect("the home engine is open");
            let home = targets.get("engine-0").map_or(0.0, |t| t.pending_seconds(now));
            let waits = home + tokens as f64 / SPEED as f64;
            if &*choice.target == "engine-1" {
                spilled += tokens;
                prop_assert_eq!(choice.reason.cause, Cause::Spillover);
                prop_assert!(waits > promise.as_secs_f64(), "home kept the promise: {waits} s");
            }
            targets.record_sent(&choice.target, tokens, query.required_memory(), now);
        }
        prop_assert!(spilled <= spare, "{spilled} of {spare} tokens");
    }
}

/// Builds a table of one home engine with `prefill` pending tokens and one in another zone.
fn two_zones(prefill: u64, now: Instant) -> TargetTable {
    let mut targets = TargetTable::default();
    let config = Config { pools: vec![pool()], ..Config::default() };
    targets.apply_listing(vec![listed(0, ZONE), listed(1, "zone-b")], &config);
    let engine = EngineCase {
        prefill: [prefill, 0, 0],
        free: 450_000,
        running: 0,
        leaving: false,
        drained: false,
        refused: false,
        failures: 0,
    };
    targets.record_report("engine-0", report(1, &engine), now);
    targets
}

/// Offer of the engine in the other zone.
#[derive(Clone, Copy, Debug)]
enum Offered {
    None,
    Age(Duration),
}

#[rstest]
#[case::no_offer(Offered::None, 90_000, "engine-0")]
#[case::home_keeps_the_promise(Offered::Age(Duration::ZERO), 1_000, "engine-0")]
#[case::offered(Offered::Age(Duration::ZERO), 90_000, "engine-1")]
#[case::stale_offer(Offered::Age(Duration::from_secs(6)), 90_000, "engine-0")]
fn spillover_needs_a_fresh_offer(
    #[case] offered: Offered,
    #[case] prefill: u64,
    #[case] chosen: &str,
) {
    let now = start();
    let mut targets = two_zones(prefill, now);
    if let Offered::Age(age) = offered {
        let engines = vec![EngineOffer {
            target: "engine-1".into(),
            band: 0,
            prefill: 0,
            free: 450_000,
            speed: SPEED,
        }];
        let offer = ZoneOffer { wait: Duration::ZERO, spare: 50_000, engines };
        targets.record_offer(&"zone-b".into(), &offer, before(now, age));
    }
    let pool = pool();
    let promise = Duration::from_millis(1_800);
    let query =
        RouteQuery { pools: &[&pool], zone: ZONE, tokens: 2_000, promise, ..RouteQuery::default() };
    assert_eq!(&*choose(&targets, &query, now).expect("a choice").target, chosen);
}

#[test]
fn zone_without_available_engines_uses_other_zones() {
    let now = start();
    let mut targets = two_zones(0, now);
    targets.record_draining("engine-0");
    let pool = pool();
    let query = RouteQuery { pools: &[&pool], zone: ZONE, tokens: 2_000, ..RouteQuery::default() };
    let choice = choose(&targets, &query, now).expect("a choice");
    assert_eq!((&*choice.target, choice.reason.cause), ("engine-1", Cause::NoHomeTarget));
}

#[rstest]
#[case::fresh(1, Duration::ZERO, true)]
#[case::stale(1, Duration::from_mins(6), false)]
#[case::of_another_prompt(2, Duration::ZERO, false)]
fn cached_prefix_hint_lowers_the_wait(
    #[case] prefix: u64,
    #[case] age: Duration,
    #[case] used: bool,
) {
    let now = start();
    let busy = |i: usize| EngineCase {
        prefill: [0, if i == 3 { 60_000 } else { 40_000 }, 0],
        free: 450_000,
        running: 1,
        leaving: false,
        drained: false,
        refused: false,
        failures: 0,
    };
    let mut targets = targets(&[0, 1, 2, 3].map(busy), |i| i, now);
    targets.add_cache_hint(1, &"engine-3".into(), 30_000, before(now, age));
    let pool = pool();
    let query =
        RouteQuery { pools: &[&pool], zone: ZONE, tokens: 30_000, prefix, ..RouteQuery::default() };
    let choice = choose(&targets, &query, now).expect("a choice");
    assert_eq!(choice.reason.cause == Cause::PrefixCached, used, "{choice:?}");
}

#[test]
fn readmitted_target_starts_slowly() {
    let mut now = start();
    let mut targets = TargetTable::default();
    let config = Config { pools: vec![pool()], ..Config::default() };
    targets.apply_listing((0..3).map(|i| listed(i, ZONE)).collect(), &config);
    for _ in 0..3 {
        targets.record_sent("engine-0", 0, 0, now);
        targets.record_end("engine-0", false, now);
    }
    let share = |targets: &TargetTable, at| {
        targets.get("engine-0").expect("listed").health.traffic_share(at)
    };
    assert_eq!(ejected(&targets, now), 1);
    now += Duration::from_secs(5);
    assert_eq!(ejected(&targets, now), 0);
    let shares: Vec<f64> =
        [0, 4, 10, 20].map(|s| share(&targets, now + Duration::from_secs(s))).to_vec();
    assert!(shares.windows(2).all(|w| w[0] < w[1]), "{shares:?}");
    assert!(shares[0] <= 0.1 && shares[3] >= 1.0, "{shares:?}");
}

#[rstest]
#[case::like_its_peers(1, 0)]
#[case::four_times_slower(4, 1)]
fn engine_slower_than_its_peers_is_ejected(#[case] factor: u32, #[case] out: usize) {
    let now = start();
    let idle = EngineCase {
        prefill: [0; BAND_COUNT],
        free: 450_000,
        running: 0,
        leaving: false,
        drained: false,
        refused: false,
        failures: 0,
    };
    let mut targets = targets(&vec![idle.clone(); 5], |i| i, now);
    for _ in 0..60 {
        for i in 0..5 {
            let name = format!("engine-{i}");
            let took = Duration::from_millis(200) * if i == 0 { factor } else { 1 };
            targets.record_sent(&name, 4_000, 4_512, now);
            targets.record_first_token(&name, 4_000, Some(took));
            targets.record_end(&name, true, now);
        }
    }
    let later = now + Duration::from_secs(2);
    targets.record_report("engine-1", report(REPORT_ROUNDS + 1, &idle), later);
    assert_eq!(ejected(&targets, later), out);
}
