//! Heartbeats among instances, and what peers tell each other.
//!
//! All instances of a zone tell each other each second. Between zones each
//! instance tells a few partners, with a summary of its own zone; every
//! instance is told by partners of each other zone. All heartbeats carry the
//! head of the configuration, so that a change reaches every zone while the
//! key-value service is out.

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

use crate::node::Node;
use crate::parts::{contacts, groups, listing, poll};

/// Share of [`HEARTBEAT_INTERVAL`] within which a second heartbeat is left out.
const RECENT: f64 = 0.8;
/// Time between two requests for the text of a configuration.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Sends heartbeats for as long as the process lives.
pub fn beat(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(HEARTBEAT_INTERVAL);
    let mut far = Instant::now();
    loop {
        let told = node.state().contacts.told();
        if told.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL.mul_f64(RECENT)) {
            tell_zone(node, None);
        }
        if Instant::now() >= far {
            far = Instant::now() + FAR_HEARTBEAT_INTERVAL.mul_f64(RECENT);
            tell_far(node);
        }
        housekeeping(node);
        if ticks.recv().is_err() {
            return;
        }
    }
}

fn housekeeping(node: &Node) {
    let now = Instant::now();
    let mut state = node.state();
    state.view.prune(now);
    state.contacts.prune(now);
    let alive: BTreeSet<String> = state.view.alive(now).map(|b| b.name.to_string()).collect();
    state.faults.retain(|source, _| source == crate::node::PLATFORM || alive.contains(source));
    drop(state);
    node.metrics.peers.set(alive.len() as i64);
    if let Err(wait) = node.enter() {
        log::info!("config: not ready: {wait}.");
    }
}

/// Handles what peers send for as long as the links live.
pub fn listen(node: &Arc<Node>, incoming: &Receiver<Incoming>) {
    while let Ok(message) = incoming.recv() {
        let from = poll::address(&message.addr);
        match message.body {
            Body::Heartbeat(beat) => heard(node, &message.from, from, &beat),
            Body::LoadReports(records) => poll::note(node, records),
            Body::ConfigRequest(want) => wanted(node, from, want.newer_than),
            Body::Config(config) => offered(node, &config),
            Body::GroupRequest(ask) => groups::asked(node, from, ask),
            Body::GroupResponse(answer) => groups::answered(node, answer),
            Body::Contacts(named) => contacts::note(node, &named),
            Body::ZoneSummary(summary) => summed_up(node, summary),
            Body::MemberListRequest(ask) => listing::answer(node, from, ask.max_bytes),
            Body::MemberList(list) => listing::offered(node, &list),
            Body::SnapshotRequest(_) | Body::Snapshot(_) => {
                log::warn!("peers: {} is a gateway of another fleet.", message.from.name);
            }
        }
    }
}

/// Sends a heartbeat and `more` to all instances of this zone.
pub fn tell_zone(node: &Node, more: Option<Body>) {
    let near = contacts::near(node);
    node.state().contacts.tell(Instant::now());
    node.links.broadcast(&near, std::iter::once(beat_body(node)).chain(more).collect());
}

/// Sends a heartbeat to partners in other zones, and to one in each the summary.
///
/// The partners take turns with the summary, so that a dead one does no harm.
fn tell_far(node: &Node) {
    let turn = node.state().contacts.far_turn();
    let (told, only_beat) = contacts::far(node, turn);
    if !told.is_empty() {
        let summary = summary_body(node);
        node.links.broadcast(&told, std::iter::once(beat_body(node)).chain(summary).collect());
    }
    if !only_beat.is_empty() {
        node.links.broadcast(&only_beat, vec![beat_body(node)]);
    }
}

/// Tells all that listen to this instance that it leaves.
pub fn tell_leaving(node: &Node) {
    tell_zone(node, None);
    tell_far(node);
}

