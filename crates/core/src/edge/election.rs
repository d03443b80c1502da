//! Which instances of an availability zone act for the others.
//!
//! In a zone with dozens of instances not each of them can watch the store, nor learn of
//! every request of the fleet: the messages would grow with requests times instances.
//! The first [`ELECTED`] instances of a common order do it for all. Every instance
//! applies the same rule to the peers it hears, so that no coordination is needed; while
//! their views differ, one instance too many or too few acts for a moment.

use std::cmp::Reverse;
use std::time::Duration;

/// Instances of a zone that act for the others. One may fail and another be cut off at
/// the same time.
pub const ELECTED: usize = 3;
/// Silence after which a peer no longer counts. Elected instances send a datagram every
/// 0.3 s, and the limit leaves the next one time to learn of a change of configuration
/// within the two seconds allowed for it.
const MAX_SILENCE: Duration = Duration::from_millis(1_400);

/// An instance of the zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Nominee<'a> {
    /// Name.
    pub name: &'a str,
    /// Processor share of its machine, in thousandths of a core; 0 for a version that
    /// does not place requests of others.
    pub capacity: u32,
    /// Time since its last datagram; zero for this instance.
    pub silence: Duration,
    /// Whether the store refuses it or does not answer it.
    pub cut_off: bool,
}

impl Nominee<'_> {
    /// Returns the key of the common order: large machines first, then by name.
    fn rank(&self) -> (Reverse<u32>, &str) {
        (Reverse(self.capacity), self.name)
    }
}

/// Returns whether `own` should watch the store itself.
pub fn should_watch<'a>(own: Nominee<'_>, peers: impl Iterator<Item = Nominee<'a>>) -> bool {
    let ahead = |n: &Nominee<'_>| !n.cut_off && n.silence < MAX_SILENCE && n.rank() < own.rank();
    peers.filter(ahead).take(ELECTED).count() < ELECTED
}

/// Returns the instances that place the requests of their zone, best first.
///
/// An instance that the store refuses places requests too: what it needs most are its
/// peers' datagrams.
pub fn schedulers<'a>(nominees: impl Iterator<Item = Nominee<'a>>) -> Vec<&'a str> {
    let mut able: Vec<Nominee<'a>> =
        nominees.filter(|n| n.capacity > 0 && n.silence < MAX_SILENCE).collect();
    able.sort_unstable_by(|a, b| a.rank().cmp(&b.rank()));
    able.into_iter().take(ELECTED).map(|n| n.name).collect()
}
