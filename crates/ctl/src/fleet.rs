//! Commands that ask instances: the state of the fleet and reasons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use ureq::Agent;

use crate::fail::Fail;
use crate::show;
use crate::table::table;

/// Time for one answer of an instance.
const ANSWER: Duration = Duration::from_secs(5);

/// Answer of one instance, or why there was none.
type Answer = Result<Option<Value>, String>;

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(ANSWER))
        .proxy(None)
        .build()
        .new_agent()
}

/// Reads a page; an instance that has none gives `None`.
fn page(addr: SocketAddr, page: &str) -> Answer {
    let mut response =
        agent().get(format!("http://{addr}/{page}")).call().map_err(|e| e.to_string())?;
    match response.status().as_u16() {
        200 => response.body_mut().read_json().map(Some).map_err(|e| e.to_string()),
        404 => Ok(None),
        status => Err(format!("status {status}")),
    }
}

/// Reads a page of all instances at once, in their order.
fn pages(addrs: &[SocketAddr], name: &str) -> Vec<Answer> {
    thread::scope(|scope| {
        let asked: Vec<_> = addrs.iter().map(|a| scope.spawn(|| page(*a, name))).collect();
        let died = |_| Err("the question died".to_owned());
        asked.into_iter().map(|a| a.join().unwrap_or_else(died)).collect()
    })
}

/// Shows the fleet as the instances see it.
pub fn status(addrs: &[SocketAddr], as_json: bool) -> Result<(), Fail> {
    let answers = pages(addrs, "status");
    if as_json {
        let entry = |(addr, answer): (&SocketAddr, &Answer)| match answer {
            Ok(status) => json!({"address": addr.to_string(), "status": status}),
            Err(why) => json!({"address": addr.to_string(), "error": why}),
        };
        let all: Vec<Value> = addrs.iter().zip(&answers).map(entry).collect();
        show(&format!("{}\n", serde_json::to_string_pretty(&all).unwrap_or_default()));
    } else {
        let rows = addrs.iter().zip(&answers).map(|(addr, answer)| instance(*addr, answer));
        let head = ["ADDRESS", "INSTANCE", "ZONE", "STATE", "CONFIG", "PEERS", "TARGETS OPEN"];
        let rows: Vec<[String; 7]> = std::iter::once(head.map(str::to_owned)).chain(rows).collect();
        show(&format!("{}\n{}", table(&rows), targets(&answers)));
    }
    let silent = answers.iter().filter(|a| a.is_err()).count();
    if silent > 0 {
        return Err(Fail::Unreachable(format!("{silent} of {} did not answer", addrs.len())));
    }
    Ok(())
}

fn instance(addr: SocketAddr, answer: &Answer) -> [String; 7] {
    let addr = addr.to_string();
    let blank = String::new;
    let status = match answer {
        Ok(Some(status)) => status,
        Ok(None) => {
            return [addr, blank(), blank(), "no page".to_owned(), blank(), blank(), blank()];
        }
        Err(why) => return [addr, blank(), blank(), why.clone(), blank(), blank(), blank()],
    };
    let state = match (status["stopping"] == true, status["ready"] == true) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let targets = status["targets"].as_array().map(Vec::as_slice).unwrap_or_default();
    let open = targets.iter().filter(|t| t["open"] == true).count();
    let peers = status["peers"].as_array().map_or(0, Vec::len);
    [
        addr,
        text(&status["instance"]),
        text(&status["zone"]),
        state.to_owned(),
        text(&status["config"]),
        peers.to_string(),
        format!("{open} of {}", targets.len()),
    ]
}

/// Lays out each target with the number of instances that send to it.
fn targets(answers: &[Answer]) -> String {
    let mut all: BTreeMap<String, (Value, usize, usize)> = BTreeMap::new();
    let statuses = answers.iter().filter_map(|a| a.as_ref().ok()?.as_ref());
    for target in statuses.filter_map(|s| s["targets"].as_array()).flatten() {
        let entry = all.entry(text(&target["name"])).or_insert((target.clone(), 0, 0));
        entry.1 += usize::from(target["open"] == true);
        entry.2 += 1;
    }
    let head = ["TARGET", "ZONE", "OPEN FOR", "PREFILL", "RUNNING", "FREE"].map(str::to_owned);
    let row = |(name, (target, open, seen)): (String, (Value, usize, usize))| {
        let zone = text(&target["zone"]);
        let numbers = ["prefill", "running", "free"].map(|field| text(&target[field]));
        let [prefill, running, free] = numbers;
        [name, zone, format!("{open} of {seen}"), prefill, running, free]
    };
    let rows: Vec<[String; 6]> = std::iter::once(head).chain(all.into_iter().map(row)).collect();
    table(&rows)
}

/// Tells why a request went where it went, by the instance that knows.
pub fn explain(addrs: &[SocketAddr], request: &str) -> Result<(), Fail> {
    let answers = pages(addrs, &format!("explain/{request}"));
    let known: Vec<&Value> = answers.iter().filter_map(|a| a.as_ref().ok()?.as_ref()).collect();
    for story in &known {
        show(&told(story));
    }
    if !known.is_empty() {
        return Ok(());
    }
    let silent = answers.iter().filter(|a| a.is_err()).count();
    if silent > 0 {
        let text = format!("{silent} of {} did not answer, the others know nothing", addrs.len());
        return Err(Fail::Unreachable(text));
    }
    Err(Fail::Absent(format!("no instance that was asked knows of `{request}`")))
}

fn told(story: &Value) -> String {
    let field = |name: &str| text(&story[name]);
    let mut lines = vec![
        format!("request {}: {}", field("request"), field("outcome")),
        format!("  taken by {} in {}", field("instance"), field("zone")),
        format!("  workspace {}, class {}", field("workspace"), field("class")),
        format!("  prompt of about {} tokens", field("tokens")),
    ];
    let steps = story["steps"].as_array().map(Vec::as_slice).unwrap_or_default();
    lines.extend(steps.iter().enumerate().map(|(i, s)| format!("  {}. {}", i + 1, text(s))));
    let first = &story["first_ms"];
    let first = if first.is_null() { "none".to_owned() } else { format!("{} ms", text(first)) };
    lines.push(format!("  first token: {first}, whole: {} ms", field("total_ms")));
    lines.join("\n") + "\n"
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
