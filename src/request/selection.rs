//! Target selection for an admitted request, and tracking of its attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::config::TargetKind;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::{self, Choice, RouteQuery, choose};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::node::Node;
use crate::request::admission::Admitted;

/// Shortest prompt from which an engine's prefill rate is learned.
const MIN_LEARN_TOKENS: u64 = 500;

/// Interval at which a request checks whether an engine has enough memory.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Size and prefix of a prompt, as engine selection uses them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptEstimate {
    /// Estimated length of the prompt, in tokens.
    pub tokens: u64,
    /// Maximum length of the answer; 0 if the caller sets none.
    pub answer_tokens: u64,
    /// Hash of the prompt's first bytes, 0 for none.
    pub prefix: u64,
}

/// Returns a seed that is the same for the same attempt on every instance.
fn seed(admitted: &Admitted, tried: &[TargetId]) -> u64 {
    xxh3_64_with_seed(admitted.id.as_bytes(), tried.len() as u64)
}

/// Chooses an engine for a prompt; waits while engines lack memory.
///
/// # Errors
///
/// Fails when no engine may serve it now, and with [`Kind::QueueTimeout`] when
/// the memory it needs did not become free in time.
pub fn choose_engine(
    node: &Node,
    admitted: &Admitted,
    model: &str,
    prompt: PromptEstimate,
    tried: &[TargetId],
    caller_gone: impl Fn() -> bool,
) -> Result<Choice, Failure> {
    let config = &admitted.document.config;
    let pools: Vec<_> = config.pools_for(&admitted.class, model).collect();
    let query = RouteQuery {
        kind: TargetKind::Engine,
        pools: &pools,
        zone: &node.zone,
        tokens: prompt.tokens,
        answer: prompt.answer_tokens,
        prefix: prompt.prefix,
        promise: admitted.class.promise(),
        seed: seed(admitted, tried),
        tried,
    };
    loop {
        let now = Instant::now();
        let state = node.state();
        let chosen = choose(&state.targets, &query, now);
        let out_of_memory = chosen.is_err() && route::short_of_memory(&state.targets, &query, now);
        drop(state);
        if !out_of_memory {
            return chosen;
        }
        wait_for_memory(node, admitted, query.required_memory(), &caller_gone)?;
    }
}

/// Waits one poll interval for engine memory to become free.
///
/// # Errors
///
/// [`Kind::QueueTimeout`] when no time is left for another check,
/// [`Kind::CallerGone`], and [`Kind::Stopping`] when the instance shuts down.
pub fn wait_for_memory(
    node: &Node,
    admitted: &Admitted,
    needed_tokens: u64,
    caller_gone: impl Fn() -> bool,
) -> Result<(), Failure> {
    if node.aborting() {
        return Err(Failure::new(Kind::Stopping, "the instance is shutting down"));
    }
    if caller_gone() {
        return Err(Failure::new(Kind::CallerGone, "the caller disconnected"));
    }
    if admitted.remaining() <= MEMORY_POLL_INTERVAL {
        let text =
            format!("no engine had {needed_tokens} tokens of free memory before the deadline");
        return Err(Failure::new(Kind::QueueTimeout, text));
    }
    node.metrics.memory_waits.inc();
    node.sleep(MEMORY_POLL_INTERVAL);
    node.metrics.memory_waits.dec();
    Ok(())
}

/// Chooses a target of the service `name`.
///
/// # Errors
///
/// Fails when no target may serve it now.
pub fn choose_service(
    node: &Node,
    admitted: &Admitted,
    name: &str,
    tried: &[TargetId],
) -> Result<Choice, Failure> {
    let config = &admitted.document.config;
    let pool = config.service(name).map(|s| &s.pool);
    let pools: Vec<_> = config.pools.iter().filter(|p| Some(&p.name) == pool).collect();
    let base = RouteQuery { kind: TargetKind::Service, zone: &node.zone, ..RouteQuery::default() };
    let query = RouteQuery { pools: &pools, tried, seed: seed(admitted, tried), ..base };
    choose(&node.state().targets, &query, Instant::now())
}

/// Entry of one attempt in the target table; dropping it ends the entry.
#[derive(Debug)]
pub struct TrackedAttempt {
    node: Arc<Node>,
    target: TargetId,
    tokens: u64,
    prefix: u64,
    sent: Instant,
    was_idle: bool,
    first_token: bool,
    ok: bool,
}

impl TrackedAttempt {
    /// Records that a request of `tokens` prompt tokens is sent to the target.
    pub fn new(node: &Arc<Node>, target: &TargetId, tokens: u64) -> Self {
        let sent = Instant::now();
        let mut state = node.state();
        let was_idle = state.targets.get(target).is_some_and(|t| t.pending_seconds(sent) <= 0.0);
        state.targets.record_sent(target, tokens, route::required_memory(tokens, 0), sent);
        drop(state);
        let (node, target) = (Arc::clone(node), TargetId::clone(target));
        Self { node, target, tokens, prefix: 0, sent, was_idle, first_token: false, ok: true }
    }

    /// Sets the prefix that the target may cache once the first token arrives.
    #[must_use]
    pub fn with_prefix(mut self, prefix: u64) -> Self {
        self.prefix = prefix;
        self
    }

    /// Returns whether the first token has arrived.
    pub fn has_first_token(&self) -> bool {
        self.first_token
    }

    /// Records the arrival of the first token.
    pub fn record_first_token(&mut self) {
        if self.first_token {
            return;
        }
        let now = Instant::now();
        let learns_rate = self.was_idle && self.tokens >= MIN_LEARN_TOKENS;
        self.finish_prefill(learns_rate.then(|| now.saturating_duration_since(self.sent)));
        self.node.state().targets.add_cache_hint(self.prefix, &self.target, self.tokens, now);
    }

    /// Removes the prompt from the tokens that the target has yet to compute.
    fn finish_prefill(&mut self, elapsed: Option<Duration>) {
        if !self.first_token {
            self.first_token = true;
            self.node.state().targets.record_first_token(&self.target, self.tokens, elapsed);
        }
    }

    /// Counts the attempt as a failure of the target.
    pub fn mark_failed(&mut self) {
        self.ok = false;
    }

    /// Records that the target accepts no new work.
    pub fn mark_draining(&self) {
        self.node.state().targets.record_draining(&self.target);
    }
}

impl Drop for TrackedAttempt {
    fn drop(&mut self) {
        self.finish_prefill(None);
        let mut state = self.node.state();
        state.targets.record_end(&self.target, self.ok, Instant::now());
        if self.ok {
            state.targets.record_freed(&self.target, route::required_memory(self.tokens, 0));
        }
        drop(state);
        let label = if self.ok { "ok" } else { "failed" };
        self.node.metrics.attempts.with_label_values(&[label]).inc();
    }
}
