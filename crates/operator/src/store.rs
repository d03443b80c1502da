//! Configuration in the key-value service: one head record and many parts.
//!
//! An operator writes the parts first, under keys of its own, and then replaces
//! the head by compare-and-swap. Whoever wins the swap has set the next version.
//! If the response to the swap is lost, the writer reads the head, which carries
//! the writer's random token and those of the previous versions. Each change
//! deletes some old versions, so that the store is bounded.

use std::fmt;

use mimosapass_core::ids::ConfigVersion;
use mimosapass_core::version;
use mimosapass_keyvalue::kv::{KvClient, KvError, Revision};
use serde::{Deserialize, Serialize};

use crate::document::{Document, Faults, parse};

/// Key of the head record.
pub const HEAD_KEY: &str = "config/head";
/// Maximum length of a part; JSON escapes may double it in transit.
const MAX_PART_BYTES: usize = 400_000;
/// Maximum number of parts of a document; the largest document has 5 or 6.
const MAX_PARTS: usize = 16;
/// Attempts to read the head after the response to a swap was lost.
const OUTCOME_READS: u32 = 5;
/// Previous versions that are kept.
pub const RETAINED_VERSIONS: ConfigVersion = 50;
/// Maximum number of old versions that one change deletes.
const MAX_DELETIONS: ConfigVersion = 4;
/// Tokens of previous versions in a head record.
const MAX_TRAIL: usize = 16;

/// Record of one version: its digest, the keys of its parts, and its author.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRecord {
    /// Version number, starting at 1.
    pub version: ConfigVersion,
    /// Digest of the complete text.
    pub digest: u64,
    /// Keys of the parts, in order.
    pub parts: Vec<String>,
    /// Operator who applied the version.
    pub author: String,
    /// Random token chosen by the writer.
    pub token: u64,
    /// Tokens of the previous versions, newest first.
    #[serde(default)]
    pub trail: Vec<u64>,
    /// Oldest version that may still be in the store.
    #[serde(default)]
    pub oldest: ConfigVersion,
}

impl HeadRecord {
    /// Returns the token of a version, if the record still has it.
    fn token_of(&self, version: ConfigVersion) -> Option<u64> {
        match self.version.checked_sub(version)? {
            0 => Some(self.token),
            age => self.trail.get(age as usize - 1).copied(),
        }
    }

    /// Returns the version and digest.
    pub fn head(&self) -> version::Head {
        version::Head { version: self.version, digest: self.digest }
    }
}

/// A head record with the store revision of its key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredHead {
    /// The record; its version is 0 if the key is absent.
    pub record: HeadRecord,
    /// Revision of the key; 0 if it is absent.
    pub revision: Revision,
}

