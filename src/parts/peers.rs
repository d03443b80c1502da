//! Heartbeats among instances, and what peers tell each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Instant;

use mimosapass_core::version::{Head, Heard};
use mimosapass_core::view::{BEAT, Beat};
use mimosapass_instance::link::Incoming;
use mimosapass_instance::message::{self, Body};
use mimosapass_operator::document;
use mimosapass_platform::list::Role;

use crate::node::Node;
use crate::parts::poll;

/// Sends heartbeats for as long as the process lives.
pub fn beat(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(BEAT);
    loop {
        tell(node, &peers(node, false), &beat_body(node));
        let mut state = node.state();
        state.view.prune(Instant::now());
        let alive = state.view.alive(Instant::now()).count();
        drop(state);
        node.metrics.peers.set(alive as i64);
        if ticks.recv().is_err() {
            return;
        }
    }
}

/// Handles what peers send for as long as the links live.
pub fn listen(node: &Arc<Node>, incoming: &Receiver<Incoming>) {
    while let Ok(message) = incoming.recv() {
        let from = poll::address(&message.addr);
        match message.body {
            Body::Beat(beat) => heard(node, &message.from, from, &beat),
            Body::Records(records) => poll::note(node, &records),
            Body::Want(want) => wanted(node, from, want.above),
            Body::Config(config) => offered(node, &config),
        }
    }
}

/// Tells all instances of this zone.
pub fn tell_zone(node: &Node, body: &Body) {
    tell(node, &peers(node, true), body);
}

/// Tells all instances that this one leaves.
pub fn tell_leaving(node: &Node) {
    tell(node, &peers(node, false), &beat_body(node));
}

fn tell(node: &Node, peers: &BTreeSet<SocketAddr>, body: &Body) {
    for peer in peers {
        node.links.send(*peer, body.clone());
    }
}

/// Returns the addresses of other instances, by the list and the seeds.
fn peers(node: &Node, zone_only: bool) -> BTreeSet<SocketAddr> {
    let state = node.state();
    let mut found: BTreeSet<SocketAddr> = state
        .members
        .iter()
        .filter(|m| m.role == Role::Entry && (!zone_only || m.zone == *node.zone))
        .filter_map(|m| poll::address(&m.addr))
        .collect();
    if !zone_only {
        found.extend(&node.settings.seeds);
    }
    found.remove(&node.links.addr());
    found
}

fn beat_body(node: &Node) -> Body {
    let beat = node.beat();
    Body::Beat(message::Beat {
        zone: beat.zone.to_string(),
        boot: beat.boot,
        leaving: beat.leaving,
        config: beat.head.version,
        digest: beat.head.digest,
    })
}

fn heard(node: &Node, name: &str, from: Option<SocketAddr>, beat: &message::Beat) {
    let head = Head { version: beat.config, digest: beat.digest };
    let mut state = node.state();
    let seen = Beat {
        name: name.into(),
        zone: beat.zone.as_str().into(),
        boot: beat.boot,
        leaving: beat.leaving,
        head,
    };
    state.view.hear(seen, Instant::now());
    let verdict = state.gate.hear(head);
    let above = state.gate.head().version;
    drop(state);
    match (verdict, from) {
        (Heard::Fetch, Some(to)) => node.links.send(to, Body::Want(message::Want { above })),
        (Heard::Conflict, _) if above > 0 => {
            log::error!("config: {name} has another text for version {above}.");
        }
        _ => {}
    }
}

fn wanted(node: &Node, from: Option<SocketAddr>, above: u64) {
    let state = node.state();
    let head = state.gate.head();
    let document = state.document.clone();
    drop(state);
    if let (Some(document), Some(to)) = (document, from)
        && head.version > above
    {
        let text = document.text.clone();
        let config = message::Config { version: head.version, digest: head.digest, text };
        node.links.send(to, Body::Config(config));
    }
}

fn offered(node: &Node, config: &message::Config) {
    match document::read(&config.text) {
        Ok(document) if document.digest == config.digest => {
            node.install(config.version, document);
        }
        Ok(_) => log::error!("config: version {} came with a wrong digest.", config.version),
        Err(e) => log::error!("config: version {} has faults: {e}.", config.version),
    }
}
