//! Fleet for tests: instances run the real binary, stand-ins run in this process.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use mimosapass_keyvalue::kv::KvClient;
use mimosapass_keyvalue::members::{Member, Role};
use mimosapass_operator::{document, store};
use mimosapass_standin::engine::{Engine, Settings};
use mimosapass_standin::platform::Platform;
use mimosapass_standin::service::Service;
use ureq::Agent;

/// Longest wait for an expected condition or answer.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Configuration with classes for chats, bookings and lookups.
pub const CONFIG: &str = "
models:
  - name: chat
pools:
  - name: engines
    labels: {work: model}
    select: {kind: engine}
    models: [chat]
  - name: desk
    kind: service
    labels: {work: desk}
    select: {kind: desk}
classes:
  - name: bookings
    accept: {services: [bookings]}
    select: {work: desk}
    promise_ms: 1000
    deadline_ms: 10000
    idempotent: false
  - name: lookups
    accept: {services: [lookups]}
    select: {work: desk}
    promise_ms: 1000
    deadline_ms: 10000
    idempotent: true
  - name: chats
    select: {work: model}
    promise_ms: 1800
    deadline_ms: 20000
services:
  - name: bookings
    pool: desk
  - name: lookups
    pool: desk
workspaces:
  - name: atlas
";

/// Returns a loopback address that no other test uses.
///
/// It also depends on the process id, so that concurrent test runs differ.
pub fn unique_ip() -> Ipv4Addr {
    static COUNTER: AtomicU16 = AtomicU16::new(0);
    let count = COUNTER.fetch_add(1, Ordering::Relaxed);
    assert!(count < 4000, "no loopback addresses left for this run");
    let process = std::process::id() % 4000;
    let third = process / 250 * 16 + u32::from(count) / 250;
    Ipv4Addr::new(127, (process % 250) as u8 + 1, third as u8, (count % 250) as u8 + 1)
}

/// Instance that runs as a child process and is killed on drop.
#[derive(Debug)]
pub struct Instance {
    /// Name in the settings and the member list.
    pub name: String,
    /// Process of the instance.
    pub child: Child,
    /// Address of all its listeners.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
}

impl Instance {
    /// Returns the URL of a path on the caller listener.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}:8080{path}", self.ip)
    }

    /// Returns the URL of a path on the operator listener.
    pub fn operator_url(&self, path: &str) -> String {
        format!("http://{}:8082{path}", self.ip)
    }

    /// Returns the address of the caller listener.
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8080)
    }

    /// Returns the address of the peer listener.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8081)
    }

    /// Sends a signal, such as `TERM`, to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([format!("-{name}"), id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Returns whether `/readyz` answers with status 200.
    pub fn is_ready(&self) -> bool {
        agent().get(self.operator_url("/readyz")).call().is_ok_and(|r| r.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have exited already.
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
    }
}

/// Stand-ins and instances used by one test.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in of the platform.
    pub platform: Platform,
    /// Stand-in engines with their names.
    pub engines: Vec<(String, Engine)>,
    /// Stand-in service for bookings and lookups.
    pub service: Service,
    /// Instances in the order in which they were started.
    pub instances: Vec<Instance>,
    /// Availability zone of each engine, in the order of `engines`.
    pub engine_zones: Vec<String>,
    dir: std::path::PathBuf,
}

