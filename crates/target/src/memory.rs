//! Client for the memory allocations of an engine.
//!
//! Each allocation has an identifier, a holder and an expiry by the engine's own
//! clock, so that clocks need not be synchronised. Each call is idempotent and
//! may be repeated after a lost response.

use std::time::Duration;

use mimosapass_core::whole;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::client::{call_error, read_json};
use crate::engine::check_status;
use crate::error::CallError;

/// Time-out for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What an allocation is used for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Purpose {
    /// A running or interrupted stream.
    Stream,
    /// A reservation on one engine of a group, for one prompt.
    Reservation,
    /// An exported KV cache.
    Block,
}

/// One allocation of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allocation {
    /// Identifier of the attempt, the reservation or the block.
    pub id: String,
    /// Instance that renews it.
    pub holder: String,
    /// What it is used for.
    #[serde(rename = "use")]
    pub purpose: Purpose,
    /// Size, in tokens.
    #[serde(deserialize_with = "whole::number")]
    pub tokens: u64,
    /// Time since its expiry, in milliseconds; 0 if it has not expired.
    #[serde(deserialize_with = "whole::number")]
    pub expired_ms: u64,
}

/// The allocations of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allocations {
    /// Boot number of the engine's process.
    #[serde(deserialize_with = "whole::number")]
    pub boot: u64,
    /// The allocations.
    pub held: Vec<Allocation>,
}

/// Holder and expiry of a new allocation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Identifier of the allocation.
    pub id: String,
    /// Instance that renews it.
    pub holder: String,
    /// Time until its expiry, in milliseconds.
    pub expiry_ms: u64,
}

/// Renewal of all allocations of one holder on one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Renew {
    /// Instance that renews.
    pub holder: String,
    /// Time until the new expiry, in milliseconds.
    pub expiry_ms: u64,
    /// Identifiers of the allocations.
    pub ids: Vec<String>,
}

/// Outcome of a renewal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Renewed {
    /// Boot number of the engine's process.
    #[serde(deserialize_with = "whole::number")]
    pub boot: u64,
    /// Identifiers of which the holder has no allocation.
    pub unknown: Vec<String>,
}

/// Request to free allocations.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cancel {
    /// Identifiers of the allocations.
    pub ids: Vec<String>,
    /// Whether to free only expired allocations.
    #[serde(default)]
    pub expired: bool,
}

/// Request to reserve memory on one engine of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reserve {
    /// Holder and expiry.
    #[serde(flatten)]
    pub claim: Claim,
    /// Size, in tokens.
    pub tokens: u64,
}

/// Request to export the KV cache of a stream as a block.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Export {
    /// Holder and expiry of the block.
    #[serde(flatten)]
    pub claim: Claim,
    /// Attempt whose KV cache is exported.
    pub attempt: String,
}

/// An exported block.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Block {
    /// Size, in tokens.
    #[serde(deserialize_with = "whole::number")]
    pub tokens: u64,
}

/// Request to import a block from another engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Import {
    /// Holder and expiry of the imported block.
    #[serde(flatten)]
    pub claim: Claim,
    /// Address of the engine that holds the block, `IP:port`.
    pub from: String,
    /// Size, in tokens.
    pub tokens: u64,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event; numbers may be missing.
    #[serde(deserialize_with = "whole::number")]
    pub number: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Tokens cached for it; 0 if it was evicted.
    #[serde(deserialize_with = "whole::number")]
    pub tokens: u64,
}

/// Lists the allocations of an engine, all or only the `expired` ones.
///
/// # Errors
///
/// Fails when the engine does not respond in time.
pub fn allocations(agent: &Agent, addr: &str, expired: bool) -> Result<Allocations, CallError> {
    get(agent, &format!("http://{addr}/held?expired={}", u8::from(expired)))
}

/// Renews allocations of one holder in one call.
///
/// # Errors
///
/// Fails when the engine does not respond in time.
pub fn renew(agent: &Agent, addr: &str, renew: &Renew) -> Result<Renewed, CallError> {
    post(agent, addr, "renew", renew)
}

/// Frees allocations; unknown identifiers count as freed.
///
/// # Errors
///
/// Fails when the engine did not confirm; the call must then be repeated.
pub fn cancel(agent: &Agent, addr: &str, cancel: &Cancel) -> Result<(), CallError> {
    post::<_, IgnoredAny>(agent, addr, "cancel", cancel).map(drop)
}

/// Reserves memory on one engine of a group.
///
/// # Errors
///
/// [`CallError::Refused`] when the engine has too little free memory.
pub fn reserve(agent: &Agent, addr: &str, reserve: &Reserve) -> Result<(), CallError> {
    post::<_, IgnoredAny>(agent, addr, "reserve", reserve).map(drop)
}

/// Exports the KV cache of a stream as a block, which is held until freed.
///
/// # Errors
///
/// Fails when the engine has no allocation for the stream.
pub fn export(agent: &Agent, addr: &str, export: &Export) -> Result<Block, CallError> {
    post(agent, addr, "export", export)
}

/// Imports a block that another engine holds.
///
/// # Errors
///
/// [`CallError::Refused`] when the engine has too little free memory.
pub fn import(agent: &Agent, addr: &str, import: &Import) -> Result<(), CallError> {
    post::<_, IgnoredAny>(agent, addr, "import", import).map(drop)
}

/// Fetches the cache events after number `after`; they are late and have gaps.
///
/// # Errors
///
/// Fails when the engine does not respond in time.
pub fn cache_events(agent: &Agent, addr: &str, after: u64) -> Result<Vec<CacheEvent>, CallError> {
    get(agent, &format!("http://{addr}/events?after={after}"))
}

fn get<T: DeserializeOwned>(agent: &Agent, url: &str) -> Result<T, CallError> {
    let request = agent.get(url).config().timeout_global(Some(CALL_TIMEOUT)).build();
    let mut response = check_status(request.call().map_err(|e| call_error(&e))?)?;
    read_json(&mut response)
}

fn post<S, T>(agent: &Agent, addr: &str, call: &str, body: &S) -> Result<T, CallError>
where
    S: Serialize,
    T: DeserializeOwned,
{
    let request = agent.post(format!("http://{addr}/{call}"));
    let request = request.config().timeout_global(Some(CALL_TIMEOUT)).build();
    let mut response = check_status(request.send_json(body).map_err(|e| call_error(&e))?)?;
    read_json(&mut response)
}
