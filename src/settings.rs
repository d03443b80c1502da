//! Settings of one instance, read from a YAML file and checked completely.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mimosapass_caller::server::Limits;
use mimosapass_core::config::Fault;
use mimosapass_core::figure::millis;
use mimosapass_operator::yaml::{self, Faults, Loaded};
use serde::Deserialize;

use crate::trace::Export;

/// Maximum time limit in the settings, in milliseconds.
const MAX_TIME_MS: f64 = 3_600_000.0;
/// Maximum time limit of a graceful shutdown, in milliseconds.
const MAX_STOP_MS: f64 = 86_400_000.0;
/// Minimum size limit of a body.
const MIN_BODY_BYTES: usize = 1024;
/// Maximum size limit of a body.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;
/// Maximum size limit of all bodies together.
const MAX_BODIES_BYTES: usize = 64 * 1024 * 1024 * 1024;
/// Maximum limit of connections.
const MAX_CONNECTIONS: usize = 65_536;
/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;
/// Error text for an invalid name.
const NAME_RULE: &str = "write 1 to 64 letters, digits, `-`, `_`, `.` or `:`";

/// Settings as written in the file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    zone: String,
    listen: Listen,
    platform: SocketAddr,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    stop: Stop,
    #[serde(default)]
    callers: Callers,
    #[serde(default)]
    claims: ClaimTimes,
    #[serde(default)]
    trace: Export,
}

/// Addresses on which the instance listens.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// TCP address for other instances.
    pub peers: SocketAddr,
    /// HTTP address for operators.
    pub operators: SocketAddr,
}

/// Graceful shutdown.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct Stop {
    notice_ms: f64,
    limit_ms: f64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { notice_ms: 3_000.0, limit_ms: 600_000.0 }
    }
}

/// Renewal and expiry of claims on engine memory.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct ClaimTimes {
    period_ms: f64,
    expiry_ms: f64,
}

impl Default for ClaimTimes {
    fn default() -> Self {
        Self { period_ms: 10_000.0, expiry_ms: 30_000.0 }
    }
}

/// Renewal and expiry of claims on engine memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claims {
    /// Time between two renewals.
    pub period: Duration,
    /// Time after which memory of a claim that is not renewed may be freed.
    pub expiry: Duration,
}

/// Limits for callers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct Callers {
    head_ms: f64,
    body_ms: f64,
    idle_ms: f64,
    write_ms: f64,
    body_bytes: usize,
    bodies_bytes: usize,
    connections: usize,
}

impl Default for Callers {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            head_ms: limits.head_timeout.as_secs_f64() * 1000.0,
            body_ms: limits.body_timeout.as_secs_f64() * 1000.0,
            idle_ms: limits.idle_timeout.as_secs_f64() * 1000.0,
            write_ms: limits.write_timeout.as_secs_f64() * 1000.0,
            body_bytes: limits.body_bytes,
            bodies_bytes: limits.bodies_bytes,
            connections: limits.connections,
        }
    }
}

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTimes {
    /// Time from announcing it until idle connections are closed.
    pub notice: Duration,
    /// Time limit.
    pub limit: Duration,
}

/// Checked settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of peers to contact if the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Times of a graceful shutdown.
    pub stop: StopTimes,
    /// Limits for callers.
    pub limits: Limits,
    /// Destination of trace spans.
    pub trace: Export,
    /// Renewal and expiry of claims on engine memory.
    pub claims: Claims,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns every fault that was found.
pub fn load(path: &Path) -> Result<Loaded<Settings>, Faults> {
    let Loaded { value, unset } = yaml::load(path, check)?;
    Ok(Loaded { value: settings(value), unset })
}

/// As [`load`], with the text of the file.
///
/// # Errors
///
/// Returns every fault that was found.
pub fn parse(text: &str, path: &Path) -> Result<Loaded<Settings>, Faults> {
    let Loaded { value, unset } = yaml::parse_settings(text, check, path.display().to_string())?;
    Ok(Loaded { value: settings(value), unset })
}

