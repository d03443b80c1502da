//! Which instances get which datagrams.
//!
//! Messages must not grow with the size of the fleet: an instance is told of requests in
//! flight only if it places requests, and heartbeats stay in the zone. Schedulers of
//! different zones have to find each other although each of them knows other instances:
//! those that start at the same moment list the store before the others have registered.
//! A scheduler therefore names all those of its zone.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The instance that sends.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// Its address for datagrams.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: &'a str,
    /// Whether it places requests.
    pub places: bool,
}

/// An instance that was heard.
#[derive(Clone, Copy, Debug)]
pub struct Heard<'a> {
    /// Source address of its datagrams.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: &'a str,
    /// Whether schedulers place its requests.
    pub delegating: bool,
    /// Addresses of the schedulers of its zone, as it names them.
    pub schedulers: &'a [SocketAddr],
}

/// An instance that is registered in the store.
#[derive(Clone, Copy, Debug)]
pub struct Registered<'a> {
    /// Address for datagrams.
    pub addr: SocketAddr,
    /// Availability zone; `None` from versions that do not state it.
    pub zone: Option<&'a str>,
}

/// Receivers of datagrams by what they contain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipients {
    /// Told of requests in flight.
    pub exchange: Vec<SocketAddr>,
    /// Sent heartbeats only.
    pub heartbeat: Vec<SocketAddr>,
}

/// Returns the receivers of datagrams; `seeds` are among them while none is registered.
pub fn recipients(
    own: Sender<'_>,
    heard: &[Heard<'_>],
    registered: &[Registered<'_>],
    seeds: &[SocketAddr],
) -> Recipients {
    let placing = || heard.iter().filter(|peer| !peer.delegating);
    let told = placing().filter(|peer| own.places || peer.zone == own.zone);
    let mut exchange: BTreeSet<SocketAddr> = told.map(|peer| peer.addr).collect();
    if own.places {
        exchange.extend(placing().flat_map(|peer| peer.schedulers));
    }
    // Schedulers of a zone of which none was heard are among its registered instances.
    let is_reached = |zone: &str| placing().any(|peer| peer.zone == zone);
    let sought = registered.iter().filter(|instance| {
        instance.zone.is_none_or(|zone| zone == own.zone || own.places && !is_reached(zone))
    });
    let mut heartbeat: BTreeSet<SocketAddr> = sought.map(|instance| instance.addr).collect();
    heartbeat.extend(heard.iter().filter(|peer| peer.zone == own.zone).map(|peer| peer.addr));
    if registered.is_empty() {
        heartbeat.extend(seeds);
    }
    exchange.remove(&own.addr);
    heartbeat.remove(&own.addr);
    heartbeat.retain(|addr| !exchange.contains(addr));
    Recipients {
        exchange: exchange.into_iter().collect(),
        heartbeat: heartbeat.into_iter().collect(),
    }
}
