//! Starts the parts of an instance and stops them in order.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mimosapass_caller::server::Server;
use mimosapass_instance::link::Links;
use mimosapass_operator::pages::{self, Sources};
use serde::Serialize;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::flow::{entry, turn};
use crate::node::Node;
use crate::parts::records::{self, Records};
use crate::parts::{configure, listing, peers, poll, reclaim, spawn};
use crate::settings::Settings;
use crate::timer::Timer;

/// Time between two looks at whether all requests have ended.
const LOOK: Duration = Duration::from_millis(50);
/// Longest wait for idempotency records after the last request ended.
const SETTLE: Duration = Duration::from_secs(5);

/// Serves until a signal asks to stop.
///
/// # Errors
///
/// Fails when an address cannot be bound or a thread cannot be started.
pub fn run(settings: Settings) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let timer = Timer::start()?;
    let (incoming, inbox) = channel();
    let links = Links::start(&settings.name, settings.listen.peers, incoming)?;
    let (freed, wanted) = channel();
    let (records, unsettled) = Records::new();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let boot = now.as_millis() as u64;
    let node = Arc::new(Node::new(settings, timer, links, freed, records, boot));
    let part = |name: &str, run: fn(&Arc<Node>)| {
        let node = Arc::clone(&node);
        spawn(name, move || run(&node))
    };
    part("beat", peers::beat)?;
    part("configure", configure::run)?;
    part("listing", listing::run)?;
    part("poll", poll::run)?;
    part("turns", turn::run)?;
    let listening = Arc::clone(&node);
    spawn("listen", move || peers::listen(&listening, &inbox))?;
    let reclaiming = Arc::clone(&node);
    spawn("reclaim", move || reclaim::run(&reclaiming, &wanted))?;
    let settling = Arc::clone(&node);
    spawn("records", move || records::run(&settling, &unsettled))?;
    let server = serve_callers(&node)?;
    let operators = pages::start(node.settings.listen.operators, sources(&node))?;
    log::info!("serve: callers at {}, operators at {operators}.", server.addr());
    if signals.forever().next().is_some() {
        stop(&node, &server, &mut signals);
        node.traces.stop();
    }
    Ok(())
}

/// Gives outcomes of the last requests time to reach their records.
fn settle(node: &Node) {
    let begun = Instant::now();
    while node.records.open() > 0 && begun.elapsed() < SETTLE {
        node.sleep(LOOK);
    }
}

fn serve_callers(node: &Arc<Node>) -> io::Result<Server> {
    let serving = Arc::clone(node);
    Server::start(
        node.settings.listen.callers,
        node.settings.limits,
        Arc::new(move |exchange| entry::handle(&serving, exchange)),
    )
}

/// Leaves in order: says so, goes on for the notice, then waits for the rest.
fn stop(node: &Arc<Node>, server: &Server, signals: &mut Signals) {
    let begun = Instant::now();
    log::info!("serve: stopping.");
    node.stop();
    peers::tell_leaving(node);
    node.sleep(node.settings.notice);
    server.stop();
    while server.busy() > 0 {
        if signals.pending().next().is_some() {
            log::warn!("serve: a second signal ends {} requests.", server.busy());
            return;
        }
        if begun.elapsed() > node.settings.stop_limit {
            log::warn!("serve: the limit ends {} requests.", server.busy());
            return;
        }
        node.sleep(LOOK);
    }
    settle(node);
    log::info!("serve: stopped.");
}

#[derive(Serialize)]
struct Status {
    instance: String,
    zone: String,
    ready: bool,
    stopping: bool,
    config: u64,
    digest: String,
    cut: bool,
    fault: String,
    waiting: String,
    peers: Vec<PeerStatus>,
    zones: Vec<ZoneStatus>,
    targets: Vec<TargetStatus>,
}

#[derive(Serialize)]
struct PeerStatus {
    name: String,
    zone: String,
    leaving: bool,
    config: u64,
}

#[derive(Serialize)]
struct ZoneStatus {
    name: String,
    open: u32,
    free: u64,
}

#[derive(Serialize)]
struct TargetStatus {
    name: String,
    zone: String,
    open: bool,
    prefill: u64,
    running: u32,
    free: u64,
}

fn status(node: &Node) -> String {
    let now = Instant::now();
    let waiting = node.ready().err().unwrap_or_default();
    let state = node.state();
    let peers = state.view.alive(now).map(|b| PeerStatus {
        name: b.name.to_string(),
        zone: b.zone.to_string(),
        leaving: b.leaving,
        config: b.head.version,
    });
    let zones = state.summaries.fresh(now).map(|(zone, pools)| ZoneStatus {
        name: zone.to_string(),
        open: pools.iter().map(|p| p.open).sum(),
        free: pools.iter().map(|p| p.free).sum(),
    });
    let targets = state.board.all().map(|k| TargetStatus {
        name: k.listed.name.to_string(),
        zone: k.listed.zone.to_string(),
        open: k.open(now),
        prefill: k.report.prefill,
        running: k.report.running,
        free: k.report.free,
    });
    let status = Status {
        instance: node.name.to_string(),
        zone: node.zone.to_string(),
        ready: waiting.is_empty(),
        stopping: node.stopping(),
        config: state.gate.head().version,
        digest: format!("{:016x}", state.gate.head().digest),
        cut: state.view.cut(),
        fault: state.faults.values().cloned().collect::<Vec<_>>().join("; "),
        waiting,
        peers: peers.collect(),
        zones: zones.collect(),
        targets: targets.collect(),
    };
    serde_json::to_string(&status).unwrap_or_default()
}

fn sources(node: &Arc<Node>) -> Sources {
    let (ready, told, explained) = (Arc::clone(node), Arc::clone(node), Arc::clone(node));
    Sources {
        ready: Arc::new(move || ready.ready()),
        status: Arc::new(move || status(&told)),
        explain: Arc::new(move |id| {
            explained.stories.find(id).and_then(|s| serde_json::to_string(&s).ok())
        }),
        registry: node.metrics.registry.clone(),
    }
}
