//! What one instance adds: time, requests a second, memory.
//!
//! Run it with `cargo run --release --example overhead`. It starts stand-ins and
//! one instance as processes, and in one run measures the same requests sent
//! to an engine directly and through the instance, turn by turn.

mod client;
#[path = "../quickstart/process.rs"]
mod process;

use std::error::Error;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use client::{Client, Times, chat};
use process::{Processes, agent, loopback, member, publish};

/// Engines that serve the streams in the background.
const ENGINES: usize = 10;
/// Time between two tokens of a stream, in milliseconds.
const PACE: &str = "50";
/// Tokens of a stream, enough to outlast the probes.
const STREAM: u64 = 10_000;
/// Length of an ordinary prompt, in bytes.
const PROMPT: usize = 4_000;
/// Length of a prompt of a million tokens, in bytes.
const LARGE: usize = 8_000_000;
/// Probes of each kind for one row.
const PROBES: usize = 2_000;
/// Connections that send without a pause.
const SENDERS: usize = 16;
/// Time over which requests are counted.
const SPAN: Duration = Duration::from_secs(3);
/// Longest wait for the instance to be ready.
const READY: Duration = Duration::from_secs(15);

fn main() -> Result<(), Box<dyn Error>> {
    let bench = Bench::start()?;
    println!(
        "| streams open | probe | direct p50 | through p50 | added p50 | direct p99 | through p99 | added p99 |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mut open = Vec::new();
    let bare = bench.memory("VmRSS")?;
    for streams in [0, 100, 500] {
        bench.streams(&mut open, streams)?;
        bench.added(streams)?;
    }
    let held = bench.memory("VmRSS")?.saturating_sub(bare);
    println!("\nmemory of 500 open streams: {held} kB, {} kB each", held / 500);
    drop(open);
    bench.rate();
    println!("\n| bodies of 8 MB at once | peak memory, MB | bytes a byte of body |");
    println!("|---|---|---|");
    for bodies in [1, 8, 32] {
        Bench::start()?.bodies(bodies)?;
    }
    Ok(())
}

/// One instance before its engines.
struct Bench {
    _processes: Processes,
    pid: u32,
    entry: SocketAddr,
    probed: SocketAddr,
}

impl Bench {
    fn start() -> Result<Self, Box<dyn Error>> {
        let processes = Processes::new()?;
        let platform = processes.stand_in("platform", &[])?;
        let probed = processes.stand_in("engine", &["1000000000", "0", "1000000000", "probe"])?;
        let mut members = vec![member("probed", "engine", "zone", probed, "probe")];
        for i in 0..ENGINES {
            let engine = ["1000000000", PACE, "1000000000", "stream"];
            let addr = processes.stand_in("engine", &engine)?;
            members.push(member(&format!("engine-{i}"), "engine", "zone", addr, "stream"));
        }
        publish(platform, &members)?;
        let config = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config/overhead.yaml");
        processes.apply(platform, Path::new(config))?;
        let ip = loopback(fresh());
        let pid = processes.serve("entry", "zone", ip, platform)?;
        let entry = SocketAddr::new(IpAddr::V4(ip), 8080);
        let bench = Self { _processes: processes, pid, entry, probed };
        wait(ip)?;
        Ok(bench)
    }

    /// Returns a line of the instance's `/proc/PID/status`, in kB.
    fn memory(&self, line: &str) -> Result<u64, Box<dyn Error>> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid))?;
        let found = status.lines().find(|l| l.starts_with(line)).ok_or("no such line")?;
        Ok(found.split_whitespace().nth(1).ok_or("no number")?.parse()?)
    }

    /// Opens streams through the instance until there are so many.
    fn streams(&self, open: &mut Vec<Client>, most: usize) -> Result<(), Box<dyn Error>> {
        let request = chat("stream", PROMPT, STREAM, "none");
        while open.len() < most {
            let mut client = Client::connect(self.entry)?;
            client.open(&request)?;
            open.push(client);
        }
        Ok(())
    }

    /// Measures probes turn by turn, direct and through the instance.
    fn added(&self, streams: usize) -> Result<(), Box<dyn Error>> {
        let mut direct = Client::connect(self.probed)?;
        let mut through = Client::connect(self.entry)?;
        let mut times: [Vec<Times>; 2] = [Vec::new(), Vec::new()];
        for i in 0..PROBES {
            let request = chat("probe", PROMPT, 1, &format!("direct-{streams}-{i}"));
            times[0].push(direct.ask(&request)?);
            times[1].push(through.ask(&request)?);
        }
        row(streams, "first token", &times, |t| t.first);
        row(streams, "whole", &times, |t| t.whole);
        Ok(())
    }

    /// Counts requests a second, direct and through the instance, in turns.
    fn rate(&self) {
        let mut counted = [0.0, 0.0];
        for _ in 0..2 {
            counted[0] += rate(self.probed);
            counted[1] += rate(self.entry);
        }
        let [direct, through] = counted.map(|sum| sum / 2.0);
        let ratio = through / direct;
        println!(
            "\nrequests a second on {SENDERS} connections: direct {direct:.0}, through {through:.0}, ratio {ratio:.2}"
        );
    }

    /// Sends large prompts at once and states the instance's peak memory.
    fn bodies(&self, bodies: usize) -> Result<(), Box<dyn Error>> {
        let bare = self.memory("VmHWM")?;
        thread::scope(|scope| {
            let sending: Vec<_> = (0..bodies)
                .map(|_| {
                    scope.spawn(|| {
                        let request = chat("probe", LARGE, 1, "none");
                        Client::connect(self.entry)?.ask(&request)
                    })
                })
                .collect();
            for answer in sending {
                answer.join().unwrap_or_else(|_| Err(std::io::ErrorKind::Other.into()))?;
            }
            Ok::<(), std::io::Error>(())
        })?;
        let peak = self.memory("VmHWM")?;
        let each = (peak - bare) as f64 * 1024.0 / (bodies * LARGE) as f64;
        println!("| {bodies} | {:.0} | {each:.2} |", peak as f64 / 1024.0);
        Ok(())
    }
}

