//! The runs of one request: the one that is relayed, and one that backs it up.
//!
//! `mimosapass_core::edge::backup` decides when a silent run is backed up. Here the runs are
//! waited for, and the first one that sends an event or a whole response is kept.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::{Departure, Exchange};
use mimosapass_core::edge::backup::Backup;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::route_table::Route;
use mimosapass_core::edge::schedule::Grant;
use mimosapass_target::http::{Awaited, WaitOutcome, wait_any};

use super::detour::Peer;
use super::prepared::{NotStarted, Prepared};
use super::queue::Queued;
use super::request::Request;
use super::retries::Retry;
use super::run::{Run, Step};
use super::state::Gateway;

/// Interval between checks whether the instance aborts its requests.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The same, of an instance that is stopping: after the abort it has 200 ms to respond.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks for the grant of a backup, and whether it is prepared.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Stack size of the thread that prepares a backup.
const STACK_BYTES: usize = 128 * 1024;
/// Longest wait without the caller, once it has sent its next request already.
const PIPELINED_WAIT: Duration = Duration::from_millis(100);

/// The runs of one request.
#[derive(Debug)]
pub struct Runs<'g> {
    gateway: &'g Arc<Gateway>,
    active: Vec<Run>,
    /// When a silent run is backed up, if the request may be repeated.
    backup: Option<Backup>,
    /// The second target that is asked for, and the retry that is reserved for it.
    pending: Option<(Pending<'g>, Retry)>,
}

/// A second target that is asked for.
#[derive(Debug)]
enum Pending<'g> {
    Queued(Box<Queued<'g>>),
    /// Granted; a thread reserves its memory and connects to it.
    Preparing(Receiver<Result<Prepared, NotStarted>>),
}

impl<'g> Runs<'g> {
    /// Creates the state of a request that has no runs.
    pub fn new(gateway: &'g Arc<Gateway>, route: &Route) -> Self {
        Self { gateway, active: Vec::new(), backup: Backup::of(route), pending: None }
    }

    /// Returns whether no run is under way, and no second target is asked for.
    pub fn is_idle(&self) -> bool {
        self.active.is_empty() && self.pending.is_none()
    }

