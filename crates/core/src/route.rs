//! Choice of a target for one request.
//!
//! A few candidates are sampled with the request's random number, and the one with
//! the least estimated time to first token is chosen. Sampling keeps instances
//! that share an outdated report from all choosing the same engine.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::config::{Pool, TargetKind};
use crate::error::{Failure, Kind};
use crate::ids::TargetId;
use crate::sampling::{Sampled, WeightedSample, mix64, sampling_key};
use crate::target_table::{TargetState, TargetTable};
use crate::tiers::{BAND_COUNT, length_band};

/// Wait that a prompt of each band (row) accepts in its own tier before it goes to
/// each other tier (column); added to the score of the engines there.
const OTHER_TIER_PENALTY_MS: [[u64; BAND_COUNT]; BAND_COUNT] =
    [[0, 250, 500], [7_500, 0, 3_000], [60_000, 20_000, 0]];
/// Wait that a prompt of each band accepts at the instance's own engines before it
/// goes to others; added to the score of the others.
const NOT_OWNED_PENALTY_MS: [u64; BAND_COUNT] = [100, 300, 3_000];
/// Wait beyond its own prefill from which a prompt of each band is scored against
/// every engine of the home zone in place of the sampled ones.
const FULL_SCAN_WAIT_MS: [u64; BAND_COUNT] = [1_000, 4_000, 20_000];
/// Sampling weight of an engine with more than its fair load.
const MIN_WEIGHT_SECS: f64 = 0.001;
/// Wait for each request beyond the slots of an engine.
const QUEUED_WAIT: Duration = Duration::from_millis(250);
/// Score of each own request in flight, so that decoding is spread too.
const IN_FLIGHT_WAIT: Duration = Duration::from_millis(4);
/// Wait for each own call in flight to a service.
const CALL_WAIT: Duration = Duration::from_millis(20);
/// Least KV cache reserved for an answer, also if its length is not stated.
const MIN_ANSWER_TOKENS: u64 = 512;

/// Request for a target.
#[derive(Clone, Debug, Default)]
pub struct RouteQuery<'a> {
    /// Kind of target.
    pub kind: TargetKind,
    /// Pools whose targets may serve the request.
    pub pools: &'a [&'a Pool],
    /// Availability zone of the choosing instance, the home zone, which is preferred.
    pub zone: &'a str,
    /// Estimated length of the prompt, in tokens; 0 for services.
    pub tokens: u64,
    /// Longest answer, in tokens; it needs memory besides the prompt.
    pub answer: u64,
    /// Hash of the first bytes of the prompt, 0 for none.
    pub prefix: u64,
    /// Promised time to first token; zero for none.
    pub promise: Duration,
    /// Random number of the request; the same number gives the same choice.
    pub seed: u64,
    /// Targets that were already tried.
    pub tried: &'a [TargetId],
}

impl RouteQuery<'_> {
    /// Returns the KV cache that the request needs, in tokens.
    pub fn required_memory(&self) -> u64 {
        required_memory(self.tokens, self.answer)
    }
}

/// Returns the KV cache that prompt and answer need, in tokens.
pub fn required_memory(tokens: u64, answer: u64) -> u64 {
    if tokens == 0 { 0 } else { tokens + answer.max(MIN_ANSWER_TOKENS) }
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Least wait among the sampled engines that the instance owns.
    OwnEngine,
    /// Least wait among the other engines of the request's own tier.
    LeastWait,
    /// The target probably has the prefix cached.
    PrefixCached,
    /// Engines of the request's own tier would make it wait too long.
    OtherTier,
    /// The home zone cannot keep the promise and this zone offered capacity.
    Spillover,
    /// The home zone has no available target.
    NoHomeTarget,
    /// A group of this many engines was granted.
    Group(usize),
    /// The same engine continues from this token.
    Resumed(u64),
}

