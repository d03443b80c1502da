//! One model request: attempts, the stream of tokens, and its one answer.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mimosapass_caller::answer::{self, REQUEST_ID};
use mimosapass_caller::exchange::{Exchange, Header};
use mimosapass_caller::openai::{Call, Prompt, Style, Usage, error_event, read};
use mimosapass_core::classify::Asks;
use mimosapass_core::config::TargetKind;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::{ModelId, TargetId};
use mimosapass_core::route::{Ask, Choice, choose};
use mimosapass_target::engine::{self, Event, Generate};
use mimosapass_target::fault::Fault;

use crate::flow::admit::{Admitted, admit, caller_id};
use crate::node::Node;
use crate::parts::reclaim::Freed;
use crate::story::Story;
use crate::timer::Ticket;

/// Attempts at one request, at most.
const ATTEMPTS: usize = 4;
/// Time between two looks at whether the caller is still there.
const LOOK: Duration = Duration::from_millis(250);
/// Silence of an engine after its first token that ends an attempt.
const STALL: Duration = Duration::from_secs(10);
/// Stack of an attempt's thread, in bytes.
const STACK: usize = 256 * 1024;

/// What the thread of a request waits for.
#[derive(Debug)]
enum Message {
    /// An event of the attempt with that number.
    Event(usize, Event),
    /// The attempt with that number ended.
    Done(usize, Result<(), Fault>),
    /// The deadline passed.
    Deadline,
}

/// Answers one model request.
pub fn handle(node: &Arc<Node>, exchange: &mut Exchange<'_>, call: Call) {
    let mut story =
        Story { instance: node.name.to_string(), zone: node.zone.to_string(), ..Story::default() };
    let start = Instant::now();
    let result = prepare(node, exchange, call, &mut story).and_then(|(admitted, prompt)| {
        Run::new(node, exchange, admitted, prompt, call).run(&mut story)
    });
    let outcome = match &result {
        Ok(()) => "ok",
        Err(failure) => failure.kind.row().code,
    };
    if let Err(failure) = &result {
        conclude(exchange, failure, &story.request);
    }
    node.metrics.outcomes.with_label_values(&[outcome]).inc();
    log::info!(request = story.request.as_str(), outcome = outcome; "model: request ended.");
    outcome.clone_into(&mut story.outcome);
    story.total_ms = start.elapsed().as_millis() as u64;
    node.stories.keep(story);
}

