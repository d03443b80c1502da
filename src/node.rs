//! What the parts of one instance share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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

use crate::background::contacts::{Contacts, answers};
use crate::background::groups::Groups;
use crate::background::reclaim::ReclaimRequest;
use crate::background::records::Records;
use crate::explain::Explanations;
use crate::flow::turn::Turns;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::timer::Timer;
use crate::trace::Traces;

/// Idle connections kept for each target.
const IDLE: usize = 16;
/// Source of a fault of the configuration that is no peer.
pub const PLATFORM_SOURCE: &str = "platform";

/// Everything that changes while the instance runs.
#[derive(Debug)]
pub struct State {
    /// Version gate of the configuration.
    pub active_head: ActiveHead,
    /// Configuration in force.
    pub document: Option<Arc<Document>>,
    /// Entrance that a new instance passes.
    pub readiness: Readiness,
    /// Faults of the configuration by who showed them.
    pub config_faults: BTreeMap<String, String>,
    /// When a peer was last asked for a configuration.
    pub config_requested: Option<Instant>,
    /// Targets in reach.
    pub targets: TargetTable,
    /// Members in reach.
    pub view: View,
    /// What is known of targets whose records come in short form.
    pub expander: Expander,
    /// Fencing number of this instance's orders, while it leads its zone.
    pub fence: Option<u64>,
    /// Peers that the list does not name.
    pub contacts: Contacts,
    /// What other zones told of their pools.
    pub summaries: Summaries,
    /// When the platform gave the list, here or to the peer who told it.
    pub listed_at: Option<Instant>,
    /// Latest list of the platform.
    pub members: Vec<Member>,
    /// Learned lengths.
    pub token_ratios: TokenRatios,
    /// Retry budget.
    pub retry_budget: RetryBudget,
    /// Requests that wait for their turn.
    pub turns: Turns,
    /// Requests in flight by workspace.
    pub in_flight: BTreeMap<WorkspaceId, usize>,
    /// Claims on the memory of engines.
    pub claims: Claims,
}

/// One instance, shared by its parts.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Start number of this process, in milliseconds since 1970.
    pub boot: u64,
    /// Timer service.
    pub timer: Timer,
    /// Links to peers.
    pub links: Links,
    /// Key-value service.
    pub kv: KvClient,
    /// Key-value service, paced, for what goes on without requests.
    pub throttled_kv: ThrottledKv,
    /// Agent for calls that may be repeated.
    pub pooled_agent: Agent,
    /// Agents for streams of engines.
    pub stream_agents: StreamAgents,
    /// Agent for calls that must not meet a connection used before.
    pub unpooled_agent: Agent,
    /// Traces.
    pub traces: Traces,
    /// Metrics.
    pub metrics: Metrics,
    /// Reasons of recent requests.
    pub explanations: Explanations,
    /// Attempts whose memory has to be freed.
    pub reclaims: Sender<ReclaimRequest>,
    /// Requests for groups of engines.
    pub groups: Groups,
    /// Idempotency records that wait to be settled.
    pub records: Records,
    state: Mutex<State>,
    stopping: AtomicBool,
    aborting: AtomicBool,
    counter: AtomicU64,
}

impl Node {
    /// Builds the shared part of an instance.
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
            turns: Turns::default(),
            in_flight: BTreeMap::new(),
            claims: Claims::default(),
        };
        Self {
            name,
            zone,
            boot,
            timer,
            links,
            throttled_kv: ThrottledKv::new(kv.clone()),
            kv,
            pooled_agent: mimosapass_target::client::agent(IDLE),
            stream_agents: StreamAgents::default(),
            unpooled_agent: mimosapass_target::client::agent(0),
            traces: Traces::new(settings.trace, &settings.name, &settings.zone),
            metrics: Metrics::new(),
            explanations: Explanations::default(),
            reclaims,
            groups: Groups::default(),
            records,
            state: Mutex::new(state),
            stopping: AtomicBool::new(false),
            aborting: AtomicBool::new(false),
            counter: AtomicU64::new(0),
            settings,
        }
    }

    /// Locks the state; hold it for a few steps only, never across I/O.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force, once the instance may use it.
    pub fn document(&self) -> Option<Arc<Document>> {
        let state = self.state();
        state.document.clone().filter(|_| state.readiness.is_ready())
    }

    /// Returns whether the head has to be read before anything else.
    pub fn needs_head(&self) -> bool {
        let state = self.state();
        state.readiness.needs_head(state.active_head.head().version)
    }

    /// Passes the entrance if the instance may be ready now.
    ///
    /// # Errors
    ///
    /// Says what is being waited for.
    pub fn update_readiness(&self) -> Result<(), NotReady> {
        let mut state = self.state();
        let (mine, told) = (state.active_head.head(), answers(&state, self));
        state.readiness.check(mine, told, Instant::now())
    }

    /// Notes what is wrong with the configuration that `source` has, if anything.
    pub fn set_config_fault(&self, source: &str, fault: Option<String>) {
        let mut state = self.state();
        let known = state.config_faults.get(source) == fault.as_ref();
        match fault {
            Some(text) if !known => {
                log::error!("config: {text}.");
                state.config_faults.insert(source.to_owned(), text);
            }
            Some(_) => {}
            None => drop(state.config_faults.remove(source)),
        }
    }

    /// Puts a configuration in force if it is newer; returns whether it did.
    pub fn install(&self, version: u64, document: Document) -> bool {
        let head = Head { version, digest: document.digest };
        let mut state = self.state();
        let newer = state.active_head.install(head);
        if newer {
            state.document = Some(Arc::new(document));
            log::info!("config: version {version} is in force.");
            self.metrics.config_version.set(version as i64);
            state.apply_listing();
        }
        newer
    }

    /// Returns an identifier that is unique in the fleet.
    pub fn unique_id(&self) -> String {
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{count:x}", self.name, self.boot)
    }

    /// Marks the instance as stopping.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.state().view.set_leaving();
    }

    /// Returns whether the instance is stopping.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Makes all requests end with a failure.
    pub fn abort_requests(&self) {
        self.aborting.store(true, Ordering::SeqCst);
    }

    /// Returns whether requests have to end now.
    pub fn aborting(&self) -> bool {
        self.aborting.load(Ordering::SeqCst)
    }

    /// Returns whether the instance takes requests, or else why not.
    ///
    /// # Errors
    ///
    /// Says why it does not.
    pub fn ready(&self) -> Result<(), String> {
        if self.stopping() {
            return Err("the instance is stopping".to_owned());
        }
        self.update_readiness().map_err(|wait| wait.to_string())
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

    /// Runs `job` after `delay` by the timer service.
    pub fn sleep(&self, delay: Duration) {
        let (done, waiting) = std::sync::mpsc::channel::<()>();
        let ticket =
            self.timer.schedule(Instant::now() + delay, move || done.send(()).unwrap_or_default());
        if waiting.recv().is_err() {
            log::error!("timer: a wait ended early.");
        }
        drop(ticket);
    }
}

impl State {
    /// Applies the platform's list and the configuration to the board.
    pub fn apply_listing(&mut self) {
        let Some(document) = self.document.clone() else { return };
        let listed =
            self.members.iter().filter_map(crate::background::listing::listed_target).collect();
        self.targets.apply_listing(listed, &document.config);
    }
}
