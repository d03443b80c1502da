//! What one instance knows of the targets in its reach.
//!
//! The platform's list says which targets exist, the operators' configuration
//! relabels or drains them, reports say how loaded they are, and the
//! instance's own requests since the last report are added on top, so that a
//! lagging report does not draw a crowd.

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

/// Time between two looks at the boundaries and at slow targets.
const LOOK: Duration = Duration::from_secs(1);
/// Time over which other instances send unseen, in seconds.
const UNSEEN: f64 = 1.0;
/// Length of the prompt whose wait a zone states, in tokens.
const PROBE: f64 = 1000.0;
/// Wait up to which a zone offers its engines to other zones, in seconds.
const OFFERED: f64 = 0.5;
/// Engines of each band that a zone names to other zones.
const ROOMS: usize = 4;

/// All targets by name, and what follows from looking at them together.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: BTreeMap<TargetId, TargetState>,
    tiers: BTreeMap<(PoolId, ZoneId), Tiers>,
    offers: BTreeMap<ZoneId, OfferBudget>,
    hints: CacheHints,
    looked: Option<Instant>,
    instance_count: usize,
}

impl TargetTable {
    /// Takes over the platform's list and the operators' word on its targets.
    pub fn apply_listing(&mut self, listed: Vec<ListedTarget>, config: &Config) {
        let mut old = std::mem::take(&mut self.targets);
        for mut entry in listed {
            relabel(&mut entry, config);
            let drained = config.drained.iter().any(|s| matches(s, &entry.labels));
            let pools = pools_of(&entry, config);
            let name = TargetId::clone(&entry.name);
            let known = match old.remove(&name) {
                Some(known) if known.listed.addr == entry.addr => {
                    TargetState { listed: entry, drained, pools, ..known }
                }
                _ => TargetState::fresh(entry, drained, pools),
            };
            self.targets.insert(name, known);
        }
    }

    /// Notes whose engines are this instance's own.
    ///
    /// `instance_count` instances, this one included, send work to the same engines.
    pub fn set_owned(&mut self, instance_count: usize, mine: impl Fn(&TargetState) -> bool) {
        self.instance_count = instance_count;
        for known in self.targets.values_mut() {
            known.owned = mine(known);
        }
    }

    /// Notes a report unless a newer one is known; returns whether it was new.
    pub fn record_report(&mut self, name: &str, report: LoadReport, now: Instant) -> bool {
        let Some(known) = self.targets.get_mut(name) else { return false };
        let newer = (report.boot, report.number) > (known.report.boot, known.report.number);
        if newer {
            if report.boot != known.report.boot {
                known.refused = false;
                known.backlog = Backlog::default();
            }
            known.report = report;
            known.reported_at = Some(now);
            known.unreported = Unreported::default();
        }
        if self.looked.is_none_or(|at| now.saturating_duration_since(at) >= LOOK) {
            self.looked = Some(now);
            self.look(now);
        }
        newer
    }

    /// Notes a request that goes to the target and needs so much KV cache.
    pub fn record_sent(&mut self, name: &str, tokens: u64, memory: u64, now: Instant) {
        let Some(known) = self.targets.get_mut(name) else { return };
        known.own_prefill += tokens;
        known.own_running += 1;
        known.unreported.prefill += tokens;
        known.unreported.memory += memory;
        known.unreported.running += 1;
        known.unreported.long |= length_band(tokens) == BAND_COUNT - 1;
        let speed = known.speed();
        known.backlog.add(tokens, speed, now);
        if let Some(offer) = self.offers.get_mut(&known.listed.zone) {
            offer.consume(tokens);
        }
    }

    /// Notes that the prompt is computed, or that it will not be.
    ///
    /// `took` is the time from sending to the first token where the engine
    /// had nothing else to do at the sending; the engine's rate is learned
    /// from it.
    pub fn record_first_token(&mut self, name: &str, tokens: u64, took: Option<Duration>) {
        let Some(known) = self.targets.get_mut(name) else { return };
        known.own_prefill = known.own_prefill.saturating_sub(tokens);
        known.unreported.prefill = known.unreported.prefill.saturating_sub(tokens);
        if known.own_prefill == 0 {
            known.backlog = Backlog::default();
        }
        if let Some(took) = took {
            known.rate.record_sample(tokens, took);
        }
    }

