//! Reads a request and finds its route and workspace.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::head::Head;
use mimosapass_core::edge::place::{MOST_PARTS, long};
use mimosapass_core::edge::plan::{Plan, Repeat, Route, ServiceId, Workspace};
use mimosapass_core::edge::schedule::Need;
use mimosapass_core::edge::wait::{Waiting, patience};
use mimosapass_core::error::{Failure, Kind};
use mimosapass_platform::header;
use xxhash_rust::xxh3::xxh3_64;

/// Tokens of prompt that are worth as much as an answer of the least length.
/// Worth is the caller's and not told; the work that it takes stands for it.
const WORTH_TOKENS: f64 = 10_000.0;
/// Share of the most tokens of an answer that answers have, without a hint.
const USUAL_ANSWER: f64 = 0.5;
/// Time that a target of a service takes for a request, before it is measured.
const SERVICE_WORK: Duration = Duration::from_millis(60);

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
        self.route.repeat == Repeat::Idempotent
    }
}

/// Finds out what a request needs.
///
/// # Errors
///
/// Fails when the request is not allowed by the configuration in force.
pub fn read(plan: &Plan, exchange: &Exchange<'_>, arrived: Instant) -> Result<Request, Failure> {
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
    let need = need(plan, route, workspace.as_deref(), service, head, arrived, end);
    let last_event = head.header(header::LAST_EVENT).map(str::to_owned);
    Ok(Request { attempt, route: Arc::clone(route), workspace, need, end, last_event })
}

fn workspace(plan: &Plan, route: &Route, head: &Head) -> Result<Option<Arc<Workspace>>, Failure> {
    let key = head.header(header::KEY).and_then(header::key);
    let holder = key.and_then(|key| plan.workspace(key)).map(Arc::clone);
    if holder.is_none() && plan.keyed && !route.public {
        return Err(Failure::new(Kind::UnknownKey, "no workspace has this key"));
    }
    Ok(holder)
}

fn need(
    plan: &Plan,
    route: &Route,
    workspace: Option<&Workspace>,
    service: &ServiceId,
    head: &Head,
    arrived: Instant,
    end: Instant,
) -> Need {
    let engine = super::state::engine_of(plan, service);
    let (prompt, most) = head.header(header::TOKENS).and_then(header::tokens).unwrap_or((0, 0));
    let hint = head.header(header::ANSWER_HINT).and_then(|v| v.trim().parse().ok());
    let answer = hint.unwrap_or((most as f64 * USUAL_ANSWER) as u64).min(most);
    let work = engine.map_or(SERVICE_WORK, |e| e.read(prompt, 1));
    let patience = if route.streaming { arrived + patience(route.goal, route.gap) } else { end };
    let priority = workspace.and_then(|w| w.priority).unwrap_or(route.priority);
    Need {
        service: ServiceId::clone(service),
        engine,
        prompt,
        answer,
        gap: route.gap,
        long: engine.is_some_and(|e| long(&e, prompt, plan.strictest_gap(service))),
        waiting: Waiting {
            since: arrived,
            promise: arrived + route.goal,
            end: end.min(patience),
            worth: 1.0 + prompt as f64 / WORTH_TOKENS,
            work,
            least: engine.map_or(SERVICE_WORK, |e| e.read(prompt, MOST_PARTS)),
            priority,
        },
        avoid: Vec::new(),
    }
}
