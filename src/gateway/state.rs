//! What the parts of one instance share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant};

use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::fleet::LAPSE_GRACE;
use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::plan::{RouteTable, ServiceId};
use mimosapass_core::edge::retry::RetryBudget;
use mimosapass_core::edge::schedule::{Avoided, Grant, Scheduler};
use mimosapass_core::edge::watch::{Neighbour, is_total_outage, should_watch};
use mimosapass_core::ids::{InstanceId, TargetId, ZoneId};
use mimosapass_platform::store::{Revision, Store};
use mimosapass_target::pool::ConnectionPool;

use super::metrics::Metrics;
use super::settings::Settings;
use super::turn::Slot;

/// Time after which an instance that peers tell nothing watches the store itself:
/// one question went unanswered, and the rest of two seconds is enough for a watch.
const BEHIND: Duration = Duration::from_millis(500);

/// Time for which new connections are still served after the signal to stop:
/// the balancer asks each second and takes an instance out after two misses.
pub const STOP_NOTICE: Duration = Duration::from_millis(2_500);
/// Time before the end of a stop at which requests are made to end.
pub const STOP_LAST: Duration = Duration::from_millis(400);

/// What is known of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreView {
    /// Since when it gives no answers; `None` while it does.
    pub away: Option<Instant>,
    /// Since when calls fail, so that entries may lapse unseen.
    pub failing: Option<Instant>,
    /// When it came back from an outage that peers saw as well.
    pub back: Option<Instant>,
    /// Revision up to which changes have been taken.
    pub at: Revision,
    /// Revision of the newest change of targets that is known.
    pub seen: Revision,
    /// Whether all targets have been listed once.
    pub listed: bool,
    /// When a call last succeeded.
    pub heard: Option<Instant>,
}

/// A peer that was heard of.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address of its datagrams.
    pub addr: SocketAddr,
    /// Start number of its process.
    pub boot: u64,
    /// Number of its last datagram.
    pub number: u64,
    /// When it was last heard.
    pub heard: Instant,
    /// Configuration version that it has in force.
    pub config: u64,
    /// Whether it cannot reach the store.
    pub cut: bool,
    /// When it last could not.
    pub cut_at: Option<Instant>,
    /// Revision of the newest change of targets that it knows.
    pub seen: Revision,
    /// Whether it watches the store for its zone.
    pub watching: bool,
    /// Availability zone.
    pub zone: ZoneId,
}

/// Everything that changes while the instance runs.
#[derive(Debug)]
pub struct State {
    /// Targets, requests in flight, and requests that wait for a place.
    pub scheduler: Scheduler,
    /// Threads that wait for a place, by request.
    pub threads: HashMap<RequestNumber, Arc<Slot>>,
    /// Repeats by service.
    pub repeats: HashMap<ServiceId, RetryBudget>,
    /// Peers by name.
    pub peers: HashMap<InstanceId, Peer>,
    /// Addresses of peers from the store, by name.
    pub members: HashMap<InstanceId, SocketAddr>,
    /// The store.
    pub store: StoreView,
    /// Since when a peer has a newer configuration.
    pub newer: Option<Instant>,
    /// Since when a peer of the zone knows more of the store, while this instance
    /// does not watch it.
    pub behind: Option<Instant>,
    /// When a peer was last asked for its view of the store.
    pub asked: Option<Instant>,
}

/// One gateway, shared by its parts.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: Settings,
    /// Name of the instance.
    pub name: InstanceId,
    /// Start number of this process, in Unix milliseconds.
    pub boot: u64,
    /// Client of the store.
    pub store: Store,
    /// Idle connections to targets.
    pub idle: ConnectionPool,
    /// Metrics.
    pub metrics: Metrics,
    /// Rung when a target's load changed, so that peers are told.
    pub bell: Condvar,
    state: Mutex<State>,
    plan: RwLock<Arc<RouteTable>>,
    text: Mutex<Arc<[u8]>>,
    stopping: OnceLock<Instant>,
    ending: AtomicBool,
    counter: AtomicU64,
}

impl Gateway {
    /// Builds the shared part of a gateway.
    pub fn new(settings: Settings, boot: u64) -> Self {
        Self {
            name: settings.name.as_str().into(),
            boot,
            store: Store::new(settings.store),
            idle: ConnectionPool::default(),
            metrics: Metrics::new(),
            bell: Condvar::new(),
            state: Mutex::new(State::new(settings.zone.as_str().into())),
            plan: RwLock::default(),
            text: Mutex::new(Arc::from(&b""[..])),
            stopping: OnceLock::new(),
            ending: AtomicBool::new(false),
            counter: AtomicU64::new(0),
            settings,
        }
    }

