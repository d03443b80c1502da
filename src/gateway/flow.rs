//! Serves one request: routing, queueing, attempts and response.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::head::Head;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::route_table::{RouteTable, ServiceId};
use mimosapass_core::edge::schedule::Grant;
use mimosapass_core::edge::wait::caller_timeout;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_platform::header;
use mimosapass_target::http::{Connection, ResponseHead};

use super::attempt::{self, AttemptResult};
use super::metrics::band;
use super::queue;
use super::relay::{self, Progress, RelayEnd, RelayLimits};
use super::request::{self, Request};
use super::reservations::Reservations;
use super::state::Gateway;

/// Most attempts of a request that may fail before anything was sent.
const MAX_NOT_SENT: u32 = 4;
/// Share of the caller's timeout after which a silent stream is retried. The rest lets
/// another target answer before the caller disconnects.
const STREAM_SILENCE: f64 = 0.7;
/// Silence after which a call without a stream is retried. The unit is the time limit
/// of the route.
const CALL_SILENCE_GOALS: u32 = 2;
/// Time for which a request waits for the first configuration. A starting instance
/// loads it within a few hundred milliseconds when the store is healthy.
const CONFIG_WAIT: Duration = Duration::from_millis(500);
/// Longest part of a host or path that is logged.
const LOGGED_CHARS: usize = 80;
/// Outcome of a request whose caller disconnected.
const CALLER_GONE: &str = "caller_gone";
/// Interval between checks for the first configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a request ended, for its log line and metrics.
#[derive(Debug)]
struct RequestEnd {
    outcome: &'static str,
    detail: String,
}

impl RequestEnd {
    /// Ends a request whose caller disconnected, or did not take what was sent in time.
    fn caller_gone(exchange: &Exchange<'_>) -> Self {
        match exchange.departure() {
            Some(departure) => Self { outcome: CALLER_GONE, detail: departure.to_string() },
            None => Self {
                outcome: "caller_slow",
                detail: "the caller did not take the response in time".to_owned(),
            },
        }
    }
}

/// A request being served.
struct Flow<'a, 'e> {
    gateway: &'a Arc<Gateway>,
    exchange: &'a mut Exchange<'e>,
    request: Request,
    /// Attempts in which something was sent to a target.
    sends: u32,
    /// Attempts that failed before anything was sent.
    not_sent: u32,
    /// Whether a retry was taken from the limits before a silent target was given up.
    retry_reserved: bool,
    /// Whether the request may have run.
    may_have_run: bool,
    /// Last complete response, which reported a failure.
    last_response: Option<(ResponseHead, Vec<u8>)>,
    /// Part of the stream that was sent to the caller.
    progress: Progress,
    /// Why the last attempt failed.
    last_error: String,
    /// Target of the last attempt.
    target: Option<TargetId>,
}

/// Serves one request and responds on the exchange.
pub fn handle(gateway: &Arc<Gateway>, exchange: &mut Exchange<'_>) {
    let arrived = Instant::now();
    while gateway.route_table().version == 0 && arrived.elapsed() < CONFIG_WAIT {
        thread::sleep(POLL_INTERVAL);
    }
    let table = gateway.route_table();
    let resolved = request::resolve(&table, exchange, arrived);
    let resolved = resolved.map_err(|f| request::doubt(gateway, f, table.version, arrived));
    let resolved = resolved.and_then(|request| {
        let refused =
            gateway.too_late(request.deadline.saturating_duration_since(arrived), arrived);
        let stopping = || {
            Failure::new(
                Kind::Stopping,
                "the instance is stopping and might not finish the request",
            )
        };
        if refused { Err(stopping()) } else { Ok(request) }
    });
    let request = match resolved {
        Ok(request) => request,
        Err(failure) => {
            log_refusal(gateway, &table, &exchange.head, &failure, arrived);
            return respond_failure(exchange, &failure);
        }
    };
    exchange.set_deadline(request.deadline);
    gateway.record_request(&request.requirements.service, arrived);
    let mut flow = Flow {
        gateway,
        exchange,
        request,
        sends: 0,
        not_sent: 0,
        retry_reserved: false,
        may_have_run: false,
        last_response: None,
        progress: Progress::default(),
        last_error: String::new(),
        target: None,
    };
    let end = flow.serve();
    flow.report(&end, &table, arrived);
}

