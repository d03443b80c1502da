//! How a request ends: its log line, its metrics, and the responses of the gateway itself.

use std::time::Instant;

use mimosapass_caller::exchange::{Departure, Exchange};
use mimosapass_caller::head::Head;
use mimosapass_core::edge::route_table::RouteTable;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_platform::header;
use mimosapass_target::http::ResponseHead;

use super::attempt;
use super::detour;
use super::flow::Flow;
use super::state::Gateway;

/// Longest part of a host or path that is logged.
const LOGGED_CHARS: usize = 80;
/// Outcome of a request whose caller disconnected.
pub const CALLER_GONE: &str = "caller_gone";

/// How a request ended, for its log line and metrics.
#[derive(Debug)]
pub struct RequestEnd {
    /// Value of the metrics label `outcome`.
    pub outcome: &'static str,
    /// Why it ended so.
    pub detail: String,
}

impl RequestEnd {
    /// Ends a request whose caller disconnected.
    pub fn gone(departure: Departure) -> Self {
        Self { outcome: CALLER_GONE, detail: departure.to_string() }
    }

    /// Ends a request whose caller disconnected, or did not take what was sent in time.
    pub fn caller_gone(exchange: &Exchange<'_>) -> Self {
        match exchange.departure() {
            Some(departure) => Self::gone(departure),
            None => Self {
                outcome: "caller_slow",
                detail: "the caller did not take the response in time".to_owned(),
            },
        }
    }
}

/// Records in metrics and the log that a request was refused on arrival.
pub fn log_refusal(
    gateway: &Gateway,
    table: &RouteTable,
    head: &Head,
    failure: &Failure,
    now: Instant,
) {
    let (host, path) = (head.header("host").unwrap_or_default(), head.path.as_str());
    let shown = |text: &str| text.chars().take(LOGGED_CHARS).collect::<String>();
    let last_success = gateway.state().store.last_success;
    let age = last_success.map(|at| now.saturating_duration_since(at).as_millis().to_string());
    let kind = failure.kind;
    log::info!(
        id = head.header(header::ATTEMPT_ID).unwrap_or_default(),
        version = table.version,
        kind:? = kind,
        method = head.method.as_str(),
        host = shown(host),
        path = shown(path),
        store_age_ms = age.as_deref().unwrap_or("never");
        "request: refused, {failure}."
    );
    gateway.metrics.requests.with_label_values(&["none", kind.row().code]).inc();
}

/// Responds with a failure of the gateway itself.
///
/// `sends` is the number of targets that got the request, if a peer is to be told.
pub fn respond_failure(exchange: &mut Exchange<'_>, failure: &Failure, sends: Option<u32>) {
    let row = failure.kind.row();
    let mut headers = vec![("content-type", "text/plain".to_owned())];
    headers.extend(sends.map(|sends| (detour::SENDS, sends.to_string())));
    if let (true, Some(after)) = (row.not_run, failure.retry_after()) {
        headers.push((header::RETRY_AFTER, header::retry_after(after)));
    }
    if let Err(e) = exchange.respond(row.status, &headers, failure.detail.as_bytes()) {
        log::debug!("request: the response could not be sent to the caller: {e}.");
    }
}

impl Flow<'_, '_> {
    /// Relays a complete response.
    pub(super) fn relay_response(&mut self, response: &ResponseHead, body: &[u8]) -> RequestEnd {
        let outcome = match response.status {
            ..400 => "served",
            400..500 => Kind::Rejected.row().code,
            _ => Kind::TargetFailed.row().code,
        };
        match self.exchange.relay(
            response.status,
            &attempt::end_to_end_headers(response),
            &[],
            body,
        ) {
            Ok(()) => RequestEnd { outcome, detail: format!("status {}", response.status) },
            Err(_) => RequestEnd::caller_gone(self.exchange),
        }
    }

    /// Ends the request with the most specific failure known.
    pub(super) fn respond_last_failure(&mut self) -> RequestEnd {
        if self.progress.begun {
            // The connection is closed without an end of the body, so that the caller
            // does not take the stream for complete.
            return RequestEnd { outcome: "cut", detail: self.last_error.clone() };
        }
        if let Some((response, body)) = self.last_response.take() {
            return self.relay_response(&response, &body);
        }
        let kind = if self.may_have_run { Kind::TargetFailed } else { Kind::Refused };
        let failure = Failure::new(kind, self.last_error.clone());
        let failure = match self.retry_after {
            Some(after) if !self.may_have_run => failure.after(after),
            _ => failure,
        };
        self.refuse(&failure)
    }

    /// Ends the request at its deadline.
    pub(super) fn expire(&mut self) -> RequestEnd {
        self.may_have_run = true;
        if self.progress.begun {
            "the deadline passed during the stream".clone_into(&mut self.last_error);
            return RequestEnd { outcome: "cut", detail: self.last_error.clone() };
        }
        if let Some((response, body)) = self.last_response.take() {
            return self.relay_response(&response, &body);
        }
        "the deadline passed before the target responded".clone_into(&mut self.last_error);
        self.refuse(&Failure::new(Kind::RunTimeout, self.last_error.clone()))
    }

    /// Responds with a failure of this instance.
    pub(super) fn refuse(&mut self, failure: &Failure) -> RequestEnd {
        if failure.kind == Kind::CallerGone {
            return RequestEnd::caller_gone(self.exchange);
        }
        let told = self.request.detoured.then_some(self.sends);
        respond_failure(self.exchange, failure, told);
        RequestEnd { outcome: failure.kind.row().code, detail: failure.to_string() }
    }
}
