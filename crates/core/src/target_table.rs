//! Table of the targets that one instance can reach.
//!
//! The platform lists the targets, the operators' configuration relabels or
//! drains them, and load reports state their load. Requests that this instance
//! sent since the last report are added to the reported load, so that it does
//! not send too many requests to one target while the report is out of date.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::config::{Config, TargetKind};
use crate::estimate::PrefillRate;
use crate::health::{is_slow, max_ejected};
use crate::ids::{PoolId, TargetId, ZoneId};
use crate::labels::matches;
use crate::prefix::{CacheHint, CacheHints};
use crate::spillover::{EngineOffer, OfferBudget, ZoneOffer};
use crate::target_state::{Backlog, Unreported};
pub use crate::target_state::{ListedTarget, LoadReport, TargetState};
use crate::tiers::{BAND_COUNT, LoadSample, Tiers, length_band};

/// Time between two updates of the tiers and checks for slow targets.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between reports, during which requests of other instances are unknown.
const REPORT_INTERVAL_SECS: f64 = 1.0;
/// Length of the prompt for which a zone states its wait.
const PROBE_PROMPT_TOKENS: f64 = 1000.0;
/// Wait up to which a zone offers its engines to other zones.
const OFFERED_WAIT_SECS: f64 = 0.5;
/// Engines of each band that a zone offers to other zones.
const OFFERED_ENGINES: usize = 4;

/// All targets by name, the tiers of their pools and the offers of other zones.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: BTreeMap<TargetId, TargetState>,
    tiers: BTreeMap<(PoolId, ZoneId), Tiers>,
    offers: BTreeMap<ZoneId, OfferBudget>,
    hints: CacheHints,
    last_rebalance: Option<Instant>,
    instance_count: usize,
}

impl TargetTable {
    /// Applies the platform's list of targets and the operators' configuration.
    pub fn apply_listing(&mut self, listed: Vec<ListedTarget>, config: &Config) {
        let mut old = std::mem::take(&mut self.targets);
        for mut entry in listed {
            relabel(&mut entry, config);
            let drained = config.drained.iter().any(|s| matches(s, &entry.labels));
            let pools = pools_of(&entry, config);
            let name = TargetId::clone(&entry.name);
            let target = match old.remove(&name) {
                Some(target) if target.listed.addr == entry.addr => {
                    TargetState { listed: entry, drained, pools, ..target }
                }
                _ => TargetState::new(entry, drained, pools),
            };
            self.targets.insert(name, target);
        }
    }

    /// Sets which engines this instance owns.
    ///
    /// `instance_count` instances, this one included, send requests to the same engines.
    pub fn set_owned(&mut self, instance_count: usize, owned: impl Fn(&TargetState) -> bool) {
        self.instance_count = instance_count;
        for target in self.targets.values_mut() {
            target.owned = owned(target);
        }
    }

    /// Records a load report unless a newer one is known; returns whether it was new.
    pub fn record_report(&mut self, name: &str, report: LoadReport, now: Instant) -> bool {
        let Some(target) = self.targets.get_mut(name) else { return false };
        let newer = (report.boot, report.number) > (target.report.boot, target.report.number);
        if newer {
            if report.boot != target.report.boot {
                target.refused = false;
                target.backlog = Backlog::default();
            }
            target.report = report;
            target.reported_at = Some(now);
            target.unreported = Unreported::default();
        }
        if self
            .last_rebalance
            .is_none_or(|at| now.saturating_duration_since(at) >= REBALANCE_INTERVAL)
        {
            self.last_rebalance = Some(now);
            self.rebalance(now);
        }
        newer
    }

    /// Records a request sent to the target, which needs `memory` tokens of KV cache.
    pub fn record_sent(&mut self, name: &str, tokens: u64, memory: u64, now: Instant) {
        let Some(target) = self.targets.get_mut(name) else { return };
        target.own_prefill += tokens;
        target.own_running += 1;
        target.unreported.prefill += tokens;
        target.unreported.memory += memory;
        target.unreported.running += 1;
        target.unreported.long |= length_band(tokens) == BAND_COUNT - 1;
        let speed = target.speed();
        target.backlog.add(tokens, speed, now);
        if let Some(offer) = self.offers.get_mut(&target.listed.zone) {
            offer.consume(tokens);
        }
    }

    /// Records that a prompt was computed, or that it will not be.
    ///
    /// `took` is the time from sending to the first token, given only if the
    /// engine was idle when the request was sent. The engine's prefill rate is
    /// learned from it.
    pub fn record_first_token(&mut self, name: &str, tokens: u64, took: Option<Duration>) {
        let Some(target) = self.targets.get_mut(name) else { return };
        target.own_prefill = target.own_prefill.saturating_sub(tokens);
        target.unreported.prefill = target.unreported.prefill.saturating_sub(tokens);
        if target.own_prefill == 0 {
            target.backlog = Backlog::default();
        }
        if let Some(took) = took {
            target.rate.record_sample(tokens, took);
        }
    }

