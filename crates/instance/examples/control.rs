//! Measures what membership costs: bytes, processor time and memory.
//!
//! ```text
//! cargo run --release -p mimosapass-instance --example control
//! ```
//!
//! First the decisions alone, for zones of several sizes; then real links, all
//! of them in this process, each telling all others once a second as the
//! instances of one zone do. Every run is bounded in time.

use std::collections::BTreeSet;
use std::error::Error;
use std::fs;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::membership::{Heartbeat, View};
use mimosapass_core::rendezvous::holder;
use mimosapass_core::roles::{leader, watchers};
use mimosapass_core::version::Head;
use mimosapass_instance::compact::Shortener;
use mimosapass_instance::link::{Identity, Links};
use mimosapass_instance::message::{self, Body, Envelope, Pool, Record, Records, Room, Summary};
use prost::Message;

/// Instances of one zone.
const SIZES: [usize; 4] = [8, 32, 42, 128];
/// Links in one process; each pair takes four descriptors.
const LINKS: [usize; 4] = [8, 16, 32, 42];
/// Targets of one zone at the stated size.
const TARGETS: usize = 67;
/// Engines that a zone offers to others: four in each of three bands.
const ROOMS: u32 = 12;
/// Rounds of each decision that is timed.
const ROUNDS: u32 = 200;
/// Beats of real links that are timed.
const BEATS: u32 = 10;
/// Bytes of a frame's length.
const PREFIX: usize = 4;
/// Bytes of TCP and IP headers with timestamps; one packet a beat and peer.
const HEADERS: usize = 52;
/// Clock ticks of a second in `/proc/self/stat`.
const TICKS: f64 = 100.0;

fn main() -> Result<(), Box<dyn Error>> {
    sizes();
    println!("\n| instances | hear a beat, ns | all roles, us | view, bytes a peer |");
    println!("|---|---|---|---|");
    for size in SIZES {
        decisions(size)?;
    }
    println!("\n| links | messages/s each | bytes/s sent each | cpu, % of a core each |");
    println!("|---|---|---|---|");
    for size in LINKS {
        links(size)?;
    }
    Ok(())
}

fn beat() -> Body {
    Body::Beat(message::Beat { config: 1_234_567, digest: u64::MAX, ..message::Beat::default() })
}

fn record(number: usize) -> Record {
    Record {
        target: format!("region-a-zone-b-runner-{number:03}"),
        boot: 1_790_000_000_000,
        number: 86_400,
        prefill: 250_000,
        running: 40,
        slots: 64,
        free: 300_000,
        capacity: 400_000,
        speed: 40_000,
        leaving: false,
        models: vec!["chat".to_owned(), "dossier".to_owned()],
        id: 0,
        bands: vec![20_000, 50_000, 180_000],
    }
}

fn records(count: usize, shortener: &mut Shortener) -> Body {
    let whole: Vec<Record> = (0..count).map(record).collect();
    Body::Records(Records { records: shortener.shorten(&whole, false) })
}

fn summary(pools: usize) -> Body {
    let pool = |i| Pool {
        name: format!("pool-{i}"),
        open: 67,
        free: 20_000_000,
        widest: 400_000,
        prefill: 900_000,
        speed: 2_000_000,
    };
    let pools = (0..pools).map(pool).collect();
    let room =
        |i| Room { id: u64::MAX, band: i % 3, prefill: 20_000, free: 300_000, speed: 40_000 };
    Body::Summary(Summary {
        zone: "region-a-zone-b".to_owned(),
        pools,
        wait_ms: 900,
        spare: 40_000,
        rooms: (0..ROOMS).map(room).collect(),
    })
}

fn length(body: Body) -> usize {
    Envelope::of(body).encoded_len()
}

/// Prints the lengths of messages.
fn sizes() {
    println!("| message | bytes |\n|---|---|");
    println!("| heartbeat | {} |", length(beat()));
    for count in [1, 2, 8] {
        let mut shortener = Shortener::default();
        let whole = length(records(count, &mut shortener));
        println!("| {count} records of targets, whole | {whole} |");
        println!("| {count} records of targets | {} |", length(records(count, &mut shortener)));
    }
    for pools in [1, 4, 12] {
        println!("| summary of {pools} pools | {} |", length(summary(pools)));
    }
}

