//! The product's decision, and two that know no lengths.

use std::sync::Arc;
use std::time::Instant;

use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::place::Placement;
use mimosapass_core::edge::schedule::{Grant, Need, Scheduler};
use rand::RngExt;
use rand::rngs::StdRng;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The engine with the fewest requests.
    LeastInFlight,
    /// The better one of two random engines.
    TwoChoices,
    /// The product's decision.
    Mimosapass,
}

/// All policies, the product's last.
pub const ALL_POLICIES: [Policy; 3] =
    [Policy::LeastInFlight, Policy::TwoChoices, Policy::Mimosapass];

impl Policy {
    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::LeastInFlight => "least in flight",
            Self::TwoChoices => "two choices",
            Self::Mimosapass => "mimosapass",
        }
    }
}

/// Places a request by a policy without lengths; `None` when no engine has room.
///
/// It knows what the product knows of requests in flight, and of engines that fail.
pub fn baseline(
    policy: Policy,
    scheduler: &mut Scheduler,
    need: &Need,
    id: RequestNumber,
    now: Instant,
    rng: &mut StdRng,
) -> Option<Grant> {
    let engine = need.engine.as_ref();
    let memory = need.prompt + need.answer;
    let prediction = |t: &Target| scheduler.load.predict(&t.id, engine, now);
    let fits = |t: &&Arc<Target>| {
        let known = prediction(t);
        known.requests < t.slots as usize
            && engine.is_none_or(|e| known.memory_tokens + memory <= e.memory)
    };
    let usable: Vec<&Arc<Target>> = scheduler
        .fleet
        .serving(&need.service)
        .filter(|t| !scheduler.outcomes.is_avoided(&t.id, now) && !need.avoid.contains(&t.id))
        .filter(fits)
        .collect();
    if usable.is_empty() {
        return None;
    }
    let any = |rng: &mut StdRng| usable[rng.random_range(0..usable.len())];
    let drawn = match policy {
        Policy::TwoChoices => vec![any(rng), any(rng)],
        Policy::LeastInFlight | Policy::Mimosapass => {
            let start = rng.random_range(0..usable.len());
            let (back, front) = usable.split_at(start);
            front.iter().chain(back).copied().collect()
        }
    };
    let target = Arc::clone(drawn.into_iter().min_by_key(|t| prediction(t).requests)?);
    let first = need.waiting.work;
    let place = Placement {
        target,
        helpers: Vec::new(),
        memory,
        first_event: first,
        loss: 0.0,
        interference: 0.0,
    };
    Some(scheduler.grant(id, need, place, now))
}
