//! One attempt: sends a request to a target and reads its response.

use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::head::Head;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::placement::Helper;
use mimosapass_core::edge::schedule::Grant;
use mimosapass_platform::header;
use mimosapass_target::http::{
    BodyPart, Connection, Framing, ReadError, ResponseHead, WaitOutcome,
};

use super::request::Request;
use super::reservations::Reservations;
use super::state::Gateway;

/// A round trip to another zone takes about a millisecond. A lost first packet is
/// retransmitted only after a second, so waiting longer rarely succeeds. What remains of
/// the time limit of a short prompt is enough for another target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval between checks whether the instance aborts its requests.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Keep-alive time of a target that states none in its response.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Margin before the end of the keep-alive time in which a connection is not reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Largest accepted body of a response that is not streamed; a larger one is malformed.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Hop-by-hop headers and headers that the gateway sets itself.
const DROPPED_HEADERS: [&str; 15] = [
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
];

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// A complete response, successful or not.
    Complete(ResponseHead, Vec<u8>),
    /// The head of a successful response whose body is streamed.
    Stream(Connection, ResponseHead),
    /// No byte of the request was sent.
    NotSent(String),
    /// The target stated that it did not run the request.
    NotRun(String),
    /// The attempt failed after the request may have run.
    Lost(String),
    /// The caller disconnected.
    CallerGone,
    /// The request's deadline passed.
    Expired,
}

/// Sends a request to its granted target and reads the response.
///
/// Of a streamed response only the head is read. A target that is silent until
/// `silent_at` counts as failed if `give_up` then returns that the request may be retried;
/// otherwise it is waited for until the deadline.
pub fn send(
    gateway: &Gateway,
    exchange: &Exchange<'_>,
    request: &Request,
    grant: &Grant,
    reservations: &Reservations,
    silent_at: Instant,
    give_up: impl FnMut() -> bool,
) -> AttemptResult {
    let target = &grant.placement.target;
    let result = send_once(gateway, exchange, request, grant, reservations, silent_at, give_up);
    let outcome = match &result {
        AttemptResult::Complete(response, _) if response.status >= 500 => Some(Outcome::Failed),
        AttemptResult::Complete(..) => Some(Outcome::Answered),
        AttemptResult::NotRun(_) => Some(Outcome::Refused),
        AttemptResult::Lost(_) | AttemptResult::NotSent(_) => Some(Outcome::Silent),
        AttemptResult::Stream(..) | AttemptResult::CallerGone | AttemptResult::Expired => None,
    };
    if let Some(outcome) = outcome {
        gateway.record_outcome(&target.id, outcome, Instant::now());
    }
    gateway.metrics.attempts.with_label_values(&[result.label()]).inc();
    result
}

impl AttemptResult {
    /// Returns the value of the metrics label `outcome`.
    fn label(&self) -> &'static str {
        match self {
            Self::Complete(..) => "answered",
            Self::Stream(..) => "streaming",
            Self::NotSent(_) => "unsent",
            Self::NotRun(_) => "not_run",
            Self::Lost(_) => "lost",
            Self::CallerGone => "caller_gone",
            Self::Expired => "late",
        }
    }
}

fn send_once(
    gateway: &Gateway,
    exchange: &Exchange<'_>,
    request: &Request,
    grant: &Grant,
    reservations: &Reservations,
    mut silent_at: Instant,
    mut give_up: impl FnMut() -> bool,
) -> AttemptResult {
    let addr = grant.placement.target.addr;
    // An idle connection may be closed while a request is being sent, which leaves
    // unknown whether it ran: non-idempotent requests get a new connection.
    let pooled =
        if request.is_idempotent() { gateway.connections.take(addr, Instant::now()) } else { None };
    let mut connection = match pooled.map_or_else(|| Connection::open(addr, CONNECT_TIMEOUT), Ok) {
        Ok(connection) => connection,
        Err(e) => return AttemptResult::NotSent(format!("cannot connect to {addr}: {e}")),
    };
    let bytes =
        encode(&exchange.head, &exchange.body, request, grant, reservations, Instant::now());
    if let Err(written) = connection.send(&bytes, request.deadline) {
        let error = format!("only {written} bytes of the request were sent to {addr}");
        return if written == 0 {
            AttemptResult::NotSent(error)
        } else {
            AttemptResult::Lost(error)
        };
    }
    let method = exchange.head.method.as_str();
    loop {
        let end = request.deadline.min(silent_at);
        let read = read_head(gateway, exchange, &mut connection, method, end);
        if let Ok(response) = &read {
            gateway.read_notices(&grant.placement.target, response);
        }
        match read {
            Ok(response) if is_mismatched(&response, request) => {
                // A response to an earlier request; the response to this one follows it.
                let skipped = read_body(&mut connection, &response, exchange, silent_at);
                if skipped.is_err() {
                    return AttemptResult::Lost(
                        "the connection failed within the response to an earlier request"
                            .to_owned(),
                    );
                }
            }
            Ok(response) => {
                return classify(gateway, exchange, request, connection, response, silent_at);
            }
            Err(Stop::Silent) if Instant::now() < request.deadline && !give_up() => {
                silent_at = request.deadline;
            }
            Err(stop) => return stop.into_result(request.deadline),
        }
    }
}

