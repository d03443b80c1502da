//! Client of an engine's memory: what it holds, for whom, and for how long.
//!
//! Everything an engine holds has an identifier, a holder and an expiry by the
//! engine's own clock, so that no clocks have to agree. Each call is idempotent
//! and may be repeated after a lost answer.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::client::call_error;
use crate::engine::checked;
use crate::error::CallError;

/// Time for one call.
const SHORT: Duration = Duration::from_secs(2);

/// What an engine holds memory for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Purpose {
    /// A running or broken off stream.
    Stream,
    /// A part of a group of engines that was reserved for one prompt.
    Reservation,
    /// Exported KV cache.
    Block,
}

/// One piece of memory that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allocation {
    /// Identifier of the attempt, the reservation or the block.
    pub id: String,
    /// Instance that renews it.
    pub holder: String,
    /// What it is held for.
    #[serde(rename = "use")]
    pub purpose: Purpose,
    /// Size, in tokens.
    pub tokens: u64,
    /// Time for which it has been expired, in milliseconds; 0 before.
    pub expired_ms: u64,
}

/// What an engine holds, and the boot that holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allocations {
    /// Start number of the engine's process.
    pub boot: u64,
    /// The pieces.
    pub held: Vec<Allocation>,
}

/// Holder and expiry of a new piece.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Identifier of the piece.
    pub id: String,
    /// Instance that renews it.
    pub holder: String,
    /// Time from now to its expiry, in milliseconds.
    pub expiry_ms: u64,
}

/// Renewal of all claims of one holder at one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Renew {
    /// Instance that renews.
    pub holder: String,
    /// Time from now to the new expiry, in milliseconds.
    pub expiry_ms: u64,
    /// Identifiers of the pieces.
    pub ids: Vec<String>,
}

/// Outcome of a renewal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Renewed {
    /// Start number of the engine's process.
    pub boot: u64,
    /// Identifiers that the engine does not hold.
    pub unknown: Vec<String>,
}

/// Request to free pieces.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cancel {
    /// Identifiers of the pieces.
    pub ids: Vec<String>,
    /// Whether only pieces past their expiry are to be freed.
    #[serde(default)]
    pub expired: bool,
}

/// Request to reserve memory for a part of a group.
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
    /// Attempt whose cache is exported.
    pub attempt: String,
}

/// An exported block.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Block {
    /// Size, in tokens.
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
    /// Number of the change; numbers may be left out.
    pub number: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Tokens cached for it; 0 when it was evicted.
    pub tokens: u64,
}

/// Lists what an engine holds; `expired` leaves out what is not yet expired.
///
/// # Errors
///
/// Fails when the engine does not answer in time.
pub fn allocations(agent: &Agent, addr: &str, expired: bool) -> Result<Allocations, CallError> {
    get(agent, &format!("http://{addr}/held?expired={}", u8::from(expired)))
}

/// Renews all claims of one holder in one call.
///
/// # Errors
///
/// Fails when the engine does not answer in time.
pub fn renew(agent: &Agent, addr: &str, renew: &Renew) -> Result<Renewed, CallError> {
    post(agent, addr, "renew", renew)
}

/// Frees pieces; unknown identifiers count as freed.
///
/// # Errors
///
/// Fails when the engine did not confirm; the call must then be repeated.
pub fn cancel(agent: &Agent, addr: &str, cancel: &Cancel) -> Result<(), CallError> {
    post::<_, serde_json::Value>(agent, addr, "cancel", cancel).map(drop)
}

/// Reserves memory for a part of a group.
///
/// # Errors
///
/// [`CallError::Refused`] when the engine has too little free memory.
pub fn reserve(agent: &Agent, addr: &str, reserve: &Reserve) -> Result<(), CallError> {
    post::<_, serde_json::Value>(agent, addr, "reserve", reserve).map(drop)
}

/// Exports the KV cache of a stream; the engine holds the block until freed.
///
/// # Errors
///
/// Fails when the engine does not hold the stream.
pub fn export(agent: &Agent, addr: &str, export: &Export) -> Result<Block, CallError> {
    post(agent, addr, "export", export)
}

/// Imports a block that another engine holds.
///
/// # Errors
///
/// [`CallError::Refused`] when the engine has too little free memory.
pub fn import(agent: &Agent, addr: &str, import: &Import) -> Result<(), CallError> {
    post::<_, serde_json::Value>(agent, addr, "import", import).map(drop)
}

/// Reads the cache events after number `after`; they come late and with gaps.
///
/// # Errors
///
/// Fails when the engine does not answer in time.
pub fn cache_events(agent: &Agent, addr: &str, after: u64) -> Result<Vec<CacheEvent>, CallError> {
    get(agent, &format!("http://{addr}/events?after={after}"))
}

fn get<T: DeserializeOwned>(agent: &Agent, url: &str) -> Result<T, CallError> {
    let request = agent.get(url).config().timeout_global(Some(SHORT)).build();
    let mut response = checked(request.call().map_err(|e| call_error(&e))?)?;
    response.body_mut().read_json().map_err(|e| call_error(&e))
}

fn post<S, T>(agent: &Agent, addr: &str, call: &str, body: &S) -> Result<T, CallError>
where
    S: Serialize,
    T: DeserializeOwned,
{
    let request = agent.post(format!("http://{addr}/{call}"));
    let request = request.config().timeout_global(Some(SHORT)).build();
    let mut response = checked(request.send_json(body).map_err(|e| call_error(&e))?)?;
    response.body_mut().read_json().map_err(|e| call_error(&e))
}