    /// Notes the end of a request; `ok` tells whether the target did its part.
    pub fn record_end(&mut self, name: &str, ok: bool, now: Instant) {
        let Some(known) = self.targets.get_mut(name) else { return };
        known.own_running = known.own_running.saturating_sub(1);
        // Sent after the last report or counted in it: it is in flight no more.
        known.unreported.running = known.unreported.running.saturating_sub(1);
        if ok {
            known.health.record_success(now);
        } else if known.health.record_failure() {
            self.eject(name, now);
        }
    }

    /// Notes that a request which ended well holds this KV cache no more.
    pub fn record_freed(&mut self, name: &str, memory: u64) {
        if let Some(known) = self.targets.get_mut(name) {
            known.unreported.memory = known.unreported.memory.saturating_sub(memory);
        }
    }

    /// Notes that the target refused new work because it is leaving.
    pub fn record_draining(&mut self, name: &str) {
        if let Some(known) = self.targets.get_mut(name) {
            known.refused = true;
        }
    }

    /// Notes that a target may have `tokens` of a prefix cached.
    pub fn add_cache_hint(&mut self, prefix: u64, target: &TargetId, tokens: u64, now: Instant) {
        let hint = CacheHint { target: TargetId::clone(target), tokens, received_at: now };
        self.hints.insert(prefix, hint);
    }

    /// Returns the newest hint for a prefix.
    pub fn cache_hint(&self, prefix: u64) -> Option<&CacheHint> {
        self.hints.get(prefix)
    }

    /// Notes what another zone says of itself.
    pub fn record_offer(&mut self, zone: &ZoneId, offer: &ZoneOffer, now: Instant) {
        self.offers.insert(ZoneId::clone(zone), OfferBudget::new(offer));
        for room in &offer.engines {
            let Some(known) = self.targets.get_mut(&room.target) else { continue };
            known.report.prefill = room.prefill;
            known.report.free = room.free;
            known.report.speed = room.speed;
            known.tier = room.band;
            known.unreported = Unreported::default();
            known.reported_at = Some(now);
            known.offered_at = Some(now);
        }
    }

    /// Returns what is left of another zone's latest word.
    pub fn offer_budget(&self, zone: &str) -> Option<&OfferBudget> {
        self.offers.get(zone)
    }

    /// Returns what `zone` may say of itself to `instances` in other zones.
    pub fn zone_offer(&self, zone: &str, instances: usize, now: Instant) -> ZoneOffer {
        let open = |k: &&TargetState| {
            k.listed.zone.as_ref() == zone && k.is_reachable(now) && k.is_available(now)
        };
        let engines = || self.targets.values().filter(open).filter(|k| k.tier == 0);
        let room = |k: &TargetState| (OFFERED * k.speed() - k.pending_tokens(now)).max(0.0);
        let wait = |k: &TargetState| (k.pending_tokens(now) + PROBE) / k.speed();
        let wait = engines().map(wait).min_by(f64::total_cmp);
        let offered = (0..BAND_COUNT).flat_map(|band| {
            let mut best: Vec<&TargetState> =
                self.targets.values().filter(open).filter(|k| k.tier == band).collect();
            best.sort_by(|a, b| a.pending_tokens(now).total_cmp(&b.pending_tokens(now)));
            best.into_iter().take(ROOMS).map(move |k| EngineOffer {
                target: TargetId::clone(&k.listed.name),
                band,
                prefill: k.pending_tokens(now) as u64,
                free: k.free_tokens(),
                speed: k.speed() as u64,
            })
        });
        ZoneOffer {
            wait: wait.map_or(Duration::MAX, Duration::from_secs_f64),
            spare: (engines().map(room).sum::<f64>() / instances.max(1) as f64) as u64,
            engines: offered.collect(),
        }
    }

    /// Returns how many instances send work to the same engines, at least 1.
    pub fn instance_count(&self) -> usize {
        self.instance_count.max(1)
    }

    /// Returns what is known of the target.
    pub fn get(&self, name: &str) -> Option<&TargetState> {
        self.targets.get(name)
    }

