//! Who holds which role, and who tells whom; computed alike on every instance.

use crate::ids::InstanceId;
use crate::rendezvous::{ranked, weight};

/// Instances of a zone that wait on the head of the configuration.
pub const WATCHERS: usize = 2;
/// Instances of each other zone that an instance tells, at least.
pub const MIN_PARTNERS: usize = 2;

/// Returns the zone's watchers: those that reach the platform come first.
pub fn watchers<'a>(candidates: &[(&'a str, bool)]) -> Vec<&'a str> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_key(|(name, cut)| (*cut, std::cmp::Reverse((weight("watcher", name), *name))));
    ranked.into_iter().take(WATCHERS).map(|(name, _)| name).collect()
}

/// Returns the zone's leader, who grants groups and gives orders.
pub fn leader<'a>(candidates: &[&'a str]) -> Option<&'a str> {
    ranked("leader", candidates).first().copied()
}

/// Returns whom `me` of the zone `mine` tells in another zone.
///
/// Both lists hold the names of all members. Each member of `theirs` is told
/// by at least [`MIN_PARTNERS`] members of `mine`, or by all when there are fewer,
/// and no member tells many more than its share.
pub fn partners<'a>(me: &str, mine: &[&str], theirs: &'a [InstanceId]) -> Vec<&'a InstanceId> {
    let mut own = mine.to_vec();
    own.sort_unstable();
    own.dedup();
    let Some(rank) = own.iter().position(|n| *n == me) else { return Vec::new() };
    let mut other: Vec<&InstanceId> = theirs.iter().collect();
    other.sort_unstable();
    other.dedup();
    let (ours, count) = (own.len(), other.len());
    // The greater zone's members are dealt out over the lesser zone's.
    let tells = |at: usize| {
        (0..MIN_PARTNERS).any(|step| {
            if ours < count { (at + step) % ours == rank } else { (rank + step) % count == at }
        })
    };
    other.iter().enumerate().filter(|(at, _)| tells(*at)).map(|(_, name)| *name).collect()
}
