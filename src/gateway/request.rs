//! Resolves the route, workspace and limits of a request.

use std::sync::Arc;
use std::time::Instant;

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::head::Head;
use mimosapass_core::edge::quarantine::Admission;
use mimosapass_core::edge::route_table::{RetryPolicy, Route, RouteTable, Workspace};
use mimosapass_core::edge::schedule::{Requirements, TokenCounts};
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::figure;
use mimosapass_core::ids::{PartId, WorkspaceId};
use mimosapass_platform::header;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::detour;
use super::state::Gateway;

/// A request that the configuration allows.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier of the caller's attempt.
    pub attempt_id: String,
    /// Route.
    pub route: Arc<Route>,
    /// Workspace of the API key, if the caller sent a known one.
    pub workspace: Option<Arc<Workspace>>,
    /// Requirements on a placement.
    pub requirements: Requirements,
    /// Earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// Identifier of the last event that the caller received.
    pub last_event: Option<String>,
    /// Parts of the prompt that other requests may have too, and the digest.
    pub parts: Vec<PartId>,
    /// Digest of its path, caller and body, equal for a request that comes again.
    pub digest: u64,
    /// How it was admitted in spite of these.
    pub admission: Admission,
    /// Whether it comes over a peer.
    pub detoured: bool,
}

impl Request {
    /// Returns whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
    }
}

/// Resolves a request against the configuration.
///
/// # Errors
///
/// Fails when the configuration does not allow the request.
pub fn resolve(
    table: &RouteTable,
    exchange: &Exchange<'_>,
    arrived: Instant,
) -> Result<Request, Failure> {
    let head = &exchange.head;
    if table.version == 0 {
        return Err(Failure::new(Kind::NotReady, "no configuration has been loaded yet"));
    }
    let attempt_id = head.header(header::ATTEMPT_ID).unwrap_or_default().to_owned();
    let host = head.header("host").unwrap_or_default();
    let route = table.route(host, &head.path);
    let route =
        route.ok_or_else(|| Failure::new(Kind::NotFound, "no route matches the host and path"))?;
    let workspace = workspace(table, route, head)?;
    let attempts: Option<u32> = head.header(detour::ATTEMPTS).and_then(|v| v.parse().ok());
    let route = &bound_attempts(route, attempts);
    let draw = (xxh3_64(attempt_id.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    let service = route.service(draw).or_else(|| route.split.first().map(|s| &s.service));
    let service =
        service.ok_or_else(|| Failure::new(Kind::NoTarget, "the route names no service"))?;
    let stated = head.header(header::DEADLINE).and_then(header::millis);
    let timeout = stated.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + timeout;
    let (prompt, max_answer) =
        head.header(header::TOKENS).and_then(header::tokens).unwrap_or((0, 0));
    let hint = head.header(header::ANSWER_HINT).and_then(figure::parse_whole);
    let tokens = TokenCounts { prompt, max_answer, answer_hint: hint };
    let mut requirements = Requirements::new(table, route, service, tokens, arrived, deadline);
    requirements.kind.workspace = workspace.as_ref().map(|w| WorkspaceId::clone(&w.name));
    if let Some(priority) = workspace.as_ref().and_then(|w| w.priority) {
        requirements.entry.priority = priority;
    }
    let last_event = head.header(header::LAST_EVENT).map(str::to_owned);
    let digest = digest(exchange);
    // A service that answers does not show that an engine can write on a part.
    let stated = head.header(header::PROMPT_PARTS).filter(|_| requirements.engine.is_some());
    let mut parts = stated.map(header::shared_parts).unwrap_or_default();
    parts.push(digest);
    Ok(Request {
        attempt_id,
        route: Arc::clone(route),
        workspace,
        requirements,
        deadline,
        last_event,
        parts,
        digest,
        admission: Admission::Free,
        detoured: attempts.is_some(),
    })
}

/// Returns the route with at most as many attempts as are stated.
fn bound_attempts(route: &Arc<Route>, stated: Option<u32>) -> Arc<Route> {
    match stated {
        Some(attempts) if attempts < route.attempts => {
            Arc::new(Route { attempts: attempts.max(1), ..Route::clone(route) })
        }
        _ => Arc::clone(route),
    }
}

/// Returns a digest of the path, the caller and the body of a request.
fn digest(exchange: &Exchange<'_>) -> u64 {
    let (head, mut hash) = (&exchange.head, Xxh3::new());
    let caller = head.header(header::AUTHORIZATION).unwrap_or_default();
    let host = head.header("host").unwrap_or_default();
    for field in [&*head.method, host, &*head.target, caller] {
        // The length keeps fields apart.
        hash.update(&field.len().to_le_bytes());
        hash.update(field.as_bytes());
    }
    hash.update(&exchange.body);
    hash.digest()
}

/// Replaces a failure that calls the request wrong, unless the configuration is current.
pub fn doubt(gateway: &Gateway, failure: Failure, version: u64, now: Instant) -> Failure {
    let wrong = matches!(failure.kind, Kind::NotFound | Kind::UnknownKey);
    if !wrong || gateway.state().config_is_current(version, now) {
        return failure;
    }
    Failure::new(Kind::NotReady, format!("{}, but the configuration may be old", failure.detail))
}

fn workspace(
    table: &RouteTable,
    route: &Route,
    head: &Head,
) -> Result<Option<Arc<Workspace>>, Failure> {
    let key = head.header(header::AUTHORIZATION).and_then(header::api_key);
    let workspace = key.and_then(|key| table.workspace(key)).map(Arc::clone);
    if workspace.is_none() && table.requires_key && !route.public {
        return Err(Failure::new(Kind::UnknownKey, "the API key belongs to no workspace"));
    }
    Ok(workspace)
}
