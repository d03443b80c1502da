//! Tests of the gateway binary against stand-ins of the platform.

mod answers;
mod backups;
mod behind;
mod broken_responses;
mod broken_streams;
mod costs;
mod cut_heads;
mod cut_off;
mod delegation;
mod endless;
mod endless_streams;
mod evacuation;
mod explain;
mod fake_peer;
mod foreign_entries;
mod helpers;
mod large_changes;
mod late_stop;
mod limits;
mod notices;
mod process_memory;
mod quarantine;
mod reload;
mod repeated_crashes;
mod reservations;
mod restore;
mod silence;
mod soak;
mod stale_refusals;
mod streams;
mod template;
mod unframed;
mod views;
mod wire;

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use mimosapass_standin::mesh::Mesh;
use mimosapass_standin::metastore::{Endpoint, Metastore};
use mimosapass_standin::target::{Reply, ScriptedTarget};
use mimosapass_target::http::{BodyPart, Connection, ResponseHead, WaitOutcome};
use serde_json::{Value, json};

use crate::common::{WAIT_TIMEOUT, unique_ip};

/// Host of all routes of these tests.
const HOST: &str = "shop.example";
/// API key of the only workspace.
const KEY: &str = "key-one";

/// A store with a configuration, and gateways that use it.
pub struct Cluster {
    pub store: Metastore,
    pub endpoint: Endpoint,
    gateways: Vec<Gateway>,
    /// Addresses by which gateways in a network know each other.
    second_addrs: Vec<SocketAddr>,
}

/// One gateway process.
pub struct Gateway {
    child: Child,
    ip: Ipv4Addr,
    settings: std::path::PathBuf,
}

/// A response as a caller receives it.
#[derive(Debug)]
pub struct Answer {
    pub response: ResponseHead,
    pub body: String,
    /// Whether the body was complete according to its framing.
    pub complete: bool,
}

/// Returns a configuration in which `/chat/` streams and `/look/` is idempotent.
///
/// `/archive/` streams too; all other paths are not idempotent.
pub fn config(version: u64, keys: &[&str], paths: &[&str]) -> Value {
    let route = |path: &str| {
        let kind = match path {
            "chat" | "archive" => "streaming",
            "look" => "idempotent",
            _ => "non_idempotent",
        };
        let service = if kind == "streaming" { "pool" } else { "desk" };
        json!({
            "name": path, "host": HOST, "prefix": format!("/{path}/"), "type": kind,
            "timeout_ms": 8000, "goal_ms": 500, "priority": 1, "service": service,
            "attempts": if kind == "non_idempotent" { 1 } else { 2 }, "public": false,
            "resumable": true, "gap_target_ms": 300, "field_of_later": 1,
        })
    };
    let routes: Vec<Value> = paths.iter().map(|p| route(p)).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            { "name": "desk", "health_path": "/h", "max_conns": 50 },
            { "name": "pool", "health_path": "/h", "max_conns": 50, "engine": {
                "slots": 16, "kv_capacity": 450_000, "step_ms": 0.9, "per_seq_ms": 0.005,
                "context_per_k": 0.0025, "read_per_s": 256_000.0, "pairs_per_m": 0.09,
                "chunk": 2048, "stride": 46, "hop_ms": 0.1,
                "usual": { "prompt": 13_000, "answer": 1_500 } } },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "atlas", "api_keys": keys, "priority": 1 }],
    })
}

impl Cluster {
    /// Starts a store with a configuration and `count` gateways, none of them ready.
    pub fn start(count: usize) -> Self {
        let store = Metastore::default();
        let endpoint = store.open_endpoint();
        let mut cluster = Self { store, endpoint, gateways: Vec::new(), second_addrs: Vec::new() };
        cluster.configure(&config(3, &[KEY], &["chat", "look", "book"]));
        for _ in 0..count {
            let endpoint = cluster.endpoint.clone();
            cluster.add(&endpoint, &[]);
        }
        cluster
    }

    /// Starts a gateway that reaches the store at `endpoint`; returns its number.
    pub fn add(&mut self, endpoint: &Endpoint, seeds: &[SocketAddr]) -> usize {
        self.add_with(endpoint, seeds, "")
    }

