//! Responses whose head or framing is broken say nothing of what a call did.

use std::time::Duration;

use mimosapass_keyvalue::kv::{KvClient, KvError};
use mimosapass_keyvalue::members::MembersClient;
use mimosapass_standin::broken::{broken_chunks, broken_heads, sound_responses};
use mimosapass_standin::cut::{CutServer, End};
use rstest::rstest;

/// A call, and the body of a response that it takes.
type Call = (fn(&str) -> Result<(), KvError>, &'static str);

const GET: Call =
    (|addr| KvClient::new(addr).get("a").map(drop), r#"{"revision":1,"value":"whole"}"#);
const PUT: Call =
    (|addr| KvClient::new(addr).put("a", "1", 1, None).map(drop), r#"{"revision":1}"#);
const DELETE: Call = (|addr| KvClient::new(addr).delete("a", 1), "{}");
const GRANT: Call =
    (|addr| KvClient::new(addr).grant(Duration::from_secs(1)).map(drop), r#"{"id":1}"#);
const RENEW: Call = (|addr| KvClient::new(addr).renew(1), "{}");
const MEMBERS: Call = (|addr| MembersClient::new(addr).read().map(drop), "[]");

fn serve(response: &str) -> String {
    let server = CutServer::start(response, End::Close, None);
    server.set_length(response.len());
    server.addr.to_string()
}

fn assert_unknown(
    call: fn(&str) -> Result<(), KvError>,
    wanted: fn(&KvError) -> bool,
    responses: &[String],
) {
    let taken = responses.iter().filter_map(|response| match call(&serve(response)) {
        Err(error) if wanted(&error) => None,
        other => Some(format!("{other:?} from {response:?}")),
    });
    let taken: Vec<String> = taken.collect();
    assert!(taken.is_empty(), "{} of {}: {taken:#?}", taken.len(), responses.len());
}

fn is_unknown(error: &KvError) -> bool {
    matches!(error, KvError::OutcomeUnknown(_))
}

/// Guards against a write that is taken for done or refused, and a key that is taken for absent.
#[rstest]
fn broken_head_says_nothing(
    #[values(GET, PUT, DELETE, GRANT, RENEW)] (call, body): Call,
    #[values("200 OK", "404 Not Found", "503 Busy", "409 Conflict", "410 Gone")] status: &str,
) {
    assert_unknown(call, is_unknown, &broken_heads(status, body));
}

/// Guards against a part of an answer that is taken for the whole one.
#[rstest]
fn body_in_broken_chunks_says_nothing(#[values(GET, PUT, GRANT)] (call, body): Call) {
    assert_unknown(call, is_unknown, &broken_chunks("200 OK", body));
}

/// Guards against members that are missing from a list.
#[test]
fn broken_list_names_nobody() {
    let (call, body) = MEMBERS;
    let unavailable = |error: &KvError| matches!(error, KvError::Unavailable(_));
    assert_unknown(call, unavailable, &broken_heads("200 OK", body));
    assert_unknown(call, unavailable, &broken_chunks("200 OK", body));
}

/// The same body in a response without a fault is taken.
#[rstest]
fn sound_response_is_taken(#[values(GET, PUT, DELETE, GRANT, RENEW, MEMBERS)] (call, body): Call) {
    for response in sound_responses(body) {
        assert_eq!(call(&serve(&response)), Ok(()), "{response:?}");
    }
}
