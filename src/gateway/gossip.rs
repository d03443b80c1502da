//! Requests in flight, told to peers and heard from them.
//!
//! A change is told within milliseconds, so that instances do not choose the
//! same target at once. The whole is told every second, which repairs what a
//! lost datagram left wrong and serves as a sign of life.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::edge::load::{Assignment, RequestNumber};
use mimosapass_core::edge::plan::ServiceId;
use mimosapass_core::edge::wait::QueueEntry;
use mimosapass_core::ids::{InstanceId, TargetId, ZoneId};
use mimosapass_instance::datagram::{
    self, Datagram, DatagramSocket, TargetRequests, split_targets,
};

use super::state::{Gateway, Peer, State};

/// Time in which changes gather before peers are told. A pass of an engine takes
/// some 45 ms; news that are much younger than that decide as well.
const GATHER: Duration = Duration::from_millis(1);
/// Least time between two tellings of the whole. Three that are missed tell that
/// a zone is cut off within about a second.
const WHOLE: Duration = Duration::from_millis(300);
/// Time between two tellings of the whole for each peer, so that what an instance
/// hears grows no faster than the fleet.
const WHOLE_PEER: Duration = Duration::from_millis(15);
/// Silence after which a peer and its requests are forgotten.
const SILENT: Duration = Duration::from_millis(3_500);

/// Tells peers of changes for as long as the process runs.
pub fn tell(gateway: &Arc<Gateway>, socket: &DatagramSocket) {
    let mut number = 0;
    let mut whole_at = Instant::now();
    loop {
        let mut state = gateway.state();
        while state.scheduler.changed_targets.is_empty()
            && !state.scheduler.long_changed
            && Instant::now() < whole_at
        {
            let left = whole_at.saturating_duration_since(Instant::now());
            let waited = gateway.bell.wait_timeout(state, left);
            state = waited.map_or_else(|e| e.into_inner().0, |(state, _)| state);
        }
        drop(state);
        std::thread::sleep(GATHER);
        let now = Instant::now();
        let whole = now >= whole_at;
        let mut state = gateway.state();
        if whole {
            whole_at = now + WHOLE.max(WHOLE_PEER * state.peers.len() as u32);
        }
        forget_silent(&mut state, now);
        let peers = addresses(gateway, &state);
        let datagrams = datagrams(gateway, &mut state, whole, now);
        gateway.metrics.peers.set(state.peers.len() as i64);
        drop(state);
        for mut datagram in datagrams {
            number += 1;
            datagram.seq = number;
            socket.send(&datagram, &peers);
        }
    }
}

fn forget_silent(state: &mut State, now: Instant) {
    let silent: Vec<InstanceId> = state
        .peers
        .iter()
        .filter(|(_, p)| now.duration_since(p.heard) > SILENT)
        .map(|(name, _)| InstanceId::clone(name))
        .collect();
    for name in silent {
        log::info!(peer = &*name; "peer: silent, its requests are forgotten.");
        state.peers.remove(&name);
        state.scheduler.peer_queues.remove(&name);
        state.scheduler.load.forget_peer(&name);
    }
}

/// Returns where peers hear this instance.
///
/// Seeds are told too as long as the store has named no peer: all instances use
/// the same port for datagrams.
fn addresses(gateway: &Gateway, state: &State) -> Vec<SocketAddr> {
    let own = gateway.settings.listen.peers;
    let mut all: Vec<SocketAddr> = state.members.values().copied().collect();
    all.extend(state.peers.values().map(|p| p.addr));
    if state.members.is_empty() {
        let seeds = gateway.settings.seeds.iter();
        all.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), own.port())));
    }
    all.sort_unstable();
    all.dedup();
    all.retain(|addr| *addr != own);
    all
}

fn datagrams(gateway: &Gateway, state: &mut State, whole: bool, now: Instant) -> Vec<Datagram> {
    let changed = std::mem::take(&mut state.scheduler.changed_targets);
    state.scheduler.long_changed = false;
    let waiting: Vec<datagram::WaitingPrompt> = state
        .scheduler
        .long_entries(now)
        .map(|(service, w)| wire_waiting(service, w, now))
        .collect();
    let targets: Vec<TargetId> = if whole {
        let ids = state.scheduler.load.own_targets();
        ids.chain(changed.iter()).cloned().collect::<std::collections::BTreeSet<_>>()
    } else {
        changed
    }
    .into_iter()
    .collect();
    let works = |target: &TargetId| {
        let requests = state
            .scheduler
            .load
            .own_assignments(target)
            .iter()
            .map(|(id, w)| wire(*id, w, now))
            .collect();
        TargetRequests { target: target.to_string(), requests }
    };
    let groups = split_targets(targets.iter().map(works).collect());
    let single = groups.len() == 1;
    let frame = |targets| Datagram {
        version: datagram::VERSION,
        from: gateway.name.to_string(),
        zone: gateway.settings.zone.clone(),
        boot: gateway.boot,
        seq: 0,
        config_version: gateway.plan().version,
        store_unreachable: state.store.failing.is_some(),
        leaving: gateway.stopping(),
        complete: whole && single,
        targets,
        waiting: waiting.clone(),
        revision: state.store.seen,
        watching: state.watches(&gateway.name, now),
    };
    groups.into_iter().map(frame).collect()
}

