//! The entry by which peers find this instance.
//!
//! It stands in the store under a lease, so that it goes when the instance
//! does. An instance that cannot write it is found by its datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mimosapass_core::ids::InstanceId;
use mimosapass_platform::store::{LeaseId, StoreError};

use super::state::Gateway;

/// Where instances register; the rest of the key is their name.
pub const PREFIX: &str = "mimosapass/instances/";
/// Life of the entry without renewal. Peers that are gone are noticed by their
/// silence long before; this only bounds how long their address is tried.
const TTL: Duration = Duration::from_secs(24);
/// Time between renewals: three may fail before the lease ends.
const RENEWAL: Duration = Duration::from_secs(6);

/// Keeps the entry of this instance for as long as it runs.
pub fn run(gateway: &Arc<Gateway>) {
    let mut lease = None;
    while !gateway.stopping() {
        lease = match keep(gateway, lease) {
            Ok(lease) => Some(lease),
            Err(StoreError::Absent) => {
                log::info!("member: the lease has ended, a new one is taken.");
                lease = None;
                continue;
            }
            Err(e) => {
                log::debug!("member: {e}.");
                lease
            }
        };
        thread::sleep(RENEWAL);
    }
    if let Some(lease) = lease
        && let Err(e) = gateway.store.end(lease)
    {
        log::info!("member: the lease was not ended and runs out: {e}.");
    }
}

fn keep(gateway: &Gateway, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
    if let Some(lease) = lease {
        gateway.store.renew(lease)?;
        return Ok(lease);
    }
    let lease = gateway.store.lease(TTL)?;
    let key = format!("{PREFIX}{}", gateway.name);
    let addr = gateway.settings.listen.peers.to_string();
    gateway.store.put(&key, addr.as_bytes(), lease)?;
    Ok(lease)
}

/// Takes a change of a peer's entry.
pub fn changed(gateway: &Gateway, name: &str, value: Option<&[u8]>) {
    if name == &*gateway.name {
        return;
    }
    let name = InstanceId::from(name);
    let text = value.and_then(|v| std::str::from_utf8(v).ok());
    match text.map(str::parse::<SocketAddr>) {
        Some(Ok(addr)) => drop(gateway.state().members.insert(name, addr)),
        Some(Err(e)) => log::warn!(peer = &*name; "member: its entry cannot be read: {e}."),
        None => drop(gateway.state().members.remove(&name)),
    }
}
