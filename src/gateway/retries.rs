//! The limits on retries: asks for one, and records each request that is sent once more.

use std::time::Instant;

use mimosapass_core::edge::route_table::ServiceId;

use super::flow::{Flow, MAX_NOT_SENT};
use super::state::Gateway;

impl Gateway {
    /// Counts a caller's request, which raises the retry limit of its service.
    pub fn record_request(&self, service: &ServiceId, now: Instant) {
        self.state()
            .retry_windows
            .entry(ServiceId::clone(service))
            .or_default()
            .record_request(now);
    }

    /// Uses one retry; returns whether the limits allow it.
    pub fn try_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let mut state = self.state();
        let instances = state.instance_count();
        let window = state.retry_windows.entry(ServiceId::clone(service)).or_default();
        let allowed = window.try_retry(&self.settings.retry_limits, instances, now);
        if !allowed {
            self.metrics.denied_retries.with_label_values(&[service]).inc();
        }
        allowed
    }

    /// Gives back the retry that was consumed at `at`: it was not sent.
    pub fn give_back_retry(&self, service: &ServiceId, at: Instant) {
        if let Some(window) = self.state().retry_windows.get_mut(service) {
            window.give_back(at);
        }
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
        if self.sends > 0 && !self.gateway.may_retry_parts(request) {
            self.last_error = format!("{}; it may crash targets", self.last_error);
            return false;
        }
        let allowed = self.sends == 0
            || self.gateway.try_retry(&request.requirements.service, Instant::now());
        if !allowed {
            self.last_error = format!("{}; the retry budget is used up", self.last_error);
        }
        allowed
    }

    /// Records that the request is sent to `place`, if it was sent before: by this instance, or
    /// maybe by a peer that refused it then.
    pub(super) fn record_retry(&self, place: &str) {
        if self.sends == 0 && !self.refused_by_peer {
            return;
        }
        let cause = match (self.runs.is_empty(), self.sends) {
            (false, _) => "silent",
            (true, 0) => "refused_by_peer",
            (true, _) => self.last_cause,
        };
        let (gateway, service) = (self.gateway, &self.request.requirements.service);
        let mut state = gateway.state();
        let instances = state.instance_count();
        let window = state.retry_windows.entry(ServiceId::clone(service)).or_default();
        let usage = window.usage(&gateway.settings.retry_limits, instances, Instant::now());
        drop(state);
        gateway.metrics.retries.with_label_values(&[service, cause]).inc();
        let figures = [
            ("requests", usage.requests as i64),
            ("retries", usage.retries as i64),
            ("limit", usage.limit as i64),
            ("instances", instances as i64),
        ];
        for (figure, value) in figures {
            gateway.metrics.retry_account.with_label_values(&[service, figure]).set(value);
        }
        log::info!(
            id = self.request.attempt_id.as_str(),
            service = &**service,
            cause,
            place,
            sends = self.sends,
            counted = self.sends > 0,
            requests = usage.requests,
            retries = usage.retries,
            limit = usage.limit,
            instances;
            "retry: the request is sent once more."
        );
    }
}
