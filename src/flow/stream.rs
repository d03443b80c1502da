//! Follows the attempts at one model request and passes its tokens on.
//!
//! The thread of the request waits on one channel: events of the engine's
//! stream, the end of an attempt, and the deadline from the timer service.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mimosapass_caller::answer::REQUEST_ID;
use mimosapass_caller::exchange::{Exchange, Header};
use mimosapass_caller::openai::{Call, Prompt, Style, Usage};
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::{ModelId, TargetId};
use mimosapass_core::route::Choice;
use mimosapass_target::engine::{self, Event, Generate};
use mimosapass_target::fault::Fault;

use crate::flow::admit::Admitted;
use crate::flow::pick::{self, Booked};
use crate::flow::retry::{self, Bounds, Ended};
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

/// An attempt that is under way.
#[derive(Debug)]
struct Attempt {
    number: usize,
    id: String,
    addr: String,
    heard: Instant,
    booked: Booked,
}

/// State of one model request while it runs.
#[derive(Debug)]
pub struct Run<'r, 'e> {
    node: &'r Arc<Node>,
    exchange: &'r mut Exchange<'e>,
    admitted: Admitted,
    prompt: Prompt,
    call: Call,
    style: Style,
    tokens: u64,
    text: String,
    delivered: u64,
    sender: Sender<Message>,
    inbox: Receiver<Message>,
    _deadline: Ticket,
}

