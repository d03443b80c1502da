//! Runs the attempts at one model request and forwards its tokens.
//!
//! The thread of the request receives three kinds of messages on one channel:
//! events of the engine's stream, the end of an attempt, and the deadline.

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
use crate::node::Node;
use crate::request::admission::Admitted;
use crate::request::engine_group::{self, ReservedGroup};
use crate::request::response::Response;
use crate::request::retry::{self, AttemptOutcome, RetryLimits};
use crate::request::selection::{self, TrackedAttempt};
use crate::request::stream_reader::{Message, StreamReader};
use crate::timer::TimerGuard;

/// Maximum number of attempts at one request.
const MAX_ATTEMPTS: usize = 4;
/// Interval at which the connection to the caller is checked.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Silence of an engine after the first token that ends an attempt.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without events or load reports that ends an attempt before its first token.
///
/// Load reports come each second. The time exceeds that in which another instance
/// takes over polling the engine.
const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

/// A running attempt.
#[derive(Debug)]
struct Attempt {
    number: usize,
    id: String,
    addr: String,
    target: TargetId,
    resumes: Option<String>,
    last_event: Instant,
    tracked: TrackedAttempt,
    group: Option<ReservedGroup>,
    reader: StreamReader,
    _claim: ClaimGuard,
}

/// An engine that may resume its interrupted stream.
#[derive(Debug)]
struct ResumePoint {
    choice: Choice,
    attempt: String,
}

/// A running model request.
#[derive(Debug)]
pub struct Generation<'r, 'e> {
    node: &'r Arc<Node>,
    exchange: &'r mut Exchange<'e>,
    admitted: Admitted,
    prompt: ModelRequest,
    call: Call,
    response: Response,
    tokens: u64,
    progress: Progress,
    resume: Option<ResumePoint>,
    group_tokens: Option<u64>,
    group: RefCell<Option<ReservedGroup>>,
    sender: Sender<Message>,
    messages: Receiver<Message>,
    _deadline: TimerGuard,
}

impl<'r, 'e> Generation<'r, 'e> {
    /// Builds a run of an admitted request of about `tokens` prompt tokens.
    pub fn new(
        node: &'r Arc<Node>,
        exchange: &'r mut Exchange<'e>,
        admitted: Admitted,
        prompt: ModelRequest,
        call: Call,
        tokens: u64,
    ) -> Self {
        let (sender, messages) = channel();
        let on_deadline = sender.clone();
        let deadline = node.timer.schedule(admitted.deadline, move || {
            on_deadline.send(Message::Deadline).unwrap_or_default();
        });
        let response = Response::new(call, &admitted.id, &prompt);
        let group_tokens = engine_group::group_memory(node, &admitted, &prompt, tokens);
        Self {
            node,
            exchange,
            admitted,
            prompt,
            call,
            response,
            tokens,
            progress: Progress::default(),
            resume: None,
            group_tokens,
            group: RefCell::new(None),
            sender,
            messages,
            _deadline: deadline,
        }
    }

    /// Returns whether the request may run more than once.
    fn is_repeatable(&self) -> bool {
        self.admitted.class.idempotent != Some(false)
    }

    /// Runs the request until its answer is complete.
    ///
    /// # Errors
    ///
    /// Fails when there is no complete answer; part of it may have been streamed.
    pub fn run(mut self, explanation: &mut Explanation) -> Result<(), Failure> {
        let node = Arc::clone(self.node);
        let repeatable = self.is_repeatable();
        let peer_hop = self.group_tokens.is_some() && groups::led_by_peer(&node);
        let limits = RetryLimits {
            max_attempts: MAX_ATTEMPTS,
            deadline: self.admitted.deadline,
            repeatable,
            peer_hop,
        };
        retry::run_attempts(&node, &mut self, limits, explanation, Self::choose, Self::attempt)
    }

    /// Chooses the engine whose stream was interrupted, or else another one.
    fn choose(&self, tried: &[TargetId]) -> Result<Choice, Failure> {
        if let Some(resume) = self.resume.as_ref().filter(|r| self.is_available(&r.choice)) {
            return Ok(resume.choice.clone());
        }
        if let Some(group_tokens) = self.group_tokens {
            return self.choose_group(group_tokens);
        }
        let answer_tokens = u64::from(self.prompt.max_tokens.unwrap_or(0));
        let estimate =
            selection::PromptEstimate { tokens: self.tokens, answer_tokens, prefix: self.prefix() };
        let caller_gone = || self.exchange.caller_gone();
        selection::choose_engine(
            self.node,
            &self.admitted,
            &self.prompt.model,
            estimate,
            tried,
            caller_gone,
        )
    }

    fn is_available(&self, choice: &Choice) -> bool {
        let state = self.node.state();
        state.targets.get(&choice.target).is_some_and(|t| t.is_available(Instant::now()))
    }

