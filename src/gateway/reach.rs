//! Which targets this instance can connect to, and when it is cut off from a service.

use std::time::Instant;

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::reach::Paths;

use super::state::{Gateway, State};

impl Gateway {
    /// Records whether a new connection to a target was established.
    pub fn record_connection(&self, target: &Target, connected: bool, now: Instant) {
        let mut state = self.state();
        if state.reach.record(&target.id, connected, now) {
            state.update_cut_off(&target.service);
            self.metrics.unreachable_targets.set(state.reach.count() as i64);
        }
    }
}

impl State {
    /// Updates whether this instance is cut off from a service, and logs a change.
    fn update_cut_off(&mut self, service: &str) {
        let paths = self.reach.paths(self.scheduler.fleet.serving(service).map(|t| &t.id));
        let cut_off = paths.is_cut_off();
        if cut_off == self.cut_off.contains(service) {
            return;
        }
        let Paths { targets, unreachable } = paths;
        if cut_off {
            self.cut_off.insert(service.into());
            log::warn!(
                service, targets, unreachable;
                "reach: cut off, most targets of the service cannot be connected to from here."
            );
        } else {
            self.cut_off.remove(service);
            log::info!(
                service, targets, unreachable;
                "reach: most targets of the service can be connected to again."
            );
        }
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
