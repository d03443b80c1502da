//! One send of a request to one target.

use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::head::Head;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::place::Helper;
use mimosapass_core::edge::schedule::Grant;
use mimosapass_platform::header;
use mimosapass_target::http::{
    BodyPart, Connection, Framing, ReadError, ResponseHead, WaitOutcome,
};

use super::entry::Request;
use super::state::Gateway;
use super::tickets::Tickets;

/// Time to connect. A zone is a millisecond away, and the first packet is sent
/// again only after a second, so more than this means that nobody answers; the
/// rest of a short prompt's promise is enough for another target.
const CONNECT: Duration = Duration::from_millis(150);
/// Time between two looks at whether the instance ends its requests.
const LOOK: Duration = Duration::from_millis(500);
/// Time for which a target is known to keep an idle connection, where it says nothing.
const KEPT: Duration = Duration::from_secs(4);
/// Time before the stated end of an idle connection at which it is not used any more.
const KEPT_MARGIN: Duration = Duration::from_millis(700);
/// Longest whole answer, in bytes.
const LONGEST: usize = 8 * 1024 * 1024;

/// Headers that concern one connection only, or that the gateway sets itself.
const DROPPED: [&str; 15] = [
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
    header::RANK,
    header::HELPERS,
    header::LAST_EVENT,
];

/// How a send ended.
#[derive(Debug)]
pub enum Sent {
    /// A whole answer of the target, good or not.
    Whole(ResponseHead, Vec<u8>),
    /// The head of a good answer that comes in pieces.
    Stream(Connection, ResponseHead),
    /// The target was not reached; nothing was sent.
    Unsent(String),
    /// The target says that it did not run the request.
    NotRun(String),
    /// The request may have run.
    Lost(String),
    /// The caller left.
    CallerGone,
    /// The request's time is over.
    Late,
}

/// Sends a request to the place that it was given and reads the head of the answer.
pub fn send(
    gateway: &Gateway,
    exchange: &Exchange<'_>,
    request: &Request,
    grant: &Grant,
    tickets: &Tickets,
    silence: Instant,
) -> Sent {
    let target = &grant.place.target;
    let sent = exchange_once(gateway, exchange, request, grant, tickets, silence);
    let outcome = match &sent {
        Sent::Whole(reply, _) if reply.status >= 500 => Some(Outcome::Failed),
        Sent::Whole(..) => Some(Outcome::Answered),
        Sent::NotRun(_) => Some(Outcome::Refused),
        Sent::Lost(_) | Sent::Unsent(_) => Some(Outcome::Silent),
        Sent::Stream(..) | Sent::CallerGone | Sent::Late => None,
    };
    if let Some(outcome) = outcome {
        gateway.note(&target.id, outcome, Instant::now());
    }
    gateway.metrics.attempts.with_label_values(&[sent.label()]).inc();
    sent
}

impl Sent {
    /// Returns the label of the metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Whole(..) => "answered",
            Self::Stream(..) => "streaming",
            Self::Unsent(_) => "unsent",
            Self::NotRun(_) => "not_run",
            Self::Lost(_) => "lost",
            Self::CallerGone => "caller_gone",
            Self::Late => "late",
        }
    }
}

fn exchange_once(
    gateway: &Gateway,
    exchange: &Exchange<'_>,
    request: &Request,
    grant: &Grant,
    tickets: &Tickets,
    silence: Instant,
) -> Sent {
    let addr = grant.place.target.addr;
    // A kept connection may close while a request is on its way, which leaves
    // open whether it ran: what runs once goes on a new connection.
    let kept = if request.repeatable() { gateway.idle.take(addr, Instant::now()) } else { None };
    let mut connection = match kept.map_or_else(|| Connection::open(addr, CONNECT), Ok) {
        Ok(connection) => connection,
        Err(e) => return Sent::Unsent(format!("no connection to {addr}: {e}")),
    };
    let bytes = encode(&exchange.head, &exchange.body, request, grant, tickets, Instant::now());
    if let Err(written) = connection.send(&bytes, request.end) {
        let why = format!("{addr} took {written} bytes of the request");
        return if written == 0 { Sent::Unsent(why) } else { Sent::Lost(why) };
    }
    let method = exchange.head.method.as_str();
    loop {
        match read_head(gateway, exchange, &mut connection, method, request.end.min(silence)) {
            Ok(reply) if foreign(&reply, request) => {
                // It answers an earlier request; ours comes behind it.
                let left = read_body(&mut connection, &reply, exchange, silence);
                if left.is_err() {
                    return Sent::Lost("the answer to another request broke off".to_owned());
                }
            }
            Ok(reply) => return judge(gateway, exchange, request, connection, reply, silence),
            Err(stop) => return stop.sent(request.end),
        }
    }
}