    /// As [`Self::add`], with more lines of settings.
    pub fn add_with(&mut self, endpoint: &Endpoint, seeds: &[SocketAddr], more: &str) -> usize {
        let number = self.gateways.len();
        let ip = unique_ip();
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        // Without it a process sends no retry in its first window.
        let repeats = if more.contains("repeats:") { "" } else { "repeats: {first_start: true}\n" };
        let text = format!(
            "name: gate-{number}\nzone: a\nlisten:\n  callers: {ip}:8080\n  ready: {ip}:8081\n  \
             peers: {ip}:8082\n  metrics: {ip}:8083\nstore: {}\nseeds: [{}]\n{repeats}{more}",
            endpoint.addr,
            seeds.join(", ")
        );
        let settings = std::env::temp_dir().join(format!("mimosapass-gate-{ip}.yaml"));
        std::fs::write(&settings, text).expect("written");
        let log = std::fs::File::create(settings.with_extension("log")).expect("a file");
        let child = spawn(&settings, Stdio::from(log));
        self.gateways.push(Gateway { child, ip, settings });
        number
    }

    /// Starts `count` gateways that reach each other over a network of the test's own.
    pub fn start_meshed(count: usize) -> (Self, Mesh) {
        let (mut cluster, mesh) = (Self::start(0), Mesh::default());
        let endpoints: Vec<Endpoint> = (0..count).map(|_| cluster.store.open_endpoint()).collect();
        for endpoint in &endpoints {
            cluster.add_meshed(endpoint, &endpoints, &mesh, "");
        }
        (cluster, mesh)
    }

    /// Starts a gateway in a network; those that use `endpoints` know it by its second address.
    fn add_meshed(
        &mut self,
        own: &Endpoint,
        endpoints: &[Endpoint],
        mesh: &Mesh,
        more: &str,
    ) -> usize {
        let number = self.add_with(own, &[], more);
        let addr =
            mesh.add(self.peers(number), std::iter::repeat_with(unique_ip)).expect("an address");
        for endpoint in endpoints {
            endpoint.set_path(self.peers(number), addr);
        }
        self.second_addrs.push(addr);
        number
    }

    /// Returns the address by which others know a gateway in a network.
    pub fn second_addr(&self, number: usize) -> SocketAddr {
        self.second_addrs[number]
    }

    /// Writes a configuration to the store.
    pub fn configure(&self, config: &Value) {
        self.store.set("op/config", config.to_string().as_bytes());
    }

    /// Registers a ready target.
    pub fn register(&self, target: &ScriptedTarget, service: &str) {
        let key = format!("servers/{}", target.id);
        self.store.set(&key, &target.registration(service, "ready", 1, 1));
    }

    /// Registers a ready target in a zone.
    pub fn register_in(&self, zone: &str, target: &ScriptedTarget, service: &str) {
        let key = format!("servers/{}", target.id);
        self.store.set(&key, &target.registration_in(zone, service, "ready", 1, 1));
    }

    /// Starts a gateway whose standard output is a pipe that is never read.
    pub fn add_unread(&mut self) {
        let endpoint = self.endpoint.clone();
        let number = self.add(&endpoint, &[]);
        let gateway = &mut self.gateways[number];
        gateway.child.kill().expect("killed");
        gateway.child.wait().expect("it ends");
        gateway.child = spawn(&gateway.settings, Stdio::piped());
    }

    /// Returns what a gateway has logged.
    pub fn log(&self, number: usize) -> String {
        let file = self.gateways[number].settings.with_extension("log");
        std::fs::read_to_string(file).expect("a log")
    }

    /// Waits for a log line that contains all of `parts` and returns it.
    pub fn logged(&self, number: usize, parts: &[&str]) -> String {
        let mut found = None;
        eventually(&format!("a line with {parts:?}"), || {
            let log = self.log(number);
            let line = log.lines().find(|line| parts.iter().all(|part| line.contains(part)));
            found = line.map(str::to_owned);
            found.is_some()
        });
        found.unwrap_or_default()
    }

    /// Waits until a gateway is ready.
    pub fn ready(&self, number: usize) -> &Self {
        let addr = SocketAddr::from((self.gateways[number].ip, 8081));
        eventually("the gateway is ready", || {
            try_call(addr, "GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n", b"")
                .is_some_and(|a| a.response.status == 200)
        });
        // Before it is registered it sends no retry; one without a log is not waited for.
        let registered = ["member: registered", "member: registration or renewal failed"];
        eventually("the gateway has registered", || {
            let log = self.log(number);
            log.is_empty() || registered.iter().any(|line| log.contains(line))
        });
        self
    }

    /// Waits until a gateway that watches the store knows `count` targets.
    pub fn knows_targets(&self, number: usize, count: usize) {
        self.measures(number, "gateway_targets", |value| value == count);
    }

    /// Waits until a gateway hears the schedulers of a zone of `count` gateways.
    pub fn hears_peers(&self, number: usize, count: usize) {
        // Two that delegate need not hear each other.
        let schedulers = (count - 1).min(3);
        self.measures(number, "gateway_peers", |value| value >= schedulers);
    }