    fn prefix(&self) -> u64 {
        prefix::key(self.admitted.workspace(), &self.exchange.body)
    }

    fn choose_group(&self, group_tokens: u64) -> Result<Choice, Failure> {
        let model = &self.prompt.model;
        let caller_gone = || self.exchange.caller_gone();
        let group =
            engine_group::acquire(self.node, &self.admitted, model, group_tokens, caller_gone)?;
        let choice = group.choice();
        self.group.replace(Some(group));
        Ok(choice)
    }

    fn attempt(
        &mut self,
        number: usize,
        choice: &Choice,
        explanation: &mut Explanation,
    ) -> AttemptOutcome<()> {
        let resume = self.resume.take().filter(|r| r.choice.target == choice.target);
        let resumes = resume.map(|r| r.attempt);
        let mut attempt = self.start(number, choice, resumes);
        let outcome = match self.send(&attempt, explanation) {
            Ok(()) => self.follow(&mut attempt, explanation),
            Err(failure) => AttemptOutcome::Final(failure),
        };
        self.release(attempt, &outcome);
        outcome
    }

    fn start(&mut self, number: usize, choice: &Choice, resumes: Option<String>) -> Attempt {
        let group = self.group.take();
        let id = group.as_ref().map_or_else(|| self.node.unique_id(), |g| g.id.clone());
        self.progress.start(&id);
        Attempt {
            number,
            addr: choice.addr.to_string(),
            target: TargetId::clone(&choice.target),
            resumes,
            last_event: Instant::now(),
            tracked: TrackedAttempt::new(self.node, &choice.target, self.tokens)
                .with_prefix(self.prefix()),
            group,
            reader: StreamReader::new(self.node, &choice.addr, self.is_repeatable()),
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
            group: attempt.group.as_ref().map(ReservedGroup::members).unwrap_or_default(),
            remaining: self.admitted.remaining(),
            priority: self.admitted.class.priority,
            trace: explanation.trace.traceparent(),
            body: self.exchange.body.clone(),
        };
        attempt.reader.start(attempt.number, call, self.sender.clone())
    }

    /// Handles messages until the attempt ends.
    fn follow(
        &mut self,
        attempt: &mut Attempt,
        explanation: &mut Explanation,
    ) -> AttemptOutcome<()> {
        loop {
            match self.messages.recv_timeout(CALLER_POLL_INTERVAL) {
                Ok(Message::Deadline) => return self.run_timeout(),
                _ if self.node.aborting() => {
                    let text = "the instance is shutting down";
                    return AttemptOutcome::Final(Failure::new(Kind::CutAnswer, text));
                }
                Ok(Message::Event(n, event)) if n == attempt.number => {
                    if let Some(outcome) = self.on_event(attempt, event, explanation) {
                        return outcome;
                    }
                }
                Ok(Message::Done(n, result)) if n == attempt.number => {
                    return self.on_stream_end(attempt, result);
                }
                Err(_) if self.exchange.caller_gone() => {
                    return AttemptOutcome::Final(Failure::new(
                        Kind::CallerGone,
                        "the caller disconnected",
                    ));
                }
                Err(_) if self.stalled(attempt) => {
                    return AttemptOutcome::Retry(
                        self.failure("the engine stopped sending".to_owned()),
                    );
                }
                // Messages of earlier attempts are ignored.
                Ok(_) | Err(_) => {}
            }
        }
    }

    /// Returns whether the engine has been silent for too long.
    ///
    /// Before the first token it may compute a long prompt, so that only
    /// missing load reports tell a frozen engine from a busy one. Engines of
    /// other zones report to their own zone; for these only the deadline applies.
    fn stalled(&self, attempt: &Attempt) -> bool {
        let silent = attempt.last_event.elapsed();
        if attempt.tracked.has_first_token() {
            return silent > STALL_TIMEOUT;
        }
        let state = self.node.state();
        let reports_missing = state.targets.get(&attempt.target).is_some_and(|target| {
            let missing = target.reported_at.is_none_or(|at| at.elapsed() > REPORT_TIMEOUT);
            target.listed.zone == self.node.zone && missing
        });
        silent > REPORT_TIMEOUT && reports_missing
    }

    /// Returns the failure of an attempt that may have run.
    fn failure(&self, text: String) -> Failure {
        let kind =
            if self.progress.forwarded() == 0 { Kind::TargetFailed } else { Kind::CutAnswer };
        Failure::new(kind, text)
    }

    fn run_timeout(&self) -> AttemptOutcome<()> {
        let text = format!("no complete answer within {:?}", self.admitted.start.elapsed());
        AttemptOutcome::Final(Failure::new(Kind::RunTimeout, text))
    }