    /// Returns whether no run is under way.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns the kind of the next run, after `sends` targets have got the request.
    pub fn kind(&self, sends: u32) -> &'static str {
        match (self.active.is_empty(), sends) {
            (false, _) => "backup",
            (true, 0) => "first",
            (true, _) => "retry",
        }
    }

    /// Adds a run that has started.
    pub fn add(&mut self, run: Run) {
        self.active.push(run);
    }

    /// Returns whether two runs are under way.
    pub fn is_backed_up(&self) -> bool {
        self.active.len() > 1
    }

    /// Returns a run.
    pub fn get(&self, index: usize) -> &Run {
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
    pub fn keep(&mut self, index: usize, request: &Request) -> &mut Run {
        self.pending = None;
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
            if let Some(target) = run.target() {
                self.gateway.record_outcome(&target.id, Outcome::Answered, Instant::now());
            }
        }
        run
    }

    /// Ends a run and keeps the others, and the request for a second target.
    pub fn end(&mut self, index: usize) {
        self.active.remove(index).release();
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
            |run: &&mut Run| run.silent_since.is_none() && backup.is_silent(run.heard, now);
        for run in self.active.iter_mut().filter(silent) {
            // A peer backs up its own runs.
            let Some(target) = run.target().cloned() else { continue };
            run.silent_since = Some(run.heard);
            log_silence(request, run, run.heard, "request: the target is silent.");
            self.gateway.record_outcome(&target.id, Outcome::Silent, now);
        }
    }

    /// Returns when a second target is to be asked for; `None` while there is one, or if no
    /// other target may get the request, which `sends` targets have got.
    pub fn backup_due(&self, sends: u32) -> Option<Instant> {
        match (&self.backup, &*self.active, &self.pending) {
            (Some(backup), [run], None) if run.target().is_some() => backup.due(run.heard, sends),
            _ => None,
        }
    }

    /// Asks for a second target, or goes over a peer, if the limits on retries allow it.
    pub fn ask_backup(&mut self, request: &Request, peer: Option<Peer>, now: Instant) {
        let Some(retry) = self.gateway.reserve_retry(&request.requirements.service, now) else {
            return self.deny("the limits on retries are reached", request, now);
        };
        if let Some(peer) = peer {
            return self.prepare(retry, request, move |gateway| Prepared::over(gateway, peer));
        }
        let requirements = request.requirements.clone();
        let queued = Queued::enqueue(self.gateway, requirements);
        self.pending = Some((Pending::Queued(Box::new(queued)), retry));
    }

    /// Returns the grant of a second target, once there is one, and the retry for it.
    pub fn take_grant(&mut self, request: &Request, now: Instant) -> Option<(Grant, Retry)> {
        let Some((Pending::Queued(queued), _)) = &mut self.pending else { return None };
        let granted = queued.poll(Duration::ZERO)?;
        let Some((Pending::Queued(queued), retry)) = self.pending.take() else { return None };
        let failure = match granted {
            Ok(grant) => return Some((grant, retry)),
            Err(failure) => failure,
        };
        let late = queued.leave();
        if late.is_none() {
            self.deny(&failure.to_string(), request, now);
        }
        late.map(|grant| (grant, retry))
    }

    /// Prepares a granted second target.
    pub fn prepare_target(&mut self, grant: Grant, retry: Retry, request: &Request) {
        let idempotent = request.is_idempotent();
        self.prepare(retry, request, move |gateway| Prepared::new(gateway, grant, idempotent));
    }

    /// Prepares a second run on a thread, so that the first one is relayed meanwhile.
    fn prepare(
        &mut self,
        retry: Retry,
        request: &Request,
        prepare: impl FnOnce(&Arc<Gateway>) -> Result<Prepared, NotStarted> + Send + 'static,
    ) {
        let (sender, prepared) = channel();
        let gateway = Arc::clone(self.gateway);
        let work = move || {
            // Without a receiver the first target went on; the grant and the memory are released.
            drop(sender.send(prepare(&gateway)));
        };
        let builder = thread::Builder::new().name("backup".to_owned()).stack_size(STACK_BYTES);
        match builder.spawn(work) {
            Ok(_) => self.pending = Some((Pending::Preparing(prepared), retry)),
            Err(e) => {
                self.deny(&format!("no thread can be started: {e}"), request, Instant::now());
            }
        }
    }

    /// Returns the second target once it is prepared, or why it could not be, and the retry.
    pub fn take_prepared(&mut self) -> Option<(Result<Prepared, NotStarted>, Retry)> {
        let Some((Pending::Preparing(prepared), _)) = &self.pending else { return None };
        let result = match prepared.try_recv() {
            Err(TryRecvError::Empty) => return None,
            Err(TryRecvError::Disconnected) => Err("the thread has ended".to_owned().into()),
            Ok(result) => result,
        };
        self.pending.take().map(|(_, retry)| (result, retry))
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

    fn count(&self, outcome: &str) {
        self.gateway.metrics.silent_runs.with_label_values(&[outcome]).inc();
    }

    /// Waits until a run or the caller can go on, or something has to be checked.
    ///
    /// A second target is asked for at `backup_due`. Returns why the caller is gone, if it is.
    ///
    /// # Errors
    ///
    /// Fails when the sockets cannot be waited for.
    pub fn wait(
        &mut self,
        exchange: &Exchange<'_>,
        request: &Request,
        backup_due: Option<Instant>,
        now: Instant,
    ) -> io::Result<Option<Departure>> {
        let interval = match &self.pending {
            Some(_) => GRANT_POLL_INTERVAL,
            None if self.gateway.is_stopping() => STOP_POLL_INTERVAL,
            None => POLL_INTERVAL,
        };
        let checks = [Some(request.deadline), Some(now + interval), backup_due];
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

fn log_silence(request: &Request, run: &Run, since: Instant, text: &str) {
    let silent_ms = since.elapsed().as_millis() as u64;
    log::info!(
        id = request.attempt_id.as_str(),
        target_id = run.name(),
        silent_ms;
        "{text}"
    );
}
