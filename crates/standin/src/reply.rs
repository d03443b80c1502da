//! Responses and query parameters, for all stand-ins.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::Duration;

use mimosapass_caller::exchange::Exchange;
use serde::Serialize;

/// Bytes of an endless response that are sent at once, and the time between them.
const ENDLESS: (usize, Duration) = (64 * 1024, Duration::from_millis(4));

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

/// Returns a query parameter, decoded.
pub fn query_text(query: &str, name: &str) -> Option<String> {
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    pairs.find(|(n, _)| n == name).map(|(_, value)| value.into_owned())
}

/// Returns a numeric query parameter, such as `after` in `after=3&wait_ms=10`.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query_text(query, name)?.parse().ok()
}

/// Sends a part of a streamed response, with a silence in its midst if there is one.
///
/// # Errors
///
/// Fails when the caller closed the connection.
pub fn in_halves(
    exchange: &mut Exchange<'_>,
    part: &[u8],
    silence: Option<Duration>,
) -> io::Result<()> {
    let Some(silence) = silence else { return exchange.send(part) };
    let (start, rest) = part.split_at(part.len() / 2);
    exchange.send(start)?;
    thread::sleep(silence);
    exchange.send(rest)
}

/// Sends parts of a streamed response that have no meaning and no end.
///
/// # Errors
///
/// Fails when the caller closes the connection.
pub fn endless(exchange: &mut Exchange<'_>) -> io::Result<()> {
    let bytes = vec![b'x'; ENDLESS.0];
    loop {
        exchange.send(&bytes)?;
        thread::sleep(ENDLESS.1);
    }
}