/// Reason of a choice; its text is formatted only when it is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reason {
    /// Why this target.
    pub cause: Cause,
    /// Estimated time to first token at the target.
    pub wait: Duration,
    /// Number of targets that could have served the request.
    pub candidates: usize,
}

impl Reason {
    /// Builds the reason of a target that was not chosen by an estimate.
    pub fn without_estimate(cause: Cause) -> Self {
        Self { cause, wait: Duration::ZERO, candidates: 0 }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let why = match self.cause {
            Cause::OwnEngine => "own engine, least wait",
            Cause::LeastWait => "least wait",
            Cause::PrefixCached => "prefix cached",
            Cause::OtherTier => "engines of its own tier wait longer",
            Cause::Spillover => "the home zone cannot keep the promise",
            Cause::NoHomeTarget => "no open target in the home zone",
            Cause::Group(engines) => return write!(f, "group of {engines} engines"),
            Cause::Resumed(token) => return write!(f, "resumes at token {token}"),
        };
        write!(f, "{why}, {} ms, {} fit", self.wait.as_millis(), self.candidates)
    }
}

/// A chosen target and the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the target.
    pub target: TargetId,
    /// Address, `IP:port`.
    pub addr: Arc<str>,
    /// Why the target was chosen, for display.
    pub reason: Reason,
}

/// Sampled candidates of the home zone, by tier, and of other zones.
#[derive(Debug, Default)]
struct Candidates<'t> {
    owned: WeightedSample<'t>,
    same_tier: WeightedSample<'t>,
    other_tier: WeightedSample<'t>,
    offered: WeightedSample<'t>,
    other_zones: WeightedSample<'t>,
    fit: usize,
}

/// The best candidate so far.
#[derive(Clone, Copy, Debug)]
struct Best<'t> {
    target: &'t TargetState,
    cause: Cause,
    wait: Duration,
    score: Duration,
}

/// Chooses a target with a small estimated time to first token.
///
/// # Errors
///
/// [`Kind::NoTarget`] when no target may serve the request now.
pub fn choose(
    targets: &TargetTable,
    query: &RouteQuery<'_>,
    now: Instant,
) -> Result<Choice, Failure> {
    let (best, fit) = best(targets, query, now);
    let best =
        best.ok_or_else(|| Failure::new(Kind::NoTarget, "no target is open and has room"))?;
    Ok(Choice {
        target: TargetId::clone(&best.target.listed.name),
        addr: Arc::clone(&best.target.addr),
        reason: Reason { cause: best.cause, wait: best.wait, candidates: fit },
    })
}

/// Returns the estimated time to first token at the chosen target.
///
/// It is [`Duration::MAX`] when no target may serve the request now.
pub fn estimate_ttft(targets: &TargetTable, query: &RouteQuery<'_>, now: Instant) -> Duration {
    best(targets, query, now).0.map_or(Duration::MAX, |b| b.wait)
}

/// Returns the estimated time to first token of `tokens` of prompt at a target.
pub fn ttft_at(target: &TargetState, tokens: u64, now: Instant) -> Duration {
    if target.listed.kind == TargetKind::Service {
        return CALL_WAIT * target.own_running;
    }
    let time = target.pending_seconds(now) + tokens as f64 / target.speed();
    Duration::from_secs_f64(time / target.health.traffic_share(now)) + QUEUED_WAIT * target.queued()
}