fn wait(ip: Ipv4Addr) -> Result<(), Box<dyn Error>> {
    let end = Instant::now() + READY;
    let ready = || -> Option<bool> {
        let mut page = agent().get(format!("http://{ip}:8082/status")).call().ok()?;
        let status: serde_json::Value = page.body_mut().read_json().ok()?;
        let open = status["targets"].as_array()?.iter().filter(|t| t["open"] == true).count();
        Some(status["ready"] == true && open == ENGINES + 1)
    };
    while ready() != Some(true) {
        if Instant::now() > end {
            return Err("the instance was not ready in time".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Returns a number that no other bench of this run has.
fn fresh() -> u8 {
    use std::collections::hash_map::RandomState;
    use std::hash::{BuildHasher, Hasher};
    (RandomState::new().build_hasher().finish() % 250) as u8
}

fn rate(addr: SocketAddr) -> f64 {
    let (stop, count) = (AtomicBool::new(false), AtomicU64::new(0));
    let start = Instant::now();
    thread::scope(|scope| {
        for i in 0..SENDERS {
            let (stop, count) = (&stop, &count);
            scope.spawn(move || {
                let Ok(mut client) = Client::connect(addr) else { return };
                let request = chat("probe", PROMPT, 1, &format!("rate-{i}"));
                while !stop.load(Ordering::Relaxed) && client.ask(&request).is_ok() {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        thread::sleep(SPAN);
        stop.store(true, Ordering::Relaxed);
    });
    count.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64()
}

fn row(streams: usize, name: &str, times: &[Vec<Times>; 2], of: fn(&Times) -> Duration) {
    let [direct, through] = times.each_ref().map(|all| {
        let mut sorted: Vec<Duration> = all.iter().map(of).collect();
        sorted.sort_unstable();
        sorted
    });
    let at = |sorted: &[Duration], share: f64| {
        sorted[(sorted.len() as f64 * share) as usize].as_secs_f64() * 1e3
    };
    let cells: Vec<String> = [0.5, 0.99]
        .iter()
        .flat_map(|share| {
            let (direct, through) = (at(&direct, *share), at(&through, *share));
            [direct, through, through - direct].map(|ms| format!("{ms:.2} ms"))
        })
        .collect();
    println!("| {streams} | {name} | {} |", cells.join(" | "));
}
