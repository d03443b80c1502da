//! Simulates load patterns and prints a table of metrics; see docs/LOAD.md.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mimosapass_emulator::pattern::{Pattern, all_patterns, uneven_patterns};
use mimosapass_emulator::policy::{ALL_POLICIES, Policy};
use mimosapass_emulator::report::{Metrics, metrics, on_time, short_p95_ms, table_head, table_row};
use mimosapass_emulator::simulation::{CallRecord, replay, run};
use mimosapass_emulator::{fleets, load, plot, timing};

/// Runs load patterns on the gateway's scheduling decisions, in simulated time.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
#[expect(clippy::struct_excessive_bools, reason = "each is a flag of the command line")]
struct Options {
    /// Number of seeds per pattern; metrics cover the calls of all seeds.
    #[bpaf(fallback(3), display_fallback)]
    seeds: u64,
    /// First seed.
    #[bpaf(fallback(1), display_fallback)]
    first: u64,
    /// Run only the gateway's own policy, without the baselines.
    own: bool,
    /// Use the price by the backlog of engines in the gateway's own policy.
    backlog: bool,
    /// Use what callers and operators state in the gateway's own policy, nothing learned of costs.
    stated: bool,
    /// Print each late or unserved call as CSV instead of tables.
    calls: bool,
    /// Measure the time of one decision over 18, 67, 200 and 600 engines instead.
    speed: bool,
    /// Compare fleets of several sizes, and which instances are told of requests, instead.
    sizes: bool,
    /// Plot worth over load to this file as SVG.
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Run only patterns whose name contains this text.
    #[bpaf(positional("NAME"), fallback(String::new()))]
    name: String,
}

fn run_seeds(pattern: &Pattern, policy: Policy, options: &Options) -> Vec<CallRecord> {
    let seeds = options.first..options.first + options.seeds;
    seeds.flat_map(|seed| run(pattern, policy, seed).records).collect()
}

/// Returns the p95 of short prompts beside long ones, relative to that without them.
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

/// Prints each late or unserved call as CSV.
fn print_lost(records: &[CallRecord]) {
    for r in records.iter().filter(|r| r.end.is_none() || !on_time(r)) {
        println!(
            "{},{},{},{},{:?},{},{},{},{},{}",
            r.call.at.as_millis(),
            load::KINDS[r.call.kind].name,
            r.call.prompt,
            r.call.events,
            r.end,
            r.first_event.map_or(-1, |t| t.as_millis() as i64),
            r.max_gap.as_millis(),
            r.granted_at.saturating_sub(r.call.at).as_millis(),
            r.predicted.as_millis(),
            r.parts
        );
    }
}

fn print_tables(patterns: &[Pattern], options: &Options) {
    println!("{}", table_head().replacen('\n', " slowdown |\n|---", 1));
    let mut sum = 0.0;
    for pattern in patterns {
        for policy in ALL_POLICIES.into_iter().filter(|p| !options.own || p.queues()) {
            let policy =
                if options.backlog && policy.queues() { Policy::BacklogPrice } else { policy };
            let policy =
                if options.stated && policy.queues() { Policy::StatedCosts } else { policy };
            let result = metrics(&run_seeds(pattern, policy, options));
            let slower = slowdown(pattern, policy, options, &result);
            println!("{} {slower:.2} |", table_row(pattern.name, policy.name(), &result));
            if policy.queues() {
                sum += result.worth;
            }
        }
    }
    println!("\nmean worth of mimosapass: {:.4}", sum / patterns.len().max(1) as f64);
}

/// Plots the share of worth of each policy over load.
fn plot_worth(path: &std::path::Path, options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    let usual = all_patterns()
        .into_iter()
        .find(|p| p.name == "usual")
        .ok_or("no pattern is named `usual`")?;
    let loads = [0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0];
    let line = |policy| {
        let point = |load| {
            let pattern = Pattern { load, ..usual.clone() };
            (load, metrics(&run_seeds(&pattern, policy, options)).worth)
        };
        loads.map(point).to_vec()
    };
    plot::draw(path, "Worth by load: chats, summaries, reviews", &ALL_POLICIES.map(line))
}

fn main() -> ExitCode {
    let options = options().run();
    let patterns: Vec<Pattern> = all_patterns()
        .into_iter()
        .chain(uneven_patterns())
        .filter(|p| p.name.contains(&options.name))
        .collect();
    if patterns.is_empty() {
        eprintln!("no pattern name contains {:?}; omit NAME to run all patterns", options.name);
        return ExitCode::FAILURE;
    }
    if options.sizes {
        print!("{}", fleets::table(options.seeds));
        return ExitCode::SUCCESS;
    }
    if options.speed {
        println!("| engines | prompt | one decision |\n|---|---|---|");
        for (engines, prompt) in
            [18, 67, 200, 600].into_iter().flat_map(|e| [(e, 5_000), (e, 300_000)])
        {
            println!(
                "| {engines} | {prompt} | {:?} |",
                timing::mean_decision_time(engines, prompt)
            );
        }
    } else if let Some(path) = &options.plot {
        if let Err(e) = plot_worth(path, &options) {
            eprintln!("{}: {e}", path.display());
            return ExitCode::FAILURE;
        }
    } else if options.calls {
        println!("at_ms,kind,prompt,events,end,first_ms,pause_ms,waited_ms,predicted_ms,parts");
        for pattern in &patterns {
            print_lost(&run_seeds(pattern, Policy::Mimosapass, &options));
        }
    } else {
        print_tables(&patterns, &options);
    }
    ExitCode::SUCCESS
}