fn settings(file: File) -> Settings {
    let limits = Limits {
        head_timeout: millis(file.callers.head_ms),
        body_timeout: millis(file.callers.body_ms),
        idle_timeout: millis(file.callers.idle_ms),
        write_timeout: millis(file.callers.write_ms),
        body_bytes: file.callers.body_bytes,
        bodies_bytes: file.callers.bodies_bytes,
        connections: file.callers.connections,
        ..Limits::default()
    };
    Settings {
        name: file.name,
        zone: file.zone,
        listen: file.listen,
        platform: file.platform,
        seeds: file.seeds,
        stop: StopTimes { notice: millis(file.stop.notice_ms), limit: millis(file.stop.limit_ms) },
        limits,
        claims: Claims {
            period: millis(file.claims.period_ms),
            expiry: millis(file.claims.expiry_ms),
        },
        trace: file.trace,
    }
}

fn check(file: &File) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut require = |holds: bool, path: &str, text: &str| {
        if !holds {
            faults.push(Fault { path: path.to_owned(), text: text.to_owned() });
        }
    };
    require(is_valid_name(&file.name), "name", NAME_RULE);
    require(is_valid_name(&file.zone), "zone", NAME_RULE);
    let Listen { callers, peers, operators } = &file.listen;
    require(callers != peers, "listen.peers", "it is the address for callers; write another");
    require(
        operators != callers && operators != peers,
        "listen.operators",
        "another listener uses this address; write another",
    );
    require(!peers.ip().is_unspecified(), "listen.peers", "write the address that peers reach");
    require(file.platform.port() > 0, "platform", "write the port of the platform");
    require(!file.seeds.contains(peers), "seeds", "this instance is among them; remove it");
    check_limits(file, require);
    faults
}

fn check_limits(file: &File, mut require: impl FnMut(bool, &str, &str)) {
    let times = [
        ("callers.head_ms", file.callers.head_ms),
        ("callers.body_ms", file.callers.body_ms),
        ("callers.idle_ms", file.callers.idle_ms),
        ("callers.write_ms", file.callers.write_ms),
    ];
    for (path, time) in times {
        require((1.0..=MAX_TIME_MS).contains(&time), path, "write milliseconds, 1 to 3600000");
    }
    let ClaimTimes { period_ms, expiry_ms } = file.claims;
    require((1.0..=MAX_TIME_MS).contains(&period_ms), "claims.period_ms", "write 1 to 3600000");
    require(
        expiry_ms / 3.0 >= period_ms && expiry_ms <= MAX_TIME_MS,
        "claims.expiry_ms",
        "write milliseconds, from three times `period_ms` to 3600000",
    );
    let Stop { notice_ms, limit_ms } = file.stop;
    require(
        (0.0..=MAX_TIME_MS).contains(&notice_ms),
        "stop.notice_ms",
        "write milliseconds, 0 to 3600000",
    );
    require(
        (notice_ms.max(1.0)..=MAX_STOP_MS).contains(&limit_ms),
        "stop.limit_ms",
        "write milliseconds, from `notice_ms` to 86400000",
    );
    require(
        (MIN_BODY_BYTES..=MAX_BODY_BYTES).contains(&file.callers.body_bytes),
        "callers.body_bytes",
        "write bytes, 1024 to 268435456",
    );
    require(
        (file.callers.body_bytes..=MAX_BODIES_BYTES).contains(&file.callers.bodies_bytes),
        "callers.bodies_bytes",
        "write bytes, from `body_bytes` to 68719476736",
    );
    require(
        (1..=MAX_CONNECTIONS).contains(&file.callers.connections),
        "callers.connections",
        "write 1 to 65536",
    );
}

/// Returns whether a text is valid as a name in headers, metrics and keys.
fn is_valid_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}
