//! One call to a plain service.

use std::sync::Arc;
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_caller::answer::{self, REQUEST_ID};
use mimosapass_caller::exchange::Exchange;
use mimosapass_core::classify::Asks;
use mimosapass_core::config::TargetKind;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::{Ask, Choice, choose};
use mimosapass_target::engine::REMAINING;
use mimosapass_target::fault::Fault;
use mimosapass_target::service::{self, Answer, Call};

use crate::flow::admit::{Admitted, admit, caller_id};
use crate::node::Node;
use crate::story::Story;

/// Attempts at one call, at most.
const ATTEMPTS: usize = 3;
/// Time between two looks at whether the caller is still there.
const LOOK: Duration = Duration::from_millis(250);
/// Stack of an attempt's thread, in bytes.
const STACK: usize = 256 * 1024;

/// Answers one call; `rest` is the path behind `/services/`.
pub fn handle(node: &Arc<Node>, exchange: &mut Exchange<'_>, rest: &str) {
    let mut story =
        Story { instance: node.name.to_string(), zone: node.zone.to_string(), ..Story::default() };
    let start = Instant::now();
    let result = serve(node, exchange, rest, &mut story);
    let outcome = match &result {
        Ok(_) => "ok",
        Err(failure) => failure.kind.row().code,
    };
    let told = match &result {
        Ok(answer) => pass(exchange, answer, &story.request),
        Err(failure) => answer::fail(exchange, failure, Some(&story.request)),
    };
    if let Err(e) = told {
        log::debug!("service: the caller went away: {e}.");
    }
    node.metrics.outcomes.with_label_values(&[outcome]).inc();
    log::info!(request = story.request.as_str(), outcome = outcome; "service: call ended.");
    outcome.clone_into(&mut story.outcome);
    story.total_ms = start.elapsed().as_millis() as u64;
    node.stories.keep(story);
}

fn pass(exchange: &mut Exchange<'_>, answer: &Answer, id: &str) -> std::io::Result<()> {
    exchange.relay(answer.status, &answer.headers, &[(REQUEST_ID, id.to_owned())], &answer.body)
}

fn serve(
    node: &Arc<Node>,
    exchange: &Exchange<'_>,
    rest: &str,
    story: &mut Story,
) -> Result<Answer, Failure> {
    let id = caller_id(exchange)?;
    let named = id.is_some();
    story.request = id.unwrap_or_else(|| node.unique());
    let document =
        node.document().ok_or_else(|| Failure::new(Kind::NotReady, "no configuration yet"))?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    if document.config.service(name).is_none() {
        return Err(Failure::new(Kind::NotFound, format!("no service `{name}`")));
    }
    let request = Some(story.request.clone());
    let mut admitted = admit(node, exchange, &document, request, Asks::Service(name))?;
    admitted.named = named;
    admitted.workspace().clone_into(&mut story.workspace);
    story.class = admitted.class.name.to_string();
    let query = &exchange.head.query;
    let path = if query.is_empty() { format!("/{path}") } else { format!("/{path}?{query}") };
    Run { node, exchange, admitted: &admitted, name, path }.run(story)
}

struct Run<'r, 'e> {
    node: &'r Arc<Node>,
    exchange: &'r Exchange<'e>,
    admitted: &'r Admitted,
    name: &'r str,
    path: String,
}

impl Run<'_, '_> {
    fn run(&self, story: &mut Story) -> Result<Answer, Failure> {
        let idempotent = self.idempotent();
        let mut tried: Vec<TargetId> = Vec::new();
        let mut last = Failure::new(Kind::NoTarget, "no target is open");
        for number in 0..ATTEMPTS {
            if number > 0 && !self.node.state().budget.spend() {
                break;
            }
            let choice = match self.choose(&tried) {
                Ok(choice) => choice,
                Err(none) if number == 0 => return Err(none),
                Err(_) => break,
            };
            story.steps.push(format!("{}: {}", choice.target, choice.reason));
            story.target = choice.target.to_string();
            tried.push(TargetId::clone(&choice.target));
            match self.attempt(&choice, idempotent) {
                Ok(answer) => {
                    self.node.state().budget.earn();
                    return Ok(answer);
                }
                Err((failure, again)) => {
                    story.steps.push(failure.to_string());
                    last = failure;
                    if !again {
                        break;
                    }
                }
            }
        }
        Err(last)
    }

