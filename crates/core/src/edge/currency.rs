//! Whether the known configuration is current, as far as an instance can tell.
//!
//! Answers the pattern of an instance that was cut off while the configuration changed: a
//! request on a new route, or with a new key, looks wrong to it. Such a request is refused
//! as wrong only if the configuration is known to be the latest.

use std::time::Duration;

/// Age up to which an answer of the store, or the datagram of a peer that reaches it, shows
/// that the configuration is current. A healthy store answers, and peers report, more often.
pub const MAX_AGE: Duration = Duration::from_secs(2);

/// What a peer last reported.
#[derive(Clone, Copy, Debug)]
pub struct PeerView {
    /// Configuration version in force there.
    pub version: u64,
    /// Time since its last datagram.
    pub age: Duration,
    /// Whether it could not reach the store.
    pub cut_off: bool,
}

/// Returns whether `version` is the latest one, as far as known.
///
/// `store_age` is the time since the store last answered, `None` if it never did.
pub fn is_current(
    version: u64,
    store_age: Option<Duration>,
    peers: impl Iterator<Item = PeerView>,
) -> bool {
    let mut confirmed = store_age.is_some_and(|age| age <= MAX_AGE);
    for peer in peers {
        if peer.version > version {
            return false;
        }
        confirmed |= !peer.cut_off && peer.version == version && peer.age <= MAX_AGE;
    }
    confirmed
}
