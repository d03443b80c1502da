//! Routing policies to compare: that of mimosapass and baselines without lengths.

use std::time::Instant;

use mimosapass_core::route::{RouteQuery, can_serve};
use mimosapass_core::target_table::{TargetState, TargetTable};
use rand::RngExt;
use rand::rngs::StdRng;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    Random,
    RoundRobin,
    LeastInFlight,
    TwoChoices,
    Mimosapass,
}

/// All policies, that of mimosapass last.
pub const ALL: [Policy; 5] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
    Policy::Mimosapass,
];

impl Policy {
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least in flight",
            Self::TwoChoices => "two choices",
            Self::Mimosapass => "mimosapass",
        }
    }
}

/// Chooses by a baseline policy among the usable engines of the home zone, or of
/// all zones if the home zone has none.
pub fn baseline<'b>(
    policy: Policy,
    targets: &'b TargetTable,
    query: &RouteQuery<'_>,
    now: Instant,
    round_robin: &mut usize,
    rng: &mut StdRng,
) -> Option<&'b TargetState> {
    let candidates: Vec<&TargetState> =
        targets.all().filter(|t| can_serve(t, query, now)).collect();
    let home: Vec<&TargetState> =
        candidates.iter().copied().filter(|t| t.listed.zone.as_ref() == query.zone).collect();
    let candidates = if home.is_empty() { candidates } else { home };
    if candidates.is_empty() {
        return None;
    }
    let flight = |t: &&TargetState| t.in_flight();
    let random = |rng: &mut StdRng| candidates[rng.random_range(0..candidates.len())];
    match policy {
        Policy::Random | Policy::Mimosapass => Some(random(rng)),
        Policy::RoundRobin => {
            *round_robin += 1;
            Some(candidates[*round_robin % candidates.len()])
        }
        Policy::LeastInFlight => {
            let start = rng.random_range(0..candidates.len());
            let (back, front) = candidates.split_at(start);
            front.iter().chain(back).copied().min_by_key(flight)
        }
        Policy::TwoChoices => [random(rng), random(rng)].into_iter().min_by_key(flight),
    }
}
