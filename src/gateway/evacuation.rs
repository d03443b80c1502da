//! Puts the operator's evacuations of zones in force.
//!
//! `mimosapass_core::edge::evacuation` decides which order is the latest.

use std::time::Instant;

use mimosapass_core::edge::evacuation::Order;
use mimosapass_core::edge::position::Position;
use mimosapass_core::ids::ZoneId;
use mimosapass_instance::message::ZoneOrder;
use mimosapass_platform::evacuation;
use mimosapass_platform::store::Entry;

use super::state::{Gateway, State};

/// Source of an order that was read from the store, in log lines.
const STORE: &str = "store";

/// Applies an entry of the watch, changed at `at`, if it is an order.
pub fn apply_entry(gateway: &Gateway, entry: &Entry, at: Position) {
    let Some(zone) = evacuation::zone(&entry.key) else { return };
    let order = Order { evacuated: !entry.deleted, at };
    let mut state = gateway.state();
    if state.scheduler.fleet.evacuations.record(&zone, order) {
        put_in_force(gateway, &mut state, &[zone], STORE);
    }
}

/// Applies the orders among all entries of the store, listed as of `position`.
pub fn apply_listing(gateway: &Gateway, entries: &[Entry], position: Position) {
    let order = |e: &Entry| Some((evacuation::zone(&e.key)?, position.at(e.revision)));
    let listed: Vec<(ZoneId, Position)> = entries.iter().filter_map(order).collect();
    let mut state = gateway.state();
    let changed = state.scheduler.fleet.evacuations.list(&listed, position);
    put_in_force(gateway, &mut state, &changed, STORE);
}

/// Applies the orders that a peer knows.
pub fn apply_peer(gateway: &Gateway, peer: &str, orders: &[ZoneOrder]) {
    let mut state = gateway.state();
    let evacuations = &mut state.scheduler.fleet.evacuations;
    let mut changed = Vec::new();
    for ZoneOrder { zone, evacuated, revision, era } in orders {
        let at = Position { era: *era, revision: *revision };
        let zone = ZoneId::from(zone.as_str());
        if evacuations.record(&zone, Order { evacuated: *evacuated, at }) {
            changed.push(zone);
        }
    }
    put_in_force(gateway, &mut state, &changed, peer);
}

/// Returns all known orders for a peer.
pub fn encode(state: &State) -> Vec<ZoneOrder> {
    let encode = |(zone, Order { evacuated, at }): (&ZoneId, Order)| ZoneOrder {
        zone: zone.to_string(),
        evacuated,
        revision: at.revision,
        era: at.era,
    };
    state.scheduler.fleet.evacuations.orders().map(encode).collect()
}

/// Logs zones that are newly evacuated or taken back, and places what waits accordingly.
fn put_in_force(gateway: &Gateway, state: &mut State, zones: &[ZoneId], source: &str) {
    if zones.is_empty() {
        return;
    }
    let evacuations = &state.scheduler.fleet.evacuations;
    for (zone, Order { evacuated, at }) in evacuations.orders().filter(|(z, _)| zones.contains(z)) {
        let Position { era, revision } = at;
        if evacuated {
            log::info!(zone = &**zone, era, revision, source; "zone: evacuated, its targets get no new requests.");
        } else {
            log::info!(zone = &**zone, era, revision, source; "zone: taken back, its targets get requests again.");
        }
    }
    gateway.metrics.evacuated_zones.set(evacuations.count() as i64);
    state.announce = true;
    state.dispatch(gateway, Instant::now());
    gateway.load_changed.notify_all();
}