/// Records in metrics and the log that a request was refused on arrival.
fn log_refusal(
    gateway: &Gateway,
    table: &RouteTable,
    head: &Head,
    failure: &Failure,
    now: Instant,
) {
    let (host, path) = (head.header("host").unwrap_or_default(), head.path.as_str());
    let shown = |text: &str| text.chars().take(LOGGED_CHARS).collect::<String>();
    let last_success = gateway.state().store.last_success;
    let age = last_success.map(|at| now.saturating_duration_since(at).as_millis().to_string());
    let kind = failure.kind;
    log::info!(
        id = head.header(header::ATTEMPT_ID).unwrap_or_default(),
        version = table.version,
        kind:? = kind,
        method = head.method.as_str(),
        host = shown(host),
        path = shown(path),
        store_age_ms = age.as_deref().unwrap_or("never");
        "request: refused, {failure}."
    );
    gateway.metrics.requests.with_label_values(&["none", kind.row().code]).inc();
}

impl Flow<'_, '_> {
    /// Records in metrics and the log how the request ended.
    fn report(&self, end: &RequestEnd, table: &RouteTable, arrived: Instant) {
        let label = band(self.request.requirements.prompt);
        self.gateway.metrics.requests.with_label_values(&[label, end.outcome]).inc();
        let level = match end.outcome {
            "served" | CALLER_GONE => log::Level::Debug,
            _ => log::Level::Info,
        };
        log::log!(
            level,
            id = self.request.attempt_id.as_str(),
            route = &*self.request.route.name,
            prompt = self.request.requirements.prompt,
            sends = self.sends,
            target_id = self.target.as_deref().unwrap_or("none"),
            took_ms = arrived.elapsed().as_millis() as u64,
            pause_ms = self.progress.max_gap.as_millis() as u64,
            version = table.version;
            "request: {}, {}.", end.outcome, end.detail
        );
    }

    fn serve(&mut self) -> RequestEnd {
        loop {
            if self.sends + self.not_sent > 0 && !self.may_retry() {
                return self.respond_last_failure();
            }
            let exchange = &*self.exchange;
            let granted =
                queue::wait(self.gateway, &self.request.requirements, || exchange.caller_gone());
            let grant = match granted {
                Ok(grant) => grant,
                Err(failure) if self.sends > 0 && failure.kind != Kind::CallerGone => {
                    self.last_error = format!("{}; then {failure}", self.last_error);
                    return self.respond_last_failure();
                }
                Err(failure) => return self.refuse(&failure),
            };
            self.record_grant(&grant);
            let end = self.attempt(&grant);
            self.gateway.finish(&grant, Instant::now());
            if let Some(end) = end {
                return end;
            }
            self.request.requirements.avoid.push(TargetId::clone(&grant.placement.target.id));
        }
    }

    /// Records the target that the request was granted.
    fn record_grant(&mut self, grant: &Grant) {
        let requirements = &self.request.requirements;
        let waited = grant.at.saturating_duration_since(requirements.entry.arrived);
        let label = band(requirements.prompt);
        let histogram = self.gateway.metrics.wait_time.with_label_values(&[label]);
        histogram.observe(waited.as_secs_f64());
        self.target = Some(TargetId::clone(&grant.placement.target.id));
        let scheduler = self.gateway.state().remote.scheduler_of(grant.id);
        log::debug!(
            id = self.request.attempt_id.as_str(),
            request = grant.id,
            placed_by = scheduler.as_deref().unwrap_or(&self.gateway.name),
            prompt = requirements.prompt,
            targets = grant.targets().join(","),
            waited_ms = waited.as_millis() as u64,
            predicted_ms = grant.placement.first_event.as_millis() as u64,
            harm = grant.placement.interference;
            "request: granted a target."
        );
    }

