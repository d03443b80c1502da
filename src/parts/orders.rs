//! Gives orders to the engines of this zone while this instance leads it.
//!
//! The zone leader takes the zone's lease; the revision of its key is the
//! fencing number. What each engine carries is read, compared with what the
//! configuration wants, and ordered anew where it differs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::config::TargetKind;
use mimosapass_core::ids::ConfigVersion;
use mimosapass_core::labels::Labels;
use mimosapass_core::orders::{goal, share};
use mimosapass_core::pace::{Backoff, Bucket};
use mimosapass_core::roles::leader;
use mimosapass_core::tenure::{ORDER, TTL, Tenure};
use mimosapass_keyvalue::kv::KvError;
use mimosapass_keyvalue::leases::{self, Held};
use mimosapass_keyvalue::list::Role;
use mimosapass_target::fault::Fault;
use mimosapass_target::orders::{self, LIMITED, NONE, OLD};

use crate::node::Node;

/// Time between two rounds.
const ROUND: Duration = Duration::from_secs(1);
/// Time between two looks at an engine that carries what it should.
const CHECK: Duration = Duration::from_secs(5);
/// Time between two looks at an engine that takes no orders.
const SELDOM: Duration = Duration::from_mins(1);
/// Time to read what an engine carries.
const READ: Duration = Duration::from_secs(1);
/// Waits after the weight store's limit was met, least and most.
const LIMIT_WAITS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Gives orders for as long as the process lives.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(ROUND);
    let mut giver = Giver::new(node);
    while ticks.recv().is_ok() {
        giver.round();
    }
}

/// An engine that may get orders.
struct Engine {
    name: String,
    addr: String,
    labels: Labels,
}

struct Giver<'a> {
    node: &'a Node,
    key: String,
    held: Option<(Held, Tenure)>,
    next: BTreeMap<String, Instant>,
    version: ConfigVersion,
    zones: usize,
    loads: Bucket,
    limited: Backoff,
}

impl<'a> Giver<'a> {
    fn new(node: &'a Node) -> Self {
        Self {
            node,
            key: format!("leaders/{}", node.zone),
            held: None,
            next: BTreeMap::new(),
            version: 0,
            zones: 1,
            loads: share(1, Instant::now()),
            limited: Backoff::new(LIMIT_WAITS.0, LIMIT_WAITS.1),
        }
    }

    fn round(&mut self) {
        if !self.leads() {
            self.release();
            return;
        }
        self.adapt();
        for engine in self.engines() {
            self.keep();
            if self.held.is_none() {
                break;
            }
            if self.next.get(&engine.name).is_none_or(|at| Instant::now() >= *at) {
                let wait = self.attend(&engine);
                self.next.insert(engine.name, Instant::now() + wait);
            }
        }
        self.node.state().fence = self.held.map(|(_, tenure)| tenure.fence());
    }

    fn leads(&self) -> bool {
        let state = self.node.state();
        let names = state.view.candidates(Instant::now());
        state.join.joined() && leader(&names) == Some(&*self.node.name)
    }

    /// Adapts to a new configuration and to the number of zones, which share
    /// the weight store's rate.
    fn adapt(&mut self) {
        let state = self.node.state();
        let entries = state.members.iter().filter(|m| m.role == Role::Entry);
        let zones: BTreeSet<&str> = entries.map(|m| m.zone.as_str()).collect();
        let count = zones.len().max(1);
        let version = state.gate.head().version;
        drop(state);
        if version != self.version {
            self.version = version;
            self.next.clear();
        }
        if count != self.zones {
            self.zones = count;
            self.loads = share(count, Instant::now());
        }
    }

    fn engines(&self) -> Vec<Engine> {
        let state = self.node.state();
        let engine = |k: &mimosapass_core::target_table::TargetState| Engine {
            name: k.listed.name.to_string(),
            addr: k.listed.addr.clone(),
            labels: k.listed.labels.clone(),
        };
        state
            .targets
            .all()
            .filter(|k| k.listed.kind == TargetKind::Engine && k.listed.zone == self.node.zone)
            .filter(|k| !k.listed.leaving)
            .map(engine)
            .collect()
    }

    /// Takes or renews the lease; drops one that may have lapsed.
    fn keep(&mut self) {
        let now = Instant::now();
        let result = match &mut self.held {
            Some((_, tenure)) if tenure.lapsed(now) => Err(KvError::NoLease),
            Some((held, tenure)) if tenure.due(now) => {
                self.node.control.call(|kv| leases::renew(kv, held)).map(|at| tenure.renewed(at))
            }
            Some(_) => Ok(()),
            None => self.acquire(),
        };
        match result {
            Ok(()) => {}
            Err(KvError::NoLease) => {
                log::warn!("orders: the lease has lapsed.");
                self.held = None;
            }
            Err(e) => log::debug!("orders: the lease was not had: {e}."),
        }
    }

    fn acquire(&mut self) -> Result<(), KvError> {
        let holder = format!("{}-{:x}", self.node.name, self.node.boot);
        let call = |kv: &_| leases::acquire(kv, &self.key, &holder, TTL);
        if let Some(held) = self.node.control.call(call)? {
            log::info!("orders: leads {} with number {}.", self.node.zone, held.fence);
            let tenure = Tenure::new(held.fence, held.asked, Instant::now());
            self.held = Some((held, tenure));
            self.next.clear();
        }
        Ok(())
    }

    fn release(&mut self) {
        if let Some((held, _)) = self.held.take() {
            self.node.state().fence = None;
            if let Err(e) = self.node.control.call(|kv| leases::release(kv, &self.key, &held)) {
                log::debug!("orders: the lease was not given up: {e}.");
            }
        }
    }

    /// Looks at an engine and orders what it lacks; returns when to look again.
    fn attend(&mut self, engine: &Engine) -> Duration {
        let carried = match orders::read(&self.node.pooled, &engine.addr, READ) {
            Ok(carried) => carried,
            Err(Fault::Rejected { status: NONE, .. }) => return SELDOM,
            Err(e) => {
                log::debug!("orders: {} was not read: {e}.", engine.name);
                return CHECK;
            }
        };
        let Some(document) = self.node.document() else { return CHECK };
        let Some(goal) = goal(&document.config, &engine.labels) else { return CHECK };
        if goal == carried.goal {
            return CHECK;
        }
        let loads = goal.loads(&carried.goal);
        if loads && !(self.limited.ready(Instant::now()) && self.loads.take(Instant::now())) {
            return ROUND;
        }
        // The clock is read last, so that a pause before this counts.
        let checks = carried.fence.is_some();
        let Some(tenure) =
            self.held.map(|(_, t)| t).filter(|t| t.may_order(checks, Instant::now()))
        else {
            return ROUND;
        };
        let addr = &engine.addr;
        let result = orders::order(&self.node.pooled, addr, tenure.fence(), &goal, ORDER);
        self.ended(engine, result)
    }

    fn ended(&mut self, engine: &Engine, result: Result<(), Fault>) -> Duration {
        let name = &engine.name;
        match result {
            Ok(()) => {
                log::info!("orders: {name} carries what it should.");
                self.limited.worked();
            }
            Err(Fault::Rejected { status: OLD, .. }) => {
                log::warn!("orders: {name} has taken orders of a newer leader.");
                self.held = None;
            }
            Err(Fault::Rejected { status: LIMITED, .. }) => {
                log::info!("orders: the weight store's limit was met at {name}.");
                self.limited.failed(Instant::now(), rand::random());
                return ROUND;
            }
            Err(e) => log::warn!("orders: {name} did not take its order: {e}."),
        }
        CHECK
    }
}
