//! One run of a request, at a target or over a peer: sends it and reads the response without waiting.
//!
//! The thread of a request waits for all its runs and its caller at once, and lets each run
//! take what has arrived.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::quarantine::SETTLE_TIME;
use mimosapass_core::edge::schedule::Grant;
use mimosapass_core::ids::TargetId;
use mimosapass_platform::header;
use mimosapass_target::http::{
    Awaited, BodyPart, Connection, Defect, Framing, ReadError, ResponseHead,
};

use super::attempt;
use super::detour;
use super::prepared::{Place, Prepared};
use super::relay::complete_length;
use super::request::Request;
use super::reservations::MISDIRECTED;
use super::state::Gateway;
use crate::held_bytes::HeldBytes;

/// Largest accepted body of a response that is not streamed; a larger one is malformed.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Largest accepted event of a stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Responses to earlier requests that are skipped. A connection is used by one request at a
/// time, so that more of them than one are rare.
const MAX_SKIPPED: u32 = 4;

/// What a run has come to.
#[derive(Debug)]
pub enum Step {
    /// More has to be received.
    Pending,
    /// Complete events of a stream.
    Events(Vec<u8>),
    /// The stream is complete; these are its last bytes.
    End(Vec<u8>),
    /// A complete response, successful or not.
    Response(ResponseHead, Vec<u8>),
    /// No byte of the request was sent.
    NotSent(String),
    /// The target stated that it did not run the request.
    NotRun(String),
    /// Another target answers at the address; the granted one is gone.
    Gone(String),
    /// The run failed after the request may have run.
    Failed(String),
    /// As above, since the response is malformed. Nothing else in it counts.
    Malformed(Defect),
}

/// What is read next.
#[derive(Debug)]
enum Reading {
    Head,
    /// The body of a response to an earlier request, and the bytes read so far.
    Skipped(Framing, usize),
    Body(ResponseHead, Vec<u8>),
    Stream(ResponseHead, Vec<u8>),
}

/// A run of a request at a target.
#[derive(Debug)]
pub struct Run {
    /// When the target was connected to.
    pub began: Instant,
    /// When the last head or event arrived; before that, when the run started.
    pub heard: Instant,
    /// When the first event was complete.
    pub first_event: Option<Instant>,
    /// When the last event was complete.
    pub last_event: Option<Instant>,
    /// Since when the target has sent no event, if it was recorded as silent.
    pub silent_since: Option<Instant>,
    connection: Connection,
    request: Vec<u8>,
    written: usize,
    reading: Reading,
    skipped: u32,
    /// Whether the refusal may belong to another request.
    doubtful: bool,
    /// Target on account of which the request was refused, if it is another one of its prompt.
    pub at_fault: Option<TargetId>,
    /// Memory of the body.
    held: HeldBytes,
    /// The response, once it is complete.
    complete: Option<ResponseHead>,
    gateway: Arc<Gateway>,
    place: Place,
}

impl Run {
    /// Encodes the request for a prepared target or peer; the first step sends it.
    ///
    /// `sends` counts the targets and peers that got it before.
    pub fn new(prepared: Prepared, exchange: &Exchange<'_>, request: &Request, sends: u32) -> Self {
        let Prepared { mut connection, gateway, place } = prepared;
        connection.begin();
        let now = Instant::now();
        let bytes = match &place {
            Place::Target { reservations, placed } => {
                attempt::encode(exchange, request, &placed.grant, reservations, now)
            }
            Place::Peer(_) => {
                let attempts = request.route.attempts.saturating_sub(sends).max(1);
                attempt::encode_detour(exchange, request, attempts, now)
            }
        };
        Self {
            heard: now,
            first_event: None,
            last_event: None,
            silent_since: None,
            connection,
            request: bytes,
            written: 0,
            began: now,
            reading: Reading::Head,
            skipped: 0,
            doubtful: false,
            at_fault: None,
            held: HeldBytes::new(&gateway.response_bytes),
            complete: None,
            gateway,
            place,
        }
    }

    /// Returns the grant of a run at a target.
    pub fn grant(&self) -> Option<&Grant> {
        match &self.place {
            Place::Target { placed, .. } => Some(&placed.grant),
            Place::Peer(_) => None,
        }
    }

    /// Returns the target; `None` if the run goes over a peer.
    pub fn target(&self) -> Option<&Arc<Target>> {
        self.grant().map(|grant| &grant.placement.target)
    }

    /// Returns the name of the target or peer.
    pub fn name(&self) -> &str {
        match &self.place {
            Place::Target { placed, .. } => &placed.grant.placement.target.id,
            Place::Peer(peer) => &peer.name,
        }
    }

