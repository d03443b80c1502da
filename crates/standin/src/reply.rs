//! Responses and query parameters, for all stand-ins.

use std::collections::BTreeMap;

use mimosapass_caller::exchange::Exchange;
use serde::Serialize;

/// Responds with a JSON value; write errors are ignored.
pub fn json<T: Serialize>(exchange: &mut Exchange<'_>, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let headers = [("content-type", "application/json".to_owned())];
    exchange.respond(status, &headers, &body).unwrap_or_default();
}

/// Responds with an empty JSON object.
pub fn empty(exchange: &mut Exchange<'_>, status: u16) {
    json(exchange, status, &BTreeMap::<String, String>::new());
}

/// Returns a numeric query parameter, such as `after` in `after=3&wait_ms=10`.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .and_then(|(_, v)| v.parse().ok())
}
