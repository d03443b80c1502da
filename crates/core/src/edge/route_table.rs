//! Routes, services and workspaces of one configuration version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::edge::cost::Engine;
use crate::ids::WorkspaceId;

/// Name of a service.
pub type ServiceId = Arc<str>;

/// Whether requests of a route may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
}

/// A service of a route, and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route, 0 or more.
    pub weight: f64,
}

/// A route, as configured by the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Value of the `Host` header, in lower case.
    pub host: String,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Time limit of a request.
    pub timeout: Duration,
    /// Time within which the answer, or its first event, is on time.
    pub latency_goal: Duration,
    /// Longest pause between events of an answer that is on time.
    pub max_gap: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights; never empty.
    pub split: Vec<WeightedService>,
    /// Most targets to which one request may be sent; at least 1.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

/// A service to which routes send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Path of its health check.
    pub health_path: String,
    /// Most connections to one target from all instances together.
    pub max_connections: u32,
    /// Cost model, if its targets are engines.
    pub engine: Option<Engine>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Time to receive the whole head.
    pub head_time: Duration,
    /// Time for which a kept-alive connection may be idle.
    pub idle_time: Duration,
}

/// Holder of API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceId,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
}

/// Routes, services and workspaces of one configuration version, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Configuration version; 0 if there is none.
    pub version: u64,
    /// Whether requests to routes that are not public need an API key.
    pub requires_key: bool,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Arc<Service>>,
    keys: HashMap<String, Arc<Workspace>>,
    gaps: HashMap<ServiceId, Duration>,
    /// Limits on callers, if configured.
    pub limits: Option<CallerLimits>,
}

impl RouteTable {
    /// Builds the index of a version.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        let mut gaps: HashMap<ServiceId, Duration> = HashMap::new();
        for route in hosts.values().flatten().filter(|r| r.streaming) {
            for share in &route.split {
                let gap = gaps.entry(ServiceId::clone(&share.service)).or_insert(route.max_gap);
                *gap = route.max_gap.min(*gap);
            }
        }
        for routes in hosts.values_mut() {
            // The longest prefix wins, so it comes first.
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services =
            services.into_iter().map(|s| (ServiceId::clone(&s.name), Arc::new(s))).collect();
        Self { version, hosts, services, gaps, ..Self::default() }
    }

    /// Adds a workspace with its keys; from then on requests need a key.
    pub fn add_workspace(&mut self, workspace: Workspace, keys: Vec<String>) {
        self.requires_key = true;
        let workspace = Arc::new(workspace);
        for key in keys {
            self.keys.insert(key, Arc::clone(&workspace));
        }
    }

    /// Returns the route of a request; `host` may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        self.hosts.get(&name)?.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the cost model of a service, if its targets are engines.
    pub fn engine(&self, service: &str) -> Option<Engine> {
        self.service(service).and_then(|s| s.engine)
    }

    /// Returns the smallest gap that any stream of the service allows.
    pub fn strictest_gap(&self, service: &str) -> Duration {
        self.gaps.get(service).copied().unwrap_or_default()
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the workspace that holds the key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }
}

impl Route {
    /// Chooses a service by weight; `draw` is from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.split.iter().map(|s| s.weight).sum();
        let mut left = draw.clamp(0.0, 1.0) * total;
        for share in self.split.iter().filter(|s| s.weight > 0.0) {
            left -= share.weight;
            if left <= 0.0 {
                return Some(&share.service);
            }
        }
        self.split.iter().rfind(|s| s.weight > 0.0).map(|s| &s.service)
    }
}
