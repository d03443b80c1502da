//! Measures the overhead of one instance: time, requests per second, memory.
//!
//! Run it with `cargo run --release --example overhead`. It starts stand-ins and
//! one instance as processes and measures the same requests sent to an engine
//! directly and through the instance, alternating within one run.

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

use client::{Client, Times, chat_request};
use process::{Processes, agent, loopback, member, publish_members};

/// Engines that serve the streams in the background.
const STREAM_ENGINES: usize = 10;
/// Time between two tokens of a stream, in milliseconds.
const TOKEN_INTERVAL_MS: &str = "50";
/// Tokens of a stream; it must last longer than the probes.
const STREAM_TOKENS: u64 = 10_000;
/// Length of a usual prompt.
const PROMPT_BYTES: usize = 4_000;
/// Length of a prompt of a million tokens.
const LARGE_PROMPT_BYTES: usize = 8_000_000;
/// Probes sent directly, and through the instance, for one number of streams.
const PROBES: usize = 2_000;
/// Connections that send requests back to back.
const CONNECTIONS: usize = 16;
/// Time over which requests are counted.
const COUNT_DURATION: Duration = Duration::from_secs(3);
/// Longest wait for the instance to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

fn main() -> Result<(), Box<dyn Error>> {
    let bench = Bench::start()?;
    println!(
        "| streams open | probe | direct p50 | through p50 | added p50 | direct p99 | through p99 | added p99 |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mut open = Vec::new();
    let baseline_kb = bench.memory_kb("VmRSS")?;
    for streams in [0, 100, 500] {
        bench.open_streams(&mut open, streams)?;
        bench.measure_probes(streams)?;
    }
    let added_kb = bench.memory_kb("VmRSS")?.saturating_sub(baseline_kb);
    println!("\nmemory of 500 open streams: {added_kb} kB, {} kB each", added_kb / 500);
    drop(open);
    bench.measure_rate();
    println!("\n| bodies of 8 MB at once | peak memory, MB | bytes a byte of body |");
    println!("|---|---|---|");
    for bodies in [1, 8, 32] {
        Bench::start()?.measure_bodies(bodies)?;
    }
    Ok(())
}

/// One instance with its engines and platform.
struct Bench {
    _processes: Processes,
    pid: u32,
    instance: SocketAddr,
    engine: SocketAddr,
}

impl Bench {
    fn start() -> Result<Self, Box<dyn Error>> {
        let processes = Processes::new()?;
        let platform = processes.start_standin("platform", &[])?;
        let engine =
            processes.start_standin("engine", &["1000000000", "0", "1000000000", "probe"])?;
        let mut members = vec![member("probed", "engine", "zone", engine, "probe")];
        for i in 0..STREAM_ENGINES {
            let options = ["1000000000", TOKEN_INTERVAL_MS, "1000000000", "stream"];
            let addr = processes.start_standin("engine", &options)?;
            members.push(member(&format!("engine-{i}"), "engine", "zone", addr, "stream"));
        }
        publish_members(platform, &members)?;
        let config = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config/overhead.yaml");
        processes.apply(platform, Path::new(config))?;
        let ip = loopback(random_number());
        let pid = processes.start_instance("entry", "zone", ip, platform)?;
        let instance = SocketAddr::new(IpAddr::V4(ip), 8080);
        let bench = Self { _processes: processes, pid, instance, engine };
        wait_ready(ip)?;
        Ok(bench)
    }

    /// Returns a field of the instance's `/proc/PID/status`.
    fn memory_kb(&self, field: &str) -> Result<u64, Box<dyn Error>> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid))?;
        let found = status
            .lines()
            .find(|l| l.starts_with(field))
            .ok_or("field missing in /proc/PID/status")?;
        Ok(found
            .split_whitespace()
            .nth(1)
            .ok_or("field without a value in /proc/PID/status")?
            .parse()?)
    }

    /// Opens streams through the instance until `count` are open.
    fn open_streams(&self, open: &mut Vec<Client>, count: usize) -> Result<(), Box<dyn Error>> {
        let request = chat_request("stream", PROMPT_BYTES, STREAM_TOKENS, "none");
        while open.len() < count {
            let mut client = Client::connect(self.instance)?;
            client.send(&request)?;
            open.push(client);
        }
        Ok(())
    }

    /// Measures probes sent alternately to the engine and through the instance.
    fn measure_probes(&self, streams: usize) -> Result<(), Box<dyn Error>> {
        let mut direct = Client::connect(self.engine)?;
        let mut through = Client::connect(self.instance)?;
        let mut times: [Vec<Times>; 2] = [Vec::new(), Vec::new()];
        for i in 0..PROBES {
            let request = chat_request("probe", PROMPT_BYTES, 1, &format!("direct-{streams}-{i}"));
            times[0].push(direct.measure(&request)?);
            times[1].push(through.measure(&request)?);
        }
        print_row(streams, "first token", &times, |t| t.first);
        print_row(streams, "whole", &times, |t| t.total);
        Ok(())
    }

    /// Measures requests per second, alternately direct and through the instance.
    fn measure_rate(&self) {
        let mut rates = [0.0, 0.0];
        for _ in 0..2 {
            rates[0] += request_rate(self.engine);
            rates[1] += request_rate(self.instance);
        }
        let [direct, through] = rates.map(|sum| sum / 2.0);
        let ratio = through / direct;
        println!(
            "\nrequests a second on {CONNECTIONS} connections: direct {direct:.0}, through {through:.0}, ratio {ratio:.2}"
        );
    }

    /// Sends large prompts at the same time and prints the instance's peak memory.
    fn measure_bodies(&self, bodies: usize) -> Result<(), Box<dyn Error>> {
        let baseline_kb = self.memory_kb("VmHWM")?;
        thread::scope(|scope| {
            let requests: Vec<_> = (0..bodies)
                .map(|_| {
                    scope.spawn(|| {
                        let request = chat_request("probe", LARGE_PROMPT_BYTES, 1, "none");
                        Client::connect(self.instance)?.measure(&request)
                    })
                })
                .collect();
            for request in requests {
                request.join().unwrap_or_else(|_| Err(std::io::ErrorKind::Other.into()))?;
            }
            Ok::<(), std::io::Error>(())
        })?;
        let peak_kb = self.memory_kb("VmHWM")?;
        let bytes_per_byte =
            (peak_kb - baseline_kb) as f64 * 1024.0 / (bodies * LARGE_PROMPT_BYTES) as f64;
        println!("| {bodies} | {:.0} | {bytes_per_byte:.2} |", peak_kb as f64 / 1024.0);
        Ok(())
    }
}