    /// Records the end of a request; `ok` is false if the target failed.
    pub fn record_end(&mut self, name: &str, ok: bool, now: Instant) {
        let Some(target) = self.targets.get_mut(name) else { return };
        target.own_running = target.own_running.saturating_sub(1);
        // Whether the last report counts the request or not, it is no longer in flight.
        target.unreported.running = target.unreported.running.saturating_sub(1);
        if ok {
            target.health.record_success(now);
        } else if target.health.record_failure() {
            self.eject(name, now);
        }
    }

    /// Records that a completed request has released its KV cache.
    pub fn record_freed(&mut self, name: &str, memory: u64) {
        if let Some(target) = self.targets.get_mut(name) {
            target.unreported.memory = target.unreported.memory.saturating_sub(memory);
        }
    }

    /// Records that the target refused new requests because it is leaving.
    pub fn record_draining(&mut self, name: &str) {
        if let Some(target) = self.targets.get_mut(name) {
            target.refused = true;
        }
    }

    /// Records that a target may have `tokens` of a prefix cached.
    pub fn add_cache_hint(&mut self, prefix: u64, target: &TargetId, tokens: u64, now: Instant) {
        let hint = CacheHint { target: TargetId::clone(target), tokens, received_at: now };
        self.hints.insert(prefix, hint);
    }

    /// Returns the newest hint for a prefix.
    pub fn cache_hint(&self, prefix: u64) -> Option<&CacheHint> {
        self.hints.get(prefix)
    }

    /// Records the latest offer of another zone.
    pub fn record_offer(&mut self, zone: &ZoneId, offer: &ZoneOffer, now: Instant) {
        self.offers.insert(ZoneId::clone(zone), OfferBudget::new(offer));
        for engine in &offer.engines {
            let Some(target) = self.targets.get_mut(&engine.target) else { continue };
            target.report.prefill = engine.prefill;
            target.report.free = engine.free;
            target.report.speed = engine.speed;
            target.tier = engine.band;
            target.unreported = Unreported::default();
            target.reported_at = Some(now);
            target.offered_at = Some(now);
        }
    }

    /// Returns what remains of another zone's latest offer.
    pub fn offer_budget(&self, zone: &str) -> Option<&OfferBudget> {
        self.offers.get(zone)
    }

    /// Returns the offer of `zone` to `instances` instances in other zones.
    pub fn zone_offer(&self, zone: &str, instances: usize, now: Instant) -> ZoneOffer {
        let available = |t: &&TargetState| {
            t.listed.zone.as_ref() == zone && t.is_reachable(now) && t.is_available(now)
        };
        let engines = || self.targets.values().filter(available).filter(|t| t.tier == 0);
        let room =
            |t: &TargetState| (OFFERED_WAIT_SECS * t.speed() - t.pending_tokens(now)).max(0.0);
        let wait = |t: &TargetState| (t.pending_tokens(now) + PROBE_PROMPT_TOKENS) / t.speed();
        let wait = engines().map(wait).min_by(f64::total_cmp);
        let offered = (0..BAND_COUNT).flat_map(|band| {
            let mut best: Vec<&TargetState> =
                self.targets.values().filter(available).filter(|t| t.tier == band).collect();
            best.sort_by(|a, b| a.pending_tokens(now).total_cmp(&b.pending_tokens(now)));
            best.into_iter().take(OFFERED_ENGINES).map(move |t| EngineOffer {
                target: TargetId::clone(&t.listed.name),
                band,
                prefill: t.pending_tokens(now) as u64,
                free: t.free_tokens(),
                speed: t.speed() as u64,
            })
        });
        ZoneOffer {
            wait: wait.map_or(Duration::MAX, Duration::from_secs_f64),
            spare: (engines().map(room).sum::<f64>() / instances.max(1) as f64) as u64,
            engines: offered.collect(),
        }
    }

    /// Returns how many instances send to the same engines, at least 1.
    pub fn instance_count(&self) -> usize {
        self.instance_count.max(1)
    }

    /// Returns the state of the target.
    pub fn get(&self, name: &str) -> Option<&TargetState> {
        self.targets.get(name)
    }

