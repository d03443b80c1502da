//! Builds the programs and runs them as child processes of the example.

use std::error::Error;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use ureq::Agent;

/// Longest time for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Paths of the built programs.
#[derive(Debug)]
struct Programs {
    daemon: PathBuf,
    operator: PathBuf,
    standin: PathBuf,
}

/// Builds the needed programs in the build profile of this example.
fn build_programs() -> Result<Programs, Box<dyn Error>> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--manifest-path"]);
    command.arg(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"));
    command.args(["-p", "mimosapass", "-p", "mimosactl", "-p", "mimosapass-standin"]);
    command.args(["--bins", "--example", "standin"]);
    let executable = std::env::current_exe()?;
    let dir = executable
        .parent()
        .and_then(Path::parent)
        .ok_or("the path of this program has no parent directory")?;
    if dir.file_name().is_some_and(|name| name == "release") {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err("cargo build failed for the example's programs".into());
    }
    Ok(Programs {
        daemon: dir.join("mimosapass"),
        operator: dir.join("mimosactl"),
        standin: dir.join("examples/standin"),
    })
}

/// Child processes, shared with the thread that handles signals.
#[derive(Clone, Debug, Default)]
struct Children(Arc<Mutex<Vec<Child>>>);

impl Children {
    fn add(&self, child: Child) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(child);
    }

    fn kill_all(&self) {
        let mut children = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for mut child in children.drain(..) {
            // The process may have exited already.
            child.kill().unwrap_or_default();
            child.wait().map(drop).unwrap_or_default();
        }
    }

    /// Kills the processes and exits on SIGINT or SIGTERM.
    fn kill_on_signal(&self) -> std::io::Result<()> {
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        let children = self.clone();
        thread::spawn(move || {
            if let Some(signal) = signals.forever().next() {
                children.kill_all();
                std::process::exit(128 + signal);
            }
        });
        Ok(())
    }
}

/// Child processes and their directory; dropping it kills them and removes the directory.
#[derive(Debug)]
pub struct Processes {
    programs: Programs,
    children: Children,
    dir: PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.children.kill_all();
        fs::remove_dir_all(&self.dir).unwrap_or_default();
    }
}

impl Processes {
    /// Builds the programs and creates a temporary directory.
    pub fn new() -> Result<Self, Box<dyn Error>> {
        let programs = build_programs()?;
        let dir = std::env::temp_dir().join(format!("mimosapass-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let children = Children::default();
        children.kill_on_signal()?;
        Ok(Self { programs, children, dir })
    }

    /// Starts a stand-in and returns its address.
    pub fn start_standin(
        &self,
        kind: &str,
        options: &[&str],
    ) -> Result<SocketAddr, Box<dyn Error>> {
        let mut child = Command::new(&self.programs.standin)
            .args([kind, "127.0.0.1:0"])
            .args(options)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or("stand-in has no standard output")?;
        self.children.add(child);
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        Ok(line.trim().parse()?)
    }

    /// Starts an instance and returns its process id.
    pub fn start_instance(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        platform: SocketAddr,
    ) -> Result<u32, Box<dyn Error>> {
        let text = format!(
            "name: {name}\nzone: {zone}\nplatform: {platform}\nlisten:\n  \
             callers: {ip}:8080\n  peers: {ip}:8081\n  operators: {ip}:8082\n"
        );
        let file = self.dir.join(format!("{name}.yaml"));
        fs::write(&file, text)?;
        let level = std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned());
        let child = Command::new(&self.programs.daemon)
            .args(["serve", "--config"])
            .arg(&file)
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .spawn()?;
        let pid = child.id();
        self.children.add(child);
        Ok(pid)
    }

    /// Applies a configuration file with the operator tool.
    pub fn apply(&self, platform: SocketAddr, config: &Path) -> Result<(), Box<dyn Error>> {
        let applied = Command::new(&self.programs.operator)
            .args(["apply", "--author", "example", "--platform", &platform.to_string()])
            .arg(config)
            .status()?;
        if applied.success() { Ok(()) } else { Err("the configuration was rejected".into()) }
    }
}

/// Returns a loopback address that other concurrent runs do not use.
///
/// It is derived from the process id.
pub fn loopback(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, (pid / 250 % 250 + 1) as u8, (pid % 250 + 1) as u8, number + 1)
}

/// Sends the list of instances and targets to the platform.
pub fn publish_members(platform: SocketAddr, members: &[Value]) -> Result<(), Box<dyn Error>> {
    agent().put(format!("http://{platform}/instances")).send_json(members)?;
    Ok(())
}

/// Returns a list entry for an instance or a target.
pub fn member(name: &str, role: &str, zone: &str, addr: SocketAddr, kind: &str) -> Value {
    json!({"name": name, "role": role, "zone": zone, "addr": addr, "labels": {"kind": kind}})
}

/// Returns an HTTP client that does not treat error statuses as errors.
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .proxy(None)
        .build()
        .new_agent()
}
