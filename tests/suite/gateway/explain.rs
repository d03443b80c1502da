//! The ways of docs/OPERATIONS.md, from the id of a failed request to its cause.

use std::time::Duration;

use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Grid, events, runner};

/// Returns the value of a key in a line.
fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let start = line.find(&format!(" {key}=")).map(|at| at + key.len() + 2);
    let rest = start.map(|at| &line[at..]).unwrap_or_default();
    rest.split(' ').next().unwrap_or_default()
}

/// Refused in a burst: the target has no room, and says that it did not run it.
#[test]
fn refused_request_leads_to_the_target_that_refused() {
    let grid = Grid::start(1);
    let full = runner("i-full", Reply::NotExecuted(503));
    grid.register(&full, "desk");
    assert_eq!(grid.ready(0).ask(0, "/book/1", "id-refused").reply.status, 503);
    let end = grid.logged(0, &["part=flow", "id=id-refused", "request: refused"]);
    assert_eq!((value(&end, "target_id"), value(&end, "sends")), ("i-full", "1"));
    assert!(end.contains("status 503"), "{end}");
    let placed = grid.logged(0, &["id=id-refused", "request: placed."]);
    assert_eq!(value(&placed, "targets"), "i-full");
}

/// Cut when targets died: both attempts broke off in mid-stream.
#[test]
fn cut_stream_leads_to_the_targets_that_broke_off() {
    let grid = Grid::start(1);
    let cut = Reply::Stream { last: 5, pause: Duration::from_millis(5), cut_at: Some(3) };
    let runners: Vec<ScriptedTarget> =
        ["i-a", "i-b"].into_iter().map(|id| runner(id, cut.clone())).collect();
    for runner in &runners {
        grid.register(runner, "pool");
    }
    let more = "x-token-usage: 100,50\r\n";
    assert_eq!(grid.ready(0).ask_with(0, "/chat/1", "id-cut", more).body, events(1, 2));
    let end = grid.logged(0, &["id=id-cut", "request: cut, the connection was cut."]);
    assert_eq!(value(&end, "sends"), "2");
    grid.logged(0, &["target: avoided.", "target_id=i-a", "outcome=Silent"]);
    grid.logged(0, &["target: avoided.", "target_id=i-b", "outcome=Silent"]);
}

/// Failed by a grey target: its health is good and its answers are none.
#[test]
fn failed_request_leads_to_the_grey_target() {
    let grid = Grid::start(1);
    let grey = runner("i-grey", Reply::Unsigned("forged"));
    grid.register(&grey, "desk");
    assert_eq!(grid.ready(0).ask(0, "/book/1", "id-grey").reply.status, 502);
    let end = grid.logged(0, &["id=id-grey", "request: target_failed"]);
    assert!(end.contains("no signature"), "{end}");
    let id = value(&end, "target_id").to_owned();
    assert_eq!(id, "i-grey");
    grid.logged(0, &["target: avoided.", &format!("target_id={id}")]);
}

/// Nobody reads the output: lines are lost and no request is.
#[test]
fn unread_output_costs_no_request() {
    let mut grid = Grid::start(0);
    let target = runner("i-0", Reply::Complete(200, "yes"));
    grid.register(&target, "desk");
    grid.add_unread();
    grid.ready(0);
    for i in 0..1_500 {
        assert_eq!(grid.ask(0, "/look/1", &format!("id-{i}")).reply.status, 200);
    }
}
