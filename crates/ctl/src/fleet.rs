//! Commands that query instances: state of the fleet and routing of a request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use mimosapass_http::strict::StrictConnector;
use serde_json::{Value, json};
use ureq::Agent;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Connector as _, TcpConnector};

use crate::error::CommandError;
use crate::show;
use crate::table::table;

/// Timeout of a request to an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Response of one instance, or the reason why there is none.
type Response = Result<Option<Value>, String>;

/// Maximum size of a status page.
const MAX_PAGE_BYTES: u64 = 10 * 1024 * 1024;

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .proxy(None)
        .build();
    let connector = TcpConnector::default().chain(StrictConnector);
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Fetches a status page; `None` if the instance does not have it.
fn fetch(addr: SocketAddr, page: &str) -> Response {
    let mut response =
        agent().get(format!("http://{addr}/{page}")).call().map_err(|e| e.to_string())?;
    match response.status().as_u16() {
        200 => {
            let body = response.body_mut().with_config().limit(MAX_PAGE_BYTES);
            body.read_json().map(Some).map_err(|e| e.to_string())
        }
        404 => Ok(None),
        status => Err(format!("status {status}")),
    }
}

/// Fetches a page from all instances concurrently; keeps their order.
fn fetch_all(addrs: &[SocketAddr], page: &str) -> Vec<Response> {
    thread::scope(|scope| {
        let threads: Vec<_> = addrs.iter().map(|a| scope.spawn(|| fetch(*a, page))).collect();
        let panicked = |_| Err("the request thread panicked".to_owned());
        threads.into_iter().map(|a| a.join().unwrap_or_else(panicked)).collect()
    })
}

/// Shows the state of the fleet as reported by the instances.
pub fn status(addrs: &[SocketAddr], as_json: bool) -> Result<(), CommandError> {
    let responses = fetch_all(addrs, "status");
    if as_json {
        let entry = |(addr, response): (&SocketAddr, &Response)| match response {
            Ok(status) => json!({"address": addr.to_string(), "status": status}),
            Err(reason) => json!({"address": addr.to_string(), "error": reason}),
        };
        let all: Vec<Value> = addrs.iter().zip(&responses).map(entry).collect();
        show(&format!("{}\n", serde_json::to_string_pretty(&all).unwrap_or_default()));
    } else {
        let rows =
            addrs.iter().zip(&responses).map(|(addr, response)| instance_row(*addr, response));
        let head = ["ADDRESS", "INSTANCE", "ZONE", "STATE", "CONFIG", "PEERS", "TARGETS OPEN"];
        let rows: Vec<[String; 7]> = std::iter::once(head.map(str::to_owned)).chain(rows).collect();
        show(&format!("{}\n{}", table(&rows), target_table(&responses)));
    }
    let failed = responses.iter().filter(|a| a.is_err()).count();
    if failed > 0 {
        return Err(CommandError::Unreachable(format!(
            "{failed} of {} did not answer",
            addrs.len()
        )));
    }
    Ok(())
}

fn instance_row(addr: SocketAddr, response: &Response) -> [String; 7] {
    let addr = addr.to_string();
    let blank = String::new;
    let status = match response {
        Ok(Some(status)) => status,
        Ok(None) => {
            return [addr, blank(), blank(), "no page".to_owned(), blank(), blank(), blank()];
        }
        Err(reason) => return [addr, blank(), blank(), reason.clone(), blank(), blank(), blank()],
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

/// Formats a table of targets with the number of instances that have each open.
fn target_table(responses: &[Response]) -> String {
    let mut all: BTreeMap<String, (Value, usize, usize)> = BTreeMap::new();
    let statuses = responses.iter().filter_map(|a| a.as_ref().ok()?.as_ref());
    for target in statuses.filter_map(|s| s["targets"].as_array()).flatten() {
        let entry = all.entry(text(&target["name"])).or_insert((target.clone(), 0, 0));
        entry.1 += usize::from(target["open"] == true);
        entry.2 += 1;
    }
    let head = ["TARGET", "ZONE", "OPEN FOR", "PREFILL", "RUNNING", "FREE"].map(str::to_owned);
    let row = |(name, (target, open, reporting)): (String, (Value, usize, usize))| {
        let zone = text(&target["zone"]);
        let numbers = ["prefill", "running", "free"].map(|field| text(&target[field]));
        let [prefill, running, free] = numbers;
        [name, zone, format!("{open} of {reporting}"), prefill, running, free]
    };
    let rows: Vec<[String; 6]> = std::iter::once(head).chain(all.into_iter().map(row)).collect();
    table(&rows)
}

/// Shows how a request was routed, from the records of the instances.
pub fn explain(addrs: &[SocketAddr], request: &str) -> Result<(), CommandError> {
    let responses = fetch_all(addrs, &format!("explain/{request}"));
    let records: Vec<&Value> = responses.iter().filter_map(|a| a.as_ref().ok()?.as_ref()).collect();
    for record in &records {
        show(&format_record(record));
    }
    if !records.is_empty() {
        return Ok(());
    }
    let failed = responses.iter().filter(|a| a.is_err()).count();
    if failed > 0 {
        let text = format!("{failed} of {} did not answer; the others have no record", addrs.len());
        return Err(CommandError::Unreachable(text));
    }
    Err(CommandError::NotFound(format!("no queried instance has a record of `{request}`")))
}

fn format_record(record: &Value) -> String {
    let field = |name: &str| text(&record[name]);
    let mut lines = vec![
        format!("request {}: {}", field("request"), field("outcome")),
        format!("  taken by {} in {}", field("instance"), field("zone")),
        format!("  workspace {}, class {}", field("workspace"), field("class")),
        format!("  prompt of about {} tokens", field("tokens")),
    ];
    let steps = record["steps"].as_array().map(Vec::as_slice).unwrap_or_default();
    lines.extend(steps.iter().enumerate().map(|(i, s)| format!("  {}. {}", i + 1, text(s))));
    let first = &record["first_ms"];
    let first = if first.is_null() { "none".to_owned() } else { format!("{} ms", text(first)) };
    lines.push(format!("  first token: {first}, total: {} ms", field("total_ms")));
    lines.join("\n") + "\n"
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
