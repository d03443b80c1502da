//! Heads of the key-value service's responses that end in the middle, at each byte: none counts.

use std::time::Duration;

use mimosapass_keyvalue::kv::{KvClient, KvError};
use mimosapass_keyvalue::members::MembersClient;
use mimosapass_standin::cut::{CutServer, End};
use rstest::rstest;

#[rstest]
fn head_that_ends_in_the_middle_is_no_response(
    #[values("200 OK", "404 Not Found", "409 Conflict", "302 Found")] status: &str,
    #[values("Content-Length: 1234", "Transfer-Encoding: chunked", "Connection: close")]
    framing: &str,
    #[values("\r\n", "\n")] line_end: &str,
    #[values(End::Close, End::Reset)] end: End,
) {
    let lines = [&format!("HTTP/1.1 {status}"), "Location: /other", framing, "", ""];
    let head = lines.join(line_end);
    let server = CutServer::start(&head, end, None);
    let kv = KvClient::new(&server.addr.to_string());
    let list = MembersClient::new(&server.addr.to_string());
    let mut taken = Vec::new();
    for length in 0..head.len() {
        server.set_length(length);
        let calls = [
            ("get", kv.get("a").map(drop)),
            ("put", kv.put("a", "1", 1, None).map(drop)),
            ("delete", kv.delete("a", 1)),
            ("grant", kv.grant(Duration::from_secs(1)).map(drop)),
            ("renew", kv.renew(1)),
            ("list", list.read().map(drop)),
        ];
        for (name, result) in calls {
            match result {
                // Nothing is said of what the call did.
                Err(KvError::Unavailable(_) | KvError::OutcomeUnknown(_)) => {}
                other => taken.push(format!("{name}, {:?}: {other:?}", &head[..length])),
            }
        }
    }
    assert!(taken.is_empty(), "{taken:#?}");
}

/// Guards against a status that HTTP does not have being taken for an answer.
#[rstest]
fn response_whose_status_is_none_says_nothing(
    #[values("000", "099", "600", "999", "20", "abc")] status: &str,
    #[values("", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"id\": 1}")] second: &str,
) {
    let response = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n{second}");
    let server = CutServer::start(&response, End::Close, None);
    server.set_length(response.len());
    let kv = KvClient::new(&server.addr.to_string());
    let results = [
        ("get", kv.get("a").map(drop)),
        ("put", kv.put("a", "1", 1, None).map(drop)),
        ("delete", kv.delete("a", 1)),
        ("grant", kv.grant(Duration::from_secs(1)).map(drop)),
        ("renew", kv.renew(1)),
    ];
    for (name, result) in results {
        let unknown = matches!(result, Err(KvError::Unavailable(_) | KvError::OutcomeUnknown(_)));
        assert!(unknown, "{name}: {result:?}");
    }
}
