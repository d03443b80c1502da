//! Polls the engines that this instance owns and tells its zone peers.
//!
//! Each engine has one owner among the live instances of its zone, by
//! rendezvous hash. Two owners while members change do no harm: a report
//! carries its own number and the newest wins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::board::{Known, Report};
use mimosapass_core::config::TargetKind;
use mimosapass_core::rendezvous::holder;
use mimosapass_core::split;
use mimosapass_instance::compact::Shortener;
use mimosapass_instance::message::{Body, Record, Records};
use mimosapass_target::engine::{self, Load};

use crate::node::{Node, State};
use crate::parts::peers;

/// Time between two polls of an engine.
const PERIOD: Duration = Duration::from_secs(1);

/// Polls for as long as the process lives.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(PERIOD);
    let mut shortener = Shortener::default();
    while ticks.recv().is_ok() {
        let records = poll_all(node, &owned(node));
        if !records.is_empty() {
            let whole = node.state().contacts.take_new();
            let records = shortener.shorten(&records, whole);
            peers::tell_zone(node, Some(Body::Records(Records { records })));
        }
    }
}

/// Polls engines at the same time, so that a frozen one holds up no other.
fn poll_all(node: &Node, owned: &[(String, String)]) -> Vec<Record> {
    thread::scope(|scope| {
        let polls: Vec<_> =
            owned.iter().map(|(name, addr)| scope.spawn(move || poll(node, name, addr))).collect();
        polls.into_iter().filter_map(|p| p.join().ok().flatten()).collect()
    })
}

/// Returns names and addresses of the engines that this instance owns.
fn owned(node: &Node) -> Vec<(String, String)> {
    let mut state = node.state();
    let State { view, board, .. } = &mut *state;
    let candidates = view.candidates(Instant::now());
    let mine = |name: &str| holder(name, candidates.iter().copied()) == Some(&*node.name);
    let near = |k: &Known| k.listed.kind == TargetKind::Engine && k.listed.zone == node.zone;
    board.own(candidates.len(), |k| near(k) && mine(&k.listed.name));
    board
        .all()
        .filter(|k| k.mine)
        .map(|k| (k.listed.name.to_string(), k.listed.addr.clone()))
        .collect()
}

fn poll(node: &Node, name: &str, addr: &str) -> Option<Record> {
    match engine::load(&node.pooled, addr) {
        Ok(load) => {
            let record = record(name, load);
            node.state().board.report(name, report(&record), Instant::now());
            Some(record)
        }
        Err(e) => {
            log::debug!("poll: no report of {name}: {e}.");
            None
        }
    }
}

fn record(name: &str, load: Load) -> Record {
    Record {
        target: name.to_owned(),
        boot: load.boot,
        number: load.number,
        prefill: load.prefill,
        running: load.running,
        slots: load.slots,
        free: load.free,
        capacity: load.capacity,
        speed: load.speed,
        leaving: load.leaving,
        models: load.models,
        id: 0,
        bands: load.bands,
    }
}

fn report(record: &Record) -> Report {
    Report {
        boot: record.boot,
        number: record.number,
        prefill: record.prefill,
        bands: split::bands(record.prefill, &record.bands),
        running: record.running,
        slots: record.slots,
        free: record.free,
        capacity: record.capacity,
        speed: record.speed,
        leaving: record.leaving,
        models: record.models.iter().map(|m| m.as_str().into()).collect(),
    }
}

/// Notes the records that a peer sent.
pub fn note(node: &Node, records: Records) {
    let now = Instant::now();
    let mut state = node.state();
    for record in records.records {
        if let Some(whole) = state.lengthener.lengthen(record) {
            state.board.report(&whole.target, report(&whole), now);
        }
    }
}

/// Parses an address of the platform's list, `IP:port`.
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}
