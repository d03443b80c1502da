//! Fleet of the quickstart: stand-ins and instances on loopback.

use std::error::Error;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::process::{Processes, agent, loopback, member, publish_members};

/// Availability zones, with one instance in each.
const ZONES: [&str; 3] = ["charguia", "lac-deux", "ben-arous"];
/// Engines in each availability zone.
const ENGINES_PER_ZONE: usize = 2;
/// Prefill rate in tokens per second, token interval in ms, memory in tokens, model.
const ENGINE_OPTIONS: [&str; 4] = ["100000", "5", "400000", "chat"];
/// Longest wait for the fleet to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two checks of readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One instance of mimosapass.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Availability zone.
    pub zone: &'static str,
    /// Address of all its listeners.
    pub ip: Ipv4Addr,
    pid: u32,
}

impl Instance {
    /// Returns the URL of a path on the caller listener.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}:8080/{path}", self.ip)
    }

    /// Reads a JSON page from the operator listener.
    pub fn read_page(&self, path: &str) -> Option<Value> {
        let mut response = agent().get(format!("http://{}:8082/{path}", self.ip)).call().ok()?;
        response.body_mut().read_json().ok()
    }

    /// Kills this instance with SIGKILL.
    pub fn kill(&self) -> Result<(), Box<dyn Error>> {
        let id = self.pid.to_string();
        let killed = Command::new("kill").args(["-KILL", &id]).status()?;
        if killed.success() { Ok(()) } else { Err("kill failed for the instance".into()) }
    }
}

/// The running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Instances, one in each availability zone.
    pub instances: Vec<Instance>,
    processes: Processes,
}

impl Fleet {
    /// Starts all processes, applies the configuration and waits until all are ready.
    pub fn start(processes: Processes) -> Result<Self, Box<dyn Error>> {
        let mut fleet = Self { instances: Vec::new(), processes };
        let platform = fleet.processes.start_standin("platform", &[])?;
        let mut members = fleet.start_targets()?;
        fleet.start_instances(platform)?;
        members.extend(fleet.instances.iter().map(|i| {
            let addr = SocketAddr::new(IpAddr::V4(i.ip), 8081);
            member(&format!("entry-{}", i.zone), "entry", i.zone, addr, "entry")
        }));
        publish_members(platform, &members)?;
        let config = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config/quickstart.yaml");
        fleet.processes.apply(platform, Path::new(config))?;
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Starts the targets and returns their member list entries.
    fn start_targets(&self) -> Result<Vec<Value>, Box<dyn Error>> {
        let service = self.processes.start_standin("service", &[])?;
        let mut members = vec![member("desk-0", "service", ZONES[0], service, "desk")];
        for zone in ZONES {
            for number in 0..ENGINES_PER_ZONE {
                let addr = self.processes.start_standin("engine", &ENGINE_OPTIONS)?;
                members.push(member(&format!("{zone}-{number}"), "engine", zone, addr, "engine"));
            }
        }
        Ok(members)
    }

    fn start_instances(&mut self, platform: SocketAddr) -> Result<(), Box<dyn Error>> {
        for (i, zone) in ZONES.into_iter().enumerate() {
            let ip = loopback(i as u8);
            let name = format!("entry-{zone}");
            let pid = self.processes.start_instance(&name, zone, ip, platform)?;
            self.instances.push(Instance { zone, ip, pid });
        }
        Ok(())
    }

    /// Waits until every instance can use the engines of its zone and the service.
    fn wait_ready(&self) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.instances.iter().all(is_ready) {
            if Instant::now() > deadline {
                return Err(format!("not all instances were ready within {READY_TIMEOUT:?}").into());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

fn is_ready(instance: &Instance) -> bool {
    let Some(status) = instance.read_page("status") else { return false };
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    let open = targets.iter().filter(|t| t["open"] == true);
    let usable = open.filter(|t| t["zone"] == instance.zone || t["name"] == "desk-0").count();
    let service = usize::from(instance.zone != ZONES[0]);
    status["ready"] == true && usable >= ENGINES_PER_ZONE + service
}
