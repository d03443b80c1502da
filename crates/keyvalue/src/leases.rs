//! Exclusive leases: the holder owns a key that exists as long as its lease.

use std::time::{Duration, Instant};

use crate::kv::{KvClient, KvError, LeaseId, Revision};

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Identifier of the lease.
    pub lease: LeaseId,
    /// Fencing token: revision of the key, higher with each holder.
    pub fence: Revision,
    /// Start of the call that created the lease; its TTL counts from here.
    pub requested_at: Instant,
}

/// Acquires the lease on `key` for `ttl`; `None` while another holder has it.
///
/// `holder` has to be unique to this process, so that reading the key after a lost
/// response shows whether the write took effect.
///
/// # Errors
///
/// Fails when the service does not respond in time.
pub fn acquire(
    kv: &KvClient,
    key: &str,
    holder: &str,
    ttl: Duration,
) -> Result<Option<HeldLease>, KvError> {
    if kv.get(key)?.is_some() {
        return Ok(None);
    }
    let requested_at = Instant::now();
    let lease = kv.grant(ttl)?;
    let fence = match kv.put(key, holder, 0, Some(lease)) {
        Ok(revision) => revision,
        Err(KvError::Conflict(_)) => return Ok(None),
        Err(KvError::OutcomeUnknown(_)) => match kv.get(key)? {
            Some(entry) if entry.value == holder => entry.revision,
            _ => return Ok(None),
        },
        Err(e) => return Err(e),
    };
    Ok(Some(HeldLease { lease, fence, requested_at }))
}

/// Renews the lease for its full TTL; returns when the call was made.
///
/// # Errors
///
/// [`KvError::LeaseExpired`] when it has expired.
pub fn renew(kv: &KvClient, held: &HeldLease) -> Result<Instant, KvError> {
    let requested_at = Instant::now();
    kv.renew(held.lease)?;
    Ok(requested_at)
}

/// Releases the lease, so that a successor need not wait for its expiry.
///
/// # Errors
///
/// Fails when another holder has the key or the service does not respond.
pub fn release(kv: &KvClient, key: &str, held: &HeldLease) -> Result<(), KvError> {
    kv.delete(key, held.fence)
}
