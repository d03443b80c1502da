//! A small fleet for tests: the real binary, with stand-ins in this process.

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

/// Longest wait for something that has to happen.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// A configuration that takes chats, photo checks and bookings.
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

/// Returns an address that no other test uses.
pub fn fresh_ip() -> Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(count < 4000, "the addresses of one run are used up");
    let process = std::process::id() % 4000;
    let third = process / 250 * 16 + u32::from(count) / 250;
    Ipv4Addr::new(127, (process % 250) as u8 + 1, third as u8, (count % 250) as u8 + 1)
}

/// An instance that runs as a process.
#[derive(Debug)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Its process.
    pub child: Child,
    /// Address of the instance.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
}

impl Instance {
    /// Returns the URL of a path for callers.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}:8080{path}", self.ip)
    }

    /// Returns the URL of a path for operators.
    pub fn page(&self, path: &str) -> String {
        format!("http://{}:8082{path}", self.ip)
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8080)
    }

    /// Returns the address for peers.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8081)
    }

    /// Sends a signal, such as `TERM`, to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([format!("-{name}"), id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Returns whether the instance says that it is ready.
    pub fn ready(&self) -> bool {
        agent().get(self.page("/readyz")).call().is_ok_and(|r| r.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended by itself.
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
    }
}

/// Stand-ins and instances of one test.
#[derive(Debug)]
pub struct Fleet {
    /// Platform.
    pub platform: Platform,
    /// Engines by name.
    pub engines: Vec<(String, Engine)>,
    /// Service behind bookings and lookups.
    pub desk: Service,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Zone of each engine.
    pub engine_zones: Vec<String>,
    dir: std::path::PathBuf,
}

impl Fleet {
    /// Starts stand-ins: a platform, one service, and engines in zones.
    pub fn new(engines: &[(&str, Settings)]) -> Self {
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let platform = Platform::start(local(0)).expect("platform starts");
        let desk = Service::start(local(0)).expect("service starts");
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            desk,
            instances: Vec::new(),
            engine_zones: Vec::new(),
            dir: std::env::temp_dir().join(format!("mimosapass-{}", fresh_ip())),
        };
        std::fs::create_dir_all(&fleet.dir).expect("a directory can be made");
        for (i, (zone, settings)) in engines.iter().enumerate() {
            let engine = Engine::start(local(0), settings.clone()).expect("engine starts");
            fleet.engines.push((format!("engine-{i}"), engine));
            fleet.engine_zones.push((*zone).to_owned());
        }
        fleet.publish();
        fleet
    }

    /// Starts one engine and one instance that is ready, under [`CONFIG`].
    pub fn one(extra: &str) -> Self {
        let mut fleet = Self::new(&[("zone-a", Settings::default())]);
        fleet.apply(CONFIG);
        fleet.start("zone-a", extra);
        fleet.settle();
        fleet
    }

    /// Returns the list of all members as the platform gives it.
    pub fn members(&self) -> Vec<Member> {
        let member = |name: &str, role, zone: &str, addr: String, kind: &str| Member {
            name: name.to_owned(),
            role,
            zone: zone.to_owned(),
            addr,
            labels: [("kind".to_owned(), kind.to_owned())].into(),
            leaving: false,
        };
        let mut members =
            vec![member("desk-0", Role::Service, "zone-a", self.desk.addr().to_string(), "desk")];
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

    /// Gives the platform the present list.
    pub fn publish(&self) {
        self.platform.set_members(self.members());
    }

    /// Applies a configuration text as the next version.
    pub fn apply(&self, text: &str) -> u64 {
        let kv = KvClient::new(&self.platform.addr().to_string());
        let document = document::parse(text).expect("the configuration holds");
        let base = store::read_head(&kv).expect("the head can be read");
        let token = u64::from(std::process::id()) << 32 | base.record.version;
        store::apply(&kv, &document, &base, "test", token).expect("it is accepted").version
    }

    /// Starts an instance; `extra` is added to its settings.
    pub fn start(&mut self, zone: &str, extra: &str) -> usize {
        let seeds: Vec<SocketAddr> = self.instances.iter().map(Instance::peers).collect();
        let at = self.launch(zone, extra, self.platform.addr(), &seeds);
        self.publish();
        at
    }

    /// Starts an instance that knows only `seeds` and reaches the platform at
    /// `platform`; the list does not name it yet.
    pub fn launch(
        &mut self,
        zone: &str,
        extra: &str,
        platform: SocketAddr,
        seeds: &[SocketAddr],
    ) -> usize {
        let ip = fresh_ip();
        let name = format!("{zone}-{}", self.instances.len());
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "name: {name}\nzone: {zone}\nplatform: {platform}\nseeds: [{}]\nlisten:\n  \
             callers: {ip}:8080\n  peers: {ip}:8081\n  operators: {ip}:8082\n{extra}",
            seeds.join(", "),
        );
        let file = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&file, text).expect("settings can be written");
        let output = File::create(self.dir.join(format!("{name}.out"))).expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_mimosapass"))
            .args(["serve", "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(output)
            .env("RUST_LOG", std::env::var("TEST_LOG").unwrap_or_else(|_| "error".to_owned()))
            .spawn()
            .expect("the daemon starts");
        self.instances.push(Instance { name, child, ip, zone: zone.to_owned() });
        self.instances.len() - 1
    }

    /// Returns what an instance wrote to its standard output, such as spans.
    pub fn output(&self, at: usize) -> String {
        let file = self.dir.join(format!("{}.out", self.instances[at].name));
        std::fs::read_to_string(file).expect("it has an output")
    }

    /// Waits until every instance is ready and knows all targets.
    pub fn settle(&self) {
        for at in 0..self.instances.len() {
            self.settle_one(at);
        }
    }

    /// Waits until one instance is ready and knows all targets.
    pub fn settle_one(&self, at: usize) {
        let targets = self.engines.len() + 1;
        let instance = &self.instances[at];
        until("an instance is ready and knows its targets", || {
            instance.ready()
                && status(instance)["targets"].as_array().map(Vec::len) == Some(targets)
        });
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.dir).unwrap_or_default();
    }
}

