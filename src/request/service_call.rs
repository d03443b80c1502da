//! Runs one call to a service.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_caller::error_response::{self, REQUEST_ID};
use mimosapass_caller::exchange::Exchange;
use mimosapass_core::classify::RequestedWork;
use mimosapass_core::config::TargetKind;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::idempotency::{State, digest};
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::Choice;
use mimosapass_target::engine::{REMAINING, TRACE};
use mimosapass_target::error::CallError;
use mimosapass_target::service::{self, Answer, Call};
use ureq::Agent;

use crate::explain::Explanation;
use crate::held_bytes::HeldBytes;
use crate::node::Node;
use crate::request::admission::{Admitted, admit, caller_id, idempotency_id};
use crate::request::idempotency::{NotSent, PendingClaim, RequestIdentity, SendGuard};
use crate::request::queue::{self, QueuedWork};
use crate::request::retry::{self, AttemptOutcome, RetryLimits};
use crate::request::selection::{self, TrackedAttempt};

/// Maximum number of attempts at one call.
const MAX_ATTEMPTS: usize = 3;
/// Interval at which the connection to the caller is checked.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time past the deadline in which a recorded call may still complete.
const OUTCOME_GRACE: Duration = Duration::from_secs(30);
/// Maximum size of the responses that all calls read at the same time; one of the largest size
/// fits, and an instance is given 160 MB.
const MAX_HELD_BYTES: usize = 64 * 1024 * 1024;
/// Header that marks an answer as replayed from its idempotency record.
const REPLAYED: &str = "mimosapass-replayed";
/// Stack size of an attempt's thread.
const STACK_BYTES: usize = 256 * 1024;

/// Answers one call; `rest` is the path after `/services/`.
pub fn handle(node: &Arc<Node>, exchange: &mut Exchange<'_>, rest: &str) {
    let mut explanation = Explanation::new(node, exchange.head.header(TRACE));
    let start = Instant::now();
    let result = serve(node, exchange, rest, &mut explanation);
    let sent = match &result {
        Ok(answer) => {
            let headers = [(REQUEST_ID, explanation.request.clone())];
            exchange.relay(answer.status, &answer.headers, &headers, &answer.body)
        }
        Err(failure) => error_response::send(exchange, failure, Some(&explanation.request)),
    };
    if let Err(e) = sent {
        log::debug!("service: cannot send the answer to the caller: {e}.");
    }
    explanation.finish(node, start, result.err().map(|f| f.kind));
}

fn serve(
    node: &Arc<Node>,
    exchange: &Exchange<'_>,
    rest: &str,
    explanation: &mut Explanation,
) -> Result<Answer, Failure> {
    let id = caller_id(exchange)?;
    explanation.request = id.unwrap_or_else(|| node.unique_id());
    let document =
        node.document().ok_or_else(|| Failure::new(Kind::NotReady, "no configuration yet"))?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    if document.config.service(name).is_none() {
        return Err(Failure::new(Kind::NotFound, format!("no service `{name}`")));
    }
    let admitted =
        admit(node, exchange, &document, &explanation.request, RequestedWork::Service(name))?;
    admitted.workspace().clone_into(&mut explanation.workspace);
    explanation.class = admitted.class.name.to_string();
    let query = &exchange.head.query;
    let path = if query.is_empty() { format!("/{path}") } else { format!("/{path}?{query}") };
    let idempotent = idempotent(&admitted, &exchange.head.method);
    let mut call = ServiceCall { node, exchange, admitted, name, path, idempotent, guard: None };
    if !idempotent && let Some(id) = idempotency_id(exchange)? {
        return call.run_with_record(&id, explanation);
    }
    call.wait_in_queue(explanation)?;
    call.run(explanation)
}

/// Returns whether the class, or else the method, is idempotent.
fn idempotent(admitted: &Admitted, method: &str) -> bool {
    let by_method = matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE");
    admitted.class.idempotent.unwrap_or(by_method)
}

