//! Settings of one instance, read from a YAML file and checked as a whole.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mimosapass_caller::server::Limits;
use mimosapass_core::config::Fault;
use mimosapass_operator::yaml::{self, Faults};
use serde::Deserialize;

use crate::trace::Export;

/// Longest wait that a setting may state, in milliseconds.
const LONGEST_WAIT: u64 = 3_600_000;
/// Longest planned stop, in milliseconds.
const LONGEST_STOP: u64 = 86_400_000;
/// Least limit of a body, in bytes.
const SMALLEST_BODY: usize = 1024;
/// Largest limit of a body, in bytes.
const LARGEST_BODY: usize = 256 * 1024 * 1024;
/// Largest limit of all bodies together, in bytes.
const LARGEST_BODIES: usize = 64 * 1024 * 1024 * 1024;
/// Most connections that a setting may state.
const MOST_CONNECTIONS: usize = 65_536;
/// Longest name, in bytes.
const LONGEST_NAME: usize = 64;
/// What to write as a name.
const NAME: &str = "write 1 to 64 letters, digits, `-`, `_`, `.` or `:`";

/// Settings as they stand in the file.
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
    /// For callers, HTTP.
    pub callers: SocketAddr,
    /// For other instances, TCP.
    pub peers: SocketAddr,
    /// For operators, HTTP.
    pub operators: SocketAddr,
}

/// How the instance stops.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct Stop {
    notice_ms: u64,
    limit_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { notice_ms: 3_000, limit_ms: 600_000 }
    }
}

/// How claims on the memory of engines are renewed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct ClaimTimes {
    period_ms: u64,
    expiry_ms: u64,
}

impl Default for ClaimTimes {
    fn default() -> Self {
        Self { period_ms: 10_000, expiry_ms: 30_000 }
    }
}

/// Times of claims on the memory of engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claims {
    /// Time between two renewals.
    pub period: Duration,
    /// Time after which an engine may free what was not renewed.
    pub expiry: Duration,
}

/// Bounds on callers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct Callers {
    head_ms: u64,
    body_ms: u64,
    idle_ms: u64,
    write_ms: u64,
    body_bytes: usize,
    bodies_bytes: usize,
    connections: usize,
}

impl Default for Callers {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            head_ms: limits.head_timeout.as_millis() as u64,
            body_ms: limits.body_timeout.as_millis() as u64,
            idle_ms: limits.idle_timeout.as_millis() as u64,
            write_ms: limits.write_timeout.as_millis() as u64,
            body_bytes: limits.body_bytes,
            bodies_bytes: limits.bodies_bytes,
            connections: limits.connections,
        }
    }
}

/// Checked settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of peers to ask when the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Time between the notice that it leaves and the end of accepting.
    pub notice: Duration,
    /// Longest time for a planned stop.
    pub stop_limit: Duration,
    /// Bounds on callers.
    pub limits: Limits,
    /// Where trace spans go.
    pub trace: Export,
    /// Times of claims on the memory of engines.
    pub claims: Claims,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Lists every fault that was found.
pub fn load(path: &Path) -> Result<Settings, Faults> {
    yaml::load(path, check).map(settings)
}

fn settings(file: File) -> Settings {
    let limits = Limits {
        head_timeout: Duration::from_millis(file.callers.head_ms),
        body_timeout: Duration::from_millis(file.callers.body_ms),
        idle_timeout: Duration::from_millis(file.callers.idle_ms),
        write_timeout: Duration::from_millis(file.callers.write_ms),
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
        notice: Duration::from_millis(file.stop.notice_ms),
        stop_limit: Duration::from_millis(file.stop.limit_ms),
        limits,
        claims: Claims {
            period: Duration::from_millis(file.claims.period_ms),
            expiry: Duration::from_millis(file.claims.expiry_ms),
        },
        trace: file.trace,
    }
}

fn check(file: &File) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut need = |holds: bool, path: &str, text: &str| {
        if !holds {
            faults.push(Fault { path: path.to_owned(), text: text.to_owned() });
        }
    };
    need(named(&file.name), "name", NAME);
    need(named(&file.zone), "zone", NAME);
    let Listen { callers, peers, operators } = &file.listen;
    need(callers != peers, "listen.peers", "it is the address for callers; write another");
    need(
        operators != callers && operators != peers,
        "listen.operators",
        "another side listens on this address; write another",
    );
    need(!peers.ip().is_unspecified(), "listen.peers", "write the address that peers reach");
    need(file.platform.port() > 0, "platform", "write the port of the platform");
    need(!file.seeds.contains(peers), "seeds", "this instance is among them; remove it");
    check_times(file, need);
    faults
}

fn check_times(file: &File, mut need: impl FnMut(bool, &str, &str)) {
    let times = [
        ("callers.head_ms", file.callers.head_ms),
        ("callers.body_ms", file.callers.body_ms),
        ("callers.idle_ms", file.callers.idle_ms),
        ("callers.write_ms", file.callers.write_ms),
    ];
    for (path, time) in times {
        need((1..=LONGEST_WAIT).contains(&time), path, "write milliseconds, 1 to 3600000");
    }
    let ClaimTimes { period_ms, expiry_ms } = file.claims;
    need((1..=LONGEST_WAIT).contains(&period_ms), "claims.period_ms", "write 1 to 3600000");
    need(
        expiry_ms / 3 >= period_ms && expiry_ms <= LONGEST_WAIT,
        "claims.expiry_ms",
        "write milliseconds, from three times `period_ms` to 3600000",
    );
    let Stop { notice_ms, limit_ms } = file.stop;
    need(notice_ms <= LONGEST_WAIT, "stop.notice_ms", "write milliseconds, 0 to 3600000");
    need(
        (notice_ms.max(1)..=LONGEST_STOP).contains(&limit_ms),
        "stop.limit_ms",
        "write milliseconds, from `notice_ms` to 86400000",
    );
    need(
        (SMALLEST_BODY..=LARGEST_BODY).contains(&file.callers.body_bytes),
        "callers.body_bytes",
        "write bytes, 1024 to 268435456",
    );
    need(
        (file.callers.body_bytes..=LARGEST_BODIES).contains(&file.callers.bodies_bytes),
        "callers.bodies_bytes",
        "write bytes, from `body_bytes` to 68719476736",
    );
    need(
        (1..=MOST_CONNECTIONS).contains(&file.callers.connections),
        "callers.connections",
        "write 1 to 65536",
    );
}

/// Returns whether a text can be a name in headers, metrics and keys.
fn named(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    (1..=LONGEST_NAME).contains(&text.len()) && text.bytes().all(plain)
}
