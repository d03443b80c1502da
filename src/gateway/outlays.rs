//! What requests have cost, as their runs show.

use std::time::Instant;

use mimosapass_core::edge::learning::Outlay;
use mimosapass_core::ids::TargetId;

use super::flow::Flow;

impl Flow<'_, '_> {
    /// Records what a run has cost that has ended well, if it is the only one.
    pub(super) fn record_cost(&self, index: usize) {
        let run = self.runs.get(index);
        let (Some(grant), 1) = (run.grant(), self.sends) else { return };
        if run.response().is_none_or(|response| response.status >= 400) {
            return;
        }
        let (requirements, now) = (&self.request.requirements, Instant::now());
        let (cost, stated) = match requirements.engine {
            // Each event holds the tokens of one pass.
            Some(engine) => {
                let tokens = (self.progress.chunks as u64 + 1) * u64::from(engine.stride);
                (tokens as f64, requirements.stated.map(|tokens| tokens as f64))
            }
            None => (now.saturating_duration_since(run.began).as_secs_f64(), None),
        };
        let target = TargetId::clone(&grant.placement.target.id);
        let outlay = Outlay { target, kind: requirements.kind.clone(), cost, stated };
        self.gateway.record_outlay(outlay, now);
    }
}