impl Fleet {
    /// Starts a platform, one service and the given engines, without instances.
    pub fn new(engines: &[(&str, Settings)]) -> Self {
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let platform = Platform::start(local(0)).expect("platform starts");
        let service = Service::start(local(0)).expect("service starts");
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            service,
            instances: Vec::new(),
            engine_zones: Vec::new(),
            dir: std::env::temp_dir().join(format!("mimosapass-{}", unique_ip())),
        };
        std::fs::create_dir_all(&fleet.dir).expect("the directory is created");
        for (i, (zone, settings)) in engines.iter().enumerate() {
            let engine = Engine::start(local(0), settings.clone()).expect("engine starts");
            fleet.engines.push((format!("engine-{i}"), engine));
            fleet.engine_zones.push((*zone).to_owned());
        }
        fleet.publish_members();
        fleet
    }

    /// Starts one engine and one instance with [`CONFIG`] and waits until it is ready.
    pub fn single(extra: &str) -> Self {
        let mut fleet = Self::new(&[("zone-a", Settings::default())]);
        fleet.apply(CONFIG);
        fleet.start("zone-a", extra);
        fleet.wait_ready();
        fleet
    }

    /// Returns the member list: targets and instances.
    pub fn members(&self) -> Vec<Member> {
        let member = |name: &str, role, zone: &str, addr: String, kind: &str| Member {
            name: name.to_owned(),
            role,
            zone: zone.to_owned(),
            addr,
            labels: [("kind".to_owned(), kind.to_owned())].into(),
            leaving: false,
        };
        let mut members = vec![member(
            "desk-0",
            Role::Service,
            "zone-a",
            self.service.addr().to_string(),
            "desk",
        )];
        for ((name, engine), zone) in self.engines.iter().zip(&self.engine_zones) {
            let addr = engine.addr().to_string();
            members.push(member(name, Role::Engine, zone, addr, "engine"));
        }
        for instance in &self.instances {
            let addr = format!("{}:8081", instance.ip);
            members.push(member(&instance.name, Role::Entry, &instance.zone, addr, "entry"));
        }
        members
    }

    /// Sends the current member list to the platform.
    pub fn publish_members(&self) {
        self.platform.set_members(self.members());
    }

    /// Applies a configuration as the next version and returns that version.
    pub fn apply(&self, text: &str) -> u64 {
        let kv = KvClient::new(&self.platform.addr().to_string());
        let document = document::parse(text).expect("the configuration is valid");
        let base = store::read_head(&kv).expect("the current version is read");
        let token = u64::from(std::process::id()) << 32 | base.record.version;
        store::apply(&kv, &document, &base, "test", token)
            .expect("the configuration is accepted")
            .version
    }

    /// Starts an instance, lists it as a member and returns its index.
    ///
    /// `extra` is appended to its settings.
    pub fn start(&mut self, zone: &str, extra: &str) -> usize {
        let seeds: Vec<SocketAddr> = self.instances.iter().map(Instance::peer_addr).collect();
        let index = self.start_unlisted(zone, extra, self.platform.addr(), &seeds);
        self.publish_members();
        index
    }

    /// Starts an instance that is not in the member list and returns its index.
    ///
    /// It knows only the peers in `seeds` and reaches the platform at `platform`.
    pub fn start_unlisted(
        &mut self,
        zone: &str,
        extra: &str,
        platform: SocketAddr,
        seeds: &[SocketAddr],
    ) -> usize {
        let ip = unique_ip();
        let name = format!("{zone}-{}", self.instances.len());
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "name: {name}\nzone: {zone}\nplatform: {platform}\nseeds: [{}]\nlisten:\n  \
             callers: {ip}:8080\n  peers: {ip}:8081\n  operators: {ip}:8082\n{extra}",
            seeds.join(", "),
        );
        let file = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&file, text).expect("the settings are written");
        let output =
            File::create(self.dir.join(format!("{name}.out"))).expect("the output file is created");
        let child = Command::new(env!("CARGO_BIN_EXE_mimosapass"))
            .args(["serve", "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(output)
            .env("RUST_LOG", std::env::var("TEST_LOG").unwrap_or_else(|_| "error".to_owned()))
            .spawn()
            .expect("the instance starts");
        self.instances.push(Instance { name, child, ip, zone: zone.to_owned() });
        self.instances.len() - 1
    }

    /// Replaces a text in the settings file of an instance.
    pub fn rewrite(&self, index: usize, from: &str, to: &str) {
        let file = self.dir.join(format!("{}.yaml", self.instances[index].name));
        let text = std::fs::read_to_string(&file).expect("settings");
        assert!(text.contains(from), "{text}");
        std::fs::write(file, text.replacen(from, to, 1)).expect("written");
    }

    /// Returns the standard output of an instance, such as trace spans.
    pub fn output(&self, index: usize) -> String {
        let file = self.dir.join(format!("{}.out", self.instances[index].name));
        std::fs::read_to_string(file).expect("the output is read")
    }

    /// Waits until every instance is ready and lists all targets.
    pub fn wait_ready(&self) {
        for index in 0..self.instances.len() {
            self.wait_instance_ready(index);
        }
    }

    /// Waits until one instance is ready and lists all targets.
    pub fn wait_instance_ready(&self, index: usize) {
        let targets = self.engines.len() + 1;
        let instance = &self.instances[index];
        wait_until("the instance is ready and lists all targets", || {
            instance.is_ready()
                && status(instance)["targets"].as_array().map(Vec::len) == Some(targets)
        });
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.dir).unwrap_or_default();
    }
}

