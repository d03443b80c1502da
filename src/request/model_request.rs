//! Handles one model request.

use std::sync::Arc;
use std::time::Instant;

use mimosapass_caller::error_response;
use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::openai::{Call, ModelRequest, error_event, parse};
use mimosapass_core::classify::RequestedWork;
use mimosapass_core::config::TargetKind;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::idempotency::{MAX_DURATION, State, digest};

use mimosapass_target::engine::TRACE;

use crate::explain::Explanation;
use crate::node::Node;
use crate::request::admission::{Admitted, admit, caller_id, idempotency_id};
use crate::request::generation::Generation;
use crate::request::idempotency::{NotSent, PendingClaim, RequestIdentity, SendGuard};
use crate::request::queue::{self, QueuedWork};

/// Answers one model request.
pub fn handle(node: &Arc<Node>, exchange: &mut Exchange<'_>, call: Call) {
    let mut explanation = Explanation::new(node, exchange.head.header(TRACE));
    let start = Instant::now();
    let result = prepare(node, exchange, call, &mut explanation).and_then(|(admitted, prompt)| {
        let work = QueuedWork {
            kind: TargetKind::Engine,
            name: &prompt.model,
            tokens: explanation.tokens,
        };
        queue::wait(node, exchange, &admitted, work, &mut explanation)?;
        let guard = claim_record(node, exchange, &admitted, call)?;
        let result = Generation::new(node, exchange, admitted, prompt, call, explanation.tokens)
            .run(&mut explanation);
        if let Some(guard) = guard {
            record_outcome(&guard, &result);
        }
        result
    });
    if let Err(failure) = &result {
        send_failure(exchange, failure, &explanation.request);
    }
    explanation.finish(node, start, result.err().map(|f| f.kind));
}

/// Claims the record of a request whose class is not idempotent.
fn claim_record(
    node: &Arc<Node>,
    exchange: &Exchange<'_>,
    admitted: &Admitted,
    call: Call,
) -> Result<Option<Arc<SendGuard>>, Failure> {
    let Some(id) = idempotency_id(exchange)?.filter(|_| admitted.class.idempotent == Some(false))
    else {
        return Ok(None);
    };
    let service = call.path();
    let digest = digest("POST", service, &exchange.body);
    let identity = RequestIdentity { workspace: admitted.workspace(), service, id: &id, digest };
    let deadline = admitted.deadline.min(admitted.start + MAX_DURATION);
    match PendingClaim::lookup(node, identity, deadline).and_then(PendingClaim::claim) {
        Ok(guard) => {
            // From here on an engine may run the request.
            guard.mark_sending();
            Ok(Some(guard))
        }
        Err(NotSent::Refused(failure)) => Err(failure),
        Err(NotSent::Replay(_)) => {
            Err(Failure::new(Kind::AlreadyRan, "the request ran; its answer was not stored"))
        }
    }
}

/// Writes the outcome of the request to its record.
fn record_outcome(guard: &SendGuard, result: &Result<(), Failure>) {
    match result {
        Ok(()) => guard.record_outcome(State::Ran(200)),
        Err(failure) if failure.kind.row().not_run => guard.mark_not_run(),
        Err(_) => guard.record_outcome(State::Broken),
    }
}

/// Sends a failure to the caller, as an answer or as the last event of a stream.
fn send_failure(exchange: &mut Exchange<'_>, failure: &Failure, id: &str) {
    let id = (!id.is_empty()).then_some(id);
    let sent = if exchange.unanswered() {
        error_response::send(exchange, failure, id)
    } else {
        // The stream is then closed without its end event, so that the caller
        // cannot mistake it for a complete answer.
        exchange.send(&error_event(failure))
    };
    if let Err(e) = sent {
        log::debug!("model: cannot send the failure to the caller: {e}.");
    }
}

fn prepare(
    node: &Arc<Node>,
    exchange: &Exchange<'_>,
    call: Call,
    explanation: &mut Explanation,
) -> Result<(Admitted, ModelRequest), Failure> {
    let id = caller_id(exchange)?;
    explanation.request = id.clone().unwrap_or_else(|| node.unique_id());
    let document =
        node.document().ok_or_else(|| Failure::new(Kind::NotReady, "no configuration yet"))?;
    let prompt = parse(call, &exchange.body)?;
    let model = document.config.model(&prompt.model);
    let model = model.ok_or_else(|| {
        let text = format!("no model `{}`; see /v1/models", prompt.model);
        Failure::new(Kind::NotFound, text)
    })?;
    if prompt.adapter.as_ref().is_some_and(|a| !model.adapters.contains(a)) {
        return Err(Failure::new(Kind::NotFound, "the model has no such adapter"));
    }
    let tokens = node.state().token_ratios.estimate_tokens(&prompt.model, prompt.prompt_bytes);
    let work = RequestedWork::Model { name: &prompt.model, tokens };
    let admitted = admit(node, exchange, &document, &explanation.request, work)?;
    explanation.tokens = tokens;
    admitted.workspace().clone_into(&mut explanation.workspace);
    explanation.class = admitted.class.name.to_string();
    Ok((admitted, prompt))
}
