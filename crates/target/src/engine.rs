//! Client of model engines.
//!
//! A generate call carries the identifier of its attempt and the number of
//! tokens that the caller already has. The engine repeats the identifier in
//! every event, numbers the tokens, and ends a complete output with an end event.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use bytes::Bytes;
use mimosapass_core::{figure, whole};
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::client::{call_error, error_text, read_json};
use crate::error::CallError;

/// Header with the attempt's identifier.
pub const ATTEMPT: &str = "mimosapass-attempt";
/// Header with the number of tokens that the caller already has.
///
/// An engine that starts its output there repeats the header in its response;
/// without it, the engine cannot resume.
pub const OFFSET: &str = "mimosapass-offset";
/// Header with the attempt whose memory on the same engine this one takes over.
pub const RESUMES: &str = "mimosapass-resumes";
/// Header with the instance that renews the engine's allocation.
pub const HOLDER: &str = "mimosapass-holder";
/// Header with the time until the allocation expires, in milliseconds.
pub const EXPIRY: &str = "mimosapass-expiry-ms";
/// Header with the engines of a group, as a comma-separated list of `IP:port=TOKENS`.
pub const GROUP: &str = "mimosapass-group";
/// Header with the remaining time of the request, in milliseconds.
pub const REMAINING: &str = "mimosapass-remaining-ms";
/// Header with the priority, 0 to 100.
pub const PRIORITY: &str = "mimosapass-priority";
/// Header of a target's response that states that it refused without running.
///
/// The value is `leaving` if the target accepts no new work.
pub const REFUSED: &str = "mimosapass-refused";
/// Header with the W3C trace context.
pub const TRACE: &str = "traceparent";

/// Maximum size of an engine's event, and of what comes between two events.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Time added to the remaining time for the time-out of a call.
///
/// The user of this client checks the deadline itself and must be the first to
/// act on it.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Time-out for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// One generate call.
#[derive(Clone, Debug)]
pub struct Generate {
    /// Address of the engine, `IP:port`.
    pub addr: String,
    /// Path of the call.
    pub path: &'static str,
    /// Identifier of the attempt.
    pub attempt: String,
    /// Tokens that the caller already has.
    pub offset: u64,
    /// Earlier attempt on this engine whose memory this one takes over.
    pub resumes: Option<String>,
    /// Instance that renews the engine's allocation for the attempt.
    pub holder: String,
    /// Time until the allocation expires.
    pub expiry: Duration,
    /// Engines of the group with their shares, in tokens; empty for one engine.
    pub group: Vec<(String, u64)>,
    /// Remaining time of the request.
    pub remaining: Duration,
    /// Priority, 0 to 100.
    pub priority: u8,
    /// W3C trace context, if there is one.
    pub trace: Option<String>,
    /// Request body as received from the caller.
    pub body: Bytes,
}

/// One event of a generate call, as engines send it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "lowercase")]
pub enum Event {
    /// One generated token.
    Token {
        /// Attempt that it belongs to.
        attempt: String,
        /// Index of the token in the complete output, from 0.
        #[serde(deserialize_with = "whole::number")]
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// End of a complete output.
    End {
        /// Attempt that it belongs to.
        attempt: String,
        /// Tokens in the complete output.
        #[serde(deserialize_with = "whole::number")]
        tokens: u64,
        /// Tokens of the prompt.
        #[serde(deserialize_with = "whole::number")]
        prompt: u64,
        /// Finish reason, such as `stop` or `length`.
        reason: String,
    },
}

/// Load report of an engine, as engines send it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Load {
    /// Boot number of the engine's process.
    #[serde(deserialize_with = "whole::number")]
    pub boot: u64,
    /// Number of the report.
    #[serde(deserialize_with = "whole::number")]
    pub number: u64,
    /// Prompt tokens that are accepted but not yet computed.
    #[serde(deserialize_with = "whole::number")]
    pub prefill: u64,
    /// The same by band of prompt length, shortest first; empty if not reported.
    #[serde(deserialize_with = "whole::list")]
    pub bands: Vec<u64>,
    /// Requests that are generating.
    #[serde(deserialize_with = "whole::number")]
    pub running: u32,
    /// Maximum number of requests that generate at the same time.
    #[serde(deserialize_with = "whole::number")]
    pub slots: u32,
    /// Free KV cache, in tokens.
    #[serde(deserialize_with = "whole::number")]
    pub free: u64,
    /// Size of the KV cache, in tokens.
    #[serde(deserialize_with = "whole::number")]
    pub capacity: u64,
    /// Prefill speed, in tokens per second.
    #[serde(deserialize_with = "whole::number")]
    pub speed: u64,
    /// Whether the engine accepts no new work.
    pub leaving: bool,
    /// Models that are loaded.
    pub models: Vec<String>,
}

