//! The procedures of docs/OPERATIONS.md that lead from a failed request to its cause.

use std::time::Duration;

use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Cluster, HOST, events, start_target};

/// Returns the value of a key in a log line.
fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let start = line.find(&format!(" {key}=")).map(|at| at + key.len() + 2);
    let rest = start.map(|at| &line[at..]).unwrap_or_default();
    rest.split(' ').next().unwrap_or_default()
}

/// The target is full and states that it did not run the request.
#[test]
fn refused_request_leads_to_the_target_that_refused() {
    let cluster = Cluster::start(1);
    let full = start_target("i-full", Reply::NotExecuted(503));
    cluster.register(&full, "desk");
    assert_eq!(cluster.ready(0).ask(0, "/book/1", "id-refused").response.status, 503);
    let end = cluster.logged(0, &["part=flow", "id=id-refused", "request: refused"]);
    assert_eq!((value(&end, "target_id"), value(&end, "sends")), ("i-full", "1"));
    assert!(end.contains("status 503"), "{end}");
    let placed = cluster.logged(0, &["id=id-refused", "request: granted a target."]);
    assert_eq!(value(&placed, "targets"), "i-full");
}

/// Both targets fail during the stream.
#[test]
fn cut_stream_leads_to_the_targets_that_failed() {
    let cluster = Cluster::start(1);
    let cut = Reply::Stream { last: 5, pause: Duration::from_millis(5), cut_at: Some(3) };
    let targets: Vec<ScriptedTarget> =
        ["i-a", "i-b"].into_iter().map(|id| start_target(id, cut.clone())).collect();
    for target in &targets {
        cluster.register(target, "pool");
    }
    let headers = "x-token-usage: 100,50\r\n";
    assert_eq!(cluster.ready(0).ask_with(0, "/chat/1", "id-cut", headers).body, events(1, 2));
    let end = cluster
        .logged(0, &["id=id-cut", "request: cut, the connection ended within the response."]);
    assert_eq!(value(&end, "sends"), "2");
    cluster.logged(0, &["target: avoided.", "target_id=i-a", "outcome=Silent"]);
    cluster.logged(0, &["target: avoided.", "target_id=i-b", "outcome=Silent"]);
}

/// The target passes its health checks, and its responses are invalid.
#[test]
fn failed_request_leads_to_the_faulty_target() {
    let cluster = Cluster::start(1);
    let faulty = start_target("i-grey", Reply::Unsigned("forged"));
    cluster.register(&faulty, "desk");
    assert_eq!(cluster.ready(0).ask(0, "/book/1", "id-grey").response.status, 502);
    let end = cluster.logged(0, &["id=id-grey", "request: target_failed"]);
    assert!(end.contains("no signature"), "{end}");
    let id = value(&end, "target_id").to_owned();
    assert_eq!(id, "i-grey");
    cluster.logged(0, &["target: avoided.", &format!("target_id={id}")]);
}

/// Each response of 400 to 499 has a line, whoever decided it.
#[test]
fn client_errors_lead_to_their_origin() {
    let cluster = Cluster::start(1);
    let strict = start_target("i-strict", Reply::Complete(422, "too early"));
    cluster.register(&strict, "desk");
    cluster.ready(0);
    assert_eq!(cluster.ask(0, "/gone/1", "id-route").response.status, 404);
    let refused = cluster.logged(0, &["id=id-route", "request: refused, not_found"]);
    assert_eq!(
        (value(&refused, "host"), value(&refused, "path"), value(&refused, "method")),
        (HOST, "/gone/1", "POST")
    );
    assert_eq!(cluster.ask(0, "/book/1", "id-strict").response.status, 422);
    let rejected = cluster.logged(0, &["id=id-strict", "request: rejected, status 422"]);
    assert_eq!(value(&rejected, "target_id"), "i-strict");
    let lengths = "content-length: 9\r\n";
    assert_eq!(cluster.ask_with(0, "/book/2", "id-lengths", lengths).response.status, 400);
    let unread = cluster.logged(0, &["caller: rejected a request", "ambiguous"]);
    assert_eq!((value(&unread, "status"), value(&unread, "path")), ("400", "/book/2"));
}

/// When standard output is not read, log lines are dropped and no request fails.
#[test]
fn unread_output_costs_no_request() {
    let mut cluster = Cluster::start(0);
    let target = start_target("i-0", Reply::Complete(200, "yes"));
    cluster.register(&target, "desk");
    cluster.add_unread();
    cluster.ready(0);
    for i in 0..1_500 {
        assert_eq!(cluster.ask(0, "/look/1", &format!("id-{i}")).response.status, 200);
    }
}