    /// Attempts the request once; `None` when it may be retried.
    fn attempt(&mut self, grant: &Grant) -> Option<RequestEnd> {
        let reservations = match Reservations::reserve(self.gateway, grant) {
            Ok(reservations) => reservations,
            Err(error) => return self.record_not_sent(error),
        };
        if !self.gateway.accepts(grant) {
            return self.record_not_sent("the target has left since it was granted".to_owned());
        }
        let silent_at =
            self.max_silence().map_or(self.request.deadline, |silence| Instant::now() + silence);
        let (gateway, service) = (self.gateway, &self.request.requirements.service);
        let reserved = &mut self.retry_reserved;
        let give_up = || {
            *reserved = gateway.try_retry(service, Instant::now());
            *reserved
        };
        let result = attempt::send(
            gateway,
            self.exchange,
            &self.request,
            grant,
            &reservations,
            silent_at,
            give_up,
        );
        match result {
            AttemptResult::Complete(response, body) => {
                self.sends += 1;
                self.may_have_run = true;
                if response.status < 500 || !self.request.is_idempotent() {
                    return Some(self.relay_response(&response, &body));
                }
                self.last_error = format!("status {}", response.status);
                self.last_response = Some((response, body));
                None
            }
            AttemptResult::Stream(connection, response) => {
                self.may_have_run = true;
                self.relay_stream(grant, connection, &response)
            }
            AttemptResult::NotSent(error) => {
                self.gateway.connections.close_all(grant.placement.target.addr);
                self.record_not_sent(error)
            }
            AttemptResult::NotRun(error) => self.record_failure(error, false),
            AttemptResult::Lost(error) => self.record_failure(error, true),
            AttemptResult::CallerGone => Some(RequestEnd::caller_gone(self.exchange)),
            AttemptResult::Expired => {
                self.may_have_run = true;
                "the deadline passed before the target responded".clone_into(&mut self.last_error);
                Some(self.expire())
            }
        }
    }

    fn record_not_sent(&mut self, error: String) -> Option<RequestEnd> {
        self.not_sent += 1;
        self.last_error = error;
        None
    }

    fn record_failure(&mut self, error: String, may_have_run: bool) -> Option<RequestEnd> {
        self.sends += 1;
        self.may_have_run |= may_have_run;
        self.last_error = error;
        None
    }

    /// Returns how long the target may be silent, if the request may be retried.
    fn max_silence(&self) -> Option<Duration> {
        let route = &self.request.route;
        let can_retry = self.request.is_idempotent() && self.sends + 1 < route.attempts;
        let silence = if route.streaming {
            caller_timeout(route.latency_goal, route.max_gap).mul_f64(STREAM_SILENCE)
        } else {
            route.latency_goal * CALL_SILENCE_GOALS
        };
        can_retry.then_some(silence)
    }

    /// Relays a stream; `None` when it failed and may be resumed at another target.
    fn relay_stream(
        &mut self,
        grant: &Grant,
        mut connection: Connection,
        response: &ResponseHead,
    ) -> Option<RequestEnd> {
        let limits = RelayLimits { silence: self.max_silence(), deadline: self.request.deadline };
        let (gateway, request) = (self.gateway, &self.request);
        let on_event = |gap: Option<Duration>| match gap {
            None => record_first_event(gateway, request, grant),
            Some(gap) => gateway.record_event(grant, request.requirements.engine.as_ref(), gap),
        };
        let reserved = &mut self.retry_reserved;
        let give_up = || {
            *reserved = gateway.try_retry(&request.requirements.service, Instant::now());
            *reserved
        };
        let progress = &mut self.progress;
        let end = relay::relay(
            self.exchange,
            &mut connection,
            response,
            progress,
            limits,
            on_event,
            give_up,
        );
        let id = &grant.placement.target.id;
        self.sends += 1;
        match end {
            RelayEnd::Complete => {
                self.exchange.finish();
                self.gateway.record_outcome(id, Outcome::Answered, Instant::now());
                attempt::reuse(self.gateway, connection, response);
                Some(RequestEnd {
                    outcome: "served",
                    detail: format!("{} chunks", self.progress.chunks),
                })
            }
            RelayEnd::CallerGone => Some(RequestEnd::caller_gone(self.exchange)),
            RelayEnd::Expired => {
                "the deadline passed during the stream".clone_into(&mut self.last_error);
                Some(self.expire())
            }
            RelayEnd::Failed(error) => {
                connection.abort();
                self.gateway.record_outcome(id, Outcome::Silent, Instant::now());
                error.clone_into(&mut self.last_error);
                self.prepare_resume();
                None
            }
        }
    }

    /// Prepares a failed stream for resumption after its last event.
    ///
    /// The caller's timeout counts from that event; the time limit of the first event
    /// no longer applies.
    fn prepare_resume(&mut self) {
        let Some(last_sent) = self.progress.last_sent else { return };
        self.request.last_event.clone_from(&self.progress.last_event);
        let route = &self.request.route;
        let entry = &mut self.request.requirements.entry;
        entry.expires = self
            .request
            .deadline
            .min(last_sent + caller_timeout(route.latency_goal, route.max_gap));
        entry.due = entry.expires;
    }

