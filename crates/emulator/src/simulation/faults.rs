//! Faults of engines and instances.

use std::time::Duration;

use mimosapass_core::edge::evacuation::Order;
use mimosapass_core::edge::position::Position;
use mimosapass_core::ids::TargetId;

use super::engines::{STALL_TIMEOUT, zone};
use super::{CallEnd, Event, Simulation};
use crate::pattern::Fault;

/// Time after which peers drop the state of an instance that no longer responds.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time until a caller notices that its instance failed.
const DISCONNECT_DELAY: Duration = Duration::from_millis(50);

impl Simulation<'_> {
    /// Applies a fault.
    pub fn apply_fault(&mut self, fault: Fault) {
        let nth = |n: usize| (0..self.engines.len()).step_by(n.max(1));
        match fault {
            Fault::Unresponsive(n) => nth(n).for_each(|i| self.make_unresponsive(i)),
            Fault::Recovered(n) => nth(n).for_each(|i| {
                self.engines[i].unresponsive = false;
                self.engines[i].model.restart();
            }),
            Fault::Slow(n, factor) => nth(n).for_each(|i| self.engines[i].model.slowdown = factor),
            Fault::Failing(n, share) => nth(n).for_each(|i| self.engines[i].failure_rate = share),
            Fault::Drain(i) => {
                self.engines[i].draining = true;
                self.report_engine(i);
            }
            Fault::Removed(i) => self.remove_engine(i),
            Fault::Replaced(i) => self.replace_engine(i),
            Fault::Evacuate(zone) => self.order_zone(zone, true),
            Fault::TakeBack(zone) => self.order_zone(zone, false),
            Fault::LoseZone(zone) => self.lose_zone(zone),
            Fault::LoseInstances => (0..self.instances.len()).for_each(|i| self.lose_instance(i)),
            Fault::RestartInstances => {
                for i in 0..self.instances.len() {
                    if !self.instances[i].alive {
                        self.instances[i] = self.new_instance(i);
                    }
                }
            }
        }
    }

    fn make_unresponsive(&mut self, engine: usize) {
        self.engines[engine].unresponsive = true;
        let epoch = self.engines[engine].model.epoch;
        self.after(STALL_TIMEOUT, Event::AbortStalled(engine, epoch));
    }

    /// Updates the entry of an engine in the target list of every instance.
    fn report_engine(&mut self, engine: usize) {
        let target = self.engines[engine].target();
        for node in &mut self.instances {
            node.scheduler.fleet.report(target.clone());
        }
    }

    fn remove_engine(&mut self, engine: usize) {
        self.engines[engine].alive = false;
        for node in &mut self.instances {
            node.scheduler.fleet.remove(&self.engines[engine].id, false);
        }
        for id in self.engines[engine].model.restart() {
            self.fail(id, true);
        }
    }

    /// Starts a removed engine again under a new identifier.
    fn replace_engine(&mut self, engine: usize) {
        let node = &mut self.engines[engine];
        node.starts += 1;
        node.id = format!("e{engine:02}.{}", node.starts).as_str().into();
        (node.alive, node.draining) = (true, false);
        self.engine_index.insert(TargetId::clone(&node.id), engine);
        self.report_engine(engine);
    }

    /// Lets all instances know that a zone is evacuated, or taken back.
    fn order_zone(&mut self, index: usize, evacuated: bool) {
        let at = Position { era: 0, revision: self.next_number() };
        for node in &mut self.instances {
            node.scheduler.fleet.evacuations.record(&zone(index).1, Order { evacuated, at });
        }
    }

    fn lose_zone(&mut self, zone: usize) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].zone == zone {
                self.make_unresponsive(engine);
            }
        }
        for instance in 0..self.instances.len() {
            if self.instances[instance].zone == zone {
                self.lose_instance(instance);
            }
        }
    }

    fn lose_instance(&mut self, instance: usize) {
        self.instances[instance].alive = false;
        for call in 0..self.records.len() {
            let record = &mut self.records[call];
            let busy = record.queue_id.is_some() || record.dispatch_id.is_some();
            if record.entry != instance || record.end.is_some() || !busy {
                continue;
            }
            record.queue_id = None;
            let (dispatch, started) = (record.dispatch_id.take(), record.first_event.is_some());
            if let Some(id) = dispatch {
                self.release(id);
            }
            if started {
                self.mark_failed(call);
            } else {
                self.schedule_retry(call, DISCONNECT_DELAY, CallEnd::Failed);
            }
        }
        self.reassign(instance);
        self.after(PEER_TIMEOUT, Event::ForgetPeer(instance));
    }
}
