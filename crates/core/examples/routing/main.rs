//! Benchmark of the routing decisions on a simulated fleet of engines.
//!
//! `cargo run --release -p mimosapass-core --example routing [PART OF A TITLE]`
//! prints the tables of docs/ROUTING.md. Without an argument it also draws the
//! plots in docs/ and measures single decisions.

mod engine;
mod fleet;
mod plot;
mod policy;
mod report;
mod speed;
mod trace;

use std::time::Duration;

use fleet::{Fault, RunResult, Scenario, run};
use policy::ALL;
use report::{Figures, figures, print_head, print_row, short_p95, short_with_refused};
use trace::{ATLAS, DOKAZ, MIN_LONG_TOKENS, Mix, Request, build};

/// Time that a trace covers.
const DURATION: Duration = Duration::from_mins(20);
/// Time that a trace of a large zone covers.
const LARGE_DURATION: Duration = Duration::from_secs(500);
/// Seed of the traces and of the simulation.
const SEED: u64 = 4;
/// Loads, in percent of the engines' capacity.
const LOADS: [u32; 4] = [50, 80, 95, 120];

fn small_fleet(mix: &Mix) -> Scenario {
    let engines = if mix.name == "atlas" { 21 } else { 15 };
    Scenario {
        zones: 3,
        engines,
        instances: 9,
        lag: (Duration::from_millis(50), Duration::from_millis(200)),
        faults: Vec::new(),
        seed: SEED,
    }
}

/// One zone of the largest expected size.
fn large_zone_scenario(mix: &Mix) -> Scenario {
    Scenario { zones: 1, engines: 67, instances: 42, ..small_fleet(mix) }
}

/// An engine is down for half of each minute, and another one is slow for a time.
fn engines_dying(mix: &Mix) -> Scenario {
    let mut scenario = small_fleet(mix);
    for minute in 3..18_u64 {
        let engine = (minute as usize * 5) % scenario.engines;
        scenario.faults.push((Duration::from_secs(minute * 60), Fault::Die(engine)));
        scenario.faults.push((Duration::from_secs(minute * 60 + 30), Fault::Return(engine)));
    }
    scenario.faults.push((Duration::from_mins(5), Fault::Slow(1, 4.0)));
    scenario.faults.push((Duration::from_secs(700), Fault::Slow(1, 1.0)));
    scenario
}

fn late_reports(mix: &Mix) -> Scenario {
    Scenario { lag: (Duration::from_secs(1), Duration::from_secs(5)), ..small_fleet(mix) }
}

fn zone_lost(mix: &Mix) -> Scenario {
    Scenario { faults: vec![(Duration::from_mins(10), Fault::LoseZone(2))], ..small_fleet(mix) }
}

/// Runs all policies on one trace and prints a table.
fn compare(
    title: &str,
    mix: &Mix,
    scenario: &Scenario,
    trace: &[Request],
) -> Vec<(RunResult, Figures)> {
    println!("\n### {title}, {} requests\n", trace.len());
    print_head();
    let mut runs = Vec::new();
    for policy in ALL {
        let result = run(scenario, mix.classes, trace, policy);
        let figures = figures(&result, mix.classes);
        print_row(policy.name(), &result, &figures);
        runs.push((result, figures));
    }
    runs
}

/// Prints how much long prompts slow down short ones on the same trace.
fn slowdown(mix: &Mix, scenario: &Scenario, trace: &[Request], runs: &[(RunResult, Figures)]) {
    let short_only: Vec<Request> =
        trace.iter().copied().filter(|r| r.tokens < MIN_LONG_TOKENS).collect();
    println!(
        "\n| policy | short p95 with long | without | slowdown | all counted: with | without | slowdown |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (policy, (result, with)) in ALL.iter().zip(runs) {
        let other = run(scenario, mix.classes, &short_only, *policy);
        let without = short_p95(&figures(&other, mix.classes));
        let with = short_p95(with);
        let [all, base] = [result, &other].map(|s| short_with_refused(s, mix.classes));
        println!(
            "| {} | {with:.2} | {without:.2} | {:.2} | {all:.2} | {base:.2} | {:.2} |",
            policy.name(),
            with / without,
            all / base
        );
    }
}

fn bursts(runs: &[(RunResult, Figures)]) {
    println!("\n| policy | most new requests on one engine between two reports | mean |");
    println!("|---|---|---|");
    for (policy, (result, _)) in ALL.iter().zip(runs) {
        println!("| {} | {} | {:.1} |", policy.name(), result.burst, result.mean_burst);
    }
}

fn loads(mix: &Mix, filter: &str) {
    let mut lines: Vec<Vec<(f64, f64)>> = vec![Vec::new(); ALL.len()];
    for load in LOADS {
        let scenario = small_fleet(mix);
        let title = format!("{} at {load}%, calm", mix.name);
        if !title.contains(filter) {
            continue;
        }
        let trace = build(mix, f64::from(load) / 100.0, scenario.engines, DURATION, SEED);
        let runs = compare(&title, mix, &scenario, &trace);
        if load == 80 {
            slowdown(mix, &scenario, &trace, &runs);
        }
        for (line, (_, figures)) in lines.iter_mut().zip(&runs) {
            line.push((f64::from(load), short_p95(figures)));
        }
    }
    if filter.is_empty() {
        plot::draw(mix.name, &lines).expect("the plot can be written");
    }
}

fn faults(mix: &Mix, filter: &str) {
    let cases = [
        ("engines dying", engines_dying(mix)),
        ("reports lag 1 to 5 s", late_reports(mix)),
        ("one zone lost at 600 s", zone_lost(mix)),
    ];
    for (name, scenario) in cases {
        let title = format!("{} at 80%, {name}", mix.name);
        if title.contains(filter) {
            let trace = build(mix, 0.8, scenario.engines, DURATION, SEED);
            compare(&title, mix, &scenario, &trace);
        }
    }
}

fn large_zone(mix: &Mix, filter: &str) {
    let title = format!("{} at 80%, one zone of 67 engines and 42 instances", mix.name);
    if title.contains(filter) {
        let scenario = large_zone_scenario(mix);
        let trace = build(mix, 0.8, scenario.engines, LARGE_DURATION, SEED);
        let runs = compare(&title, mix, &scenario, &trace);
        slowdown(mix, &scenario, &trace, &runs);
        bursts(&runs);
    }
}

fn main() {
    let filter = std::env::args().nth(1).unwrap_or_default();
    for mix in [&ATLAS, &DOKAZ] {
        loads(mix, &filter);
        faults(mix, &filter);
        large_zone(mix, &filter);
    }
    if "speed".contains(&filter) {
        speed::print();
    }
}
