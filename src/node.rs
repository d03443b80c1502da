//! State that all threads of one instance share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_core::estimate::TokenRatios;
use mimosapass_core::ids::{InstanceId, WorkspaceId, ZoneId};
use mimosapass_core::membership::{Heartbeat, View};
use mimosapass_core::memory::Claims;
use mimosapass_core::readiness::{NotReady, Readiness};
use mimosapass_core::retry_budget::RetryBudget;
use mimosapass_core::summary::Summaries;
use mimosapass_core::target_table::TargetTable;
use mimosapass_core::version::{ActiveHead, Head};
use mimosapass_instance::compact::Expander;
use mimosapass_instance::link::Links;
use mimosapass_keyvalue::kv::KvClient;
use mimosapass_keyvalue::members::Member;
use mimosapass_keyvalue::throttle::ThrottledKv;
use mimosapass_operator::document::Document;
use mimosapass_target::stream_agents::StreamAgents;
use ureq::Agent;

use crate::background::contacts::{Contacts, peer_answers};
use crate::background::groups::Groups;
use crate::background::reclaim::ReclaimRequest;
use crate::background::records::Records;
use crate::explain::Explanations;
use crate::metrics::Metrics;
use crate::request::queue::RequestQueue;
use crate::settings::{Settings, StopTimes};
use crate::timer::Timer;
use crate::trace::Traces;

/// Maximum number of idle connections kept per target.
const MAX_IDLE: usize = 16;
/// Key in [`State::config_faults`] of a fault that the platform's copy has.
pub const PLATFORM_SOURCE: &str = "platform";

/// Mutable state of an instance, behind one lock.
#[derive(Debug)]
pub struct State {
    /// Head of the active configuration; its version never decreases.
    pub active_head: ActiveHead,
    /// Active configuration.
    pub document: Option<Arc<Document>>,
    /// Whether the instance has learned enough to serve requests.
    pub readiness: Readiness,
    /// Configuration faults by the platform or peer that has them.
    pub config_faults: BTreeMap<String, String>,
    /// When a configuration was last requested from a peer.
    pub config_requested: Option<Instant>,
    /// Targets of all zones and their load.
    pub targets: TargetTable,
    /// Live peers by their heartbeats.
    pub view: View,
    /// Static fields of targets, which compacted load reports omit.
    pub expander: Expander,
    /// Fencing token of this instance's orders while it leads its zone.
    pub fence: Option<u64>,
    /// Peer addresses that are not in the member list, and broadcast times.
    pub contacts: Contacts,
    /// Summaries of the pools of other zones.
    pub summaries: Summaries,
    /// When the platform returned the list, to this instance or to the peer that sent it.
    pub listed_at: Option<Instant>,
    /// Latest member list of the platform.
    pub members: Vec<Member>,
    /// Learned ratios of tokens to prompt bytes.
    pub token_ratios: TokenRatios,
    /// Retry budget.
    pub retry_budget: RetryBudget,
    /// Queued requests.
    pub queue: RequestQueue,
    /// Number of requests in flight by workspace.
    pub in_flight: BTreeMap<WorkspaceId, usize>,
    /// Claims on engine memory.
    pub claims: Claims,
    /// Times of a graceful shutdown that are in force.
    pub stop: StopTimes,
}

/// One instance, shared by its threads.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Start time of this process, in milliseconds since 1970.
    pub boot: u64,
    /// Timer thread.
    pub timer: Timer,
    /// Connections to peers.
    pub links: Links,
    /// Client of the key-value service, not rate-limited.
    pub kv: KvClient,
    /// Rate-limited client of the key-value service for the configuration.
    pub throttled_kv: ThrottledKv,
    /// Rate-limited client of the key-value service for the zone's lease.
    pub lease_kv: ThrottledKv,
    /// HTTP agent for idempotent calls; it reuses connections.
    pub pooled_agent: Agent,
    /// HTTP agents for engine streams.
    pub stream_agents: StreamAgents,
    /// HTTP agent for calls that need a fresh connection.
    ///
    /// A reused connection may already be closed by the target, and the call may
    /// not be repeated.
    pub unpooled_agent: Agent,
    /// Bytes of the responses of services that are being read.
    pub response_bytes: Arc<AtomicUsize>,
    /// Source of traces.
    pub traces: Traces,
    /// Metrics.
    pub metrics: Metrics,
    /// Explanations of recent requests.
    pub explanations: Explanations,
    /// Queue of attempts whose engine memory has to be freed.
    pub reclaims: Sender<ReclaimRequest>,
    /// Pending requests for engine groups.
    pub groups: Groups,
    /// Idempotency records to be settled.
    pub records: Records,
    state: Mutex<State>,
    stopping: AtomicBool,
    abort_at: OnceLock<Instant>,
    aborting: AtomicBool,
    counter: AtomicU64,
}

