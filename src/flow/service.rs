//! One call to a plain service.

use std::sync::Arc;
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
use crate::flow::admit::{Admitted, admit, caller_id, record_id};
use crate::flow::once::{Guard, Halt, Pending, Subject};
use crate::flow::pick::{self, Booked};
use crate::flow::retry::{self, Bounds, Ended};
use crate::flow::turn::{self, Work};
use crate::node::Node;

/// Attempts at one call, at most.
const ATTEMPTS: usize = 3;
/// Time between two looks at whether the caller is still there.
const LOOK: Duration = Duration::from_millis(250);
/// Time past the deadline for which the outcome of a protected call is awaited.
const LINGER: Duration = Duration::from_secs(30);
/// Header that marks an answer as the stored one of an earlier call.
const REPLAYED: &str = "mimosapass-replayed";
/// Stack of an attempt's thread, in bytes.
const STACK: usize = 256 * 1024;

/// Answers one call; `rest` is the path behind `/services/`.
pub fn handle(node: &Arc<Node>, exchange: &mut Exchange<'_>, rest: &str) {
    let mut explanation = Explanation::new(node, exchange.head.header(TRACE));
    let start = Instant::now();
    let result = serve(node, exchange, rest, &mut explanation);
    let told = match &result {
        Ok(answer) => {
            let headers = [(REQUEST_ID, explanation.request.clone())];
            exchange.relay(answer.status, &answer.headers, &headers, &answer.body)
        }
        Err(failure) => error_response::send(exchange, failure, Some(&explanation.request)),
    };
    if let Err(e) = told {
        log::debug!("service: the caller went away: {e}.");
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
    let mut run = Run { node, exchange, admitted, name, path, idempotent, guard: None };
    if !idempotent && let Some(id) = record_id(exchange)? {
        return run.protect(&id, explanation);
    }
    run.turn(explanation)?;
    run.run(explanation)
}

/// Returns whether the class, or else the method, allows a repeat.
fn idempotent(admitted: &Admitted, method: &str) -> bool {
    let by_method = matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE");
    admitted.class.idempotent.unwrap_or(by_method)
}

/// State of one call while it runs.
struct Run<'r, 'e> {
    node: &'r Arc<Node>,
    exchange: &'r Exchange<'e>,
    admitted: Admitted,
    name: &'r str,
    path: String,
    idempotent: bool,
    guard: Option<Arc<Guard>>,
}

/// Why a call gave no answer.
enum Failed {
    Fault(CallError),
    Deadline,
    Gone,
}

impl Run<'_, '_> {
    /// Runs the call under its idempotency record.
    fn protect(&mut self, id: &str, explanation: &mut Explanation) -> Result<Answer, Failure> {
        self.admitted.cap();
        let method = &self.exchange.head.method;
        let subject = Subject {
            workspace: self.admitted.workspace(),
            service: self.name,
            id,
            digest: digest(method, &self.path, &self.exchange.body),
        };
        // A repeat of a request that ran does not have to wait for a target.
        let pending = Pending::look(self.node, subject, self.admitted.end);
        let claimed = pending.and_then(|pending| {
            self.turn(explanation).map_err(Halt::Refuse)?;
            explanation.trace.begin_hop("record", "a non-idempotent call needs its record first");
            let claimed = pending.win();
            explanation.trace.end_hop(if claimed.is_ok() { "ok" } else { "not to be sent" });
            claimed
        });
        match claimed {
            Ok(guard) => {
                self.guard = Some(guard);
                self.run(explanation)
            }
            Err(Halt::Replay(outcome)) => {
                explanation.steps.push("replayed from its idempotency record".to_owned());
                let mut headers = outcome.headers;
                headers.push((REPLAYED.to_owned(), "true".to_owned()));
                let body = Bytes::from(outcome.body);
                Ok(Answer { status: outcome.status, headers, body })
            }
            Err(Halt::Refuse(failure)) => Err(failure),
        }
    }

    fn turn(&self, explanation: &mut Explanation) -> Result<(), Failure> {
        let work = Work { kind: TargetKind::Service, name: self.name, tokens: 0 };
        turn::wait(self.node, self.exchange, &self.admitted, work, explanation)
    }

    fn run(&mut self, explanation: &mut Explanation) -> Result<Answer, Failure> {
        let bounds = Bounds {
            most: ATTEMPTS,
            end: self.admitted.end,
            repeatable: self.idempotent,
            peer: false,
        };
        retry::attempts(self.node, self, bounds, explanation, Self::pick, Self::attempt)
    }

    fn pick(&self, tried: &[TargetId]) -> Result<Choice, Failure> {
        pick::service(self.node, &self.admitted, self.name, tried)
    }

    fn attempt(
        &mut self,
        _number: usize,
        choice: &Choice,
        explanation: &mut Explanation,
    ) -> Ended<Answer> {
        let mut booked = Booked::new(self.node, &choice.target, 0);
        let failed = match self.wait(choice, explanation) {
            Ok(answer) => return Ended::Whole(answer),
            Err(failed) => failed,
        };
        match failed {
            Failed::Gone => Ended::Over(Failure::new(Kind::CallerGone, "the caller went away")),
            Failed::Deadline => {
                booked.blame();
                Ended::Over(Failure::new(Kind::RunTimeout, "no answer within the deadline"))
            }
            Failed::Fault(fault) => {
                booked.blame();
                failed_call(&booked, &fault)
            }
        }
    }

    fn call(&self, choice: &Choice, explanation: &Explanation) -> Call {
        let left = self.admitted.left();
        let mut headers = self.exchange.head.headers.clone();
        headers.retain(|(n, _)| n != REQUEST_ID && n != REMAINING && n != TRACE);
        headers.extend(explanation.trace.traceparent().map(|trace| (TRACE.to_owned(), trace)));
        headers.push((REQUEST_ID.to_owned(), self.admitted.id.clone()));
        headers.push((REMAINING.to_owned(), left.as_millis().to_string()));
        Call {
            addr: choice.addr.to_string(),
            method: self.exchange.head.method.clone(),
            path: self.path.clone(),
            headers,
            remaining: if self.guard.is_some() { left + LINGER } else { left },
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

    /// Makes the call in a thread of its own and watches deadline and caller.
    fn wait(&self, choice: &Choice, explanation: &Explanation) -> Result<Answer, Failed> {
        let (sender, inbox) = channel();
        let (agent, call) = (self.agent(), self.call(choice, explanation));
        let (guard, end) = (self.guard.clone(), self.admitted.end);
        let calling = move || {
            let result = send(&agent, &call, guard.as_deref(), end);
            // The right to send goes back before the request hears of it.
            drop(guard);
            // A request that has ended does not wait for this any more.
            sender.send(result).unwrap_or_default();
        };
        thread::Builder::new()
            .name("attempt".to_owned())
            .stack_size(STACK)
            .spawn(calling)
            .map_err(|e| Failed::Fault(CallError::NotSent(e.to_string())))?;
        loop {
            match inbox.recv_timeout(LOOK.min(self.admitted.left())) {
                Ok(result) => return result.map_err(Failed::Fault),
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(Failed::Fault(CallError::OutcomeUnknown(
                        "the attempt died".to_owned(),
                    )));
                }
                Err(RecvTimeoutError::Timeout) if self.admitted.left().is_zero() => {
                    return Err(Failed::Deadline);
                }
                Err(RecvTimeoutError::Timeout) if self.node.aborting() => {
                    let text = "the instance was made to end".to_owned();
                    return Err(Failed::Fault(CallError::OutcomeUnknown(text)));
                }
                Err(RecvTimeoutError::Timeout) if self.exchange.caller_gone() => {
                    return Err(Failed::Gone);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }
}

fn failed_call(booked: &Booked, fault: &CallError) -> Ended<Answer> {
    if matches!(fault, CallError::Refused { leaving: true, .. }) {
        booked.leaving();
    }
    let kind = if fault.not_run() { Kind::Refused } else { Kind::TargetFailed };
    Ended::Again(Failure::new(kind, fault.to_string()))
}

/// Makes the call unless its time is over, and notes what became of it.
///
/// The outcome is written even when the request has ended by then.
fn send(
    agent: &Agent,
    call: &Call,
    guard: Option<&Guard>,
    end: Instant,
) -> Result<Answer, CallError> {
    if Instant::now() >= end {
        return Err(CallError::NotSent("the deadline has passed".to_owned()));
    }
    let Some(guard) = guard else { return service::call(agent, call) };
    guard.sending();
    let result = service::call(agent, call);
    match &result {
        Ok(a) => guard.ended(State::answered(a.status, &a.headers, &a.body)),
        Err(fault) if fault.not_run() => guard.not_run(),
        Err(_) => guard.ended(State::Broken),
    }
    result
}
