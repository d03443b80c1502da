//! Admission: workspace, class, deadline and the limit of requests in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_caller::error_response::REQUEST_ID;
use mimosapass_caller::exchange::Exchange;
use mimosapass_core::classify::{RequestedWork, classify};
use mimosapass_core::config::Class;
use mimosapass_core::error::{Failure, Kind};
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
pub const KEY: &str = "idempotency-key";
/// Longest identifier of a caller, in bytes.
const LONGEST_ID: usize = 128;

/// An admitted request; dropping it frees its place in the workspace's limit.
#[derive(Debug)]
pub struct Admitted {
    /// Configuration under which it was admitted.
    pub document: Arc<Document>,
    /// Class of work.
    pub class: Class,
    /// Identifier of the request.
    pub id: String,
    /// When the request came.
    pub start: Instant,
    /// When it must be answered.
    pub end: Instant,
    place: Place,
}

impl Admitted {
    /// Returns the name of the workspace.
    pub fn workspace(&self) -> &str {
        &self.place.workspace
    }

    /// Caps the deadline to what an idempotency record can protect.
    pub fn cap(&mut self) {
        self.end = self.end.min(self.start + MAX_DURATION);
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }
}

#[derive(Debug)]
struct Place {
    node: Arc<Node>,
    workspace: WorkspaceId,
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(count) = self.node.state().in_flight.get_mut(&self.workspace) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Returns the identifier that the caller chose, if it is a sound one.
///
/// # Errors
///
/// [`Kind::BadRequest`] when it is too long or not plain text.
pub fn caller_id(exchange: &Exchange<'_>) -> Result<Option<String>, Failure> {
    let head = &exchange.head;
    checked(head.header(REQUEST_ID).or_else(|| head.header(KEY)))
}

/// Returns the identifier that all tries of one request share, if there is one.
///
/// Callers may number their tries by request and state one key for all.
///
/// # Errors
///
/// As [`caller_id`].
pub fn record_id(exchange: &Exchange<'_>) -> Result<Option<String>, Failure> {
    let head = &exchange.head;
    checked(head.header(KEY).or_else(|| head.header(REQUEST_ID)))
}

fn checked(stated: Option<&str>) -> Result<Option<String>, Failure> {
    match stated {
        None => Ok(None),
        Some(id) if sound(id) => Ok(Some(id.to_owned())),
        Some(_) => {
            let text = format!("write 1 to {LONGEST_ID} letters, digits, `-`, `_`, `.` as id");
            Err(Failure::new(Kind::BadRequest, text))
        }
    }
}

fn sound(id: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=LONGEST_ID).contains(&id.len()) && id.bytes().all(plain)
}

/// Admits a request or says why not.
///
/// # Errors
///
/// Any kind that is decided before a target is chosen.
pub fn admit(
    node: &Arc<Node>,
    exchange: &Exchange<'_>,
    document: &Arc<Document>,
    id: &str,
    work: RequestedWork<'_>,
) -> Result<Admitted, Failure> {
    let config = &document.config;
    let name = exchange.head.header(WORKSPACE).unwrap_or_default();
    let space = config.workspace(name).ok_or_else(|| {
        let text = format!("no workspace `{name}`; state one in the header `{WORKSPACE}`");
        Failure::new(Kind::UnknownWorkspace, text)
    })?;
    let class = classify(config, space, exchange.head.header(CLASS), work)?.clone();
    let time = deadline(exchange)?.unwrap_or_else(|| class.deadline());
    let start = Instant::now();
    let place = enter(node, &space.name, space.in_flight)?;
    exchange.set_deadline(start + time);
    let id = id.to_owned();
    let document = Arc::clone(document);
    Ok(Admitted { document, class, id, start, end: start + time, place })
}

fn deadline(exchange: &Exchange<'_>) -> Result<Option<Duration>, Failure> {
    let Some(stated) = exchange.head.header(DEADLINE) else { return Ok(None) };
    match stated.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms.min(86_400_000)))),
        _ => {
            let text = format!("`{DEADLINE}` is no number of milliseconds");
            Err(Failure::new(Kind::BadRequest, text))
        }
    }
}

fn enter(node: &Arc<Node>, name: &WorkspaceId, most: usize) -> Result<Place, Failure> {
    let mut state = node.state();
    let count = state.in_flight.entry(WorkspaceId::clone(name)).or_insert(0);
    if *count >= most {
        let text = format!("{most} requests of this workspace are in flight");
        return Err(Failure::new(Kind::WorkspaceLimit, text).with_jitter(rand::random()));
    }
    *count += 1;
    drop(state);
    Ok(Place { node: Arc::clone(node), workspace: WorkspaceId::clone(name) })
}
