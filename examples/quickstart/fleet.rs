//! The small fleet of the quickstart.

use std::error::Error;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::process::{Processes, agent, loopback, member, publish};

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

/// One instance of mimosapass.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Availability zone.
    pub zone: &'static str,
    /// Address of the instance.
    pub ip: Ipv4Addr,
    process: u32,
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

    /// Kills this instance without notice.
    pub fn kill(&self) -> Result<(), Box<dyn Error>> {
        let id = self.process.to_string();
        let killed = Command::new("kill").args(["-KILL", &id]).status()?;
        if killed.success() { Ok(()) } else { Err("the instance cannot be killed".into()) }
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
        let platform = fleet.processes.stand_in("platform", &[])?;
        let mut members = fleet.targets()?;
        fleet.serve(platform)?;
        members.extend(fleet.instances.iter().map(|i| {
            let addr = SocketAddr::new(IpAddr::V4(i.ip), 8081);
            member(&format!("entry-{}", i.zone), "entry", i.zone, addr, "entry")
        }));
        publish(platform, &members)?;
        let config = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config/quickstart.yaml");
        fleet.processes.apply(platform, Path::new(config))?;
        fleet.wait()?;
        Ok(fleet)
    }

    /// Starts the targets and returns them as the platform lists them.
    fn targets(&self) -> Result<Vec<Value>, Box<dyn Error>> {
        let desk = self.processes.stand_in("service", &[])?;
        let mut members = vec![member("desk-0", "service", ZONES[0], desk, "desk")];
        for zone in ZONES {
            for number in 0..ENGINES {
                let addr = self.processes.stand_in("engine", &ENGINE)?;
                members.push(member(&format!("{zone}-{number}"), "engine", zone, addr, "engine"));
            }
        }
        Ok(members)
    }

    fn serve(&mut self, platform: SocketAddr) -> Result<(), Box<dyn Error>> {
        for (i, zone) in ZONES.into_iter().enumerate() {
            let ip = loopback(i as u8);
            let name = format!("entry-{zone}");
            let process = self.processes.serve(&name, zone, ip, platform)?;
            self.instances.push(Instance { zone, ip, process });
        }
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