/// Why reading a response stopped.
#[derive(Clone, Copy, Debug)]
enum Stop {
    Failed(ReadError),
    CallerGone,
    Silent,
    Aborted,
}

impl Stop {
    fn into_result(self, deadline: Instant) -> AttemptResult {
        match self {
            Self::CallerGone => AttemptResult::CallerGone,
            Self::Silent if Instant::now() >= deadline => AttemptResult::Expired,
            Self::Silent => AttemptResult::Lost("the target did not respond in time".to_owned()),
            Self::Failed(ReadError::Truncated) => {
                AttemptResult::Lost("the connection ended within the response".to_owned())
            }
            Self::Failed(ReadError::Malformed) => {
                AttemptResult::Lost("the response is malformed".to_owned())
            }
            Self::Aborted => AttemptResult::Lost("the instance is stopping".to_owned()),
        }
    }
}

fn is_mismatched(response: &ResponseHead, request: &Request) -> bool {
    response.header(header::ATTEMPT_ID).is_some_and(|id| id != request.attempt_id)
}

fn classify(
    gateway: &Gateway,
    exchange: &Exchange<'_>,
    request: &Request,
    mut connection: Connection,
    response: ResponseHead,
    silent_at: Instant,
) -> AttemptResult {
    let success = (200..300).contains(&response.status);
    let signed = response.header(header::SIGNATURE).is_some()
        && response.header(header::ATTEMPT_ID) == Some(request.attempt_id.as_str())
        && response.header("content-encoding").is_none();
    if success && !signed {
        return AttemptResult::Lost("the response has no signature of the target".to_owned());
    }
    if success && request.route.streaming {
        return AttemptResult::Stream(connection, response);
    }
    let not_run = response.status == 421 || response.header(header::NOT_RUN).is_some();
    let body =
        match read_body(&mut connection, &response, exchange, silent_at.min(request.deadline)) {
            Ok(body) => body,
            Err(_) if not_run => {
                return AttemptResult::NotRun(format!("status {}", response.status));
            }
            Err(stop) => return stop.into_result(request.deadline),
        };
    reuse(gateway, connection, &response);
    if not_run {
        return AttemptResult::NotRun(format!("status {}", response.status));
    }
    if !signed {
        return AttemptResult::Lost(format!("status {} without a signature", response.status));
    }
    AttemptResult::Complete(response, body)
}

/// Returns a connection to the pool for the keep-alive time of its target.
pub fn reuse(gateway: &Gateway, connection: Connection, response: &ResponseHead) {
    if response.close {
        return;
    }
    let stated = response.header("keep-alive").and_then(|v| {
        let timeout = v.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        timeout.and_then(|t| t.trim().parse().ok()).map(Duration::from_secs)
    });
    let keep_alive = stated.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN);
    gateway.connections.keep(connection, keep_alive, Instant::now());
}

fn read_head(
    gateway: &Gateway,
    exchange: &Exchange<'_>,
    connection: &mut Connection,
    method: &str,
    end: Instant,
) -> Result<ResponseHead, Stop> {
    loop {
        match connection.parse_head(method) {
            Ok(Some(response)) => return Ok(response),
            Ok(None) => {}
            Err(e) => return Err(Stop::Failed(e)),
        }
        if gateway.is_aborting() {
            return Err(Stop::Aborted);
        }
        wait(exchange, connection, end)?;
    }
}

