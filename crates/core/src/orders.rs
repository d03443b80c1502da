//! Models and role that the configuration assigns to each engine.
//!
//! An order contains the whole desired state rather than a change to it, so
//! that it can be repeated and compared with the state of an engine.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::config::{Config, TargetKind};
use crate::ids::ModelId;
use crate::labels::{Labels, matches};
use crate::pace::Bucket;

/// Label of a pool that names the role of its engines.
pub const ROLE: &str = "role";
/// Rate of orders that load weights, for the whole fleet.
///
/// All engines load from one weight store.
pub const FLEET_LOADS_PER_S: f64 = 2.0;
/// Orders that load weights which one zone may send at once after a pause.
const LOAD_BURST: f64 = 1.0;

/// Version and adapters of a model on an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Version of the weights.
    pub version: String,
    /// Names of the adapters, sorted.
    pub adapters: Vec<String>,
}

/// Models and role that an engine has or should have.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DesiredState {
    /// Models by name.
    pub models: BTreeMap<ModelId, LoadedModel>,
    /// Role, empty for none.
    pub role: String,
}

impl DesiredState {
    /// Returns whether an engine in state `current` must load weights for this.
    pub fn needs_load(&self, current: &Self) -> bool {
        self.models.iter().any(|(name, wanted)| current.models.get(name) != Some(wanted))
    }
}

/// Returns the desired state of an engine, or `None` if no pool selects `labels`.
pub fn desired_state(config: &Config, labels: &Labels) -> Option<DesiredState> {
    let mut pools = config
        .pools
        .iter()
        .filter(|p| p.kind == TargetKind::Engine && matches(&p.select, labels))
        .peekable();
    pools.peek()?;
    let mut desired = DesiredState::default();
    for pool in pools {
        if let Some(role) = pool.labels.get(ROLE) {
            role.clone_into(&mut desired.role);
        }
        for model in pool.models.iter().filter_map(|name| config.model(name)) {
            let mut adapters = model.adapters.clone();
            adapters.sort();
            let loaded = LoadedModel { version: model.version.clone(), adapters };
            desired.models.insert(ModelId::clone(&model.name), loaded);
        }
    }
    Some(desired)
}

/// Returns the rate limit of one of `zones` zones for orders that load weights.
pub fn zone_bucket(zones: usize, now: Instant) -> Bucket {
    Bucket::new(FLEET_LOADS_PER_S / zones.max(1) as f64, LOAD_BURST, now)
}
