//! Tests of configuration documents: all faults are reported, each with its line.

use mimosapass_operator::document::{MAX_BYTES, parse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Valid configuration; each case changes one line.
const VALID: &str = "models:
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
fn a_valid_text_is_kept_as_written() {
    let document = parse(VALID).expect("no faults");
    assert_eq!(document.config.models[0].version, "1.10");
    assert_eq!(document.text, VALID);
}

#[rstest]
#[case::unknown_field(
    "    share: 10",
    "    shares: 10",
    29,
    "workspaces[0].shares: unknown field; write one of"
)]
#[case::missing_field(
    "    deadline_ms: 10000",
    "",
    13,
    "classes[0].deadline_ms: the field `deadline_ms` is missing; add it"
)]
#[case::wrong_type("    share: 10", "    share: ten", 29, "`ten` is invalid; write a whole number")]
#[case::out_of_type(
    "    priority: 90",
    "    priority: 900",
    16,
    "write a whole number from 0 to 255"
)]
#[case::out_of_range("    priority: 90", "    priority: 101", 16, "write 0 to 100")]
#[case::list_for_text("  - name: atlas", "  - name: [atlas]", 28, "found a list; write a text")]
#[case::unknown_kind("    kind: service", "    kind: motor", 10, "write one of: engine, service")]
#[case::twice(
    "    labels: {work: desk}",
    "    labels: {work: desk, work: x}",
    11,
    "`work` appears twice; remove one"
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
#[case::syntax("    share: 10", "    share: [", 29, "fix the YAML here")]
fn a_fault_is_reported_with_its_line(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] text: &str,
) {
    assert!(VALID.contains(from));
    let faults = parse(&VALID.replacen(from, to, 1)).expect_err("a fault").in_file("fleet.yaml");
    let message = faults.to_string();
    assert!(message.contains(text), "{message}");
    assert!(message.contains(&format!("fleet.yaml:{line}: ")), "{message}");
}

#[test]
fn all_faults_are_reported_together() {
    let text = VALID
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
fn a_configuration_of_the_size_expected_in_two_years_fits() {
    let text = large(2200, 12);
    println!("2,200 workspaces and 12 models: {} bytes", text.len());
    let document = parse(&text).expect("no faults");
    assert_eq!(document.config.workspaces.len(), 2200);
    assert!(text.len() < MAX_BYTES);
}

#[test]
fn a_text_over_the_limit_is_rejected() {
    let faults = parse(&format!("{VALID}#{}", "x".repeat(MAX_BYTES))).expect_err("a fault");
    assert!(faults.to_string().contains("use labels instead of lists"), "{faults}");
}

/// Returns a configuration with labels, a share and a limit for each workspace.
fn large(workspaces: usize, models: usize) -> String {
    let repeat = |count: usize, line: fn(usize) -> String| -> String {
        (0..count).map(line).collect::<Vec<_>>().concat()
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
        &repeat(models, pool),
        "models:\n",
        &repeat(models, model),
        "classes:\n  - {name: all, promise_ms: 1800, deadline_ms: 60000}\nworkspaces:\n",
        &repeat(workspaces, workspace),
    ]
    .concat()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(20_261_203), cases: 300, ..ProptestConfig::default() })]

    /// After any edit, a text is parsed or its faults are reported with valid lines.
    #[test]
    fn any_edited_text_is_parsed_or_reported(at in 0..VALID.len(), cut in 0..40_usize, new in "[a-z0-9:{}\\[\\]&*\"'\\- \n]{0,12}") {
        let end = (at + cut).min(VALID.len());
        let text = format!("{}{new}{}", &VALID[..at], &VALID[end..]);
        if let Err(faults) = parse(&text) {
            let last = text.lines().count() + 1;
            prop_assert!(!faults.list.is_empty());
            prop_assert!(faults.list.iter().all(|f| (1..=last).contains(&f.line) && !f.text.is_empty()));
        }
    }
}
