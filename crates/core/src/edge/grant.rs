//! What becomes of a waiting request: a grant of targets, or a refusal.

use std::time::{Duration, Instant};

use crate::edge::load::RequestNumber;
use crate::edge::placement::Placement;
use crate::ids::TargetId;

/// A placement that was assigned; the load of its targets includes the request.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Where the request goes.
    pub placement: Placement,
    /// Number of the request in the load.
    pub id: RequestNumber,
    /// When it was assigned.
    pub at: Instant,
}

impl Grant {
    /// Returns the targets of the placement, starting with the one that decodes.
    pub fn targets(&self) -> Vec<TargetId> {
        let helpers = self.placement.helpers.iter().map(|h| TargetId::clone(&h.target.id));
        std::iter::once(TargetId::clone(&self.placement.target.id)).chain(helpers).collect()
    }
}

/// Why a waiting request is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// It can no longer be served before its caller gives up, or all targets are in evacuated
    /// zones.
    Late,
    /// Engines have requests of more value; carries the pressure, 0 to 1.
    Pressure(f64),
    /// A second of an engine brings more elsewhere; carries that value.
    Price(f64),
    /// All targets state limits, and the requests before it take them up until its caller gives
    /// up; carries the time that these take.
    Limited(Duration),
    /// All targets asked for a pause that ends after its caller gives up; carries the time
    /// until the first one ends.
    Paused(Duration),
}