    /// Returns all targets, ordered by name.
    pub fn all(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// Returns the tiers of a pool in a zone.
    pub fn tiers(&self, pool: &PoolId, zone: &ZoneId) -> Tiers {
        let key = (PoolId::clone(pool), ZoneId::clone(zone));
        self.tiers.get(&key).copied().unwrap_or_default()
    }

    /// Ejects the target unless too many of its peers are ejected already.
    fn eject(&mut self, name: &str, now: Instant) {
        let Some(target) = self.targets.get(name) else { return };
        let peers = || self.targets.values().filter(|t| are_peers(t, target));
        let ejected = peers().filter(|t| t.health.is_ejected(now)).count();
        if ejected >= max_ejected(peers().count()) {
            return;
        }
        if let Some(target) = self.targets.get_mut(name) {
            target.health.eject(now);
        }
    }

    /// Ejects slow targets and updates the tiers.
    fn rebalance(&mut self, now: Instant) {
        let slow: Vec<TargetId> = self
            .targets
            .values()
            .filter(|t| t.is_available(now) && self.is_slow(t))
            .map(|t| TargetId::clone(&t.listed.name))
            .collect();
        for name in slow {
            self.eject(&name, now);
            if let Some(target) = self.targets.get_mut(&name) {
                target.rate = PrefillRate::default();
            }
        }
        self.update_tiers(now);
    }

    fn is_slow(&self, target: &TargetState) -> bool {
        let Some(rate) = target.learned_rate() else { return false };
        let peers = self.targets.values().filter(|t| are_peers(t, target));
        is_slow(rate, &mut peers.filter_map(TargetState::learned_rate).collect::<Vec<_>>())
    }

    fn update_tiers(&mut self, now: Instant) {
        let mut groups: BTreeMap<(PoolId, ZoneId), Vec<TargetId>> = BTreeMap::new();
        for target in self.targets.values_mut() {
            target.tier = 0;
            if target.listed.kind == TargetKind::Service || !target.is_reachable(now) {
                continue;
            }
            for pool in &target.pools {
                let key = (PoolId::clone(pool), ZoneId::clone(&target.listed.zone));
                groups.entry(key).or_default().push(TargetId::clone(&target.listed.name));
            }
        }
        self.tiers.retain(|key, _| groups.contains_key(key));
        for (key, mut names) in groups {
            let sample = self.load_sample(&names);
            let tiers = self.tiers.entry(key).or_default();
            tiers.observe(sample, now);
            let tiers = *tiers;
            names.sort_by_key(|n| self.targets.get(n).map(|t| t.rank));
            for (position, name) in names.iter().enumerate() {
                if let Some(target) = self.targets.get_mut(name) {
                    target.tier = tiers.tier(position);
                }
            }
            self.set_fair_load(&names, now);
        }
    }

    /// Sets the fair load of the engines in each tier of a pool.
    fn set_fair_load(&mut self, names: &[TargetId], now: Instant) {
        let others = 1.0 - 1.0 / self.instance_count() as f64;
        for tier in 0..BAND_COUNT {
            let (mut count, mut work) = (0.0, 0.0);
            for target in names.iter().filter_map(|n| self.targets.get(n)) {
                if target.tier == tier {
                    let unreported =
                        if target.report.prefill > 0 { REPORT_INTERVAL_SECS * others } else { 0.0 };
                    work += target.pending_seconds(now).min(REPORT_INTERVAL_SECS) + unreported;
                    count += 1.0;
                }
            }
            let fair_load = work / f64::max(count, 1.0);
            for name in names {
                if let Some(target) = self.targets.get_mut(name).filter(|t| t.tier == tier) {
                    target.fair_load = fair_load;
                }
            }
        }
    }

    /// Sums up the latest reports, which all instances of the zone receive.
    fn load_sample(&self, names: &[TargetId]) -> LoadSample {
        let mut sample = LoadSample { engines: names.len(), ..LoadSample::default() };
        for report in names.iter().filter_map(|n| self.targets.get(n)).map(|t| &t.report) {
            let speed = report.speed.max(1) as f64;
            for (band, prefill) in report.bands.iter().enumerate() {
                sample.backlog[band] += *prefill as f64 / speed;
            }
            if let Some(longest) = report.bands.iter().rposition(|prefill| *prefill > 0) {
                sample.busy[longest] += 1;
            }
        }
        sample
    }
}

/// Returns whether two targets of one zone serve the same pool.
fn are_peers(one: &TargetState, other: &TargetState) -> bool {
    one.listed.kind == other.listed.kind
        && one.listed.zone == other.listed.zone
        && (one.pools == other.pools || one.pools.iter().any(|p| other.pools.contains(p)))
}

fn pools_of(entry: &ListedTarget, config: &Config) -> Vec<PoolId> {
    let pools = config.pools.iter().filter(|p| p.kind == entry.kind);
    pools.filter(|p| matches(&p.select, &entry.labels)).map(|p| PoolId::clone(&p.name)).collect()
}

fn relabel(entry: &mut ListedTarget, config: &Config) {
    if let Some(entry_config) = config.targets.iter().find(|t| t.name == entry.name) {
        for (name, value) in &entry_config.labels {
            entry.labels.insert(name.clone(), value.clone());
        }
    }
}
