//! Configuration documents: every fault at once, each with its line.

use mimosapass_operator::document::{MAX_BYTES, parse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// A configuration without faults; each case changes one line.
const GOOD: &str = "models:
  - name: chat
    version: 1.10
    adapters: [polite]
pools:
  - name: engines
    labels: {work: model}
    models: [chat]
  - name: desk
    kind: service
    labels: {work: desk}
classes:
  - name: bookings
    accept: {services: [bookings]}
    select: {work: desk}
    priority: 90
    promise_ms: 1000
    deadline_ms: 10000
  - name: chats
    accept: {models: [chat], max_tokens: 9000}
    select: {work: model}
    promise_ms: 1800
    deadline_ms: 20000
services:
  - name: bookings
    pool: desk
workspaces:
  - name: atlas
    share: 10
";

#[test]
fn a_sound_text_is_read_as_written() {
    let document = parse(GOOD).expect("no faults");
    assert_eq!(document.config.models[0].version, "1.10");
    assert_eq!(document.text, GOOD);
}

#[rstest]
#[case::unknown_field(
    "    share: 10",
    "    shares: 10",
    29,
    "workspaces[0].shares: there is no such field; write one of"
)]
#[case::missing_field(
    "    deadline_ms: 10000",
    "",
    13,
    "classes[0].deadline_ms: the field `deadline_ms` is missing; add it"
)]
#[case::wrong_type(
    "    share: 10",
    "    share: ten",
    29,
    "`ten` is not right; write a whole number"
)]
#[case::out_of_type(
    "    priority: 90",
    "    priority: 900",
    16,
    "write a whole number from 0 to 255"
)]
#[case::out_of_range("    priority: 90", "    priority: 101", 16, "write 0 to 100")]
#[case::list_for_text(
    "  - name: atlas",
    "  - name: [atlas]",
    28,
    "a list stands here; write a text"
)]
#[case::unknown_kind("    kind: service", "    kind: motor", 10, "write one of: engine, service")]
#[case::twice(
    "    labels: {work: desk}",
    "    labels: {work: desk, work: x}",
    11,
    "`work` stands twice"
)]
#[case::name_twice("  - name: desk", "  - name: engines", 9, "`engines` appears twice; rename one")]
#[case::bad_name("  - name: atlas", "  - name: a b", 28, "`a b` is not a valid name")]
#[case::unknown_model(
    "    models: [chat]",
    "    models: [chat, talk]",
    8,
    "pools[0].models[1]: `talk` is not listed under `models`"
)]
#[case::unknown_service(
    "    accept: {services: [bookings]}",
    "    accept: {services: [returns]}",
    14,
    "`returns` is not listed under `services`"
)]
#[case::selects_nothing(
    "    select: {work: desk}",
    "    select: {work: nothing}",
    15,
    "no pool has these labels"
)]
#[case::selects_wrong_pool(
    "    select: {work: model}",
    "    select: {work: desk}",
    21,
    "no pool that it selects serves `chat`"
)]
#[case::wrong_pool("    pool: desk", "    pool: engines", 26, "is not a pool with `kind: service`")]
#[case::no_time(
    "    deadline_ms: 20000",
    "    deadline_ms: 0",
    23,
    "write milliseconds, 1 to 86400000"
)]
#[case::promise_over_deadline(
    "    promise_ms: 1800",
    "    promise_ms: 20001",
    22,
    "from 1 to `deadline_ms`"
)]
#[case::empty_range(
    "max_tokens: 9000",
    "min_tokens: 9, max_tokens: 8",
    20,
    "it is less than `min_tokens`"
)]
#[case::both_kinds(
    "{models: [chat], max_tokens: 9000}",
    "{models: [chat], services: [bookings]}",
    20,
    "split it into two classes"
)]
#[case::adapter_twice(
    "    adapters: [polite]",
    "    adapters: [polite, polite]",
    4,
    "models[0].adapters[1]: `polite` appears twice"
)]
#[case::share("    share: 10", "    share: 1001", 29, "1001 is out of range; write 1 to 1000")]
#[case::limit("    share: 10", "    in_flight: 0", 29, "0 blocks the workspace")]
#[case::drains_all("    share: 10", "drained: [{}]", 29, "an empty selector drains every target")]
#[case::syntax("    share: 10", "    share: [", 29, "mend the YAML here")]
fn a_fault_is_told_with_its_line(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] text: &str,
) {
    assert!(GOOD.contains(from));
    let faults = parse(&GOOD.replacen(from, to, 1)).expect_err("a fault").in_file("fleet.yaml");
    let told = faults.to_string();
    assert!(told.contains(text), "{told}");
    assert!(told.contains(&format!("fleet.yaml:{line}: ")), "{told}");
}

