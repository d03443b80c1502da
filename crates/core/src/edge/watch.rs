//! Which instances watch the store for their availability zone.
//!
//! Every call to the store costs money and its rate limits do not grow with the
//! fleet, while traffic inside a zone is free. A few instances of a zone therefore
//! watch the store, and the others ask one of them for changes. All apply the same
//! rule, so that no coordination is needed; while their views of the peers differ,
//! one instance too many may watch.

use std::time::Duration;

/// Instances of a zone that watch. One may fail and another be cut off from the
/// store at the same time.
pub const WATCHERS: usize = 3;
/// Silence after which a peer no longer counts as watching. It is longer than the
/// interval of full-state datagrams in a fleet of eighty instances, and short enough
/// for another watcher to learn of a change within the two seconds allowed for it.
const MAX_SILENCE: Duration = Duration::from_millis(1_400);

/// A peer in the same zone.
#[derive(Clone, Copy, Debug)]
pub struct Neighbour<'a> {
    /// Name.
    pub name: &'a str,
    /// Time since its last datagram.
    pub silence: Duration,
    /// Whether the store refuses it or does not answer it.
    pub cut_off: bool,
}

/// Returns whether an outage of the store affected all instances.
///
/// Targets keep their entries while the store serves anyone, so that only in a total
/// outage may an entry have lapsed although its target runs. Of the `tried` peers,
/// `cut_off` were without the store; the others may have restarted since.
pub fn is_total_outage(tried: usize, cut_off: usize) -> bool {
    4 * cut_off >= 3 * tried
}

/// Returns whether the instance `own` should watch the store itself.
pub fn should_watch<'a>(own: &str, neighbours: impl Iterator<Item = Neighbour<'a>>) -> bool {
    let watching = |n: &Neighbour<'_>| n.name < own && !n.cut_off && n.silence < MAX_SILENCE;
    neighbours.filter(watching).take(WATCHERS).count() < WATCHERS
}
