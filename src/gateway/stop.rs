//! Stops a gateway: what it still takes, and how it ends what is left.

use std::thread;
use std::time::{Duration, Instant};

use mimosapass_caller::server::Server;
use mimosapass_core::error::{Failure, Kind};

use super::request::Request;
use super::state::Gateway;

/// Longest time for which idle connections of callers stay open after the notice.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// Interval between checks whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Gateway {
    /// Returns why a request is not sent to a target any more, if the instance stops too soon.
    pub fn check_stop(&self, request: &Request, now: Instant) -> Option<Failure> {
        let stop = self.stop()?;
        let left = request.deadline.saturating_duration_since(now);
        let allowed = stop.allows(&request.requirements, request.is_idempotent(), left, now);
        (!allowed).then(|| {
            let detail = "the instance is stopping and might not finish the request";
            Failure::new(Kind::Stopping, detail)
        })
    }

    /// Returns a request whose time limit is within a stop, so that its target does not work on
    /// for a process that has ended.
    pub fn bound_by_stop(&self, mut request: Request) -> Request {
        if let Some(stop) = self.stop() {
            request.deadline = request.deadline.min(stop.abort_at());
        }
        request
    }
}

/// Stops the gateway; requests are aborted only when the stop limit is near.
pub fn stop(gateway: &Gateway, server: &Server) {
    let stop = gateway.begin_stop();
    log::info!(open = server.active_requests(); "gateway: stopping.");
    server.disable_keep_alive();
    thread::sleep(stop.notice());
    server.stop(IDLE_GRACE.min(stop.notice()));
    while !server.drained() && Instant::now() < stop.abort_at() {
        thread::sleep(POLL_INTERVAL);
    }
    if !server.drained() {
        let margin = stop.margin();
        log::warn!(
            open = server.active_requests();
            "gateway: aborting the remaining requests {margin:?} before the stop limit."
        );
        gateway.abort_requests();
        server.abort_incomplete();
        thread::sleep(margin / 4);
        // Streams that could not end until now.
        gateway.cut_streams();
        thread::sleep(margin / 4);
    }
    log::info!(open = server.active_requests(); "gateway: stopped.");
}
