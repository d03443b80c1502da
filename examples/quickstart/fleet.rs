//! Builds, starts and ends the processes of the small fleet.

use std::error::Error;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use ureq::Agent;

/// Availability zones, one instance and two engines in each.
const ZONES: [&str; 3] = ["charguia", "lac-deux", "ben-arous"];
/// Engines in each availability zone.
const ENGINES: usize = 2;
/// Prefill speed in tokens a second, pace in milliseconds, memory in tokens, model.
const ENGINE: [&str; 4] = ["100000", "5", "400000", "chat"];
/// Longest wait for the fleet to be ready.
const READY: Duration = Duration::from_secs(15);
/// Time between two looks at whether it is ready.
const LOOK: Duration = Duration::from_millis(50);
/// Longest time for one request.
const REQUEST: Duration = Duration::from_secs(30);

/// Paths of the programs that the fleet runs.
#[derive(Debug)]
pub struct Programs {
    daemon: PathBuf,
    operator: PathBuf,
    standin: PathBuf,
}

/// Builds just the programs that are needed, in the profile of this example.
pub fn build() -> Result<Programs, Box<dyn Error>> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--manifest-path"]);
    command.arg(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"));
    command.args(["-p", "mimosapass", "-p", "mimosactl", "-p", "mimosapass-standin"]);
    command.args(["--bins", "--example", "standin"]);
    let here = std::env::current_exe()?;
    let dir = here.parent().and_then(Path::parent).ok_or("the program stands in no directory")?;
    if dir.file_name().is_some_and(|name| name == "release") {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err("the programs cannot be built".into());
    }
    Ok(Programs {
        daemon: dir.join("mimosapass"),
        operator: dir.join("mimosactl"),
        standin: dir.join("examples/standin"),
    })
}

/// One instance of mimosapass.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Availability zone.
    pub zone: &'static str,
    /// Address of the instance.
    pub ip: Ipv4Addr,
    index: usize,
}

impl Instance {
    /// Returns the URL of a path for callers.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}:8080/{path}", self.ip)
    }

    /// Reads a page for operators as JSON.
    pub fn page(&self, path: &str) -> Option<Value> {
        let mut response = agent().get(format!("http://{}:8082/{path}", self.ip)).call().ok()?;
        response.body_mut().read_json().ok()
    }
}

/// Processes that end when this value or this program ends.
#[derive(Clone, Debug, Default)]
struct Children(Arc<Mutex<Vec<Child>>>);

impl Children {
    fn add(&self, child: Child) -> usize {
        let mut children = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        children.push(child);
        children.len() - 1
    }

    fn kill(&self, index: usize) -> std::io::Result<()> {
        let mut children = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let child = &mut children[index];
        child.kill()?;
        child.wait().map(drop)
    }

    fn end(&self) {
        let mut children = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for mut child in children.drain(..) {
            // It may have ended by itself.
            child.kill().unwrap_or_default();
            child.wait().map(drop).unwrap_or_default();
        }
    }

    /// Ends the processes when a signal ends this program.
    fn end_on_signal(&self) -> std::io::Result<()> {
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        let children = self.clone();
        thread::spawn(move || {
            if let Some(signal) = signals.forever().next() {
                children.end();
                std::process::exit(128 + signal);
            }
        });
        Ok(())
    }
}

/// The running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Instances, one in each availability zone.
    pub instances: Vec<Instance>,
    children: Children,
    dir: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.children.end();
        fs::remove_dir_all(&self.dir).unwrap_or_default();
    }
}

