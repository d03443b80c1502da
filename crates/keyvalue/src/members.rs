//! Client of the platform's lagging list of instances and targets.

use mimosapass_core::labels::Labels;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::http::{CALL, agent};
use crate::kv::KvError;

/// Longest list, in bytes.
const LONGEST: u64 = 4 * 1024 * 1024;

/// Kind of member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Entry instance of the system; its address is the one for peers.
    Entry,
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// One member of the list.
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
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Client of the list.
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
    /// Fails when the platform gives no answer in time.
    pub fn read(&self) -> Result<Vec<Member>, KvError> {
        Ok(self.read_if_changed(&mut None)?.unwrap_or_default())
    }

    /// Reads the list unless it still has the entity tag `tag`; `None` if so.
    ///
    /// At 980 members the whole list has some 150 KB, and few changes an hour.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer in time.
    pub fn read_if_changed(
        &self,
        tag: &mut Option<String>,
    ) -> Result<Option<Vec<Member>>, KvError> {
        let mut request = self.agent.get(&self.url);
        if let Some(tag) = tag {
            request = request.header("if-none-match", tag.as_str());
        }
        let request = request.config().timeout_global(Some(CALL)).build();
        let mut response = request.call().map_err(|e| KvError::Unavailable(e.to_string()))?;
        match response.status().as_u16() {
            304 => return Ok(None),
            200 => {}
            status => return Err(KvError::Unavailable(format!("status {status}"))),
        }
        let found = response.headers().get("etag").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = response.body_mut().with_config().limit(LONGEST);
        let members = body.read_json().map_err(|e| KvError::Unavailable(e.to_string()))?;
        *tag = found;
        Ok(Some(members))
    }
}
