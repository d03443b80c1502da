//! Fetches snapshots of the store's data from peers, and serves them.
//!
//! In a large zone only a few instances watch the store. The others request snapshots
//! from a peer with newer data in the same zone, where traffic is free. The store may
//! also refuse some instances and serve others, and a connection to it may stall. An
//! instance whose peers report newer data in their datagrams requests the configuration,
//! the targets and the evacuated zones from one of them. An instance that starts while the store is
//! unavailable gets its first data in the same way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_core::edge::catch_up;
use mimosapass_core::edge::fleet::{Change, Target};
use mimosapass_core::edge::position::Position;
use mimosapass_core::ids::TargetId;
use mimosapass_instance::compression::decompress;
use mimosapass_instance::link::{Incoming, Links};
use mimosapass_instance::message::{Body, SnapshotRequest, StoreSnapshot, StoreTarget};
use mimosapass_platform::config;
use rand::seq::IndexedRandom;

use super::peers::Peer;
use super::state::{Gateway, State};
use super::{evacuation, follow, gossip};

/// Interval between checks whether peers have newer data.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a peer may have a newer configuration before it is requested. When
/// nothing fails, each watching instance gets it from the store.
const MAX_OUTDATED: Duration = Duration::from_secs(1);
/// Shortest time between two requests of an instance that does not watch the store, if the
/// first one was answered. Together with the interval of watches, a change is known
/// everywhere within about a second.
const UNWATCHED_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum size of a configuration: the largest value of the store, and as much again.
const MAX_CONFIG_BYTES: usize = 2 * 1024 * 1024;

/// Requests a snapshot whenever a peer has newer data; runs until the process ends.
pub fn request_when_behind(gateway: &Arc<Gateway>, links: &Links) {
    loop {
        thread::sleep(POLL_INTERVAL);
        let now = Instant::now();
        follow::expire_targets(gateway);
        let own_version = gateway.route_table().version;
        let mut state = gateway.state();
        state.update_lag(own_version, now);
        let request = if state.store.listed && !state.is_elected_watcher(gateway, now) {
            request_unwatched(&mut state, own_version, now)
        } else {
            request_watched(&mut state, own_version, gateway.started, now)
        };
        let behind_ms = state.behind_ms(now);
        gateway.metrics.behind.set(behind_ms as i64);
        if let Some((peer, request)) = request {
            state.snapshot_requests.sent(now);
            let unanswered = state.snapshot_requests.unanswered();
            let store_ms = state.store.last_success.map(|at| gossip::ms(now - at));
            drop(state);
            gateway.metrics.snapshots.with_label_values(&["requested"]).inc();
            log::info!(
                peer:% = peer, version = own_version, era = request.era, revision = request.revision,
                behind_ms, unanswered, store_ms;
                "snapshot: requested from a peer."
            );
            links.send(peer, Body::SnapshotRequest(request));
        }
    }
}

/// Returns the request of an instance that does not watch the store for its zone.
fn request_unwatched(
    state: &mut State,
    own_version: u64,
    now: Instant,
) -> Option<(SocketAddr, SnapshotRequest)> {
    let known = state.known(own_version);
    let in_zone = state.peers.values().filter(|p| p.zone == state.scheduler.zone);
    let newer = in_zone.filter(|p| known.lacks(&p.known()));
    // The peer whose datagram is the most recent is the least likely to have failed.
    let peer = newer.max_by_key(|p| p.last_heard).map(|p| p.addr);
    if !state.snapshot_requests.may_send(UNWATCHED_INTERVAL, now) {
        return None;
    }
    let digest = state.scheduler.fleet.digest();
    Some((peer?, request(own_version, known.targets, digest)))
}

