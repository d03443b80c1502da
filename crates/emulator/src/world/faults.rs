//! Faults of engines and instances.

use std::time::Duration;

use mimosapass_core::ids::TargetId;

use super::engines::STALL;
use super::{End, Event, World};
use crate::pattern::Fault;

/// Time after which peers forget an instance that fell silent.
const SILENT: Duration = Duration::from_millis(3_500);
/// Time after which a caller notices that its instance is gone.
const NOTICED: Duration = Duration::from_millis(50);

impl World<'_> {
    /// Applies a fault.
    pub fn fault(&mut self, fault: Fault) {
        let each = |n: usize| (0..self.sites.len()).step_by(n.max(1));
        match fault {
            Fault::Dark(n) => each(n).for_each(|i| self.darken(i)),
            Fault::Lit(n) => each(n).for_each(|i| {
                self.sites[i].dark = false;
                self.sites[i].runner.restart();
            }),
            Fault::Slow(n, factor) => each(n).for_each(|i| self.sites[i].runner.slow = factor),
            Fault::Grey(n, share) => each(n).for_each(|i| self.sites[i].grey = share),
            Fault::Drain(i) => {
                self.sites[i].draining = true;
                self.report(i);
            }
            Fault::Gone(i) => self.gone(i),
            Fault::Born(i) => self.born(i),
            Fault::LoseZone(zone) => self.lose_zone(zone),
            Fault::LoseInstances => (0..self.nodes.len()).for_each(|i| self.lose(i)),
            Fault::ReturnInstances => {
                for i in 0..self.nodes.len() {
                    if !self.nodes[i].alive {
                        self.nodes[i] = self.node(i);
                    }
                }
            }
        }
    }

    fn darken(&mut self, engine: usize) {
        self.sites[engine].dark = true;
        let epoch = self.sites[engine].runner.epoch;
        self.after(STALL, Event::Stalled(engine, epoch));
    }

    fn report(&mut self, engine: usize) {
        let target = self.sites[engine].target();
        for node in &mut self.nodes {
            node.scheduler.fleet.report(target.clone());
        }
    }

    fn gone(&mut self, engine: usize) {
        let moment = self.moment();
        self.sites[engine].alive = false;
        for node in &mut self.nodes {
            node.scheduler.fleet.remove(&self.sites[engine].id, false, moment);
        }
        for id in self.sites[engine].runner.restart() {
            self.fail(id, true);
        }
    }

    /// Starts an engine anew under another name.
    fn born(&mut self, engine: usize) {
        let site = &mut self.sites[engine];
        site.born += 1;
        site.id = format!("e{engine:02}.{}", site.born).as_str().into();
        (site.alive, site.draining) = (true, false);
        self.index.insert(TargetId::clone(&site.id), engine);
        self.report(engine);
    }

    fn lose_zone(&mut self, zone: usize) {
        for engine in 0..self.sites.len() {
            if self.sites[engine].zone == zone {
                self.darken(engine);
            }
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].zone == zone {
                self.lose(node);
            }
        }
    }

    fn lose(&mut self, instance: usize) {
        self.nodes[instance].alive = false;
        for call in 0..self.fates.len() {
            let fate = &mut self.fates[call];
            let busy = fate.waiting.is_some() || fate.sent.is_some();
            if fate.instance != instance || fate.end.is_some() || !busy {
                continue;
            }
            fate.waiting = None;
            let (sent, begun) = (fate.sent.take(), fate.first.is_some());
            if let Some(id) = sent {
                self.close(id);
            }
            if begun {
                self.broken(call);
            } else {
                self.returns(call, NOTICED, End::Failed);
            }
        }
        self.after(SILENT, Event::Forget(instance));
    }
}
