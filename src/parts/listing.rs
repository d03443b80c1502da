//! Reads the platform's lagging list of instances and targets.

use std::sync::Arc;
use std::time::Duration;

use mimosapass_core::board::Listed;
use mimosapass_core::config::TargetKind;
use mimosapass_platform::list::{List, Member, Role};

use crate::node::Node;

/// Time between two reads of the list.
const PERIOD: Duration = Duration::from_secs(2);

/// Reads the list for as long as the process lives.
pub fn run(node: &Arc<Node>) {
    let list = List::new(&node.settings.platform.to_string());
    let ticks = node.timer.subscribe(PERIOD);
    let mut tag = None;
    loop {
        match list.changed(&mut tag) {
            Ok(None) => {}
            // A list that names nobody, not even this instance, is no news:
            // the platform has lost it or has just begun anew.
            Ok(Some(members)) if members.is_empty() => log::warn!("listing: the list is empty."),
            Ok(Some(members)) => {
                let mut state = node.state();
                state.members = members;
                state.relist();
            }
            // The last list stays in use: a zone that is cut off serves on.
            Err(e) => log::warn!("listing: {e}."),
        }
        if ticks.recv().is_err() {
            return;
        }
    }
}

/// Returns the target that a member is, or `None` for an entry instance.
pub fn listed(member: &Member) -> Option<Listed> {
    let kind = match member.role {
        Role::Entry => return None,
        Role::Engine => TargetKind::Engine,
        Role::Service => TargetKind::Service,
    };
    Some(Listed {
        name: member.name.as_str().into(),
        kind,
        zone: member.zone.as_str().into(),
        addr: member.addr.clone(),
        labels: member.labels.clone(),
        leaving: member.leaving,
    })
}
