//! Benchmark of the routing decisions over a small model of engines.
//!
//! `cargo run --release -p mimosapass-core --example routing [PART OF A TITLE]`
//! prints the tables of docs/ROUTING.md. Without an argument it also draws the
//! plots in docs/ and times single decisions.

mod engine;
mod fleet;
mod plot;
mod policy;
mod report;
mod speed;
mod trace;

use std::time::Duration;

use fleet::{Fault, Scene, Seen, run};
use policy::ALL;
use report::{Figures, counted_short, figures, head, row, short};
use trace::{ATLAS, DOKAZ, LONG, Mix, Request, build};

/// Time that a trace covers.
const LENGTH: Duration = Duration::from_mins(20);
/// Time that a trace of a large zone covers.
const LARGE_LENGTH: Duration = Duration::from_secs(500);
/// Seed of the traces and of the model's own chance.
const SEED: u64 = 4;
/// Loads, in percent of the engines' capacity.
const LOADS: [u32; 4] = [50, 80, 95, 120];

fn today(mix: &Mix) -> Scene {
    let engines = if mix.name == "atlas" { 21 } else { 15 };
    Scene {
        zones: 3,
        engines,
        instances: 9,
        lag: (Duration::from_millis(50), Duration::from_millis(200)),
        faults: Vec::new(),
        seed: SEED,
    }
}

/// One zone of the size that the letter states.
fn large(mix: &Mix) -> Scene {
    Scene { zones: 1, engines: 67, instances: 42, ..today(mix) }
}

/// An engine dies each minute for half a minute; another one is slow for a time.
fn dying(mix: &Mix) -> Scene {
    let mut scene = today(mix);
    for minute in 3..18_u64 {
        let engine = (minute as usize * 5) % scene.engines;
        scene.faults.push((Duration::from_secs(minute * 60), Fault::Die(engine)));
        scene.faults.push((Duration::from_secs(minute * 60 + 30), Fault::Return(engine)));
    }
    scene.faults.push((Duration::from_mins(5), Fault::Slow(1, 4.0)));
    scene.faults.push((Duration::from_secs(700), Fault::Slow(1, 1.0)));
    scene
}

fn lagging(mix: &Mix) -> Scene {
    Scene { lag: (Duration::from_secs(1), Duration::from_secs(5)), ..today(mix) }
}

fn lost(mix: &Mix) -> Scene {
    Scene { faults: vec![(Duration::from_mins(10), Fault::LoseZone(2))], ..today(mix) }
}

/// Runs all policies on one trace and prints their table.
fn compare(title: &str, mix: &Mix, scene: &Scene, trace: &[Request]) -> Vec<(Seen, Figures)> {
    println!("\n### {title}, {} requests\n", trace.len());
    head();
    let mut runs = Vec::new();
    for policy in ALL {
        let seen = run(scene, mix.classes, trace, policy);
        let figures = figures(&seen, mix.classes);
        row(policy.name(), &seen, &figures);
        runs.push((seen, figures));
    }
    runs
}

/// Prints how much the short band suffers from long work, on the same trace.
fn slowdown(mix: &Mix, scene: &Scene, trace: &[Request], runs: &[(Seen, Figures)]) {
    let calm: Vec<Request> = trace.iter().copied().filter(|r| r.tokens < LONG).collect();
    println!(
        "\n| policy | short p95 with long | without | slowdown | all counted: with | without | slowdown |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (policy, (seen, with)) in ALL.iter().zip(runs) {
        let other = run(scene, mix.classes, &calm, *policy);
        let without = short(&figures(&other, mix.classes));
        let with = short(with);
        let [all, base] = [seen, &other].map(|s| counted_short(s, mix.classes));
        println!(
            "| {} | {with:.2} | {without:.2} | {:.2} | {all:.2} | {base:.2} | {:.2} |",
            policy.name(),
            with / without,
            all / base
        );
    }
}

fn crowds(runs: &[(Seen, Figures)]) {
    println!("\n| policy | most new requests on one engine between two reports | mean |");
    println!("|---|---|---|");
    for (policy, (seen, _)) in ALL.iter().zip(runs) {
        println!("| {} | {} | {:.1} |", policy.name(), seen.crowd, seen.mean);
    }
}

fn loads(mix: &Mix, wanted: &str) {
    let mut lines: Vec<Vec<(f64, f64)>> = vec![Vec::new(); ALL.len()];
    for load in LOADS {
        let scene = today(mix);
        let title = format!("{} at {load}%, calm", mix.name);
        if !title.contains(wanted) {
            continue;
        }
        let trace = build(mix, f64::from(load) / 100.0, scene.engines, LENGTH, SEED);
        let runs = compare(&title, mix, &scene, &trace);
        if load == 80 {
            slowdown(mix, &scene, &trace, &runs);
        }
        for (line, (_, figures)) in lines.iter_mut().zip(&runs) {
            line.push((f64::from(load), short(figures)));
        }
    }
    if wanted.is_empty() {
        plot::draw(mix.name, &lines).expect("the plot can be written");
    }
}

fn faults(mix: &Mix, wanted: &str) {
    let cases = [
        ("engines dying", dying(mix)),
        ("reports lag 1 to 5 s", lagging(mix)),
        ("one zone lost at 600 s", lost(mix)),
    ];
    for (name, scene) in cases {
        let title = format!("{} at 80%, {name}", mix.name);
        if title.contains(wanted) {
            let trace = build(mix, 0.8, scene.engines, LENGTH, SEED);
            compare(&title, mix, &scene, &trace);
        }
    }
}

fn large_zone(mix: &Mix, wanted: &str) {
    let title = format!("{} at 80%, one zone of 67 engines and 42 instances", mix.name);
    if title.contains(wanted) {
        let scene = large(mix);
        let trace = build(mix, 0.8, scene.engines, LARGE_LENGTH, SEED);
        let runs = compare(&title, mix, &scene, &trace);
        slowdown(mix, &scene, &trace, &runs);
        crowds(&runs);
    }
}

fn main() {
    let wanted = std::env::args().nth(1).unwrap_or_default();
    for mix in [&ATLAS, &DOKAZ] {
        loads(mix, &wanted);
        faults(mix, &wanted);
        large_zone(mix, &wanted);
    }
    if "speed".contains(&wanted) {
        speed::print();
    }
}
