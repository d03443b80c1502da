//! Reads a request and finds its route and workspace.

use std::sync::Arc;
use std::time::Instant;

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::head::Head;
use mimosapass_core::edge::plan::{RetryPolicy, Route, RouteTable, Workspace};
use mimosapass_core::edge::schedule::{Need, TokenCounts};
use mimosapass_core::error::{Failure, Kind};
use mimosapass_platform::header;
use xxhash_rust::xxh3::xxh3_64;

/// A request that may be sent to a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier of the caller's attempt.
    pub attempt: String,
    /// Route.
    pub route: Arc<Route>,
    /// Holder of the key, where one is needed.
    pub workspace: Option<Arc<Workspace>>,
    /// What it needs of a place.
    pub need: Need,
    /// When the caller stops waiting, or the route's time is over.
    pub end: Instant,
    /// Last event that the caller has.
    pub last_event: Option<String>,
}

impl Request {
    /// Returns whether it may run more than once.
    pub fn repeatable(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
    }
}

/// Finds out what a request needs.
///
/// # Errors
///
/// Fails when the request is not allowed by the configuration in force.
pub fn read(
    plan: &RouteTable,
    exchange: &Exchange<'_>,
    arrived: Instant,
) -> Result<Request, Failure> {
    let head = &exchange.head;
    if plan.version == 0 {
        return Err(Failure::new(Kind::NotReady, "there is no configuration yet"));
    }
    let attempt = head.header(header::ATTEMPT).unwrap_or_default().to_owned();
    let host = head.header("host").unwrap_or_default();
    let route = plan.route(host, &head.path);
    let route = route.ok_or_else(|| Failure::new(Kind::NotFound, "no route has this path"))?;
    let workspace = workspace(plan, route, head)?;
    let draw = (xxh3_64(attempt.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    let service = route.service(draw).or_else(|| route.split.first().map(|s| &s.service));
    let service = service.ok_or_else(|| Failure::new(Kind::NoTarget, "the route has no share"))?;
    let stated = head.header(header::DEADLINE).and_then(header::time);
    let time = stated.unwrap_or(route.timeout).min(route.timeout);
    let end = arrived + time;
    let (prompt, most) = head.header(header::TOKENS).and_then(header::tokens).unwrap_or((0, 0));
    let hint = head.header(header::ANSWER_HINT).and_then(|v| v.trim().parse().ok());
    let size = TokenCounts { prompt, max_answer: most, answer_hint: hint };
    let mut need = Need::new(plan, route, service, size, arrived, end);
    if let Some(priority) = workspace.as_ref().and_then(|w| w.priority) {
        need.waiting.priority = priority;
    }
    let last_event = head.header(header::LAST_EVENT).map(str::to_owned);
    Ok(Request { attempt, route: Arc::clone(route), workspace, need, end, last_event })
}

fn workspace(
    plan: &RouteTable,
    route: &Route,
    head: &Head,
) -> Result<Option<Arc<Workspace>>, Failure> {
    let key = head.header(header::KEY).and_then(header::key);
    let holder = key.and_then(|key| plan.workspace(key)).map(Arc::clone);
    if holder.is_none() && plan.requires_key && !route.public {
        return Err(Failure::new(Kind::UnknownKey, "no workspace has this key"));
    }
    Ok(holder)
}
