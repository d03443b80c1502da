//! State shared by the threads of one gateway.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mimosapass_core::edge::catch_up::{Lag, Requests};
use mimosapass_core::edge::changes::ChangeLog;
use mimosapass_core::edge::clients::ClientRequests;
use mimosapass_core::edge::cost::Engine;
use mimosapass_core::edge::fleet::LAPSE_GRACE;
use mimosapass_core::edge::learning::{Learning, Outlay};
use mimosapass_core::edge::load::RequestNumber;
use mimosapass_core::edge::outage::{self, MIN_OUTAGE};
use mimosapass_core::edge::outcomes::Outcome;
use mimosapass_core::edge::progress::Progress;
use mimosapass_core::edge::quarantine::Quarantine;
use mimosapass_core::edge::reach::Reach;
use mimosapass_core::edge::remote::RemoteRequests;
use mimosapass_core::edge::retry::{RetryLedger, RetryLimits};
use mimosapass_core::edge::retry_share::{FleetSize, RetryShare};
use mimosapass_core::edge::route_table::{RouteTable, ServiceId};
use mimosapass_core::edge::schedule::{Exclusions, Grant, Scheduler};
use mimosapass_core::edge::stop::Stop;
use mimosapass_core::ids::{InstanceId, TargetId};
use mimosapass_instance::compression::compress;
use mimosapass_platform::store::Store;
use mimosapass_target::pool::ConnectionPool;

use super::delegate::Observations;
use super::metrics::Metrics;
use super::peers::{Member, Peer};
use super::queue::GrantSlot;
use super::settings::{Costs, Settings};

/// Bodies of responses may use one part in this many of the machine's memory.
const RESPONSES_DIVISOR: usize = 8;
/// Text of a configuration, for peers that do not have it.
#[derive(Debug, Default)]
pub struct ConfigText {
    /// The text as the operator wrote it.
    pub text: Bytes,
    compressed: OnceLock<Bytes>,
}

impl ConfigText {
    fn new(text: &[u8]) -> Self {
        Self { text: Bytes::copy_from_slice(text), compressed: OnceLock::new() }
    }

    /// Returns the compressed text; empty if it cannot be compressed.
    pub fn compressed(&self) -> &Bytes {
        self.compressed.get_or_init(|| {
            let text = std::str::from_utf8(&self.text).map_err(std::io::Error::other);
            text.and_then(compress).unwrap_or_else(|e| {
                log::error!("snapshot: the configuration cannot be compressed: {e}.");
                Bytes::new()
            })
        })
    }
}

/// Connection to the store and progress of its watch.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreStatus {
    /// When the store was declared unavailable; `None` while it responds.
    pub down_since: Option<Instant>,
    /// When a call failed first since the last success.
    pub failing_since: Option<Instant>,
    /// End of the last outage.
    pub outage_end: Option<Instant>,
    /// How far this instance has followed the store.
    pub progress: Progress,
    /// When the store was last found to have come back from a copy.
    pub restored_at: Option<Instant>,
    /// Whether all targets have been listed at least once.
    pub listed: bool,
    /// When a call last succeeded.
    pub last_success: Option<Instant>,
}