/// Why reading an answer stopped.
#[derive(Clone, Copy, Debug)]
enum Stop {
    Broken(ReadError),
    Caller,
    Silent,
    Ending,
}

impl Stop {
    fn sent(self, end: Instant) -> Sent {
        match self {
            Self::Caller => Sent::CallerGone,
            Self::Silent if Instant::now() >= end => Sent::Late,
            Self::Silent => Sent::Lost("the target is silent".to_owned()),
            Self::Broken(ReadError::Truncated) => Sent::Lost("the connection was cut".to_owned()),
            Self::Broken(ReadError::Malformed) => {
                Sent::Lost("the answer makes no sense".to_owned())
            }
            Self::Ending => Sent::Lost("the instance stops".to_owned()),
        }
    }
}

fn foreign(reply: &ResponseHead, request: &Request) -> bool {
    reply.header(header::ATTEMPT).is_some_and(|id| id != request.attempt)
}

fn judge(
    gateway: &Gateway,
    exchange: &Exchange<'_>,
    request: &Request,
    mut connection: Connection,
    reply: ResponseHead,
    silence: Instant,
) -> Sent {
    let good = (200..300).contains(&reply.status);
    let genuine = reply.header(header::SIGNATURE).is_some()
        && reply.header(header::ATTEMPT) == Some(request.attempt.as_str())
        && reply.header("content-encoding").is_none();
    if good && !genuine {
        return Sent::Lost("the answer bears no signature of the target".to_owned());
    }
    if good && request.route.streaming {
        return Sent::Stream(connection, reply);
    }
    let not_run = reply.status == 421 || reply.header(header::NOT_RUN).is_some();
    let body = match read_body(&mut connection, &reply, exchange, silence.min(request.end)) {
        Ok(body) => body,
        Err(_) if not_run => return Sent::NotRun(format!("status {}", reply.status)),
        Err(stop) => return stop.sent(request.end),
    };
    keep(gateway, connection, &reply);
    if not_run {
        return Sent::NotRun(format!("status {}", reply.status));
    }
    if !genuine {
        return Sent::Lost(format!("status {} without a signature", reply.status));
    }
    Sent::Whole(reply, body)
}

/// Keeps a connection for the next request, as long as its target says.
pub fn keep(gateway: &Gateway, connection: Connection, reply: &ResponseHead) {
    if reply.close {
        return;
    }
    let stated = reply.header("keep-alive").and_then(|v| {
        let timeout = v.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        timeout.and_then(|t| t.trim().parse().ok()).map(Duration::from_secs)
    });
    let time = stated.unwrap_or(KEPT).saturating_sub(KEPT_MARGIN);
    gateway.idle.keep(connection, time, Instant::now());
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
            Ok(Some(reply)) => return Ok(reply),
            Ok(None) => {}
            Err(broken) => return Err(Stop::Broken(broken)),
        }
        if gateway.ending() {
            return Err(Stop::Ending);
        }
        wait(exchange, connection, end)?;
    }
}

/// Waits for more of the answer, for as long as the caller is there.
fn wait(exchange: &Exchange<'_>, connection: &mut Connection, end: Instant) -> Result<(), Stop> {
    let now = Instant::now();
    if now >= end {
        return Err(Stop::Silent);
    }
    let woken = connection.wait(Some(exchange.socket()), end.min(now + LOOK));
    match woken {
        Ok(WaitOutcome::Target) => drop(connection.fill()),
        Ok(WaitOutcome::Caller) if exchange.caller_gone() => return Err(Stop::Caller),
        Ok(WaitOutcome::Caller) => {
            // The caller sent its next request early, which stays readable.
            let until = end.min(Instant::now() + LOOK / 5);
            if let Ok(WaitOutcome::Target) = connection.wait(None::<&std::net::TcpStream>, until) {
                connection.fill();
            }
        }
        Ok(WaitOutcome::TimedOut) => {}
        Err(e) => {
            log::error!("attempt: cannot wait: {e}.");
            return Err(Stop::Broken(ReadError::Truncated));
        }
    }
    Ok(())
}