    /// Returns whether the class, or else the method, allows a repeat.
    fn idempotent(&self) -> bool {
        let method = self.exchange.head.method.as_str();
        let by_method = matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE");
        self.admitted.class.idempotent.unwrap_or(by_method)
    }

    fn choose(&self, tried: &[TargetId]) -> Result<Choice, Failure> {
        let config = &self.admitted.document.config;
        let pool = config.service(self.name).map(|s| &s.pool);
        let pools: Vec<_> = config.pools.iter().filter(|p| Some(&p.name) == pool).collect();
        let ask = Ask {
            kind: TargetKind::Service,
            pools: &pools,
            zone: &self.node.zone,
            tokens: 0,
            tried,
        };
        choose(&self.node.state().board, &ask, Instant::now())
    }

    /// Makes one attempt; the flag tells whether another may follow.
    fn attempt(&self, choice: &Choice, idempotent: bool) -> Result<Answer, (Failure, bool)> {
        self.node.state().board.sent(&choice.target, 0);
        let result = self.call(choice, idempotent);
        let ok = result.is_ok();
        self.node.state().board.ended(&choice.target, ok, Instant::now());
        let label = if ok { "whole" } else { "failed" };
        self.node.metrics.attempts.with_label_values(&[label]).inc();
        result.map_err(|ended| match ended {
            Ended::Fault(fault) => {
                if matches!(fault, Fault::Refused { leaving: true, .. }) {
                    self.node.state().board.refused(&choice.target);
                }
                let kind = if fault.not_run() { Kind::Refused } else { Kind::TargetFailed };
                (Failure::new(kind, fault.to_string()), fault.not_run() || idempotent)
            }
            Ended::Deadline => {
                (Failure::new(Kind::RunTimeout, "no answer within the deadline"), false)
            }
            Ended::Gone => (Failure::new(Kind::CallerGone, "the caller went away"), false),
        })
    }

    fn call(&self, choice: &Choice, idempotent: bool) -> Result<Answer, Ended> {
        let left = self.admitted.left();
        let mut headers = self.exchange.head.headers.clone();
        headers.retain(|(n, _)| n != REQUEST_ID && n != REMAINING);
        headers.push((REQUEST_ID.to_owned(), self.admitted.id.clone()));
        headers.push((REMAINING.to_owned(), left.as_millis().to_string()));
        let call = Call {
            addr: choice.addr.clone(),
            method: self.exchange.head.method.clone(),
            path: self.path.clone(),
            headers,
            remaining: left,
            body: self.exchange.body.clone(),
        };
        let agent = if idempotent { &self.node.pooled } else { &self.node.single };
        self.wait(agent.clone(), call)
    }

    fn wait(&self, agent: ureq::Agent, call: Call) -> Result<Answer, Ended> {
        let (sender, inbox) = channel();
        let calling = move || drop(sender.send(service::call(&agent, &call)));
        let spawned =
            thread::Builder::new().name("attempt".to_owned()).stack_size(STACK).spawn(calling);
        if let Err(e) = spawned {
            return Err(Ended::Fault(Fault::NotSent(e.to_string())));
        }
        loop {
            match inbox.recv_timeout(LOOK.min(self.admitted.left())) {
                Ok(result) => return result.map_err(Ended::Fault),
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(Ended::Fault(Fault::Broken("the attempt died".to_owned())));
                }
                Err(RecvTimeoutError::Timeout) if self.admitted.left().is_zero() => {
                    return Err(Ended::Deadline);
                }
                Err(RecvTimeoutError::Timeout) if self.exchange.caller_gone() => {
                    return Err(Ended::Gone);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }
}

/// Why a call gave no answer.
enum Ended {
    Fault(Fault),
    Deadline,
    Gone,
}
