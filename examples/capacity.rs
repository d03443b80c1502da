//! Measures the resource use of idle instances, with real processes on loopback.
//!
//! ```text
//! cargo build --release && cargo run --release --example capacity -- 8 16 32 42
//! ```
//!
//! For each number of instances it starts one availability zone of that many
//! processes with 67 stand-in engines, sends no requests, and prints processor
//! time and memory per process and the calls that reach the platform. Each run
//! takes a fixed time, and all its processes are killed at its end.

use std::error::Error;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use mimosapass_keyvalue::kv::KvClient;
use mimosapass_keyvalue::members::{Member, Role};
use mimosapass_operator::{document, store};
use mimosapass_standin::engine::{Engine, Settings};
use mimosapass_standin::platform::Platform;

/// Engines of one availability zone at the specified fleet size.
const ENGINES: usize = 67;
/// Time for the processes to find each other.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time over which the processes are measured.
const MEASURE_FOR: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Port of the caller listener; the peer and operator listeners use the next two.
const CALLER_PORT: u16 = 8080;
/// Most instances in one run; each has its own loopback address.
const MAX_INSTANCES: usize = 200;

fn main() -> Result<(), Box<dyn Error>> {
    let sizes: Vec<usize> =
        std::env::args().skip(1).map(|a| a.parse()).collect::<Result<_, _>>()?;
    println!("| instances | cpu, % of a core | memory, MB | platform reads/s | writes/s |");
    println!("|---|---|---|---|---|");
    for size in sizes {
        measure(size.min(MAX_INSTANCES))?;
    }
    Ok(())
}

/// Child processes and their directory; dropping it kills them and removes the directory.
struct Processes {
    children: Vec<Child>,
    dir: PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.children {
            // The process may have exited already.
            child.kill().unwrap_or_default();
            child.wait().map(drop).unwrap_or_default();
        }
        fs::remove_dir_all(&self.dir).unwrap_or_default();
    }
}

/// Starts `size` instances, measures them and prints one row.
fn measure(size: usize) -> Result<(), Box<dyn Error>> {
    let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let platform = Platform::start(local)?;
    let engines = (0..ENGINES)
        .map(|_| Engine::start(local, Settings::default()))
        .collect::<Result<Vec<_>, _>>()?;
    platform.set_members(members(size, &engines));
    apply_config(&platform)?;
    let mut processes = Processes {
        children: Vec::new(),
        dir: std::env::temp_dir().join(format!("mimosapass-capacity-{}", std::process::id())),
    };
    fs::create_dir_all(&processes.dir)?;
    for i in 0..size {
        start_instance(&mut processes, i, &platform)?;
    }
    thread::sleep(WARM_UP);
    let (ticks_before, calls_before) = (cpu_ticks(&processes)?, platform.calls());
    thread::sleep(MEASURE_FOR);
    let (ticks, calls) = (cpu_ticks(&processes)? - ticks_before, platform.calls());
    let seconds = MEASURE_FOR.as_secs_f64();
    println!(
        "| {size} | {:.2} | {:.1} | {:.1} | {:.1} |",
        ticks / TICKS_PER_SECOND / seconds / size as f64 * 100.0,
        resident_mb(&processes)? / size as f64,
        (calls.reads - calls_before.reads) as f64 / seconds,
        (calls.writes - calls_before.writes) as f64 / seconds,
    );
    Ok(())
}

/// Returns the loopback address of an instance.
fn instance_ip(i: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 250, (std::process::id() % 250) as u8 + 1, i as u8 + 1)
}

fn members(size: usize, engines: &[Engine]) -> Vec<Member> {
    let member = |name: String, role, addr: String, kind: &str| Member {
        name,
        role,
        zone: "zone-a".to_owned(),
        addr,
        labels: [("kind".to_owned(), kind.to_owned())].into(),
        leaving: false,
    };
    let instances = (0..size).map(|i| {
        member(format!("entry-{i}"), Role::Entry, format!("{}:8081", instance_ip(i)), "entry")
    });
    let targets = engines
        .iter()
        .enumerate()
        .map(|(i, e)| member(format!("e-{i}"), Role::Engine, e.addr().to_string(), "engine"));
    instances.chain(targets).collect()
}

fn apply_config(platform: &Platform) -> Result<(), Box<dyn Error>> {
    let text = "models: [{name: chat}]\n\
        pools: [{name: p, select: {kind: engine}, models: [chat]}]\n\
        classes: [{name: c, promise_ms: 1800, deadline_ms: 20000}]\n\
        workspaces: [{name: atlas}]\n";
    let kv = KvClient::new(&platform.addr().to_string());
    store::apply(&kv, &document::parse(text)?, &store::read_head(&kv)?, "capacity", 1)?;
    Ok(())
}

fn start_instance(
    processes: &mut Processes,
    i: usize,
    platform: &Platform,
) -> Result<(), Box<dyn Error>> {
    let (ip, peers, operators) = (instance_ip(i), CALLER_PORT + 1, CALLER_PORT + 2);
    let text = format!(
        "name: entry-{i}\nzone: zone-a\nplatform: {}\nlisten:\n  callers: {ip}:{CALLER_PORT}\n  \
         peers: {ip}:{peers}\n  operators: {ip}:{operators}\n",
        platform.addr()
    );
    let file = processes.dir.join(format!("{i}.yaml"));
    fs::write(&file, text)?;
    let daemon = std::env::current_exe()?
        .parent()
        .and_then(|examples| examples.parent())
        .ok_or("the path of this program has no parent directory")?
        .join("mimosapass");
    let child = Command::new(daemon)
        .args(["serve", "--config"])
        .arg(file)
        .env("RUST_LOG", "error")
        .stdin(Stdio::null())
        .spawn()?;
    processes.children.push(child);
    Ok(())
}

/// Returns the total processor time of all processes, in clock ticks.
fn cpu_ticks(processes: &Processes) -> Result<f64, Box<dyn Error>> {
    let mut sum = 0.0;
    for child in &processes.children {
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        // User and system time are the 14th and 15th field of the line; `fields` starts at the third,
        // after an empty string.
        sum += fields[12].parse::<f64>()? + fields[13].parse::<f64>()?;
    }
    Ok(sum)
}

/// Returns the total resident memory of all processes.
fn resident_mb(processes: &Processes) -> Result<f64, Box<dyn Error>> {
    let mut sum = 0.0;
    for child in &processes.children {
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = status
            .lines()
            .find(|l| l.starts_with("VmRSS:"))
            .ok_or("VmRSS missing in /proc/PID/status")?;
        let kilobytes: f64 = line
            .split_whitespace()
            .nth(1)
            .ok_or("VmRSS without a value in /proc/PID/status")?
            .parse()?;
        sum += kilobytes / 1024.0;
    }
    Ok(sum)
}
