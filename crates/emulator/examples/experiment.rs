//! Plays load patterns on the decisions and prints a table; see docs/LOAD.md.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mimosapass_emulator::pattern::{Pattern, all_patterns};
use mimosapass_emulator::policy::{ALL_POLICIES, Policy};
use mimosapass_emulator::report::{Metrics, metrics, on_time, short_p95_ms, table_head, table_row};
use mimosapass_emulator::simulation::{CallRecord, replay, run};
use mimosapass_emulator::{load, plot, timing};

/// Plays load patterns on the gateway's decisions, in simulated time.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Seeds that each pattern is played with; figures are means over their calls.
    #[bpaf(fallback(3), display_fallback)]
    seeds: u64,
    /// First seed.
    #[bpaf(fallback(1), display_fallback)]
    first: u64,
    /// Play the product's decision only.
    own: bool,
    /// Print each call that earned nothing or came late, as CSV, instead of tables.
    calls: bool,
    /// Time one decision over 18, 67 and 200 engines instead.
    speed: bool,
    /// Draw worth over load to this file, as SVG.
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Play only patterns whose name has this text.
    #[bpaf(positional("NAME"), fallback(String::new()))]
    name: String,
}

fn play(pattern: &Pattern, policy: Policy, options: &Options) -> Vec<CallRecord> {
    let seeds = options.first..options.first + options.seeds;
    seeds.flat_map(|seed| run(pattern, policy, seed).records).collect()
}

/// Returns the p95 of short prompts with long ones over that without them.
fn slowdown(pattern: &Pattern, policy: Policy, options: &Options, with: &Metrics) -> f64 {
    let alone = |seed| {
        let mut calls = load::calls(pattern, seed);
        calls.retain(|call| call.kind == 0);
        replay(pattern, policy, seed, calls).records
    };
    let seeds = options.first..options.first + options.seeds;
    let records: Vec<CallRecord> = seeds.flat_map(alone).collect();
    short_p95_ms(with) as f64 / short_p95_ms(&metrics(&records)).max(1) as f64
}

fn losses(records: &[CallRecord]) {
    for f in records.iter().filter(|f| f.end.is_none() || !on_time(f)) {
        println!(
            "{},{},{},{},{:?},{},{},{},{},{}",
            f.call.at.as_millis(),
            load::KINDS[f.call.kind].name,
            f.call.prompt,
            f.call.events,
            f.end,
            f.first_event.map_or(-1, |t| t.as_millis() as i64),
            f.max_gap.as_millis(),
            f.granted_at.saturating_sub(f.call.at).as_millis(),
            f.predicted.as_millis(),
            f.parts
        );
    }
}

fn tables(patterns: &[Pattern], options: &Options) {
    println!("{}", table_head().replacen('\n', " slowdown |\n|---", 1));
    let mut sum = 0.0;
    for pattern in patterns {
        for policy in ALL_POLICIES.into_iter().filter(|p| !options.own || *p == Policy::Mimosapass)
        {
            let found = metrics(&play(pattern, policy, options));
            let slower = slowdown(pattern, policy, options, &found);
            println!("{} {slower:.2} |", table_row(pattern.name, policy.name(), &found));
            if policy == Policy::Mimosapass {
                sum += found.worth;
            }
        }
    }
    println!("\nmean worth of mimosapass: {:.4}", sum / patterns.len().max(1) as f64);
}

fn curve(path: &std::path::Path, options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    let calm = all_patterns().into_iter().find(|p| p.name == "usual").ok_or("no usual pattern")?;
    let loads = [0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0];
    let line = |policy| {
        let point = |load| {
            let pattern = Pattern { load, ..calm.clone() };
            (load, metrics(&play(&pattern, policy, options)).worth)
        };
        loads.map(point).to_vec()
    };
    plot::draw(path, "Worth by load: chats, summaries, reviews", &ALL_POLICIES.map(line))
}

fn main() -> ExitCode {
    let options = options().run();
    let patterns: Vec<Pattern> =
        all_patterns().into_iter().filter(|p| p.name.contains(&options.name)).collect();
    if patterns.is_empty() {
        eprintln!("no pattern's name has {:?}; give none to play all", options.name);
        return ExitCode::FAILURE;
    }
    if options.speed {
        println!("| engines | prompt | one decision |\n|---|---|---|");
        for (engines, prompt) in [18, 67, 200].into_iter().flat_map(|e| [(e, 5_000), (e, 300_000)])
        {
            println!(
                "| {engines} | {prompt} | {:?} |",
                timing::mean_decision_time(engines, prompt)
            );
        }
    } else if let Some(path) = &options.plot {
        if let Err(e) = curve(path, &options) {
            eprintln!("{}: {e}", path.display());
            return ExitCode::FAILURE;
        }
    } else if options.calls {
        println!("at_ms,kind,prompt,events,end,first_ms,pause_ms,waited_ms,predicted_ms,parts");
        for pattern in &patterns {
            losses(&play(pattern, Policy::Mimosapass, &options));
        }
    } else {
        tables(&patterns, &options);
    }
    ExitCode::SUCCESS
}