fn best<'t>(
    targets: &'t TargetTable,
    query: &RouteQuery<'_>,
    now: Instant,
) -> (Option<Best<'t>>, usize) {
    let candidates = sample_candidates(targets, query, now);
    let penalty = Duration::from_millis(NOT_OWNED_PENALTY_MS[length_band(query.tokens)]);
    let home = candidates
        .owned
        .targets()
        .map(|t| scored(t, query, Cause::OwnEngine, Duration::ZERO, now))
        .chain(
            candidates
                .same_tier
                .targets()
                .map(|t| scored(t, query, Cause::LeastWait, penalty, now)),
        )
        .chain(
            candidates
                .other_tier
                .targets()
                .map(|t| scored(t, query, Cause::OtherTier, tier_penalty(t, query), now)),
        )
        .chain(prefix_candidate(targets, query, now))
        .min_by_key(|b| b.score);
    let home = home
        .filter(|b| !exceeds_scan_wait(b, query))
        .or_else(|| scan_home_zone(targets, query, now));
    let meets_promise = home.is_some_and(|b| query.promise.is_zero() || b.wait <= query.promise);
    if meets_promise {
        return (home, candidates.fit);
    }
    let closed = home.is_none() && home_zone_closed(targets, query, now);
    let cause = if closed { Cause::NoHomeTarget } else { Cause::Spillover };
    let others = if closed { &candidates.other_zones } else { &WeightedSample::default() };
    let away = candidates
        .offered
        .targets()
        .chain(others.targets())
        .map(|t| scored(t, query, cause, Duration::ZERO, now));
    (away.chain(home).min_by_key(|b| b.score), candidates.fit)
}

/// Returns whether the wait is long enough to scan all engines of the home zone.
fn exceeds_scan_wait(best: &Best<'_>, query: &RouteQuery<'_>) -> bool {
    let own = Duration::from_secs_f64(query.tokens as f64 / best.target.speed());
    best.wait > own + Duration::from_millis(FULL_SCAN_WAIT_MS[length_band(query.tokens)])
}

/// Returns the engine of the home zone with the least score.
fn scan_home_zone<'t>(
    targets: &'t TargetTable,
    query: &RouteQuery<'_>,
    now: Instant,
) -> Option<Best<'t>> {
    let tier = length_band(query.tokens);
    let reserved = first_tier_reserved(targets, query, now);
    let home =
        |t: &&TargetState| t.listed.zone.as_ref() == query.zone && !(reserved && t.tier == 0);
    let cause = |t: &TargetState| if t.tier == tier { Cause::LeastWait } else { Cause::OtherTier };
    let engines = targets.all().filter(home).filter(|t| can_serve(t, query, now));
    engines.map(|t| scored(t, query, cause(t), tier_penalty(t, query), now)).min_by_key(|b| b.score)
}

/// Returns the wait added to the score for the tier of the engine.
fn tier_penalty(target: &TargetState, query: &RouteQuery<'_>) -> Duration {
    Duration::from_millis(OTHER_TIER_PENALTY_MS[length_band(query.tokens)][target.tier])
}

/// Samples candidates among all targets that can serve the request.
fn sample_candidates<'t>(
    targets: &'t TargetTable,
    query: &RouteQuery<'_>,
    now: Instant,
) -> Candidates<'t> {
    let tier = length_band(query.tokens);
    let reserved = first_tier_reserved(targets, query, now);
    let mut candidates = Candidates::default();
    for target in targets.all().filter(|t| can_serve(t, query, now)) {
        let home = target.listed.zone.as_ref() == query.zone;
        if home && reserved && target.tier == 0 {
            continue;
        }
        candidates.fit += 1;
        let own = home && target.tier == tier;
        let random = mix64(target.rank ^ query.seed);
        let sample = match (home, own, target.owned) {
            (true, true, true) => &mut candidates.owned,
            (true, true, false) => &mut candidates.same_tier,
            (true, false, _) => &mut candidates.other_tier,
            (false, ..) if offer_allows(targets, target, query, now) => &mut candidates.offered,
            (false, ..) => &mut candidates.other_zones,
        };
        // The least key it can have, with no pending work; this excludes most targets.
        if sample.excludes(sampling_key(random, target.fair_load.max(MIN_WEIGHT_SECS))) {
            continue;
        }
        let deficit = if own { target.fair_load - target.pending_seconds(now) } else { 0.0 };
        sample.insert(Sampled { key: sampling_key(random, deficit.max(MIN_WEIGHT_SECS)), target });
    }
    candidates
}

