//! The `/status` page of an instance, as JSON.

use std::time::Instant;

use serde::Serialize;

use crate::node::Node;

#[derive(Serialize)]
struct Status {
    instance: String,
    zone: String,
    ready: bool,
    stopping: bool,
    config: u64,
    digest: String,
    cut: bool,
    fence: Option<u64>,
    fault: String,
    waiting: String,
    peers: Vec<PeerStatus>,
    zones: Vec<ZoneStatus>,
    targets: Vec<TargetStatus>,
}

#[derive(Serialize)]
struct PeerStatus {
    name: String,
    zone: String,
    leaving: bool,
    config: u64,
}

#[derive(Serialize)]
struct ZoneStatus {
    name: String,
    open: u32,
    free: u64,
}

#[derive(Serialize)]
struct TargetStatus {
    name: String,
    zone: String,
    open: bool,
    prefill: u64,
    running: u32,
    free: u64,
}

/// Returns the state of the instance and what it knows of peers, zones and targets.
pub fn status(node: &Node) -> String {
    let now = Instant::now();
    let waiting = node.ready().err().unwrap_or_default();
    let state = node.state();
    let peers = state.view.alive(now).map(|b| PeerStatus {
        name: b.name.to_string(),
        zone: b.zone.to_string(),
        leaving: b.leaving,
        config: b.head.version,
    });
    let zones = state.summaries.fresh(now).map(|(zone, pools)| ZoneStatus {
        name: zone.to_string(),
        open: pools.iter().map(|p| p.available).sum(),
        free: pools.iter().map(|p| p.free).sum(),
    });
    let targets = state.targets.all().map(|t| TargetStatus {
        name: t.listed.name.to_string(),
        zone: t.listed.zone.to_string(),
        open: t.is_available(now),
        prefill: t.report.prefill,
        running: t.report.running,
        free: t.report.free,
    });
    let status = Status {
        instance: node.name.to_string(),
        zone: node.zone.to_string(),
        ready: waiting.is_empty(),
        stopping: node.stopping(),
        config: state.active_head.head().version,
        digest: format!("{:016x}", state.active_head.head().digest),
        fence: state.fence,
        cut: state.view.platform_unreachable(),
        fault: state.config_faults.values().cloned().collect::<Vec<_>>().join("; "),
        waiting,
        peers: peers.collect(),
        zones: zones.collect(),
        targets: targets.collect(),
    };
    serde_json::to_string(&status).unwrap_or_default()
}