/// Returns an HTTP client that does not treat error statuses as errors.
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .proxy(None)
        .build()
        .new_agent()
}

/// Returns the `/status` page of an instance, or null if it cannot be read.
pub fn status(instance: &Instance) -> serde_json::Value {
    match agent().get(instance.operator_url("/status")).call() {
        Ok(mut response) => response.body_mut().read_json().unwrap_or_default(),
        Err(_) => serde_json::Value::Null,
    }
}

/// Returns the sum of a metric of an instance over lines that contain `label`.
pub fn metric_sum(instance: &Instance, name: &str, label: &str) -> u64 {
    let Ok(mut page) = agent().get(instance.operator_url("/metrics")).call() else { return 0 };
    let text = page.body_mut().read_to_string().unwrap_or_default();
    let lines = text.lines().filter(|l| l.starts_with(name) && l.contains(label));
    lines.filter_map(|l| l.rsplit_once(' ')?.1.parse::<u64>().ok()).sum()
}

/// Returns how many requests of an instance ended with `outcome`.
pub fn request_count(instance: &Instance, outcome: &str) -> u64 {
    metric_sum(instance, "mimosapass_requests_total", &format!("outcome=\"{outcome}\""))
}

/// Waits up to [`WAIT_TIMEOUT`] until a condition holds.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    wait_within(WAIT_TIMEOUT, what, holds);
}

/// Waits up to `timeout` until a condition holds.
///
/// It is for limits that are requirements; other waits use [`wait_until`].
///
/// # Panics
///
/// Panics if the condition does not hold in time.
pub fn wait_within(timeout: Duration, what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + timeout;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the body of a chat request with a prompt of about `tokens` tokens.
pub fn chat_body(tokens: usize, max_tokens: u32, stream: bool) -> String {
    let prompt = "abcd".repeat(tokens);
    format!(
        r#"{{"model":"chat","stream":{stream},"max_tokens":{max_tokens},"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    )
}

/// HTTP response as a caller sees it.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Whether the header `mimosapass-not-run` says that no target ran the request.
    pub not_run: bool,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after_s: Option<u64>,
    /// Body, or the read error if it is incomplete.
    pub body: Result<String, String>,
}

/// Returns the error code in the body of a response, or `ok` if there is none.
pub fn error_code(response: &Response) -> String {
    let body = response.body.as_deref().unwrap_or_default();
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    value["error"]["code"].as_str().unwrap_or("ok").to_owned()
}

/// Sends a POST request and reads the whole response.
///
/// The workspace is `atlas` if `headers` name none.
pub fn post(url: &str, headers: &[(&str, &str)], body: &str) -> Result<Response, ureq::Error> {
    let mut request = agent().post(url);
    if headers.iter().all(|(name, _)| *name != "mimosapass-workspace") {
        request = request.header("mimosapass-workspace", "atlas");
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = request.send(body)?;
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let not_run = header("mimosapass-not-run") == Some("true");
    let retry_after_s = header("retry-after").and_then(|v| v.parse().ok());
    Ok(Response {
        status: response.status().as_u16(),
        not_run,
        retry_after_s,
        body: response.body_mut().read_to_string().map_err(|e| e.to_string()),
    })
}