/// Waits for more of the response while the caller is connected.
fn wait(exchange: &Exchange<'_>, connection: &mut Connection, end: Instant) -> Result<(), Stop> {
    let now = Instant::now();
    if now >= end {
        return Err(Stop::Silent);
    }
    let ready = connection.wait(Some(exchange.socket()), end.min(now + POLL_INTERVAL));
    match ready {
        Ok(WaitOutcome::Target) => drop(connection.fill()),
        Ok(WaitOutcome::Caller) if exchange.caller_gone() => return Err(Stop::CallerGone),
        Ok(WaitOutcome::Caller) => {
            // The socket stays readable: the caller has sent its next request already.
            let until = end.min(Instant::now() + POLL_INTERVAL / 5);
            if let Ok(WaitOutcome::Target) = connection.wait(None::<&std::net::TcpStream>, until) {
                connection.fill();
            }
        }
        Ok(WaitOutcome::TimedOut) => {}
        Err(e) => {
            log::error!("attempt: waiting on the sockets failed: {e}.");
            return Err(Stop::Failed(ReadError::Truncated));
        }
    }
    Ok(())
}

fn read_body(
    connection: &mut Connection,
    response: &ResponseHead,
    exchange: &Exchange<'_>,
    end: Instant,
) -> Result<Vec<u8>, Stop> {
    let mut framing = response.framing;
    let mut body = Vec::new();
    loop {
        match connection.next_part(&mut framing).map_err(Stop::Failed)? {
            BodyPart::Data(data) if body.len() + data.len() > MAX_BODY_BYTES => {
                return Err(Stop::Failed(ReadError::Malformed));
            }
            BodyPart::Data(data) => body.extend(data),
            BodyPart::End => return Ok(body),
            BodyPart::NeedMore => wait(exchange, connection, end)?,
        }
    }
}

/// The next part of a stream.
#[derive(Debug)]
pub enum StreamPart {
    /// Bytes of the body.
    Data(Vec<u8>),
    /// The body is complete.
    End,
    /// The target failed; the text says how.
    Failed(&'static str),
    /// The target was silent until the end of the wait.
    Silent,
    /// The caller disconnected.
    CallerGone,
}

/// Waits for the next part of a stream.
pub fn next_part(
    exchange: &Exchange<'_>,
    connection: &mut Connection,
    framing: &mut Framing,
    end: Instant,
) -> StreamPart {
    loop {
        match connection.next_part(framing) {
            Ok(BodyPart::Data(data)) => return StreamPart::Data(data),
            Ok(BodyPart::End) => return StreamPart::End,
            Ok(BodyPart::NeedMore) => {}
            Err(ReadError::Truncated) => {
                return StreamPart::Failed("the connection ended within the response");
            }
            Err(ReadError::Malformed) => {
                return StreamPart::Failed("the body framing is malformed");
            }
        }
        match wait(exchange, connection, end) {
            Ok(()) => {}
            Err(Stop::CallerGone) => return StreamPart::CallerGone,
            Err(Stop::Silent) => return StreamPart::Silent,
            Err(_) => return StreamPart::Failed("waiting on the sockets failed"),
        }
    }
}

fn encode(
    head: &Head,
    body: &[u8],
    request: &Request,
    grant: &Grant,
    reservations: &Reservations,
    now: Instant,
) -> Vec<u8> {
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
        let hidden = name == header::AUTHORIZATION && request.workspace.is_some();
        if !hidden && !DROPPED_HEADERS.contains(&name.as_str()) && !hop_by_hop(name) {
            write([name, ": ", value, "\r\n"]);
        }
    }
    let left_ms = request.deadline.saturating_duration_since(now).as_millis().to_string();
    write([header::DEADLINE, ": ", &left_ms, "\r\n"]);
    write([header::EXPECTED_TARGET, ": ", &grant.placement.target.id, "\r\n"]);
    if let Some(workspace) = &request.workspace {
        write([header::WORKSPACE, ": ", &workspace.name, "\r\n"]);
    }
    if let Some(event) = &request.last_event {
        write([header::LAST_EVENT, ": ", event, "\r\n"]);
    }
    if !grant.placement.helpers.is_empty() {
        let helper = |h: &Helper| {
            let reservation = (h.kept_tokens > 0).then_some(reservations.id.as_str());
            header::helper(h.target.addr, reservation)
        };
        let helpers: Vec<String> = grant.placement.helpers.iter().map(helper).collect();
        write([header::HELPERS, ": ", &helpers.join(","), "\r\n"]);
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
pub fn end_to_end_headers(response: &ResponseHead) -> Vec<(String, String)> {
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