fn beat_body(node: &Node) -> Body {
    let beat = node.beat();
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
    // Of other zones this instance hears only its partners; all may send here.
    let others = state.members.iter().filter(|m| m.role == Role::Entry && m.zone != *node.zone);
    let others = others.count();
    let offer = state.targets.zone_offer(&node.zone, others, now);
    drop(state);
    let pools = pools.iter().map(|p| message::Pool {
        name: p.pool.to_string(),
        accepting: p.available,
        free_tokens: p.free,
        max_free_tokens: p.max_free,
        prefill_tokens: p.prefill,
        tokens_per_s: p.speed,
    });
    let offers = offer.engines.iter().map(|r| message::EngineOffer {
        id: target_hash(&r.target),
        band: r.band as u32,
        prefill_tokens: r.prefill,
        free_tokens: r.free,
        tokens_per_s: r.speed,
    });
    Some(Body::ZoneSummary(message::ZoneSummary {
        zone: node.zone.to_string(),
        pools: pools.collect(),
        wait_ms: u64::try_from(offer.wait.as_millis()).unwrap_or(u64::MAX),
        token_allowance: offer.spare,
        offers: offers.collect(),
    }))
}

fn summed_up(node: &Node, summary: message::ZoneSummary) {
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
    let near = state.targets.all().filter(|k| k.listed.zone == zone);
    let names: BTreeMap<u64, TargetId> =
        near.map(|k| (target_hash(&k.listed.name), TargetId::clone(&k.listed.name))).collect();
    let rooms = summary.offers.into_iter().filter_map(|r| {
        Some(EngineOffer {
            target: TargetId::clone(names.get(&r.id)?),
            band: (r.band as usize).min(BAND_COUNT - 1),
            prefill: r.prefill_tokens,
            free: r.free_tokens,
            speed: r.tokens_per_s,
        })
    });
    let wait = Duration::from_millis(summary.wait_ms);
    let offer = ZoneOffer { wait, spare: summary.token_allowance, engines: rooms.collect() };
    state.targets.record_offer(&zone, &offer, now);
    state.summaries.insert(zone, pools.collect(), now);
}

fn heard(node: &Node, peer: &Identity, from: Option<SocketAddr>, beat: &message::Heartbeat) {
    let name = peer.name.as_str();
    let head = Head { version: beat.config_version, digest: beat.config_digest };
    let seen = Heartbeat {
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
    let new = state.view.record(seen, now);
    let verdict = state.gate.compare(head);
    let above = state.gate.head().version;
    let asks =
        verdict == HeadComparison::Newer && state.asked.is_none_or(|at| now >= at + ASK_AGAIN);
    if asks {
        state.asked = Some(now);
    }
    state.contacts.welcome(new);
    drop(state);
    if let Some(to) = from {
        if asks {
            node.links.send(to, Body::ConfigRequest(message::ConfigRequest { newer_than: above }));
        }
        if new {
            contacts::introduce(node, to, &peer.zone);
        }
    }
    let fault = (verdict == HeadComparison::Conflict && above > 0)
        .then(|| format!("{name} has another text for version {above}"));
    node.tell_fault(name, fault);
}

fn wanted(node: &Node, from: Option<SocketAddr>, above: u64) {
    let state = node.state();
    let head = state.gate.head();
    let document = state.document.clone();
    drop(state);
    if let (Some(document), Some(to)) = (document, from)
        && head.version > above
    {
        let Ok(compressed) = compress(&document.text) else { return };
        let config = message::Config { version: head.version, digest: head.digest, compressed };
        node.links.send(to, Body::Config(config));
    }
}

fn offered(node: &Node, config: &message::Config) {
    let text = match decompress(&config.compressed, document::MAX_BYTES) {
        Ok(text) => text,
        Err(e) => {
            log::error!("config: version {} cannot be unpacked: {e}.", config.version);
            return;
        }
    };
    match document::parse(&text) {
        Ok(document) if document.digest == config.digest => {
            node.install(config.version, document);
        }
        Ok(_) => log::error!("config: version {} came with a wrong digest.", config.version),
        Err(e) => log::error!("config: version {} has faults: {e}.", config.version),
    }
}
