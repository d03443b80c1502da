//! Choice of a target for one request.
//!
//! A few candidates are drawn by the request's random number and the one with
//! the least estimated time to first token is taken. Drawing keeps instances
//! that share a lagging report from all choosing the same engine.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::config::{Pool, TargetKind};
use crate::error::{Failure, Kind};
use crate::ids::TargetId;
use crate::sampling::{Sampled, WeightedSample, mix64, sampling_key};
use crate::target_table::{TargetState, TargetTable};
use crate::tiers::{BAND_COUNT, length_band};

/// Wait that a prompt of each band (row) bears in its own tier before it goes
/// to an engine of each other tier (column), in milliseconds.
const PATIENCE: [[u64; BAND_COUNT]; BAND_COUNT] =
    [[0, 250, 500], [7_500, 0, 3_000], [60_000, 20_000, 0]];
/// Wait that a prompt of each band bears before it leaves the instance's own
/// engines, in milliseconds.
const OWN: [u64; BAND_COUNT] = [100, 300, 3_000];
/// Work ahead, in milliseconds, from which a choice looks at every engine of
/// the home zone in place of the drawn ones, for each band.
const IMPATIENT: [u64; BAND_COUNT] = [1_000, 4_000, 20_000];
/// Weight in the draw of an engine that has more than its share of work, in seconds.
const LEAST_WEIGHT: f64 = 0.001;
/// Wait for each request over the slots of an engine.
const SLOT_WAIT: Duration = Duration::from_millis(250);
/// Wait that each own request in flight counts for, so that answers are spread too.
const STREAM_WAIT: Duration = Duration::from_millis(4);
/// Wait for each own call in flight to a plain service.
const CALL_WAIT: Duration = Duration::from_millis(20);
/// KV cache set aside for an answer of unstated length, in tokens.
const ANSWER: u64 = 512;

/// What a choice looks at.
#[derive(Clone, Debug, Default)]
pub struct RouteQuery<'a> {
    /// Kind of target.
    pub kind: TargetKind,
    /// Pools whose targets may serve.
    pub pools: &'a [&'a Pool],
    /// Availability zone of the choosing instance, which is preferred.
    pub zone: &'a str,
    /// Estimated length of the prompt, in tokens; 0 for services.
    pub tokens: u64,
    /// Longest answer, in tokens, which needs memory beside the prompt.
    pub answer: u64,
    /// Hash of the first bytes of the prompt, 0 for none.
    pub prefix: u64,
    /// Promised time to first token; zero promises nothing.
    pub promise: Duration,
    /// Random number of the request; the same one gives the same choice.
    pub seed: u64,
    /// Targets that were tried before.
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
    if tokens == 0 { 0 } else { tokens + answer.max(ANSWER) }
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Least wait among the instance's own engines.
    OwnEngine,
    /// Least wait among those drawn.
    LeastWait,
    /// Its cache probably has the prefix.
    PrefixCached,
    /// Every engine on the request's own side of the boundary waits too long.
    OtherTier,
    /// The home zone cannot keep the promise and this zone offered room.
    Spillover,
    /// The home zone has no open target.
    NoHomeTarget,
    /// A group of so many engines was granted.
    Group(usize),
    /// The same engine goes on from this token.
    Resumed(u64),
}

/// Reason of a choice; its text is made only when someone reads it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reason {
    /// Why this target.
    pub cause: Cause,
    /// Estimated time to first token there.
    pub wait: Duration,
    /// Targets that were fit to serve.
    pub fit: usize,
}

impl Reason {
    /// Builds the reason of a target that no estimate chose.
    pub fn without_estimate(cause: Cause) -> Self {
        Self { cause, wait: Duration::ZERO, fit: 0 }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let why = match self.cause {
            Cause::OwnEngine => "own engine, least wait",
            Cause::LeastWait => "least wait",
            Cause::PrefixCached => "prefix cached",
            Cause::OtherTier => "its side of the boundary waits longer",
            Cause::Spillover => "the home zone cannot keep the promise",
            Cause::NoHomeTarget => "no open target in the home zone",
            Cause::Group(engines) => return write!(f, "group of {engines} engines"),
            Cause::Resumed(token) => return write!(f, "resumes at token {token}"),
        };
        write!(f, "{why}, {} ms, {} fit", self.wait.as_millis(), self.fit)
    }
}

/// A chosen target and the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the target.
    pub target: TargetId,
    /// Address, `IP:port`.
    pub addr: Arc<str>,
    /// Why it was chosen, for people.
    pub reason: Reason,
}