    /// Returns all targets in the order of their names.
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
        let peers = || self.targets.values().filter(|k| peer(k, target));
        let ejected = peers().filter(|k| k.health.is_ejected(now)).count();
        if ejected >= max_ejected(peers().count()) {
            return;
        }
        if let Some(known) = self.targets.get_mut(name) {
            known.health.eject(now);
        }
    }

    /// Ejects slow targets and moves the boundaries.
    fn look(&mut self, now: Instant) {
        let slow: Vec<TargetId> = self
            .targets
            .values()
            .filter(|k| k.is_available(now) && self.is_slow(k))
            .map(|k| TargetId::clone(&k.listed.name))
            .collect();
        for name in slow {
            self.eject(&name, now);
            if let Some(known) = self.targets.get_mut(&name) {
                known.rate = PrefillRate::default();
            }
        }
        self.move_boundaries(now);
    }

    fn is_slow(&self, known: &TargetState) -> bool {
        let Some(rate) = known.learned_rate() else { return false };
        let peers = self.targets.values().filter(|k| peer(k, known));
        is_slow(rate, &mut peers.filter_map(TargetState::learned_rate).collect::<Vec<_>>())
    }

    fn move_boundaries(&mut self, now: Instant) {
        let mut groups: BTreeMap<(PoolId, ZoneId), Vec<TargetId>> = BTreeMap::new();
        for known in self.targets.values_mut() {
            known.tier = 0;
            if known.listed.kind == TargetKind::Service || !known.is_reachable(now) {
                continue;
            }
            for pool in &known.pools {
                let key = (PoolId::clone(pool), ZoneId::clone(&known.listed.zone));
                groups.entry(key).or_default().push(TargetId::clone(&known.listed.name));
            }
        }
        self.tiers.retain(|key, _| groups.contains_key(key));
        for (key, mut names) in groups {
            let sample = self.sample(&names);
            let tiers = self.tiers.entry(key).or_default();
            tiers.observe(sample, now);
            let tiers = *tiers;
            names.sort_by_key(|n| self.targets.get(n).map(|k| k.rank));
            for (place, name) in names.iter().enumerate() {
                if let Some(known) = self.targets.get_mut(name) {
                    known.tier = tiers.tier(place);
                }
            }
            self.level(&names, now);
        }
    }

    /// Sets the level of each tier of a pool's engines.
    fn level(&mut self, names: &[TargetId], now: Instant) {
        let others = 1.0 - 1.0 / self.instance_count() as f64;
        for tier in 0..BAND_COUNT {
            let (mut count, mut work) = (0.0, 0.0);
            for known in names.iter().filter_map(|n| self.targets.get(n)) {
                if known.tier == tier {
                    let unseen = if known.report.prefill > 0 { UNSEEN * others } else { 0.0 };
                    work += known.pending_seconds(now).min(UNSEEN) + unseen;
                    count += 1.0;
                }
            }
            let level = work / f64::max(count, 1.0);
            for name in names {
                if let Some(known) = self.targets.get_mut(name).filter(|k| k.tier == tier) {
                    known.fair_load = level;
                }
            }
        }
    }

    /// Sums up the latest reports, which all instances of the zone share.
    fn sample(&self, names: &[TargetId]) -> LoadSample {
        let mut sample = LoadSample { engines: names.len(), ..LoadSample::default() };
        for report in names.iter().filter_map(|n| self.targets.get(n)).map(|k| &k.report) {
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

/// Returns whether two targets of one zone serve a pool together.
fn peer(one: &TargetState, other: &TargetState) -> bool {
    one.listed.kind == other.listed.kind
        && one.listed.zone == other.listed.zone
        && (one.pools == other.pools || one.pools.iter().any(|p| other.pools.contains(p)))
}

fn pools_of(entry: &ListedTarget, config: &Config) -> Vec<PoolId> {
    let pools = config.pools.iter().filter(|p| p.kind == entry.kind);
    pools.filter(|p| matches(&p.select, &entry.labels)).map(|p| PoolId::clone(&p.name)).collect()
}

fn relabel(entry: &mut ListedTarget, config: &Config) {
    if let Some(word) = config.targets.iter().find(|t| t.name == entry.name) {
        for (name, value) in &word.labels {
            entry.labels.insert(name.clone(), value.clone());
        }
    }
}
