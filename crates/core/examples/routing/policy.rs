//! Policies to compare: the product's, and those that know no lengths.

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
    LeastFlight,
    TwoChoices,
    Mimosapass,
}

/// All policies, the product's last.
pub const ALL: [Policy; 5] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastFlight,
    Policy::TwoChoices,
    Policy::Mimosapass,
];

impl Policy {
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastFlight => "least in flight",
            Self::TwoChoices => "two choices",
            Self::Mimosapass => "mimosapass",
        }
    }
}

/// Chooses by a policy without lengths among the fit engines of the home zone,
/// or of all zones when it has none.
pub fn baseline<'b>(
    policy: Policy,
    targets: &'b TargetTable,
    query: &RouteQuery<'_>,
    now: Instant,
    turn: &mut usize,
    rng: &mut StdRng,
) -> Option<&'b TargetState> {
    let fit: Vec<&TargetState> = targets.all().filter(|k| can_serve(k, query, now)).collect();
    let home: Vec<&TargetState> =
        fit.iter().copied().filter(|k| k.listed.zone.as_ref() == query.zone).collect();
    let fit = if home.is_empty() { fit } else { home };
    if fit.is_empty() {
        return None;
    }
    let flight = |k: &&TargetState| k.in_flight();
    let any = |rng: &mut StdRng| fit[rng.random_range(0..fit.len())];
    match policy {
        Policy::Random | Policy::Mimosapass => Some(any(rng)),
        Policy::RoundRobin => {
            *turn += 1;
            Some(fit[*turn % fit.len()])
        }
        Policy::LeastFlight => {
            let start = rng.random_range(0..fit.len());
            let (back, front) = fit.split_at(start);
            front.iter().chain(back).copied().min_by_key(flight)
        }
        Policy::TwoChoices => [any(rng), any(rng)].into_iter().min_by_key(flight),
    }
}
