//! Reads the platform's lagging list of instances and targets.
//!
//! An instance that never had a list, because it was started while the
//! platform is out of reach, asks a peer of its zone for the one it has.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::config::TargetKind;
use mimosapass_core::target_table::ListedTarget;
use mimosapass_instance::message::{self, Body};
use mimosapass_keyvalue::members::{Member, MembersClient, Role};

use crate::node::Node;

/// Time between two reads of the list.
const PERIOD: Duration = Duration::from_secs(2);
/// Longest list that is taken from a peer, in bytes; a frame has room for it.
const LONGEST: u64 = 1_900_000;

/// Reads the list for as long as the process lives.
pub fn run(node: &Arc<Node>) {
    let list = MembersClient::new(&node.settings.platform.to_string());
    let ticks = node.timer.subscribe(PERIOD);
    let mut tag = None;
    loop {
        match list.read_if_changed(&mut tag) {
            Ok(None) => node.state().listed_at = Some(Instant::now()),
            // A list that names nobody, not even this instance, is no news:
            // the platform has lost it or has just begun anew.
            Ok(Some(members)) if members.is_empty() => log::warn!("listing: the list is empty."),
            Ok(Some(members)) => take(node, members, Instant::now()),
            // The last list stays in use: a zone that is cut off serves on.
            Err(e) => {
                log::warn!("listing: {e}.");
                ask(node);
            }
        }
        if ticks.recv().is_err() {
            return;
        }
    }
}

/// Puts a list in use that the platform gave at `at`.
fn take(node: &Node, members: Vec<Member>, at: Instant) {
    let mut state = node.state();
    state.members = members;
    state.listed_at = Some(at);
    state.apply_listing();
}

/// Asks a peer of the zone for its list, where this instance has none.
fn ask(node: &Node) {
    let state = node.state();
    let known = state.listed_at.is_some();
    let mut peers = state.view.alive(Instant::now()).filter(|b| b.zone == node.zone);
    let to = peers.find_map(|b| b.addr);
    drop(peers);
    drop(state);
    if let (false, Some(to)) = (known, to) {
        node.links
            .send(to, Body::MemberListRequest(message::MemberListRequest { max_bytes: LONGEST }));
    }
}

/// Sends the list to a peer that has none.
pub fn answer(node: &Node, to: Option<SocketAddr>, longest: u64) {
    let state = node.state();
    let (listed, members) = (state.listed_at, state.members.clone());
    drop(state);
    let Ok(json) = serde_json::to_vec(&members) else { return };
    if let (Some(to), Some(at)) = (to, listed)
        && json.len() as u64 <= longest
    {
        let age = at.elapsed().as_millis() as u64;
        node.links
            .send(to, Body::MemberList(message::MemberList { age_ms: age, json: json.into() }));
    }
}

/// Takes the list of a peer unless this instance has a younger one.
pub fn offered(node: &Node, list: &message::MemberList) {
    let Ok(members) = serde_json::from_slice::<Vec<Member>>(&list.json) else {
        log::warn!("listing: the list of a peer is broken.");
        return;
    };
    let at = Instant::now().checked_sub(Duration::from_millis(list.age_ms));
    let at = at.unwrap_or_else(Instant::now);
    let younger = node.state().listed_at.is_none_or(|known| known < at);
    if younger && !members.is_empty() {
        take(node, members, at);
    }
}

/// Returns the target that a member is, or `None` for an entry instance.
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