/// A running call.
struct ServiceCall<'r, 'e> {
    node: &'r Arc<Node>,
    exchange: &'r Exchange<'e>,
    admitted: Admitted,
    name: &'r str,
    path: String,
    idempotent: bool,
    guard: Option<Arc<SendGuard>>,
}

/// Why an attempt has no answer.
enum CallFailure {
    Error(CallError),
    Deadline,
    CallerGone,
}

impl ServiceCall<'_, '_> {
    /// Runs the call after claiming its idempotency record.
    fn run_with_record(
        &mut self,
        id: &str,
        explanation: &mut Explanation,
    ) -> Result<Answer, Failure> {
        self.admitted.cap_deadline();
        let method = &self.exchange.head.method;
        let identity = RequestIdentity {
            workspace: self.admitted.workspace(),
            service: self.name,
            id,
            digest: digest(method, &self.path, &self.exchange.body),
        };
        // The stored answer of an earlier call is replayed without queueing.
        let pending = PendingClaim::lookup(self.node, identity, self.admitted.deadline);
        let claimed = pending.and_then(|pending| {
            self.wait_in_queue(explanation).map_err(NotSent::Refused)?;
            explanation.trace.begin_hop("record", "a non-idempotent call needs its record first");
            let claimed = pending.claim();
            explanation.trace.end_hop(if claimed.is_ok() { "ok" } else { "not sent" });
            claimed
        });
        match claimed {
            Ok(guard) => {
                self.guard = Some(guard);
                self.run(explanation)
            }
            Err(NotSent::Replay(outcome)) => {
                explanation.steps.push("replayed from its idempotency record".to_owned());
                let mut headers = outcome.headers;
                headers.push((REPLAYED.to_owned(), "true".to_owned()));
                let body = Bytes::from(outcome.body);
                Ok(Answer { status: outcome.status, headers, body })
            }
            Err(NotSent::Refused(failure)) => Err(failure),
        }
    }

    fn wait_in_queue(&self, explanation: &mut Explanation) -> Result<(), Failure> {
        let work = QueuedWork { kind: TargetKind::Service, name: self.name, tokens: 0 };
        queue::wait(self.node, self.exchange, &self.admitted, work, explanation)
    }

    fn run(&mut self, explanation: &mut Explanation) -> Result<Answer, Failure> {
        let limits = RetryLimits {
            max_attempts: MAX_ATTEMPTS,
            deadline: self.admitted.deadline,
            repeatable: self.idempotent,
            peer_hop: false,
        };
        retry::run_attempts(self.node, self, limits, explanation, Self::choose, Self::attempt)
    }

    fn choose(&self, tried: &[TargetId]) -> Result<Choice, Failure> {
        selection::choose_service(self.node, &self.admitted, self.name, tried)
    }

    fn attempt(
        &mut self,
        _number: usize,
        choice: &Choice,
        explanation: &mut Explanation,
    ) -> AttemptOutcome<Answer> {
        let mut tracked = TrackedAttempt::new(self.node, &choice.target, 0);
        let failure = match self.call_target(choice, explanation) {
            Ok(answer) => return AttemptOutcome::Complete(answer),
            Err(failure) => failure,
        };
        match failure {
            CallFailure::CallerGone => {
                AttemptOutcome::Final(Failure::new(Kind::CallerGone, "the caller disconnected"))
            }
            CallFailure::Deadline => {
                tracked.mark_failed();
                AttemptOutcome::Final(Failure::new(
                    Kind::RunTimeout,
                    "no answer within the deadline",
                ))
            }
            CallFailure::Error(error) => {
                tracked.mark_failed();
                target_error(&tracked, &error)
            }
        }
    }

