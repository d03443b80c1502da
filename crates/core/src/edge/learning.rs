//! What a scheduler learns of requests and targets, and where it uses that.
//!
//! A request is expected to cost what those of its route and workspace have cost; a target's work
//! is the sum of what its requests are expected to cost, at the speed that it has shown.

use std::time::{Duration, Instant};

use crate::edge::fleet::{Fleet, TargetId};
use crate::edge::history::{History, Kind};
use crate::edge::requirements::Requirements;
use crate::edge::schedule::Scheduler;
use crate::edge::speed::Speeds;

/// Cost of a request that has ended well.
#[derive(Clone, Debug, PartialEq)]
pub struct Outlay {
    /// Target that ran it.
    pub target: TargetId,
    /// Requests with which it is compared.
    pub kind: Kind,
    /// Tokens of the answer, or seconds of a call at a service.
    pub cost: f64,
    /// What its caller stated, in the same unit.
    pub stated: Option<f64>,
}

/// What is known of the costs of requests and the speeds of targets.
#[derive(Clone, Debug, Default)]
pub struct Learning {
    /// Costs by kind of request.
    pub history: History,
    /// Speeds of targets.
    pub speeds: Speeds,
}

impl Learning {
    /// Replaces what a request is assumed to cost by what those of its kind have cost.
    pub fn estimate(&self, requirements: &mut Requirements, now: Instant) {
        let stated = requirements.stated.map(|tokens| tokens as f64);
        let Some(estimate) = self.history.estimate(&requirements.kind, stated, now) else { return };
        if requirements.engine.is_some() {
            let most = requirements.max_answer.max(1);
            requirements.answer = (estimate.mean() as u64).clamp(1, most);
        } else if let Ok(time) = Duration::try_from_secs_f64(estimate.mean()) {
            requirements.call_time = time;
            // Calls that take longer than their goal are not put behind all others for it.
            let entry = &mut requirements.entry;
            entry.work = time.min(entry.due.saturating_duration_since(entry.arrived) / 2);
            entry.min_work = entry.work.min(entry.min_work);
        }
    }

    /// Records the cost of a request.
    pub fn record(&mut self, outlay: &Outlay, is_engine: bool, now: Instant) {
        let Outlay { target, kind, cost, stated } = outlay;
        if !is_engine
            && let Some(usual) = self.history.estimate(kind, None, now)
            && let Ok(took) = Duration::try_from_secs_f64(*cost)
            && let Ok(usual) = Duration::try_from_secs_f64(usual.median)
        {
            self.speeds.record(target, took, usual, now);
        }
        self.history.record(kind, *cost, *stated, now);
    }

    /// Returns the median of the speeds of a service's targets.
    pub fn median(&self, fleet: &Fleet, service: &str, now: Instant) -> f64 {
        self.speeds.median(fleet.serving(service).map(|t| &t.id), now)
    }
}

impl Scheduler {
    /// Records the cost of a request that has ended well.
    pub fn record_outlay(&mut self, outlay: &Outlay, is_engine: bool, now: Instant) {
        if let Some(learning) = &mut self.learning {
            learning.record(outlay, is_engine, now);
        }
    }
}
