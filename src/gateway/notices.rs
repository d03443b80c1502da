//! What targets state about themselves in their answers.

use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::{Change, Target};
use mimosapass_core::edge::limits::{Report, Statement};
use mimosapass_core::edge::pauses::DEFAULT_PAUSE;
use mimosapass_core::edge::schedule::Grant;
use mimosapass_core::ids::TargetId;
use mimosapass_instance::datagram::{LeavingTarget, RefusingHelper, TargetLimit};
use mimosapass_platform::header;
use mimosapass_target::http::{Defect, ResponseHead};

use super::flow::Flow;
use super::gossip::ms;
use super::reservations::MISDIRECTED;
use super::state::{Gateway, State};

/// Most leaving targets that one datagram names; the others are named when these are gone.
const MAX_LEAVING: usize = 16;
/// Most limits that one datagram names; the others are named in the next ones.
const MAX_LIMITS: usize = 16;
/// Most targets that do not help with prompts that one datagram names.
const MAX_REFUSING: usize = 32;

impl Gateway {
    /// Records that a target or a peer sent a malformed response, of which nothing is applied.
    ///
    /// `id` is that of the request, or of the reservation.
    pub fn record_malformed(&self, id: &str, name: &str, defect: Defect) {
        self.metrics.malformed_responses.with_label_values(&[defect.label()]).inc();
        log::warn!(
            id, target_id = name, reason = defect.label();
            "target: a malformed response, {defect}."
        );
    }

    /// Applies what an answer of `target` states about it.
    pub fn read_notices(&self, target: &Target, response: &ResponseHead) {
        if header::states_leaving(|name| response.header(name)) {
            let mut state = self.state();
            if state.leave(&target.id, target.started_ms, "none") {
                state.announce = true;
                self.load_changed.notify_all();
                drop(state);
                self.connections.close_all(target.addr);
            }
        }
        if response.status == 503 {
            self.read_pause(target, response);
        }
    }

    /// Applies what a refusal states of another target of the prompt, and returns that target.
    pub fn read_fault(&self, grant: &Grant, response: &ResponseHead) -> Option<TargetId> {
        let named = header::target_at_fault(|name| response.header(name))?;
        let mut helpers = grant.placement.helpers.iter().map(|h| &h.target);
        let helper = helpers.find(|t| *t.id == *named || t.addr.to_string() == named)?;
        let mut state = self.state();
        if let Some(pause) = state.scheduler.helpers.refused(&helper.id, Instant::now()) {
            let pause_ms = pause.as_millis() as u64;
            let by = &*grant.placement.target.id;
            log::info!(
                target_id = &*helper.id, by, pause_ms;
                "target: gets no parts of prompts, it refused to help."
            );
            self.metrics.refused_help.inc();
            state.announce = true;
            self.load_changed.notify_all();
        }
        Some(TargetId::clone(&helper.id))
    }

    /// Applies the limit that an answer states, or that it states none.
    ///
    /// `sent_at` is when its request was sent, if it ran. Other answers do not end a limit: they
    /// need not come from what states it.
    pub fn read_limit(&self, target: &Target, response: &ResponseHead, sent_at: Option<Instant>) {
        // Another process may answer at the address.
        if response.status == MISDIRECTED {
            return;
        }
        let target_id = &*target.id;
        let rate = match header::stated_limit(|name| response.header(name)) {
            Ok(rate) => rate,
            Err(value) => {
                log::warn!(target_id, value; "target: its limit cannot be read, the known one stays.");
                return;
            }
        };
        if rate.is_none() && sent_at.is_none() {
            return;
        }
        let (mut state, now) = (self.state(), Instant::now());
        let sent_at = sent_at.unwrap_or(now);
        let stated = state.scheduler.limits.state(&target.id, rate, sent_at, now);
        log_limit(target_id, stated, "none");
        if stated != Statement::Known {
            state.announce = true;
            self.load_changed.notify_all();
        }
    }

    /// Counts a grant of targets that state a limit; `kind` is that of its run.
    pub fn count_limited(&self, grant: &Grant, kind: &str) {
        let state = self.state();
        let limited = |id: &str| state.scheduler.limits.rate(id).is_some();
        let count = |kind: &str| self.metrics.limited_grants.with_label_values(&[kind]).inc();
        if limited(&grant.placement.target.id) {
            count(kind);
        }
        for _ in grant.placement.helpers.iter().filter(|h| limited(&h.target.id)) {
            count("part");
        }
    }

    /// Begins the pause that a target asks for, which holds for this instance alone.
    fn read_pause(&self, target: &Target, response: &ResponseHead) {
        let asked = header::requested_pause(|name| response.header(name));
        let pause = asked.unwrap_or_else(|value| {
            let target_id = &*target.id;
            log::warn!(target_id, value; "target: its pause cannot be read, the default is used.");
            Some(DEFAULT_PAUSE)
        });
        let Some(pause) = pause else { return };
        let begun = self.state().scheduler.pauses.begin(&target.id, pause, Instant::now());
        if let Some(pause) = begun {
            let pause_ms = pause.as_millis() as u64;
            log::info!(target_id = &*target.id, pause_ms; "target: paused, it asks for that.");
        }
    }

