//! Holders of roles and heartbeat partners, computed equally on every instance.

use crate::ids::InstanceId;
use crate::rendezvous::{ranked, weight};

/// Instances of a zone that watch the head of the configuration.
pub const WATCHERS: usize = 2;
/// Minimum number of instances in each other zone to send heartbeats to.
pub const MIN_PARTNERS: usize = 2;

/// Returns the zone's watchers; instances that reach the platform come first.
///
/// `candidates` are pairs of a name and whether it cannot reach the platform.
pub fn watchers<'a>(candidates: &[(&'a str, bool)]) -> Vec<&'a str> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_key(|(name, unreachable)| {
        (*unreachable, std::cmp::Reverse((weight("watcher", name), *name)))
    });
    ranked.into_iter().take(WATCHERS).map(|(name, _)| name).collect()
}

/// Returns the zone's leader, which grants groups and sends orders.
pub fn leader<'a>(candidates: &[&'a str]) -> Option<&'a str> {
    ranked("leader", candidates).first().copied()
}

/// Returns the instances of another zone that `me` sends heartbeats to.
///
/// `mine` and `theirs` are the names of all members of the two zones. Each
/// member of `theirs` hears from at least [`MIN_PARTNERS`] members of `mine`,
/// or from all if there are fewer, and the load is spread evenly over `mine`.
pub fn partners<'a>(me: &str, mine: &[&str], theirs: &'a [InstanceId]) -> Vec<&'a InstanceId> {
    let mut own = mine.to_vec();
    own.sort_unstable();
    own.dedup();
    let Some(rank) = own.iter().position(|n| *n == me) else { return Vec::new() };
    let mut other: Vec<&InstanceId> = theirs.iter().collect();
    other.sort_unstable();
    other.dedup();
    let (own_count, other_count) = (own.len(), other.len());
    // Each member of the larger zone is assigned to members of the smaller one.
    let is_partner = |at: usize| {
        (0..MIN_PARTNERS).any(|step| {
            if own_count < other_count {
                (at + step) % own_count == rank
            } else {
                (rank + step) % other_count == at
            }
        })
    };
    other.iter().enumerate().filter(|(at, _)| is_partner(*at)).map(|(_, name)| *name).collect()
}
