//! Client of the platform's lagging list of instances and targets.

use mimosapass_core::labels::Labels;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::http::{CALL, agent};
use crate::kv::KvError;

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
pub struct List {
    agent: Agent,
    url: String,
}

impl List {
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
        let request = self.agent.get(&self.url).config().timeout_global(Some(CALL)).build();
        let mut response = request.call().map_err(|e| KvError::Unavailable(e.to_string()))?;
        if response.status() != 200 {
            return Err(KvError::Unavailable(format!("status {}", response.status())));
        }
        let body = response.body_mut().with_config().limit(4 * 1024 * 1024);
        body.read_json().map_err(|e| KvError::Unavailable(e.to_string()))
    }
}
