//! A lease that one holder has: a key that lives as long as the lease.

use std::time::{Duration, Instant};

use crate::kv::{Kv, KvError, LeaseId, Revision};

/// A lease that is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// The lease.
    pub lease: LeaseId,
    /// Revision of the key, which grows from holder to holder.
    pub fence: Revision,
    /// When the call was made from which the time of the lease counts.
    pub asked: Instant,
}

/// Takes the lease on `key` for `ttl`; `None` while another holder has it.
///
/// `holder` has to be unique to this process, so that a lost answer can be
/// settled by reading the key.
///
/// # Errors
///
/// Fails when the service gives no answer in time.
pub fn acquire(kv: &Kv, key: &str, holder: &str, ttl: Duration) -> Result<Option<Held>, KvError> {
    if kv.get(key)?.is_some() {
        return Ok(None);
    }
    let asked = Instant::now();
    let lease = kv.grant(ttl)?;
    let fence = match kv.put(key, holder, 0, Some(lease)) {
        Ok(revision) => revision,
        Err(KvError::Conflict(_)) => return Ok(None),
        Err(KvError::Unknown(_)) => match kv.get(key)? {
            Some(entry) if entry.value == holder => entry.revision,
            _ => return Ok(None),
        },
        Err(e) => return Err(e),
    };
    Ok(Some(Held { lease, fence, asked }))
}

/// Renews the lease for its whole time; returns when that was asked.
///
/// # Errors
///
/// [`KvError::NoLease`] when it has lapsed.
pub fn renew(kv: &Kv, held: &Held) -> Result<Instant, KvError> {
    let asked = Instant::now();
    kv.renew(held.lease)?;
    Ok(asked)
}

/// Gives the lease up, so that a successor need not wait until it lapses.
///
/// # Errors
///
/// Fails when the key is not ours any more or the service does not answer.
pub fn release(kv: &Kv, key: &str, held: &Held) -> Result<(), KvError> {
    kv.delete(key, held.fence)
}