    /// Returns what to wait for.
    pub fn awaited(&self) -> Awaited<'_> {
        Awaited { connection: &self.connection, writing: self.written < self.request.len() }
    }

    /// Receives what has arrived.
    pub fn receive(&mut self) {
        self.connection.fill();
    }

    /// Sends and reads as far as possible.
    pub fn advance(&mut self, method: &str, request: &Request) -> Step {
        if matches!(&self.place, Place::Target { reservations, .. } if reservations.is_lost()) {
            return Step::Failed("an engine of the prompt has restarted".to_owned());
        }
        let failed = self.write();
        match (self.read(method, request), failed) {
            // A target may respond before it has read the whole request.
            (Step::Pending, Some(failed)) => failed,
            (step, _) => step,
        }
    }

    fn read(&mut self, method: &str, request: &Request) -> Step {
        loop {
            let step = match &mut self.reading {
                Reading::Head => self.read_head(method, request),
                Reading::Skipped(..) => self.skip_body(),
                Reading::Body(..) => self.read_body(),
                Reading::Stream(..) => self.read_events(request),
            };
            if let Some(step) = step {
                return step;
            }
        }
    }

    /// Writes the rest of the request as far as the target takes it.
    fn write(&mut self) -> Option<Step> {
        let rest = &self.request[self.written..];
        if rest.is_empty() {
            return None;
        }
        // What came before the request does not answer it, and would be taken for its answer.
        if self.written == 0 && !self.connection.reusable(Instant::now()) {
            let error = format!("{} sent something unrequested, or left", self.connection.addr());
            return Some(Step::NotSent(error));
        }
        match self.connection.write(rest) {
            Ok(count) => {
                self.written += count;
                None
            }
            Err(e) => {
                let (written, addr) = (self.written, self.connection.addr());
                let error = format!("only {written} bytes of the request were sent to {addr}: {e}");
                Some(if written == 0 { Step::NotSent(error) } else { Step::Failed(error) })
            }
        }
    }

    /// Reads the head of a response; `None` when its body is to be read.
    fn read_head(&mut self, method: &str, request: &Request) -> Option<Step> {
        let response = match self.connection.parse_head(method) {
            Ok(Some(response)) => response,
            Ok(None) => return Some(Step::Pending),
            Err(e) => return Some(read_failure(e)),
        };
        if let Some(target) = self.target() {
            self.gateway.read_notices(target, &response);
        }
        let echoed = response.header(header::ATTEMPT_ID);
        if echoed.is_some_and(|id| id != request.attempt_id) {
            self.skipped += 1;
            if self.skipped > MAX_SKIPPED {
                let error = "the target responds to earlier requests only";
                return Some(Step::Failed(error.to_owned()));
            }
            self.reading = Reading::Skipped(response.framing, 0);
            return None;
        }
        let success = (200..300).contains(&response.status);
        let signed = is_signed(&response)
            && echoed.is_some()
            && response.header("content-encoding").is_none();
        let not_run = self.states_not_run(&response);
        // Targets name the request in all answers; one that names none may belong to another one.
        self.doubtful = not_run && echoed.is_none() && self.grant().is_some();
        if not_run {
            self.at_fault = self.grant().and_then(|g| self.gateway.read_fault(g, &response));
        }
        if !signed && !not_run && !self.is_rejection(&response) {
            let error = if success {
                "the response has no signature of the target".to_owned()
            } else {
                format!("status {} without a signature", response.status)
            };
            return Some(Step::Failed(error));
        }
        if let Some(target) = self.target() {
            self.gateway.read_limit(target, &response, (!not_run).then_some(self.began));
        }
        self.heard = Instant::now();
        self.reading = if success && request.route.streaming {
            Reading::Stream(response, Vec::new())
        } else {
            Reading::Body(response, Vec::new())
        };
        None
    }

    /// Reads the body of a response to an earlier request; `None` when it is complete.
    fn skip_body(&mut self) -> Option<Step> {
        let Reading::Skipped(framing, read) = &mut self.reading else { return None };
        loop {
            match self.connection.next_part(framing) {
                Ok(BodyPart::Data(data)) if *read + data.len() <= MAX_BODY_BYTES => {
                    *read += data.len();
                }
                Ok(BodyPart::NeedMore) => return Some(Step::Pending),
                Ok(BodyPart::End) => {
                    self.reading = Reading::Head;
                    return None;
                }
                Ok(BodyPart::Data(_)) => return Some(Step::Malformed(Defect::TooLong)),
                Err(e) => return Some(read_failure(e)),
            }
        }
    }

    /// Returns whether a response states that the request has not run.
    fn states_not_run(&self, response: &ResponseHead) -> bool {
        match &self.place {
            Place::Target { .. } => states_not_run(response),
            Place::Peer(_) => !is_signed(response) && detour::is_refusal(response),
        }
    }

    /// Returns whether a peer itself finds the request wrong.
    fn is_rejection(&self, response: &ResponseHead) -> bool {
        self.grant().is_none() && (400..500).contains(&response.status)
    }

    fn read_body(&mut self) -> Option<Step> {
        let Reading::Body(response, _) = &self.reading else { return None };
        let not_run = self.states_not_run(response);
        let Reading::Body(response, body) = &mut self.reading else { return None };
        loop {
            let part = self.connection.next_part(&mut response.framing);
            match part {
                Ok(BodyPart::Data(data)) if body.len() + data.len() <= MAX_BODY_BYTES => {
                    if !self.held.grow(data.len(), self.gateway.max_response_bytes()) {
                        let error = "the responses of other requests hold too much memory";
                        return Some(Step::Failed(error.to_owned()));
                    }
                    body.extend(data);
                }
                Ok(BodyPart::End) => {
                    let (response, body) = (response.clone(), std::mem::take(body));
                    self.complete = Some(response.clone());
                    return Some(if not_run {
                        refusal(&response)
                    } else {
                        Step::Response(response, body)
                    });
                }
                // What a target sends after it stated that it did not run is not waited for.
                _ if not_run => return Some(refusal(response)),
                Ok(BodyPart::NeedMore) => return Some(Step::Pending),
                Ok(BodyPart::Data(_)) => return Some(Step::Malformed(Defect::TooLong)),
                Err(e) => return Some(read_failure(e)),
            }
        }
    }

    fn read_events(&mut self, request: &Request) -> Option<Step> {
        let resumed = self.last_event.is_some() || request.last_event.is_some();
        let Reading::Stream(response, partial) = &mut self.reading else { return None };
        loop {
            match self.connection.next_part(&mut response.framing) {
                Ok(BodyPart::Data(data)) => {
                    partial.extend(data);
                    if let Some(length) = complete_length(partial) {
                        self.heard = Instant::now();
                        return Some(Step::Events(partial.drain(..length).collect()));
                    }
                    if partial.len() > MAX_EVENT_BYTES {
                        return Some(Step::Failed("an event of the stream has no end".to_owned()));
                    }
                }
                Ok(BodyPart::NeedMore) => return Some(Step::Pending),
                Ok(BodyPart::End) if !partial.is_empty() => {
                    return Some(Step::Failed("the stream ended within an event".to_owned()));
                }
                // A crash that closes the connection looks the same.
                Ok(BodyPart::End) if response.framing == Framing::UntilClose && !resumed => {
                    return Some(Step::Failed("the stream ended without an event".to_owned()));
                }
                Ok(BodyPart::End) => {
                    self.complete = Some(response.clone());
                    return Some(Step::End(std::mem::take(partial)));
                }
                Err(e) => return Some(read_failure(e)),
            }
        }
    }

    /// Returns the head of the response that is streamed, or was complete.
    pub fn response(&self) -> Option<&ResponseHead> {
        match &self.reading {
            Reading::Body(response, _) | Reading::Stream(response, _) => Some(response),
            Reading::Head | Reading::Skipped(..) => None,
        }
    }

    /// Returns whether the refusal of the target may belong to another request.
    pub fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    /// Returns whether the target has gone on with its answer for a while.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.first_event.is_some_and(|at| now >= at + SETTLE_TIME)
    }

    /// Returns the time between the last event and one at `now`; `None` for the first one.
    pub fn record_event(&mut self, now: Instant) -> Option<Duration> {
        self.first_event.get_or_insert(now);
        let last = self.last_event.replace(now);
        last.map(|at| now.saturating_duration_since(at))
    }

    /// Ends the run: keeps its connection if that can be used again, else cancels the work.
    pub fn release(self) {
        let sent = self.written == self.request.len();
        match self.complete.clone().filter(|_| sent) {
            Some(response) if self.grant().is_some() => {
                attempt::reuse(&self.gateway, self.connection, &response);
            }
            _ => self.connection.abort(),
        }
    }
}

