//! Follows the attempts at one model request and passes its tokens on.
//!
//! The thread of the request waits on one channel: events of the engine's
//! stream, the end of an attempt, and the deadline from the timer service.

use std::cell::RefCell;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::openai::{Call, ModelRequest, Usage};
use mimosapass_core::answer::{Action, Progress};
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::{ModelId, TargetId};
use mimosapass_core::prefix;
use mimosapass_core::route::{Cause, Choice, Reason};
use mimosapass_target::engine::{Event, Generate};
use mimosapass_target::error::CallError;

use crate::background::groups;
use crate::background::memory::{self, ClaimGuard};
use crate::background::reclaim::ReclaimRequest;
use crate::explain::Explanation;
use crate::flow::admit::Admitted;
use crate::flow::group::{self, Grant};
use crate::flow::pick::{self, Booked};
use crate::flow::reader::{Message, Reader};
use crate::flow::reply::Reply;
use crate::flow::retry::{self, Bounds, Ended};
use crate::node::Node;
use crate::timer::TimerGuard;

/// Attempts at one request, at most.
const ATTEMPTS: usize = 4;
/// Time between two looks at whether the caller is still there.
const LOOK: Duration = Duration::from_millis(250);
/// Silence of an engine after its first token that ends an attempt.
const STALL: Duration = Duration::from_secs(10);
/// Silence of an engine before its first token that ends an attempt, if its
/// load reports, which come each second, have been missing for as long.
///
/// It exceeds the time in which another instance takes over the polls.
const UNHEARD: Duration = Duration::from_secs(8);
/// An attempt that is under way.
#[derive(Debug)]
struct Attempt {
    number: usize,
    id: String,
    addr: String,
    target: TargetId,
    resumes: Option<String>,
    heard: Instant,
    booked: Booked,
    grant: Option<Grant>,
    reader: Reader,
    _claim: ClaimGuard,
}

/// An engine that may go on where its stream was cut.
#[derive(Debug)]
struct Resume {
    choice: Choice,
    attempt: String,
}

/// State of one model request while it runs.
#[derive(Debug)]
pub struct Run<'r, 'e> {
    node: &'r Arc<Node>,
    exchange: &'r mut Exchange<'e>,
    admitted: Admitted,
    prompt: ModelRequest,
    call: Call,
    reply: Reply,
    tokens: u64,
    progress: Progress,
    resume: Option<Resume>,
    need: Option<u64>,
    grant: RefCell<Option<Grant>>,
    sender: Sender<Message>,
    inbox: Receiver<Message>,
    _deadline: TimerGuard,
}