/// Candidates of the home zone, in the request's own tier and others, and of other zones.
#[derive(Debug, Default)]
struct Field<'b> {
    mine: WeightedSample<'b>,
    own: WeightedSample<'b>,
    across: WeightedSample<'b>,
    offered: WeightedSample<'b>,
    away: WeightedSample<'b>,
    fit: usize,
}

/// The best candidate so far.
#[derive(Clone, Copy, Debug)]
struct Best<'b> {
    known: &'b TargetState,
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
        target: TargetId::clone(&best.known.listed.name),
        addr: Arc::clone(&best.known.addr),
        reason: Reason { cause: best.cause, wait: best.wait, fit },
    })
}

/// Returns the estimated time to first token at the target that would be chosen.
///
/// It is [`Duration::MAX`] when no target may serve the request now.
pub fn estimate_ttft(targets: &TargetTable, query: &RouteQuery<'_>, now: Instant) -> Duration {
    best(targets, query, now).0.map_or(Duration::MAX, |b| b.wait)
}

/// Returns the estimated time to first token of `tokens` of prompt at a target.
pub fn ttft_at(known: &TargetState, tokens: u64, now: Instant) -> Duration {
    if known.listed.kind == TargetKind::Service {
        return CALL_WAIT * known.own_running;
    }
    let time = known.pending_seconds(now) + tokens as f64 / known.speed();
    Duration::from_secs_f64(time / known.health.traffic_share(now)) + SLOT_WAIT * known.queued()
}

fn best<'b>(
    targets: &'b TargetTable,
    query: &RouteQuery<'_>,
    now: Instant,
) -> (Option<Best<'b>>, usize) {
    let field = field(targets, query, now);
    let others = Duration::from_millis(OWN[length_band(query.tokens)]);
    let home = field
        .mine
        .targets()
        .map(|k| scored(k, query, Cause::OwnEngine, Duration::ZERO, now))
        .chain(field.own.targets().map(|k| scored(k, query, Cause::LeastWait, others, now)))
        .chain(
            field
                .across
                .targets()
                .map(|k| scored(k, query, Cause::OtherTier, patience(k, query), now)),
        )
        .chain(hinted(targets, query, now))
        .min_by_key(|b| b.score);
    let home = home.filter(|b| !impatient(b, query)).or_else(|| least(targets, query, now));
    let in_time = home.is_some_and(|b| query.promise.is_zero() || b.wait <= query.promise);
    if in_time {
        return (home, field.fit);
    }
    let deserted = home.is_none() && deserted(targets, query, now);
    let cause = if deserted { Cause::NoHomeTarget } else { Cause::Spillover };
    let others = if deserted { &field.away } else { &WeightedSample::default() };
    let away = field
        .offered
        .targets()
        .chain(others.targets())
        .map(|k| scored(k, query, cause, Duration::ZERO, now));
    (away.chain(home).min_by_key(|b| b.score), field.fit)
}

/// Returns whether a choice waits so long that it is worth a look at all engines.
fn impatient(best: &Best<'_>, query: &RouteQuery<'_>) -> bool {
    let own = Duration::from_secs_f64(query.tokens as f64 / best.known.speed());
    best.wait > own + Duration::from_millis(IMPATIENT[length_band(query.tokens)])
}

/// Returns the home engine with the least score of all.
fn least<'b>(targets: &'b TargetTable, query: &RouteQuery<'_>, now: Instant) -> Option<Best<'b>> {
    let tier = length_band(query.tokens);
    let kept = kept(targets, query, now);
    let home = |k: &&TargetState| k.listed.zone.as_ref() == query.zone && !(kept && k.tier == 0);
    let cause = |k: &TargetState| if k.tier == tier { Cause::LeastWait } else { Cause::OtherTier };
    let engines = targets.all().filter(home).filter(|k| can_serve(k, query, now));
    engines.map(|k| scored(k, query, cause(k), patience(k, query), now)).min_by_key(|b| b.score)
}

/// Returns the wait that a request bears before it goes to this engine's tier.
fn patience(known: &TargetState, query: &RouteQuery<'_>) -> Duration {
    Duration::from_millis(PATIENCE[length_band(query.tokens)][known.tier])
}

