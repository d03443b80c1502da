//! The way of one request: route, place, send, answer.

use std::thread;
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::plan::{RouteTable, ServiceId};
use mimosapass_core::edge::schedule::Grant;
use mimosapass_core::edge::wait::caller_timeout;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_platform::header;
use mimosapass_target::http::{Connection, ResponseHead};

use super::attempt::{self, Sent};
use super::entry::{self, Request};
use super::metrics::band;
use super::relay::{self, End, Limits, Progress};
use super::state::Gateway;
use super::tickets::Tickets;
use super::turn;

/// Sends that reached no target and are tried again elsewhere, at most.
const MOST_UNSENT: u32 = 4;
/// Part of a caller's patience after which a silent target's work is asked for
/// elsewhere, so that the other one can still answer before the caller leaves.
const SILENCE: f64 = 0.7;
/// Time in which a target of a service answers, in its promises.
const SERVICE_SILENCE: u32 = 2;
/// Time for which a request waits for the first configuration: an instance that
/// starts has it within some hundred milliseconds when the store is well.
const FIRST_PLAN: Duration = Duration::from_millis(500);
/// Time between two looks for it.
const LOOK: Duration = Duration::from_millis(20);

/// How a request ended, for its log line.
#[derive(Debug)]
struct Ended {
    outcome: &'static str,
    why: String,
}

impl Ended {
    fn caller_gone() -> Self {
        Self { outcome: "caller_gone", why: "the caller left".to_owned() }
    }
}

/// One request on its way.
struct Flow<'a, 'e> {
    gateway: &'a Gateway,
    exchange: &'a mut Exchange<'e>,
    request: Request,
    /// Sends that reached a target.
    sends: u32,
    /// Sends that reached none.
    unsent: u32,
    /// Whether the request may have run.
    ran: bool,
    /// Last whole answer of a target.
    kept: Option<(ResponseHead, Vec<u8>)>,
    /// What the caller has of a stream.
    progress: Progress,
    /// Why the last send failed.
    why: String,
    /// Target of the last send.
    target: Option<TargetId>,
}

/// Serves one request; it answers on the exchange.
pub fn handle(gateway: &Gateway, exchange: &mut Exchange<'_>) {
    let arrived = Instant::now();
    while gateway.plan().version == 0 && arrived.elapsed() < FIRST_PLAN {
        thread::sleep(LOOK);
    }
    let plan = gateway.plan();
    let read = entry::read(&plan, exchange, arrived).and_then(|request| {
        let late = gateway.too_late(request.end.saturating_duration_since(arrived), arrived);
        let stops = || Failure::new(Kind::Stopping, "the instance stops and might not finish it");
        if late { Err(stops()) } else { Ok(request) }
    });
    let request = match read {
        Ok(request) => request,
        Err(failure) => {
            let id = exchange.head.header(header::ATTEMPT).unwrap_or_default();
            let kind = failure.kind;
            log::info!(id, version = plan.version, kind:? = kind; "request: refused, {failure}.");
            gateway.metrics.outcomes.with_label_values(&["none", kind.row().code]).inc();
            return fail(exchange, &failure);
        }
    };
    exchange.set_deadline(request.end);
    gateway.note_request(&request.need.service, arrived);
    let mut flow = Flow {
        gateway,
        exchange,
        request,
        sends: 0,
        unsent: 0,
        ran: false,
        kept: None,
        progress: Progress::default(),
        why: String::new(),
        target: None,
    };
    let ended = flow.serve();
    flow.report(&ended, &plan, arrived);
}

impl Flow<'_, '_> {
    /// Counts and logs how the request ended.
    fn report(&self, ended: &Ended, plan: &RouteTable, arrived: Instant) {
        let label = band(self.request.need.prompt);
        self.gateway.metrics.outcomes.with_label_values(&[label, ended.outcome]).inc();
        let level = match ended.outcome {
            "served" | "caller_gone" => log::Level::Debug,
            _ => log::Level::Info,
        };
        log::log!(
            level,
            id = self.request.attempt.as_str(),
            route = &*self.request.route.name,
            prompt = self.request.need.prompt,
            sends = self.sends,
            target_id = self.target.as_deref().unwrap_or("none"),
            took_ms = arrived.elapsed().as_millis() as u64,
            pause_ms = self.progress.pause.as_millis() as u64,
            version = plan.version;
            "request: {}, {}.", ended.outcome, ended.why
        );
    }

