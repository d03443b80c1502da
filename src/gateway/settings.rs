//! Settings of a gateway, read from a YAML file and checked as a whole.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mimosapass_core::config::Fault;
use mimosapass_core::edge::retry::RetryLimits;
use mimosapass_operator::yaml::{self, Faults};
use serde::Deserialize;

/// Longest time that a setting may state, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;
/// Least memory in which a gateway runs, in megabytes.
const LEAST_MEMORY: usize = 64;

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    zone: String,
    listen: Listen,
    store: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    stop: Stop,
    #[serde(default)]
    repeats: Repeats,
    #[serde(default = "memory_mb")]
    memory_mb: usize,
}

/// Addresses on which a gateway listens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, HTTP.
    pub callers: SocketAddr,
    /// For the balancer, which asks whether the instance is ready.
    pub ready: SocketAddr,
    /// For other instances, TCP and UDP.
    pub peers: SocketAddr,
    /// For operators: metrics and status pages, HTTP.
    pub metrics: SocketAddr,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct Stop {
    limit_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { limit_ms: 8_000 }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct Repeats {
    ratio: f64,
    slack: f64,
    window_ms: u64,
}

impl Default for Repeats {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 100.0, window_ms: 10_000 }
    }
}

fn memory_mb() -> usize {
    256
}

/// Checked settings of one gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of a few instances; their ports may be those of another use.
    pub seeds: Vec<SocketAddr>,
    /// Time after which the process is killed once it was asked to stop.
    pub stop_limit: Duration,
    /// Bounds on repeats of all instances.
    pub repeats: RetryLimits,
    /// Memory of the machine, in megabytes.
    pub memory_mb: usize,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Lists every fault that was found.
pub fn load(path: &Path) -> Result<Settings, Faults> {
    let File { name, zone, listen, store, seeds, stop, repeats, memory_mb } =
        yaml::load(path, check)?;
    Ok(Settings {
        name,
        zone,
        listen,
        store,
        seeds,
        stop_limit: Duration::from_millis(stop.limit_ms),
        repeats: RetryLimits {
            ratio: repeats.ratio,
            slack: repeats.slack,
            window: Duration::from_millis(repeats.window_ms),
        },
        memory_mb,
    })
}

fn check(file: &File) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut need = |holds: bool, path: &str, text: &str| {
        if !holds {
            faults.push(Fault { path: path.to_owned(), text: text.to_owned() });
        }
    };
    need(!file.name.is_empty(), "name", "write the name of the instance");
    need(!file.zone.is_empty(), "zone", "write the availability zone");
    let Listen { callers, ready, peers, metrics } = file.listen;
    need(callers != ready, "listen.ready", "it is the address for callers; write another");
    need(
        metrics != callers && metrics != ready && metrics != peers,
        "listen.metrics",
        "another side listens on this address; write another",
    );
    need(!peers.ip().is_unspecified(), "listen.peers", "write the address that peers reach");
    need(file.store.port() > 0, "store", "write the port of the store");
    let times =
        [("stop.limit_ms", file.stop.limit_ms), ("repeats.window_ms", file.repeats.window_ms)];
    for (path, time) in times {
        need((1..=LONGEST_MS).contains(&time), path, "write milliseconds, 1 to 3600000");
    }
    need((0.0..=10.0).contains(&file.repeats.ratio), "repeats.ratio", "write 0 to 10");
    need((0.0..=1e6).contains(&file.repeats.slack), "repeats.slack", "write 0 to 1000000");
    need(file.memory_mb >= LEAST_MEMORY, "memory_mb", "write megabytes, 64 or more");
    faults
}