/// Tells the caller of a failure, as an answer or as the last event.
fn conclude(exchange: &mut Exchange<'_>, failure: &Failure, id: &str) {
    let id = (!id.is_empty()).then_some(id);
    let told = if exchange.unanswered() {
        answer::fail(exchange, failure, id)
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
    story: &mut Story,
) -> Result<(Admitted, Prompt), Failure> {
    let id = caller_id(exchange)?;
    story.request = id.clone().unwrap_or_else(|| node.unique());
    let document =
        node.document().ok_or_else(|| Failure::new(Kind::NotReady, "no configuration yet"))?;
    let prompt = read(call, &exchange.body)?;
    let model = document.config.model(&prompt.model);
    let model = model.ok_or_else(|| {
        let text = format!("no model `{}`; see /v1/models", prompt.model);
        Failure::new(Kind::NotFound, text)
    })?;
    if prompt.adapter.as_ref().is_some_and(|a| !model.adapters.contains(a)) {
        return Err(Failure::new(Kind::NotFound, "the model has no such adapter"));
    }
    let tokens = node.state().ratios.tokens(&prompt.model, prompt.bytes);
    let asks = Asks::Model { name: &prompt.model, tokens };
    let admitted = admit(node, exchange, &document, Some(story.request.clone()), asks)?;
    story.tokens = tokens;
    admitted.workspace().clone_into(&mut story.workspace);
    story.class = admitted.class.name.to_string();
    Ok((admitted, prompt))
}

/// An attempt that is under way.
#[derive(Debug)]
struct Attempt {
    number: usize,
    id: String,
    choice: Choice,
    heard: Instant,
    first: bool,
}

/// State of one request while it runs.
struct Run<'r, 'e> {
    node: &'r Arc<Node>,
    exchange: &'r mut Exchange<'e>,
    admitted: Admitted,
    prompt: Prompt,
    call: Call,
    style: Style,
    tokens: u64,
    text: String,
    delivered: u64,
    tried: Vec<TargetId>,
    sender: Sender<Message>,
    inbox: Receiver<Message>,
    _deadline: Ticket,
}

/// How an attempt ended.
enum Ended {
    /// The answer is whole.
    Whole,
    /// Another attempt may follow.
    Again(Failure),
    /// The request is over.
    Over(Failure),
}

impl<'r, 'e> Run<'r, 'e> {
    fn new(
        node: &'r Arc<Node>,
        exchange: &'r mut Exchange<'e>,
        admitted: Admitted,
        prompt: Prompt,
        call: Call,
    ) -> Self {
        let (sender, inbox) = channel();
        let alarm = sender.clone();
        let deadline =
            node.timer.at(admitted.end, move || alarm.send(Message::Deadline).unwrap_or_default());
        let created = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let style = Style { call, id: admitted.id.clone(), model: prompt.model.clone(), created };
        let tokens = node.state().ratios.tokens(&prompt.model, prompt.bytes);
        Self {
            node,
            exchange,
            admitted,
            prompt,
            call,
            style,
            tokens,
            text: String::new(),
            delivered: 0,
            tried: Vec::new(),
            sender,
            inbox,
            _deadline: deadline,
        }
    }

    fn run(mut self, story: &mut Story) -> Result<(), Failure> {
        let mut last = Failure::new(Kind::NoTarget, "no target is open");
        for number in 0..ATTEMPTS {
            if number > 0 && !self.node.state().budget.spend() {
                story.steps.push("no retry: the budget is spent".to_owned());
                break;
            }
            let choice = match self.choose() {
                Ok(choice) => choice,
                Err(none) if number == 0 => return Err(none),
                Err(_) => break,
            };
            story.steps.push(format!("{}: {}", choice.target, choice.reason));
            story.target = choice.target.to_string();
            match self.attempt(number, choice, story) {
                Ended::Whole => {
                    self.node.state().budget.earn();
                    return Ok(());
                }
                Ended::Again(failure) => {
                    story.steps.push(failure.to_string());
                    last = failure;
                }
                Ended::Over(failure) => return Err(failure),
            }
        }
        Err(last)
    }

    fn choose(&self) -> Result<Choice, Failure> {
        let config = &self.admitted.document.config;
        let pools: Vec<_> = config.pools_for(&self.admitted.class, &self.prompt.model).collect();
        let ask = Ask {
            kind: TargetKind::Engine,
            pools: &pools,
            zone: &self.node.zone,
            tokens: self.tokens,
            tried: &self.tried,
        };
        choose(&self.node.state().board, &ask, Instant::now())
    }

    fn attempt(&mut self, number: usize, choice: Choice, story: &mut Story) -> Ended {
        let id = self.node.unique();
        self.node.state().board.sent(&choice.target, self.tokens);
        self.tried.push(TargetId::clone(&choice.target));
        let mut attempt = Attempt { number, id, choice, heard: Instant::now(), first: false };
        let ended = match self.send(&attempt) {
            Ok(()) => self.follow(&mut attempt, story),
            Err(failure) => Ended::Over(failure),
        };
        self.settle(&attempt, &ended);
        ended
    }

    /// Starts the thread that reads the engine's stream.
    fn send(&self, attempt: &Attempt) -> Result<(), Failure> {
        let call = Generate {
            addr: attempt.choice.addr.clone(),
            path: self.call.path(),
            attempt: attempt.id.clone(),
            offset: self.delivered,
            remaining: self.admitted.left(),
            priority: self.admitted.class.priority,
            trace: self.exchange.head.header(engine::TRACE).map(str::to_owned),
            body: self.exchange.body.clone(),
        };
        let (agent, sender, number) =
            (self.node.pooled.clone(), self.sender.clone(), attempt.number);
        let reading = move || {
            let events = sender.clone();
            let sink = move |event| events.send(Message::Event(number, event)).is_ok();
            let ended = engine::generate(&agent, &call, sink);
            // A request that has ended does not wait for this any more.
            drop(sender.send(Message::Done(number, ended)));
        };
        let spawned =
            thread::Builder::new().name("attempt".to_owned()).stack_size(STACK).spawn(reading);
        spawned.map(drop).map_err(|e| Failure::new(Kind::NoTarget, e.to_string()))
    }

    /// Follows one attempt to its end.
    fn follow(&mut self, attempt: &mut Attempt, story: &mut Story) -> Ended {
        loop {
            match self.inbox.recv_timeout(LOOK) {
                Ok(Message::Deadline) => return self.too_late(),
                Ok(Message::Event(n, event)) if n == attempt.number => {
                    if let Some(ended) = self.event(attempt, event, story) {
                        return ended;
                    }
                }
                Ok(Message::Done(n, result)) if n == attempt.number => {
                    return self.done(attempt, result);
                }
                Err(_) if self.exchange.caller_gone() => {
                    return Ended::Over(Failure::new(Kind::CallerGone, "the caller went away"));
                }
                Err(_) if attempt.first && attempt.heard.elapsed() > STALL => {
                    return Ended::Again(Failure::new(Kind::CutAnswer, "the engine fell silent"));
                }
                // What an earlier attempt still says counts no more.
                Ok(_) | Err(_) => {}
            }
        }
    }

    fn too_late(&self) -> Ended {
        let text = format!("no whole answer within {:?}", self.admitted.start.elapsed());
        Ended::Over(Failure::new(Kind::RunTimeout, text))
    }

    fn done(&self, attempt: &Attempt, result: Result<(), Fault>) -> Ended {
        match result {
            Ok(()) => Ended::Again(Failure::new(Kind::CutAnswer, "no end mark came")),
            Err(Fault::Rejected { status, text }) => {
                let text = format!("the engine answered {status}: {text}");
                Ended::Over(Failure::new(Kind::BadRequest, text))
            }
            Err(fault @ (Fault::NotSent(_) | Fault::Refused { .. })) => {
                if matches!(fault, Fault::Refused { leaving: true, .. }) {
                    self.node.state().board.refused(&attempt.choice.target);
                }
                let kind = if self.delivered == 0 { Kind::Refused } else { Kind::CutAnswer };
                Ended::Again(Failure::new(kind, fault.to_string()))
            }
            Err(fault) => {
                let kind = if self.delivered == 0 { Kind::TargetFailed } else { Kind::CutAnswer };
                Ended::Again(Failure::new(kind, fault.to_string()))
            }
        }
    }

    fn event(&mut self, attempt: &mut Attempt, event: Event, story: &mut Story) -> Option<Ended> {
        let (Event::Token { attempt: echoed, .. } | Event::End { attempt: echoed, .. }) = &event;
        if *echoed != attempt.id {
            self.node.metrics.crossed.inc();
            return None;
        }
        attempt.heard = Instant::now();
        let told = match event {
            Event::Token { index, text, .. } => {
                if index != self.delivered {
                    let text = format!("token {index} came in place of {}", self.delivered);
                    return Some(Ended::Again(Failure::new(Kind::CutAnswer, text)));
                }
                self.first(attempt, story);
                self.token(&text)
            }
            Event::End { tokens, prompt, reason, .. } => {
                if tokens != self.delivered {
                    let text = format!("{} of {tokens} tokens came", self.delivered);
                    return Some(Ended::Again(Failure::new(Kind::CutAnswer, text)));
                }
                let told = self.finish(prompt, &reason);
                if told.is_ok() {
                    return Some(Ended::Whole);
                }
                told
            }
        };
        told.err().map(|e| Ended::Over(Failure::new(Kind::CallerGone, e.to_string())))
    }

    fn first(&self, attempt: &mut Attempt, story: &mut Story) {
        if attempt.first {
            return;
        }
        attempt.first = true;
        self.node.state().board.first_token(&attempt.choice.target, self.tokens);
        if story.first_ms.is_none() {
            let took = self.admitted.start.elapsed();
            story.first_ms = Some(took.as_millis() as u64);
            self.node.metrics.first.observe(took.as_secs_f64());
        }
    }

    fn token(&mut self, text: &str) -> std::io::Result<()> {
        self.delivered += 1;
        if !self.prompt.stream {
            self.text.push_str(text);
            return Ok(());
        }
        if self.exchange.unanswered() {
            let headers = self.headers("text/event-stream");
            self.exchange.begin(200, &headers)?;
        }
        self.exchange.send(&self.style.event(text))
    }

    fn finish(&mut self, prompt: u64, reason: &str) -> std::io::Result<()> {
        let model = ModelId::from(self.prompt.model.as_str());
        self.node.state().ratios.learn(&model, self.prompt.bytes, prompt);
        let usage = Usage {
            prompt_tokens: prompt,
            completion_tokens: self.delivered,
            total_tokens: prompt + self.delivered,
        };
        if !self.prompt.stream {
            let headers = self.headers("application/json");
            return self.exchange.answer(
                200,
                &headers,
                &self.style.whole(&self.text, reason, usage),
            );
        }
        if self.exchange.unanswered() {
            let headers = self.headers("text/event-stream");
            self.exchange.begin(200, &headers)?;
        }
        self.exchange.send(&self.style.end(reason, usage))?;
        self.exchange.finish();
        Ok(())
    }

    fn headers(&self, content: &str) -> Vec<Header> {
        vec![("content-type", content.to_owned()), (REQUEST_ID, self.admitted.id.clone())]
    }

    /// Notes how the attempt ended and has its memory freed where it may linger.
    fn settle(&self, attempt: &Attempt, ended: &Ended) {
        let whole = matches!(ended, Ended::Whole);
        let blamed = match ended {
            Ended::Whole => false,
            Ended::Again(f) | Ended::Over(f) => {
                f.kind != Kind::CallerGone && f.kind != Kind::BadRequest
            }
        };
        let mut state = self.node.state();
        if !attempt.first {
            state.board.first_token(&attempt.choice.target, self.tokens);
        }
        state.board.ended(&attempt.choice.target, !blamed, Instant::now());
        drop(state);
        let label = if whole { "whole" } else { "failed" };
        self.node.metrics.attempts.with_label_values(&[label]).inc();
        let unrun = matches!(ended, Ended::Again(f) if f.kind == Kind::Refused);
        if !whole && !unrun {
            let freed = Freed { addr: attempt.choice.addr.clone(), attempt: attempt.id.clone() };
            if self.node.freed.send(freed).is_err() {
                log::error!("model: nobody frees memory.");
            }
        }
    }
}