    fn serve(&mut self) -> Ended {
        loop {
            if self.sends + self.unsent > 0 && !self.may_repeat() {
                return self.give_up();
            }
            let exchange = &*self.exchange;
            let waited = turn::wait(self.gateway, &self.request.need, || exchange.caller_gone());
            let grant = match waited {
                Ok(grant) => grant,
                Err(failure) if self.sends > 0 && failure.kind != Kind::CallerGone => {
                    self.why = format!("{}; then {failure}", self.why);
                    return self.give_up();
                }
                Err(failure) => return self.refuse(&failure),
            };
            self.placed(&grant);
            let ended = self.step(&grant);
            self.gateway.finish(&grant, Instant::now());
            if let Some(ended) = ended {
                return ended;
            }
            self.request.need.avoid.push(TargetId::clone(&grant.place.target.id));
        }
    }

    /// Notes the place that the request got.
    fn placed(&mut self, grant: &Grant) {
        let need = &self.request.need;
        let waited = grant.at.saturating_duration_since(need.waiting.arrived);
        let label = band(need.prompt);
        let times = self.gateway.metrics.waited.with_label_values(&[label]);
        times.observe(waited.as_secs_f64());
        self.target = Some(TargetId::clone(&grant.place.target.id));
        log::debug!(
            id = self.request.attempt.as_str(),
            prompt = need.prompt,
            targets = grant.targets().join(","),
            waited_ms = waited.as_millis() as u64,
            predicted_ms = grant.place.first_event.as_millis() as u64,
            harm = grant.place.interference;
            "request: placed."
        );
    }

    /// Sends the request once; `None` when it may be worth another send.
    fn step(&mut self, grant: &Grant) -> Option<Ended> {
        let tickets = match Tickets::reserve(self.gateway, grant) {
            Ok(tickets) => tickets,
            Err(why) => return self.unsent(why),
        };
        let until = self.silence().map_or(self.request.end, |silence| Instant::now() + silence);
        let sent =
            attempt::send(self.gateway, self.exchange, &self.request, grant, &tickets, until);
        match sent {
            Sent::Whole(reply, body) => {
                self.sends += 1;
                self.ran = true;
                if reply.status < 500 || !self.request.repeatable() {
                    return Some(self.pass_whole(&reply, &body));
                }
                self.why = format!("status {}", reply.status);
                self.kept = Some((reply, body));
                None
            }
            Sent::Stream(connection, reply) => {
                self.ran = true;
                self.stream(grant, connection, &reply)
            }
            Sent::Unsent(why) => {
                self.gateway.idle.close_all(grant.place.target.addr);
                self.unsent(why)
            }
            Sent::NotRun(why) => self.failed(why, false),
            Sent::Lost(why) => self.failed(why, true),
            Sent::CallerGone => Some(Ended::caller_gone()),
            Sent::Late => {
                self.ran = true;
                "its time was over at the target".clone_into(&mut self.why);
                Some(self.late())
            }
        }
    }

    fn unsent(&mut self, why: String) -> Option<Ended> {
        self.unsent += 1;
        self.why = why;
        None
    }

    fn failed(&mut self, why: String, ran: bool) -> Option<Ended> {
        self.sends += 1;
        self.ran |= ran;
        self.why = why;
        None
    }

    /// Returns for how long the target may be silent, where another one can be asked.
    fn silence(&self) -> Option<Duration> {
        let route = &self.request.route;
        let again = self.request.repeatable() && self.sends + 1 < route.attempts;
        let time = if route.streaming {
            caller_timeout(route.goal, route.max_gap).mul_f64(SILENCE)
        } else {
            route.goal * SERVICE_SILENCE
        };
        again.then_some(time)
    }

    /// Passes a stream on; `None` when it broke off and may go on elsewhere.
    fn stream(
        &mut self,
        grant: &Grant,
        mut connection: Connection,
        reply: &ResponseHead,
    ) -> Option<Ended> {
        let limits = Limits { silence: self.silence(), end: self.request.end };
        let (gateway, request) = (self.gateway, &self.request);
        let event = |pause: Option<Duration>| match pause {
            None => first_event(gateway, request, grant),
            Some(pause) => gateway.event(grant, request.need.engine.as_ref(), pause),
        };
        let progress = &mut self.progress;
        let end = relay::run(self.exchange, &mut connection, reply, progress, limits, event);
        let id = &grant.place.target.id;
        self.sends += 1;
        match end {
            End::Complete => {
                self.exchange.finish();
                self.gateway.note(id, Outcome::Answered, Instant::now());
                attempt::keep(self.gateway, connection, reply);
                Some(Ended { outcome: "served", why: format!("{} pieces", self.progress.pieces) })
            }
            End::CallerGone => Some(Ended::caller_gone()),
            End::Late => {
                "its time was over in mid-stream".clone_into(&mut self.why);
                Some(self.late())
            }
            End::Cut(why) => {
                connection.abort();
                self.gateway.note(id, Outcome::Silent, Instant::now());
                why.clone_into(&mut self.why);
                self.go_on();
                None
            }
        }
    }