fn read_body(
    connection: &mut Connection,
    reply: &ResponseHead,
    exchange: &Exchange<'_>,
    end: Instant,
) -> Result<Vec<u8>, Stop> {
    let mut framing = reply.framing;
    let mut body = Vec::new();
    loop {
        match connection.next_part(&mut framing).map_err(Stop::Broken)? {
            BodyPart::Data(data) if body.len() + data.len() > LONGEST => {
                return Err(Stop::Broken(ReadError::Malformed));
            }
            BodyPart::Data(data) => body.extend(data),
            BodyPart::End => return Ok(body),
            BodyPart::NeedMore => wait(exchange, connection, end)?,
        }
    }
}

/// What came next of a stream.
#[derive(Debug)]
pub enum Next {
    /// Bytes of the body.
    Data(Vec<u8>),
    /// The body is whole.
    End,
    /// The target broke off or fell silent; the text says how.
    Cut(&'static str),
    /// The caller left.
    CallerGone,
}

/// Waits for the next piece of a stream.
pub fn next(
    exchange: &Exchange<'_>,
    connection: &mut Connection,
    framing: &mut Framing,
    end: Instant,
) -> Next {
    loop {
        match connection.next_part(framing) {
            Ok(BodyPart::Data(data)) => return Next::Data(data),
            Ok(BodyPart::End) => return Next::End,
            Ok(BodyPart::NeedMore) => {}
            Err(ReadError::Truncated) => return Next::Cut("the connection was cut"),
            Err(ReadError::Malformed) => return Next::Cut("the framing makes no sense"),
        }
        match wait(exchange, connection, end) {
            Ok(()) => {}
            Err(Stop::Caller) => return Next::CallerGone,
            Err(Stop::Silent) => return Next::Cut("the target is silent"),
            Err(_) => return Next::Cut("the wait failed"),
        }
    }
}

fn encode(
    head: &Head,
    body: &[u8],
    request: &Request,
    grant: &Grant,
    tickets: &Tickets,
    now: Instant,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1024 + body.len());
    let mut line = |parts: [&str; 4]| {
        for part in parts {
            bytes.extend_from_slice(part.as_bytes());
        }
    };
    line([&head.method, " ", &head.target, " HTTP/1.1\r\n"]);
    let named = head.header("connection").unwrap_or_default().to_ascii_lowercase();
    let hop = |name: &str| named.split(',').any(|n| n.trim() == name);
    for (name, value) in &head.headers {
        let hidden = name == header::KEY && request.workspace.is_some();
        if !hidden && !DROPPED.contains(&name.as_str()) && !hop(name) {
            line([name, ": ", value, "\r\n"]);
        }
    }
    let left = request.end.saturating_duration_since(now).as_millis().to_string();
    line([header::DEADLINE, ": ", &left, "\r\n"]);
    line([header::EXPECTED_TARGET, ": ", &grant.place.target.id, "\r\n"]);
    if let Some(workspace) = &request.workspace {
        line([header::WORKSPACE, ": ", &workspace.name, "\r\n"]);
    }
    if let Some(event) = &request.last_event {
        line([header::LAST_EVENT, ": ", event, "\r\n"]);
    }
    if !grant.place.helpers.is_empty() {
        let helper = |h: &Helper| {
            let ticket = (h.kept_tokens > 0).then_some(tickets.name.as_str());
            header::helper(h.target.addr, ticket)
        };
        let helpers: Vec<String> = grant.place.helpers.iter().map(helper).collect();
        line([header::HELPERS, ": ", &helpers.join(","), "\r\n"]);
    }
    let framed = head.header("content-length").is_some()
        || head.header("transfer-encoding").is_some()
        || !body.is_empty();
    if framed {
        line(["content-length: ", &body.len().to_string(), "\r\n", ""]);
    }
    line(["\r\n", "", "", ""]);
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the headers of an answer that the caller gets.
pub fn relayed(reply: &ResponseHead) -> Vec<(String, String)> {
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
    reply.headers.iter().filter(|(name, _)| keep(name)).cloned().collect()
}