impl Node {
    /// Builds the shared state of an instance.
    pub fn new(
        settings: Settings,
        timer: Timer,
        links: Links,
        reclaims: Sender<ReclaimRequest>,
        records: Records,
        boot: u64,
    ) -> Self {
        let name = InstanceId::from(settings.name.as_str());
        let zone = ZoneId::from(settings.zone.as_str());
        let kv = KvClient::new(&settings.platform.to_string());
        let state = State {
            active_head: ActiveHead::default(),
            document: None,
            readiness: Readiness::new(Instant::now()),
            config_faults: BTreeMap::new(),
            config_requested: None,
            targets: TargetTable::default(),
            view: View::new(InstanceId::clone(&name), ZoneId::clone(&zone)),
            expander: Expander::default(),
            fence: None,
            contacts: Contacts::default(),
            summaries: Summaries::default(),
            listed_at: None,
            members: Vec::new(),
            token_ratios: TokenRatios::default(),
            retry_budget: RetryBudget::default(),
            queue: RequestQueue::default(),
            in_flight: BTreeMap::new(),
            claims: Claims::default(),
            stop: settings.stop,
        };
        let throttled_kv = ThrottledKv::new(kv.clone());
        Self {
            name,
            zone,
            boot,
            timer,
            links,
            lease_kv: throttled_kv.sharing_rate(),
            throttled_kv,
            kv,
            pooled_agent: mimosapass_target::client::agent(MAX_IDLE),
            stream_agents: StreamAgents::default(),
            unpooled_agent: mimosapass_target::client::agent(0),
            response_bytes: Arc::default(),
            traces: Traces::new(settings.trace, &settings.name, &settings.zone),
            metrics: Metrics::new(),
            explanations: Explanations::default(),
            reclaims,
            groups: Groups::default(),
            records,
            state: Mutex::new(state),
            stopping: AtomicBool::new(false),
            abort_at: OnceLock::new(),
            aborting: AtomicBool::new(false),
            counter: AtomicU64::new(0),
            settings,
        }
    }

    /// Locks the state; hold it for a few steps only, never across I/O.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the active configuration once the instance is ready.
    pub fn document(&self) -> Option<Arc<Document>> {
        let state = self.state();
        state.document.clone().filter(|_| state.readiness.is_ready())
    }

    /// Returns whether the configuration head has to be read immediately.
    pub fn needs_head(&self) -> bool {
        let state = self.state();
        state.readiness.needs_head(state.active_head.head().version)
    }

    /// Marks the instance as ready once it knows a current configuration.
    ///
    /// # Errors
    ///
    /// Returns what the instance is waiting for.
    pub fn update_readiness(&self) -> Result<(), NotReady> {
        let mut state = self.state();
        let (active, answers) = (state.active_head.head(), peer_answers(&state, self));
        state.readiness.check(active, answers, Instant::now())
    }

    /// Sets or clears the fault of the configuration that `source` has.
    pub fn set_config_fault(&self, source: &str, fault: Option<String>) {
        let mut state = self.state();
        let unchanged = state.config_faults.get(source) == fault.as_ref();
        match fault {
            Some(text) if !unchanged => {
                log::error!("config: {text}.");
                state.config_faults.insert(source.to_owned(), text);
            }
            Some(_) => {}
            None => drop(state.config_faults.remove(source)),
        }
    }

    /// Activates a configuration if it is newer; returns whether it did.
    pub fn install(&self, version: u64, document: Document) -> bool {
        let head = Head { version, digest: document.digest };
        let mut state = self.state();
        let newer = state.active_head.install(head);
        if newer {
            state.document = Some(Arc::new(document));
            log::info!("config: activated version {version}.");
            self.metrics.config_version.set(version as i64);
            state.apply_listing();
        }
        newer
    }

    /// Returns a new identifier, unique in the fleet.
    pub fn unique_id(&self) -> String {
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{count:x}", self.name, self.boot)
    }

    /// Marks the instance as stopping; it aborts its requests at `abort_at`.
    pub fn set_stopping(&self, abort_at: Instant) {
        self.abort_at.get_or_init(|| abort_at);
        self.stopping.store(true, Ordering::SeqCst);
        self.state().view.set_leaving();
    }

    /// Returns whether the instance stops before a request with this deadline has to end.
    pub fn stops_before(&self, deadline: Instant) -> bool {
        self.abort_at.get().is_some_and(|abort_at| deadline > *abort_at)
    }

    /// Returns whether the instance is stopping.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Makes all requests fail, for the end of a shutdown.
    pub fn abort_requests(&self) {
        self.aborting.store(true, Ordering::SeqCst);
    }

    /// Returns whether requests have to fail now.
    pub fn aborting(&self) -> bool {
        self.aborting.load(Ordering::SeqCst)
    }

    /// Checks whether the instance accepts requests.
    ///
    /// # Errors
    ///
    /// Returns why it does not.
    pub fn ready(&self) -> Result<(), String> {
        if self.stopping() {
            return Err("the instance is stopping".to_owned());
        }
        self.update_readiness().map_err(|reason| reason.to_string())
    }

    /// Returns the heartbeat of this instance.
    pub fn heartbeat(&self) -> Heartbeat {
        let state = self.state();
        Heartbeat {
            name: InstanceId::clone(&self.name),
            zone: ZoneId::clone(&self.zone),
            boot: self.boot,
            leaving: self.stopping(),
            platform_unreachable: state.view.platform_unreachable(),
            addr: Some(self.links.addr()),
            head: state.active_head.head(),
        }
    }

    /// Blocks the calling thread for `delay`.
    pub fn sleep(&self, delay: Duration) {
        let (done, elapsed) = std::sync::mpsc::channel::<()>();
        let guard =
            self.timer.schedule(Instant::now() + delay, move || done.send(()).unwrap_or_default());
        if elapsed.recv().is_err() {
            log::error!("timer: a sleep of {delay:?} ended early: its job was dropped.");
        }
        drop(guard);
    }
}

impl State {
    /// Updates the target table from the member list and the configuration.
    pub fn apply_listing(&mut self) {
        let Some(document) = self.document.clone() else { return };
        let listed =
            self.members.iter().filter_map(crate::background::listing::listed_target).collect();
        self.targets.apply_listing(listed, &document.config);
    }
}