    /// Makes a stream that broke off go on after its last event.
    ///
    /// Its caller waits anew from that event on, and nothing else of it is due.
    fn go_on(&mut self) {
        let Some(last) = self.progress.last else { return };
        self.request.last_event.clone_from(&self.progress.last_event);
        let route = &self.request.route;
        let waiting = &mut self.request.need.waiting;
        waiting.expires = self.request.end.min(last + caller_timeout(route.goal, route.max_gap));
        waiting.due = waiting.expires;
    }

    /// Returns whether the request may be sent once more.
    fn may_repeat(&mut self) -> bool {
        let request = &self.request;
        if self.unsent >= MOST_UNSENT || self.sends >= request.route.attempts {
            return false;
        }
        if self.ran && !request.repeatable() {
            return false;
        }
        if self.progress.begun && self.progress.last_event.is_none() {
            return false;
        }
        let allowed =
            self.sends == 0 || self.gateway.take_repeat(&request.need.service, Instant::now());
        if !allowed {
            self.why = format!("{}; no repeat is left in the window", self.why);
        }
        allowed
    }

    fn pass_whole(&mut self, reply: &ResponseHead, body: &[u8]) -> Ended {
        let outcome = if reply.status < 500 { "served" } else { "target_failed" };
        match self.exchange.relay(reply.status, &attempt::relayed(reply), &[], body) {
            Ok(()) => Ended { outcome, why: format!("status {}", reply.status) },
            Err(_) => Ended::caller_gone(),
        }
    }

    /// Answers with the truest failure that is left.
    fn give_up(&mut self) -> Ended {
        if self.progress.begun {
            // The connection is broken off, so that the stream does not look whole.
            return Ended { outcome: "cut", why: self.why.clone() };
        }
        if let Some((reply, body)) = self.kept.take() {
            return self.pass_whole(&reply, &body);
        }
        let kind = if self.ran { Kind::TargetFailed } else { Kind::Refused };
        self.refuse(&Failure::new(kind, self.why.clone()))
    }

    fn late(&mut self) -> Ended {
        if self.progress.begun {
            return Ended { outcome: "cut", why: self.why.clone() };
        }
        self.refuse(&Failure::new(Kind::RunTimeout, self.why.clone()))
    }

    fn refuse(&mut self, failure: &Failure) -> Ended {
        if failure.kind == Kind::CallerGone {
            return Ended::caller_gone();
        }
        fail(self.exchange, failure);
        Ended { outcome: failure.kind.row().code, why: failure.to_string() }
    }
}

/// Notes the first event of a stream.
fn first_event(gateway: &Gateway, request: &Request, grant: &Grant) {
    let now = Instant::now();
    gateway.first_event(grant, now);
    let since = request.need.waiting.arrived;
    let first = now.saturating_duration_since(since);
    let label = band(request.need.prompt);
    gateway.metrics.first.with_label_values(&[label]).observe(first.as_secs_f64());
    log::debug!(
        id = request.attempt.as_str(),
        prompt = request.need.prompt,
        parts = grant.place.helpers.len() + 1,
        first_ms = first.as_millis() as u64,
        waited_ms = grant.at.saturating_duration_since(since).as_millis() as u64,
        targets = grant.targets().join(","),
        predicted_ms = grant.place.first_event.as_millis() as u64;
        "request: first event."
    );
}

/// Answers with a failure of the gateway's own.
fn fail(exchange: &mut Exchange<'_>, failure: &Failure) {
    let row = failure.kind.row();
    let mut headers = vec![("content-type", "text/plain".to_owned())];
    if let (true, Some(after)) = (row.not_run, failure.retry_after()) {
        headers.push((header::RETRY_AFTER, header::retry_after(after)));
    }
    if let Err(e) = exchange.respond(row.status, &headers, failure.detail.as_bytes()) {
        log::debug!("request: the caller took no answer: {e}.");
    }
}

impl Gateway {
    /// Counts a request of a caller for the bound on repeats.
    fn note_request(&self, service: &ServiceId, now: Instant) {
        self.state().repeats.entry(ServiceId::clone(service)).or_default().record_request(now);
    }

    /// Takes one repeat; returns whether the bound allowed it.
    fn take_repeat(&self, service: &ServiceId, now: Instant) -> bool {
        let mut state = self.state();
        let instances = state.instances();
        let repeats = state.repeats.entry(ServiceId::clone(service)).or_default();
        repeats.try_retry(&self.settings.repeats, instances, now)
    }
}
