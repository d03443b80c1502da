//! Polls the engines that this instance owns and tells its zone peers.
//!
//! Each engine has one owner among the live instances of its zone, by
//! rendezvous hash. Two owners while members change do no harm: a report
//! carries its own number and the newest wins.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use mimosapass_core::config::TargetKind;
use mimosapass_core::rendezvous::holder;
use mimosapass_core::target_table::{LoadReport, TargetState};
use mimosapass_core::tiers;
use mimosapass_instance::compact::Compactor;
use mimosapass_instance::message::{self, Body, LoadReports};
use mimosapass_target::engine::{self, Load};

use crate::background::{peers, spawn};
use crate::node::{Node, State};

/// Time between two polls of an engine.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for which a round waits for the answers to its polls.
const GATHER: Duration = Duration::from_millis(500);

/// What one poll brought: the engine's name and its record, if it answered.
type Polled = (String, Option<message::LoadReport>);

/// Polls for as long as the process lives.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(PERIOD);
    let mut compactor = Compactor::default();
    let mut polls = Polls::new();
    while ticks.recv().is_ok() {
        polls.start(node);
        let records = polls.gather();
        if !records.is_empty() {
            let whole = node.state().contacts.take_new();
            let reports = compactor.compact(&records, whole);
            peers::tell_zone(node, Some(Body::LoadReports(LoadReports { reports })));
        }
    }
}

/// Polls that are under way; a frozen engine holds up no other.
struct Polls {
    sender: Sender<Polled>,
    inbox: Receiver<Polled>,
    open: BTreeSet<String>,
}

impl Polls {
    fn new() -> Self {
        let (sender, inbox) = channel();
        Self { sender, inbox, open: BTreeSet::new() }
    }

    /// Polls each own engine whose last poll has ended.
    fn start(&mut self, node: &Arc<Node>) {
        for (name, addr) in owned(node) {
            if self.open.contains(&name) {
                continue;
            }
            let (polling, sender, engine) = (Arc::clone(node), self.sender.clone(), name.clone());
            let poll = move || {
                let record = poll(&polling, &engine, &addr);
                sender.send((engine, record)).unwrap_or_default();
            };
            match spawn("poll-engine", poll) {
                Ok(()) => drop(self.open.insert(name)),
                Err(e) => log::error!("poll: no thread for {name}: {e}."),
            }
        }
    }

    /// Returns what came in time; what comes later is told in the next round.
    fn gather(&mut self) -> Vec<message::LoadReport> {
        let end = Instant::now() + GATHER;
        let mut records = Vec::new();
        while !self.open.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            let Ok((name, record)) = self.inbox.recv_timeout(left) else { break };
            self.open.remove(&name);
            records.extend(record);
        }
        records
    }
}

/// Returns names and addresses of the engines that this instance owns.
fn owned(node: &Node) -> Vec<(String, String)> {
    let mut state = node.state();
    let State { view, targets, .. } = &mut *state;
    let candidates = view.candidates(Instant::now());
    let mine = |name: &str| holder(name, candidates.iter().copied()) == Some(&*node.name);
    let near = |k: &TargetState| k.listed.kind == TargetKind::Engine && k.listed.zone == node.zone;
    targets.set_owned(candidates.len(), |k| near(k) && mine(&k.listed.name));
    targets
        .all()
        .filter(|k| k.owned)
        .map(|k| (k.listed.name.to_string(), k.listed.addr.clone()))
        .collect()
}

fn poll(node: &Node, name: &str, addr: &str) -> Option<message::LoadReport> {
    match engine::load(&node.pooled_agent, addr) {
        Ok(load) => {
            let record = record(name, load);
            node.state().targets.record_report(name, report(&record), Instant::now());
            Some(record)
        }
        Err(e) => {
            log::debug!("poll: no report of {name}: {e}.");
            None
        }
    }
}

fn record(name: &str, load: Load) -> message::LoadReport {
    message::LoadReport {
        target: name.to_owned(),
        boot: load.boot,
        seq: load.number,
        prefill_tokens: load.prefill,
        running: load.running,
        slots: load.slots,
        free_tokens: load.free,
        capacity_tokens: load.capacity,
        tokens_per_s: load.speed,
        leaving: load.leaving,
        models: load.models,
        id: 0,
        bands: load.bands,
    }
}

fn report(record: &message::LoadReport) -> LoadReport {
    LoadReport {
        boot: record.boot,
        number: record.seq,
        prefill: record.prefill_tokens,
        bands: tiers::prefill_by_band(record.prefill_tokens, &record.bands),
        running: record.running,
        slots: record.slots,
        free: record.free_tokens,
        capacity: record.capacity_tokens,
        speed: record.tokens_per_s,
        leaving: record.leaving,
        models: record.models.iter().map(|m| m.as_str().into()).collect(),
    }
}

/// Notes the records that a peer sent.
pub fn note(node: &Node, records: LoadReports) {
    let now = Instant::now();
    let mut state = node.state();
    for record in records.reports {
        if let Some(whole) = state.expander.expand(record) {
            state.targets.record_report(&whole.target, report(&whole), now);
        }
    }
}

/// Parses an address of the platform's list, `IP:port`.
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}
