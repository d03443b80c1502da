//! Exchanges requests in flight with peers by datagram.
//!
//! Changes are sent within milliseconds, so that schedulers do not choose the same
//! target at the same time. The full state is sent at a regular interval, which
//! corrects for lost datagrams and serves as a heartbeat. Instances that delegate their
//! placements are not told of requests in flight; see `peers`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::edge::audience::Recipients;
use mimosapass_core::edge::load::{Assignment, RequestNumber};
use mimosapass_core::edge::outage::Outage;
use mimosapass_core::edge::position::Position;
use mimosapass_core::edge::route_table::ServiceId;
use mimosapass_core::edge::wait::QueueEntry;
use mimosapass_core::ids::{InstanceId, TargetId, ZoneId};
use mimosapass_instance::datagram::{
    self, Datagram, DatagramSocket, LimitedQueue, ServiceDemand, TargetRequests, split_targets,
};

use super::peers::Peer;
use super::state::{Gateway, State};

/// Time for which changes are collected into one datagram. It is short against a pass
/// of an engine, which takes about 45 ms, so the delay does not affect decisions.
const BATCH_DELAY: Duration = Duration::from_millis(1);
/// Interval between full states, and between heartbeats of schedulers. Three missed ones
/// show within about a second that a zone is unreachable.
const FULL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between heartbeats of other instances to their zone, per receiver. It keeps
/// the datagrams that an instance receives from growing with the number of instances.
const HEARTBEAT_PER_PEER: Duration = Duration::from_millis(30);
/// Longest interval between heartbeats, so that two may be lost before a peer counts as
/// failed.
const MAX_HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval between looks at the waiting requests of clients.
const CLIENTS_INTERVAL: Duration = Duration::from_millis(100);
/// Silence after which a peer and its requests are removed.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// When the next datagrams are due that do not follow a change.
#[derive(Clone, Debug)]
struct Schedule {
    full: Instant,
    heartbeat: Instant,
    clients: Instant,
    /// Receivers as of the last full state.
    recipients: Recipients,
}

/// Sends changes and full states to peers until the process ends.
pub fn send_updates(gateway: &Arc<Gateway>, socket: &DatagramSocket) {
    let now = Instant::now();
    let recipients = Recipients::default();
    let mut schedule = Schedule { full: now, heartbeat: now, clients: now, recipients };
    let mut seq = 0;
    loop {
        wait_for_updates(gateway, &schedule);
        std::thread::sleep(BATCH_DELAY);
        let now = Instant::now();
        let mut state = gateway.state();
        let outgoing = build_updates(gateway, &mut state, &mut schedule, now);
        let (metrics, scheduler) = (&gateway.metrics, &state.scheduler);
        metrics.peers.set(state.peers.len() as i64);
        metrics.paused_targets.set(scheduler.pauses.closed(now).count() as i64);
        metrics.limited_targets.set(scheduler.limits.count() as i64);
        metrics.leaving_targets.set(scheduler.fleet.told_leaving().count() as i64);
        metrics.engine_price.set((scheduler.highest_price() * 1000.0) as i64);
        let kinds = scheduler.learning.as_ref().map_or(0, |learning| learning.history.count());
        metrics.learned_kinds.set(kinds as i64);
        metrics.quarantined_parts.set(state.quarantine.count(now) as i64);
        drop(state);
        for (mut datagram, addrs) in outgoing {
            seq += 1;
            datagram.seq = seq;
            socket.send(&datagram, &addrs);
        }
    }
}

/// Blocks until something has to be sent.
fn wait_for_updates(gateway: &Gateway, schedule: &Schedule) {
    let mut state = gateway.state();
    loop {
        let now = Instant::now();
        let changed = !state.scheduler.changed_targets.is_empty()
            || state.scheduler.long_changed
            || state.announce
            || state.evidence_changed
            || state.clients.has_replies();
        let mut due = schedule.full;
        due = state.remote.next_due(now).map_or(due, |at| at.min(due));
        if state.clients.any_waiting() {
            due = due.min(schedule.clients);
        }
        if changed || now >= due {
            return;
        }
        let waited = gateway.load_changed.wait_timeout(state, due - now);
        state = waited.map_or_else(|e| e.into_inner().0, |(state, _)| state);
    }
}

