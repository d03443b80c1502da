//! Time to first token of short prompts beside long ones, through real processes.
//!
//! `cargo bench --bench lengths` starts three instances and six stand-in
//! engines that are twice as fast as those of the routing model, sends the same
//! short prompts with and without long ones, and prints both waits.

#[expect(dead_code, reason = "a benchmark needs only a part of it")]
#[path = "../tests/suite/common.rs"]
mod common;

use std::io::{BufRead, BufReader};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::{CONFIG, Fleet, agent, chat};
use mimosapass_standin::engine::Settings;

/// Time for which each of the two phases sends.
const PHASE: Duration = Duration::from_secs(50);
/// Engines of the fleet.
const ENGINES: usize = 6;
/// Prefill speed of an engine, in tokens a second.
const SPEED: u64 = 40_000;

/// Prompts that are sent at a steady pace.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Time between two prompts.
    gap: Duration,
    /// Shortest and longest prompt, in tokens; lengths are taken in turn.
    tokens: (usize, usize),
}

const SHORT: Flow = Flow { gap: Duration::from_millis(125), tokens: (1_000, 8_000) };
const MIDDLE: Flow = Flow { gap: Duration::from_millis(500), tokens: (9_000, 30_000) };
const LONG: Flow = Flow { gap: Duration::from_millis(2_500), tokens: (100_000, 300_000) };

/// Sends one prompt and returns the time to its first event.
fn first(url: &str, tokens: usize) -> Option<Duration> {
    let body = chat(tokens, 4, true);
    let begun = Instant::now();
    let request = agent().post(url).header("mimosapass-workspace", "atlas");
    let response = request.send(&body).ok().filter(|r| r.status() == 200)?;
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    lines.next()?.ok()?;
    let took = begun.elapsed();
    lines.for_each(drop);
    Some(took)
}

/// Sends a flow for one phase, each prompt from a thread of its own.
fn send(urls: &[String], flow: Flow, waits: &Sender<Option<Duration>>) {
    thread::scope(|scope| {
        let begun = Instant::now();
        let (least, most) = flow.tokens;
        for i in 0.. {
            let at = begun + flow.gap * i;
            if at > begun + PHASE {
                break;
            }
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let tokens = least + (i as usize * 7919) % (most - least);
            let url = urls[i as usize % urls.len()].clone();
            let waits = waits.clone();
            scope.spawn(move || waits.send(first(&url, tokens)).unwrap_or_default());
        }
    });
}

/// Runs one phase and returns the waits of each flow; `None` is a failure.
fn phase(urls: &[String], flows: &[Flow]) -> Vec<Vec<Option<Duration>>> {
    thread::scope(|scope| {
        let running: Vec<_> = flows
            .iter()
            .map(|flow| {
                let (sender, waits) = channel();
                scope.spawn(move || send(urls, *flow, &sender));
                waits
            })
            .collect();
        running.into_iter().map(|waits| waits.iter().collect()).collect()
    })
}

fn print(name: &str, waits: &[Option<Duration>]) {
    let mut known: Vec<Duration> = waits.iter().flatten().copied().collect();
    known.sort();
    let at = |part: usize| known.get(known.len() * part / 100).copied().unwrap_or_default();
    let failed = waits.len() - known.len();
    println!("| {name} | {} | {failed} | {:.0?} | {:.0?} |", waits.len(), at(50), at(95));
}

fn main() {
    let token_interval = Duration::from_millis(1);
    let settings =
        Settings { prefill_rate: SPEED, token_interval, capacity: 450_000, ..Settings::default() };
    let engines = vec![("zone-a", settings); ENGINES];
    let mut fleet = Fleet::new(&engines);
    fleet.apply(CONFIG);
    for _ in 0..3 {
        fleet.start("zone-a", "");
    }
    fleet.settle();
    let urls: Vec<String> = fleet.instances.iter().map(|i| i.url("/v1/chat/completions")).collect();
    println!("| prompts | sent | failed | p50 | p95 |\n|---|---|---|---|---|");
    let without = phase(&urls, &[SHORT, MIDDLE]);
    print("short, without long ones", &without[0]);
    print("8k to 30k, without long ones", &without[1]);
    let with = phase(&urls, &[SHORT, MIDDLE, LONG]);
    print("short, beside long ones", &with[0]);
    print("8k to 30k, beside long ones", &with[1]);
    print("100k to 300k", &with[2]);
}