impl<'r, 'e> Run<'r, 'e> {
    /// Prepares to run an admitted request.
    pub fn new(
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
            sender,
            inbox,
            _deadline: deadline,
        }
    }

    /// Runs the request until its answer is whole.
    ///
    /// # Errors
    ///
    /// Says why there is no whole answer; part of it may have been streamed.
    pub fn run(mut self, story: &mut Story) -> Result<(), Failure> {
        let node = Arc::clone(self.node);
        let repeatable = self.admitted.class.idempotent != Some(false);
        let bounds = Bounds { most: ATTEMPTS, end: self.admitted.end, repeatable };
        retry::attempts(&node, &mut self, bounds, story, Self::pick, Self::attempt)
    }

    fn pick(&self, tried: &[TargetId]) -> Result<Choice, Failure> {
        pick::engine(self.node, &self.admitted, &self.prompt.model, self.tokens, tried)
    }

    fn attempt(&mut self, number: usize, choice: &Choice, story: &mut Story) -> Ended<()> {
        let mut attempt = Attempt {
            number,
            id: self.node.unique(),
            addr: choice.addr.clone(),
            heard: Instant::now(),
            booked: Booked::new(self.node, &choice.target, self.tokens),
        };
        let ended = match self.send(&attempt, story) {
            Ok(()) => self.follow(&mut attempt, story),
            Err(failure) => Ended::Over(failure),
        };
        self.settle(attempt, &ended);
        ended
    }

    /// Starts the thread that reads the engine's stream.
    fn send(&self, attempt: &Attempt, story: &Story) -> Result<(), Failure> {
        let call = Generate {
            addr: attempt.addr.clone(),
            path: self.call.path(),
            attempt: attempt.id.clone(),
            offset: self.delivered,
            remaining: self.admitted.left(),
            priority: self.admitted.class.priority,
            trace: story.trace.parent(),
            body: self.exchange.body.clone(),
        };
        let agent = self.node.pooled.clone();
        let (sender, number) = (self.sender.clone(), attempt.number);
        let reading = move || {
            let events = sender.clone();
            let sink = move |event| events.send(Message::Event(number, event)).is_ok();
            let ended = engine::generate(&agent, &call, sink);
            // A request that has ended does not wait for this any more.
            sender.send(Message::Done(number, ended)).unwrap_or_default();
        };
        let spawned =
            thread::Builder::new().name("attempt".to_owned()).stack_size(STACK).spawn(reading);
        spawned.map(drop).map_err(|e| Failure::new(Kind::NoTarget, e.to_string()))
    }

    /// Follows one attempt to its end.
    fn follow(&mut self, attempt: &mut Attempt, story: &mut Story) -> Ended<()> {
        loop {
            match self.inbox.recv_timeout(LOOK) {
                Ok(Message::Deadline) => return self.too_late(),
                _ if self.node.ending() => return cut("the instance was made to end".to_owned()),
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
                Err(_) if attempt.booked.first_came() && attempt.heard.elapsed() > STALL => {
                    return Ended::Again(Failure::new(Kind::CutAnswer, "the engine fell silent"));
                }
                // What an earlier attempt still says counts no more.
                Ok(_) | Err(_) => {}
            }
        }
    }

    fn too_late(&self) -> Ended<()> {
        let text = format!("no whole answer within {:?}", self.admitted.start.elapsed());
        Ended::Over(Failure::new(Kind::RunTimeout, text))
    }

    fn done(&self, attempt: &Attempt, result: Result<(), Fault>) -> Ended<()> {
        let fault = match result {
            Ok(()) => return Ended::Again(Failure::new(Kind::CutAnswer, "no end mark came")),
            Err(Fault::Rejected { status, text }) => {
                let text = format!("the engine answered {status}: {text}");
                return Ended::Over(Failure::new(Kind::Rejected, text));
            }
            Err(fault) => fault,
        };
        if matches!(fault, Fault::Refused { leaving: true, .. }) {
            attempt.booked.leaving();
        }
        let kind = match (self.delivered, fault.not_run()) {
            (0, true) => Kind::Refused,
            (0, false) => Kind::TargetFailed,
            _ => Kind::CutAnswer,
        };
        Ended::Again(Failure::new(kind, fault.to_string()))
    }

    /// Handles one event; returns how the attempt ended, if it did.
    fn event(
        &mut self,
        attempt: &mut Attempt,
        event: Event,
        story: &mut Story,
    ) -> Option<Ended<()>> {
        let (Event::Token { attempt: echoed, .. } | Event::End { attempt: echoed, .. }) = &event;
        if *echoed != attempt.id {
            self.node.metrics.crossed.inc();
            return None;
        }
        attempt.heard = Instant::now();
        let gone = |e: io::Error| Ended::Over(Failure::new(Kind::CallerGone, e.to_string()));
        match event {
            Event::Token { index, .. } if index != self.delivered => {
                Some(cut(format!("token {index} came in place of {}", self.delivered)))
            }
            Event::Token { text, .. } => {
                self.first(attempt, story);
                self.token(&text).err().map(gone)
            }
            Event::End { tokens, .. } if tokens != self.delivered => {
                Some(cut(format!("{} of {tokens} tokens came", self.delivered)))
            }
            Event::End { prompt, reason, .. } => match self.finish(prompt, &reason) {
                Ok(()) => Some(Ended::Whole(())),
                Err(e) => Some(gone(e)),
            },
        }
    }

    fn first(&self, attempt: &mut Attempt, story: &mut Story) {
        attempt.booked.first_token();
        if story.first_ms.is_none() {
            let took = self.admitted.start.elapsed();
            story.first_ms = Some(took.as_millis() as u64);
            self.node.metrics.first.observe(took.as_secs_f64());
        }
    }

    fn token(&mut self, text: &str) -> io::Result<()> {
        self.delivered += 1;
        if !self.prompt.stream {
            self.text.push_str(text);
            return Ok(());
        }
        self.begin()?;
        self.exchange.send(&self.style.event(text))
    }

    fn begin(&mut self) -> io::Result<()> {
        if !self.exchange.unanswered() {
            return Ok(());
        }
        let headers = self.headers("text/event-stream");
        self.exchange.begin(200, &headers)
    }

    fn finish(&mut self, prompt: u64, reason: &str) -> io::Result<()> {
        let model = ModelId::from(self.prompt.model.as_str());
        self.node.state().ratios.learn(&model, self.prompt.bytes, prompt);
        let usage = Usage {
            prompt_tokens: prompt,
            completion_tokens: self.delivered,
            total_tokens: prompt + self.delivered,
        };
        if !self.prompt.stream {
            let headers = self.headers("application/json");
            let body = self.style.whole(&self.text, reason, usage);
            return self.exchange.answer(200, &headers, &body);
        }
        self.begin()?;
        self.exchange.send(&self.style.end(reason, usage))?;
        self.exchange.finish();
        Ok(())
    }

    fn headers(&self, content: &str) -> Vec<Header> {
        vec![("content-type", content.to_owned()), (REQUEST_ID, self.admitted.id.clone())]
    }

    /// Blames the target where it failed and has lingering memory freed.
    fn settle(&self, mut attempt: Attempt, ended: &Ended<()>) {
        let failure = match ended {
            Ended::Whole(()) => return,
            Ended::Again(failure) | Ended::Over(failure) => failure,
        };
        if !matches!(failure.kind, Kind::CallerGone | Kind::Rejected) {
            attempt.booked.blame();
        }
        if failure.kind != Kind::Refused {
            let freed = Freed { addr: attempt.addr, attempt: attempt.id };
            if self.node.freed.send(freed).is_err() {
                log::error!("model: nobody frees memory.");
            }
        }
    }
}

fn cut(text: String) -> Ended<()> {
    Ended::Again(Failure::new(Kind::CutAnswer, text))
}
