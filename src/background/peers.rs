//! Heartbeats among instances, and the handling of peers' messages.
//!
//! All instances of a zone send each other a heartbeat each second. Between zones
//! each instance sends them to a few partners, with a summary of its own zone;
//! every instance gets them from partners in each other zone. All heartbeats carry
//! the configuration head, so that a change reaches every zone during an outage of
//! the key-value service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use mimosapass_core::ids::{TargetId, ZoneId};
use mimosapass_core::membership::{FAR_HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL, Heartbeat};
use mimosapass_core::spillover::{EngineOffer, ZoneOffer};
use mimosapass_core::summary::{PoolState, summarize};
use mimosapass_core::tiers::BAND_COUNT;
use mimosapass_core::version::{Head, HeadComparison};
use mimosapass_instance::compact::target_hash;
use mimosapass_instance::compression::{compress, decompress};
use mimosapass_instance::link::{Identity, Incoming};
use mimosapass_instance::message::{self, Body};
use mimosapass_keyvalue::members::Role;
use mimosapass_operator::document;

use crate::background::{contacts, groups, listing, poll};
use crate::node::Node;

/// Minimum time between two heartbeats, as a fraction of the interval.
///
/// A broadcast of load reports includes a heartbeat, so that the next is omitted.
const MIN_INTERVAL_RATIO: f64 = 0.8;
/// Minimum time between two requests for a configuration.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Sends heartbeats as long as the process runs.
pub fn send_heartbeats(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(HEARTBEAT_INTERVAL);
    let mut next_far = Instant::now();
    loop {
        let last = node.state().contacts.last_broadcast();
        if last.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL.mul_f64(MIN_INTERVAL_RATIO)) {
            broadcast_zone(node, None);
        }
        if Instant::now() >= next_far {
            next_far = Instant::now() + FAR_HEARTBEAT_INTERVAL.mul_f64(MIN_INTERVAL_RATIO);
            send_to_other_zones(node);
        }
        maintain(node);
        if ticks.recv().is_err() {
            return;
        }
    }
}

/// Removes expired peers and updates readiness.
fn maintain(node: &Node) {
    let now = Instant::now();
    let mut state = node.state();
    state.view.prune(now);
    state.contacts.prune(now);
    let alive: BTreeSet<String> = state.view.alive(now).map(|b| b.name.to_string()).collect();
    state
        .config_faults
        .retain(|source, _| source == crate::node::PLATFORM_SOURCE || alive.contains(source));
    drop(state);
    node.metrics.live_peers.set(alive.len() as i64);
    if let Err(reason) = node.update_readiness() {
        log::info!("config: not ready: {reason}.");
    }
}

/// Handles messages of peers until the links are closed.
pub fn receive(node: &Arc<Node>, incoming: &Receiver<Incoming>) {
    while let Ok(message) = incoming.recv() {
        let from = poll::parse_addr(&message.addr);
        match message.body {
            Body::Heartbeat(beat) => record_heartbeat(node, &message.from, from, &beat),
            Body::LoadReports(reports) => poll::record_reports(node, reports),
            Body::ConfigRequest(request) => send_config(node, from, request.newer_than),
            Body::Config(config) => install_config(node, &config),
            Body::GroupRequest(request) => groups::handle_request(node, from, request),
            Body::GroupResponse(response) => groups::handle_response(node, response),
            Body::Contacts(introduced) => contacts::record_introduction(node, &introduced),
            Body::ZoneSummary(summary) => record_summary(node, summary),
            Body::MemberListRequest(request) => listing::send_list(node, from, request.max_bytes),
            Body::MemberList(list) => listing::receive_list(node, &list),
            Body::SnapshotRequest(_) | Body::Snapshot(_) => {
                log::warn!("peers: ignored a message from gateway {}.", message.from.name);
            }
        }
    }
}

/// Sends a heartbeat and `more` to all instances of this zone.
pub fn broadcast_zone(node: &Node, more: Option<Body>) {
    let addrs = contacts::zone_addrs(node);
    node.state().contacts.record_broadcast(Instant::now());
    node.links.broadcast(&addrs, std::iter::once(heartbeat_body(node)).chain(more).collect());
}

/// Sends a heartbeat to partners in other zones, and to one of each the summary.
///
/// The summary goes to the partners in rotation, so that a dead one delays it by
/// one round only.
fn send_to_other_zones(node: &Node) {
    let round = node.state().contacts.next_partner_round();
    let (with_summary, heartbeat_only) = contacts::partner_addrs(node, round);
    if !with_summary.is_empty() {
        let summary = summary_body(node);
        node.links.broadcast(
            &with_summary,
            std::iter::once(heartbeat_body(node)).chain(summary).collect(),
        );
    }
    if !heartbeat_only.is_empty() {
        node.links.broadcast(&heartbeat_only, vec![heartbeat_body(node)]);
    }
}

/// Tells peers immediately, with a heartbeat, that this instance is leaving.
pub fn announce_leaving(node: &Node) {
    broadcast_zone(node, None);
    send_to_other_zones(node);
}

fn heartbeat_body(node: &Node) -> Body {
    let beat = node.heartbeat();
    Body::Heartbeat(message::Heartbeat {
        leaving: beat.leaving,
        config_version: beat.head.version,
        config_digest: beat.head.digest,
        platform_unreachable: beat.platform_unreachable,
    })
}

