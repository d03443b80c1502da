//! One model request, from its body to its one answer.

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
use crate::flow::admit::{Admitted, admit, caller_id, record_id};
use crate::flow::once::{Guard, Halt, Pending, Subject};
use crate::flow::stream::Run;
use crate::flow::turn::{self, Work};
use crate::node::Node;

/// Answers one model request.
pub fn handle(node: &Arc<Node>, exchange: &mut Exchange<'_>, call: Call) {
    let mut explanation = Explanation::new(node, exchange.head.header(TRACE));
    let start = Instant::now();
    let result = prepare(node, exchange, call, &mut explanation).and_then(|(admitted, prompt)| {
        let work =
            Work { kind: TargetKind::Engine, name: &prompt.model, tokens: explanation.tokens };
        turn::wait(node, exchange, &admitted, work, &mut explanation)?;
        let guard = protect(node, exchange, &admitted, call)?;
        let result = Run::new(node, exchange, admitted, prompt, call, explanation.tokens)
            .run(&mut explanation);
        if let Some(guard) = guard {
            settle(&guard, &result);
        }
        result
    });
    if let Err(failure) = &result {
        conclude(exchange, failure, &explanation.request);
    }
    explanation.finish(node, start, result.err().map(|f| f.kind));
}

/// Claims the record of a request whose class says that it must not run twice.
fn protect(
    node: &Arc<Node>,
    exchange: &Exchange<'_>,
    admitted: &Admitted,
    call: Call,
) -> Result<Option<Arc<Guard>>, Failure> {
    let Some(id) = record_id(exchange)?.filter(|_| admitted.class.idempotent == Some(false)) else {
        return Ok(None);
    };
    let service = call.path();
    let digest = digest("POST", service, &exchange.body);
    let subject = Subject { workspace: admitted.workspace(), service, id: &id, digest };
    let end = admitted.end.min(admitted.start + MAX_DURATION);
    match Pending::look(node, subject, end).and_then(Pending::win) {
        Ok(guard) => {
            // From here on an engine may run it at any moment.
            guard.sending();
            Ok(Some(guard))
        }
        Err(Halt::Refuse(failure)) => Err(failure),
        Err(Halt::Replay(_)) => {
            Err(Failure::new(Kind::AlreadyRan, "it ran; its answer was not stored"))
        }
    }
}

/// Writes beside the record what became of the request.
fn settle(guard: &Guard, result: &Result<(), Failure>) {
    match result {
        Ok(()) => guard.ended(State::Ran(200)),
        Err(failure) if failure.kind.row().not_run => guard.not_run(),
        Err(_) => guard.ended(State::Broken),
    }
}

/// Tells the caller of a failure, as an answer or as the last event.
fn conclude(exchange: &mut Exchange<'_>, failure: &Failure, id: &str) {
    let id = (!id.is_empty()).then_some(id);
    let told = if exchange.unanswered() {
        error_response::send(exchange, failure, id)
    } else {
        // The stream ends without its end mark and then breaks off, so that
        // nobody takes it for a whole answer.
        exchange.send(&error_event(failure))
    };
    if let Err(e) = told {
        log::debug!("model: the caller went away: {e}.");
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