    /// Returns whether the request may be attempted once more.
    fn may_retry(&mut self) -> bool {
        let request = &self.request;
        if self.not_sent >= MAX_NOT_SENT || self.sends >= request.route.attempts {
            return false;
        }
        if self.may_have_run && !request.is_idempotent() {
            return false;
        }
        if !self.progress.is_resumable() {
            return false;
        }
        let allowed = self.sends == 0
            || std::mem::take(&mut self.retry_reserved)
            || self.gateway.try_retry(&request.requirements.service, Instant::now());
        if !allowed {
            self.last_error = format!("{}; the retry budget is used up", self.last_error);
        }
        allowed
    }

    fn relay_response(&mut self, response: &ResponseHead, body: &[u8]) -> RequestEnd {
        let outcome = match response.status {
            ..400 => "served",
            400..500 => Kind::Rejected.row().code,
            _ => Kind::TargetFailed.row().code,
        };
        match self.exchange.relay(
            response.status,
            &attempt::end_to_end_headers(response),
            &[],
            body,
        ) {
            Ok(()) => RequestEnd { outcome, detail: format!("status {}", response.status) },
            Err(_) => RequestEnd::caller_gone(self.exchange),
        }
    }

    /// Ends the request with the most specific failure known.
    fn respond_last_failure(&mut self) -> RequestEnd {
        if self.progress.begun {
            // The connection is closed without an end of the body, so that the caller
            // does not take the stream for complete.
            return RequestEnd { outcome: "cut", detail: self.last_error.clone() };
        }
        if let Some((response, body)) = self.last_response.take() {
            return self.relay_response(&response, &body);
        }
        let kind = if self.may_have_run { Kind::TargetFailed } else { Kind::Refused };
        self.refuse(&Failure::new(kind, self.last_error.clone()))
    }

    fn expire(&mut self) -> RequestEnd {
        if self.progress.begun {
            return RequestEnd { outcome: "cut", detail: self.last_error.clone() };
        }
        self.refuse(&Failure::new(Kind::RunTimeout, self.last_error.clone()))
    }

    fn refuse(&mut self, failure: &Failure) -> RequestEnd {
        if failure.kind == Kind::CallerGone {
            return RequestEnd::caller_gone(self.exchange);
        }
        respond_failure(self.exchange, failure);
        RequestEnd { outcome: failure.kind.row().code, detail: failure.to_string() }
    }
}

/// Records the first event of a stream.
fn record_first_event(gateway: &Gateway, request: &Request, grant: &Grant) {
    let now = Instant::now();
    gateway.record_first_event(grant, now);
    let arrived = request.requirements.entry.arrived;
    let elapsed = now.saturating_duration_since(arrived);
    let label = band(request.requirements.prompt);
    gateway.metrics.first_event_time.with_label_values(&[label]).observe(elapsed.as_secs_f64());
    log::debug!(
        id = request.attempt_id.as_str(),
        prompt = request.requirements.prompt,
        parts = grant.placement.helpers.len() + 1,
        first_ms = elapsed.as_millis() as u64,
        waited_ms = grant.at.saturating_duration_since(arrived).as_millis() as u64,
        targets = grant.targets().join(","),
        predicted_ms = grant.placement.first_event.as_millis() as u64;
        "request: first event."
    );
}

/// Responds with a failure of the gateway itself.
fn respond_failure(exchange: &mut Exchange<'_>, failure: &Failure) {
    let row = failure.kind.row();
    let mut headers = vec![("content-type", "text/plain".to_owned())];
    if let (true, Some(after)) = (row.not_run, failure.retry_after()) {
        headers.push((header::RETRY_AFTER, header::retry_after(after)));
    }
    if let Err(e) = exchange.respond(row.status, &headers, failure.detail.as_bytes()) {
        log::debug!("request: the response could not be sent to the caller: {e}.");
    }
}

impl Gateway {
    /// Counts a caller's request, which raises the retry limit of its service.
    fn record_request(&self, service: &ServiceId, now: Instant) {
        self.state()
            .retry_windows
            .entry(ServiceId::clone(service))
            .or_default()
            .record_request(now);
    }

    /// Uses one retry; returns whether the limits allow it.
    fn try_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let mut state = self.state();
        let instances = state.instance_count();
        let window = state.retry_windows.entry(ServiceId::clone(service)).or_default();
        window.try_retry(&self.settings.retry_limits, instances, now)
    }
}
