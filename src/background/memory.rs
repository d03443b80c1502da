//! Renews this instance's claims on engines and frees what others lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::config::TargetKind;
use mimosapass_core::memory::{reclaimable, reclaimer};
use mimosapass_target::memory::{self, Allocation, Cancel, Renew};

use crate::background::each;
use crate::node::Node;

/// Name and start number of an instance, as engines know their holders.
pub type HolderId = String;

/// A claim that is renewed for as long as this value lives.
#[derive(Debug)]
pub struct ClaimGuard {
    node: Arc<Node>,
    addr: String,
    id: String,
}

impl ClaimGuard {
    /// Claims what the engine at `addr` holds under `id` from now on.
    pub fn new(node: &Arc<Node>, addr: &str, id: &str) -> Self {
        node.state().claims.add(addr, id, Instant::now());
        Self { node: Arc::clone(node), addr: addr.to_owned(), id: id.to_owned() }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.node.state().claims.remove(&self.addr, &self.id);
    }
}

/// Returns how engines know the instance `name` of start number `boot`.
pub fn holder_id(name: &str, boot: u64) -> HolderId {
    format!("{name}/{boot:x}")
}

/// Renews claims for as long as the process lives, one call for each engine.
pub fn renew(node: &Arc<Node>) {
    let period = node.settings.claims.period;
    let ticks = node.timer.subscribe(period);
    while ticks.recv().is_ok() {
        let state = node.state();
        let due = state.claims.due(Instant::now(), period);
        node.metrics.claims.set(state.claims.count() as i64);
        drop(state);
        each(&due, |(addr, ids)| renew_at(node, addr, ids));
        node.stream_agents.close_idle();
    }
}

fn renew_at(node: &Node, addr: &str, ids: &[String]) {
    let asked = Renew {
        holder: holder_id(&node.name, node.boot),
        expiry_ms: node.settings.claims.expiry.as_millis() as u64,
        ids: ids.to_vec(),
    };
    match memory::renew(&node.pooled_agent, addr, &asked) {
        Ok(renewed) if renewed.unknown.is_empty() => {}
        // The stream or the call itself tells the request what became of it.
        Ok(renewed) => log::info!("memory: {addr} does not hold {:?}.", renewed.unknown),
        Err(e) => log::warn!("memory: {} claims at {addr} are not renewed: {e}.", ids.len()),
    }
}

/// Frees lost memory of the engines that this instance keeps.
pub fn sweep(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(node.settings.claims.period / 2);
    while ticks.recv().is_ok() {
        each(&kept(node), |addr| sweep_at(node, addr));
    }
}

/// Returns the addresses of the engines that this instance keeps.
fn kept(node: &Node) -> Vec<String> {
    let state = node.state();
    let mut members: Vec<(&str, &str)> = state
        .view
        .alive(Instant::now())
        .filter(|b| !b.leaving)
        .map(|b| (b.name.as_ref(), b.zone.as_ref()))
        .collect();
    if !node.stopping() {
        members.push((&node.name, &node.zone));
    }
    state
        .targets
        .all()
        .filter(|k| k.listed.kind == TargetKind::Engine)
        .filter(|k| reclaimer(&k.listed.name, &k.listed.zone, &members) == Some(&*node.name))
        .map(|k| k.listed.addr.clone())
        .collect()
}

fn sweep_at(node: &Node, addr: &str) {
    let held = match memory::allocations(&node.pooled_agent, addr, true) {
        Ok(holdings) => holdings.held,
        Err(e) => {
            log::debug!("memory: {addr} does not list what it holds: {e}.");
            return;
        }
    };
    let ids: Vec<String> = held.into_iter().filter(|h| is_lost(node, h)).map(|h| h.id).collect();
    if ids.is_empty() {
        return;
    }
    let cancel = Cancel { ids, expired: true };
    match memory::cancel(&node.pooled_agent, addr, &cancel) {
        Ok(()) => {
            node.metrics.reclaimed.inc_by(cancel.ids.len() as u64);
            log::info!("memory: freed {} lost pieces at {addr}.", cancel.ids.len());
        }
        Err(e) => log::warn!("memory: {addr} did not confirm: {e}."),
    }
}

fn is_lost(node: &Node, held: &Allocation) -> bool {
    let mine = held.holder == holder_id(&node.name, node.boot);
    let alive = mine
        || node
            .state()
            .view
            .alive(Instant::now())
            .any(|b| holder_id(&b.name, b.boot) == held.holder);
    reclaimable(Duration::from_millis(held.expired_ms), alive)
}
