//! Settings of one instance, read from a YAML file and checked as a whole.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

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
#[derive(Clone, Debug, Deserialize, PartialEq)]
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
    connections: usize,
}

impl Default for Callers {
    fn default() -> Self {
        let limits = mimosapass_caller::server::Limits::default();
        Self {
            head_ms: limits.head_time.as_millis() as u64,
            body_ms: limits.body_time.as_millis() as u64,
            idle_ms: limits.idle_time.as_millis() as u64,
            write_ms: limits.write_time.as_millis() as u64,
            body_bytes: limits.body_bytes,
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
    pub limits: mimosapass_caller::server::Limits,
    /// Times of claims on the memory of engines.
    pub claims: Claims,
}

/// Faults in a settings file, one a line, each with file and line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults(pub Vec<String>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Lists every fault that was found.
pub fn load(path: &Path) -> Result<Settings, Faults> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Faults(vec![format!("{}: {e}", path.display())]))?;
    parse(&text)
        .map_err(|f| Faults(f.0.iter().map(|l| format!("{}: {l}", path.display())).collect()))
}

fn parse(text: &str) -> Result<Settings, Faults> {
    let file: File = serde_saphyr::from_str(text).map_err(|e| Faults(vec![e.to_string()]))?;
    let faults = check(&file);
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    let limits = mimosapass_caller::server::Limits {
        head_time: Duration::from_millis(file.callers.head_ms),
        body_time: Duration::from_millis(file.callers.body_ms),
        idle_time: Duration::from_millis(file.callers.idle_ms),
        write_time: Duration::from_millis(file.callers.write_ms),
        body_bytes: file.callers.body_bytes,
        connections: file.callers.connections,
        ..mimosapass_caller::server::Limits::default()
    };
    Ok(Settings {
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
    })
}

fn check(file: &File) -> Vec<String> {
    let mut faults = Vec::new();
    let mut need = |holds: bool, text: &str| {
        if !holds {
            faults.push(text.to_owned());
        }
    };
    need(!file.name.is_empty(), "name: it is empty; write a name unique in the fleet");
    need(!file.zone.is_empty(), "zone: it is empty; write the availability zone");
    need(file.stop.limit_ms >= file.stop.notice_ms, "stop.limit_ms: write at least `notice_ms`");
    need(file.callers.head_ms > 0, "callers.head_ms: write 1 or more");
    need(file.callers.body_ms > 0, "callers.body_ms: write 1 or more");
    need(file.callers.idle_ms > 0, "callers.idle_ms: write 1 or more");
    need(file.callers.write_ms > 0, "callers.write_ms: write 1 or more");
    need(file.claims.period_ms > 0, "claims.period_ms: write 1 or more");
    let lasting = file.claims.expiry_ms / 3 >= file.claims.period_ms;
    need(lasting, "claims.expiry_ms: write at least three times `period_ms`");
    need(file.callers.connections > 0, "callers.connections: write 1 or more");
    faults
}
