//! Groups of engines for a prompt that exceeds one engine's memory.
//!
//! A group is planned as a whole: its engines, and the tokens that each reserves.
//! Reservations are made in the order of the plan, which is the same order of
//! engines on every instance, so that two groups never deadlock.

use std::time::{Duration, Instant};

use crate::config::{Class, Config};
use crate::ids::{ModelId, TargetId};
use crate::labels::matches;
use crate::target_table::{TargetState, TargetTable};

/// Share of the prompt added in case its estimated length is too low, as a divisor.
const HEADROOM_DIVISOR: u64 = 10;
/// Length assumed for an answer whose request states no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 1024;
/// Age at which a report is ignored; reports come each second.
const MAX_REPORT_AGE: Duration = Duration::from_secs(8);

/// An engine that may be part of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the engine.
    pub target: TargetId,
    /// Address, `IP:port`.
    pub addr: String,
    /// Size of the KV cache, in tokens; 0 if unknown.
    pub capacity: u64,
    /// Free KV cache, in tokens; 0 if the engine accepts no requests now.
    pub free: u64,
}

/// Share of one engine in a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// Name of the engine.
    pub target: TargetId,
    /// Address, `IP:port`.
    pub addr: String,
    /// Memory to reserve, in tokens.
    pub tokens: u64,
}

/// Outcome of planning.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Reserve these shares, in this order.
    Group(Vec<Share>),
    /// Too little memory is free now.
    Insufficient {
        /// Free memory of all candidates, in tokens.
        free: u64,
    },
    /// The candidates together can never hold the prompt.
    TooLarge {
        /// Total memory of all candidates, in tokens.
        capacity: u64,
    },
}

/// Returns the memory that a request needs, in tokens.
///
/// `prompt` is the estimated length, `answer` the stated limit of the answer.
pub fn required_tokens(prompt: u64, answer: Option<u32>) -> u64 {
    prompt + prompt / HEADROOM_DIVISOR + answer.map_or(DEFAULT_ANSWER_TOKENS, u64::from)
}

/// Returns the engines of a zone that may serve a class's requests for a model.
pub fn candidates(
    targets: &TargetTable,
    config: &Config,
    class: &Class,
    model: &ModelId,
    zone: &str,
    now: Instant,
) -> Vec<Candidate> {
    let pools: Vec<_> = config.pools_for(class, model).collect();
    let fits = |t: &&TargetState| pools.iter().any(|p| matches(&p.select, &t.listed.labels));
    let fresh = |t: &TargetState| {
        t.reported_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_REPORT_AGE)
    };
    let staying = |t: &&TargetState| !(t.listed.leaving || t.drained || t.report.leaving);
    targets
        .all()
        .filter(|t| t.listed.zone.as_ref() == zone)
        .filter(fits)
        .filter(staying)
        .map(|t| Candidate {
            target: TargetId::clone(&t.listed.name),
            addr: t.listed.addr.clone(),
            capacity: t.report.capacity,
            free: if t.is_available(now) && fresh(t) { t.report.free } else { 0 },
        })
        .collect()
}

/// Returns whether a single candidate can hold `need` tokens.
///
/// Candidates of unknown size count only if no size is known, so that a dead
/// engine does not attract every long prompt.
pub fn fits_one_engine(candidates: &[Candidate], need: u64) -> bool {
    candidates.iter().any(|c| c.capacity >= need) || candidates.iter().all(|c| c.capacity == 0)
}

/// Plans a group for `need` tokens with the fewest engines.
///
/// Engines with the most free memory come first; the last one of them is
/// replaced by the one with the least free memory that suffices.
pub fn plan(candidates: &[Candidate], need: u64) -> Plan {
    let capacity = candidates.iter().map(|c| c.capacity).sum();
    let sizes_known = !candidates.is_empty() && candidates.iter().all(|c| c.capacity > 0);
    if need > capacity && sizes_known {
        return Plan::TooLarge { capacity };
    }
    let free = candidates.iter().map(|c| c.free).sum();
    if need > free || need == 0 {
        return Plan::Insufficient { free };
    }
    let mut ranked: Vec<&Candidate> = candidates.iter().filter(|c| c.free > 0).collect();
    ranked.sort_by_key(|c| (std::cmp::Reverse(c.free), &c.target));
    let mut missing = need;
    let mut full = 0;
    while ranked[full].free < missing {
        missing -= ranked[full].free;
        full += 1;
    }
    let spare = &ranked[full..];
    let last = spare.iter().rfind(|c| c.free >= missing).unwrap_or(&spare[0]);
    let mut shares: Vec<Share> = ranked[..full].iter().map(|c| share(c, c.free)).collect();
    shares.push(share(last, missing));
    shares.sort_by(|a, b| a.target.cmp(&b.target));
    Plan::Group(shares)
}

fn share(candidate: &Candidate, tokens: u64) -> Share {
    Share { target: TargetId::clone(&candidate.target), addr: candidate.addr.clone(), tokens }
}