/// Reason why a configuration was not read or applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The text has faults.
    Invalid(Faults),
    /// Another operator applied a version first; holds that version.
    Conflict(ConfigVersion),
    /// The key-value service failed; the configuration was not changed.
    Kv(KvError),
    /// The response to the swap was lost and its outcome could not be read.
    OutcomeUnknown,
    /// The stored configuration is corrupt.
    Corrupt(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(faults) => write!(f, "{faults}"),
            Self::Conflict(found) => {
                write!(f, "version {found} was applied in the meantime; nothing was changed")
            }
            Self::Kv(error) => write!(f, "{error}; nothing was changed"),
            Self::OutcomeUnknown => {
                write!(f, "the answer was lost; check with `get` before retrying")
            }
            Self::Corrupt(text) => write!(f, "the stored configuration is corrupt: {text}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Reads the head record.
///
/// # Errors
///
/// Fails when the service does not answer or the record is corrupt.
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
/// [`StoreError::Corrupt`] when the value is not a head record.
pub fn parse_head(value: &str, revision: Revision) -> Result<StoredHead, StoreError> {
    let record = serde_json::from_str(value).map_err(|e| StoreError::Corrupt(e.to_string()))?;
    Ok(StoredHead { record, revision })
}

/// Reads and validates the configuration of a head record.
///
/// # Errors
///
/// Fails when a part is missing, the digest does not match or the text has faults.
pub fn read_document(kv: &KvClient, record: &HeadRecord) -> Result<Document, StoreError> {
    let count = record.parts.len();
    if count > MAX_PARTS {
        return Err(StoreError::Corrupt(format!("it has {count} parts, over {MAX_PARTS}")));
    }
    let mut text = String::new();
    for key in &record.parts {
        let part = kv.get(key).map_err(StoreError::Kv)?;
        let part = part.ok_or_else(|| StoreError::Corrupt(format!("part `{key}` is missing")))?;
        text.push_str(&part.value);
    }
    let document = parse(&text).map_err(StoreError::Invalid)?;
    if document.digest == record.digest {
        Ok(document)
    } else {
        Err(StoreError::Corrupt("the digest does not match".to_owned()))
    }
}

/// Applies a validated document as the version after `base`.
///
/// # Errors
///
/// [`StoreError::Conflict`] when the head is no longer at `base`.
pub fn apply(
    kv: &KvClient,
    document: &Document,
    base: &StoredHead,
    author: &str,
    token: u64,
) -> Result<HeadRecord, StoreError> {
    let version = base.record.version + 1;
    if base.record.version > 0 {
        // The writer of the base version may have exited before it wrote its history record.
        write_history(kv, &base.record);
    }
    let oldest =
        delete_old(kv, base.record.oldest.max(1), version.saturating_sub(RETAINED_VERSIONS));
    let parts = write_parts(kv, &document.text, version, token)?;
    let trail = std::iter::once(base.record.token).chain(base.record.trail.iter().copied());
    let record = HeadRecord {
        version,
        digest: document.digest,
        parts,
        author: author.to_owned(),
        token,
        trail: trail.take(MAX_TRAIL).collect(),
        oldest,
    };
    let value = serde_json::to_string(&record).unwrap_or_default();
    let swapped = match kv.put(HEAD_KEY, &value, base.revision, None) {
        Ok(_) => Ok(()),
        Err(KvError::Conflict(_) | KvError::OutcomeUnknown(_)) => {
            determine_outcome(kv, version, token, base)
        }
        Err(e) => Err(StoreError::Kv(e)),
    };
    match swapped {
        Ok(()) => write_history(kv, &record),
        Err(StoreError::Conflict(_)) => record.parts.iter().for_each(|key| drop(delete(kv, key))),
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
    for part in split_parts(text) {
        let key = format!("config/parts/{version}-{token:016x}-{}", keys.len());
        match kv.put(&key, part, 0, None) {
            // The token makes the key unique to this writer: a conflict means that
            // its own earlier write succeeded and the response was lost.
            Ok(_) | Err(KvError::Conflict(_)) => {}
            Err(KvError::OutcomeUnknown(_)) => ensure_part(kv, &key, part)?,
            Err(e) => return Err(StoreError::Kv(e)),
        }
        keys.push(key);
    }
    Ok(keys)
}

fn ensure_part(kv: &KvClient, key: &str, part: &str) -> Result<(), StoreError> {
    match kv.get(key).map_err(StoreError::Kv)? {
        Some(entry) if entry.value == part => Ok(()),
        _ => kv.put(key, part, 0, None).map(drop).map_err(StoreError::Kv),
    }
}

/// Determines whether a swap took effect although its response was lost.
///
/// Another operator may have applied a later version in the meantime, so the
/// tokens in the head are compared. A head older than `base` is a stale read.
fn determine_outcome(
    kv: &KvClient,
    version: ConfigVersion,
    token: u64,
    base: &StoredHead,
) -> Result<(), StoreError> {
    for _ in 0..OUTCOME_READS {
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

/// Deletes versions from `oldest` up to `end` and returns the oldest remaining.
fn delete_old(kv: &KvClient, oldest: ConfigVersion, end: ConfigVersion) -> ConfigVersion {
    let range = oldest..end.min(oldest + MAX_DELETIONS);
    range.clone().find(|v| delete_version(kv, *v).is_err()).unwrap_or(range.end.max(oldest))
}

fn delete_version(kv: &KvClient, version: ConfigVersion) -> Result<(), KvError> {
    let key = history_key(version);
    let Some(entry) = kv.get(&key)? else { return Ok(()) };
    if let Ok(record) = serde_json::from_str::<HeadRecord>(&entry.value) {
        record.parts.iter().try_for_each(|part| delete(kv, part))?;
    }
    kv.delete(&key, entry.revision)
}

fn delete(kv: &KvClient, key: &str) -> Result<(), KvError> {
    match kv.get(key)? {
        Some(entry) => kv.delete(key, entry.revision),
        None => Ok(()),
    }
}

/// Returns the key of the history record of a version.
pub fn history_key(version: ConfigVersion) -> String {
    format!("config/history/{version}")
}

/// Writes the history record; only the head decides which version is in force.
fn write_history(kv: &KvClient, record: &HeadRecord) {
    let value = serde_json::to_string(record).unwrap_or_default();
    if let Err(e) = kv.put(&history_key(record.version), &value, 0, None) {
        log::warn!("operator: history record of version {} was not written: {e}.", record.version);
    }
}

/// Splits the text into parts at character boundaries.
fn split_parts(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (part, after) = rest.split_at(rest.floor_char_boundary(MAX_PART_BYTES.min(rest.len())));
        parts.push(part);
        rest = after;
    }
    parts
}