    /// Waits until a gauge of a gateway has a value that is accepted.
    fn measures(&self, number: usize, gauge: &str, accepts: impl Fn(usize) -> bool) {
        let addr = SocketAddr::from((self.gateways[number].ip, 8083));
        let shown = || try_call(addr, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n", b"");
        let value = || {
            let metrics = shown()?.body;
            let line = metrics.lines().find_map(|line| line.strip_prefix(gauge)?.strip_prefix(' '));
            line?.parse().ok()
        };
        eventually(&format!("{gauge} of gateway {number}"), || value().is_some_and(&accepts));
    }

    /// Returns the highest memory that a gateway has used so far, in bytes.
    pub fn peak_memory(&self, number: usize) -> u64 {
        let id = self.gateways[number].child.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
        let kib: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
        kib * 1024
    }

    /// Replaces a text in the settings file of a gateway.
    pub fn rewrite(&self, number: usize, from: &str, to: &str) {
        let file = &self.gateways[number].settings;
        let text = std::fs::read_to_string(file).expect("settings");
        assert!(text.contains(from), "{text}");
        std::fs::write(file, text.replacen(from, to, 1)).expect("written");
    }

    /// Returns the address of a gateway for callers.
    pub fn callers(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.gateways[number].ip, 8080))
    }

    /// Returns the address of a gateway for peers.
    pub fn peers(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.gateways[number].ip, 8082))
    }

    /// Sends a signal to a gateway.
    pub fn signal(&self, number: usize, signal: &str) {
        let id = self.gateways[number].child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Sends a request for a path with the valid key.
    pub fn ask(&self, number: usize, path: &str, id: &str) -> Answer {
        self.ask_with(number, path, id, "")
    }

    /// As [`Self::ask`], with extra header lines that each end in CRLF.
    pub fn ask_with(&self, number: usize, path: &str, id: &str, headers: &str) -> Answer {
        call(self.callers(number), &head(path, id, KEY, headers), b"question")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.child.kill().unwrap_or_default();
            gateway.child.wait().map(drop).unwrap_or_default();
            std::fs::remove_file(&gateway.settings).unwrap_or_default();
            std::fs::remove_file(gateway.settings.with_extension("log")).unwrap_or_default();
        }
    }
}

fn spawn(settings: &std::path::Path, out: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_mimosapass"))
        .args(["gateway", "--config"])
        .arg(settings)
        .env("RUST_LOG", "debug")
        .stderr(Stdio::null())
        .stdout(out)
        .spawn()
        .expect("it starts")
}

/// Returns the head of a request with a body of eight bytes.
pub fn head(path: &str, id: &str, key: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 6000\r\n\
         authorization: Token {key}\r\ncontent-length: 8\r\n{headers}\r\n"
    )
}

/// Sends a request and reads the whole response.
pub fn call(addr: SocketAddr, head: &str, body: &[u8]) -> Answer {
    try_call(addr, head, body).expect("a response")
}

/// As [`call`]; `None` when there is no response head.
pub fn try_call(addr: SocketAddr, head: &str, body: &[u8]) -> Option<Answer> {
    let mut connection = Connection::open(addr, Duration::from_secs(2)).ok()?;
    let end = Instant::now() + WAIT_TIMEOUT;
    connection.send(&[head.as_bytes(), body].concat(), end).ok()?;
    let read_more = |connection: &mut Connection| {
        let ready = connection.wait(None::<&std::net::TcpStream>, end);
        matches!(ready, Ok(WaitOutcome::Target)).then(|| connection.fill())
    };
    let response = loop {
        match connection.parse_head("POST") {
            Ok(Some(response)) => break response,
            Ok(None) => drop(read_more(&mut connection)?),
            Err(_) => return None,
        }
    };
    let mut framing = response.framing;
    let mut body = Vec::new();
    let complete = loop {
        match connection.next_part(&mut framing) {
            Ok(BodyPart::Data(data)) => body.extend(data),
            Ok(BodyPart::NeedMore) => drop(read_more(&mut connection)?),
            Ok(BodyPart::End) => break true,
            Err(_) => break false,
        }
    };
    let body = String::from_utf8(body).ok()?;
    Some(Answer { response, body, complete })
}

/// Waits until a condition holds.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a target that handles every request in the same way.
pub fn start_target(id: &str, reply: Reply) -> ScriptedTarget {
    ScriptedTarget::start(id, move |_| reply.clone())
}

/// Returns the encoded events `from` to `to`.
pub fn events(from: u64, to: u64) -> String {
    let events: Vec<String> = (from..=to).map(|n| format!("id: {n}\ndata: e{n}\n\n")).collect();
    events.concat()
}