/// Returns the request of an instance that watches the store for its zone.
fn request_watched(
    state: &mut State,
    own_version: u64,
    started: Instant,
    now: Instant,
) -> Option<(SocketAddr, SnapshotRequest)> {
    let newest = state.peers.values().map(|p| p.config_version).max().unwrap_or_default();
    state.outdated_since =
        if newest > own_version { state.outdated_since.or(Some(now)) } else { None };
    let outdated = state.outdated_since.is_some_and(|since| now >= since + MAX_OUTDATED);
    let store = state.store;
    let age = |at: Instant| now.saturating_duration_since(at);
    let last_answer = store.last_success.map(age);
    let store_silent =
        catch_up::is_store_silent(store.failing_since.is_some(), last_answer, age(started));
    // The first listing brings the configuration too.
    let needed = store_silent || outdated && store.listed;
    if !needed || !state.snapshot_requests.may_send(catch_up::answer_time(store.listed), now) {
        return None;
    }
    let known = state.store.progress.targets;
    let orders = state.scheduler.fleet.evacuations.latest();
    let has_newer = |p: &Peer| {
        p.config_version > own_version
            || store_silent && (p.targets > known || p.evacuations > orders)
    };
    let newer: Vec<(bool, SocketAddr)> = state
        .peers
        .values()
        .filter(|p| has_newer(p))
        .map(|p| (p.store_unreachable, p.addr))
        .collect();
    // Peers that reach the store themselves are preferred.
    let reaching: Vec<SocketAddr> =
        newer.iter().filter(|(unreachable, _)| !unreachable).map(|(_, addr)| *addr).collect();
    let any = || newer.choose(&mut rand::rng()).map(|(_, addr)| *addr);
    let peer = reaching.choose(&mut rand::rng()).copied().or_else(any)?;
    Some((peer, request(own_version, known, state.scheduler.fleet.digest())))
}

fn request(config_version: u64, known: Position, digest: Option<u64>) -> SnapshotRequest {
    let Position { era, revision } = known;
    SnapshotRequest {
        config_version,
        revision,
        accepts_changes: true,
        era,
        digest,
        accepts_compressed: true,
    }
}

/// Serves requests of peers and applies their snapshots; runs until the process ends.
pub fn serve_and_apply(gateway: &Arc<Gateway>, links: &Links, inbox: &Receiver<Incoming>) {
    for Incoming { from, addr, body } in inbox {
        match (body, addr.parse()) {
            (Body::SnapshotRequest(request), Ok(to)) => {
                links.send(to, Body::Snapshot(snapshot(gateway, &request)));
            }
            (Body::Snapshot(snapshot), _) => apply(gateway, &from.name, &snapshot),
            (_, Ok(_)) => log::debug!(
                "snapshot: ignored a message of {} that gateways do not use.",
                from.name
            ),
            (_, Err(e)) => log::warn!("snapshot: the address of {} is invalid: {e}.", from.name),
        }
    }
}

/// Builds the snapshot for a request; data that is not newer stays empty.
fn snapshot(gateway: &Gateway, request: &SnapshotRequest) -> StoreSnapshot {
    let (config_text, config_compressed) = encode_config(gateway, request);
    let state = gateway.state();
    let zone_orders = evacuation::encode(&state);
    let without_targets =
        StoreSnapshot { config_text, config_compressed, zone_orders, ..StoreSnapshot::default() };
    let known = Position { era: request.era, revision: request.revision };
    let targets = state.store.progress.targets;
    if !state.store.listed || targets <= known {
        return without_targets;
    }
    let fleet = &state.scheduler.fleet;
    let now = Instant::now();
    let grace_end = state.grace_end(now);
    let encode = |target: &Target| StoreTarget {
        kept_ms: fleet.time_kept(&target.id, grace_end, now).map(gossip::ms),
        ..encode(target)
    };
    let changed = state.target_changes.since(known).filter(|_| request.accepts_changes);
    let Position { era, revision } = targets;
    // After listings at different moments most instances know the same.
    let same = || request.digest.is_some() && request.digest == fleet.digest();
    match changed {
        None if request.accepts_changes && same() => {
            StoreSnapshot { revision, era, changes_only: true, ..without_targets }
        }
        Some(ids) => StoreSnapshot {
            revision,
            era,
            targets: ids.iter().filter_map(|id| fleet.get(id)).map(|t| encode(t)).collect(),
            changes_only: true,
            gone: ids
                .iter()
                .filter(|id| fleet.get(id).is_none())
                .map(ToString::to_string)
                .collect(),
            ..without_targets
        },
        None => StoreSnapshot {
            revision,
            era,
            targets: fleet.all().map(|t| encode(t)).collect(),
            ..without_targets
        },
    }
}

