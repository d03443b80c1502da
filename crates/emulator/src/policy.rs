//! Placement policies: the gateway's own, and two baselines that ignore lengths.

use std::sync::Arc;
use std::time::Instant;

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::learning::Learning;
use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::placement::Placement;
use mimosapass_core::edge::pricing::Pricing;
use mimosapass_core::edge::schedule::{Grant, Requirements, Scheduler};
use rand::RngExt;
use rand::rngs::StdRng;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The engine with the fewest requests in flight.
    LeastInFlight,
    /// The one of two random engines with fewer requests in flight.
    TwoChoices,
    /// The gateway's own decision.
    Mimosapass,
    /// The same without what is learned of costs and speeds.
    StatedCosts,
    /// The same as that with a price by the backlog of engines.
    BacklogPrice,
}

/// All policies, the gateway's own last.
pub const ALL_POLICIES: [Policy; 3] =
    [Policy::LeastInFlight, Policy::TwoChoices, Policy::Mimosapass];

impl Policy {
    /// Returns whether requests wait in the gateway's own queue.
    pub fn queues(self) -> bool {
        matches!(self, Self::Mimosapass | Self::StatedCosts | Self::BacklogPrice)
    }

    /// Returns how the price of engine time is found.
    pub fn pricing(self) -> Pricing {
        if self == Self::BacklogPrice { Pricing::Backlog } else { Pricing::Learned }
    }

    /// Returns what a scheduler starts to learn with, if it learns.
    pub fn learning(self) -> Option<Learning> {
        (self == Self::Mimosapass).then(Learning::default)
    }

    /// Returns the name that tables show.
    pub fn name(self) -> &'static str {
        match self {
            Self::LeastInFlight => "least in flight",
            Self::TwoChoices => "two choices",
            Self::Mimosapass => "mimosapass",
            Self::StatedCosts => "stated costs",
            Self::BacklogPrice => "price by backlog",
        }
    }
}

/// Places a request by a baseline policy; `None` when no engine has room.
///
/// A baseline sees the same requests in flight as the gateway's own decision, and
/// avoids failing engines in the same way.
pub fn baseline(
    policy: Policy,
    scheduler: &mut Scheduler,
    requirements: &Requirements,
    id: RequestNumber,
    now: Instant,
    rng: &mut StdRng,
) -> Option<Grant> {
    let engine = requirements.engine.as_ref();
    let memory_tokens = requirements.prompt + requirements.answer;
    let prediction = |t: &Target| scheduler.load.predict(&t.id, engine, now);
    let fits = |t: &&Arc<Target>| {
        let load = prediction(t);
        load.requests < t.slots as usize
            && engine.is_none_or(|e| load.memory_tokens + memory_tokens <= e.memory_tokens)
    };
    let usable: Vec<&Arc<Target>> = scheduler
        .fleet
        .serving(&requirements.service)
        .filter(|t| {
            !scheduler.outcomes.is_avoided(&t.id, now) && !requirements.avoid.contains(&t.id)
        })
        .filter(fits)
        .collect();
    if usable.is_empty() {
        return None;
    }
    let random = |rng: &mut StdRng| usable[rng.random_range(0..usable.len())];
    let considered = match policy {
        Policy::TwoChoices => vec![random(rng), random(rng)],
        Policy::LeastInFlight | Policy::Mimosapass | Policy::StatedCosts | Policy::BacklogPrice => {
            let start = rng.random_range(0..usable.len());
            let (back, front) = usable.split_at(start);
            front.iter().chain(back).copied().collect()
        }
    };
    let target = Arc::clone(considered.into_iter().min_by_key(|t| prediction(t).requests)?);
    let estimate = requirements.entry.work;
    let placement = Placement {
        target,
        helpers: Vec::new(),
        memory_tokens,
        first_event: estimate,
        loss: 0.0,
        interference: 0.0,
    };
    Some(scheduler.grant(id, requirements, placement, now))
}