/// Returns an agent that takes every status as an answer.
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .proxy(None)
        .build()
        .new_agent()
}

/// Returns the status page of an instance.
pub fn status(instance: &Instance) -> serde_json::Value {
    match agent().get(instance.page("/status")).call() {
        Ok(mut response) => response.body_mut().read_json().unwrap_or_default(),
        Err(_) => serde_json::Value::Null,
    }
}

/// Returns the value of a metric of an instance, summed over lines that contain `label`.
pub fn metric(instance: &Instance, name: &str, label: &str) -> u64 {
    let Ok(mut page) = agent().get(instance.page("/metrics")).call() else { return 0 };
    let text = page.body_mut().read_to_string().unwrap_or_default();
    let lines = text.lines().filter(|l| l.starts_with(name) && l.contains(label));
    lines.filter_map(|l| l.rsplit_once(' ')?.1.parse::<u64>().ok()).sum()
}

/// Returns how many requests of an instance ended with this outcome.
pub fn ended(instance: &Instance, outcome: &str) -> u64 {
    metric(instance, "mimosapass_requests_total", &format!("outcome=\"{outcome}\""))
}

/// Waits until something holds.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    within(PATIENCE, what, holds);
}

/// Waits until something holds, for a bound that comes from a stated target.
pub fn within(bound: Duration, what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + bound;
    while !holds() {
        assert!(Instant::now() < end, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns a chat request with a prompt of about so many tokens.
pub fn chat(tokens: usize, answer: u32, stream: bool) -> String {
    let prompt = "abcd".repeat(tokens);
    format!(
        r#"{{"model":"chat","stream":{stream},"max_tokens":{answer},"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    )
}

/// An answer as a caller sees it.
#[derive(Debug)]
pub struct Seen {
    /// HTTP status.
    pub status: u16,
    /// Whether it promises that nothing ran.
    pub not_run: bool,
    /// Seconds after which to come back.
    pub retry: Option<u64>,
    /// Body; broken off bodies are `Err`.
    pub body: Result<String, String>,
}

/// Returns the code of the error that was answered, or `ok`.
pub fn code(seen: &Seen) -> String {
    let body = seen.body.as_deref().unwrap_or_default();
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    value["error"]["code"].as_str().unwrap_or("ok").to_owned()
}

/// Sends a POST with headers and reads the whole answer.
pub fn post(url: &str, headers: &[(&str, &str)], body: &str) -> Result<Seen, ureq::Error> {
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
    let retry = header("retry-after").and_then(|v| v.parse().ok());
    Ok(Seen {
        status: response.status().as_u16(),
        not_run,
        retry,
        body: response.body_mut().read_to_string().map_err(|e| e.to_string()),
    })
}