/// Returns the configuration for a request, as text or compressed; both are empty if the
/// requester has it.
fn encode_config(gateway: &Gateway, request: &SnapshotRequest) -> (Bytes, Bytes) {
    if gateway.route_table().version <= request.config_version {
        return (Bytes::new(), Bytes::new());
    }
    let config = gateway.config_text();
    if request.accepts_compressed && !config.compressed().is_empty() {
        return (Bytes::new(), Bytes::clone(config.compressed()));
    }
    (Bytes::clone(&config.text), Bytes::new())
}

fn encode(target: &Target) -> StoreTarget {
    StoreTarget {
        id: target.id.to_string(),
        service: target.service.to_string(),
        addr: target.addr.to_string(),
        zone: target.zone.to_string(),
        slots: target.slots,
        draining: target.draining,
        started_ms: target.started_ms,
        seq: target.seq,
        kept_ms: None,
    }
}

fn decode(wire: &StoreTarget) -> Option<Target> {
    let addr = match wire.addr.parse() {
        Ok(addr) => addr,
        Err(e) => {
            log::warn!(
                target_id = wire.id.as_str();
                "snapshot: skipped a target with an invalid address: {e}."
            );
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

/// Applies the configuration of a peer's snapshot.
fn apply_config(gateway: &Gateway, peer: &str, text: &[u8]) {
    let outcome = match config::decode(text).map(|table| gateway.install(table, text, peer)) {
        Ok(true) => "newer",
        Ok(false) => {
            log::info!(peer, bytes = text.len(); "snapshot: the configuration of a peer is not newer.");
            "known"
        }
        Err(e) => {
            log::error!(peer; "snapshot: the configuration of a peer is invalid: {e}.");
            "invalid"
        }
    };
    gateway.metrics.snapshots.with_label_values(&[outcome]).inc();
}

fn apply(gateway: &Gateway, peer: &str, snapshot: &StoreSnapshot) {
    gateway.state().snapshot_requests.answered();
    if !snapshot.config_text.is_empty() {
        apply_config(gateway, peer, &snapshot.config_text);
    }
    if !snapshot.config_compressed.is_empty() {
        match decompress(&snapshot.config_compressed, MAX_CONFIG_BYTES) {
            Ok(text) => apply_config(gateway, peer, text.as_bytes()),
            Err(e) => {
                log::error!(peer; "snapshot: the configuration of a peer cannot be read: {e}.");
            }
        }
    }
    evacuation::apply_peer(gateway, peer, &snapshot.zone_orders);
    let now = Instant::now();
    let mut state = gateway.state();
    let position = Position { era: snapshot.era, revision: snapshot.revision };
    if !state.store.progress.learn(position) {
        return;
    }
    let targets = snapshot.targets.iter().filter_map(|t| Some((decode(t)?, t.kept_ms)));
    let targets: Vec<(Target, Option<u32>)> = targets.collect();
    let listed: Vec<TargetId> = targets.iter().map(|(t, _)| TargetId::clone(&t.id)).collect();
    let (mut changes, mut kept) = (0, 0);
    for (target, kept_ms) in targets {
        let fleet = &mut state.scheduler.fleet;
        let change = match kept_ms {
            Some(ms) => fleet.report_kept(target, now + Duration::from_millis(u64::from(ms))),
            None => fleet.report(target),
        };
        changes += usize::from(change != Change::Unchanged);
        kept += usize::from(kept_ms.is_some());
    }
    // The peer has already decided which entries only expired in an outage.
    let gone = if snapshot.changes_only {
        let removed = snapshot.gone.iter().map(|id| TargetId::from(id.as_str()));
        for id in listed.into_iter().chain(removed) {
            state.target_changes.record(position, id);
        }
        let fleet = &mut state.scheduler.fleet;
        snapshot.gone.iter().filter(|id| fleet.remove(id, false) == Change::Gone).count()
    } else {
        state.target_changes.reset(position);
        state.scheduler.fleet.reconcile(&listed, false).len()
    };
    state.store.listed = true;
    log::info!(
        peer, era = position.era, revision = position.revision, changes, gone, kept,
        changes_only = snapshot.changes_only;
        "snapshot: applied the targets of a peer."
    );
    state.dispatch(gateway, now);
}
