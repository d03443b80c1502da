//! Renews this instance's claims on engine memory and frees abandoned memory.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::config::TargetKind;
use mimosapass_core::memory::{reclaimable, reclaimer};
use mimosapass_target::memory::{self, Allocation, Cancel, Renew};

use crate::background::for_each_parallel;
use crate::node::Node;

/// Name and start time of an instance, which identify a holder at engines.
pub type HolderId = String;

/// A claim that is renewed until this value is dropped.
#[derive(Debug)]
pub struct ClaimGuard {
    node: Arc<Node>,
    addr: String,
    id: String,
}

impl ClaimGuard {
    /// Claims the memory that the engine at `addr` holds under `id`.
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

/// Returns the holder identifier of the instance `name` started at `boot`.
pub fn holder_id(name: &str, boot: u64) -> HolderId {
    format!("{name}/{boot:x}")
}

/// Renews claims as long as the process runs, with one call per engine.
pub fn renew(node: &Arc<Node>) {
    let period = node.settings.claims.period;
    let ticks = node.timer.subscribe(period);
    while ticks.recv().is_ok() {
        let state = node.state();
        let due = state.claims.due(Instant::now(), period);
        node.metrics.claims.set(state.claims.count() as i64);
        drop(state);
        for_each_parallel(&due, |(addr, ids)| renew_at(node, addr, ids));
        node.stream_agents.close_idle();
    }
}

fn renew_at(node: &Node, addr: &str, ids: &[String]) {
    let request = Renew {
        holder: holder_id(&node.name, node.boot),
        expiry_ms: node.settings.claims.expiry.as_millis() as u64,
        ids: ids.to_vec(),
    };
    match memory::renew(&node.pooled_agent, addr, &request) {
        Ok(renewed) if renewed.unknown.is_empty() => {}
        // The request learns of it from its own stream or call.
        Ok(renewed) => log::info!("memory: {addr} has no allocation for {:?}.", renewed.unknown),
        Err(e) => log::warn!("memory: cannot renew {} claims at {addr}: {e}.", ids.len()),
    }
}

/// Frees abandoned memory as long as the process runs.
pub fn sweep(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(node.settings.claims.period / 2);
    while ticks.recv().is_ok() {
        for_each_parallel(&assigned_engines(node), |addr| sweep_at(node, addr));
    }
}

/// Returns the addresses of the engines whose reclaimer is this instance.
fn assigned_engines(node: &Node) -> Vec<String> {
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
        .filter(|t| t.listed.kind == TargetKind::Engine)
        .filter(|t| reclaimer(&t.listed.name, &t.listed.zone, &members) == Some(&*node.name))
        .map(|t| t.listed.addr.clone())
        .collect()
}

fn sweep_at(node: &Node, addr: &str) {
    let expired = match memory::allocations(&node.pooled_agent, addr, true) {
        Ok(allocations) => allocations.held,
        Err(e) => {
            log::debug!("memory: cannot list the expired allocations of {addr}: {e}.");
            return;
        }
    };
    let ids: Vec<String> =
        expired.into_iter().filter(|a| is_abandoned(node, a)).map(|a| a.id).collect();
    if ids.is_empty() {
        return;
    }
    let cancel = Cancel { ids, expired: true };
    match memory::cancel(&node.pooled_agent, addr, &cancel) {
        Ok(()) => {
            node.metrics.reclaimed.inc_by(cancel.ids.len() as u64);
            log::info!("memory: freed {} abandoned allocations at {addr}.", cancel.ids.len());
        }
        Err(e) => log::warn!(
            "memory: {addr} did not confirm that it freed {} abandoned allocations: {e}.",
            cancel.ids.len()
        ),
    }
}

fn is_abandoned(node: &Node, allocation: &Allocation) -> bool {
    let own = allocation.holder == holder_id(&node.name, node.boot);
    let holder_alive = own
        || node
            .state()
            .view
            .alive(Instant::now())
            .any(|b| holder_id(&b.name, b.boot) == allocation.holder);
    reclaimable(Duration::from_millis(allocation.expired_ms), holder_alive)
}
