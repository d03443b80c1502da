//! Reads the platform's list of instances and targets, which may be outdated.
//!
//! An instance without a list, because it was started while the platform was
//! unreachable, requests the list of a peer in its zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::config::TargetKind;
use mimosapass_core::target_table::ListedTarget;
use mimosapass_instance::message::{self, Body};
use mimosapass_keyvalue::members::{self, Member, MembersClient, Role};

use crate::node::Node;

/// Interval between reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum size of a list from a peer, in bytes; it has to fit into one frame.
const MAX_LIST_BYTES: u64 = 1_900_000;

/// Reads the list as long as the process runs.
pub fn run(node: &Arc<Node>) {
    let client = MembersClient::new(&node.settings.platform.to_string());
    let ticks = node.timer.subscribe(READ_INTERVAL);
    let mut tag = None;
    loop {
        match client.read_if_changed(&mut tag) {
            Ok(None) => node.state().listed_at = Some(Instant::now()),
            // An empty list lacks even this instance: the platform has lost it or
            // has just restarted.
            Ok(Some(list)) if list.is_empty() => {
                log::warn!("listing: ignored an empty member list of the platform.");
            }
            Ok(Some(list)) => install(node, list, Instant::now()),
            // The last list stays in use, so that a zone that is cut off still serves.
            Err(e) => {
                log::warn!("listing: cannot read the member list: {e}.");
                request_list(node);
            }
        }
        if ticks.recv().is_err() {
            return;
        }
    }
}

/// Installs a list that the platform returned at `at`.
fn install(node: &Node, members: Vec<Member>, at: Instant) {
    let mut state = node.state();
    state.members = members;
    state.listed_at = Some(at);
    state.apply_listing();
}

/// Requests the list of a peer in the zone if this instance has none.
fn request_list(node: &Node) {
    let state = node.state();
    let known = state.listed_at.is_some();
    let mut peers = state.view.alive(Instant::now()).filter(|b| b.zone == node.zone);
    let to = peers.find_map(|b| b.addr);
    drop(peers);
    drop(state);
    if let (false, Some(to)) = (known, to) {
        node.links.send(
            to,
            Body::MemberListRequest(message::MemberListRequest { max_bytes: MAX_LIST_BYTES }),
        );
    }
}

/// Sends the list to a peer that has none.
pub fn send_list(node: &Node, to: Option<SocketAddr>, max_bytes: u64) {
    let state = node.state();
    let (listed_at, members) = (state.listed_at, state.members.clone());
    drop(state);
    let Ok(json) = serde_json::to_vec(&members) else { return };
    if let (Some(to), Some(at)) = (to, listed_at)
        && json.len() as u64 <= max_bytes
    {
        let age = at.elapsed().as_millis() as u64;
        node.links
            .send(to, Body::MemberList(message::MemberList { age_ms: age, json: json.into() }));
    }
}

/// Installs the list of a peer unless this instance has a newer one.
pub fn receive_list(node: &Node, list: &message::MemberList) {
    let Ok(members) = members::decode(&list.json) else {
        log::warn!("listing: cannot parse the member list of a peer.");
        return;
    };
    let at = Instant::now().checked_sub(Duration::from_millis(list.age_ms));
    let at = at.unwrap_or_else(Instant::now);
    let newer = node.state().listed_at.is_none_or(|known| known < at);
    if newer && !members.is_empty() {
        install(node, members, at);
    }
}

/// Returns a member as a target; `None` for an instance.
pub fn listed_target(member: &Member) -> Option<ListedTarget> {
    let kind = match member.role {
        Role::Entry => return None,
        Role::Engine => TargetKind::Engine,
        Role::Service => TargetKind::Service,
    };
    Some(ListedTarget {
        name: member.name.as_str().into(),
        kind,
        zone: member.zone.as_str().into(),
        addr: member.addr.clone(),
        labels: member.labels.clone(),
        leaving: member.leaving,
    })
}