#[test]
fn all_faults_come_in_one_run() {
    let text = GOOD
        .replace("priority: 90", "priority: high")
        .replace("kind: service", "kind: motor")
        .replace("    promise_ms: 1800\n", "")
        .replace("share: 10", "shares: 10")
        .replace("models: [chat]\n", "models: [talk]\n");
    let faults = parse(&text).expect_err("faults");
    let lines: Vec<usize> = faults.list.iter().map(|f| f.line).collect();
    assert!([8, 10, 16, 19, 28].iter().all(|line| lines.contains(line)), "{faults}");
    assert!(lines.is_sorted(), "{faults}");
}

#[test]
fn the_size_of_two_years_ahead_fits() {
    let text = large(2200, 12);
    println!("2,200 workspaces and 12 models: {} bytes", text.len());
    let document = parse(&text).expect("no faults");
    assert_eq!(document.config.workspaces.len(), 2200);
    assert!(text.len() < MAX_BYTES);
}

#[test]
fn a_text_over_the_limit_is_refused() {
    let faults = parse(&format!("{GOOD}#{}", "x".repeat(MAX_BYTES))).expect_err("a fault");
    assert!(faults.to_string().contains("use labels instead of lists"), "{faults}");
}

/// Builds a configuration with labels, shares and limits for each workspace.
fn large(workspaces: usize, models: usize) -> String {
    let each = |most: usize, line: fn(usize) -> String| -> String {
        (0..most).map(line).collect::<Vec<_>>().concat()
    };
    let pool = |i| format!("  - {{name: pool-{i}, labels: {{pool: p{i}}}, models: [model-{i}]}}\n");
    let model = |i| format!("  - {{name: model-{i}, version: v{i}, adapters: [a, b, c]}}\n");
    let workspace = |i| {
        format!(
            "  - name: workspace-{i:04}\n    \
             labels: {{tier: gold, region: north, owner: team-{i:04}}}\n    \
             share: {}\n    in_flight: 64\n",
            i % 1000 + 1
        )
    };
    [
        "pools:\n",
        &each(models, pool),
        "models:\n",
        &each(models, model),
        "classes:\n  - {name: all, promise_ms: 1800, deadline_ms: 60000}\nworkspaces:\n",
        &each(workspaces, workspace),
    ]
    .concat()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(20_261_203), cases: 300, ..ProptestConfig::default() })]

    /// Whatever an editor does to a text, it is read or its faults are told.
    #[test]
    fn any_text_is_read_or_told(at in 0..GOOD.len(), cut in 0..40_usize, new in "[a-z0-9:{}\\[\\]&*\"'\\- \n]{0,12}") {
        let end = (at + cut).min(GOOD.len());
        let text = format!("{}{new}{}", &GOOD[..at], &GOOD[end..]);
        if let Err(faults) = parse(&text) {
            let last = text.lines().count() + 1;
            prop_assert!(!faults.list.is_empty());
            prop_assert!(faults.list.iter().all(|f| (1..=last).contains(&f.line) && !f.text.is_empty()));
        }
    }
}
