//! Sends orders to the engines of this zone while this instance leads it.
//!
//! The zone leader acquires the zone's lease; the revision of the lease's key is
//! the fencing token of its orders. The state of each engine is read and compared
//! with the one that the configuration asks for; an order is sent if they differ.

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

const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks of an engine.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between checks of an engine that does not support orders.
const UNSUPPORTED_INTERVAL: Duration = Duration::from_mins(1);
/// Timeout to read the state of an engine.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum and maximum backoff after the weight store's rate limit was hit.
const RATE_LIMIT_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Sends orders as long as the process runs.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(ROUND_INTERVAL);
    let mut sender = OrderSender::new(node);
    while ticks.recv().is_ok() {
        sender.round();
    }
}

/// An engine that may be sent orders.
struct Engine {
    name: String,
    addr: String,
    labels: Labels,
}

struct OrderSender<'a> {
    node: &'a Node,
    key: String,
    lease: Option<(HeldLease, LeaseClock)>,
    /// Time of the next check by engine.
    next_checks: BTreeMap<String, Instant>,
    version: ConfigVersion,
    zone_count: usize,
    load_bucket: Bucket,
    load_backoff: Backoff,
}

impl<'a> OrderSender<'a> {
    fn new(node: &'a Node) -> Self {
        Self {
            node,
            key: format!("leaders/{}", node.zone),
            lease: None,
            next_checks: BTreeMap::new(),
            version: 0,
            zone_count: 1,
            load_bucket: zone_bucket(1, Instant::now()),
            load_backoff: Backoff::new(RATE_LIMIT_BACKOFF.0, RATE_LIMIT_BACKOFF.1),
        }
    }

    fn round(&mut self) {
        if !self.is_leader() {
            self.release();
            return;
        }
        self.refresh();
        for engine in self.engines() {
            self.maintain_lease();
            if self.lease.is_none() {
                break;
            }
            if self.next_checks.get(&engine.name).is_none_or(|at| Instant::now() >= *at) {
                let wait = self.check_engine(&engine);
                self.next_checks.insert(engine.name, Instant::now() + wait);
            }
        }
        self.node.state().fence = self.lease.map(|(_, clock)| clock.fence());
    }

    fn is_leader(&self) -> bool {
        let state = self.node.state();
        let names = state.view.candidates(Instant::now());
        state.readiness.is_ready() && leader(&names) == Some(&*self.node.name)
    }

    /// Picks up a new configuration version and the current number of zones.
    ///
    /// The zones share the rate of the weight store.
    fn refresh(&mut self) {
        let state = self.node.state();
        let entries = state.members.iter().filter(|m| m.role == Role::Entry);
        let zones: BTreeSet<&str> = entries.map(|m| m.zone.as_str()).collect();
        let count = zones.len().max(1);
        let version = state.active_head.head().version;
        drop(state);
        if version != self.version {
            self.version = version;
            self.next_checks.clear();
        }
        if count != self.zone_count {
            self.zone_count = count;
            self.load_bucket = zone_bucket(count, Instant::now());
        }
    }

    fn engines(&self) -> Vec<Engine> {
        let state = self.node.state();
        let engine = |t: &mimosapass_core::target_table::TargetState| Engine {
            name: t.listed.name.to_string(),
            addr: t.listed.addr.clone(),
            labels: t.listed.labels.clone(),
        };
        state
            .targets
            .all()
            .filter(|t| t.listed.kind == TargetKind::Engine && t.listed.zone == self.node.zone)
            .filter(|t| !t.listed.leaving)
            .map(engine)
            .collect()
    }

