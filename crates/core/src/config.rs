//! The operators' configuration: pools, models, classes, workspaces, services.
//!
//! This document is the operators' only means of control. It is validated as a
//! whole before it is accepted; every fault is listed with its path.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, ModelId, PoolId, TargetId, WorkspaceId};
use crate::labels::{Labels, Selector};

/// Kind of target that a pool holds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// Engine that serves models.
    #[default]
    Engine,
    /// Service without models.
    Service,
}

/// The whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Models that callers may name.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Pools of targets.
    pub pools: Vec<Pool>,
    /// Classes of work; the first that accepts a request is used.
    pub classes: Vec<Class>,
    /// Services that callers may name.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Workspaces that may send requests.
    pub workspaces: Vec<Workspace>,
    /// Targets whose labels the operators override.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// Selectors of targets that receive no new requests.
    #[serde(default)]
    pub drained: Vec<Selector>,
}

/// A model with the version and adapters that engines should load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    pub name: ModelId,
    /// Version of the weights.
    #[serde(default)]
    pub version: String,
    /// Names of adapters that callers may use as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A pool: the targets whose labels match, and the models they serve.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolId,
    /// Kind of its targets.
    #[serde(default)]
    pub kind: TargetKind,
    /// Labels of the pool, matched by the selectors of classes.
    #[serde(default)]
    pub labels: Labels,
    /// Selector over the labels of targets.
    #[serde(default)]
    pub select: Selector,
    /// Models that its engines serve.
    #[serde(default)]
    pub models: Vec<ModelId>,
}

/// Which requests a class accepts; an empty list accepts all.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Accept {
    /// Models.
    pub models: Vec<ModelId>,
    /// Services.
    pub services: Vec<String>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceId>,
    /// Labels of the workspace.
    pub labels: Selector,
    /// Shortest prompt, in tokens.
    pub min_tokens: Option<u64>,
    /// Longest prompt, in tokens.
    pub max_tokens: Option<u64>,
}

/// A class of work: accepted requests, usable pools and promised latency.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: ClassId,
    /// Requests that it accepts.
    #[serde(default)]
    pub accept: Accept,
    /// Selector over the labels of pools.
    #[serde(default)]
    pub select: Selector,
    /// Priority, 0 to 100; higher is served first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Promised time to first token, in milliseconds.
    pub promise_ms: u64,
    /// Deadline of a request whose caller states none, in milliseconds.
    pub deadline_ms: u64,
    /// Whether requests may be repeated; if absent, the HTTP method decides.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Maximum number of requests waiting on one instance.
    #[serde(default = "default_queue")]
    pub queue: usize,
}

fn default_priority() -> u8 {
    50
}

fn default_queue() -> usize {
    256
}

impl Class {
    /// Returns the promised time to first token.
    pub fn promise(&self) -> Duration {
        Duration::from_millis(self.promise_ms)
    }

    /// Returns the deadline of a request whose caller states none.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A service, reached under `/services/NAME/`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name as it appears in the path.
    pub name: String,
    /// Pool whose targets offer the service.
    pub pool: PoolId,
}

/// A workspace and its limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Labels, matched by classes.
    #[serde(default)]
    pub labels: Labels,
    /// Weight of the workspace among waiting requests, 1 to 1000.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Maximum number of requests in flight on one instance.
    #[serde(default = "default_flight")]
    pub in_flight: usize,
}

fn default_share() -> u32 {
    1
}

fn default_flight() -> usize {
    512
}

/// Operators' overrides for one target.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name in the platform's list.
    pub name: TargetId,
    /// Labels that override those of the platform's list.
    #[serde(default)]
    pub labels: Labels,
}

/// One fault in a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Position in the document, such as `classes[2].select`.
    pub path: String,
    /// What is wrong and what to write instead.
    pub text: String,
}

impl Config {
    /// Returns the model of that name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| m.name.as_ref() == name)
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the workspace of that name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| w.name.as_ref() == name)
    }

    /// Returns the engine pools of a class that serve `model`.
    pub fn pools_for<'a>(
        &'a self,
        class: &'a Class,
        model: &'a str,
    ) -> impl Iterator<Item = &'a Pool> + 'a {
        self.pools.iter().filter(move |p| {
            p.kind == TargetKind::Engine
                && crate::labels::matches(&class.select, &p.labels)
                && p.models.iter().any(|m| m.as_ref() == model)
        })
    }
}
