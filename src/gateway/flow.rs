//! Serves one request: routing, queueing, attempts and response.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_core::edge::route_table::RouteTable;
use mimosapass_core::edge::schedule::Grant;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_target::http::{ReadError, ResponseHead};

use super::detour::{self, Tried};
use super::ending::{CALLER_GONE, RequestEnd, log_refusal, respond_failure};
use super::metrics::band;
use super::prepared::{NotStarted, Prepared};
use super::queue;
use super::relay::{self, Progress};
use super::request::{self, Request};
use super::retries::Retry;
use super::run::{Run, Step};
use super::runs::Runs;
use super::state::Gateway;

/// Most attempts of a request that may fail before anything was sent.
pub(super) const MAX_NOT_SENT: u32 = 4;
/// Time for which a request waits for the first configuration. A starting instance
/// loads it within a few hundred milliseconds when the store is healthy.
const CONFIG_WAIT: Duration = Duration::from_millis(500);
/// Interval between checks for the first configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request being served.
#[derive(Debug)]
pub struct Flow<'a, 'e> {
    pub(super) gateway: &'a Arc<Gateway>,
    pub(super) exchange: &'a mut Exchange<'e>,
    pub(super) request: Request,
    pub(super) runs: Runs<'a>,
    /// Targets and peers to which something was sent.
    pub(super) sends: u32,
    /// Targets that got it from peers which refused it then.
    pub(super) sent_by_peers: u32,
    /// The retry that is reserved for the next run.
    pub(super) retry: Option<Retry>,
    /// Targets and peers to which nothing could be sent.
    pub(super) not_sent: u32,
    /// Whether the request may have run.
    pub(super) may_have_run: bool,
    /// Last complete response, which reported a failure.
    pub(super) last_response: Option<(ResponseHead, Vec<u8>)>,
    /// Part of the stream that was sent to the caller.
    pub(super) progress: Progress,
    /// Why the last run failed.
    pub(super) last_error: String,
    /// The same, as a label of metrics and log lines.
    pub(super) last_cause: &'static str,
    /// Target of the last grant, or the target or peer whose response is relayed.
    place: Option<String>,
    /// Peers that it went over.
    pub(super) tried: Tried,
    /// Whether a peer refused it.
    pub(super) refused_by_peer: bool,
    /// Time after which it may come again, as that peer states.
    pub(super) retry_after: Option<Duration>,
}