/// Mutable state of the instance, behind one lock.
#[derive(Debug)]
pub struct State {
    /// Targets, requests in flight and queued requests.
    pub scheduler: Scheduler,
    /// Slots in which threads wait for a grant, by request.
    pub grant_slots: HashMap<RequestNumber, Arc<GrantSlot>>,
    /// Recent requests and retries by service.
    pub retry_ledgers: HashMap<ServiceId, RetryLedger>,
    /// Limits on retries that are in force.
    pub retry_limits: RetryLimits,
    /// Time from a stop signal until the process is killed, as in force now.
    pub stop_limit: Duration,
    /// Whether this instance may use its part of the retries that all share.
    pub retry_share: RetryShare,
    /// How many instances there are.
    pub fleet_size: FleetSize,
    /// Number of instances that were registered or heard at the last full state.
    pub known_instances: u32,
    /// Peers by name, from their datagrams.
    pub peers: HashMap<InstanceId, Peer>,
    /// Addresses of peers from the store, by name.
    pub members: HashMap<InstanceId, Member>,
    /// Requests of this instance that schedulers place.
    pub remote: RemoteRequests,
    /// Requests of other instances that this one places.
    pub clients: ClientRequests,
    /// Observations of targets that schedulers are not told of yet.
    pub observations: Observations,
    /// Whether peers are to be told of new data of the store at once.
    pub announce: bool,
    /// Connection to the store.
    pub store: StoreStatus,
    /// Targets that cannot be connected to.
    pub reach: Reach,
    /// Services of which most targets cannot be connected to.
    pub cut_off: BTreeSet<ServiceId>,
    /// Whether this instance is cut off from the targets of all services taken together.
    pub isolated: bool,
    /// Recent changes of targets, for peers that do not watch the store.
    pub target_changes: ChangeLog,
    /// Since when a peer has had a newer configuration.
    pub outdated_since: Option<Instant>,
    /// Since when this instance lacks data of the store that a peer of the zone has.
    pub lag: Lag,
    /// Parts of prompts that crash targets.
    pub quarantine: Quarantine,
    /// Whether peers are to be told at once of parts that were accused or cleared here.
    pub evidence_changed: bool,
    /// Requests to peers for a snapshot.
    pub snapshot_requests: Requests,
}

/// One gateway, shared by its threads.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: Settings,
    /// Name of the instance.
    pub name: InstanceId,
    /// Start time of this process, in Unix milliseconds.
    pub boot: u64,
    /// Start time on the steady clock.
    pub started: Instant,
    /// Client of the store.
    pub store: Store,
    /// Idle connections to targets.
    pub connections: ConnectionPool,
    /// Metrics.
    pub metrics: Metrics,
    /// Bytes that the bodies of responses hold until they are relayed.
    pub response_bytes: Arc<AtomicUsize>,
    /// Notified when peers should be sent a change of load.
    pub load_changed: Condvar,
    state: Mutex<State>,
    route_table: RwLock<Arc<RouteTable>>,
    config_text: Mutex<Arc<ConfigText>>,
    stop: OnceLock<Stop>,
    aborting: AtomicBool,
    cutting: AtomicBool,
    next_number: AtomicU64,
}

