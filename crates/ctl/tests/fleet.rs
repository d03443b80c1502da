//! Tests of `status` and `explain` with the status pages of instances.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::Command;
use std::sync::Arc;

use mimosapass_operator::pages::{Sources, start};
use prometheus::Registry;
use serde_json::{Value, json};

/// Serves the status pages of an instance that reports one target.
fn instance(name: &'static str, config: u64, open: bool) -> SocketAddr {
    let status = json!({
        "instance": name, "zone": "charguia", "ready": true, "stopping": false, "config": config,
        "peers": [{"name": "other"}],
        "targets": [{"name": "engine-0", "zone": "charguia", "open": open, "prefill": 7, "running": 2, "free": 90}],
    });
    let record = json!({
        "request": "order-17", "instance": name, "zone": "charguia", "workspace": "atlas",
        "class": "chats", "tokens": 99, "steps": ["engine-0: least wait"], "target": "engine-0",
        "outcome": "ok", "first_ms": 12, "total_ms": 34,
    });
    let request = format!("order-of-{name}");
    let sources = Sources {
        ready: Arc::new(|| Ok(())),
        status: Arc::new(move || status.to_string()),
        explain: Arc::new(move |id| (id == request).then(|| record.to_string())),
        registry: Registry::new(),
    };
    start(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0), sources).expect("pages start")
}

fn run(args: &[&str], addrs: &str) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mimosactl"));
    let output =
        command.args(args).env("MIMOSAPASS_INSTANCE", addrs).output().expect("mimosactl runs");
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn status_merges_all_instances_into_one_table() {
    let addrs = format!("{},{}", instance("one", 4, true), instance("two", 5, false));
    let (code, table) = run(&["status"], &addrs);
    assert_eq!(code, Some(0), "{table}");
    let cells: Vec<Vec<&str>> = table.lines().map(|l| l.split_whitespace().collect()).collect();
    assert_eq!(cells[1][1..], ["one", "charguia", "ready", "4", "1", "1", "of", "1"], "{table}");
    assert_eq!(cells[2][1..], ["two", "charguia", "ready", "5", "1", "0", "of", "1"], "{table}");
    assert_eq!(cells[5], ["engine-0", "charguia", "1", "of", "2", "7", "2", "90"], "{table}");
}

#[test]
fn status_lists_an_unreachable_instance_with_its_error() {
    let addrs = format!("{},127.0.0.1:1", instance("one", 4, true));
    let (code, text) = run(&["status", "--json"], &addrs);
    assert_eq!(code, Some(4), "{text}");
    let all: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(all[0]["status"]["instance"], "one");
    assert!(all[1]["error"].is_string(), "{text}");
}

#[test]
fn explain_uses_the_instance_that_has_the_record() {
    let addrs = format!("{},{}", instance("one", 4, true), instance("two", 5, false));
    let (code, text) = run(&["explain", "order-of-two"], &addrs);
    assert_eq!(code, Some(0));
    assert!(text.contains("taken by two") && text.contains("1. engine-0: least wait"), "{text}");
    assert_eq!(run(&["explain", "order-of-nobody"], &addrs).0, Some(6));
}