/// Draws candidates among all targets that are fit to serve.
fn field<'b>(targets: &'b TargetTable, query: &RouteQuery<'_>, now: Instant) -> Field<'b> {
    let tier = length_band(query.tokens);
    let kept = kept(targets, query, now);
    let mut field = Field::default();
    for known in targets.all().filter(|k| can_serve(k, query, now)) {
        let home = known.listed.zone.as_ref() == query.zone;
        if home && kept && known.tier == 0 {
            continue;
        }
        field.fit += 1;
        let own = home && known.tier == tier;
        let random = mix64(known.rank ^ query.seed);
        let draw = match (home, own, known.owned) {
            (true, true, true) => &mut field.mine,
            (true, true, false) => &mut field.own,
            (true, false, _) => &mut field.across,
            (false, ..) if offered(targets, known, query, now) => &mut field.offered,
            (false, ..) => &mut field.away,
        };
        // Without any work ahead it would stand here; most are out by that.
        if draw.excludes(sampling_key(random, known.fair_load.max(LEAST_WEIGHT))) {
            continue;
        }
        let lack = if own { known.fair_load - known.pending_seconds(now) } else { 0.0 };
        draw.insert(Sampled { key: sampling_key(random, lack.max(LEAST_WEIGHT)), target: known });
    }
    field
}

/// Returns whether only a want of free memory keeps engines from the request.
pub fn short_of_memory(targets: &TargetTable, query: &RouteQuery<'_>, now: Instant) -> bool {
    let large = |k: &TargetState| k.report.capacity >= query.required_memory();
    targets.all().any(|k| large(k) && serves(k, query, now))
}

/// Returns whether the target is open to the request and has memory for it.
pub fn can_serve(known: &TargetState, query: &RouteQuery<'_>, now: Instant) -> bool {
    known.free_tokens() >= query.required_memory() && serves(known, query, now)
}

/// Returns whether the target is open to the request.
fn serves(known: &TargetState, query: &RouteQuery<'_>, now: Instant) -> bool {
    known.listed.kind == query.kind
        && known.is_available(now)
        && known.pools.iter().any(|name| query.pools.iter().any(|p| p.name == *name))
        && !query.tried.contains(&known.listed.name)
}

fn scored<'b>(
    known: &'b TargetState,
    query: &RouteQuery<'_>,
    cause: Cause,
    penalty: Duration,
    now: Instant,
) -> Best<'b> {
    let wait = ttft_at(known, query.tokens, now);
    Best { known, cause, wait, score: wait + penalty + STREAM_WAIT * known.own_running }
}

/// Returns the engine whose cache should have the prefix, with its credit.
fn hinted<'b>(targets: &'b TargetTable, query: &RouteQuery<'_>, now: Instant) -> Option<Best<'b>> {
    let hint = targets.cache_hint(query.prefix)?;
    let known = targets.get(&hint.target)?;
    let home = known.listed.zone.as_ref() == query.zone;
    let credit = hint.credit(query.tokens, now);
    if credit == 0 || !home || !can_serve(known, query, now) {
        return None;
    }
    let wait = ttft_at(known, query.tokens - credit, now);
    let score = wait + STREAM_WAIT * known.own_running;
    Some(Best { known, cause: Cause::PrefixCached, wait, score })
}

/// Returns whether another zone's engine may take the request.
///
/// A long prompt goes only where its zone names room for it; for a shorter one
/// the zone must also promise a short wait and have some of its offer left.
fn offered(
    targets: &TargetTable,
    known: &TargetState,
    query: &RouteQuery<'_>,
    now: Instant,
) -> bool {
    let tier = length_band(query.tokens);
    let named = known.is_offered(now) && known.tier == tier;
    if tier == BAND_COUNT - 1 {
        return named;
    }
    let offer = targets.offer_budget(&known.listed.zone);
    named && offer.is_some_and(|o| o.allows(query.tokens, query.promise))
}

/// Returns whether the first tier must be kept from long prompts: enough of it
/// has to stay clear of them, as long as other engines may serve them.
fn kept(targets: &TargetTable, query: &RouteQuery<'_>, now: Instant) -> bool {
    if length_band(query.tokens) < BAND_COUNT - 1 {
        return false;
    }
    let (mut head, mut clear, mut rest) = (0, 0, 0);
    let home = |k: &&TargetState| k.listed.zone.as_ref() == query.zone && serves(k, query, now);
    for known in targets.all().filter(home) {
        if known.tier > 0 {
            rest += 1;
        } else {
            head += 1;
            clear += usize::from(!known.has_long_prompt());
        }
    }
    rest > 0 && clear <= (head / 2).max(1)
}

/// Returns whether the home zone has no open target for such requests.
fn deserted(targets: &TargetTable, query: &RouteQuery<'_>, now: Instant) -> bool {
    !targets.all().any(|k| k.listed.zone.as_ref() == query.zone && serves(k, query, now))
}
