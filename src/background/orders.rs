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
use mimosapass_core::lease::{LEASE_TTL, LeaseClock, ORDER_TIMEOUT};
use mimosapass_core::orders::{desired_state, zone_bucket};
use mimosapass_core::pace::{Backoff, Bucket};
use mimosapass_core::roles::leader;
use mimosapass_keyvalue::kv::KvError;
use mimosapass_keyvalue::leases::{self, HeldLease};
use mimosapass_keyvalue::members::Role;
use mimosapass_target::error::CallError;
use mimosapass_target::orders::{self, NOT_SUPPORTED, RATE_LIMITED, STALE_FENCE};

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
    held: Option<(HeldLease, LeaseClock)>,
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
            loads: zone_bucket(1, Instant::now()),
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
        self.node.state().fence = self.held.map(|(_, clock)| clock.fence());
    }

    fn leads(&self) -> bool {
        let state = self.node.state();
        let names = state.view.candidates(Instant::now());
        state.readiness.is_ready() && leader(&names) == Some(&*self.node.name)
    }

    /// Adapts to a new configuration and to the number of zones, which share
    /// the weight store's rate.
    fn adapt(&mut self) {
        let state = self.node.state();
        let entries = state.members.iter().filter(|m| m.role == Role::Entry);
        let zones: BTreeSet<&str> = entries.map(|m| m.zone.as_str()).collect();
        let count = zones.len().max(1);
        let version = state.active_head.head().version;
        drop(state);
        if version != self.version {
            self.version = version;
            self.next.clear();
        }
        if count != self.zones {
            self.zones = count;
            self.loads = zone_bucket(count, Instant::now());
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
            Some((_, clock)) if clock.expired(now) => Err(KvError::LeaseExpired),
            Some((held, clock)) if clock.needs_renewal(now) => self
                .node
                .throttled_kv
                .call(|kv| leases::renew(kv, held))
                .map(|at| clock.renewed(at)),
            Some(_) => Ok(()),
            None => self.acquire(),
        };
        match result {
            Ok(()) => {}
            Err(KvError::LeaseExpired) => {
                log::warn!("orders: the lease has lapsed.");
                self.held = None;
            }
            Err(e) => log::debug!("orders: the lease was not had: {e}."),
        }
    }

    fn acquire(&mut self) -> Result<(), KvError> {
        let holder = format!("{}-{:x}", self.node.name, self.node.boot);
        let call = |kv: &_| leases::acquire(kv, &self.key, &holder, LEASE_TTL);
        if let Some(held) = self.node.throttled_kv.call(call)? {
            log::info!("orders: leads {} with number {}.", self.node.zone, held.fence);
            let clock = LeaseClock::new(held.fence, held.requested_at, Instant::now());
            self.held = Some((held, clock));
            self.next.clear();
        }
        Ok(())
    }

    fn release(&mut self) {
        if let Some((held, _)) = self.held.take() {
            self.node.state().fence = None;
            if let Err(e) = self.node.throttled_kv.call(|kv| leases::release(kv, &self.key, &held))
            {
                log::debug!("orders: the lease was not given up: {e}.");
            }
        }
    }

    /// Looks at an engine and orders what it lacks; returns when to look again.
    fn attend(&mut self, engine: &Engine) -> Duration {
        let carried = match orders::fetch(&self.node.pooled_agent, &engine.addr, READ) {
            Ok(carried) => carried,
            Err(CallError::Rejected { status: NOT_SUPPORTED, .. }) => return SELDOM,
            Err(e) => {
                log::debug!("orders: {} was not read: {e}.", engine.name);
                return CHECK;
            }
        };
        let Some(document) = self.node.document() else { return CHECK };
        let Some(goal) = desired_state(&document.config, &engine.labels) else { return CHECK };
        if goal == carried.goal {
            return CHECK;
        }
        let loads = goal.needs_load(&carried.goal);
        if loads && !(self.limited.ready(Instant::now()) && self.loads.take(Instant::now())) {
            return ROUND;
        }
        // The clock is read last, so that a pause before this counts.
        let checks = carried.fence.is_some();
        let Some(clock) =
            self.held.map(|(_, t)| t).filter(|t| t.may_send_order(checks, Instant::now()))
        else {
            return ROUND;
        };
        let addr = &engine.addr;
        let result =
            orders::send(&self.node.pooled_agent, addr, clock.fence(), &goal, ORDER_TIMEOUT);
        self.ended(engine, result)
    }

    fn ended(&mut self, engine: &Engine, result: Result<(), CallError>) -> Duration {
        let name = &engine.name;
        match result {
            Ok(()) => {
                log::info!("orders: {name} carries what it should.");
                self.limited.succeeded();
            }
            Err(CallError::Rejected { status: STALE_FENCE, .. }) => {
                log::warn!("orders: {name} has taken orders of a newer leader.");
                self.held = None;
            }
            Err(CallError::Rejected { status: RATE_LIMITED, .. }) => {
                log::info!("orders: the weight store's limit was met at {name}.");
                self.limited.failed(Instant::now(), rand::random());
                return ROUND;
            }
            Err(e) => log::warn!("orders: {name} did not take its order: {e}."),
        }
        CHECK
    }
}
