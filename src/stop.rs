//! The planned stop: it cuts no request unless it is made to.
//!
//! The instance says that it leaves and serves on for the notice; each answer
//! closes its connection. Then idle connections end after a linger, and the
//! process waits for all others, for freed memory and for written records. A
//! second signal or the limit ends requests with true failures.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_caller::server::Server;
use signal_hook::iterator::Signals;

use crate::background::peers;
use crate::node::Node;

/// Time between two looks at whether all requests have ended.
const LOOK: Duration = Duration::from_millis(50);
/// Time for which an idle kept connection is left open after the notice.
const LINGER: Duration = Duration::from_secs(1);
/// Time for requests to fail once the stop is cut short.
const ENDING: Duration = Duration::from_secs(3);
/// Longest wait for memory and records after the last request ended.
const SETTLE: Duration = Duration::from_secs(5);
/// Time for which nothing must be left to free or to write.
const QUIET: Duration = Duration::from_millis(600);

/// Stops the instance; returns once the process may exit.
pub fn stop(node: &Arc<Node>, server: &Server, signals: &mut Signals) {
    log::info!("serve: stopping.");
    node.set_stopping();
    server.disable_keep_alive();
    peers::tell_leaving(node);
    let begun = Instant::now();
    let mut stop = Stop { node, signals, limit: begun + node.settings.stop_limit };
    let noticed = || begun.elapsed() >= node.settings.notice;
    let whole = stop.wait(noticed) && {
        server.stop(LINGER);
        stop.wait(|| server.drained())
    };
    if !whole {
        end(node, server);
    }
    settle(node);
    log::info!("serve: stopped.");
}

struct Stop<'a> {
    node: &'a Node,
    signals: &'a mut Signals,
    limit: Instant,
}

impl Stop<'_> {
    /// Waits until `done` holds; `false` when a signal or the limit came first.
    fn wait(&mut self, done: impl Fn() -> bool) -> bool {
        while !done() {
            if self.signals.pending().next().is_some() {
                log::warn!("serve: a second signal cuts the stop short.");
                return false;
            }
            if Instant::now() >= self.limit {
                log::warn!("serve: the limit cuts the stop short.");
                return false;
            }
            self.node.sleep(LOOK);
        }
        true
    }
}

/// Ends all requests with failures and waits until they are told.
fn end(node: &Node, server: &Server) {
    log::warn!("serve: {} requests are ended.", server.active_requests());
    node.abort_requests();
    server.abort_incomplete();
    let begun = Instant::now();
    while !server.drained() && begun.elapsed() < ENDING {
        node.sleep(LOOK);
    }
}

/// Waits until memory is freed and the outcomes of the last requests are written.
fn settle(node: &Node) {
    let begun = Instant::now();
    let mut since = begun;
    while since.elapsed() < QUIET && begun.elapsed() < SETTLE {
        if node.records.unsettled() > 0 || node.metrics.unfreed_attempts.get() > 0 {
            since = Instant::now();
        }
        node.sleep(LOOK);
    }
}
