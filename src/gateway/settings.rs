//! Settings of a gateway: reads a YAML file and reports all its faults.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mimosapass_core::config::Fault;
use mimosapass_core::edge::pricing::Pricing;
use mimosapass_core::edge::retry::RetryLimits;
use mimosapass_operator::yaml::{self, Faults};
use serde::Deserialize;

/// Largest value of a setting in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;
/// Smallest memory in which a gateway runs.
const MIN_MEMORY_MB: usize = 64;
/// Smallest and largest processor share of a machine, in cores.
const MIN_CORES: f64 = 0.001;
const MAX_CORES: f64 = 1024.0;

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
    #[serde(default = "default_memory_mb")]
    memory_mb: usize,
    #[serde(default = "default_cores")]
    cores: f64,
    #[serde(default)]
    pricing: PricingName,
    #[serde(default)]
    costs: Costs,
}

/// What the costs of requests and the speeds of targets are taken from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Costs {
    /// From what callers and operators state.
    #[default]
    Stated,
    /// From what was seen.
    Learned,
}

/// How the price of engine time is found.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum PricingName {
    #[default]
    Backlog,
    Learned,
}

impl From<PricingName> for Pricing {
    fn from(name: PricingName) -> Self {
        match name {
            PricingName::Backlog => Self::Backlog,
            PricingName::Learned => Self::Learned,
        }
    }
}

/// Addresses on which a gateway listens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers: HTTP.
    pub callers: SocketAddr,
    /// For the load balancer: readiness checks, HTTP.
    pub ready: SocketAddr,
    /// For other instances: TCP and UDP.
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
    first_start: bool,
}

impl Default for Repeats {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 100.0, window_ms: 10_000, first_start: false }
    }
}

fn default_memory_mb() -> usize {
    256
}

fn default_cores() -> f64 {
    1.0
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
    /// Addresses of a few instances; only their IP addresses are used.
    pub seeds: Vec<SocketAddr>,
    /// Time from the stop signal until the process is killed.
    pub stop_limit: Duration,
    /// Limits on retries, shared by all instances.
    pub retry_limits: RetryLimits,
    /// Whether no instance ran before the fleet that this one starts with.
    pub first_start: bool,
    /// Memory of the machine, in megabytes.
    pub memory_mb: usize,
    /// Processor share of the machine, in thousandths of a core; 1 or more.
    pub capacity: u32,
    /// How the price of engine time is found.
    pub pricing: Pricing,
    /// What costs of requests and speeds of targets are taken from.
    pub costs: Costs,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns every fault found.
pub fn load(path: &Path) -> Result<Settings, Faults> {
    let File { name, zone, listen, store, seeds, stop, repeats, memory_mb, cores, pricing, costs } =
        yaml::load(path, check)?;
    Ok(Settings {
        name,
        zone,
        listen,
        store,
        seeds,
        stop_limit: Duration::from_millis(stop.limit_ms),
        retry_limits: RetryLimits {
            ratio: repeats.ratio,
            slack: repeats.slack,
            window: Duration::from_millis(repeats.window_ms),
        },
        first_start: repeats.first_start,
        memory_mb,
        capacity: (cores * 1000.0) as u32,
        pricing: pricing.into(),
        costs,
    })
}

fn check(file: &File) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut require = |holds: bool, path: &str, text: &str| {
        if !holds {
            faults.push(Fault { path: path.to_owned(), text: text.to_owned() });
        }
    };
    require(!file.name.is_empty(), "name", "write the name of the instance");
    require(!file.zone.is_empty(), "zone", "write the availability zone");
    let Listen { callers, ready, peers, metrics } = file.listen;
    require(callers != ready, "listen.ready", "it equals listen.callers; write another address");
    require(
        metrics != callers && metrics != ready && metrics != peers,
        "listen.metrics",
        "it equals another listen address; write another address",
    );
    require(!peers.ip().is_unspecified(), "listen.peers", "write the address that peers reach");
    require(file.store.port() > 0, "store", "write the port of the store");
    let times =
        [("stop.limit_ms", file.stop.limit_ms), ("repeats.window_ms", file.repeats.window_ms)];
    for (path, time) in times {
        require((1..=MAX_TIME_MS).contains(&time), path, "write milliseconds, 1 to 3600000");
    }
    require((0.0..=10.0).contains(&file.repeats.ratio), "repeats.ratio", "write 0 to 10");
    require((0.0..=1e6).contains(&file.repeats.slack), "repeats.slack", "write 0 to 1000000");
    require(file.memory_mb >= MIN_MEMORY_MB, "memory_mb", "write megabytes, 64 or more");
    let cores = MIN_CORES..=MAX_CORES;
    require(cores.contains(&file.cores), "cores", "write processor cores, 0.001 to 1024");
    faults
}
