//! The runs of one request: the one that is relayed, and one that backs it up.
//!
//! `mimosapass_core::edge::backup` decides when a silent run is backed up. Here the runs are
//! waited for, and the first one that sends an event or a whole response is kept.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::{Departure, Exchange};
use mimosapass_core::edge::backup::Backup;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::route_table::{Route, ServiceId};
use mimosapass_core::edge::schedule::Grant;
use mimosapass_target::http::{Awaited, WaitOutcome, wait_any};

use super::queue::Queued;
use super::request::Request;
use super::run::{Run, Step};
use super::state::Gateway;

/// Interval between checks whether the instance aborts its requests.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks for the grant of a backup.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait without the caller, once it has sent its next request already.
const PIPELINED_WAIT: Duration = Duration::from_millis(100);

/// The runs of one request.
#[derive(Debug)]
pub struct Runs<'g> {
    gateway: &'g Arc<Gateway>,
    active: Vec<Run<'g>>,
    /// When a silent run is backed up, if the request may be repeated.
    backup: Option<Backup>,
    /// The request for a second target, and when its retry was consumed.
    queued: Option<(Queued<'g>, Instant)>,
}

impl<'g> Runs<'g> {
    /// Creates the state of a request that has no runs.
    pub fn new(gateway: &'g Arc<Gateway>, route: &Route) -> Self {
        Self { gateway, active: Vec::new(), backup: Backup::of(route), queued: None }
    }

    /// Returns whether no run is under way.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Adds a run that has started.
    pub fn add(&mut self, run: Run<'g>) {
        self.active.push(run);
    }