/// Returns whether an engine would serve the request if its memory were free.
pub fn short_of_memory(targets: &TargetTable, query: &RouteQuery<'_>, now: Instant) -> bool {
    let large = |t: &TargetState| t.report.capacity >= query.required_memory();
    targets.all().any(|t| large(t) && accepts(t, query, now))
}

/// Returns whether the target accepts the request and has memory for it.
pub fn can_serve(target: &TargetState, query: &RouteQuery<'_>, now: Instant) -> bool {
    target.free_tokens() >= query.required_memory() && accepts(target, query, now)
}

/// Returns whether the target accepts the request, regardless of memory.
fn accepts(target: &TargetState, query: &RouteQuery<'_>, now: Instant) -> bool {
    target.listed.kind == query.kind
        && target.is_available(now)
        && target.pools.iter().any(|name| query.pools.iter().any(|p| p.name == *name))
        && !query.tried.contains(&target.listed.name)
}

fn scored<'t>(
    target: &'t TargetState,
    query: &RouteQuery<'_>,
    cause: Cause,
    penalty: Duration,
    now: Instant,
) -> Best<'t> {
    let wait = ttft_at(target, query.tokens, now);
    Best { target, cause, wait, score: wait + penalty + IN_FLIGHT_WAIT * target.own_running }
}

/// Returns the engine that should have the prefix cached, its wait reduced by that.
fn prefix_candidate<'t>(
    targets: &'t TargetTable,
    query: &RouteQuery<'_>,
    now: Instant,
) -> Option<Best<'t>> {
    let hint = targets.cache_hint(query.prefix)?;
    let target = targets.get(&hint.target)?;
    let home = target.listed.zone.as_ref() == query.zone;
    let credit = hint.credit(query.tokens, now);
    if credit == 0 || !home || !can_serve(target, query, now) {
        return None;
    }
    let wait = ttft_at(target, query.tokens - credit, now);
    let score = wait + IN_FLIGHT_WAIT * target.own_running;
    Some(Best { target, cause: Cause::PrefixCached, wait, score })
}

/// Returns whether the offer of an engine in another zone covers the request.
///
/// A long prompt needs an engine that its zone offers for long prompts; for a
/// shorter one the zone must also state a short wait and have budget left.
fn offer_allows(
    targets: &TargetTable,
    target: &TargetState,
    query: &RouteQuery<'_>,
    now: Instant,
) -> bool {
    let tier = length_band(query.tokens);
    let is_offered = target.is_offered(now) && target.tier == tier;
    if tier == BAND_COUNT - 1 {
        return is_offered;
    }
    let offer = targets.offer_budget(&target.listed.zone);
    is_offered && offer.is_some_and(|o| o.allows(query.tokens, query.promise))
}

/// Returns whether the first tier takes no more long prompts.
///
/// At least half of its engines, and at least one, have to stay free of long
/// prompts as long as engines of other tiers may serve them.
fn first_tier_reserved(targets: &TargetTable, query: &RouteQuery<'_>, now: Instant) -> bool {
    if length_band(query.tokens) < BAND_COUNT - 1 {
        return false;
    }
    let (mut head, mut clear, mut rest) = (0, 0, 0);
    let home = |t: &&TargetState| t.listed.zone.as_ref() == query.zone && accepts(t, query, now);
    for target in targets.all().filter(home) {
        if target.tier > 0 {
            rest += 1;
        } else {
            head += 1;
            clear += usize::from(!target.has_long_prompt());
        }
    }
    rest > 0 && clear <= (head / 2).max(1)
}

/// Returns whether the home zone has no available target for the request.
fn home_zone_closed(targets: &TargetTable, query: &RouteQuery<'_>, now: Instant) -> bool {
    !targets.all().any(|t| t.listed.zone.as_ref() == query.zone && accepts(t, query, now))
}
