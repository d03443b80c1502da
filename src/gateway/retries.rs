//! The limits on retries: asks for one, and records each request that is sent once more.

use std::sync::Arc;
use std::time::Instant;

use mimosapass_core::edge::retry::{RetryLedger, RetryLimits, Usage};
use mimosapass_core::edge::route_table::ServiceId;

use super::flow::{Flow, MAX_NOT_SENT};
use super::state::{Gateway, State};

/// A reserved retry; it is released when it is dropped, unless it was sent.
#[derive(Debug)]
pub struct Retry {
    gateway: Arc<Gateway>,
    service: ServiceId,
    sent: bool,
}

impl Retry {
    /// Records that it is sent now.
    pub fn send(mut self) {
        self.sent = true;
        let (gateway, service) = (&self.gateway, &self.service);
        gateway.state().retry_ledger(gateway, service).send(Instant::now());
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        if !self.sent {
            self.gateway.state().retry_ledger(&self.gateway, &self.service).release();
        }
    }
}

impl Gateway {
    /// Counts a caller's request, which raises the retry limit of its service.
    pub fn record_request(&self, service: &ServiceId, now: Instant) {
        self.state().retry_ledger(self, service).record_request(now);
    }

    /// Reserves a retry, if the limits allow it.
    pub fn reserve_retry(self: &Arc<Self>, service: &ServiceId, now: Instant) -> Option<Retry> {
        let mut state = self.state();
        let share = state.usable_slack(now);
        let allowed = state.retry_ledger(self, service).reserve(share, now);
        drop(state);
        if !allowed {
            self.metrics.denied_retries.with_label_values(&[service]).inc();
            return None;
        }
        Some(Retry { gateway: Arc::clone(self), service: ServiceId::clone(service), sent: false })
    }

    /// Returns the account of a service, and the number of instances that share the slack.
    fn retry_account(&self, service: &ServiceId, now: Instant) -> (Usage, usize) {
        let mut state = self.state();
        let (share, instances) = (state.usable_slack(now), state.instance_count(now));
        let usage = state.retry_ledger(self, service).usage(share, now);
        drop(state);
        let figures = [
            ("requests", usage.requests as i64),
            ("retries", usage.retries as i64),
            ("limit", usage.limit as i64),
            ("instances", instances as i64),
        ];
        for (figure, value) in figures {
            self.metrics.retry_account.with_label_values(&[service, figure]).set(value);
        }
        (usage, instances)
    }
}

impl State {
    /// Puts other limits on retries in force.
    pub fn set_retry_limits(&mut self, limits: RetryLimits, now: Instant) {
        for ledger in self.retry_ledgers.values_mut() {
            ledger.set_limits(limits, now);
        }
        self.retry_limits = limits;
    }

    fn retry_ledger(&mut self, gateway: &Gateway, service: &ServiceId) -> &mut RetryLedger {
        let (limits, begin) = (self.retry_limits, gateway.started);
        let ledgers = self.retry_ledgers.entry(ServiceId::clone(service));
        ledgers.or_insert_with(|| RetryLedger::new(limits, begin))
    }

    /// Returns the part of the slack that this instance may use.
    fn usable_slack(&mut self, now: Instant) -> f64 {
        let count = self.fleet_size.count(now).filter(|_| self.retry_share.is_usable(now));
        count.map_or(0.0, |count| self.retry_limits.slack / count as f64)
    }
}

impl Flow<'_, '_> {
    /// Returns whether the request may be attempted once more.
    pub(super) fn may_retry(&mut self) -> bool {
        let request = &self.request;
        if self.not_sent >= MAX_NOT_SENT || self.sends >= request.route.attempts {
            return false;
        }
        if self.may_have_run && !request.is_idempotent() {
            return false;
        }
        if !self.progress.is_resumable() {
            return false;
        }
        let was_sent = self.sends > 0 || self.sent_by_peers > 0;
        if was_sent && !self.gateway.may_retry_parts(request) {
            self.last_error = format!("{}; it may crash targets", self.last_error);
            return false;
        }
        if was_sent && self.retry.is_none() {
            let service = &request.requirements.service;
            self.retry = self.gateway.reserve_retry(service, Instant::now());
            if self.retry.is_none() {
                self.last_error = format!("{}; the retry budget is used up", self.last_error);
                return false;
            }
        }
        true
    }

    /// Records that the request is sent to `place`, and that its retry is used if it has one.
    pub(super) fn record_send(&mut self, place: &str) {
        let Some(retry) = self.retry.take() else { return };
        retry.send();
        let cause = match (self.runs.is_empty(), self.sends) {
            (false, _) => "silent",
            (true, 0) => "refused_by_peer",
            (true, _) => self.last_cause,
        };
        let service = &self.request.requirements.service;
        let (usage, instances) = self.gateway.retry_account(service, Instant::now());
        self.gateway.metrics.retries.with_label_values(&[service, cause]).inc();
        log::info!(
            id = self.request.attempt_id.as_str(),
            service = &**service,
            cause,
            place,
            sends = self.sends,
            by_peers = self.sent_by_peers,
            requests = usage.requests,
            retries = usage.retries,
            limit = usage.limit,
            instances;
            "retry: the request is sent once more."
        );
    }
}