impl Fleet {
    /// Starts all processes, applies the configuration and waits until all are ready.
    pub fn start(programs: &Programs) -> Result<Self, Box<dyn Error>> {
        let dir = std::env::temp_dir().join(format!("mimosapass-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut fleet = Self { instances: Vec::new(), children: Children::default(), dir };
        fleet.children.end_on_signal()?;
        let platform = fleet.stand_in(programs, "platform", &[])?;
        let members = fleet.members(programs)?;
        fleet.serve(programs, platform)?;
        fleet.publish(platform, members)?;
        let config = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config/quickstart.yaml");
        let applied = Command::new(&programs.operator)
            .args(["apply", "--author", "quickstart", "--platform", &platform.to_string(), config])
            .status()?;
        if !applied.success() {
            return Err("the configuration was not accepted".into());
        }
        fleet.wait()?;
        Ok(fleet)
    }

    /// Kills an instance without notice.
    pub fn kill(&mut self, instance: usize) -> std::io::Result<()> {
        self.children.kill(self.instances[instance].index)
    }

    fn stand_in(
        &self,
        programs: &Programs,
        kind: &str,
        rest: &[&str],
    ) -> Result<SocketAddr, Box<dyn Error>> {
        let mut child = Command::new(&programs.standin)
            .args([kind, "127.0.0.1:0"])
            .args(rest)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or("no output")?;
        self.children.add(child);
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        Ok(line.trim().parse()?)
    }

    /// Starts the targets and returns them as the platform lists them.
    fn members(&self, programs: &Programs) -> Result<Vec<Value>, Box<dyn Error>> {
        let desk = self.stand_in(programs, "service", &[])?;
        let mut members = vec![member("desk-0", "service", ZONES[0], desk, "desk")];
        for zone in ZONES {
            for number in 0..ENGINES {
                let addr = self.stand_in(programs, "engine", &ENGINE)?;
                members.push(member(&format!("{zone}-{number}"), "engine", zone, addr, "engine"));
            }
        }
        Ok(members)
    }

    fn serve(&mut self, programs: &Programs, platform: SocketAddr) -> Result<(), Box<dyn Error>> {
        let pid = std::process::id();
        for (i, zone) in ZONES.into_iter().enumerate() {
            let (high, low) = (pid / 250 % 250 + 1, pid % 250 + 1);
            let ip = Ipv4Addr::new(127, high as u8, low as u8, i as u8 + 1);
            let text = format!(
                "name: entry-{zone}\nzone: {zone}\nplatform: {platform}\nlisten:\n  \
                 callers: {ip}:8080\n  peers: {ip}:8081\n  operators: {ip}:8082\n"
            );
            let file = self.dir.join(format!("{zone}.yaml"));
            fs::write(&file, text)?;
            let level = std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned());
            let child = Command::new(&programs.daemon)
                .args(["serve", "--config"])
                .arg(&file)
                .env("RUST_LOG", level)
                .stdin(Stdio::null())
                .spawn()?;
            let index = self.children.add(child);
            self.instances.push(Instance { zone, ip, index });
        }
        Ok(())
    }

    fn publish(&self, platform: SocketAddr, targets: Vec<Value>) -> Result<(), Box<dyn Error>> {
        let entries = self.instances.iter().map(|i| {
            let addr = SocketAddr::new(IpAddr::V4(i.ip), 8081);
            member(&format!("entry-{}", i.zone), "entry", i.zone, addr, "entry")
        });
        let members: Vec<Value> = targets.into_iter().chain(entries).collect();
        agent().put(format!("http://{platform}/instances")).send_json(members)?;
        Ok(())
    }

    /// Waits until every instance knows its own zone's engines and the service.
    fn wait(&self) -> Result<(), Box<dyn Error>> {
        let end = Instant::now() + READY;
        while !self.instances.iter().all(ready) {
            if Instant::now() > end {
                return Err(format!("not all instances were ready within {READY:?}").into());
            }
            thread::sleep(LOOK);
        }
        Ok(())
    }
}

fn ready(instance: &Instance) -> bool {
    let Some(status) = instance.page("status") else { return false };
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    let open = targets.iter().filter(|t| t["open"] == true);
    let near = open.filter(|t| t["zone"] == instance.zone || t["name"] == "desk-0").count();
    let desk = usize::from(instance.zone != ZONES[0]);
    status["ready"] == true && near >= ENGINES + desk
}

fn member(name: &str, role: &str, zone: &str, addr: SocketAddr, kind: &str) -> Value {
    json!({"name": name, "role": role, "zone": zone, "addr": addr, "labels": {"kind": kind}})
}

/// Returns an agent that takes every status as an answer.
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST))
        .proxy(None)
        .build()
        .new_agent()
}