    /// Locks the state; hold it for a few steps only, never across I/O.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force; version 0 stands for none.
    pub fn plan(&self) -> Arc<RouteTable> {
        Arc::clone(&self.plan.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration in force if it is newer; returns whether it did.
    pub fn install(&self, plan: RouteTable, text: &[u8]) -> bool {
        let mut current = self.plan.write().unwrap_or_else(PoisonError::into_inner);
        if plan.version <= current.version {
            return false;
        }
        log::info!(version = plan.version, before = current.version; "config: in force.");
        self.metrics.config.set(plan.version as i64);
        *current = Arc::new(plan);
        *self.text.lock().unwrap_or_else(PoisonError::into_inner) = Arc::from(text);
        true
    }

    /// Returns the text of the configuration in force.
    pub fn text(&self) -> Arc<[u8]> {
        Arc::clone(&self.text.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a number that no other request of this process has.
    pub fn unique(&self) -> RequestNumber {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Marks the instance as stopping.
    pub fn stop(&self) {
        self.stopping.get_or_init(Instant::now);
    }

    /// Returns whether the instance is stopping.
    pub fn stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Returns whether a request that may take `time` comes too late into a stop.
    ///
    /// During the notice all are taken, since callers still come to this instance;
    /// after it only those that are sure to be over before the rest is ended.
    pub fn too_late(&self, time: Duration, now: Instant) -> bool {
        let limit = self.settings.stop_limit.saturating_sub(STOP_LAST);
        self.stopping.get().is_some_and(|at| now >= *at + STOP_NOTICE && now + time > *at + limit)
    }

    /// Makes all requests end with a failure.
    pub fn end(&self) {
        self.ending.store(true, Ordering::SeqCst);
    }

    /// Returns whether requests have to end now.
    pub fn ending(&self) -> bool {
        self.ending.load(Ordering::SeqCst)
    }

    /// Returns whether the instance takes requests, or else why not.
    ///
    /// # Errors
    ///
    /// Says why it does not.
    pub fn ready(&self) -> Result<(), &'static str> {
        if self.stopping() {
            return Err("the instance is stopping");
        }
        if self.plan().version == 0 {
            return Err("there is no configuration yet");
        }
        if !self.state().store.listed {
            return Err("targets have not been listed yet");
        }
        Ok(())
    }

    /// Notes the first event of a request, which ends the reading of its prompt.
    pub fn first_event(&self, grant: &Grant, now: Instant) {
        let mut state = self.state();
        state.scheduler.first_event(grant, now);
        self.bell.notify_all();
        state.dispatch(self, now);
    }

    /// Notes an event after the first, with the pause before it.
    pub fn event(&self, grant: &Grant, engine: Option<&Engine>, pause: Duration) {
        if let Some(engine) = engine {
            self.state().scheduler.record_event(grant, engine, pause, Instant::now());
        }
    }

    /// Notes that a request has ended at its targets.
    pub fn finish(&self, grant: &Grant, now: Instant) {
        let mut state = self.state();
        state.scheduler.finish(grant);
        self.bell.notify_all();
        state.dispatch(self, now);
    }

    /// Notes how an attempt at a target ended.
    pub fn note(&self, target: &TargetId, outcome: Outcome, now: Instant) {
        let Avoided { zone, pause } = self.state().scheduler.record_outcome(target, outcome, now);
        if let Some(zone) = zone {
            log::warn!(zone = &*zone; "zone: cut off, its targets are avoided.");
        }
        if let Some(pause) = pause {
            let pause_ms = pause.as_millis() as u64;
            log::warn!(target_id = &**target, outcome:? = outcome, pause_ms; "target: avoided.");
        }
    }
}

impl State {
    fn new(zone: ZoneId) -> Self {
        Self {
            scheduler: Scheduler::new(zone),
            threads: HashMap::new(),
            repeats: HashMap::new(),
            peers: HashMap::new(),
            members: HashMap::new(),
            store: StoreView::default(),
            newer: None,
            behind: None,
            asked: None,
        }
    }

    /// Returns the cost model of a target, where it is an engine.
    pub fn engine_at(&self, plan: &RouteTable, target: &str) -> Option<Engine> {
        self.scheduler.fleet.get(target).and_then(|t| plan.engine(&t.service))
    }

    /// Returns whether entries may have lapsed because the store was away.
    ///
    /// They do where it was away for all; one that refused this instance alone
    /// has lost no entry, and what is missing has left.
    pub fn outage(&self, now: Instant) -> bool {
        self.store.back.is_some_and(|at| now < at + LAPSE_GRACE)
    }

    /// Notes that the store answers again, if it did not.
    pub fn regained(&mut self, now: Instant) {
        let Some(since) = self.store.failing.take() else { return };
        // Others did not try to reach it.
        let tried = self.peers.values().filter(|p| p.watching);
        let cut = tried.clone().filter(|p| p.cut_at.is_some_and(|at| at >= since)).count();
        let whole = is_total_outage(tried.count(), cut);
        if whole {
            self.store.back = Some(now);
        }
        if self.store.away.take().is_some() {
            let away_ms = now.saturating_duration_since(since).as_millis() as u64;
            log::info!(revision = self.store.at, away_ms, whole; "store: regained.");
        }
    }

    /// Returns whether this instance watches the store for its zone.
    pub fn watches(&self, own: &str, now: Instant) -> bool {
        if self.behind.is_some_and(|since| now >= since + BEHIND) {
            return true;
        }
        let near = self.peers.iter().filter(|(_, p)| p.zone == self.scheduler.zone);
        let neighbours = near.map(|(name, peer)| Neighbour {
            name,
            silence: now.saturating_duration_since(peer.heard),
            cut_off: peer.cut,
        });
        should_watch(own, neighbours)
    }

    /// Returns the count of instances that are alive, this one included.
    pub fn instances(&self) -> usize {
        (self.peers.len() + 1).max(self.members.len())
    }
}
