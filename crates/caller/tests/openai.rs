//! Parsing of model requests and format of their responses.

use mimosapass_caller::openai::{Call, ResponseFormat, Usage, error_event, parse};
use mimosapass_core::error::{Failure, Kind};
use rstest::rstest;
use serde_json::Value;

#[rstest]
#[case::chat(Call::Chat, r#"{"model":"m","messages":[]}"#, "m", None, false, None)]
#[case::text(Call::Text, r#"{"model":"m","prompt":"p"}"#, "m", None, false, None)]
#[case::token_list(Call::Text, r#"{"model":"m","prompt":[1,2]}"#, "m", None, false, None)]
#[case::streamed(Call::Chat, r#"{"model":"m","messages":[],"stream":true}"#, "m", None, true, None)]
#[case::bounded(
    Call::Chat,
    r#"{"model":"m","messages":[],"max_tokens":7}"#,
    "m",
    None,
    false,
    Some(7)
)]
#[case::newer_bound(
    Call::Chat,
    r#"{"model":"m","messages":[],"max_tokens":7,"max_completion_tokens":8}"#,
    "m",
    None,
    false,
    Some(8)
)]
#[case::adapter(Call::Chat, r#"{"model":"m:a","messages":[]}"#, "m", Some("a"), false, None)]
#[case::other_fields(
    Call::Chat,
    r#"{"model":"m","messages":[],"temperature":0.1,"user":{"x":[1]}}"#,
    "m",
    None,
    false,
    None
)]
#[case::escapes(
    Call::Chat,
    r#"{"model":"m\u0041","messages":["\ud83d\ude00"]}"#,
    "mA",
    None,
    false,
    None
)]
fn a_request_is_parsed(
    #[case] call: Call,
    #[case] body: &str,
    #[case] model: &str,
    #[case] adapter: Option<&str>,
    #[case] stream: bool,
    #[case] max_tokens: Option<u32>,
) {
    let request = parse(call, body.as_bytes()).expect("a request");
    assert_eq!((request.model.as_str(), request.adapter.as_deref()), (model, adapter));
    assert_eq!((request.stream, request.max_tokens), (stream, max_tokens));
}

#[rstest]
#[case::no_json(Call::Chat, "hello")]
#[case::nothing(Call::Chat, "")]
#[case::no_model(Call::Chat, r#"{"messages":[]}"#)]
#[case::no_messages(Call::Chat, r#"{"model":"m"}"#)]
#[case::prompt_for_chat(Call::Chat, r#"{"model":"m","prompt":"p"}"#)]
#[case::messages_for_text(Call::Text, r#"{"model":"m","messages":[]}"#)]
#[case::cut(Call::Chat, r#"{"model":"m","messages":["#)]
#[case::more(Call::Chat, r#"{"model":"m","messages":[]} {}"#)]
#[case::model_number(Call::Chat, r#"{"model":7,"messages":[]}"#)]
#[case::negative_bound(Call::Chat, r#"{"model":"m","messages":[],"max_tokens":-1}"#)]
#[case::no_text(Call::Chat, "{\"model\":\"\u{fffd}")]
fn an_invalid_request_is_rejected(#[case] call: Call, #[case] body: &str) {
    let failure = parse(call, body.as_bytes()).expect_err("a failure");
    assert_eq!(failure.kind, Kind::BadRequest);
    assert!(!failure.detail.is_empty());
}

fn format(call: Call) -> ResponseFormat {
    ResponseFormat { call, id: "r-1".to_owned(), model: "m".to_owned(), created: 1_700_000_000 }
}

fn usage() -> Usage {
    Usage { prompt_tokens: 2, completion_tokens: 3, total_tokens: 5 }
}

fn event(bytes: &[u8]) -> Value {
    let text = std::str::from_utf8(bytes).expect("text");
    let json = text.strip_prefix("data: ").and_then(|t| t.strip_suffix("\n\n"));
    serde_json::from_str(json.expect("one event")).expect("JSON")
}

#[rstest]
#[case::chat(Call::Chat, "chat.completion.chunk", "/delta/content")]
#[case::text(Call::Text, "text_completion", "/text")]
fn a_chunk_is_one_event(#[case] call: Call, #[case] object: &str, #[case] pointer: &str) {
    let chunk = event(&format(call).event("a \"b\"\n"));
    assert_eq!((chunk["id"].as_str(), chunk["model"].as_str()), (Some("r-1"), Some("m")));
    assert_eq!(chunk["object"], object);
    assert_eq!(chunk["choices"][0].pointer(pointer), Some(&Value::from("a \"b\"\n")));
    assert_eq!(chunk["choices"][0]["index"], 0);
}

#[rstest]
#[case::chat(Call::Chat)]
#[case::text(Call::Text)]
fn a_stream_ends_with_reason_usage_and_done(#[case] call: Call) {
    let end = format(call).final_events("length", usage());
    let text = String::from_utf8(end).expect("text");
    let last = text.strip_suffix("data: [DONE]\n\n").expect("[DONE]");
    let last = event(last.as_bytes());
    assert_eq!(last["choices"][0]["finish_reason"], "length");
    assert_eq!(last["usage"]["total_tokens"], 5);
}

#[rstest]
#[case::chat(Call::Chat, "chat.completion", "/message/content")]
#[case::text(Call::Text, "text_completion", "/text")]
fn a_complete_response_has_text_reason_and_usage(
    #[case] call: Call,
    #[case] object: &str,
    #[case] pointer: &str,
) {
    let response: Value =
        serde_json::from_slice(&format(call).body("hello", "stop", usage())).expect("JSON");
    assert_eq!(response["object"], object);
    assert_eq!(response["choices"][0].pointer(pointer), Some(&Value::from("hello")));
    assert_eq!(response["choices"][0]["finish_reason"], "stop");
    assert_eq!(response["usage"]["prompt_tokens"], 2);
}

#[test]
fn a_failure_within_a_stream_is_an_event_with_its_code() {
    let failure = Failure::new(Kind::CutAnswer, "the engine stopped responding");
    let error = event(&error_event(&failure));
    assert_eq!(error["error"]["code"], "cut_answer");
    assert_eq!(error["error"]["message"], "the engine stopped responding");
    assert_eq!(error["error"]["not_run"], false);
}
