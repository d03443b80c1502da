//! Graceful shutdown: running requests complete.
//!
//! The instance announces that it is leaving and keeps serving for the notice time;
//! each response closes its connection. Then idle connections are closed after a
//! grace period, and the process waits for the other connections, for engine
//! memory to be freed and for idempotency records to be written. A second signal
//! or the time limit makes the remaining requests fail with an error response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_caller::server::Server;
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;

use crate::background::peers;
use crate::node::Node;
use crate::settings::StopTimes;

/// Interval at which the progress of the shutdown is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which idle connections stay open after the notice.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// Time for aborted requests to send their error responses.
const ABORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time to free memory and write records after the last request.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which nothing must be left to free or to write.
const QUIET_PERIOD: Duration = Duration::from_millis(600);

/// Shuts the instance down; returns once the process may exit.
pub fn stop(node: &Arc<Node>, server: &Server, signals: &mut Signals) {
    let StopTimes { notice, limit } = node.state().stop;
    log::info!("serve: graceful shutdown started, limit {limit:?}.");
    let begun = Instant::now();
    node.set_stopping(begun + limit);
    server.disable_keep_alive();
    peers::announce_leaving(node);
    let mut shutdown = Shutdown { node, signals, limit, deadline: begun + limit };
    let notice_over = || begun.elapsed() >= notice;
    let complete = shutdown.wait(notice_over) && {
        server.stop(IDLE_GRACE);
        shutdown.wait(|| server.drained())
    };
    if !complete {
        abort(node, server);
    }
    settle(node);
    log::info!("serve: shutdown complete.");
}

struct Shutdown<'a> {
    node: &'a Node,
    signals: &'a mut Signals,
    limit: Duration,
    deadline: Instant,
}

impl Shutdown<'_> {
    /// Waits until `done` holds; `false` if a signal or the deadline came first.
    fn wait(&mut self, done: impl Fn() -> bool) -> bool {
        while !done() {
            if self.signals.pending().any(|signal| signal != SIGHUP) {
                log::warn!("serve: second signal received; aborting the graceful shutdown.");
                return false;
            }
            if Instant::now() >= self.deadline {
                let limit = self.limit;
                log::warn!("serve: shutdown limit of {limit:?} reached; aborting requests.");
                return false;
            }
            self.node.sleep(CHECK_INTERVAL);
        }
        true
    }
}

/// Fails all requests and waits until their error responses are sent.
fn abort(node: &Node, server: &Server) {
    log::warn!("serve: aborting {} requests.", server.active_requests());
    node.abort_requests();
    server.abort_incomplete();
    let begun = Instant::now();
    while !server.drained() && begun.elapsed() < ABORT_TIMEOUT {
        node.sleep(CHECK_INTERVAL);
    }
}

/// Waits until engine memory is freed and idempotency records are written.
fn settle(node: &Node) {
    let begun = Instant::now();
    let mut quiet_since = begun;
    while quiet_since.elapsed() < QUIET_PERIOD && begun.elapsed() < SETTLE_TIMEOUT {
        if node.records.unsettled() > 0 || node.metrics.unfreed_attempts.get() > 0 {
            quiet_since = Instant::now();
        }
        node.sleep(CHECK_INTERVAL);
    }
}