impl<'r, 'e> Run<'r, 'e> {
    /// Prepares to run an admitted request of about `tokens` prompt tokens.
    pub fn new(
        node: &'r Arc<Node>,
        exchange: &'r mut Exchange<'e>,
        admitted: Admitted,
        prompt: ModelRequest,
        call: Call,
        tokens: u64,
    ) -> Self {
        let (sender, inbox) = channel();
        let alarm = sender.clone();
        let deadline = node
            .timer
            .schedule(admitted.end, move || alarm.send(Message::Deadline).unwrap_or_default());
        let reply = Reply::new(call, &admitted.id, &prompt);
        let need = group::wanted(node, &admitted, &prompt, tokens);
        Self {
            node,
            exchange,
            admitted,
            prompt,
            call,
            reply,
            tokens,
            progress: Progress::default(),
            resume: None,
            need,
            grant: RefCell::new(None),
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
    pub fn run(mut self, explanation: &mut Explanation) -> Result<(), Failure> {
        let node = Arc::clone(self.node);
        let repeatable = self.admitted.class.idempotent != Some(false);
        let peer = self.need.is_some() && groups::led_by_peer(&node);
        let bounds = Bounds { most: ATTEMPTS, end: self.admitted.end, repeatable, peer };
        retry::attempts(&node, &mut self, bounds, explanation, Self::pick, Self::attempt)
    }

    /// Chooses the engine whose stream was cut, or else another one.
    fn pick(&self, tried: &[TargetId]) -> Result<Choice, Failure> {
        if let Some(resume) = self.resume.as_ref().filter(|r| self.open(&r.choice)) {
            return Ok(resume.choice.clone());
        }
        if let Some(need) = self.need {
            return self.pick_group(need);
        }
        let answer = u64::from(self.prompt.max_tokens.unwrap_or(0));
        let work = pick::Work { tokens: self.tokens, answer, prefix: self.prefix() };
        let gone = || self.exchange.caller_gone();
        pick::engine(self.node, &self.admitted, &self.prompt.model, work, tried, gone)
    }

    fn open(&self, choice: &Choice) -> bool {
        let state = self.node.state();
        state.targets.get(&choice.target).is_some_and(|k| k.is_available(Instant::now()))
    }

    fn prefix(&self) -> u64 {
        prefix::key(self.admitted.workspace(), &self.exchange.body)
    }

    fn pick_group(&self, need: u64) -> Result<Choice, Failure> {
        let model = &self.prompt.model;
        let gone = || self.exchange.caller_gone();
        let grant = group::grant(self.node, &self.admitted, model, need, gone)?;
        let choice = grant.choice();
        self.grant.replace(Some(grant));
        Ok(choice)
    }

    fn attempt(
        &mut self,
        number: usize,
        choice: &Choice,
        explanation: &mut Explanation,
    ) -> Ended<()> {
        let resume = self.resume.take().filter(|r| r.choice.target == choice.target);
        let resumes = resume.map(|r| r.attempt);
        let mut attempt = self.start(number, choice, resumes);
        let ended = match self.send(&attempt, explanation) {
            Ok(()) => self.follow(&mut attempt, explanation),
            Err(failure) => Ended::Over(failure),
        };
        self.settle(attempt, &ended);
        ended
    }

    fn start(&mut self, number: usize, choice: &Choice, resumes: Option<String>) -> Attempt {
        let grant = self.grant.take();
        let id = grant.as_ref().map_or_else(|| self.node.unique_id(), |g| g.id.clone());
        self.progress.start(&id);
        Attempt {
            number,
            addr: choice.addr.to_string(),
            target: TargetId::clone(&choice.target),
            resumes,
            heard: Instant::now(),
            booked: Booked::new(self.node, &choice.target, self.tokens).keyed(self.prefix()),
            grant,
            reader: Reader::new(self.node, &choice.addr),
            _claim: ClaimGuard::new(self.node, &choice.addr, &id),
            id,
        }
    }

    /// Sends the request to the engine of the attempt.
    fn send(&self, attempt: &Attempt, explanation: &Explanation) -> Result<(), Failure> {
        let call = Generate {
            addr: attempt.addr.clone(),
            path: self.call.path(),
            attempt: attempt.id.clone(),
            offset: self.progress.forwarded(),
            resumes: attempt.resumes.clone(),
            holder: memory::holder_id(&self.node.name, self.node.boot),
            expiry: self.node.settings.claims.expiry,
            group: attempt.grant.as_ref().map(Grant::wire).unwrap_or_default(),
            remaining: self.admitted.left(),
            priority: self.admitted.class.priority,
            trace: explanation.trace.traceparent(),
            body: self.exchange.body.clone(),
        };
        attempt.reader.start(attempt.number, call, self.sender.clone())
    }

    /// Follows one attempt to its end.
    fn follow(&mut self, attempt: &mut Attempt, explanation: &mut Explanation) -> Ended<()> {
        loop {
            match self.inbox.recv_timeout(LOOK) {
                Ok(Message::Deadline) => return self.too_late(),
                _ if self.node.aborting() => {
                    let text = "the instance was made to end";
                    return Ended::Over(Failure::new(Kind::CutAnswer, text));
                }
                Ok(Message::Event(n, event)) if n == attempt.number => {
                    if let Some(ended) = self.event(attempt, event, explanation) {
                        return ended;
                    }
                }
                Ok(Message::Done(n, result)) if n == attempt.number => {
                    return self.done(attempt, result);
                }
                Err(_) if self.exchange.caller_gone() => {
                    return Ended::Over(Failure::new(Kind::CallerGone, "the caller went away"));
                }
                Err(_) if self.stalled(attempt) => {
                    return Ended::Again(self.failed("the engine fell silent".to_owned()));
                }
                // What an earlier attempt still says counts no more.
                Ok(_) | Err(_) => {}
            }
        }
    }

    /// Returns whether the engine has been silent for too long.
    ///
    /// Before the first token it may compute a long prompt, so that only
    /// missing load reports tell a frozen engine from one at work. Engines of
    /// other zones report to their own zone; there the deadline decides.
    fn stalled(&self, attempt: &Attempt) -> bool {
        let silent = attempt.heard.elapsed();
        if attempt.booked.first_came() {
            return silent > STALL;
        }
        let state = self.node.state();
        let unheard = state.targets.get(&attempt.target).is_some_and(|known| {
            let missing = known.reported_at.is_none_or(|at| at.elapsed() > UNHEARD);
            known.listed.zone == self.node.zone && missing
        });
        silent > UNHEARD && unheard
    }

    /// Returns the failure of an attempt that may have run.
    fn failed(&self, text: String) -> Failure {
        let kind =
            if self.progress.forwarded() == 0 { Kind::TargetFailed } else { Kind::CutAnswer };
        Failure::new(kind, text)
    }

    fn too_late(&self) -> Ended<()> {
        let text = format!("no whole answer within {:?}", self.admitted.start.elapsed());
        Ended::Over(Failure::new(Kind::RunTimeout, text))
    }

    /// Judges the end of a stream that came before a whole answer.
    fn done(&mut self, attempt: &Attempt, result: Result<(), CallError>) -> Ended<()> {
        let fault = match result {
            Ok(()) => {
                self.go_on(attempt);
                return Ended::Again(self.failed("no end mark came".to_owned()));
            }
            Err(CallError::Rejected { status, text }) if self.progress.forwarded() == 0 => {
                let text = format!("the engine answered {status}: {text}");
                return Ended::Over(Failure::new(Kind::Rejected, text));
            }
            Err(fault) => fault,
        };
        if matches!(fault, CallError::OutcomeUnknown(_)) {
            self.go_on(attempt);
        }
        if matches!(fault, CallError::Refused { leaving: true, .. }) {
            attempt.booked.leaving();
        }
        if self.progress.forwarded() == 0 && fault.not_run() {
            return Ended::Again(Failure::new(Kind::Refused, fault.to_string()));
        }
        Ended::Again(self.failed(fault.to_string()))
    }

    /// Prefers the same engine for the next attempt, once for each engine.
    ///
    /// A group is formed anew: its reservations go by the attempt's name.
    fn go_on(&mut self, attempt: &Attempt) {
        if attempt.grant.is_some() {
            return;
        }
        if attempt.booked.first_came() && attempt.resumes.is_none() {
            let reason = Reason::without_estimate(Cause::Resumed(self.progress.forwarded()));
            let (target, addr) = (TargetId::clone(&attempt.target), attempt.addr.as_str().into());
            let choice = Choice { target, addr, reason };
            self.resume = Some(Resume { choice, attempt: attempt.id.clone() });
        }
    }

    /// Handles one event; returns how the attempt ended, if it did.
    fn event(
        &mut self,
        attempt: &mut Attempt,
        event: Event,
        explanation: &mut Explanation,
    ) -> Option<Ended<()>> {
        let action = match &event {
            Event::Token { attempt, index, .. } => self.progress.on_token(attempt, *index),
            Event::End { attempt, tokens, .. } => self.progress.on_end(attempt, *tokens),
        };
        if action == Action::OtherAttempt {
            self.node.metrics.misrouted_events.inc();
            return None;
        }
        attempt.heard = Instant::now();
        let passed = match (action, event) {
            (Action::Forward, Event::Token { text, .. }) => {
                self.first(attempt, explanation);
                self.reply.token(self.exchange, &text).map(|()| None)
            }
            (Action::Complete, Event::End { prompt, reason, .. }) => {
                self.finish(prompt, &reason).map(|()| Some(Ended::Whole(())))
            }
            (Action::Fail(error), _) => Ok(Some(Ended::Again(self.failed(error.to_string())))),
            // The engine repeated a token.
            _ => Ok(None),
        };
        let gone = |e: io::Error| Ended::Over(Failure::new(Kind::CallerGone, e.to_string()));
        passed.unwrap_or_else(|e| Some(gone(e)))
    }

    fn first(&self, attempt: &mut Attempt, explanation: &mut Explanation) {
        attempt.booked.first_token();
        if explanation.first_ms.is_none() {
            let took = self.admitted.start.elapsed();
            explanation.first_ms = Some(took.as_millis() as u64);
            self.node.metrics.observe_first_token(self.tokens, took);
        }
    }

    fn finish(&mut self, prompt: u64, reason: &str) -> io::Result<()> {
        let model = ModelId::from(self.prompt.model.as_str());
        self.node.state().token_ratios.record_usage(&model, self.prompt.prompt_bytes, prompt);
        let usage = Usage {
            prompt_tokens: prompt,
            completion_tokens: self.progress.forwarded(),
            total_tokens: prompt + self.progress.forwarded(),
        };
        self.reply.end(self.exchange, reason, usage)
    }

    /// Blames the target where it failed and has lingering memory freed.
    fn settle(&self, mut attempt: Attempt, ended: &Ended<()>) {
        let failure = match ended {
            Ended::Whole(()) => return,
            Ended::Again(failure) | Ended::Over(failure) => failure,
        };
        attempt.reader.abandon();
        if !matches!(failure.kind, Kind::CallerGone | Kind::Rejected) {
            attempt.booked.blame();
        }
        if failure.kind != Kind::Refused {
            let freed = ReclaimRequest { addr: attempt.addr, attempt: attempt.id };
            if self.node.reclaims.send(freed).is_err() {
                log::error!("model: nobody frees memory.");
            }
        }
    }
}
