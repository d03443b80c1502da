//! The store as peers see it, where this instance does not.
//!
//! In a large zone only a few instances watch the store; the others ask one that
//! knows more than they do, in the same zone, where bytes are free. Besides, the
//! store may serve some instances and refuse others, and a connection to it may
//! fall silent. An instance that sees from datagrams that it is behind asks
//! a peer for the configuration and the targets. One that has just started
//! while the store is away gets its first view so.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_core::edge::fleet::{Change, Target};
use mimosapass_core::ids::TargetId;
use mimosapass_instance::link::{Incoming, Links};
use mimosapass_instance::message::{Body, SnapshotRequest, StoreSnapshot, StoreTarget};
use mimosapass_platform::plan;
use rand::seq::IndexedRandom;

use super::follow;
use super::state::{Gateway, State};

/// Time between two looks at whether this instance is behind.
const LOOK: Duration = Duration::from_millis(100);
/// Time for which a peer may have a newer configuration before it is asked: each
/// instance hears of it from the store itself, unless something is wrong.
const PATIENCE: Duration = Duration::from_secs(1);
/// Silence of the store after which peers are asked for targets: a watch is
/// answered within two seconds when the store is well.
const SILENT: Duration = Duration::from_millis(2_600);
/// Least time between two requests.
const PAUSE: Duration = Duration::from_millis(600);
/// The same for an instance that does not watch the store: with the pace of those
/// that do, a change is known everywhere within about a second.
const TOLD_PAUSE: Duration = Duration::from_millis(300);

/// Asks a peer whenever this instance is behind, for as long as the process runs.
pub fn ask(gateway: &Arc<Gateway>, links: &Links) {
    loop {
        thread::sleep(LOOK);
        let now = Instant::now();
        follow::expire(gateway);
        let mine = gateway.plan().version;
        let mut state = gateway.state();
        let found = if state.store.listed && !state.watches(&gateway.name, now) {
            told(&mut state, mine, now)
        } else {
            state.behind = None;
            behind(&mut state, mine, now)
        };
        if let Some((peer, ask)) = found {
            state.asked = Some(now);
            drop(state);
            log::info!(peer:% = peer, version = mine, revision = ask.revision; "mirror: a peer is asked.");
            links.send(peer, Body::SnapshotRequest(ask));
        }
    }
}

/// Returns whom of its zone an instance that does not watch the store is to ask.
fn told(state: &mut State, mine: u64, now: Instant) -> Option<(SocketAddr, SnapshotRequest)> {
    let seen = state.store.seen;
    let near = state.peers.values().filter(|p| p.zone == state.scheduler.zone);
    let able = near.filter(|p| p.config > mine || p.seen > seen);
    // The one that was heard last is the least likely to be gone.
    let peer = able.max_by_key(|p| p.heard).map(|p| p.addr);
    state.behind = peer.and(state.behind.or(Some(now)));
    if state.asked.is_some_and(|at| now < at + TOLD_PAUSE) {
        return None;
    }
    Some((peer?, SnapshotRequest { config_version: mine, revision: seen }))
}

/// Returns whom to ask for what, if this instance is behind the store.
fn behind(state: &mut State, mine: u64, now: Instant) -> Option<(SocketAddr, SnapshotRequest)> {
    let newest = state.peers.values().map(|p| p.config).max().unwrap_or_default();
    state.newer = if newest > mine { state.newer.or(Some(now)) } else { None };
    let old = state.newer.is_some_and(|since| now >= since + PATIENCE);
    let silent = state.store.heard.is_none_or(|at| now >= at + SILENT);
    if !old && !silent || state.asked.is_some_and(|at| now < at + PAUSE) {
        return None;
    }
    let seen = state.store.seen;
    let knows = |config: u64, at: u64| config > mine || silent && at > seen;
    let able: Vec<(bool, SocketAddr)> =
        state.peers.values().filter(|p| knows(p.config, p.seen)).map(|p| (p.cut, p.addr)).collect();
    // A peer that sees the store itself goes before one that was told, too.
    let seeing: Vec<SocketAddr> =
        able.iter().filter(|(cut, _)| !cut).map(|(_, addr)| *addr).collect();
    let told = || able.choose(&mut rand::rng()).map(|(_, addr)| *addr);
    let peer = seeing.choose(&mut rand::rng()).copied().or_else(told)?;
    Some((peer, SnapshotRequest { config_version: mine, revision: seen }))
}

