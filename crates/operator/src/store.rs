//! The configuration in the key-value service: one head record, many parts.
//!
//! Parts are written first and belong to one candidate; the head is then
//! swapped. Whoever wins the swap has set the next version. A lost answer is
//! settled by reading the head, which carries the writer's random token and
//! those of the versions before it. Old versions are deleted by the changes
//! that follow, so that the store is bounded.

use std::fmt;

use mimosapass_core::ids::ConfigVersion;
use mimosapass_core::version;
use mimosapass_keyvalue::kv::{KvClient, KvError, Revision};
use serde::{Deserialize, Serialize};

use crate::document::{Document, Faults, parse};

/// Key of the head record.
pub const HEAD_KEY: &str = "config/head";
/// Longest part, in bytes of text; JSON may double it on the way.
const PART: usize = 400_000;
/// Reads that settle a lost answer.
const SETTLE: u32 = 5;
/// Versions that are kept beside the one in force.
pub const RETAINED_VERSIONS: ConfigVersion = 50;
/// Old versions that one change deletes, at most.
const SWEEP: ConfigVersion = 4;
/// Tokens of earlier versions that a head carries.
const TRAIL: usize = 16;

/// Head record.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRecord {
    /// Version, from 1.
    pub version: ConfigVersion,
    /// Digest of the whole text.
    pub digest: u64,
    /// Keys of the parts, in order.
    pub parts: Vec<String>,
    /// Who applied it.
    pub author: String,
    /// Random token of the writer.
    pub token: u64,
    /// Tokens of the versions before this one, the newest first.
    #[serde(default)]
    pub trail: Vec<u64>,
    /// Oldest version that may still be in the store.
    #[serde(default)]
    pub oldest: ConfigVersion,
}

impl HeadRecord {
    /// Returns the token of a version; `None` where it is no more known.
    fn token_of(&self, version: ConfigVersion) -> Option<u64> {
        match self.version.checked_sub(version)? {
            0 => Some(self.token),
            back => self.trail.get(back as usize - 1).copied(),
        }
    }

    /// Returns version and digest.
    pub fn head(&self) -> version::Head {
        version::Head { version: self.version, digest: self.digest }
    }
}

/// A head record with the revision of its key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredHead {
    /// The record; version 0 when there is none.
    pub record: HeadRecord,
    /// Revision of the key, 0 when there is none.
    pub revision: Revision,
}

