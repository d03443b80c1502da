//! The price that a scheduler puts on the time of engines.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::edge::cost::Engine;
use crate::edge::fleet::{Target, TargetId};
use crate::edge::grant::Refusal;
use crate::edge::load::Pressure;
use crate::edge::placement::MIN_BACKLOG;
use crate::edge::price::Capacity;
use crate::edge::requirements::Requirements;
use crate::edge::route_table::{RouteTable, ServiceId};
use crate::edge::schedule::Scheduler;
use crate::edge::wait::pressure_price;
use crate::ids::{InstanceId, ZoneId};

/// Least time between two samples: half a pass.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// How the price of engine time is found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Pricing {
    /// From the share of engines with a backlog; only long prompts pay it.
    #[default]
    Backlog,
    /// From what requests ask for and bring, see [`price`](crate::edge::price); all pay it.
    Learned,
}

impl Scheduler {
    /// Samples the load of each service's engines.
    pub(super) fn sample(&mut self, table: &RouteTable, now: Instant) {
        // An instance that delegates its placements knows of no load.
        if self.load.is_empty() && self.pressure.is_empty() {
            return;
        }
        let sampled = |service: &ServiceId| self.pressure.get(service).and_then(Pressure::at);
        let is_due =
            |service: &ServiceId| sampled(service).is_none_or(|at| now >= at + SAMPLE_INTERVAL);
        let engines = table.services().filter_map(|s| s.engine.map(|e| (&s.name, e)));
        let due: Vec<(&ServiceId, Engine)> =
            engines.filter(|(service, _)| is_due(service)).collect();
        if due.is_empty() {
            return;
        }
        self.prices.retain(|service, _| table.engine(service).is_some());
        // Looked up here, since fleets are large and few targets are avoided.
        let avoided: HashSet<&TargetId> = self.outcomes.avoided(now).collect();
        let cut_off: HashSet<&ZoneId> = self.reachability.cut_off(now).collect();
        let excluded = |target: &Target| {
            !avoided.is_empty() && avoided.contains(&target.id)
                || !cut_off.is_empty() && cut_off.contains(&target.zone)
        };
        let idle = self.load.is_empty();
        for (service, engine) in due {
            let (mut backlogged, mut count) = (0.0, 0.0);
            let mut capacity = Capacity::default();
            for target in self.fleet.serving(service) {
                let backlog = if idle {
                    Duration::ZERO
                } else {
                    self.load.predict(&target.id, Some(&engine), now).prefill_time
                };
                count += 1.0;
                backlogged += f64::from(u8::from(backlog > MIN_BACKLOG));
                if !excluded(target) {
                    capacity.add(backlog);
                }
            }
            let share = if count > 0.0 { backlogged / count } else { 0.0 };
            self.pressure.entry(ServiceId::clone(service)).or_default().observe(share, now);
            if self.pricing == Pricing::Learned {
                let waiting = self.queue.values().filter(|r| r.service == *service);
                let price = self.prices.entry(ServiceId::clone(service)).or_default();
                price.update(capacity, waiting.map(|r| r.entry.ask()), now);
            }
        }
    }

    /// Records a request that asks for engine time.
    pub(super) fn record_asked(&mut self, requirements: &Requirements) {
        if self.pricing == Pricing::Learned && requirements.engine.is_some() {
            let price = self.prices.entry(ServiceId::clone(&requirements.service)).or_default();
            price.record(requirements.entry.ask(), requirements.entry.arrived);
        }
    }

    /// Returns the value that a second of an engine brings elsewhere, as a request pays it.
    pub fn price(&self, requirements: &Requirements) -> f64 {
        match self.pricing {
            Pricing::Backlog if !requirements.long => 0.0,
            Pricing::Backlog => pressure_price(self.pressure(&requirements.service)),
            Pricing::Learned => self.learned_price(&requirements.service),
        }
    }

    /// Returns the learned price of a second of a service's engines.
    pub fn learned_price(&self, service: &str) -> f64 {
        let pressure = self.pressure(service);
        self.prices.get(service).map_or(0.0, |price| price.value(pressure))
    }

    /// Returns the highest learned price over all services.
    pub fn highest_price(&self) -> f64 {
        self.prices.keys().map(|service| self.learned_price(service)).fold(0.0, f64::max)
    }

    /// Returns the engine time that each service is asked for here, in seconds a second.
    pub fn demand(&self) -> impl Iterator<Item = (&ServiceId, f64)> {
        self.prices.iter().map(|(service, price)| (service, price.demand()))
    }

    /// Records the engine time that a peer is asked for, in seconds a second.
    pub fn record_peer_demand(
        &mut self,
        peer: &InstanceId,
        service: &ServiceId,
        demand: f64,
        now: Instant,
    ) {
        if self.pricing == Pricing::Learned {
            let price = self.prices.entry(ServiceId::clone(service)).or_default();
            price.record_peer(peer, demand, now);
        }
    }

    pub(super) fn price_refusal(&self, service: &str, price: f64) -> Refusal {
        match self.pricing {
            Pricing::Backlog => Refusal::Pressure(self.pressure(service)),
            Pricing::Learned => Refusal::Price(price),
        }
    }

    /// Returns the share of a service's engines with a backlog, as a running mean.
    pub fn pressure(&self, service: &str) -> f64 {
        self.pressure.get(service).map_or(0.0, Pressure::mean)
    }
}
