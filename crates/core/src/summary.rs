//! Summaries of a zone's pools, which are sent to the other zones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::config::{Config, Pool};
use crate::ids::{PoolId, ZoneId};
use crate::labels::matches;
use crate::target_table::{TargetState, TargetTable};

/// Age at which a summary expires.
pub const MAX_AGE: Duration = Duration::from_secs(10);

/// State of one pool in one zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolState {
    /// Name of the pool.
    pub pool: PoolId,
    /// Targets that accept new requests.
    pub available: u32,
    /// Free KV cache of these targets, in tokens.
    pub free: u64,
    /// Largest free KV cache of one target, in tokens.
    pub max_free: u64,
    /// Prompt tokens yet to be computed.
    pub prefill: u64,
    /// Total prefill speed of these targets, in tokens per second.
    pub speed: u64,
}

impl PoolState {
    /// Returns the estimated wait of a new prompt, or `None` without an available target.
    pub fn wait(&self) -> Option<Duration> {
        let wait = Duration::from_secs_f64(self.prefill as f64 / self.speed.max(1) as f64);
        (self.available > 0).then_some(wait)
    }
}

/// Latest summaries of the other zones.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    zones: BTreeMap<ZoneId, (Vec<PoolState>, Instant)>,
}

impl Summaries {
    /// Stores the summary of a zone, received at `now`.
    pub fn insert(&mut self, zone: ZoneId, pools: Vec<PoolState>, now: Instant) {
        self.zones.insert(zone, (pools, now));
    }

    /// Returns the unexpired states of a pool by zone.
    pub fn pool_states<'a>(
        &'a self,
        pool: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a ZoneId, &'a PoolState)> + 'a {
        self.fresh(now).filter_map(move |(zone, pools)| {
            pools.iter().find(|p| p.pool.as_ref() == pool).map(|p| (zone, p))
        })
    }

    /// Returns the unexpired summaries by zone.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = (&ZoneId, &[PoolState])> {
        let fresh = move |heard: &Instant| now.saturating_duration_since(*heard) < MAX_AGE;
        self.zones.iter().filter(move |(_, (_, heard))| fresh(heard)).map(|(z, (p, _))| (z, &**p))
    }
}

/// Summarizes the targets of `zone` by pool.
pub fn summarize(
    targets: &TargetTable,
    config: &Config,
    zone: &ZoneId,
    now: Instant,
) -> Vec<PoolState> {
    let local: Vec<&TargetState> =
        targets.all().filter(|k| k.listed.zone == *zone && k.is_available(now)).collect();
    config.pools.iter().map(|pool| state(pool, &local)).collect()
}

fn state(pool: &Pool, local: &[&TargetState]) -> PoolState {
    let mut state = PoolState { pool: PoolId::clone(&pool.name), ..PoolState::default() };
    let in_pool =
        |k: &&&TargetState| k.listed.kind == pool.kind && matches(&pool.select, &k.listed.labels);
    for target in local.iter().filter(in_pool) {
        let report = &target.report;
        state.available += 1;
        state.free += report.free;
        state.max_free = state.max_free.max(report.free);
        state.prefill += report.prefill;
        state.speed += report.speed;
    }
    state
}
