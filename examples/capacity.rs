//! Measures what control costs a node, with real processes on loopback.
//!
//! ```text
//! cargo build --release && cargo run --release --example capacity -- 8 16 32 42
//! ```
//!
//! For each number of instances it starts one availability zone of that many
//! processes with 67 stand-in engines, leaves them without any request, and
//! prints processor time and memory of a process and the calls that reach the
//! platform. Every run is bounded in time, and all processes end with it.

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

/// Engines of one availability zone at the stated size.
const ENGINES: usize = 67;
/// Time for the processes to find each other.
const WARM: Duration = Duration::from_secs(10);
/// Time over which they are measured.
const SPAN: Duration = Duration::from_secs(20);
/// Clock ticks of a second in `/proc/PID/stat`.
const TICKS: f64 = 100.0;
/// Port for callers; peers and operators have the next two.
const PORT: u16 = 8080;
/// Most instances in one run; each has an address of its own.
const MOST: usize = 200;

fn main() -> Result<(), Box<dyn Error>> {
    let sizes: Vec<usize> =
        std::env::args().skip(1).map(|a| a.parse()).collect::<Result<_, _>>()?;
    println!("| instances | cpu, % of a core | memory, MB | platform reads/s | writes/s |");
    println!("|---|---|---|---|---|");
    for size in sizes {
        measure(size.min(MOST))?;
    }
    Ok(())
}

/// Processes that end with this value.
struct Processes {
    children: Vec<Child>,
    dir: PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.children {
            // A process may have ended by itself.
            child.kill().unwrap_or_default();
            child.wait().map(drop).unwrap_or_default();
        }
        fs::remove_dir_all(&self.dir).unwrap_or_default();
    }
}

fn measure(size: usize) -> Result<(), Box<dyn Error>> {
    let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let platform = Platform::start(local)?;
    let engines = (0..ENGINES)
        .map(|_| Engine::start(local, Settings::default()))
        .collect::<Result<Vec<_>, _>>()?;
    platform.set_members(members(size, &engines));
    apply(&platform)?;
    let mut processes = Processes {
        children: Vec::new(),
        dir: std::env::temp_dir().join(format!("mimosapass-capacity-{}", std::process::id())),
    };
    fs::create_dir_all(&processes.dir)?;
    for i in 0..size {
        start(&mut processes, i, &platform)?;
    }
    thread::sleep(WARM);
    let (cpu, calls) = (ticks(&processes)?, platform.calls());
    thread::sleep(SPAN);
    let (spent, called) = (ticks(&processes)? - cpu, platform.calls());
    let seconds = SPAN.as_secs_f64();
    println!(
        "| {size} | {:.2} | {:.1} | {:.1} | {:.1} |",
        spent / TICKS / seconds / size as f64 * 100.0,
        resident(&processes)? / size as f64,
        (called.reads - calls.reads) as f64 / seconds,
        (called.writes - calls.writes) as f64 / seconds,
    );
    Ok(())
}

fn ip(i: usize) -> Ipv4Addr {
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
    let entries = (0..size)
        .map(|i| member(format!("entry-{i}"), Role::Entry, format!("{}:8081", ip(i)), "entry"));
    let targets = engines
        .iter()
        .enumerate()
        .map(|(i, e)| member(format!("e-{i}"), Role::Engine, e.addr().to_string(), "engine"));
    entries.chain(targets).collect()
}

fn apply(platform: &Platform) -> Result<(), Box<dyn Error>> {
    let text = "models: [{name: chat}]\n\
        pools: [{name: p, select: {kind: engine}, models: [chat]}]\n\
        classes: [{name: c, promise_ms: 1800, deadline_ms: 20000}]\n\
        workspaces: [{name: atlas}]\n";
    let kv = KvClient::new(&platform.addr().to_string());
    store::apply(&kv, &document::parse(text)?, &store::read_head(&kv)?, "capacity", 1)?;
    Ok(())
}

fn start(processes: &mut Processes, i: usize, platform: &Platform) -> Result<(), Box<dyn Error>> {
    let (ip, peers, operators) = (ip(i), PORT + 1, PORT + 2);
    let text = format!(
        "name: entry-{i}\nzone: zone-a\nplatform: {}\nlisten:\n  callers: {ip}:{PORT}\n  \
         peers: {ip}:{peers}\n  operators: {ip}:{operators}\n",
        platform.addr()
    );
    let file = processes.dir.join(format!("{i}.yaml"));
    fs::write(&file, text)?;
    let daemon = std::env::current_exe()?
        .parent()
        .and_then(|examples| examples.parent())
        .ok_or("this program has no directory")?
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

/// Returns the processor time of all processes, in clock ticks.
fn ticks(processes: &Processes) -> Result<f64, Box<dyn Error>> {
    let mut sum = 0.0;
    for child in &processes.children {
        let stat = fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        // User and system time, the 14th and 15th field of the line.
        sum += fields[12].parse::<f64>()? + fields[13].parse::<f64>()?;
    }
    Ok(sum)
}

/// Returns the resident memory of all processes, in megabytes.
fn resident(processes: &Processes) -> Result<f64, Box<dyn Error>> {
    let mut sum = 0.0;
    for child in &processes.children {
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).ok_or("no VmRSS")?;
        let kilobytes: f64 = line.split_whitespace().nth(1).ok_or("no figure")?.parse()?;
        sum += kilobytes / 1024.0;
    }
    Ok(sum)
}
