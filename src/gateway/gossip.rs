//! Exchanges requests in flight with peers by datagram.
//!
//! Changes are sent within milliseconds, so that instances do not choose the same
//! target at the same time. The full state is sent at a regular interval, which
//! corrects for lost datagrams and serves as a heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::edge::load::{Assignment, RequestNumber};
use mimosapass_core::edge::route_table::ServiceId;
use mimosapass_core::edge::wait::QueueEntry;
use mimosapass_core::ids::{InstanceId, TargetId, ZoneId};
use mimosapass_instance::datagram::{
    self, Datagram, DatagramSocket, TargetRequests, split_targets,
};

use super::state::{Gateway, Peer, State};

/// Time for which changes are collected into one datagram. It is short against a pass
/// of an engine, which takes about 45 ms, so the delay does not affect decisions.
const BATCH_DELAY: Duration = Duration::from_millis(1);
/// Shortest interval between full states. Three missed ones show within about a second
/// that a zone is unreachable.
const FULL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between full states, per peer. It keeps the bytes that an instance receives
/// from growing faster than the number of instances.
const FULL_INTERVAL_PER_PEER: Duration = Duration::from_millis(15);
/// Silence after which a peer and its requests are removed.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Sends changes and full states to peers until the process ends.
pub fn send_updates(gateway: &Arc<Gateway>, socket: &DatagramSocket) {
    let mut seq = 0;
    let mut next_full = Instant::now();
    loop {
        let mut state = gateway.state();
        while state.scheduler.changed_targets.is_empty()
            && !state.scheduler.long_changed
            && Instant::now() < next_full
        {
            let left = next_full.saturating_duration_since(Instant::now());
            let waited = gateway.load_changed.wait_timeout(state, left);
            state = waited.map_or_else(|e| e.into_inner().0, |(state, _)| state);
        }
        drop(state);
        std::thread::sleep(BATCH_DELAY);
        let now = Instant::now();
        let full = now >= next_full;
        let mut state = gateway.state();
        if full {
            next_full = now + FULL_INTERVAL.max(FULL_INTERVAL_PER_PEER * state.peers.len() as u32);
        }
        remove_silent(&mut state, now);
        let addrs = peer_addrs(gateway, &state);
        let datagrams = build_datagrams(gateway, &mut state, full, now);
        gateway.metrics.peers.set(state.peers.len() as i64);
        drop(state);
        for mut datagram in datagrams {
            seq += 1;
            datagram.seq = seq;
            socket.send(&datagram, &addrs);
        }
    }
}

fn remove_silent(state: &mut State, now: Instant) {
    let silent: Vec<InstanceId> = state
        .peers
        .iter()
        .filter(|(_, p)| now.duration_since(p.last_heard) > PEER_TIMEOUT)
        .map(|(name, _)| InstanceId::clone(name))
        .collect();
    for name in silent {
        log::info!(
            peer = &*name;
            "peer: no datagram for {PEER_TIMEOUT:?}, its requests are dropped."
        );
        state.peers.remove(&name);
        state.scheduler.peer_queues.remove(&name);
        state.scheduler.load.forget_peer(&name);
    }
}

/// Returns the addresses to which datagrams are sent.
///
/// They include the seeds while the store has listed no peer. All instances use the
/// same port for datagrams.
fn peer_addrs(gateway: &Gateway, state: &State) -> Vec<SocketAddr> {
    let own = gateway.settings.listen.peers;
    let mut addrs: Vec<SocketAddr> = state.members.values().copied().collect();
    addrs.extend(state.peers.values().map(|p| p.addr));
    if state.members.is_empty() {
        let seeds = gateway.settings.seeds.iter();
        addrs.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), own.port())));
    }
    addrs.sort_unstable();
    addrs.dedup();
    addrs.retain(|addr| *addr != own);
    addrs
}

fn build_datagrams(
    gateway: &Gateway,
    state: &mut State,
    full: bool,
    now: Instant,
) -> Vec<Datagram> {
    let changed = std::mem::take(&mut state.scheduler.changed_targets);
    state.scheduler.long_changed = false;
    let waiting: Vec<datagram::WaitingPrompt> = state
        .scheduler
        .long_entries(now)
        .map(|(service, w)| encode_waiting(service, w, now))
        .collect();
    let targets: Vec<TargetId> = if full {
        let ids = state.scheduler.load.own_targets();
        ids.chain(changed.iter()).cloned().collect::<std::collections::BTreeSet<_>>()
    } else {
        changed
    }
    .into_iter()
    .collect();
    let target_requests = |target: &TargetId| {
        let requests = state
            .scheduler
            .load
            .own_assignments(target)
            .iter()
            .map(|(id, assignment)| encode_request(*id, assignment, now))
            .collect();
        TargetRequests { target: target.to_string(), requests }
    };
    let groups = split_targets(targets.iter().map(target_requests).collect());
    let single = groups.len() == 1;
    let datagram = |targets| Datagram {
        version: datagram::VERSION,
        from: gateway.name.to_string(),
        zone: gateway.settings.zone.clone(),
        boot: gateway.boot,
        seq: 0,
        config_version: gateway.route_table().version,
        store_unreachable: state.store.failing_since.is_some(),
        leaving: gateway.is_stopping(),
        complete: full && single,
        targets,
        waiting: waiting.clone(),
        revision: state.store.target_revision,
        watching: state.watches_store(&gateway.name, now),
    };
    groups.into_iter().map(datagram).collect()
}

