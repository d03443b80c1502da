//! What the placement of a request depends on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::cost::Engine;
use crate::edge::fleet::TargetId;
use crate::edge::history::Kind;
use crate::edge::placement::{MAX_PARTS, is_long};
use crate::edge::route_table::{Route, RouteTable, ServiceId};
use crate::edge::wait::{QueueEntry, caller_timeout};

/// Prompt tokens with the same value as an answer of the least length. Callers do not
/// state a value, so it is estimated from the work of the request.
const VALUE_TOKENS: f64 = 10_000.0;
/// Expected length of an answer without a hint, as a share of its largest length.
const ANSWER_SHARE: f64 = 0.5;
/// Assumed time of a request at a service that has no cost model.
const SERVICE_WORK: Duration = Duration::from_millis(60);

/// What the placement of a request depends on.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// Name of the service.
    pub service: ServiceId,
    /// Cost model, if the targets of the service are engines.
    pub engine: Option<Engine>,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Expected tokens of the answer.
    pub answer: u64,
    /// Longest pause between events of an answer that is on time.
    pub max_gap: Duration,
    /// Whether prefill of the whole prompt would exceed the smallest allowed gap.
    pub long: bool,
    /// Whether one target is preferred to several, as long as it is on time: a target refused
    /// to help.
    pub whole: bool,
    /// Requests with which its cost is compared.
    pub kind: Kind,
    /// The caller's estimate of the answer's tokens.
    pub stated: Option<u64>,
    /// Most tokens of the answer.
    pub max_answer: u64,
    /// Expected time of a call at a service.
    pub call_time: Duration,
    /// Its entry in the queue.
    pub entry: QueueEntry,
    /// Targets that have already failed this request.
    pub avoid: Vec<TargetId>,
}

/// Token counts stated by the caller of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// Tokens of the prompt; 0 at a service.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub max_answer: u64,
    /// The caller's estimate of the answer's tokens.
    pub answer_hint: Option<u64>,
}

impl Requirements {
    /// Derives the requirements of a request of `route` that arrived at `arrived` and
    /// must end by `end`.
    pub fn new(
        table: &RouteTable,
        route: &Route,
        service: &ServiceId,
        size: TokenCounts,
        arrived: Instant,
        end: Instant,
    ) -> Self {
        let engine = table.engine(service);
        let expected = (size.max_answer as f64 * ANSWER_SHARE) as u64;
        let gives_up = if route.streaming {
            arrived + caller_timeout(route.latency_goal, route.max_gap)
        } else {
            end
        };
        let prompt = size.prompt;
        let long = engine.is_some_and(|e| is_long(&e, prompt, table.strictest_gap(service)));
        let parts = if long { MAX_PARTS } else { 1 };
        Self {
            service: ServiceId::clone(service),
            engine,
            prompt,
            answer: size.answer_hint.unwrap_or(expected).min(size.max_answer),
            max_gap: route.max_gap,
            long,
            whole: false,
            kind: Kind { route: Arc::clone(&route.name), workspace: None },
            stated: size.answer_hint,
            max_answer: size.max_answer,
            call_time: SERVICE_WORK,
            entry: QueueEntry {
                arrived,
                due: arrived + route.latency_goal,
                expires: end.min(gives_up),
                value: 1.0 + prompt as f64 / VALUE_TOKENS,
                work: engine.map_or(SERVICE_WORK, |e| e.prefill_time(prompt, 1)),
                min_work: engine.map_or(SERVICE_WORK, |e| e.prefill_time(prompt, parts)),
                priority: route.priority,
            },
            avoid: Vec::new(),
        }
    }
}
