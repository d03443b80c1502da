//! What the configuration wants each engine to carry.
//!
//! An order states the whole goal and no step towards it, so that it may be
//! repeated, and what an engine carries can be compared with it.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::config::{Config, TargetKind};
use crate::ids::ModelId;
use crate::labels::{Labels, matches};
use crate::pace::Bucket;

/// Label of a pool that names the role of its engines.
pub const ROLE: &str = "role";
/// Orders a second that make engines of the whole fleet load weights.
pub const FLEET_LOADS_PER_S: f64 = 2.0;
/// Such orders that one zone may give at once after a quiet time.
const BURST: f64 = 1.0;

/// Version and adapters of a model on an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Version of the weights.
    pub version: String,
    /// Names of the adapters, sorted.
    pub adapters: Vec<String>,
}

/// What an engine carries, or should.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DesiredState {
    /// Models by name.
    pub models: BTreeMap<ModelId, LoadedModel>,
    /// Role, empty for none.
    pub role: String,
}

impl DesiredState {
    /// Returns whether an engine with `carried` must load weights for this.
    pub fn needs_load(&self, carried: &Self) -> bool {
        self.models.iter().any(|(name, wanted)| carried.models.get(name) != Some(wanted))
    }
}

/// Returns the goal of an engine with `labels`; `None` where no pool has it.
pub fn desired_state(config: &Config, labels: &Labels) -> Option<DesiredState> {
    let mut pools = config
        .pools
        .iter()
        .filter(|p| p.kind == TargetKind::Engine && matches(&p.select, labels))
        .peekable();
    pools.peek()?;
    let mut goal = DesiredState::default();
    for pool in pools {
        if let Some(role) = pool.labels.get(ROLE) {
            role.clone_into(&mut goal.role);
        }
        for model in pool.models.iter().filter_map(|name| config.model(name)) {
            let mut adapters = model.adapters.clone();
            adapters.sort();
            let loaded = LoadedModel { version: model.version.clone(), adapters };
            goal.models.insert(ModelId::clone(&model.name), loaded);
        }
    }
    Some(goal)
}

/// Returns one zone's share of the weight store's rate.
pub fn zone_bucket(zones: usize, now: Instant) -> Bucket {
    Bucket::new(FLEET_LOADS_PER_S / zones.max(1) as f64, BURST, now)
}
