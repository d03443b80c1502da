//! Settings of a gateway: reads a YAML file and reports all its faults.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mimosapass_core::config::Fault;
use mimosapass_core::edge::pricing::Pricing;
use mimosapass_core::edge::retry::RetryLimits;
use mimosapass_core::figure;
use mimosapass_operator::yaml::{self, Faults, Loaded};
use serde::Deserialize;

/// Time from the stop signal until the process is killed, unless it is set.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// Window of the limits on retries, unless it is set.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Smallest memory in which a gateway runs, and the largest one that is used, in megabytes.
const MIN_MEMORY_MB: f64 = 64.0;
const MAX_MEMORY_MB: f64 = 16.0 * 1024.0 * 1024.0;
/// Smallest and largest processor share that is told apart, in cores.
const MIN_CORES: f64 = 0.001;
const MAX_CORES: f64 = 1024.0;
/// What to write for a figure that has no upper bound.
const ANY_FIGURE: &str = "write a number, 0 or more";

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
    memory_mb: f64,
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

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct Stop {
    limit_s: Option<f64>,
    limit_ms: Option<f64>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct Repeats {
    ratio: f64,
    slack: f64,
    window_s: Option<f64>,
    window_ms: Option<f64>,
    first_start: bool,
}

impl Default for Repeats {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 100.0, window_s: None, window_ms: None, first_start: false }
    }
}

/// Returns a time that is written in seconds or in milliseconds.
fn time(seconds: Option<f64>, millis: Option<f64>) -> Option<Duration> {
    seconds.map(figure::seconds).or_else(|| millis.map(figure::millis))
}

fn default_memory_mb() -> f64 {
    256.0
}

fn default_cores() -> f64 {
    1.0
}

/// Checked settings of one gateway.
#[derive(Clone, Debug, PartialEq)]
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
pub fn load(path: &Path) -> Result<Loaded<Settings>, Faults> {
    let Loaded { value, unset } = yaml::load(path, check)?;
    Ok(Loaded { value: settings(value), unset })
}

/// As [`load`], with the text of the file.
///
/// # Errors
///
/// Returns every fault found.
pub fn parse(text: &str, path: &Path) -> Result<Loaded<Settings>, Faults> {
    let Loaded { value, unset } = yaml::parse_settings(text, check, path.display().to_string())?;
    Ok(Loaded { value: settings(value), unset })
}

fn settings(file: File) -> Settings {
    let File { name, zone, listen, store, seeds, stop, repeats, memory_mb, cores, pricing, costs } =
        file;
    Settings {
        name,
        zone,
        listen,
        store,
        seeds,
        stop_limit: time(stop.limit_s, stop.limit_ms).unwrap_or(STOP_LIMIT),
        retry_limits: RetryLimits {
            ratio: repeats.ratio,
            slack: repeats.slack,
            window: time(repeats.window_s, repeats.window_ms).unwrap_or(RETRY_WINDOW),
        }
        .enforceable(),
        first_start: repeats.first_start,
        memory_mb: memory_mb.min(MAX_MEMORY_MB) as usize,
        capacity: (cores.clamp(MIN_CORES, MAX_CORES) * 1000.0) as u32,
        pricing: pricing.into(),
        costs,
    }
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
    let Stop { limit_s, limit_ms } = file.stop;
    let Repeats { ratio, slack, window_s, window_ms, .. } = file.repeats;
    require(limit_s.is_none() || limit_ms.is_none(), "stop.limit_ms", "remove it or `limit_s`");
    require(
        window_s.is_none() || window_ms.is_none(),
        "repeats.window_ms",
        "remove it or `window_s`",
    );
    let figures = [
        ("stop.limit_s", limit_s),
        ("stop.limit_ms", limit_ms),
        ("repeats.ratio", Some(ratio)),
        ("repeats.slack", Some(slack)),
        ("repeats.window_s", window_s),
        ("repeats.window_ms", window_ms),
        ("cores", Some(file.cores)),
    ];
    for (path, figure) in figures {
        require(figure.is_none_or(|figure| figure >= 0.0), path, ANY_FIGURE);
    }
    require(file.memory_mb >= MIN_MEMORY_MB, "memory_mb", "write megabytes, 64 or more");
    faults
}