    /// Handles a stream that ended before the answer was complete.
    fn on_stream_end(
        &mut self,
        attempt: &Attempt,
        result: Result<(), CallError>,
    ) -> AttemptOutcome<()> {
        let error = match result {
            Ok(()) => {
                self.prepare_resume(attempt);
                return AttemptOutcome::Retry(
                    self.failure("the stream ended without an end event".to_owned()),
                );
            }
            Err(CallError::Rejected { status, text }) if self.progress.forwarded() == 0 => {
                let text = format!("the engine answered {status}: {text}");
                return AttemptOutcome::Final(Failure::new(Kind::Rejected, text));
            }
            Err(error) => error,
        };
        if matches!(error, CallError::OutcomeUnknown(_)) {
            self.prepare_resume(attempt);
        }
        if matches!(error, CallError::Refused { leaving: true, .. }) {
            attempt.tracked.mark_draining();
        }
        if self.progress.forwarded() == 0 && error.not_run() {
            return AttemptOutcome::Retry(Failure::new(Kind::Refused, error.to_string()));
        }
        AttemptOutcome::Retry(self.failure(error.to_string()))
    }

    /// Makes the next attempt resume on the same engine, once for each engine.
    ///
    /// A group is reserved anew, since its reservations carry the attempt's id.
    fn prepare_resume(&mut self, attempt: &Attempt) {
        if attempt.group.is_some() {
            return;
        }
        if attempt.tracked.has_first_token() && attempt.resumes.is_none() {
            let reason = Reason::without_estimate(Cause::Resumed(self.progress.forwarded()));
            let (target, addr) = (TargetId::clone(&attempt.target), attempt.addr.as_str().into());
            let choice = Choice { target, addr, reason };
            self.resume = Some(ResumePoint { choice, attempt: attempt.id.clone() });
        }
    }

    /// Handles one event; returns the outcome if the attempt ended.
    fn on_event(
        &mut self,
        attempt: &mut Attempt,
        event: Event,
        explanation: &mut Explanation,
    ) -> Option<AttemptOutcome<()>> {
        let action = match &event {
            Event::Token { attempt, index, .. } => self.progress.on_token(attempt, *index),
            Event::End { attempt, tokens, .. } => self.progress.on_end(attempt, *tokens),
        };
        if action == Action::OtherAttempt {
            self.node.metrics.misrouted_events.inc();
            return None;
        }
        attempt.last_event = Instant::now();
        let forwarded = match (action, event) {
            (Action::Forward, Event::Token { text, .. }) => {
                self.record_first_token(attempt, explanation);
                self.response.push_token(self.exchange, &text).map(|()| None)
            }
            (Action::Complete, Event::End { prompt, reason, .. }) => {
                self.finish_answer(prompt, &reason).map(|()| Some(AttemptOutcome::Complete(())))
            }
            (Action::Fail(error), _) => {
                Ok(Some(AttemptOutcome::Retry(self.failure(error.to_string()))))
            }
            // The engine sent a token that was already forwarded.
            _ => Ok(None),
        };
        let caller_gone =
            |e: io::Error| AttemptOutcome::Final(Failure::new(Kind::CallerGone, e.to_string()));
        forwarded.unwrap_or_else(|e| Some(caller_gone(e)))
    }

    fn record_first_token(&self, attempt: &mut Attempt, explanation: &mut Explanation) {
        attempt.tracked.record_first_token();
        if explanation.first_ms.is_none() {
            let elapsed = self.admitted.start.elapsed();
            explanation.first_ms = Some(elapsed.as_millis() as u64);
            self.node.metrics.observe_first_token(self.tokens, elapsed);
        }
    }

    fn finish_answer(&mut self, prompt: u64, reason: &str) -> io::Result<()> {
        let model = ModelId::from(self.prompt.model.as_str());
        self.node.state().token_ratios.record_usage(&model, self.prompt.prompt_bytes, prompt);
        let usage = Usage {
            prompt_tokens: prompt,
            completion_tokens: self.progress.forwarded(),
            total_tokens: prompt + self.progress.forwarded(),
        };
        self.response.finish(self.exchange, reason, usage)
    }

    /// Records a failure of the target and frees the memory that the attempt may hold.
    fn release(&self, mut attempt: Attempt, outcome: &AttemptOutcome<()>) {
        let failure = match outcome {
            AttemptOutcome::Complete(()) => return,
            AttemptOutcome::Retry(failure) | AttemptOutcome::Final(failure) => failure,
        };
        attempt.reader.abandon();
        if !matches!(failure.kind, Kind::CallerGone | Kind::Rejected) {
            attempt.tracked.mark_failed();
        }
        if failure.kind != Kind::Refused {
            let reclaim = ReclaimRequest { addr: attempt.addr, attempt: attempt.id };
            if self.node.reclaims.send(reclaim).is_err() {
                log::error!(
                    "model: the memory of an attempt is not freed: the reclaim thread has ended."
                );
            }
        }
    }
}