impl Step {
    /// Returns what the end of a run says of its target, if anything.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Pending | Self::Events(_) => None,
            Self::Response(response, _) if response.status >= 500 => Some(Outcome::Failed),
            Self::End(_) | Self::Response(..) => Some(Outcome::Answered),
            Self::NotRun(_) => Some(Outcome::Refused),
            Self::Gone(_) | Self::NotSent(_) | Self::Failed(_) | Self::Malformed(_) => {
                Some(Outcome::Silent)
            }
        }
    }

    /// Returns the value of the metrics label `outcome`.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Pending | Self::Events(_) => "streaming",
            Self::End(_) | Self::Response(..) => "answered",
            Self::NotSent(_) => "unsent",
            Self::NotRun(_) | Self::Gone(_) => "not_run",
            Self::Failed(_) => "lost",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// Returns the step of a response that states that the request was not run.
fn refusal(response: &ResponseHead) -> Step {
    let error = format!("status {}", response.status);
    if response.status == MISDIRECTED { Step::Gone(error) } else { Step::NotRun(error) }
}

fn is_signed(response: &ResponseHead) -> bool {
    response.header(header::SIGNATURE).is_some()
}

/// Returns whether a target states in a response that it did not run the request.
fn states_not_run(response: &ResponseHead) -> bool {
    let success = (200..300).contains(&response.status);
    !success && (response.status == MISDIRECTED || response.header(header::NOT_RUN).is_some())
}

fn read_failure(error: ReadError) -> Step {
    match error {
        ReadError::Truncated => Step::Failed(error.to_string()),
        ReadError::Malformed(defect) => Step::Malformed(defect),
    }
}
