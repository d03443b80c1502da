//! Registers this instance in the store, and reads the entries of its peers.
//!
//! The entry is bound to a lease, so that it is deleted when the instance fails. An
//! instance that cannot register is found by its datagrams. One that stops leaves its entry to
//! expire: the process that takes its place finds it, and knows that others count it already.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::edge::retry_share::{Found, REGISTRATION_TTL};
use mimosapass_core::ids::{InstanceId, ZoneId};
use mimosapass_platform::store::{LeaseId, StoreError};

use super::peers::Member;
use super::state::Gateway;

/// Key prefix of instance entries; the rest of the key is the instance's availability
/// zone, a slash and its name. Former versions wrote the name alone.
pub const PREFIX: &str = "mimosapass/instances/";
/// Bounds how long heartbeats are sent to the address of a failed peer. The failure
/// itself is detected much earlier, by missing datagrams.
const LEASE_TTL: Duration = REGISTRATION_TTL;
/// Allows three failed renewals before the lease expires. The calls of the whole fleet
/// are renewals most of the time, so they are as rare as the lease allows.
const RENEW_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between attempts to register while the store does not answer.
const RETRY_INTERVAL: Duration = Duration::from_secs(6);
/// Time over which the instances of a fleet register again after the store came back from a
/// copy, so that their calls stay within its rate.
const REGISTER_SPREAD: Duration = Duration::from_secs(3);
/// Interval between checks whether the instance stops.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps this instance registered until it stops.
pub fn run(gateway: &Arc<Gateway>) {
    let mut lease = None;
    while !gateway.is_stopping() {
        let era = gateway.known_era();
        let (kept, interval) = match register_or_renew(gateway, lease) {
            Ok(lease) => (Some(lease), RENEW_INTERVAL),
            Err(StoreError::NotFound) => {
                log::info!("member: the lease has expired, registering again.");
                lease = None;
                continue;
            }
            Err(e) => {
                log::debug!("member: registration or renewal failed: {e}.");
                (lease, RETRY_INTERVAL)
            }
        };
        lease = kept;
        let next = Instant::now() + interval;
        while Instant::now() < next && !gateway.is_stopping() {
            thread::sleep(POLL_INTERVAL);
            if gateway.known_era() > era {
                log::info!("member: the store came back from a copy, registering again.");
                lease = None;
                thread::sleep(REGISTER_SPREAD.mul_f64(rand::random()));
                break;
            }
        }
    }
}

fn register_or_renew(gateway: &Gateway, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
    let begun = Instant::now();
    if let Some(lease) = lease {
        gateway.store.renew_lease(lease)?;
        confirm(gateway, Found::Own, begun);
        return Ok(lease);
    }
    let key = format!("{PREFIX}{}/{}", gateway.settings.zone, gateway.name);
    let former = gateway.store.get(&key)?.is_some();
    let begun = Instant::now();
    let lease = gateway.store.grant_lease(LEASE_TTL)?;
    let addr = gateway.settings.listen.peers.to_string();
    gateway.store.put(&key, addr.as_bytes(), lease)?;
    confirm(gateway, if former { Found::Former } else { Found::Missing }, begun);
    Ok(lease)
}

/// Records that a call that began at `begun` confirmed the registration.
fn confirm(gateway: &Gateway, found: Found, begun: Instant) {
    let mut state = gateway.state();
    state.observe_fleet(Instant::now());
    let before = state.retry_share;
    let retention = state.retry_limits.retention();
    state.retry_share.confirm(found, retention, begun);
    if before.usable_from() != state.retry_share.usable_from() {
        let wait = state.retry_share.usable_from().map(|at| at.saturating_duration_since(begun));
        let wait_ms = wait.unwrap_or_default().as_millis() as u64;
        log::info!(found:? = found, wait_ms; "member: registered.");
    }
}

/// Applies a change of a peer's entry.
pub fn apply_entry(gateway: &Gateway, path: &str, value: Option<&[u8]>) {
    let (zone, name) = match path.split_once('/') {
        Some((zone, name)) => (Some(ZoneId::from(zone)), name),
        None => (None, path),
    };
    if name == &*gateway.name {
        return;
    }
    let name = InstanceId::from(name);
    let text = value.and_then(|v| std::str::from_utf8(v).ok());
    match text.map(str::parse::<SocketAddr>) {
        Some(Ok(addr)) => drop(gateway.state().members.insert(name, Member { addr, zone })),
        Some(Err(e)) => log::warn!(peer = &*name; "member: invalid peer address: {e}."),
        None => drop(gateway.state().members.remove(&name)),
    }
}
