//! Choice of a target for an admitted request, and the books on it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::config::TargetKind;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::{self, Choice, RouteQuery, choose};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::flow::admit::Admitted;
use crate::node::Node;

/// Shortest prompt from which an engine's rate is learned, in tokens.
const LEARNED: u64 = 500;

/// Time between two looks at whether engines have memory.
const PAUSE: Duration = Duration::from_millis(250);

/// What a prompt asks of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Estimated length of the prompt, in tokens.
    pub tokens: u64,
    /// Longest answer, in tokens; 0 if unstated.
    pub answer: u64,
    /// Key of the prompt's first bytes, 0 for none.
    pub prefix: u64,
}

/// Returns a random number that is the same for the same attempt everywhere.
fn seed(admitted: &Admitted, tried: &[TargetId]) -> u64 {
    xxh3_64_with_seed(admitted.id.as_bytes(), tried.len() as u64)
}

/// Chooses an engine for a prompt, and waits while engines are short of memory.
///
/// # Errors
///
/// Fails when no engine may serve it now, and with [`Kind::QueueTimeout`] when
/// its memory did not become free in time.
pub fn engine(
    node: &Node,
    admitted: &Admitted,
    model: &str,
    work: Work,
    tried: &[TargetId],
    gone: impl Fn() -> bool,
) -> Result<Choice, Failure> {
    let config = &admitted.document.config;
    let pools: Vec<_> = config.pools_for(&admitted.class, model).collect();
    let query = RouteQuery {
        kind: TargetKind::Engine,
        pools: &pools,
        zone: &node.zone,
        tokens: work.tokens,
        answer: work.answer,
        prefix: work.prefix,
        promise: admitted.class.promise(),
        seed: seed(admitted, tried),
        tried,
    };
    loop {
        let now = Instant::now();
        let state = node.state();
        let chosen = choose(&state.targets, &query, now);
        let short = chosen.is_err() && route::short_of_memory(&state.targets, &query, now);
        drop(state);
        if !short {
            return chosen;
        }
        wait_for_memory(node, admitted, query.required_memory(), &gone)?;
    }
}

/// Waits a moment for `need` tokens of memory at engines that are otherwise fit.
///
/// # Errors
///
/// [`Kind::QueueTimeout`] when no time is left for another look,
/// [`Kind::CallerGone`], and [`Kind::Stopping`] when the instance has to end.
pub fn wait_for_memory(
    node: &Node,
    admitted: &Admitted,
    need: u64,
    gone: impl Fn() -> bool,
) -> Result<(), Failure> {
    if node.aborting() {
        return Err(Failure::new(Kind::Stopping, "the instance was made to end"));
    }
    if gone() {
        return Err(Failure::new(Kind::CallerGone, "the caller went away"));
    }
    if admitted.left() <= PAUSE {
        let text = format!("{need} tokens of memory were not free in time");
        return Err(Failure::new(Kind::QueueTimeout, text));
    }
    node.metrics.memory_waits.inc();
    node.sleep(PAUSE);
    node.metrics.memory_waits.dec();
    Ok(())
}

/// Chooses a target of the service `name`.
///
/// # Errors
///
/// Fails when no target may serve it now.
pub fn service(
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

/// The books on one attempt; whatever happens, they are closed when dropped.
#[derive(Debug)]
pub struct Booked {
    node: Arc<Node>,
    target: TargetId,
    tokens: u64,
    prefix: u64,
    sent: Instant,
    clear: bool,
    first: bool,
    ok: bool,
}

impl Booked {
    /// Notes that a request of `tokens` prompt tokens goes to the target.
    pub fn new(node: &Arc<Node>, target: &TargetId, tokens: u64) -> Self {
        let sent = Instant::now();
        let mut state = node.state();
        let clear = state.targets.get(target).is_some_and(|k| k.pending_seconds(sent) <= 0.0);
        state.targets.record_sent(target, tokens, route::required_memory(tokens, 0), sent);
        drop(state);
        let (node, target) = (Arc::clone(node), TargetId::clone(target));
        Self { node, target, tokens, prefix: 0, sent, clear, first: false, ok: true }
    }

    /// Has the target remembered as one that may cache the prompt's prefix.
    #[must_use]
    pub fn keyed(mut self, prefix: u64) -> Self {
        self.prefix = prefix;
        self
    }

    /// Returns whether the first token has come.
    pub fn first_came(&self) -> bool {
        self.first
    }

    /// Notes that the first token came.
    pub fn first_token(&mut self) {
        if self.first {
            return;
        }
        let now = Instant::now();
        let learned = self.clear && self.tokens >= LEARNED;
        self.computed(learned.then(|| now.saturating_duration_since(self.sent)));
        self.node.state().targets.add_cache_hint(self.prefix, &self.target, self.tokens, now);
    }

    /// Takes the prompt off the books of what the target has to compute.
    fn computed(&mut self, took: Option<Duration>) {
        if !self.first {
            self.first = true;
            self.node.state().targets.record_first_token(&self.target, self.tokens, took);
        }
    }

    /// Notes that the target did not do its part.
    pub fn blame(&mut self) {
        self.ok = false;
    }

    /// Notes that the target said it takes no new work any more.
    pub fn leaving(&self) {
        self.node.state().targets.record_draining(&self.target);
    }
}

impl Drop for Booked {
    fn drop(&mut self) {
        self.computed(None);
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