impl Gateway {
    /// Creates the state of a gateway that has no configuration yet.
    pub fn new(settings: Settings, boot: u64) -> Self {
        Self {
            name: settings.name.as_str().into(),
            boot,
            started: Instant::now(),
            store: Store::new(settings.store),
            connections: ConnectionPool::default(),
            metrics: Metrics::new(),
            response_bytes: Arc::default(),
            load_changed: Condvar::new(),
            state: Mutex::new(State::new(&settings)),
            route_table: RwLock::default(),
            config_text: Mutex::default(),
            stop: OnceLock::new(),
            aborting: AtomicBool::new(false),
            cutting: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns how many bytes the bodies of all responses may hold together.
    pub fn max_response_bytes(&self) -> usize {
        self.settings.memory_mb * 1024 * 1024 / RESPONSES_DIVISOR
    }

    /// Locks the state; the lock must be held briefly and never across I/O.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force; its version is 0 before the first.
    pub fn route_table(&self) -> Arc<RouteTable> {
        Arc::clone(&self.route_table.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration from `source` in force if it is newer; returns whether it was.
    pub fn install(&self, table: RouteTable, text: &[u8], source: &str) -> bool {
        let mut current = self.route_table.write().unwrap_or_else(PoisonError::into_inner);
        if table.version <= current.version {
            return false;
        }
        log::info!(
            version = table.version, before = current.version, bytes = text.len(), source;
            "config: now in force."
        );
        self.metrics.config_version.set(table.version as i64);
        *current = Arc::new(table);
        *self.config_text.lock().unwrap_or_else(PoisonError::into_inner) =
            Arc::new(ConfigText::new(text));
        true
    }

    /// Returns the text of the configuration in force.
    pub fn config_text(&self) -> Arc<ConfigText> {
        Arc::clone(&self.config_text.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the highest era that the store or a peer has stated.
    pub fn known_era(&self) -> u64 {
        self.store.era().max(self.state().reported_era())
    }

    /// Returns whether the store came back from a copy since this instance listed it.
    pub fn is_in_new_era(&self) -> bool {
        self.known_era() > self.state().store.progress.watched.era
    }

    /// Returns a request number that is unique within this process.
    pub fn next_number(&self) -> RequestNumber {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Marks the instance as stopping, within the stop limit that is in force.
    pub fn begin_stop(&self) -> Stop {
        let limit = self.state().stop_limit;
        *self.stop.get_or_init(|| Stop::new(Instant::now(), limit))
    }

    /// Returns the stop that has begun, if any.
    pub fn stop(&self) -> Option<Stop> {
        self.stop.get().copied()
    }

    /// Returns whether the instance is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stop().is_some()
    }

    /// Aborts all requests that have no response yet.
    pub fn abort_requests(&self) {
        self.aborting.store(true, Ordering::SeqCst);
    }

    /// Returns whether requests without a response are being aborted.
    pub fn is_aborting(&self) -> bool {
        self.aborting.load(Ordering::SeqCst)
    }

    /// Ends the streams that callers have got a part of.
    pub fn cut_streams(&self) {
        self.cutting.store(true, Ordering::SeqCst);
    }

    /// Returns whether streams are being ended.
    pub fn is_cutting(&self) -> bool {
        self.cutting.load(Ordering::SeqCst)
    }

    /// Checks whether the instance is ready for requests.
    ///
    /// # Errors
    ///
    /// Returns the reason why it is not.
    pub fn check_ready(&self) -> Result<(), &'static str> {
        if self.is_stopping() {
            return Err("the instance is stopping");
        }
        if self.route_table().version == 0 {
            return Err("no configuration has been loaded yet");
        }
        if !self.state().store.listed {
            return Err("targets have not been listed yet");
        }
        Ok(())
    }

    /// Records the first event of a request, which ends its prefill.
    pub fn record_first_event(&self, grant: &Grant, now: Instant) {
        let mut state = self.state();
        if !state.remote.first_event(grant.id, now) {
            state.scheduler.first_event(grant, now);
        }
        self.load_changed.notify_all();
        state.dispatch(self, now);
    }

    /// Records an event after the first, with the gap before it.
    pub fn record_event(&self, grant: &Grant, engine: Option<&Engine>, gap: Duration) {
        let Some(engine) = engine else { return };
        let target = &grant.placement.target.id;
        let mut state = self.state();
        // Only a scheduler knows how many requests the target decodes.
        if state.remote.contains(grant.id) {
            state.observations.add_gap(target, gap);
        } else {
            state.scheduler.record_gap(target, engine, gap, Instant::now());
        }
    }

    /// Releases the grant of a request that has ended at its targets.
    pub fn finish(&self, grant: &Grant, now: Instant) {
        let mut state = self.state();
        if !state.remote.end(grant.id) {
            state.scheduler.finish(grant);
        }
        self.load_changed.notify_all();
        state.dispatch(self, now);
    }

    /// Records what a request has cost that has ended well.
    pub fn record_outlay(&self, outlay: Outlay, now: Instant) {
        if self.settings.costs == Costs::Stated {
            return;
        }
        let mut state = self.state();
        if state.places_own(self, now) {
            state.record_outlay(&self.route_table(), &outlay, now);
        } else {
            state.observations.add_outlay(outlay);
        }
    }

    /// Records the outcome of an attempt at a target.
    pub fn record_outcome(&self, target: &TargetId, outcome: Outcome, now: Instant) {
        let mut state = self.state();
        if state.places_own(self, now) {
            state.record_outcome(target, outcome, now);
        } else {
            state.observations.add_outcome(target, outcome);
        }
    }
}

impl State {
    fn new(settings: &Settings) -> Self {
        let mut scheduler = Scheduler::new(settings.zone.as_str().into());
        scheduler.pricing = settings.pricing;
        scheduler.learning = (settings.costs == Costs::Learned).then(Learning::default);
        Self {
            scheduler,
            grant_slots: HashMap::new(),
            retry_ledgers: HashMap::new(),
            retry_limits: settings.retry_limits,
            stop_limit: settings.stop_limit,
            retry_share: RetryShare::new(settings.first_start),
            fleet_size: FleetSize::default(),
            known_instances: 1,
            peers: HashMap::new(),
            members: HashMap::new(),
            remote: RemoteRequests::default(),
            clients: ClientRequests::default(),
            observations: Observations::default(),
            announce: false,
            store: StoreStatus::default(),
            reach: Reach::default(),
            cut_off: BTreeSet::new(),
            isolated: false,
            target_changes: ChangeLog::default(),
            outdated_since: None,
            lag: Lag::default(),
            quarantine: Quarantine::default(),
            evidence_changed: false,
            snapshot_requests: Requests::default(),
        }
    }

    /// Records the outcome of an attempt at a target, and logs what it excludes.
    pub fn record_outcome(&mut self, target: &TargetId, outcome: Outcome, now: Instant) {
        let Exclusions { zone, pause } = self.scheduler.record_outcome(target, outcome, now);
        if let Some(zone) = zone {
            log::warn!(zone = &*zone; "zone: unreachable, its targets are avoided.");
        }
        if let Some(pause) = pause {
            let pause_ms = pause.as_millis() as u64;
            log::warn!(target_id = &**target, outcome:? = outcome, pause_ms; "target: avoided.");
        }
    }

    /// Returns the cost model of a target that is an engine.
    pub fn engine_at(&self, table: &RouteTable, target: &str) -> Option<Engine> {
        self.scheduler.fleet.get(target).and_then(|t| table.engine(&t.service))
    }

    /// Returns whether entries may be missing because of a recent outage or restore.
    ///
    /// Leases expire only when the store was unavailable to all. When it refused this
    /// instance alone, a missing entry was removed by its owner.
    pub fn after_outage(&self, now: Instant) -> bool {
        self.grace_end(now).is_some_and(|end| now < end)
    }

    /// Returns the end of the period in which targets whose entries may have expired in an
    /// outage are kept; `None` while the store is away.
    pub fn grace_end(&self, now: Instant) -> Option<Instant> {
        if self.store.failing_since.is_some() {
            return None;
        }
        let outage_end = self.store.outage_end.filter(|end| self.was_total(*end));
        let last = outage_end.max(self.store.restored_at);
        Some(last.map_or(now, |at| at + LAPSE_GRACE))
    }

    /// Returns whether the outage that ended at `end` affected all instances, as far as peers
    /// have reported by now.
    fn was_total(&self, end: Instant) -> bool {
        // Peers that do not watch the store did not try to reach it.
        let tried = self.peers.values().filter(|p| p.watching);
        outage::is_total(tried.map(|p| p.outage), end)
    }

    /// Records that a call succeeded, which ends an outage.
    pub fn record_success(&mut self, now: Instant) {
        let Some(since) = self.store.failing_since.take() else { return };
        self.announce = true;
        let away = now.saturating_duration_since(since);
        let lasted = away >= MIN_OUTAGE;
        if lasted {
            self.store.outage_end = Some(now);
        }
        if self.store.down_since.take().is_some() {
            let whole = lasted && self.was_total(now);
            let away_ms = away.as_millis() as u64;
            let peers = self.peers.values().filter(|p| p.watching).count();
            log::info!(
                era = self.store.progress.watched.era, revision = self.store.progress.watched.revision,
                away_ms, whole, peers;
                "store: available again."
            );
        }
    }
}