/// Builds the datagrams that are due, each with the addresses of its receivers.
fn build_updates(
    gateway: &Gateway,
    state: &mut State,
    schedule: &mut Schedule,
    now: Instant,
) -> Vec<(Datagram, Vec<SocketAddr>)> {
    if now >= schedule.clients {
        schedule.clients = now + CLIENTS_INTERVAL;
        state.clients.refuse(&mut state.scheduler, now);
        state.dispatch(gateway, now);
    }
    let accused = std::mem::take(&mut state.evidence_changed);
    let full = now >= schedule.full || std::mem::take(&mut state.announce) || accused;
    if full {
        schedule.full = now + FULL_INTERVAL;
        remove_silent(state, now);
        state.observe_fleet(now);
        state.scheduler.turn = state.turn(gateway, now);
        let senders = state.senders(gateway, now);
        state.scheduler.limits.set_senders(senders, now);
    }
    state.reassign(gateway, now);
    let places = state.places_own(gateway, now);
    if full {
        schedule.recipients = state.recipients(gateway, now);
    }
    let Recipients { exchange, heartbeat } = &schedule.recipients;
    let mut base = base_datagram(gateway, state, places, now);
    if full || now >= schedule.heartbeat {
        base.parts = state.part_reports(now);
        base.limits = state.limit_reports(now);
    }
    if full && places {
        let addrs = state.scheduler_addrs(gateway, now);
        base.schedulers = addrs.iter().map(ToString::to_string).collect();
    }
    let mut outgoing = Vec::new();
    let own_requests = state.scheduler.load.own_targets().next().is_some();
    for datagram in exchange_datagrams(state, &base, full && (places || own_requests), now) {
        outgoing.push((datagram, exchange.clone()));
    }
    if full && places {
        outgoing.push((base.clone(), heartbeat.clone()));
    } else if accused || now >= schedule.heartbeat {
        let receivers = [exchange.as_slice(), heartbeat].concat();
        let interval = HEARTBEAT_PER_PEER * receivers.len() as u32;
        schedule.heartbeat = now + interval.clamp(FULL_INTERVAL, MAX_HEARTBEAT);
        outgoing.push((base.clone(), receivers));
    }
    let mut direct = state.reply_datagrams(&base);
    direct.extend(state.request_datagrams(gateway, &base, full, now));
    for (name, datagram) in direct {
        if let Some(peer) = state.peers.get(&name) {
            outgoing.push((datagram, vec![peer.addr]));
        }
    }
    outgoing
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
        state.forget_peer(&name);
    }
}

/// Returns a datagram with what every receiver is told.
fn base_datagram(gateway: &Gateway, state: &State, places: bool, now: Instant) -> Datagram {
    let evacuations = state.scheduler.fleet.evacuations.latest();
    Datagram {
        version: datagram::VERSION,
        from: gateway.name.to_string(),
        zone: gateway.settings.zone.clone(),
        boot: gateway.boot,
        config_version: gateway.route_table().version,
        store_unreachable: state.store.failing_since.is_some(),
        leaving: gateway.is_stopping(),
        revision: state.store.progress.targets.revision,
        era: state.store.progress.targets.era,
        order_revision: evacuations.revision,
        order_era: evacuations.era,
        watching: state.watches_store(gateway, now),
        delegating: !places,
        capacity: state.capacity(gateway),
        instances: state.known_instances,
        leaving_targets: state.leaving_targets(),
        refusing_helpers: state.refusing_helpers(now),
        cut_off: state.cut_off.iter().map(ToString::to_string).collect(),
        takes_detours: !gateway.is_stopping(),
        ..Datagram::default()
    }
}