/// Runs a generate call; `sink` gets each event and returns whether to continue.
///
/// `Ok` means only that the engine closed the stream or that `sink` ended the
/// call. The output is complete if an [`Event::End`] was among the events.
///
/// # Errors
///
/// The error tells how far the call may have got.
pub fn generate<F>(agent: &Agent, call: &Generate, mut sink: F) -> Result<(), CallError>
where
    F: FnMut(Event) -> bool,
{
    let url = format!("http://{}{}", call.addr, call.path);
    let mut request = agent
        .post(&url)
        .config()
        .timeout_global(Some(call.remaining + TIMEOUT_MARGIN))
        .build()
        .content_type("application/json")
        .header(ATTEMPT, &call.attempt)
        .header(OFFSET, call.offset.to_string())
        .header(PRIORITY, call.priority.to_string())
        .header(REMAINING, call.remaining.as_millis().to_string())
        .header(HOLDER, &call.holder)
        .header(EXPIRY, call.expiry.as_millis().to_string());
    if let Some(resumes) = &call.resumes {
        request = request.header(RESUMES, resumes);
    }
    if !call.group.is_empty() {
        request = request.header(GROUP, format_shares(&call.group));
    }
    if let Some(trace) = &call.trace {
        request = request.header(TRACE, trace);
    }
    let response = request.send(&*call.body).map_err(|e| call_error(&e))?;
    let response = check_status(response)?;
    if call.offset > 0 && !starts_at(&response, call.offset) {
        return Err(CallError::ResumeUnsupported);
    }
    read_events(BufReader::new(response.into_body().into_reader()), &mut sink)
}

fn format_shares(group: &[(String, u64)]) -> String {
    let shares: Vec<String> = group.iter().map(|(addr, share)| format!("{addr}={share}")).collect();
    shares.join(",")
}

/// Returns whether the engine states that its output starts at token `offset`.
fn starts_at(response: &ureq::http::Response<ureq::Body>, offset: u64) -> bool {
    let stated = response.headers().get(OFFSET).and_then(|v| v.to_str().ok());
    stated.and_then(figure::parse_whole) == Some(offset)
}

pub(crate) fn check_status(
    mut response: ureq::http::Response<ureq::Body>,
) -> Result<ureq::http::Response<ureq::Body>, CallError> {
    let status = response.status().as_u16();
    if status == 200 {
        return Ok(response);
    }
    let refused = response.headers().get(REFUSED).map(|v| v == "leaving");
    let text = error_text(&mut response);
    Err(match refused {
        Some(leaving) => CallError::Refused { leaving, text },
        None if status < 500 => CallError::Rejected { status, text },
        None => CallError::OutcomeUnknown(format!("status {status}: {text}")),
    })
}

fn read_events<R, F>(mut reader: R, sink: &mut F) -> Result<(), CallError>
where
    R: BufRead,
    F: FnMut(Event) -> bool,
{
    let mut line = String::new();
    let mut skipped = 0;
    loop {
        line.clear();
        let mut limited = std::io::Read::take(&mut reader, MAX_EVENT_BYTES as u64);
        let read =
            limited.read_line(&mut line).map_err(|e| CallError::OutcomeUnknown(e.to_string()))?;
        if read == 0 {
            return Ok(());
        }
        if !line.ends_with('\n') && read < MAX_EVENT_BYTES {
            let text = "the stream ended within an event".to_owned();
            return Err(CallError::OutcomeUnknown(text));
        }
        let Some(json) = line.strip_prefix("data: ") else {
            skipped += read;
            if skipped >= MAX_EVENT_BYTES {
                let text = format!("{skipped} bytes without an event");
                return Err(CallError::OutcomeUnknown(text));
            }
            continue;
        };
        skipped = 0;
        let event =
            serde_json::from_str(json).map_err(|e| CallError::OutcomeUnknown(e.to_string()))?;
        if !sink(event) {
            return Ok(());
        }
    }
}

/// Fetches the load report of an engine.
///
/// # Errors
///
/// Fails when the engine does not respond in time.
pub fn load(agent: &Agent, addr: &str) -> Result<Load, CallError> {
    let request = agent.get(format!("http://{addr}/load"));
    let request = request.config().timeout_global(Some(LOAD_TIMEOUT)).build();
    let response = request.call().map_err(|e| call_error(&e))?;
    let mut response = check_status(response)?;
    read_json(&mut response)
}
