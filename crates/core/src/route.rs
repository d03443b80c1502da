//! Choice of a target for one request.

use std::time::Instant;

use crate::board::{Board, Known};
use crate::config::{Pool, TargetKind};
use crate::error::{Failure, Kind};
use crate::ids::TargetId;
use crate::labels::matches;

/// Prefill speed assumed before an engine reported one, in tokens a second.
const SPEED: u64 = 10_000;

/// What a choice looks at.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Kind of target.
    pub kind: TargetKind,
    /// Pools whose targets may serve.
    pub pools: &'a [&'a Pool],
    /// Availability zone of the choosing instance, which is preferred.
    pub zone: &'a str,
    /// Estimated length of the prompt, in tokens; 0 for services.
    pub tokens: u64,
    /// Targets that were tried before.
    pub tried: &'a [TargetId],
}

/// A chosen target and the reason in a few words.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the target.
    pub target: TargetId,
    /// Address, `IP:port`.
    pub addr: String,
    /// Why it was chosen, for people.
    pub reason: String,
}

/// Chooses the open target with the least estimated wait.
///
/// # Errors
///
/// [`Kind::NoTarget`] when no target may serve the request now.
pub fn choose(board: &Board, ask: &Ask<'_>, now: Instant) -> Result<Choice, Failure> {
    let fit = |known: &&Known| {
        known.listed.kind == ask.kind
            && known.open(now)
            && !ask.tried.contains(&known.listed.name)
            && ask.pools.iter().any(|p| matches(&p.select, &known.listed.labels))
    };
    let best = board.all().filter(fit).min_by_key(|k| {
        let away = k.listed.zone.as_ref() != ask.zone;
        (away, wait_ms(k, ask.tokens), k.own_running)
    });
    let known = best.ok_or_else(|| Failure::new(Kind::NoTarget, "no target is open"))?;
    Ok(Choice {
        target: TargetId::clone(&known.listed.name),
        addr: known.listed.addr.clone(),
        reason: format!("least wait, {} ms", wait_ms(known, ask.tokens)),
    })
}

/// Returns the estimated time to first token, in milliseconds.
pub fn wait_ms(known: &Known, tokens: u64) -> u64 {
    let ahead = known.report.prefill.max(known.own_prefill);
    let speed = if known.report.speed == 0 { SPEED } else { known.report.speed };
    (ahead + tokens) * 1000 / speed
}
