//! Admission: workspace, class, deadline and the limit of requests in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_caller::error_response::REQUEST_ID;
use mimosapass_caller::exchange::Exchange;
use mimosapass_core::classify::{RequestedWork, classify};
use mimosapass_core::config::Class;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::figure;
use mimosapass_core::idempotency::MAX_DURATION;
use mimosapass_core::ids::WorkspaceId;
use mimosapass_operator::document::Document;

use crate::node::Node;

/// Header with the name of the workspace.
pub const WORKSPACE: &str = "mimosapass-workspace";
/// Header with the class that the caller asks for.
pub const CLASS: &str = "mimosapass-class";
/// Header with the remaining time, in milliseconds.
pub const DEADLINE: &str = "mimosapass-deadline-ms";
/// Header with the identifier that all tries of one request share.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest remaining time that counts, in milliseconds.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;
/// Maximum length of an identifier.
const MAX_ID_BYTES: usize = 128;

/// An admitted request; dropping it frees its slot in the workspace's limit.
#[derive(Debug)]
pub struct Admitted {
    /// Configuration under which it was admitted.
    pub document: Arc<Document>,
    /// Class of work.
    pub class: Class,
    /// Identifier of the request.
    pub id: String,
    /// When the request was admitted.
    pub start: Instant,
    /// When it must be answered at the latest.
    pub deadline: Instant,
    slot: InFlightSlot,
}

impl Admitted {
    /// Returns the name of the workspace.
    pub fn workspace(&self) -> &str {
        &self.slot.workspace
    }

    /// Caps the deadline to what an idempotency record can protect.
    pub fn cap_deadline(&mut self) {
        self.deadline = self.deadline.min(self.start + MAX_DURATION);
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

#[derive(Debug)]
struct InFlightSlot {
    node: Arc<Node>,
    workspace: WorkspaceId,
}

impl Drop for InFlightSlot {
    fn drop(&mut self) {
        if let Some(count) = self.node.state().in_flight.get_mut(&self.workspace) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Returns the identifier that the caller chose, if any.
///
/// # Errors
///
/// [`Kind::BadRequest`] when it is too long or has other characters than letters,
/// digits, `-`, `_` and `.`.
pub fn caller_id(exchange: &Exchange<'_>) -> Result<Option<String>, Failure> {
    let head = &exchange.head;
    validated(head.header(REQUEST_ID).or_else(|| head.header(IDEMPOTENCY_KEY)))
}

/// Returns the identifier that all tries of one request share, if there is one.
///
/// A caller may give each try a request id of its own and all tries one key.
///
/// # Errors
///
/// As [`caller_id`].
pub fn idempotency_id(exchange: &Exchange<'_>) -> Result<Option<String>, Failure> {
    let head = &exchange.head;
    validated(head.header(IDEMPOTENCY_KEY).or_else(|| head.header(REQUEST_ID)))
}

fn validated(value: Option<&str>) -> Result<Option<String>, Failure> {
    match value {
        None => Ok(None),
        Some(id) if is_valid_id(id) => Ok(Some(id.to_owned())),
        Some(_) => {
            let text = format!("write 1 to {MAX_ID_BYTES} letters, digits, `-`, `_`, `.` as id");
            Err(Failure::new(Kind::BadRequest, text))
        }
    }
}

fn is_valid_id(id: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(allowed)
}

/// Admits a request.
///
/// # Errors
///
/// Any kind that is determined before a target is chosen.
pub fn admit(
    node: &Arc<Node>,
    exchange: &Exchange<'_>,
    document: &Arc<Document>,
    id: &str,
    work: RequestedWork<'_>,
) -> Result<Admitted, Failure> {
    let config = &document.config;
    let name = exchange.head.header(WORKSPACE).unwrap_or_default();
    let workspace = config.workspace(name).ok_or_else(|| {
        let text = format!("no workspace `{name}`; set one in the header `{WORKSPACE}`");
        Failure::new(Kind::UnknownWorkspace, text)
    })?;
    let class = classify(config, workspace, exchange.head.header(CLASS), work)?.clone();
    let time = requested_deadline(exchange)?.unwrap_or_else(|| class.deadline());
    let start = Instant::now();
    if node.stops_before(start + time) {
        let text = "the instance is stopping and might not finish the request";
        return Err(Failure::new(Kind::Stopping, text));
    }
    let slot = take_slot(node, &workspace.name, workspace.in_flight)?;
    exchange.set_deadline(start + time);
    let id = id.to_owned();
    let document = Arc::clone(document);
    Ok(Admitted { document, class, id, start, deadline: start + time, slot })
}

fn requested_deadline(exchange: &Exchange<'_>) -> Result<Option<Duration>, Failure> {
    let Some(value) = exchange.head.header(DEADLINE) else { return Ok(None) };
    match figure::parse(value) {
        Some(ms) if ms > 0.0 => Ok(Some(figure::millis(ms.min(MAX_DEADLINE_MS)))),
        _ => {
            let text = format!("`{DEADLINE}` is not a positive number of milliseconds");
            Err(Failure::new(Kind::BadRequest, text))
        }
    }
}

fn take_slot(node: &Arc<Node>, name: &WorkspaceId, limit: usize) -> Result<InFlightSlot, Failure> {
    let mut state = node.state();
    let count = state.in_flight.entry(WorkspaceId::clone(name)).or_insert(0);
    if *count >= limit {
        let text = format!("{limit} requests of this workspace are in flight");
        return Err(Failure::new(Kind::WorkspaceLimit, text).with_jitter(rand::random()));
    }
    *count += 1;
    drop(state);
    Ok(InFlightSlot { node: Arc::clone(node), workspace: WorkspaceId::clone(name) })
}
