//! Measures time to first token of short prompts while long ones run.
//!
//! `cargo bench --bench lengths` starts three instances as processes and six stand-in
//! engines that are twice as fast as those of the routing model, sends the same
//! short prompts with and without long ones, and prints the times of both.

#[expect(dead_code, reason = "the benchmark uses only some of the helpers")]
#[path = "../tests/suite/common.rs"]
mod common;

use std::io::{BufRead, BufReader};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::{CONFIG, Fleet, agent, chat_body};
use mimosapass_standin::engine::Settings;

/// Time over which each of the two phases sends prompts.
const PHASE_DURATION: Duration = Duration::from_secs(50);
const ENGINES: usize = 6;
/// Prefill speed of an engine, in tokens per second.
const PREFILL_RATE: u64 = 40_000;

/// Prompts that are sent at a constant rate.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Time between two prompts.
    interval: Duration,
    /// Shortest and longest prompt, in tokens; lengths follow a fixed sequence.
    tokens: (usize, usize),
}

const SHORT: Flow = Flow { interval: Duration::from_millis(125), tokens: (1_000, 8_000) };
const MIDDLE: Flow = Flow { interval: Duration::from_millis(500), tokens: (9_000, 30_000) };
const LONG: Flow = Flow { interval: Duration::from_millis(2_500), tokens: (100_000, 300_000) };

/// Sends one prompt and returns the time to its first event.
fn time_first_event(url: &str, tokens: usize) -> Option<Duration> {
    let body = chat_body(tokens, 4, true);
    let start = Instant::now();
    let request = agent().post(url).header("mimosapass-workspace", "atlas");
    let response = request.send(&body).ok().filter(|r| r.status() == 200)?;
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    lines.next()?.ok()?;
    let duration = start.elapsed();
    lines.for_each(drop);
    Some(duration)
}

/// Sends a flow for one phase, each prompt from its own thread.
fn send_flow(urls: &[String], flow: Flow, times: &Sender<Option<Duration>>) {
    thread::scope(|scope| {
        let start = Instant::now();
        let (shortest, longest) = flow.tokens;
        for i in 0.. {
            let due = start + flow.interval * i;
            if due > start + PHASE_DURATION {
                break;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let tokens = shortest + (i as usize * 7919) % (longest - shortest);
            let url = urls[i as usize % urls.len()].clone();
            let times = times.clone();
            scope.spawn(move || times.send(time_first_event(&url, tokens)).unwrap_or_default());
        }
    });
}

/// Runs one phase and returns the times of each flow; `None` is a failed request.
fn run_phase(urls: &[String], flows: &[Flow]) -> Vec<Vec<Option<Duration>>> {
    thread::scope(|scope| {
        let running: Vec<_> = flows
            .iter()
            .map(|flow| {
                let (sender, times) = channel();
                scope.spawn(move || send_flow(urls, *flow, &sender));
                times
            })
            .collect();
        running.into_iter().map(|times| times.iter().collect()).collect()
    })
}

fn print_row(name: &str, times: &[Option<Duration>]) {
    let mut sorted: Vec<Duration> = times.iter().flatten().copied().collect();
    sorted.sort();
    let percentile =
        |percent: usize| sorted.get(sorted.len() * percent / 100).copied().unwrap_or_default();
    let failed = times.len() - sorted.len();
    println!(
        "| {name} | {} | {failed} | {:.0?} | {:.0?} |",
        times.len(),
        percentile(50),
        percentile(95)
    );
}

fn main() {
    let token_interval = Duration::from_millis(1);
    let settings = Settings {
        prefill_rate: PREFILL_RATE,
        token_interval,
        capacity: 450_000,
        ..Settings::default()
    };
    let engines = vec![("zone-a", settings); ENGINES];
    let mut fleet = Fleet::new(&engines);
    fleet.apply(CONFIG);
    for _ in 0..3 {
        fleet.start("zone-a", "");
    }
    fleet.wait_ready();
    let urls: Vec<String> = fleet.instances.iter().map(|i| i.url("/v1/chat/completions")).collect();
    println!("| prompts | sent | failed | p50 | p95 |\n|---|---|---|---|---|");
    let without = run_phase(&urls, &[SHORT, MIDDLE]);
    print_row("short, without long ones", &without[0]);
    print_row("8k to 30k, without long ones", &without[1]);
    let with = run_phase(&urls, &[SHORT, MIDDLE, LONG]);
    print_row("short, beside long ones", &with[0]);
    print_row("8k to 30k, beside long ones", &with[1]);
    print_row("100k to 300k", &with[2]);
}