    /// Returns a run.
    pub fn get(&self, index: usize) -> &Run<'g> {
        &self.active[index]
    }

    /// Advances the runs; returns the first one that has come to something.
    pub fn advance(&mut self, method: &str, request: &Request) -> Option<(usize, Step)> {
        self.active.iter_mut().enumerate().find_map(|(index, run)| {
            match run.advance(method, request) {
                Step::Pending => None,
                step => Some((index, step)),
            }
        })
    }

    /// Cancels all runs but one, and the request for a backup.
    pub fn keep(&mut self, index: usize, request: &Request) -> &mut Run<'g> {
        self.cancel_backup(request);
        let run = self.active.swap_remove(index);
        for other in std::mem::replace(&mut self.active, vec![run]) {
            if let Some(since) = other.silent_since {
                self.count("replaced");
                log_silence(request, &other, since, "request: another target took over.");
            }
            other.release();
        }
        let run = &mut self.active[0];
        if let Some(since) = run.silent_since.take() {
            self.gateway.metrics.silent_runs.with_label_values(&["went_on"]).inc();
            log_silence(request, run, since, "request: the silent target went on.");
            let target = &run.grant().placement.target.id;
            self.gateway.record_outcome(target, Outcome::Answered, Instant::now());
        }
        run
    }

    /// Ends a run and keeps the others.
    pub fn end(&mut self, index: usize, request: &Request) {
        self.active.remove(index).release();
        if self.active.is_empty() {
            self.cancel_backup(request);
        }
    }

    /// Counts the runs that end without a response.
    pub fn count_unfinished(&self, outcome: &str) {
        let unfinished = self.active.iter().filter(|run| run.last_event.is_none()).count();
        self.gateway.metrics.attempts.with_label_values(&[outcome]).inc_by(unfinished as u64);
    }

    /// Ends all runs; those that are not complete are cancelled.
    pub fn cancel(&mut self) {
        self.active.drain(..).for_each(Run::release);
    }

    /// Records targets that have become silent.
    pub fn record_silence(&mut self, request: &Request, now: Instant) {
        let Some(backup) = &self.backup else { return };
        let silent =
            |run: &&mut Run<'_>| run.silent_since.is_none() && backup.is_silent(run.heard, now);
        for run in self.active.iter_mut().filter(silent) {
            run.silent_since = Some(run.heard);
            log_silence(request, run, run.heard, "request: the target is silent.");
            let id = &run.grant().placement.target.id;
            self.gateway.record_outcome(id, Outcome::Silent, now);
        }
    }

    /// Returns whether a backup is to be asked for now.
    pub fn is_backup_due(&self, sends: u32, now: Instant) -> bool {
        self.backup_due(sends).is_some_and(|due| now >= due)
    }

    fn backup_due(&self, sends: u32) -> Option<Instant> {
        match (&self.backup, &*self.active, &self.queued) {
            (Some(backup), [run], None) => backup.due(run.heard, sends),
            _ => None,
        }
    }

    /// Asks for a second target, if the limits on retries allow it.
    pub fn ask_backup(&mut self, request: &Request, now: Instant) {
        if self.gateway.try_retry(&request.requirements.service, now) {
            let requirements = request.requirements.clone();
            self.queued = Some((Queued::enqueue(self.gateway, requirements), now));
        } else {
            self.deny("the limits on retries are reached", request, now);
        }
    }

    /// Returns the grant of a second target, once there is one.
    pub fn take_backup(&mut self, request: &Request, now: Instant) -> Option<Grant> {
        let granted = self.queued.as_mut()?.0.poll(Duration::ZERO)?;
        let (queued, retried) = self.queued.take()?;
        let failure = match granted {
            Ok(grant) => return Some(grant),
            Err(failure) => failure,
        };
        let late = queued.leave();
        if late.is_none() {
            self.gateway.give_back_retry(&request.requirements.service, retried);
            self.deny(&failure.to_string(), request, now);
        }
        late
    }

    /// Records that a backup could not be had.
    pub fn deny(&mut self, reason: &str, request: &Request, now: Instant) {
        if let Some(backup) = &mut self.backup {
            backup.deny(now);
        }
        self.count("alone");
        log::info!(
            id = request.attempt_id.as_str();
            "request: the silent target is waited for alone, {reason}."
        );
    }

    fn cancel_backup(&mut self, request: &Request) {
        if let Some((_, retried)) = self.queued.take() {
            self.gateway.give_back_retry(&request.requirements.service, retried);
        }
    }

    fn count(&self, outcome: &str) {
        self.gateway.metrics.silent_runs.with_label_values(&[outcome]).inc();
    }

    /// Waits until a run or the caller can go on, or something has to be checked.
    ///
    /// Returns why the caller is gone, if it is.
    ///
    /// # Errors
    ///
    /// Fails when the sockets cannot be waited for.
    pub fn wait(
        &mut self,
        exchange: &Exchange<'_>,
        request: &Request,
        sends: u32,
        now: Instant,
    ) -> io::Result<Option<Departure>> {
        let interval = if self.queued.is_some() { GRANT_POLL_INTERVAL } else { POLL_INTERVAL };
        let checks = [Some(request.deadline), Some(now + interval), self.backup_due(sends)];
        let end = checks.into_iter().flatten().min().unwrap_or(now);
        let awaited: Vec<Awaited<'_>> = self.active.iter().map(Run::awaited).collect();
        let mut ready = wait_any(&awaited, Some(exchange.socket()), end)?;
        if ready == WaitOutcome::Caller {
            if let Some(departure) = exchange.departure() {
                return Ok(Some(departure));
            }
            // The socket stays readable: the caller has sent its next request already.
            let end = end.min(Instant::now() + PIPELINED_WAIT);
            ready = wait_any(&awaited, None::<&std::net::TcpStream>, end)?;
        }
        if ready == WaitOutcome::Target {
            self.active.iter_mut().for_each(Run::receive);
        }
        Ok(None)
    }
}

fn log_silence(request: &Request, run: &Run<'_>, since: Instant, text: &str) {
    let silent_ms = since.elapsed().as_millis() as u64;
    log::info!(
        id = request.attempt_id.as_str(),
        target_id = &*run.grant().placement.target.id,
        silent_ms;
        "{text}"
    );
}

impl Gateway {
    /// Counts a caller's request, which raises the retry limit of its service.
    pub fn record_request(&self, service: &ServiceId, now: Instant) {
        self.state()
            .retry_windows
            .entry(ServiceId::clone(service))
            .or_default()
            .record_request(now);
    }

    /// Uses one retry; returns whether the limits allow it.
    pub fn try_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let mut state = self.state();
        let instances = state.instance_count();
        let window = state.retry_windows.entry(ServiceId::clone(service)).or_default();
        window.try_retry(&self.settings.retry_limits, instances, now)
    }

    /// Gives back the retry that was consumed at `at`: it was not sent.
    fn give_back_retry(&self, service: &ServiceId, at: Instant) {
        if let Some(window) = self.state().retry_windows.get_mut(service) {
            window.give_back(at);
        }
    }
}