    fn build_call(&self, choice: &Choice, explanation: &Explanation) -> Call {
        let remaining = self.admitted.remaining();
        let mut headers = self.exchange.head.headers.clone();
        headers.retain(|(n, _)| n != REQUEST_ID && n != REMAINING && n != TRACE);
        headers.extend(explanation.trace.traceparent().map(|trace| (TRACE.to_owned(), trace)));
        headers.push((REQUEST_ID.to_owned(), self.admitted.id.clone()));
        headers.push((REMAINING.to_owned(), remaining.as_millis().to_string()));
        Call {
            addr: choice.addr.to_string(),
            method: self.exchange.head.method.clone(),
            path: self.path.clone(),
            headers,
            remaining: if self.guard.is_some() { remaining + OUTCOME_GRACE } else { remaining },
            body: self.exchange.body.clone(),
        }
    }

    fn agent(&self) -> Agent {
        if self.idempotent {
            self.node.pooled_agent.clone()
        } else {
            self.node.unpooled_agent.clone()
        }
    }

    /// Makes the call on a thread of its own and watches the deadline and the caller.
    fn call_target(
        &self,
        choice: &Choice,
        explanation: &Explanation,
    ) -> Result<Answer, CallFailure> {
        let (sender, results) = channel();
        let (agent, call) = (self.agent(), self.build_call(choice, explanation));
        let (guard, deadline) = (self.guard.clone(), self.admitted.deadline);
        let response_bytes = Arc::clone(&self.node.response_bytes);
        let run = move || {
            let result = send(&agent, &call, guard.as_deref(), deadline, &response_bytes);
            // Releases the claim before the request sees the result.
            drop(guard);
            // The receiver is gone if the request has ended.
            sender.send(result).unwrap_or_default();
        };
        thread::Builder::new()
            .name("attempt".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(run)
            .map_err(|e| CallFailure::Error(CallError::NotSent(e.to_string())))?;
        loop {
            match results.recv_timeout(CALLER_POLL_INTERVAL.min(self.admitted.remaining())) {
                Ok(result) => return result.map_err(CallFailure::Error),
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(CallFailure::Error(CallError::OutcomeUnknown(
                        "the thread of the attempt panicked".to_owned(),
                    )));
                }
                Err(RecvTimeoutError::Timeout) if self.admitted.remaining().is_zero() => {
                    return Err(CallFailure::Deadline);
                }
                Err(RecvTimeoutError::Timeout) if self.node.aborting() => {
                    let text = "the instance is shutting down".to_owned();
                    return Err(CallFailure::Error(CallError::OutcomeUnknown(text)));
                }
                Err(RecvTimeoutError::Timeout) if self.exchange.caller_gone() => {
                    return Err(CallFailure::CallerGone);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }
}

fn target_error(tracked: &TrackedAttempt, error: &CallError) -> AttemptOutcome<Answer> {
    if matches!(error, CallError::Refused { leaving: true, .. }) {
        tracked.mark_draining();
    }
    let kind = if error.not_run() { Kind::Refused } else { Kind::TargetFailed };
    AttemptOutcome::Retry(Failure::new(kind, error.to_string()))
}

/// Makes the call unless its deadline has passed, and records its outcome.
///
/// The outcome is recorded even if the request has ended in the meantime.
fn send(
    agent: &Agent,
    call: &Call,
    guard: Option<&SendGuard>,
    deadline: Instant,
    response_bytes: &Arc<AtomicUsize>,
) -> Result<Answer, CallError> {
    if Instant::now() >= deadline {
        return Err(CallError::NotSent("the deadline has passed".to_owned()));
    }
    let mut held = HeldBytes::new(response_bytes);
    let accepts = |bytes| held.grow(bytes, MAX_HELD_BYTES);
    let Some(guard) = guard else { return service::call(agent, call, accepts) };
    guard.mark_sending();
    let result = service::call(agent, call, accepts);
    match &result {
        Ok(a) => guard.record_outcome(State::answered(a.status, &a.headers, &a.body)),
        Err(error) if error.not_run() => guard.mark_not_run(),
        Err(_) => guard.record_outcome(State::Broken),
    }
    result
}