/// Returns whole milliseconds, as datagrams state them.
fn ms(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}

/// Returns the moment that was so many milliseconds ago.
fn ago(ms: u32, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(ms))).unwrap_or(now)
}

fn wire_waiting(service: &str, waiting: &QueueEntry, now: Instant) -> datagram::WaitingPrompt {
    let late = ms(now.saturating_duration_since(waiting.due)) as i32;
    datagram::WaitingPrompt {
        service: service.to_owned(),
        waited_ms: ms(now.saturating_duration_since(waiting.arrived)),
        due_in_ms: ms(waiting.due.saturating_duration_since(now)) as i32 - late,
        work_ms: ms(waiting.work),
        worth: waiting.value as f32,
        priority: u32::from(waiting.priority),
    }
}

fn read_waiting(wire: datagram::WaitingPrompt, now: Instant) -> (ServiceId, QueueEntry) {
    let promise = match u32::try_from(wire.due_in_ms) {
        Ok(left) => now + Duration::from_millis(u64::from(left)),
        Err(_) => ago(wire.due_in_ms.unsigned_abs(), now),
    };
    let waiting = QueueEntry {
        arrived: ago(wire.waited_ms, now),
        due: promise,
        expires: promise,
        value: f64::from(wire.worth),
        work: Duration::from_millis(u64::from(wire.work_ms)),
        min_work: Duration::ZERO,
        priority: wire.priority.min(u32::from(u8::MAX)) as u8,
    };
    (ServiceId::from(wire.service), waiting)
}

fn wire(id: RequestNumber, work: &Assignment, now: Instant) -> datagram::Request {
    datagram::Request {
        id,
        prompt_tokens: work.prompt,
        parts: work.parts,
        prefill_only: !work.answering,
        memory_tokens: work.memory,
        answer_tokens: work.answer,
        gap_ms: ms(work.max_gap),
        worth: work.value as f32,
        since_sent_ms: ms(now.saturating_duration_since(work.sent_at)),
        streaming_ms: work.decoding_since.map_or(0, |at| ms(now.saturating_duration_since(at)) + 1),
    }
}

fn read(wire: &datagram::Request, now: Instant) -> (RequestNumber, Assignment) {
    let work = Assignment {
        prompt: wire.prompt_tokens,
        parts: wire.parts.max(1),
        answering: !wire.prefill_only,
        memory: wire.memory_tokens,
        answer: wire.answer_tokens,
        max_gap: Duration::from_millis(u64::from(wire.gap_ms)),
        value: f64::from(wire.worth),
        sent_at: ago(wire.since_sent_ms, now),
        decoding_since: wire.streaming_ms.checked_sub(1).map(|ms| ago(ms, now)),
    };
    (wire.id, work)
}

/// Hears peers for as long as the process runs.
pub fn hear(gateway: &Arc<Gateway>, socket: &DatagramSocket) {
    loop {
        match socket.receive() {
            Ok(Some((datagram, from))) => heard(gateway, datagram, from),
            Ok(None) => {}
            Err(e) => {
                log::warn!("datagram: the socket fails: {e}.");
                std::thread::sleep(SILENT);
            }
        }
    }
}

fn heard(gateway: &Gateway, datagram: Datagram, addr: SocketAddr) {
    if datagram.from == *gateway.name {
        return;
    }
    let now = Instant::now();
    let name = InstanceId::from(datagram.from.as_str());
    let plan = gateway.plan();
    let mut state = gateway.state();
    let known = state.peers.get(&name).map(|p| (p.boot, p.number));
    let cut_at = state.peers.get(&name).and_then(|p| p.cut_at);
    if known.is_some_and(|known| (datagram.boot, datagram.seq) <= known) {
        return;
    }
    let restarted = known.is_some_and(|(boot, _)| boot < datagram.boot);
    if known.is_none() {
        log::info!(peer = &*name, addr:% = addr; "peer: heard.");
    }
    if datagram.complete {
        let named: Vec<&str> = datagram.targets.iter().map(|t| t.target.as_str()).collect();
        state.scheduler.load.retain_peer_targets(&name, &named);
    }
    if restarted || datagram.leaving && datagram.targets.is_empty() {
        state.scheduler.load.forget_peer(&name);
    }
    let peer = Peer {
        addr,
        boot: datagram.boot,
        number: datagram.seq,
        heard: now,
        config: datagram.config_version,
        cut: datagram.store_unreachable,
        cut_at: if datagram.store_unreachable { Some(now) } else { cut_at },
        seen: datagram.revision,
        watching: datagram.watching,
        zone: ZoneId::from(datagram.zone),
    };
    let waiting = datagram.waiting.into_iter().map(|w| read_waiting(w, now)).collect();
    state.scheduler.peer_queues.insert(InstanceId::clone(&name), waiting);
    state.scheduler.reachability.peer_heard(&peer.zone, now);
    state.peers.insert(InstanceId::clone(&name), peer);
    for TargetRequests { target, requests } in datagram.targets {
        let works = requests.iter().map(|w| read(w, now)).collect();
        let engine = state.engine_at(&plan, &target);
        state.scheduler.load.replace(&name, &TargetId::from(target), works, engine.as_ref());
    }
    state.dispatch(gateway, now);
}