    /// Returns whether all targets of a grant still accept requests.
    ///
    /// They may have left or asked for a pause since, while memory was reserved, or their zone
    /// may have been evacuated.
    pub fn accepts(&self, grant: &Grant) -> bool {
        let (state, now) = (self.state(), Instant::now());
        let serves = |id: &str| state.scheduler.fleet.accepts(id);
        let paused = |id: &str| state.scheduler.pauses.end(id, now).is_some();
        grant.targets().iter().all(|id| serves(id) && !paused(id))
    }
}

impl Flow<'_, '_> {
    /// Avoids the target on account of which another one refused the request.
    ///
    /// The last attempt needs no help if it can be on time so: others may refuse it as well.
    pub(super) fn avoid_helper(&mut self, index: usize) {
        let Some(helper) = self.runs.get(index).at_fault.clone() else { return };
        let last = self.sends + 1 >= self.request.route.attempts;
        let requirements = &mut self.request.requirements;
        requirements.avoid.push(helper);
        requirements.whole |= last;
    }
}

/// Logs a change of the limit of a target; `peer` told of it, or `none`.
fn log_limit(target_id: &str, stated: Statement, peer: &str) {
    match stated {
        Statement::Known => {}
        Statement::Limited(rate) => {
            log::info!(target_id, rate, peer; "target: limited, it states so in its answers.");
        }
        Statement::Ended => {
            log::info!(target_id, peer; "target: not limited any more, its answers state no limit.");
        }
    }
}

impl State {
    /// Records that a target leaves; returns whether that was not known.
    ///
    /// `peer` is the instance that passed it on, or `none`.
    fn leave(&mut self, id: &str, started_ms: u64, peer: &str) -> bool {
        let change = self.scheduler.fleet.leave(id, started_ms, peer == "none");
        if change != Change::Draining {
            return false;
        }
        log::info!(target_id = id, peer; "target: draining, it states so in its answers.");
        self.scheduler.forget(id);
        true
    }

    /// Applies what a peer has learned of leaving targets.
    pub fn apply_leaving(&mut self, peer: &str, targets: &[LeavingTarget]) {
        for LeavingTarget { id, started_ms } in targets {
            self.leave(id, *started_ms, peer);
        }
    }

    /// Applies the limits that a peer tells of.
    ///
    /// Schedulers pass them on to other zones; in a zone they are told to all.
    pub fn apply_limits(
        &mut self,
        gateway: &Gateway,
        peer: &str,
        limits: &[TargetLimit],
        now: Instant,
    ) {
        for TargetLimit { id, started_ms, version, rate } in limits {
            if self.scheduler.fleet.get(id).is_none_or(|known| known.started_ms != *started_ms) {
                continue;
            }
            if rate.is_some_and(|rate| !rate.is_finite() || rate < 0.0) {
                log::warn!(target_id = id.as_str(), peer; "target: ignored an invalid limit.");
                continue;
            }
            let report = Report { id: TargetId::from(id.as_str()), version: *version, rate: *rate };
            let stated = self.scheduler.limits.merge(&report, now);
            log_limit(id, stated, peer);
            if stated != Statement::Known && self.places_own(gateway, now) {
                self.announce = true;
                gateway.load_changed.notify_all();
            }
        }
    }

    /// Returns the limits that peers are told of.
    pub fn limit_reports(&mut self, now: Instant) -> Vec<TargetLimit> {
        let reports = self.scheduler.limits.reports(MAX_LIMITS, now).into_iter();
        let fleet = &self.scheduler.fleet;
        reports
            .filter_map(|Report { id, version, rate }| {
                let started_ms = fleet.get(&id)?.started_ms;
                Some(TargetLimit { id: id.to_string(), started_ms, version, rate })
            })
            .collect()
    }

    /// Applies what a peer tells of targets that do not help with prompts.
    ///
    /// Schedulers pass it on to other zones; in a zone it is told to all.
    pub fn apply_refusing(&mut self, gateway: &Gateway, helpers: &[RefusingHelper], now: Instant) {
        for RefusingHelper { id, started_ms, left_ms } in helpers {
            let Some(target) = self.scheduler.fleet.get(id) else { continue };
            if target.started_ms != *started_ms {
                continue;
            }
            let (id, left) =
                (TargetId::clone(&target.id), Duration::from_millis((*left_ms).into()));
            if self.scheduler.helpers.learn(&id, left, now) && self.places_own(gateway, now) {
                self.announce = true;
                gateway.load_changed.notify_all();
            }
        }
    }

    /// Returns the targets that do not help with prompts, for peers.
    pub fn refusing_helpers(&self, now: Instant) -> Vec<RefusingHelper> {
        let paused = self.scheduler.helpers.paused(now).take(MAX_REFUSING);
        let report = |(id, left): (&TargetId, Duration)| {
            let started_ms = self.scheduler.fleet.get(id)?.started_ms;
            Some(RefusingHelper { id: id.to_string(), started_ms, left_ms: ms(left) })
        };
        paused.filter_map(report).collect()
    }

    /// Returns the leaving targets that peers are told of.
    pub fn leaving_targets(&self) -> Vec<LeavingTarget> {
        let told = self.scheduler.fleet.told_leaving().take(MAX_LEAVING);
        told.map(|(id, started_ms)| LeavingTarget { id: id.to_string(), started_ms }).collect()
    }
}