fn summary_body(node: &Node) -> Option<Body> {
    let state = node.state();
    let document = state.document.clone()?;
    let now = Instant::now();
    let pools = summarize(&state.targets, &document.config, &node.zone, now);
    // The view has only the partners of other zones, but all their instances may
    // send requests here; hence the count from the list.
    let senders = state.members.iter().filter(|m| m.role == Role::Entry && m.zone != *node.zone);
    let senders = senders.count();
    let offer = state.targets.zone_offer(&node.zone, senders, now);
    drop(state);
    let pools = pools.iter().map(|p| message::Pool {
        name: p.pool.to_string(),
        accepting: p.available,
        free_tokens: p.free,
        max_free_tokens: p.max_free,
        prefill_tokens: p.prefill,
        tokens_per_s: p.speed,
    });
    let offers = offer.engines.iter().map(|e| message::EngineOffer {
        id: target_hash(&e.target),
        band: e.band as u32,
        prefill_tokens: e.prefill,
        free_tokens: e.free,
        tokens_per_s: e.speed,
    });
    Some(Body::ZoneSummary(message::ZoneSummary {
        zone: node.zone.to_string(),
        pools: pools.collect(),
        wait_ms: u64::try_from(offer.wait.as_millis()).unwrap_or(u64::MAX),
        token_allowance: offer.spare,
        offers: offers.collect(),
    }))
}

fn record_summary(node: &Node, summary: message::ZoneSummary) {
    let pools = summary.pools.into_iter().map(|p| PoolState {
        pool: p.name.into(),
        available: p.accepting,
        free: p.free_tokens,
        max_free: p.max_free_tokens,
        prefill: p.prefill_tokens,
        speed: p.tokens_per_s,
    });
    let (zone, now) = (ZoneId::from(summary.zone), Instant::now());
    let mut state = node.state();
    let targets = state.targets.all().filter(|t| t.listed.zone == zone);
    let names: BTreeMap<u64, TargetId> =
        targets.map(|t| (target_hash(&t.listed.name), TargetId::clone(&t.listed.name))).collect();
    let engines = summary.offers.into_iter().filter_map(|e| {
        Some(EngineOffer {
            target: TargetId::clone(names.get(&e.id)?),
            band: (e.band as usize).min(BAND_COUNT - 1),
            prefill: e.prefill_tokens,
            free: e.free_tokens,
            speed: e.tokens_per_s,
        })
    });
    let wait = Duration::from_millis(summary.wait_ms);
    let offer = ZoneOffer { wait, spare: summary.token_allowance, engines: engines.collect() };
    state.targets.record_offer(&zone, &offer, now);
    state.summaries.insert(zone, pools.collect(), now);
}

fn record_heartbeat(
    node: &Node,
    peer: &Identity,
    from: Option<SocketAddr>,
    beat: &message::Heartbeat,
) {
    let name = peer.name.as_str();
    let head = Head { version: beat.config_version, digest: beat.config_digest };
    let heartbeat = Heartbeat {
        name: name.into(),
        zone: peer.zone.as_str().into(),
        boot: peer.boot,
        leaving: beat.leaving,
        platform_unreachable: beat.platform_unreachable,
        addr: from,
        head,
    };
    let now = Instant::now();
    let mut state = node.state();
    let new = state.view.record(heartbeat, now);
    let comparison = state.active_head.compare(head);
    let active = state.active_head.head().version;
    let request = comparison == HeadComparison::Newer
        && state.config_requested.is_none_or(|at| now >= at + REQUEST_INTERVAL);
    if request {
        state.config_requested = Some(now);
    }
    state.contacts.record_new_peer(new);
    drop(state);
    if let Some(to) = from {
        if request {
            node.links.send(to, Body::ConfigRequest(message::ConfigRequest { newer_than: active }));
        }
        if new {
            contacts::introduce(node, to, &peer.zone);
        }
    }
    let fault = (comparison == HeadComparison::Conflict && active > 0)
        .then(|| format!("{name} has a different text for version {active}"));
    node.set_config_fault(name, fault);
}

fn send_config(node: &Node, to: Option<SocketAddr>, newer_than: u64) {
    let state = node.state();
    let head = state.active_head.head();
    let document = state.document.clone();
    drop(state);
    if let (Some(document), Some(to)) = (document, to)
        && head.version > newer_than
    {
        let Ok(compressed) = compress(&document.text) else { return };
        let config = message::Config { version: head.version, digest: head.digest, compressed };
        node.links.send(to, Body::Config(config));
    }
}

fn install_config(node: &Node, config: &message::Config) {
    let text = match decompress(&config.compressed, document::MAX_BYTES) {
        Ok(text) => text,
        Err(e) => {
            log::error!("config: cannot decompress version {} from a peer: {e}.", config.version);
            return;
        }
    };
    match document::parse(&text) {
        Ok(document) if document.digest == config.digest => {
            node.install(config.version, document);
        }
        Ok(_) => log::error!("config: version {} from a peer has a wrong digest.", config.version),
        Err(e) => log::error!("config: version {} from a peer is invalid: {e}.", config.version),
    }
}
