//! Requests from the caller through an instance to a target and back.

use std::io::{BufRead, BufReader};

use crate::common::{CONFIG, Fleet, agent, chat_body, post, wait_until};
use mimosapass_standin::engine::Faults;

#[test]
fn a_chat_is_answered_completely() {
    let fleet = Fleet::single("");
    let url = fleet.instances[0].url("/v1/chat/completions");
    let seen = post(&url, &[], &chat_body(100, 3, false)).expect("an answer");
    assert_eq!(seen.status, 200, "{seen:?}");
    let body: serde_json::Value = serde_json::from_str(&seen.body.expect("whole")).expect("JSON");
    assert_eq!(body["choices"][0]["message"]["content"], "t0 t1 t2 ");
    assert_eq!(body["usage"]["completion_tokens"], 3);
}

#[test]
fn the_first_token_is_streamed_before_the_last_is_generated() {
    let fleet = Fleet::single("");
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_from: Some(1), ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let request = agent().post(&url).header("mimosapass-workspace", "atlas");
    let response = request.send(chat_body(100, 4, true)).expect("an answer");
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    let first = lines.next().expect("a line").expect("readable");
    assert!(first.contains("t0 "), "{first}");
    // The engine generates the other tokens only from now on.
    engine.set(Faults::default());
    let rest: Vec<String> = lines.map(|l| l.expect("readable")).collect();
    assert!(rest.iter().any(|l| l.contains("t3 ")), "{rest:?}");
    assert!(rest.iter().any(|l| l == "data: [DONE]"), "{rest:?}");
}

#[test]
fn a_service_call_is_forwarded_unchanged() {
    let fleet = Fleet::single("");
    let url = fleet.instances[0].url("/services/bookings/vans/7?day=2");
    let seen = post(&url, &[], "one van").expect("an answer");
    assert_eq!(seen.status, 200, "{seen:?}");
    let body: serde_json::Value = serde_json::from_str(&seen.body.expect("whole")).expect("JSON");
    assert_eq!(body["path"], "/vans/7?day=2");
    assert_eq!(body["method"], "POST");
    assert_eq!(fleet.service.runs(), [1]);
}

#[test]
fn a_disconnected_caller_frees_the_engine() {
    let fleet = Fleet::single("");
    let engine = &fleet.engines[0].1;
    engine.set(Faults { hold_from: Some(1), ..Faults::default() });
    let url = fleet.instances[0].url("/v1/chat/completions");
    let request = agent().post(&url).header("mimosapass-workspace", "atlas");
    let response = request.send(chat_body(100, 4, true)).expect("an answer");
    assert_eq!(engine.held().len(), 1);
    drop(response);
    wait_until("the engine holds no memory", || engine.held().is_empty());
}

#[test]
fn a_new_configuration_reaches_all_instances() {
    let mut fleet = Fleet::single("");
    fleet.start("zone-b", "");
    fleet.wait_ready();
    let version = fleet.apply(&format!("{CONFIG}  - name: dokaz\n"));
    for instance in &fleet.instances {
        wait_until("the version is in force", || {
            crate::common::status(instance)["config"] == version
        });
    }
}

#[test]
fn the_first_token_metric_is_split_by_prompt_length() {
    let fleet = Fleet::single("");
    let url = fleet.instances[0].url("/v1/chat/completions");
    for tokens in [500, 500, 5_000, 50_000] {
        assert_eq!(post(&url, &[], &chat_body(tokens, 1, false)).expect("an answer").status, 200);
    }
    let counted = |text: &str, line: &str| text.lines().any(|l| l == line);
    wait_until("all requests are counted", || {
        let page = agent().get(fleet.instances[0].operator_url("/metrics")).call().ok();
        let text = page.and_then(|mut r| r.body_mut().read_to_string().ok()).unwrap_or_default();
        counted(&text, "mimosapass_first_token_seconds_count{prompt=\"1k\"} 2")
            && counted(&text, "mimosapass_first_token_seconds_count{prompt=\"8k\"} 1")
            && counted(&text, "mimosapass_first_token_seconds_count{prompt=\"100k\"} 1")
            && counted(&text, "mimosapass_requests_total{class=\"chats\",outcome=\"ok\"} 4")
    });
}
