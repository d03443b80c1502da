//! Opens a connection to a target and encodes the request for it.

use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::head::Head;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::placement::Helper;
use mimosapass_core::edge::schedule::Grant;
use mimosapass_platform::header;
use mimosapass_target::http::{Connection, Header, ResponseHead};

use super::detour;
use super::request::Request;
use super::reservations::Reservations;
use super::state::Gateway;

/// A round trip to another zone takes about a millisecond. A lost first packet is
/// retransmitted only after a second, so waiting longer rarely succeeds. What remains of
/// the time limit of a short prompt is enough for another target.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Keep-alive time of a target that states none in its response.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Margin before the end of the keep-alive time in which a connection is not reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Hop-by-hop headers and headers that the gateway sets itself.
const DROPPED_HEADERS: [&str; 16] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    header::WORKSPACE,
    header::DEADLINE,
    header::EXPECTED_TARGET,
    header::PRIORITY,
    header::HELPERS,
    header::LAST_EVENT,
    detour::ATTEMPTS,
];

/// Opens a connection for a request to its granted target, or takes an idle one.
///
/// # Errors
///
/// Fails when the target cannot be connected to.
pub fn connect(gateway: &Gateway, grant: &Grant, idempotent: bool) -> Result<Connection, String> {
    let target = &grant.placement.target;
    let addr = target.addr;
    // An idle connection may be closed while a request is being sent, which leaves
    // unknown whether it ran: non-idempotent requests get a new connection.
    let pooled = if idempotent { gateway.connections.take(addr, Instant::now()) } else { None };
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    let opened = Connection::open(addr, CONNECT_TIMEOUT);
    gateway.record_connection(target, opened.is_ok(), Instant::now());
    opened.map_err(|e| {
        gateway.connections.close_all(addr);
        gateway.record_outcome(&target.id, Outcome::Silent, Instant::now());
        gateway.metrics.attempts.with_label_values(&["unsent"]).inc();
        format!("cannot connect to {addr}: {e}")
    })
}

/// Returns a connection to the pool for the keep-alive time of its target.
pub fn reuse(gateway: &Gateway, connection: Connection, response: &ResponseHead) {
    if response.close {
        return;
    }
    let stated = response.header("keep-alive").and_then(|v| {
        let timeout = v.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        timeout.and_then(header::seconds)
    });
    let keep_alive = stated.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN);
    gateway.connections.keep(connection, keep_alive, Instant::now());
}

/// Encodes a request for its granted target.
pub fn encode(
    exchange: &Exchange<'_>,
    request: &Request,
    grant: &Grant,
    reservations: &Reservations,
    now: Instant,
) -> Vec<u8> {
    let mut headers = vec![(header::EXPECTED_TARGET, grant.placement.target.id.to_string())];
    headers.extend(request.workspace.as_ref().map(|w| (header::WORKSPACE, w.name.to_string())));
    if !grant.placement.helpers.is_empty() {
        let helper = |h: &Helper| {
            let reservation = (h.kept_tokens > 0).then_some(reservations.id.as_str());
            header::helper(h.target.addr, reservation)
        };
        let helpers: Vec<String> = grant.placement.helpers.iter().map(helper).collect();
        headers.push((header::HELPERS, helpers.join(",")));
    }
    let hides_key = request.workspace.is_some();
    encode_with(exchange, request, &headers, hides_key, now)
}

/// Encodes a request for a peer, which gets it as from the caller.
pub fn encode_detour(
    exchange: &Exchange<'_>,
    request: &Request,
    attempts: u32,
    now: Instant,
) -> Vec<u8> {
    encode_with(exchange, request, &[(detour::ATTEMPTS, attempts.to_string())], false, now)
}

/// Encodes a request with headers that this instance sets.
fn encode_with(
    exchange: &Exchange<'_>,
    request: &Request,
    headers: &[(&str, String)],
    hides_key: bool,
    now: Instant,
) -> Vec<u8> {
    let (head, body): (&Head, &[u8]) = (&exchange.head, &exchange.body);
    let mut bytes = Vec::with_capacity(1024 + body.len());
    let mut write = |parts: [&str; 4]| {
        for part in parts {
            bytes.extend_from_slice(part.as_bytes());
        }
    };
    write([&head.method, " ", &head.target, " HTTP/1.1\r\n"]);
    let connection_options = head.header("connection").unwrap_or_default().to_ascii_lowercase();
    let hop_by_hop = |name: &str| connection_options.split(',').any(|n| n.trim() == name);
    for (name, value) in &head.headers {
        let hidden = name == header::AUTHORIZATION && hides_key;
        if !hidden && !DROPPED_HEADERS.contains(&name.as_str()) && !hop_by_hop(name) {
            write([name, ": ", value, "\r\n"]);
        }
    }
    let left_ms = request.deadline.saturating_duration_since(now).as_millis().to_string();
    write([header::DEADLINE, ": ", &left_ms, "\r\n"]);
    for (name, value) in headers {
        write([name, ": ", value, "\r\n"]);
    }
    if let Some(event) = &request.last_event {
        write([header::LAST_EVENT, ": ", event, "\r\n"]);
    }
    let has_body = head.header("content-length").is_some()
        || head.header("transfer-encoding").is_some()
        || !body.is_empty();
    if has_body {
        write(["content-length: ", &body.len().to_string(), "\r\n", ""]);
    }
    write(["\r\n", "", "", ""]);
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the headers of a response without the hop-by-hop ones.
pub fn end_to_end_headers(response: &ResponseHead) -> Vec<Header> {
    let keep = |name: &str| {
        !matches!(
            name,
            "connection"
                | "keep-alive"
                | "proxy-connection"
                | "trailer"
                | "transfer-encoding"
                | "upgrade"
                | "content-length"
        )
    };
    response.headers.iter().filter(|(name, _)| keep(name)).cloned().collect()
}
