//! Client of the platform's list of instances and targets, which lags behind.

use mimosapass_core::labels::Labels;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::http::{CALL_TIMEOUT, agent};
use crate::kv::KvError;

/// Maximum size of the list.
const MAX_LIST_BYTES: u64 = 4 * 1024 * 1024;

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
        let members = body.read_json().map_err(|e| KvError::Unavailable(e.to_string()))?;
        *etag = new_etag;
        Ok(Some(members))
    }
}
