//! Client of the platform's list of instances and targets, which lags behind.

use std::net::SocketAddr;

use mimosapass_core::labels::Labels;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use ureq::Agent;

use crate::http::{CALL_TIMEOUT, agent};
use crate::kv::KvError;

/// Maximum size of the list.
const MAX_LIST_BYTES: u64 = 4 * 1024 * 1024;
/// Maximum size of one entry; most of it is for labels.
const MAX_MEMBER_BYTES: usize = 64 * 1024;
/// Longest part of an error that is logged.
const MAX_ERROR_CHARS: usize = 200;

/// Kind of member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Entry instance; its address is the one for peers.
    Entry,
    /// Model engine.
    Engine,
    /// Service that is not a model engine.
    Service,
}

/// One entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: String,
    /// Kind of member.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// Address, `IP:port`.
    pub addr: String,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
    /// Whether it is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

/// Decodes a list, each entry by itself, so that an invalid one hides no other.
///
/// Entries that are invalid are skipped and logged in one line.
///
/// # Errors
///
/// Fails when the bytes are no list.
pub fn decode(json: &[u8]) -> Result<Vec<Member>, serde_json::Error> {
    // Bytes that are no UTF-8 make their own entry invalid, and not the list.
    let json = String::from_utf8_lossy(json);
    let entries: Vec<&RawValue> = serde_json::from_str(&json)?;
    let (mut members, mut invalid) = (Vec::with_capacity(entries.len()), None);
    for entry in &entries {
        match decode_member(entry) {
            Ok(member) => members.push(member),
            Err(e) => drop(invalid.get_or_insert(e)),
        }
    }
    if let Some(first) = invalid {
        let count = entries.len() - members.len();
        let shown: String = first.chars().take(MAX_ERROR_CHARS).collect();
        log::warn!("members: skipped {count} invalid entries, the first one: {shown}.");
    }
    Ok(members)
}

fn decode_member(entry: &RawValue) -> Result<Member, String> {
    if entry.get().len() > MAX_MEMBER_BYTES {
        return Err(format!("an entry has {} bytes", entry.get().len()));
    }
    let member: Member = serde_json::from_str(entry.get()).map_err(|e| e.to_string())?;
    let addr: SocketAddr = member.addr.parse().map_err(|e| format!("its address: {e}"))?;
    if addr.port() == 0 || addr.ip().is_unspecified() {
        return Err(format!("nothing can listen at {addr}"));
    }
    if member.name.is_empty() || !member.name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("its name is empty or has other characters than visible ASCII".to_owned());
    }
    Ok(member)
}

/// Client of the list of members.
#[derive(Clone, Debug)]
pub struct MembersClient {
    agent: Agent,
    url: String,
}

impl MembersClient {
    /// Builds a client for the platform at `addr`, `IP:port`.
    pub fn new(addr: &str) -> Self {
        Self { agent: agent(), url: format!("http://{addr}/instances") }
    }

    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond in time.
    pub fn read(&self) -> Result<Vec<Member>, KvError> {
        Ok(self.read_if_changed(&mut None)?.unwrap_or_default())
    }

    /// Reads the list unless its entity tag is still `etag`, and updates `etag`.
    ///
    /// Returns `None` for an unchanged list. With 980 members the list has about
    /// 150 KB and changes a few times an hour.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond in time.
    pub fn read_if_changed(
        &self,
        etag: &mut Option<String>,
    ) -> Result<Option<Vec<Member>>, KvError> {
        let mut request = self.agent.get(&self.url);
        if let Some(etag) = etag {
            request = request.header("if-none-match", etag.as_str());
        }
        let request = request.config().timeout_global(Some(CALL_TIMEOUT)).build();
        let mut response = request.call().map_err(|e| KvError::Unavailable(e.to_string()))?;
        match response.status().as_u16() {
            304 => return Ok(None),
            200 => {}
            status => return Err(KvError::Unavailable(format!("status {status}"))),
        }
        let new_etag =
            response.headers().get("etag").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = response.body_mut().with_config().limit(MAX_LIST_BYTES);
        let json = body.read_to_vec().map_err(|e| KvError::Unavailable(e.to_string()))?;
        let members = decode(&json).map_err(|e| KvError::Unavailable(e.to_string()))?;
        *etag = new_etag;
        Ok(Some(members))
    }
}