/// Waits until the instance is ready and can use all engines.
fn wait_ready(ip: Ipv4Addr) -> Result<(), Box<dyn Error>> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let ready = || -> Option<bool> {
        let mut page = agent().get(format!("http://{ip}:8082/status")).call().ok()?;
        let status: serde_json::Value = page.body_mut().read_json().ok()?;
        let open = status["targets"].as_array()?.iter().filter(|t| t["open"] == true).count();
        Some(status["ready"] == true && open == STREAM_ENGINES + 1)
    };
    while ready() != Some(true) {
        if Instant::now() > deadline {
            return Err("the instance did not become ready in time".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Returns a random number below 250.
///
/// It makes each bench of a run use its own loopback address.
fn random_number() -> u8 {
    use std::collections::hash_map::RandomState;
    use std::hash::{BuildHasher, Hasher};
    (RandomState::new().build_hasher().finish() % 250) as u8
}

/// Returns how many requests per second an address answers.
fn request_rate(addr: SocketAddr) -> f64 {
    let (stop, count) = (AtomicBool::new(false), AtomicU64::new(0));
    let start = Instant::now();
    thread::scope(|scope| {
        for i in 0..CONNECTIONS {
            let (stop, count) = (&stop, &count);
            scope.spawn(move || {
                let Ok(mut client) = Client::connect(addr) else { return };
                let request = chat_request("probe", PROMPT_BYTES, 1, &format!("rate-{i}"));
                while !stop.load(Ordering::Relaxed) && client.measure(&request).is_ok() {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        thread::sleep(COUNT_DURATION);
        stop.store(true, Ordering::Relaxed);
    });
    count.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64()
}

fn print_row(
    streams: usize,
    name: &str,
    times: &[Vec<Times>; 2],
    duration: fn(&Times) -> Duration,
) {
    let [direct, through] = times.each_ref().map(|all| {
        let mut sorted: Vec<Duration> = all.iter().map(duration).collect();
        sorted.sort_unstable();
        sorted
    });
    let quantile_ms = |sorted: &[Duration], share: f64| {
        sorted[(sorted.len() as f64 * share) as usize].as_secs_f64() * 1e3
    };
    let cells: Vec<String> = [0.5, 0.99]
        .iter()
        .flat_map(|share| {
            let (direct, through) = (quantile_ms(&direct, *share), quantile_ms(&through, *share));
            [direct, through, through - direct].map(|ms| format!("{ms:.2} ms"))
        })
        .collect();
    println!("| {streams} | {name} | {} |", cells.join(" | "));
}
