//! A lease that one holder has: a key that lives as long as the lease.

use std::time::{Duration, Instant};

use crate::kv::{KvClient, KvError, LeaseId, Revision};

/// A lease that is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseId,
    /// Revision of the key, which grows from holder to holder.
    pub fence: Revision,
    /// When the call was made from which the time of the lease counts.
    pub requested_at: Instant,
}

/// Takes the lease on `key` for `ttl`; `None` while another holder has it.
///
/// `holder` has to be unique to this process, so that a lost answer can be
/// settled by reading the key.
///
/// # Errors
///
/// Fails when the service gives no answer in time.
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

/// Renews the lease for its whole time; returns when the call was made.
///
/// # Errors
///
/// [`KvError::LeaseExpired`] when it has lapsed.
pub fn renew(kv: &KvClient, held: &HeldLease) -> Result<Instant, KvError> {
    let requested_at = Instant::now();
    kv.renew(held.lease)?;
    Ok(requested_at)
}

/// Gives the lease up, so that a successor need not wait until it lapses.
///
/// # Errors
///
/// Fails when the key is not ours any more or the service does not answer.
pub fn release(kv: &KvClient, key: &str, held: &HeldLease) -> Result<(), KvError> {
    kv.delete(key, held.fence)
}