    /// Acquires or renews the lease; drops one that may have expired.
    fn maintain_lease(&mut self) {
        let now = Instant::now();
        let result = match &mut self.lease {
            Some((_, clock)) if clock.expired(now) => Err(KvError::LeaseExpired),
            Some((held, clock)) if clock.needs_renewal(now) => {
                self.node.lease_kv.call(|kv| leases::renew(kv, held)).map(|at| clock.renewed(at))
            }
            Some(_) => Ok(()),
            None => self.acquire(),
        };
        match result {
            Ok(()) => {}
            Err(KvError::LeaseExpired) => {
                log::warn!("orders: the lease of the zone has expired.");
                self.lease = None;
            }
            Err(e) => log::debug!("orders: cannot acquire or renew the lease of the zone: {e}."),
        }
    }

    fn acquire(&mut self) -> Result<(), KvError> {
        let holder = format!("{}-{:x}", self.node.name, self.node.boot);
        let call = |kv: &_| leases::acquire(kv, &self.key, &holder, LEASE_TTL);
        if let Some(held) = self.node.lease_kv.call(call)? {
            log::info!(
                "orders: leading zone {} with fencing token {}.",
                self.node.zone,
                held.fence
            );
            let clock = LeaseClock::new(held.fence, held.requested_at, Instant::now());
            self.lease = Some((held, clock));
            self.next_checks.clear();
        }
        Ok(())
    }

    fn release(&mut self) {
        if let Some((held, _)) = self.lease.take() {
            self.node.state().fence = None;
            if let Err(e) = self.node.lease_kv.call(|kv| leases::release(kv, &self.key, &held)) {
                log::debug!("orders: cannot release the lease of the zone: {e}.");
            }
        }
    }

    /// Checks an engine, sends an order if needed, and returns the time to the next check.
    fn check_engine(&mut self, engine: &Engine) -> Duration {
        let current = match orders::fetch(&self.node.pooled_agent, &engine.addr, READ_TIMEOUT) {
            Ok(current) => current,
            Err(CallError::Rejected { status: NOT_SUPPORTED, .. }) => return UNSUPPORTED_INTERVAL,
            Err(e) => {
                log::debug!(
                    "orders: cannot read the state of {} at {}: {e}.",
                    engine.name,
                    engine.addr
                );
                return CHECK_INTERVAL;
            }
        };
        let Some(document) = self.node.document() else { return CHECK_INTERVAL };
        let Some(goal) = desired_state(&document.config, &engine.labels) else {
            return CHECK_INTERVAL;
        };
        if goal == current.goal {
            return CHECK_INTERVAL;
        }
        let needs_load = goal.needs_load(&current.goal);
        if needs_load
            && !(self.load_backoff.ready(Instant::now()) && self.load_bucket.take(Instant::now()))
        {
            return ROUND_INTERVAL;
        }
        // The clock is read last, so that a pause of this process before here counts.
        let checks_fence = current.fence.is_some();
        let Some(clock) =
            self.lease.map(|(_, c)| c).filter(|c| c.may_send_order(checks_fence, Instant::now()))
        else {
            return ROUND_INTERVAL;
        };
        let addr = &engine.addr;
        let result =
            orders::send(&self.node.pooled_agent, addr, clock.fence(), &goal, ORDER_TIMEOUT);
        self.handle_result(engine, result)
    }

    fn handle_result(&mut self, engine: &Engine, result: Result<(), CallError>) -> Duration {
        let name = &engine.name;
        match result {
            Ok(()) => {
                log::info!("orders: {name} applied its order.");
                self.load_backoff.succeeded();
            }
            Err(CallError::Rejected { status: STALE_FENCE, .. }) => {
                log::warn!("orders: {name} rejected the fencing token: there is a newer leader.");
                self.lease = None;
            }
            Err(CallError::Rejected { status: RATE_LIMITED, .. }) => {
                log::info!("orders: {name} hit the rate limit of the weight store.");
                self.load_backoff.failed(Instant::now(), rand::random());
                return ROUND_INTERVAL;
            }
            Err(e) => log::warn!("orders: order to {name} failed: {e}."),
        }
        CHECK_INTERVAL
    }
}
