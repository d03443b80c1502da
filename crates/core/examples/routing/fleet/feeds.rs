//! What instances hear late: reports, cache events, summaries, the list; and faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosapass_core::config::{Config, TargetKind};
use mimosapass_core::ids::{TargetId, ZoneId};
use mimosapass_core::rendezvous::holder;
use mimosapass_core::target_table::{ListedTarget, LoadReport};
use rand::RngExt;

use super::{End, Event, Fault, Fleet, PERIOD};
use crate::engine::{CAPACITY, SLOTS, SPEED};

/// Time after which a dead engine is gone from the platform's list.
const LIST_LAG: Duration = Duration::from_secs(5);

impl Fleet<'_> {
    pub(super) fn lag(&mut self) -> Duration {
        let (least, most) = self.scene.lag;
        least + most.saturating_sub(least).mul_f64(self.rng.random::<f64>())
    }

    pub(super) fn measure(&mut self, engine: usize) {
        self.at(self.now + PERIOD, Event::Measure(engine));
        if !self.engines[engine].alive {
            return;
        }
        self.reports[engine] += 1;
        let crowd = std::mem::take(&mut self.fresh[engine]);
        if crowd > 0 {
            let (sum, count, most) = self.crowds;
            self.crowds = (sum + crowd, count + 1, most.max(crowd));
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
            free: CAPACITY - model.used.min(CAPACITY),
            capacity: CAPACITY,
            speed: SPEED as u64,
            ..LoadReport::default()
        };
        let lag = self.lag();
        self.at(self.now + lag, Event::Deliver(engine, Arc::new(report)));
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

    pub(super) fn summaries(&mut self) {
        self.at(self.now + PERIOD, Event::Summaries);
        let now = self.instant();
        let others = self.instances.len() - self.instances.len() / self.scene.zones;
        for zone in 0..self.scene.zones {
            let teller = self.instances.iter().find(|i| i.zone == zone && i.alive);
            let Some(teller) = teller else { continue };
            let summary = teller.targets.zone_offer(&self.zones[zone], others, now);
            for other in self.instances.iter_mut().filter(|i| i.zone != zone) {
                other.targets.record_offer(&self.zones[zone], &summary, now);
            }
        }
    }

    pub(super) fn relist(&mut self) {
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
            instance.targets.set_owned(peers.len(), |k| {
                k.listed.zone == self.zones[zone]
                    && holder(&k.listed.name, peers.iter().map(String::as_str)) == Some(&me)
            });
        }
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Die(engine) => self.die(engine),
            Fault::Return(engine) => {
                self.engines[engine].alive = true;
                self.listed[engine] = true;
                self.at(self.now + LIST_LAG, Event::Relist);
            }
            Fault::Slow(engine, factor) => self.engines[engine].slow = factor,
            Fault::LoseZone(zone) => {
                for instance in self.instances.iter_mut().filter(|i| i.zone == zone) {
                    instance.alive = false;
                }
                (0..self.engines.len())
                    .filter(|e| e % self.scene.zones == zone)
                    .for_each(|e| self.die(e));
            }
        }
    }

    pub(super) fn die(&mut self, engine: usize) {
        let lost = self.engines[engine].die();
        self.listed[engine] = false;
        self.at(self.now + LIST_LAG, Event::Relist);
        for i in lost {
            self.close_prefill(i, engine, None);
            self.whole(i, false);
            self.seen.failed += 1;
            let alive = self.instances[self.flights[i].instance].alive;
            if self.ends[i] != End::Open {
                continue;
            }
            if alive && self.now < self.trace[i].at + self.classes[self.trace[i].class].deadline {
                self.enqueue(i);
            } else {
                self.ends[i] = End::Late;
            }
        }
    }
}