/// Serves one request and responds on the exchange.
pub fn handle(gateway: &Arc<Gateway>, exchange: &mut Exchange<'_>) {
    let arrived = Instant::now();
    while gateway.route_table().version == 0 && arrived.elapsed() < CONFIG_WAIT {
        thread::sleep(POLL_INTERVAL);
    }
    let table = gateway.route_table();
    let detoured = exchange.head.header(detour::ATTEMPTS).is_some();
    let resolved = request::resolve(&table, exchange, arrived);
    let resolved = resolved.map_err(|f| request::doubt(gateway, f, table.version, arrived));
    let resolved = resolved.and_then(|request| match gateway.check_stop(&request, arrived) {
        Some(failure) => Err(failure),
        None => Ok(gateway.bound_by_stop(request)),
    });
    let resolved = resolved.and_then(|request| gateway.admit_parts(request));
    let request = match resolved {
        Ok(request) => request,
        Err(failure) => {
            log_refusal(gateway, &table, &exchange.head, &failure, arrived);
            // A peer is told that no target has got it.
            return respond_failure(exchange, &failure, detoured.then_some(0));
        }
    };
    exchange.set_deadline(request.deadline);
    // The instance that it comes over has counted it.
    if !request.detoured {
        gateway.record_request(&request.requirements.service, arrived);
    }
    let runs = Runs::new(gateway, &request.route);
    let mut flow = Flow {
        gateway,
        exchange,
        request,
        runs,
        sends: 0,
        sent_by_peers: 0,
        retry: None,
        not_sent: 0,
        may_have_run: false,
        last_response: None,
        progress: Progress::default(),
        last_error: String::new(),
        last_cause: "unsent",
        place: None,
        tried: Tried::default(),
        refused_by_peer: false,
        retry_after: None,
    };
    let end = flow.serve();
    flow.report(&end, &table, arrived);
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
            service = &*self.request.requirements.service,
            detoured = self.request.detoured,
            prompt = self.request.requirements.prompt,
            sends = self.sends,
            target_id = self.place.as_deref().unwrap_or("none"),
            peers = self.tried.count(),
            took_ms = arrived.elapsed().as_millis() as u64,
            pause_ms = self.progress.max_gap.as_millis() as u64,
            version = table.version;
            "request: {}, {}.", end.outcome, end.detail
        );
    }

    fn serve(&mut self) -> RequestEnd {
        loop {
            let end = if self.runs.is_idle() { self.start_next() } else { self.follow() };
            if let Some(end) = end {
                self.runs.cancel();
                return end;
            }
        }
    }

    /// Waits for a target and starts a run there, while none is under way.
    fn start_next(&mut self) -> Option<RequestEnd> {
        if self.sends + self.not_sent > 0 && !self.may_retry() {
            return Some(self.respond_last_failure());
        }
        if let Some(failure) = self.gateway.check_stop(&self.request, Instant::now()) {
            return Some(self.fail(&failure));
        }
        if let Some(peer) = self.detour() {
            self.start_detour(peer);
            return None;
        }
        // A request that has run may still be saved by a target that joins.
        let unsent = self.sends == 0 && self.not_sent > 0;
        if (self.refused_by_peer || unsent) && self.gateway.reaches_none(&self.request) {
            return Some(self.respond_last_failure());
        }
        let granted = queue::wait(self.gateway, &self.request.requirements, || self.obstacle());
        match granted {
            Ok(grant) => {
                let stopping = self.gateway.check_stop(&self.request, Instant::now());
                if let Some(failure) = stopping.or_else(|| self.gateway.check_parts(&self.request))
                {
                    self.gateway.finish(&grant, Instant::now());
                    return Some(self.fail(&failure));
                }
                self.record_grant(&grant);
                let idempotent = self.request.is_idempotent();
                self.start(Prepared::new(self.gateway, grant, idempotent));
                None
            }
            Err(failure) => self.leave_queue(&failure),
        }
    }

    /// Goes over a peer, or ends the request for want of a target.
    fn leave_queue(&mut self, failure: &Failure) -> Option<RequestEnd> {
        let no_target = matches!(failure.kind, Kind::NoTarget | Kind::QueueTimeout);
        if let Some(peer) = self.detour().filter(|_| no_target) {
            self.start_detour(peer);
            return None;
        }
        Some(self.fail(failure))
    }

    /// Returns why the request need not wait for a target any longer.
    fn obstacle(&self) -> Option<Failure> {
        if self.exchange.caller_gone() {
            return Some(Failure::new(Kind::CallerGone, "the caller disconnected while queued"));
        }
        let cut_off = || {
            let detail = "the targets cannot be connected to from here";
            self.detour().map(|_| Failure::new(Kind::NoTarget, detail))
        };
        let stopping = self.gateway.check_stop(&self.request, Instant::now());
        stopping.or_else(|| self.gateway.check_parts(&self.request)).or_else(cut_off)
    }

    /// Ends the request for want of a target.
    fn fail(&mut self, failure: &Failure) -> RequestEnd {
        if self.sends > 0 && failure.kind != Kind::CallerGone {
            self.last_error = format!("{}; then {failure}", self.last_error);
            return self.respond_last_failure();
        }
        self.refuse(failure)
    }

    /// Starts a run at a prepared target.
    pub(super) fn start(&mut self, prepared: Result<Prepared, NotStarted>) {
        match prepared {
            Ok(prepared) => {
                let run = Run::new(prepared, self.exchange, &self.request, self.sends);
                self.record_send(run.name());
                self.sends += 1;
                self.runs.add(run);
            }
            Err(NotStarted { engine, error }) => {
                self.retry = None;
                self.not_sent += 1;
                self.last_error = error;
                self.request.requirements.avoid.extend(engine);
            }
        }
    }

    /// Records the target that the request was granted; it is not granted that one again.
    fn record_grant(&mut self, grant: &Grant) {
        let target = &grant.placement.target.id;
        self.request.requirements.avoid.push(TargetId::clone(target));
        let requirements = &self.request.requirements;
        let waited = grant.at.saturating_duration_since(requirements.entry.arrived);
        let histogram = &self.gateway.metrics.wait_time;
        histogram.with_label_values(&[band(requirements.prompt)]).observe(waited.as_secs_f64());
        self.place = Some(target.to_string());
        self.gateway.count_limited(grant, self.runs.kind(self.sends));
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

    /// Takes what the runs have come to, or waits for them; `None` while the request goes on.
    fn follow(&mut self) -> Option<RequestEnd> {
        let method = &self.exchange.head.method;
        if let Some((index, step)) = self.runs.advance(method, &self.request) {
            return self.take(index, step);
        }
        let now = Instant::now();
        if now >= self.request.deadline {
            self.runs.count_unfinished("late");
            return Some(self.expire());
        }
        let begun = self.progress.begun;
        if self.gateway.is_cutting() || self.gateway.is_aborting() && !begun {
            self.may_have_run = true;
            "the instance is stopping".clone_into(&mut self.last_error);
            return Some(self.respond_last_failure());
        }
        self.runs.record_silence(&self.request, now);
        self.back_up(now);
        let backup_due = self.backup_due();
        match self.runs.wait(self.exchange, &self.request, backup_due, now) {
            Ok(None) => None,
            Ok(Some(departure)) => {
                self.runs.count_unfinished("caller_gone");
                Some(RequestEnd::gone(departure))
            }
            Err(e) => {
                log::error!("request: waiting on the sockets failed: {e}.");
                self.may_have_run = true;
                "waiting on the sockets failed".clone_into(&mut self.last_error);
                Some(self.respond_last_failure())
            }
        }
    }

    /// Starts a run at another target when the only one has been silent for too long.
    fn back_up(&mut self, now: Instant) {
        if self.backup_due().is_some_and(|due| now >= due) {
            self.prepare_resume();
            if self.gateway.check_stop(&self.request, now).is_some() {
                self.runs.deny("the instance is stopping", &self.request, now);
            } else if self.gateway.may_retry_parts(&self.request) {
                let peer = self.detour();
                if let Some(peer) = &peer {
                    self.record_detour(peer);
                }
                self.runs.ask_backup(&self.request, peer, now);
            } else {
                self.runs.deny("it may crash targets", &self.request, now);
            }
        }
        if let Some((grant, retry)) = self.runs.take_grant(&self.request, now) {
            self.record_grant(&grant);
            self.runs.prepare_target(grant, retry, &self.request);
        }
        let Some((prepared, retry)) = self.runs.take_prepared() else { return };
        self.retry = Some(retry);
        self.start(prepared);
        if self.not_sent >= MAX_NOT_SENT {
            self.runs.deny("too many targets cannot be reached", &self.request, now);
        }
    }

    fn backup_due(&self) -> Option<Instant> {
        self.progress.is_resumable().then(|| self.runs.backup_due(self.sends)).flatten()
    }

    /// Takes a step of a run; `None` while the request goes on.
    fn take(&mut self, index: usize, step: Step) -> Option<RequestEnd> {
        let step = self.check_resumed(index, step);
        self.record_step(index, &step);
        self.last_cause = step.label();
        match step {
            Step::Pending => None,
            Step::Events(events) => self.relay_events(index, &events),
            Step::End(events) => Some(self.relay_end(index, &events)),
            Step::Response(response, body) => self.take_response(index, response, body),
            Step::NotSent(error) => {
                if let Some(target) = self.runs.get(index).target() {
                    self.gateway.connections.close_all(target.addr);
                }
                self.sends -= 1;
                self.not_sent += 1;
                self.end_run(index, error)
            }
            Step::NotRun(error) | Step::Gone(error) => {
                self.may_have_run |= self.runs.get(index).is_doubtful();
                if self.runs.get(index).target().is_none() {
                    self.record_peer_refusal(index);
                }
                self.avoid_helper(index);
                self.end_run(index, error)
            }
            Step::Failed(error) => self.lose_run(index, error),
            Step::Malformed(defect) => {
                let run = self.runs.get(index);
                self.gateway.record_malformed(&self.request.attempt_id, run.name(), defect);
                self.lose_run(index, ReadError::Malformed(defect).to_string())
            }
        }
    }

    /// Ends a run that has failed after the request may have run.
    fn lose_run(&mut self, index: usize, error: String) -> Option<RequestEnd> {
        self.may_have_run = true;
        self.gateway.examine_failure(&self.request, self.runs.get(index));
        self.end_run(index, error)
    }

    /// Takes a complete response; `None` while the request goes on without it.
    fn take_response(
        &mut self,
        index: usize,
        response: ResponseHead,
        body: Vec<u8>,
    ) -> Option<RequestEnd> {
        self.may_have_run = true;
        self.gateway.record_end(&self.request, self.runs.get(index));
        let retried = response.status >= 500 && self.request.is_idempotent();
        let other_run = response.status >= 400 && self.runs.is_backed_up();
        let error = format!("status {}", response.status);
        // Within a stream no other response can follow.
        if !self.progress.begun && !retried && !other_run {
            self.record_cost(index);
            self.keep(index);
            // The caller's next request may come at once, and use the same connection.
            self.runs.cancel();
            return Some(self.relay_response(&response, &body));
        }
        self.last_response = Some((response, body));
        self.end_run(index, error)
    }

    /// Records in metrics and for placement what a step says of the target.
    fn record_step(&self, index: usize, step: &Step) {
        let run = self.runs.get(index);
        if run.last_event.is_none() {
            self.gateway.metrics.attempts.with_label_values(&[step.label()]).inc();
        }
        if let (Some(outcome), Some(target)) = (step.outcome(), run.target()) {
            self.gateway.record_outcome(&target.id, outcome, Instant::now());
        }
    }

    /// Keeps one run and cancels the others.
    fn keep(&mut self, index: usize) -> &mut Run {
        let run = self.runs.keep(index, &self.request);
        self.place = Some(run.name().to_owned());
        run
    }

    /// Ends a run that has failed; the other ones or the next one go on.
    fn end_run(&mut self, index: usize, error: String) -> Option<RequestEnd> {
        self.last_error = error;
        self.runs.end(index);
        if self.runs.is_empty() {
            self.prepare_resume();
        }
        None
    }

    /// Relays events of a run, which is kept.
    fn relay_events(&mut self, index: usize, events: &[u8]) -> Option<RequestEnd> {
        self.may_have_run = true;
        let now = Instant::now();
        let run = self.keep(index);
        let was_settled = run.last_event.is_some_and(|at| run.is_settled(at));
        let gap = run.record_event(now);
        if run.is_settled(now) && !was_settled {
            self.gateway.clear_parts(&self.request, now);
        }
        let run = self.runs.get(0);
        match (run.grant(), gap) {
            (Some(grant), None) => record_first_event(self.gateway, &self.request, grant),
            (Some(grant), Some(gap)) => {
                let engine = self.request.requirements.engine.as_ref();
                self.gateway.record_event(grant, engine, gap);
            }
            // The peer records what its targets do.
            (None, _) => {}
        }
        let response = run.response()?;
        let sent = relay::send_events(self.exchange, response, &mut self.progress, events);
        (!sent).then(|| RequestEnd::caller_gone(self.exchange))
    }

    /// Relays the end of a stream.
    fn relay_end(&mut self, index: usize, events: &[u8]) -> RequestEnd {
        self.record_cost(index);
        self.keep(index);
        self.gateway.record_end(&self.request, self.runs.get(0));
        let response = self.runs.get(0).response();
        let sent = response
            .is_some_and(|r| relay::send_events(self.exchange, r, &mut self.progress, events));
        if !sent {
            return RequestEnd::caller_gone(self.exchange);
        }
        self.runs.cancel();
        self.exchange.finish();
        RequestEnd { outcome: "served", detail: format!("{} chunks", self.progress.chunks) }
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
