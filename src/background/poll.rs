//! Polls the load of the engines that this instance owns, for all peers of its zone.
//!
//! Each engine has one owner among the live instances of its zone, by
//! rendezvous hash. While membership changes there may be two; this is harmless,
//! as reports are numbered by the engine and the newest wins.

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

/// Interval at which an engine is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a round waits for the results of its polls.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of one poll: the engine's name and its report, if it answered.
type PollResult = (String, Option<message::LoadReport>);

/// Polls engines as long as the process runs.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(POLL_INTERVAL);
    let mut compactor = Compactor::default();
    let mut polls = Polls::new();
    while ticks.recv().is_ok() {
        polls.start(node);
        let collected = polls.collect();
        if !collected.is_empty() {
            let full = node.state().contacts.take_new_peer();
            let reports = compactor.compact(&collected, full);
            peers::broadcast_zone(node, Some(Body::LoadReports(LoadReports { reports })));
        }
    }
}

/// Polls in progress; an engine that hangs delays no other.
struct Polls {
    sender: Sender<PollResult>,
    inbox: Receiver<PollResult>,
    in_progress: BTreeSet<String>,
}

impl Polls {
    fn new() -> Self {
        let (sender, inbox) = channel();
        Self { sender, inbox, in_progress: BTreeSet::new() }
    }

    /// Starts a poll of each owned engine that has none in progress.
    fn start(&mut self, node: &Arc<Node>) {
        for (name, addr) in owned_engines(node) {
            if self.in_progress.contains(&name) {
                continue;
            }
            let (polling, sender, engine) = (Arc::clone(node), self.sender.clone(), name.clone());
            let poll = move || {
                let report = poll(&polling, &engine, &addr);
                sender.send((engine, report)).unwrap_or_default();
            };
            match spawn("poll-engine", poll) {
                Ok(()) => drop(self.in_progress.insert(name)),
                Err(e) => log::error!("poll: cannot start a thread to poll {name}: {e}."),
            }
        }
    }

    /// Returns the reports received in time; later ones are sent with the next round.
    fn collect(&mut self) -> Vec<message::LoadReport> {
        let end = Instant::now() + COLLECT_TIMEOUT;
        let mut reports = Vec::new();
        while !self.in_progress.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            let Ok((name, report)) = self.inbox.recv_timeout(left) else { break };
            self.in_progress.remove(&name);
            reports.extend(report);
        }
        reports
    }
}

/// Returns names and addresses of the engines that this instance owns.
fn owned_engines(node: &Node) -> Vec<(String, String)> {
    let mut state = node.state();
    let State { view, targets, .. } = &mut *state;
    let candidates = view.candidates(Instant::now());
    let is_owner = |name: &str| holder(name, candidates.iter().copied()) == Some(&*node.name);
    let in_zone =
        |t: &TargetState| t.listed.kind == TargetKind::Engine && t.listed.zone == node.zone;
    targets.set_owned(candidates.len(), |t| in_zone(t) && is_owner(&t.listed.name));
    targets
        .all()
        .filter(|t| t.owned)
        .map(|t| (t.listed.name.to_string(), t.listed.addr.clone()))
        .collect()
}

fn poll(node: &Node, name: &str, addr: &str) -> Option<message::LoadReport> {
    match engine::load(&node.pooled_agent, addr) {
        Ok(load) => {
            let report = to_message(name, load);
            node.state().targets.record_report(name, from_message(&report), Instant::now());
            Some(report)
        }
        Err(e) => {
            log::debug!("poll: no load report from {name} at {addr}: {e}.");
            None
        }
    }
}

fn to_message(name: &str, load: Load) -> message::LoadReport {
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

fn from_message(report: &message::LoadReport) -> LoadReport {
    LoadReport {
        boot: report.boot,
        number: report.seq,
        prefill: report.prefill_tokens,
        bands: tiers::prefill_by_band(report.prefill_tokens, &report.bands),
        running: report.running,
        slots: report.slots,
        free: report.free_tokens,
        capacity: report.capacity_tokens,
        speed: report.tokens_per_s,
        leaving: report.leaving,
        models: report.models.iter().map(|m| m.as_str().into()).collect(),
    }
}

/// Records the load reports that a peer sent.
pub fn record_reports(node: &Node, reports: LoadReports) {
    let now = Instant::now();
    let mut state = node.state();
    for report in reports.reports {
        if let Some(full) = state.expander.expand(report) {
            state.targets.record_report(&full.target, from_message(&full), now);
        }
    }
}

/// Parses an address of the member list, `IP:port`.
pub fn parse_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}