/// Returns the datagrams with requests in flight: the changes, or all if `full`.
fn exchange_datagrams(
    state: &mut State,
    base: &Datagram,
    full: bool,
    now: Instant,
) -> Vec<Datagram> {
    let changed = std::mem::take(&mut state.scheduler.changed_targets);
    let long_changed = std::mem::take(&mut state.scheduler.long_changed);
    if !full && !long_changed && changed.is_empty() {
        return Vec::new();
    }
    let waiting: Vec<datagram::WaitingPrompt> = state
        .scheduler
        .long_entries(now)
        .map(|(service, w)| encode_waiting(service, w, now))
        .collect();
    let mut targets = changed;
    if full {
        targets.extend(state.scheduler.load.own_targets().cloned());
        targets.extend(state.scheduler.limits.used_targets(now).cloned());
    }
    let target_requests = |target: &TargetId| {
        let requests = state
            .scheduler
            .load
            .own_assignments(target)
            .iter()
            .map(|(id, assignment)| encode_request(*id, assignment, now))
            .collect();
        let sends = state.scheduler.limits.own_sends(target, now);
        let sent_ms = sends.iter().map(|at| ms(now.saturating_duration_since(*at))).collect();
        TargetRequests { target: target.to_string(), requests, sent_ms }
    };
    let queues = state.scheduler.limited_queues().into_iter();
    let limited_queues: Vec<LimitedQueue> = queues
        .map(|(service, n)| LimitedQueue { service: service.to_string(), waiting: n as u32 })
        .collect();
    let demands: Vec<ServiceDemand> = state.scheduler.demand().map(encode_demand).collect();
    let groups = split_targets(targets.iter().map(target_requests).collect());
    let single = groups.len() == 1;
    let datagram = |targets| Datagram {
        exchange: true,
        complete: full && single,
        targets,
        waiting: waiting.clone(),
        limited_queues: limited_queues.clone(),
        demands: demands.clone(),
        ..base.clone()
    };
    groups.into_iter().map(datagram).collect()
}

/// Returns a duration in whole milliseconds, the unit of datagrams.
pub fn ms(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}

/// Returns the instant `ms` milliseconds before `now`.
pub fn ago(ms: u32, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(ms))).unwrap_or(now)
}

/// Returns the milliseconds from `now` until `due`, negative when overdue.
pub fn to_due_ms(due: Instant, now: Instant) -> i32 {
    let overdue_ms = ms(now.saturating_duration_since(due)) as i32;
    ms(due.saturating_duration_since(now)) as i32 - overdue_ms
}

/// Reverses [`to_due_ms`].
pub fn from_due_ms(due_in_ms: i32, now: Instant) -> Instant {
    match u32::try_from(due_in_ms) {
        Ok(left) => now + Duration::from_millis(u64::from(left)),
        Err(_) => ago(due_in_ms.unsigned_abs(), now),
    }
}

fn encode_waiting(service: &str, waiting: &QueueEntry, now: Instant) -> datagram::WaitingPrompt {
    datagram::WaitingPrompt {
        service: service.to_owned(),
        waited_ms: ms(now.saturating_duration_since(waiting.arrived)),
        due_in_ms: to_due_ms(waiting.due, now),
        work_ms: ms(waiting.work),
        worth: waiting.value as f32,
        priority: u32::from(waiting.priority),
    }
}

