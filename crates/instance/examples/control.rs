//! Measures the cost of membership: bytes, processor time and memory.
//!
//! ```text
//! cargo run --release -p mimosapass-instance --example control
//! ```
//!
//! First it times the decisions alone, for zones of several sizes; then real links,
//! all in this process, each of which sends to all others once a second as the
//! instances of one zone do. Every run is limited in time.

use std::collections::BTreeSet;
use std::error::Error;
use std::fs;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::membership::{Heartbeat, View};
use mimosapass_core::rendezvous::holder;
use mimosapass_core::roles::{leader, watchers};
use mimosapass_core::version::Head;
use mimosapass_instance::compact::Compactor;
use mimosapass_instance::link::{INBOX_LENGTH, Identity, Links};
use mimosapass_instance::message::{
    self, Body, EngineOffer, Envelope, LoadReport, LoadReports, Pool, ZoneSummary,
};
use prost::Message;

/// Numbers of instances of a zone for which decisions are timed.
const ZONE_SIZES: [usize; 4] = [8, 32, 42, 128];
/// Numbers of linked instances; each pair takes four file descriptors.
const LINK_COUNTS: [usize; 4] = [8, 16, 32, 42];
/// Targets of one zone at the specified fleet size.
const TARGETS: usize = 67;
/// Engines that a zone offers to others: four in each of three bands.
const OFFERS: u32 = 12;
/// Timed repetitions of each decision.
const ROUNDS: u32 = 200;
/// Timed heartbeats of real links.
const HEARTBEATS: u32 = 10;
/// Bytes of a frame's length prefix.
const PREFIX_BYTES: usize = 4;
/// Bytes of TCP and IP headers with timestamps; each heartbeat is one packet a peer.
const HEADER_BYTES: usize = 52;
/// Clock ticks a second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;

fn main() -> Result<(), Box<dyn Error>> {
    message_sizes();
    println!("\n| instances | receive a heartbeat, ns | all roles, us | view, bytes a peer |");
    println!("|---|---|---|---|");
    for size in ZONE_SIZES {
        decisions(size)?;
    }
    println!("\n| links | messages/s each | bytes/s sent each | cpu, % of a core each |");
    println!("|---|---|---|---|");
    for size in LINK_COUNTS {
        links(size)?;
    }
    Ok(())
}

fn heartbeat() -> Body {
    Body::Heartbeat(message::Heartbeat {
        config_version: 1_234_567,
        config_digest: u64::MAX,
        ..message::Heartbeat::default()
    })
}

fn report(number: usize) -> LoadReport {
    LoadReport {
        target: format!("region-a-zone-b-runner-{number:03}"),
        boot: 1_790_000_000_000,
        seq: 86_400,
        prefill_tokens: 250_000,
        running: 40,
        slots: 64,
        free_tokens: 300_000,
        capacity_tokens: 400_000,
        tokens_per_s: 40_000,
        leaving: false,
        models: vec!["chat".to_owned(), "dossier".to_owned()],
        id: 0,
        bands: vec![20_000, 50_000, 180_000],
    }
}

fn reports(count: usize, compactor: &mut Compactor) -> Body {
    let full: Vec<LoadReport> = (0..count).map(report).collect();
    Body::LoadReports(LoadReports { reports: compactor.compact(&full, false) })
}

fn summary(pools: usize) -> Body {
    let pool = |i| Pool {
        name: format!("pool-{i}"),
        accepting: 67,
        free_tokens: 20_000_000,
        max_free_tokens: 400_000,
        prefill_tokens: 900_000,
        tokens_per_s: 2_000_000,
    };
    let pools = (0..pools).map(pool).collect();
    let offer = |i| EngineOffer {
        id: u64::MAX,
        band: i % 3,
        prefill_tokens: 20_000,
        free_tokens: 300_000,
        tokens_per_s: 40_000,
    };
    Body::ZoneSummary(ZoneSummary {
        zone: "region-a-zone-b".to_owned(),
        pools,
        wait_ms: 900,
        token_allowance: 40_000,
        offers: (0..OFFERS).map(offer).collect(),
    })
}

fn length(body: Body) -> usize {
    Envelope::with_body(body).encoded_len()
}

/// Prints the encoded lengths of messages.
fn message_sizes() {
    println!("| message | bytes |\n|---|---|");
    println!("| heartbeat | {} |", length(heartbeat()));
    for count in [1, 2, 8] {
        let mut compactor = Compactor::default();
        let full = length(reports(count, &mut compactor));
        println!("| {count} load reports, full | {full} |");
        println!(
            "| {count} load reports, compacted | {} |",
            length(reports(count, &mut compactor))
        );
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

fn peer_beat(i: usize) -> Heartbeat {
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

/// Times the decisions of one instance and measures the memory of its view.
fn decisions(size: usize) -> Result<(), Box<dyn Error>> {
    let now = Instant::now();
    let views = 1_000_usize.min(100_000 / size);
    let before = resident()?;
    let mut all: Vec<View> =
        (0..views).map(|_| View::new(name(0).as_str().into(), "region-a-zone-b".into())).collect();
    for view in &mut all {
        receive_all(view, size, now);
    }
    let bytes = (resident()? - before) * 1024.0 / (views * (size - 1)) as f64;
    let view = &mut all[0];
    let received = timed(|| receive_all(view, size, now));
    let roles = timed(|| roles(view, now));
    let receive = received.as_nanos() as f64 / (size - 1) as f64;
    println!("| {size} | {receive:.0} | {:.1} | {bytes:.0} |", roles.as_secs_f64() * 1e6);
    Ok(())
}

fn receive_all(view: &mut View, size: usize, now: Instant) {
    for i in 1..size {
        black_box(view.record(peer_beat(i), now));
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

/// Measures links that send each other heartbeats and their share of load reports.
fn links(size: usize) -> Result<(), Box<dyn Error>> {
    let local: SocketAddr = "127.0.0.1:0".parse()?;
    let (sink, inbox) = sync_channel(INBOX_LENGTH);
    let links = (0..size)
        .map(|i| Links::start(&identity(i), local, sink.clone()))
        .collect::<Result<Vec<_>, _>>()?;
    drop(sink);
    let receiving = thread::spawn(move || inbox.iter().count());
    let addrs: BTreeSet<SocketAddr> = links.iter().map(Links::addr).collect();
    // Some instances own more than the mean, which is 1.6 targets at 42 instances.
    let share = TARGETS.div_ceil(size);
    let mut compactor = Compactor::default();
    let mut payload = 0;
    let mut send = || {
        let bodies = vec![heartbeat(), reports(share, &mut compactor)];
        payload +=
            bodies.iter().map(|b| length(b.clone()) + PREFIX_BYTES).sum::<usize>() + HEADER_BYTES;
        for link in &links {
            let mut peers = addrs.clone();
            peers.remove(&link.addr());
            link.broadcast(&peers, bodies.clone());
        }
        thread::sleep(Duration::from_secs(1));
    };
    // The first heartbeat opens the links and carries full load reports.
    send();
    let (begun, spent) = (Instant::now(), ticks()?);
    (0..HEARTBEATS).for_each(|_| send());
    let bytes = payload as f64 / f64::from(HEARTBEATS + 1);
    let seconds = begun.elapsed().as_secs_f64();
    let cpu = (ticks()? - spent) / TICKS_PER_S / seconds / size as f64 * 100.0;
    let rate = f64::from(HEARTBEATS) * (size - 1) as f64 / seconds;
    let bytes = rate * bytes;
    println!("| {size} | {rate:.0} | {bytes:.0} | {cpu:.2} |");
    drop((links, receiving));
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