/// Returns a duration in whole milliseconds, the unit of datagrams.
fn ms(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}

/// Returns the instant `ms` milliseconds before `now`.
fn ago(ms: u32, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(ms))).unwrap_or(now)
}

fn encode_waiting(service: &str, waiting: &QueueEntry, now: Instant) -> datagram::WaitingPrompt {
    let overdue_ms = ms(now.saturating_duration_since(waiting.due)) as i32;
    datagram::WaitingPrompt {
        service: service.to_owned(),
        waited_ms: ms(now.saturating_duration_since(waiting.arrived)),
        due_in_ms: ms(waiting.due.saturating_duration_since(now)) as i32 - overdue_ms,
        work_ms: ms(waiting.work),
        worth: waiting.value as f32,
        priority: u32::from(waiting.priority),
    }
}

fn decode_waiting(wire: datagram::WaitingPrompt, now: Instant) -> (ServiceId, QueueEntry) {
    let due = match u32::try_from(wire.due_in_ms) {
        Ok(left) => now + Duration::from_millis(u64::from(left)),
        Err(_) => ago(wire.due_in_ms.unsigned_abs(), now),
    };
    let waiting = QueueEntry {
        arrived: ago(wire.waited_ms, now),
        due,
        expires: due,
        value: f64::from(wire.worth),
        work: Duration::from_millis(u64::from(wire.work_ms)),
        min_work: Duration::ZERO,
        priority: wire.priority.min(u32::from(u8::MAX)) as u8,
    };
    (ServiceId::from(wire.service), waiting)
}

fn encode_request(id: RequestNumber, assignment: &Assignment, now: Instant) -> datagram::Request {
    datagram::Request {
        id,
        prompt_tokens: assignment.prompt,
        parts: assignment.parts,
        prefill_only: !assignment.answering,
        memory_tokens: assignment.memory_tokens,
        answer_tokens: assignment.answer,
        gap_ms: ms(assignment.max_gap),
        worth: assignment.value as f32,
        since_sent_ms: ms(now.saturating_duration_since(assignment.sent_at)),
        streaming_ms: assignment
            .decoding_since
            .map_or(0, |at| ms(now.saturating_duration_since(at)) + 1),
    }
}

fn decode_request(wire: &datagram::Request, now: Instant) -> (RequestNumber, Assignment) {
    let assignment = Assignment {
        prompt: wire.prompt_tokens,
        parts: wire.parts.max(1),
        answering: !wire.prefill_only,
        memory_tokens: wire.memory_tokens,
        answer: wire.answer_tokens,
        max_gap: Duration::from_millis(u64::from(wire.gap_ms)),
        value: f64::from(wire.worth),
        sent_at: ago(wire.since_sent_ms, now),
        decoding_since: wire.streaming_ms.checked_sub(1).map(|ms| ago(ms, now)),
    };
    (wire.id, assignment)
}

/// Receives datagrams of peers until the process ends.
pub fn receive_updates(gateway: &Arc<Gateway>, socket: &DatagramSocket) {
    loop {
        match socket.receive() {
            Ok(Some((datagram, from))) => apply(gateway, datagram, from),
            Ok(None) => {}
            Err(e) => {
                log::warn!("datagram: receiving failed: {e}.");
                std::thread::sleep(PEER_TIMEOUT);
            }
        }
    }
}

fn apply(gateway: &Gateway, datagram: Datagram, addr: SocketAddr) {
    if datagram.from == *gateway.name {
        return;
    }
    let now = Instant::now();
    let name = InstanceId::from(datagram.from.as_str());
    let table = gateway.route_table();
    let mut state = gateway.state();
    let known = state.peers.get(&name).map(|p| (p.boot, p.seq));
    let unreachable_at = state.peers.get(&name).and_then(|p| p.unreachable_at);
    if known.is_some_and(|known| (datagram.boot, datagram.seq) <= known) {
        return;
    }
    let restarted = known.is_some_and(|(boot, _)| boot < datagram.boot);
    if known.is_none() {
        log::info!(peer = &*name, addr:% = addr; "peer: first datagram received.");
    }
    if datagram.complete {
        let listed: Vec<&str> = datagram.targets.iter().map(|t| t.target.as_str()).collect();
        state.scheduler.load.retain_peer_targets(&name, &listed);
    }
    if restarted || datagram.leaving && datagram.targets.is_empty() {
        state.scheduler.load.forget_peer(&name);
    }
    let peer = Peer {
        addr,
        boot: datagram.boot,
        seq: datagram.seq,
        last_heard: now,
        config_version: datagram.config_version,
        store_unreachable: datagram.store_unreachable,
        unreachable_at: if datagram.store_unreachable { Some(now) } else { unreachable_at },
        target_revision: datagram.revision,
        watching: datagram.watching,
        zone: ZoneId::from(datagram.zone),
    };
    let waiting = datagram.waiting.into_iter().map(|w| decode_waiting(w, now)).collect();
    state.scheduler.peer_queues.insert(InstanceId::clone(&name), waiting);
    state.scheduler.reachability.record_peer_datagram(&peer.zone, now);
    state.peers.insert(InstanceId::clone(&name), peer);
    for TargetRequests { target, requests } in datagram.targets {
        let assignments = requests.iter().map(|r| decode_request(r, now)).collect();
        let engine = state.engine_at(&table, &target);
        state.scheduler.load.replace(&name, &TargetId::from(target), assignments, engine.as_ref());
    }
    state.dispatch(gateway, now);
}