/// Answers peers and takes their answers, for as long as the process runs.
pub fn answer(gateway: &Arc<Gateway>, links: &Links, inbox: &Receiver<Incoming>) {
    for Incoming { from, addr, body } in inbox {
        match (body, addr.parse()) {
            (Body::SnapshotRequest(ask), Ok(to)) => {
                links.send(to, Body::Snapshot(view(gateway, &ask)));
            }
            (Body::Snapshot(view), _) => take(gateway, &from.name, &view),
            (_, Ok(_)) => log::debug!("mirror: {} sent what gateways do not use.", from.name),
            (_, Err(e)) => log::warn!("mirror: {} has no address: {e}.", from.name),
        }
    }
}

fn view(gateway: &Gateway, ask: &SnapshotRequest) -> StoreSnapshot {
    let newer = gateway.plan().version > ask.config_version;
    let config = if newer { Bytes::copy_from_slice(&gateway.text()) } else { Bytes::new() };
    let state = gateway.state();
    let known = state.store.listed && state.store.seen > ask.revision;
    let targets =
        if known { state.scheduler.fleet.all().map(|t| wire(t)).collect() } else { Vec::new() };
    StoreSnapshot {
        config_text: config,
        revision: if known { state.store.seen } else { 0 },
        targets,
    }
}

fn wire(target: &Target) -> StoreTarget {
    StoreTarget {
        id: target.id.to_string(),
        service: target.service.to_string(),
        addr: target.addr.to_string(),
        zone: target.zone.to_string(),
        slots: target.slots,
        draining: target.draining,
        started_ms: target.started_ms,
        seq: target.seq,
    }
}

fn read(wire: &StoreTarget) -> Option<Target> {
    let addr = match wire.addr.parse() {
        Ok(addr) => addr,
        Err(e) => {
            log::warn!(target_id = wire.id.as_str(); "mirror: its address cannot be read: {e}.");
            return None;
        }
    };
    Some(Target {
        id: wire.id.as_str().into(),
        service: wire.service.as_str().into(),
        addr,
        zone: wire.zone.as_str().into(),
        slots: wire.slots,
        draining: wire.draining,
        started_ms: wire.started_ms,
        seq: wire.seq,
        warmup: Duration::ZERO,
    })
}

fn take(gateway: &Gateway, peer: &str, view: &StoreSnapshot) {
    if !view.config_text.is_empty() {
        match plan::decode(&view.config_text) {
            Ok(plan) => drop(gateway.install(plan, &view.config_text)),
            Err(e) => log::error!(peer; "mirror: its configuration cannot be read: {e}."),
        }
    }
    let now = Instant::now();
    let mut state = gateway.state();
    if view.revision <= state.store.seen {
        return;
    }
    let targets: Vec<Target> = view.targets.iter().filter_map(read).collect();
    let named: Vec<TargetId> = targets.iter().map(|t| TargetId::clone(&t.id)).collect();
    let mut changes = 0;
    for target in targets {
        changes += usize::from(state.scheduler.fleet.report(target) != Change::Unchanged);
    }
    // The peer has settled already which entries only lapsed.
    let gone = state.scheduler.fleet.reconcile(&named, false, now).len();
    state.store.seen = view.revision;
    state.store.at = state.store.at.max(view.revision);
    state.store.listed = true;
    log::info!(peer, revision = view.revision, changes, gone; "mirror: targets are taken over.");
    state.dispatch(gateway, now);
}
