//! Which instances watch the store for their availability zone.
//!
//! Each call of each instance is priced and the store's rates do not grow with
//! the fleet, while bytes inside a zone are free. A few instances of a zone
//! therefore watch the store, and the others ask one of them for what changed.
//! All judge by the same rule, so that no agreement is needed; where they see
//! their peers differently for a moment, one too many watches.

use std::time::Duration;

/// Instances of a zone that watch. One may be lost and another be cut off from
/// the store at the same moment.
pub const WATCHERS: usize = 3;
/// Silence after which a peer no longer counts as watching: longer than the time
/// between two tellings of the whole in a fleet of eighty, and short enough that
/// another one has a change within the two seconds that are allowed for it.
const FRESH: Duration = Duration::from_millis(1_400);

/// A peer in the same zone.
#[derive(Clone, Copy, Debug)]
pub struct Neighbour<'a> {
    /// Name.
    pub name: &'a str,
    /// Time since it was heard.
    pub silence: Duration,
    /// Whether the store refuses it or does not answer it.
    pub cut_off: bool,
}

/// Returns whether an outage of the store was one of all instances.
///
/// Targets keep their entries as long as the store serves anybody, so that only
/// then may an entry have lapsed although its target lives. Of the `tried` peers
/// `cut` were without the store; some may have started anew since.
pub fn is_total_outage(tried: usize, cut: usize) -> bool {
    4 * cut >= 3 * tried
}

/// Returns whether the instance `own` is to watch the store itself.
pub fn should_watch<'a>(own: &str, neighbours: impl Iterator<Item = Neighbour<'a>>) -> bool {
    let before = |n: &Neighbour<'_>| n.name < own && !n.cut_off && n.silence < FRESH;
    neighbours.filter(before).take(WATCHERS).count() < WATCHERS
}