fn decode_waiting(wire: datagram::WaitingPrompt, now: Instant) -> (ServiceId, QueueEntry) {
    let due = from_due_ms(wire.due_in_ms, now);
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

fn encode_demand((service, seconds): (&ServiceId, f64)) -> ServiceDemand {
    ServiceDemand { service: service.to_string(), ms_per_s: (seconds * 1000.0) as u32 }
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
        work_ms: ms(assignment.work),
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
        work: Duration::from_millis(u64::from(wire.work_ms)),
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

fn apply(gateway: &Gateway, mut datagram: Datagram, addr: SocketAddr) {
    if datagram.from == *gateway.name {
        return;
    }
    let now = Instant::now();
    let name = InstanceId::from(datagram.from.as_str());
    let mut state = gateway.state();
    let known = state.peers.get(&name).map(|p| (p.boot, p.seq));
    if known.is_some_and(|known| (datagram.boot, datagram.seq) <= known) {
        return;
    }
    if known.is_none() {
        log::info!(peer = &*name, addr:% = addr; "peer: first datagram received.");
    }
    if known.is_some_and(|(boot, _)| boot < datagram.boot) {
        state.forget_peer(&name);
    }
    let peer = decode_peer(&state, &datagram, addr, now);
    state.scheduler.reachability.record_peer_datagram(&peer.zone, now);
    state.peers.insert(InstanceId::clone(&name), peer);
    if datagram.has_requests() {
        apply_load(gateway, &mut state, &name, &mut datagram, now);
    }
    state.apply_leaving(&name, &datagram.leaving_targets);
    state.apply_refusing(gateway, &datagram.refusing_helpers, now);
    state.apply_part_reports(gateway, &name, &datagram.parts, now);
    state.apply_limits(gateway, &name, &datagram.limits, now);
    state.apply_client(gateway, &mut datagram, now);
    for reply in &datagram.replies {
        state.apply_reply(&name, reply, now);
    }
    state.dispatch(gateway, now);
    if state.clients.has_replies() || state.remote.next_due(now).is_some_and(|at| at <= now) {
        gateway.load_changed.notify_all();
    }
}

fn decode_peer(state: &State, datagram: &Datagram, addr: SocketAddr, now: Instant) -> Peer {
    let known = state.peers.get(&*datagram.from);
    let outage = known.and_then(|p| p.outage);
    let cut_off = || datagram.cut_off.iter().map(|s| ServiceId::from(s.as_str())).collect();
    let schedulers = match datagram.schedulers.as_slice() {
        [] => known.map(|p| p.schedulers.clone()).unwrap_or_default(),
        // An address that cannot be read names nobody.
        named => named.iter().filter_map(|addr| addr.parse().ok()).collect(),
    };
    Peer {
        addr,
        boot: datagram.boot,
        seq: datagram.seq,
        last_heard: now,
        config_version: datagram.config_version,
        store_unreachable: datagram.store_unreachable,
        outage: Outage::update(outage, datagram.store_unreachable, now),
        targets: Position { era: datagram.era, revision: datagram.revision },
        evacuations: Position { era: datagram.order_era, revision: datagram.order_revision },
        watching: datagram.watching,
        delegating: datagram.delegating,
        capacity: datagram.capacity,
        instances: datagram.instances,
        schedulers,
        cut_off: datagram.takes_detours.then(cut_off),
        zone: ZoneId::from(datagram.zone.as_str()),
    }
}

/// Applies the requests in flight of a peer.
fn apply_load(
    gateway: &Gateway,
    state: &mut State,
    name: &InstanceId,
    datagram: &mut Datagram,
    now: Instant,
) {
    let table = gateway.route_table();
    if datagram.complete {
        let listed: Vec<&str> = datagram.targets.iter().map(|t| t.target.as_str()).collect();
        state.scheduler.load.retain_peer_targets(name, &listed);
    }
    if datagram.leaving && datagram.targets.is_empty() {
        state.scheduler.load.forget_peer(name);
    }
    let waiting = std::mem::take(&mut datagram.waiting);
    let waiting = waiting.into_iter().map(|w| decode_waiting(w, now)).collect();
    state.scheduler.peer_queues.insert(InstanceId::clone(name), waiting);
    let queues = std::mem::take(&mut datagram.limited_queues).into_iter();
    let queues = queues.map(|q| (ServiceId::from(q.service), q.waiting as usize)).collect();
    state.scheduler.peer_waiting.insert(InstanceId::clone(name), queues);
    for ServiceDemand { service, ms_per_s } in std::mem::take(&mut datagram.demands) {
        let service = ServiceId::from(service);
        if table.engine(&service).is_some() {
            let demand = f64::from(ms_per_s) / 1000.0;
            state.scheduler.record_peer_demand(name, &service, demand, now);
        }
    }
    for TargetRequests { target, requests, sent_ms } in std::mem::take(&mut datagram.targets) {
        let sends = sent_ms.into_iter().map(|ms| ago(ms, now)).collect();
        state.scheduler.limits.replace_sends(name, &target, sends, now);
        let assignments = requests.iter().map(|r| decode_request(r, now)).collect();
        let engine = state.engine_at(&table, &target);
        state.scheduler.load.replace(name, &TargetId::from(target), assignments, engine.as_ref());
    }
}