fn name(i: usize) -> String {
    format!("region-a-zone-b-entry-{i:03}")
}

fn identity(i: usize) -> Identity {
    Identity { name: name(i), zone: "region-a-zone-b".to_owned(), boot: 1 }
}

fn seen(i: usize) -> Heartbeat {
    Heartbeat {
        name: name(i).into(),
        zone: "region-a-zone-b".into(),
        boot: 1,
        leaving: false,
        platform_unreachable: false,
        addr: Some(([10, 0, 0, 1], 8081).into()),
        head: Head { version: 1, digest: 1 },
    }
}

fn decisions(size: usize) -> Result<(), Box<dyn Error>> {
    let now = Instant::now();
    let views = 1_000_usize.min(100_000 / size);
    let before = resident()?;
    let mut all: Vec<View> =
        (0..views).map(|_| View::new(name(0).as_str().into(), "region-a-zone-b".into())).collect();
    for view in &mut all {
        hear(view, size, now);
    }
    let bytes = (resident()? - before) * 1024.0 / (views * (size - 1)) as f64;
    let view = &mut all[0];
    let heard = timed(|| hear(view, size, now));
    let roles = timed(|| roles(view, now));
    let hear = heard.as_nanos() as f64 / (size - 1) as f64;
    println!("| {size} | {hear:.0} | {:.1} | {bytes:.0} |", roles.as_secs_f64() * 1e6);
    Ok(())
}

fn hear(view: &mut View, size: usize, now: Instant) {
    for i in 1..size {
        black_box(view.record(seen(i), now));
    }
}

/// Computes all roles as an instance does in one second.
fn roles(view: &View, now: Instant) {
    let names = view.candidates(now);
    for target in 0..TARGETS {
        black_box(holder(&format!("runner-{target}"), names.iter().copied()));
    }
    black_box(leader(&names));
    black_box(watchers(&view.candidate_reachability(now)));
}

fn timed(mut work: impl FnMut()) -> Duration {
    let begun = Instant::now();
    (0..ROUNDS).for_each(|_| work());
    begun.elapsed() / ROUNDS
}

/// Runs links that tell each other a heartbeat and their share of records.
fn links(size: usize) -> Result<(), Box<dyn Error>> {
    let local: SocketAddr = "127.0.0.1:0".parse()?;
    let (sink, inbox) = channel();
    let links = (0..size)
        .map(|i| Links::start(&identity(i), local, sink.clone()))
        .collect::<Result<Vec<_>, _>>()?;
    drop(sink);
    let hearing = thread::spawn(move || inbox.iter().count());
    let addrs: BTreeSet<SocketAddr> = links.iter().map(Links::addr).collect();
    // Some own more; at 42 instances the mean is 1.6 targets.
    let share = TARGETS.div_ceil(size);
    let mut shortener = Shortener::default();
    let mut payload = 0;
    let mut tell = || {
        let bodies = vec![beat(), records(share, &mut shortener)];
        payload += bodies.iter().map(|b| length(b.clone()) + PREFIX).sum::<usize>() + HEADERS;
        for link in &links {
            let mut peers = addrs.clone();
            peers.remove(&link.addr());
            link.tell(&peers, bodies.clone());
        }
        thread::sleep(Duration::from_secs(1));
    };
    // The first beat opens the links and tells whole records.
    tell();
    let (begun, spent) = (Instant::now(), ticks()?);
    (0..BEATS).for_each(|_| tell());
    let bytes = payload as f64 / f64::from(BEATS + 1);
    let seconds = begun.elapsed().as_secs_f64();
    let cpu = (ticks()? - spent) / TICKS / seconds / size as f64 * 100.0;
    let rate = f64::from(BEATS) * (size - 1) as f64 / seconds;
    let bytes = rate * bytes;
    println!("| {size} | {rate:.0} | {bytes:.0} | {cpu:.2} |");
    drop((links, hearing));
    Ok(())
}

fn ticks() -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    // User and system time, the 14th and 15th field of the line.
    Ok(fields[12].parse::<f64>()? + fields[13].parse::<f64>()?)
}

/// Returns the resident memory of this process, in kilobytes.
fn resident() -> Result<f64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.split_whitespace().nth(1).ok_or("no figure")?.parse()?)
}
