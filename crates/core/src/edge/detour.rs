//! Over which peer a request goes whose targets this instance cannot connect to.
//!
//! Answers the pattern of instances that have lost their paths to most or all targets while
//! their callers still come to them, some or all of a zone at once. One more hop over an
//! instance that reaches the targets serves these callers at the first attempt. The load is
//! spread over the zone as long as half of it can take it, and else over all zones, so that the
//! few instances left in a zone do not carry all of it.

use std::time::Duration;

use crate::ids::InstanceId;

/// Connections of one request that may fail before it goes over a peer. The first callers
/// after the begin of a cut wait no longer than for these.
pub const MAX_FAILED: u32 = 2;
/// Peers that one request is sent to at most.
pub const MAX_DETOURS: usize = 2;
/// Silence after which a peer is not used; three of its datagrams are missing.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// A peer, as far as it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Name.
    pub name: &'a InstanceId,
    /// Whether it is in the zone of this instance.
    pub in_zone: bool,
    /// Time since its last datagram; `None` if it is only registered.
    pub silence: Option<Duration>,
    /// Whether it takes requests of peers: it is not about to stop, and not cut off from the
    /// targets itself.
    pub able: bool,
}

impl Candidate<'_> {
    fn is_usable(&self) -> bool {
        self.able && self.silence.is_none_or(|silence| silence < MAX_SILENCE)
    }
}

/// Returns a peer that was not tried; `draw` is a random number from 0 to 1.
pub fn choose<'a>(
    candidates: &[Candidate<'a>],
    tried: &[InstanceId],
    draw: f64,
) -> Option<&'a InstanceId> {
    let count = |accepts: &dyn Fn(&Candidate<'a>) -> bool| {
        candidates.iter().filter(|c| c.in_zone && accepts(c)).count()
    };
    let zone_suffices = count(&Candidate::is_usable) * 2 >= count(&|_| true);
    let left = |c: &&Candidate<'a>| c.is_usable() && !tried.contains(c.name);
    let all: Vec<&Candidate<'a>> = candidates.iter().filter(left).collect();
    let heard: Vec<&Candidate<'a>> = all.iter().copied().filter(|c| c.silence.is_some()).collect();
    let in_zone: Vec<&Candidate<'a>> = heard.iter().copied().filter(|c| c.in_zone).collect();
    // What was heard of is known to be able.
    let groups = if zone_suffices { [in_zone, heard, all] } else { [heard, all, Vec::new()] };
    let group = groups.into_iter().find(|group| !group.is_empty())?;
    let index = (draw * group.len() as f64) as usize;
    Some(group[index.min(group.len() - 1)].name)
}
