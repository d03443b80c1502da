//! Which targets this instance can connect to, and when it is cut off from a service.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::reach::Paths;
use mimosapass_target::http::Connection;

use super::state::{Gateway, State};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval between probes once all targets were tried; after one that succeeds the next one
/// follows at once.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Connects to targets of services from which this instance is cut off, so that no caller has
/// to find out when their paths are back; runs until the process ends.
pub fn probe(gateway: &Arc<Gateway>) {
    loop {
        let Some((target, again)) = gateway.state().next_probe() else {
            thread::sleep(PROBE_INTERVAL);
            continue;
        };
        let opened = Connection::open(target.addr, PROBE_TIMEOUT);
        gateway.record_connection(&target, opened.is_ok(), Instant::now());
        if let Err(e) = opened {
            log::debug!(target_id = &*target.id; "reach: a probe failed: {e}.");
            if again {
                thread::sleep(PROBE_INTERVAL);
            }
        }
    }
}

impl Gateway {
    /// Records whether a new connection to a target was established.
    pub fn record_connection(&self, target: &Target, connected: bool, now: Instant) {
        let mut state = self.state();
        if state.reach.record(&target.id, connected, now) {
            state.scheduler.outcomes.reconnected(&target.id);
        }
        self.metrics.unreachable_targets.set(state.reach.count_unreachable() as i64);
        if state.update_cut_off(&target.service) {
            state.announce = true;
            self.load_changed.notify_all();
            // Idle connections of before the cut may be silent.
            for target in state.scheduler.fleet.serving(&target.service) {
                self.connections.close_all(target.addr);
            }
        }
    }
}

impl State {
    /// Returns a target of a service from which this instance is cut off, and whether all
    /// others were tried.
    fn next_probe(&self) -> Option<(Arc<Target>, bool)> {
        let serving = |service| self.scheduler.fleet.serving(service).map(|t| &t.id);
        let probes = self.cut_off.iter().filter_map(|s| self.reach.next_probe(serving(s)));
        let (id, again) = probes.min_by_key(|(_, again)| *again)?;
        Some((Arc::clone(self.scheduler.fleet.get(id)?), again))
    }

    /// Updates whether this instance is cut off from a service, and logs a change; returns
    /// whether there is one.
    fn update_cut_off(&mut self, service: &str) -> bool {
        // Nearly always, so that targets are counted only while there are failures.
        if self.reach.count_unreachable() == 0 && self.cut_off.is_empty() {
            self.isolated = false;
            return false;
        }
        let all = self.scheduler.fleet.all().map(|t| &t.id);
        self.isolated = self.reach.paths(all).is_cut_off();
        let paths = self.reach.paths(self.scheduler.fleet.serving(service).map(|t| &t.id));
        let cut_off = paths.is_cut_off();
        if cut_off == self.cut_off.contains(service) {
            return false;
        }
        let Paths { targets, unreachable, reached } = paths;
        if cut_off {
            self.cut_off.insert(service.into());
            log::warn!(
                service, targets, unreachable, reached;
                "reach: cut off, most targets of the service cannot be connected to from here."
            );
        } else {
            self.cut_off.remove(service);
            log::info!(
                service, targets, unreachable, reached;
                "reach: most targets of the service can be connected to again."
            );
        }
        true
    }

    /// Removes what is known of the connections to a target that is gone or has restarted.
    pub fn forget_target(&mut self, id: &str) {
        self.scheduler.forget(id);
        self.reach.forget(id);
        let services: Vec<_> = self.cut_off.iter().cloned().collect();
        for service in &services {
            self.update_cut_off(service);
        }
    }
}