/// Why a configuration was not read or applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The text has faults.
    Invalid(Faults),
    /// Another operator was first; the version found is stated.
    Conflict(ConfigVersion),
    /// The key-value service failed; nothing was put in force.
    Kv(KvError),
    /// Whether the change was accepted is not known.
    OutcomeUnknown,
    /// The stored configuration is damaged.
    Corrupt(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(faults) => write!(f, "{faults}"),
            Self::Conflict(found) => {
                write!(f, "version {found} was applied meanwhile; nothing was changed")
            }
            Self::Kv(error) => write!(f, "{error}; nothing was changed"),
            Self::OutcomeUnknown => write!(f, "the answer was lost; see `get` before another try"),
            Self::Corrupt(text) => write!(f, "the stored configuration is damaged: {text}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Reads the head record.
///
/// # Errors
///
/// Fails when the service does not answer or the record is damaged.
pub fn read_head(kv: &KvClient) -> Result<StoredHead, StoreError> {
    match kv.get(HEAD_KEY).map_err(StoreError::Kv)? {
        Some(entry) => parse_head(&entry.value, entry.revision),
        None => Ok(StoredHead::default()),
    }
}

/// Parses the value of the head key.
///
/// # Errors
///
/// [`StoreError::Corrupt`] when it is no head record.
pub fn parse_head(value: &str, revision: Revision) -> Result<StoredHead, StoreError> {
    let record = serde_json::from_str(value).map_err(|e| StoreError::Corrupt(e.to_string()))?;
    Ok(StoredHead { record, revision })
}

/// Reads and checks the text that a head record names.
///
/// # Errors
///
/// Fails when a part is missing or the digest differs.
pub fn read_document(kv: &KvClient, record: &HeadRecord) -> Result<Document, StoreError> {
    let mut whole = String::new();
    for key in &record.parts {
        let part = kv.get(key).map_err(StoreError::Kv)?;
        let part = part.ok_or_else(|| StoreError::Corrupt(format!("no part `{key}`")))?;
        whole.push_str(&part.value);
    }
    let document = parse(&whole).map_err(StoreError::Invalid)?;
    if document.digest == record.digest {
        Ok(document)
    } else {
        Err(StoreError::Corrupt("the digest differs".to_owned()))
    }
}

/// Puts a checked document in force as the version after `base`.
///
/// # Errors
///
/// [`StoreError::Conflict`] when the head is not at `base` any more.
pub fn apply(
    kv: &KvClient,
    document: &Document,
    base: &StoredHead,
    author: &str,
    token: u64,
) -> Result<HeadRecord, StoreError> {
    let version = base.record.version + 1;
    if base.record.version > 0 {
        // The tool that set it may have died before it wrote the history.
        remember(kv, &base.record);
    }
    let oldest = sweep(kv, base.record.oldest.max(1), version.saturating_sub(RETAINED_VERSIONS));
    let parts = write_parts(kv, &document.text, version, token)?;
    let trail = std::iter::once(base.record.token).chain(base.record.trail.iter().copied());
    let record = HeadRecord {
        version,
        digest: document.digest,
        parts,
        author: author.to_owned(),
        token,
        trail: trail.take(TRAIL).collect(),
        oldest,
    };
    let value = serde_json::to_string(&record).unwrap_or_default();
    let swapped = match kv.put(HEAD_KEY, &value, base.revision, None) {
        Ok(_) => Ok(()),
        Err(KvError::Conflict(_) | KvError::OutcomeUnknown(_)) => settle(kv, version, token, base),
        Err(e) => Err(StoreError::Kv(e)),
    };
    match swapped {
        Ok(()) => remember(kv, &record),
        Err(StoreError::Conflict(_)) => record.parts.iter().for_each(|key| drop(erase(kv, key))),
        Err(_) => {}
    }
    swapped.map(|()| record)
}

fn write_parts(
    kv: &KvClient,
    text: &str,
    version: ConfigVersion,
    token: u64,
) -> Result<Vec<String>, StoreError> {
    let mut keys = Vec::new();
    for part in pieces(text) {
        let key = format!("config/parts/{version}-{token:016x}-{}", keys.len());
        match kv.put(&key, part, 0, None) {
            // The token makes the key ours, so that a conflict is our own
            // write whose answer was lost.
            Ok(_) | Err(KvError::Conflict(_)) => {}
            Err(KvError::OutcomeUnknown(_)) => confirm(kv, &key, part)?,
            Err(e) => return Err(StoreError::Kv(e)),
        }
        keys.push(key);
    }
    Ok(keys)
}

fn confirm(kv: &KvClient, key: &str, part: &str) -> Result<(), StoreError> {
    match kv.get(key).map_err(StoreError::Kv)? {
        Some(entry) if entry.value == part => Ok(()),
        _ => kv.put(key, part, 0, None).map(drop).map_err(StoreError::Kv),
    }
}

/// Finds out whether our swap took effect although its answer was lost.
///
/// Another operator may have gone on from ours meanwhile; the tokens that the
/// head carries tell. A head older than `base` is a stale read.
fn settle(
    kv: &KvClient,
    version: ConfigVersion,
    token: u64,
    base: &StoredHead,
) -> Result<(), StoreError> {
    for _ in 0..SETTLE {
        match read_head(kv) {
            Ok(found) if found.record.token_of(version) == Some(token) => return Ok(()),
            Ok(found)
                if found.revision > base.revision && found.record.token_of(version).is_some() =>
            {
                return Err(StoreError::Conflict(found.record.version));
            }
            _ => std::thread::sleep(std::time::Duration::from_millis(200)),
        }
    }
    Err(StoreError::OutcomeUnknown)
}

/// Deletes versions from `oldest` up to `end`; returns the oldest that is left.
fn sweep(kv: &KvClient, oldest: ConfigVersion, end: ConfigVersion) -> ConfigVersion {
    let old = oldest..end.min(oldest + SWEEP);
    old.clone().find(|v| sweep_one(kv, *v).is_err()).unwrap_or(old.end.max(oldest))
}

fn sweep_one(kv: &KvClient, version: ConfigVersion) -> Result<(), KvError> {
    let key = history_key(version);
    let Some(entry) = kv.get(&key)? else { return Ok(()) };
    if let Ok(record) = serde_json::from_str::<HeadRecord>(&entry.value) {
        record.parts.iter().try_for_each(|part| erase(kv, part))?;
    }
    kv.delete(&key, entry.revision)
}

fn erase(kv: &KvClient, key: &str) -> Result<(), KvError> {
    match kv.get(key)? {
        Some(entry) => kv.delete(key, entry.revision),
        None => Ok(()),
    }
}

/// Key of the record that `history` reads.
pub fn history_key(version: ConfigVersion) -> String {
    format!("config/history/{version}")
}

/// Keeps the record for `history`; the head alone decides what is in force.
fn remember(kv: &KvClient, record: &HeadRecord) {
    let value = serde_json::to_string(record).unwrap_or_default();
    if let Err(e) = kv.put(&history_key(record.version), &value, 0, None) {
        log::warn!("operator: no history for version {}: {e}.", record.version);
    }
}

/// Cuts the text into parts at character boundaries.
fn pieces(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (part, after) = rest.split_at(rest.floor_char_boundary(PART.min(rest.len())));
        parts.push(part);
        rest = after;
    }
    parts
}
