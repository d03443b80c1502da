//! Delayed feeds to the instances (reports, cache events, offers, listing), and faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosapass_core::config::{Config, TargetKind};
use mimosapass_core::ids::{TargetId, ZoneId};
use mimosapass_core::rendezvous::holder;
use mimosapass_core::target_table::{ListedTarget, LoadReport};
use rand::RngExt;

use super::{Event, Fault, Fleet, Outcome, REPORT_INTERVAL};
use crate::engine::{KV_CAPACITY_TOKENS, PREFILL_SPEED, SLOTS};

/// Time until a dead engine is removed from the platform's list.
const LIST_LAG: Duration = Duration::from_secs(5);

impl Fleet<'_> {
    pub(super) fn lag(&mut self) -> Duration {
        let (least, most) = self.scenario.lag;
        least + most.saturating_sub(least).mul_f64(self.rng.random::<f64>())
    }

    pub(super) fn send_report(&mut self, engine: usize) {
        self.schedule(self.now + REPORT_INTERVAL, Event::SendReport(engine));
        if !self.engines[engine].alive {
            return;
        }
        self.reports[engine] += 1;
        let burst = std::mem::take(&mut self.sent_since_report[engine]);
        if burst > 0 {
            let (sum, count, most) = self.bursts;
            self.bursts = (sum + burst, count + 1, most.max(burst));
        }
        let model = &self.engines[engine];
        let bands = model.prefill();
        let prefill = bands.iter().sum();
        let report = LoadReport {
            boot: model.boot,
            number: self.reports[engine],
            prefill,
            bands,
            running: model.running(),
            slots: SLOTS,
            free: KV_CAPACITY_TOKENS - model.used.min(KV_CAPACITY_TOKENS),
            capacity: KV_CAPACITY_TOKENS,
            speed: PREFILL_SPEED as u64,
            ..LoadReport::default()
        };
        let lag = self.lag();
        self.schedule(self.now + lag, Event::Deliver(engine, Arc::new(report)));
    }

    pub(super) fn deliver(&mut self, engine: usize, report: &LoadReport) {
        let (zone, now) = (self.zone_of(engine), self.instant());
        for instance in self.instances.iter_mut().filter(|i| i.zone == zone && i.alive) {
            instance.targets.record_report(&self.names[engine], report.clone(), now);
        }
    }

    pub(super) fn hint(&mut self, engine: usize, prefix: u64, tokens: u64) {
        let (zone, now) = (self.zone_of(engine), self.instant());
        for instance in self.instances.iter_mut().filter(|i| i.zone == zone && i.alive) {
            instance.targets.add_cache_hint(prefix, &self.names[engine], tokens, now);
        }
    }

    pub(super) fn exchange_offers(&mut self) {
        self.schedule(self.now + REPORT_INTERVAL, Event::ExchangeOffers);
        let now = self.instant();
        let others = self.instances.len() - self.instances.len() / self.scenario.zones;
        for zone in 0..self.scenario.zones {
            let sender = self.instances.iter().find(|i| i.zone == zone && i.alive);
            let Some(sender) = sender else { continue };
            let offer = sender.targets.zone_offer(&self.zones[zone], others, now);
            for other in self.instances.iter_mut().filter(|i| i.zone != zone) {
                other.targets.record_offer(&self.zones[zone], &offer, now);
            }
        }
    }

    pub(super) fn apply_listing(&mut self) {
        let entries: Vec<ListedTarget> = (0..self.engines.len())
            .filter(|e| self.listed[*e])
            .map(|e| ListedTarget {
                name: TargetId::clone(&self.names[e]),
                kind: TargetKind::Engine,
                zone: ZoneId::clone(&self.zones[self.zone_of(e)]),
                addr: format!("127.0.0.1:{e}"),
                labels: BTreeMap::new(),
                leaving: false,
            })
            .collect();
        let config = Config { pools: vec![self.pool.clone()], ..Config::default() };
        for i in 0..self.instances.len() {
            let zone = self.instances[i].zone;
            let peers: Vec<String> = (0..self.instances.len())
                .filter(|p| self.instances[*p].zone == zone && self.instances[*p].alive)
                .map(|p| format!("instance-{p:02}"))
                .collect();
            let me = format!("instance-{i:02}");
            let instance = &mut self.instances[i];
            instance.targets.apply_listing(entries.clone(), &config);
            instance.targets.set_owned(peers.len(), |t| {
                t.listed.zone == self.zones[zone]
                    && holder(&t.listed.name, peers.iter().map(String::as_str)) == Some(&me)
            });
        }
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Die(engine) => self.kill(engine),
            Fault::Return(engine) => {
                self.engines[engine].alive = true;
                self.listed[engine] = true;
                self.schedule(self.now + LIST_LAG, Event::ApplyListing);
            }
            Fault::Slow(engine, factor) => self.engines[engine].slowdown = factor,
            Fault::LoseZone(zone) => {
                for instance in self.instances.iter_mut().filter(|i| i.zone == zone) {
                    instance.alive = false;
                }
                (0..self.engines.len())
                    .filter(|e| e % self.scenario.zones == zone)
                    .for_each(|e| self.kill(e));
            }
        }
    }

    pub(super) fn kill(&mut self, engine: usize) {
        let lost = self.engines[engine].kill();
        self.listed[engine] = false;
        self.schedule(self.now + LIST_LAG, Event::ApplyListing);
        for i in lost {
            self.close_prefill(i, engine, None);
            self.complete(i, false);
            self.result.failed += 1;
            let alive = self.instances[self.flights[i].instance].alive;
            if self.ends[i] != Outcome::Open {
                continue;
            }
            if alive && self.now < self.trace[i].at + self.classes[self.trace[i].class].deadline {
                self.enqueue(i);
            } else {
                self.ends[i] = Outcome::Late;
            }
        }
    }
}
