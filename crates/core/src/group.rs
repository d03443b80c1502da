//! Groups of engines for a prompt that is larger than one engine's memory.
//!
//! A group is planned whole: the engines, and how many tokens each reserves.
//! Reservations are made in the order of the plan, which is the same order of
//! engines everywhere, so that two groups never wait for each other.

use std::time::{Duration, Instant};

use crate::config::{Class, Config};
use crate::ids::{ModelId, TargetId};
use crate::labels::matches;
use crate::target_table::{TargetState, TargetTable};

/// Room left for an estimate of the prompt that is too low, as a divisor.
const ROOM: u64 = 10;
/// Tokens of an answer whose request states no bound.
const ANSWER: u64 = 1024;
/// Age of a report, which comes each second, from which on it says nothing.
const STALE: Duration = Duration::from_secs(8);

/// An engine that may be part of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the engine.
    pub target: TargetId,
    /// Address, `IP:port`.
    pub addr: String,
    /// Whole KV cache, in tokens; 0 where it is unknown.
    pub capacity: u64,
    /// Free KV cache, in tokens; 0 where the engine takes no work now.
    pub free: u64,
}

/// The part of one engine in a group.
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
        /// Free memory of all members, in tokens.
        free: u64,
    },
    /// All members together can never hold it.
    TooLarge {
        /// Memory of all members, in tokens.
        capacity: u64,
    },
}

/// Returns the memory that a request needs, in tokens.
///
/// `prompt` is the estimated length, `answer` the stated bound of the answer.
pub fn required_tokens(prompt: u64, answer: Option<u32>) -> u64 {
    prompt + prompt / ROOM + answer.map_or(ANSWER, u64::from)
}

/// Returns the engines of a zone that may carry a class's work on a model.
pub fn candidates(
    targets: &TargetTable,
    config: &Config,
    class: &Class,
    model: &ModelId,
    zone: &str,
    now: Instant,
) -> Vec<Candidate> {
    let pools: Vec<_> = config.pools_for(class, model).collect();
    let fits = |k: &&TargetState| pools.iter().any(|p| matches(&p.select, &k.listed.labels));
    let fresh =
        |k: &TargetState| k.reported_at.is_some_and(|at| now.saturating_duration_since(at) < STALE);
    let stays = |k: &&TargetState| !(k.listed.leaving || k.drained || k.report.leaving);
    targets
        .all()
        .filter(|k| k.listed.zone.as_ref() == zone)
        .filter(fits)
        .filter(stays)
        .map(|k| Candidate {
            target: TargetId::clone(&k.listed.name),
            addr: k.listed.addr.clone(),
            capacity: k.report.capacity,
            free: if k.is_available(now) && fresh(k) { k.report.free } else { 0 },
        })
        .collect()
}

/// Returns whether a single member can hold `need` tokens.
///
/// Members of unknown memory count only where no other is known, so that a
/// dead one does not draw every long prompt.
pub fn fits_one_engine(candidates: &[Candidate], need: u64) -> bool {
    candidates.iter().any(|m| m.capacity >= need) || candidates.iter().all(|m| m.capacity == 0)
}

/// Plans a group for `need` tokens: the fewest engines, least memory taken.
///
/// The engines with most free memory come first; the last one of them is
/// replaced by the one with least free memory that still suffices.
pub fn plan(candidates: &[Candidate], need: u64) -> Plan {
    let capacity = candidates.iter().map(|m| m.capacity).sum();
    let known = !candidates.is_empty() && candidates.iter().all(|m| m.capacity > 0);
    if need > capacity && known {
        return Plan::TooLarge { capacity };
    }
    let free = candidates.iter().map(|m| m.free).sum();
    if need > free || need == 0 {
        return Plan::Insufficient { free };
    }
    let mut ranked: Vec<&Candidate> = candidates.iter().filter(|m| m.free > 0).collect();
    ranked.sort_by_key(|m| (std::cmp::Reverse(m.free), &m.target));
    let mut missing = need;
    let mut full = 0;
    while ranked[full].free < missing {
        missing -= ranked[full].free;
        full += 1;
    }
    let spare = &ranked[full..];
    let last = spare.iter().rfind(|m| m.free >= missing).unwrap_or(&spare[0]);
    let mut shares: Vec<Share> = ranked[..full].iter().map(|m| share(m, m.free)).collect();
    shares.push(share(last, missing));
    shares.sort_by(|a, b| a.target.cmp(&b.target));
    Plan::Group(shares)
}

fn share(member: &Candidate, tokens: u64) -> Share {
    Share { target: TargetId::clone(&member.target), addr: member.addr.clone(), tokens }
}
