//! Engines that do not help with the prompts of others.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosapass_standin::target::{Reply, ScriptedTarget, Step};

use super::{Cluster, events};

/// Engines, and how many of them help nobody.
const ENGINES: usize = 8;
const UNHELPFUL: usize = 2;
/// A prompt that is read in several parts.
const LONG: &str = "x-token-usage: 150000,50\r\n";
/// Time within which all instances know of a refusal.
const SPREAD: Duration = Duration::from_millis(500);

/// Identifier and address of the engines that help nobody.
type Unhelpful = Arc<Mutex<Vec<(String, String)>>>;

/// How a refusal names the engine at fault.
#[derive(Clone, Copy)]
enum Naming {
    Id,
    Address,
}

/// Starts an engine that refuses prompts which one of `unhelpful` is to help with.
fn start_engine(number: usize, unhelpful: &Unhelpful, naming: Naming) -> ScriptedTarget {
    let unhelpful = Arc::clone(unhelpful);
    ScriptedTarget::start(&format!("i-{number}"), move |head| {
        let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
        let helpers = head.header("x-helpers").unwrap_or_default();
        let known = unhelpful.lock().expect("not poisoned");
        let at_fault = known.iter().find(|(_, addr)| helpers.split(',').any(|h| h == addr));
        let Some((id, addr)) = at_fault else {
            let body = events(1, 2);
            let length = body.len();
            return Reply::Steps(vec![Step::Text(format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-seal: s\r\n\
                 content-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n{body}"
            ))]);
        };
        let named = match naming {
            Naming::Id => id,
            Naming::Address => addr,
        };
        Reply::Steps(vec![Step::Text(format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {attempt}\r\n\
             x-not-executed: 1\r\nat-server: {named}\r\ncontent-length: 0\r\n\r\n"
        ))])
    })
}

fn start(gateways: usize, naming: Naming) -> (Cluster, Vec<ScriptedTarget>) {
    let mut cluster = Cluster::start(0);
    let unhelpful = Unhelpful::default();
    let engines: Vec<_> = (0..ENGINES).map(|n| start_engine(n, &unhelpful, naming)).collect();
    for engine in &engines {
        cluster.register(engine, "pool");
    }
    // Long prompts start at the back of the order.
    let last = engines.iter().rev().take(UNHELPFUL);
    let names = last.map(|e| (e.id.clone(), e.addr.to_string())).collect();
    *unhelpful.lock().expect("not poisoned") = names;
    let endpoint = cluster.endpoint.clone();
    for _ in 0..gateways {
        cluster.add(&endpoint, &[]);
    }
    for number in 0..gateways {
        cluster.ready(number);
        cluster.knows_targets(number, ENGINES);
        cluster.hears_peers(number, gateways);
    }
    (cluster, engines)
}

/// Counts the times that requests named an unhelpful engine as a helper.
fn refusals(engines: &[ScriptedTarget]) -> usize {
    let unhelpful: Vec<String> =
        engines.iter().rev().take(UNHELPFUL).map(|e| e.addr.to_string()).collect();
    let requests = engines.iter().flat_map(ScriptedTarget::requests);
    let helped = requests.filter(|r| {
        let helpers = r.head.header("x-helpers").unwrap_or_default();
        unhelpful.iter().any(|addr| helpers.split(',').any(|h| h == addr))
    });
    helped.count()
}

/// Guards against 503 for long prompts at lernwerk while engines left unseen: each prompt was
/// read in parts, and two of them met engines that leave.
fn check_served(naming: Naming) {
    let (cluster, engines) = start(1, naming);
    for number in 0..6 {
        let answer = cluster.ask_with(0, "/chat/1", &format!("long-{number}"), LONG);
        assert_eq!(answer.response.status, 200, "request {number}: {}", cluster.log(0));
    }
    assert!(refusals(&engines) <= UNHELPFUL, "{} refusals", refusals(&engines));
    cluster.logged(0, &["gets no parts of prompts", "refused to help"]);
}

#[test]
fn long_prompts_are_served_while_some_engines_help_nobody() {
    check_served(Naming::Id);
}

#[test]
fn long_prompts_are_served_while_engines_named_by_address_help_nobody() {
    check_served(Naming::Address);
}

/// Guards against an engine whose refusal each instance has to learn of by itself.
#[test]
fn refusal_to_help_is_known_to_all_instances() {
    let (cluster, engines) = start(3, Naming::Id);
    for number in 0..UNHELPFUL {
        cluster.ask_with(0, "/chat/1", &format!("first-{number}"), LONG);
    }
    let before = refusals(&engines);
    assert!(before > 0, "no engine was asked for help");
    std::thread::sleep(SPREAD);
    for number in 1..3 {
        let answer = cluster.ask_with(number, "/chat/1", &format!("next-{number}"), LONG);
        assert_eq!(answer.response.status, 200, "{}", cluster.log(number));
    }
    assert_eq!(refusals(&engines), before, "another instance asked for help again");
}

#[test]
fn last_attempt_needs_no_help_if_it_can_be_on_time() {
    let (cluster, engines) = start(1, Naming::Id);
    // Alone it takes most of its goal, so that it is split first.
    let summary = "x-token-usage: 58000,50\r\n";
    let answer = cluster.ask_with(0, "/chat/1", "summary", summary);
    assert_eq!(answer.response.status, 200, "{}", cluster.log(0));
    let requests: Vec<_> = engines.iter().flat_map(ScriptedTarget::requests).collect();
    let alone = requests.iter().filter(|r| r.head.header("x-helpers").is_none()).count();
    assert_eq!((refusals(&engines), requests.len(), alone), (1, 2, 1));
}
