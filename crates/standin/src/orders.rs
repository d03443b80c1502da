//! Stand-ins for the order handling of engines and for the weight store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::server::{Limits, Server};
use mimosapass_core::ids::ModelId;
use mimosapass_core::orders::{DesiredState, LoadedModel};
use mimosapass_core::pace::Bucket;
use mimosapass_target::orders::{Assignment, FENCE, RATE_LIMITED, STALE_FENCE};

use crate::reply;

/// Timeout of one load of weights.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(1);

/// How an engine handles orders.
#[derive(Clone, Debug, Default)]
pub struct OrderSettings {
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Address of the weight store; without one, weights need no load.
    pub weight_store: Option<SocketAddr>,
}

/// An order that an engine received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedOrder {
    /// Its fencing token.
    pub fence: u64,
    /// The desired state.
    pub goal: DesiredState,
    /// Whether it was applied.
    pub applied: bool,
}

#[derive(Debug, Default)]
struct State {
    assignment: Assignment,
    received: Vec<ReceivedOrder>,
}

/// Assignment of an engine and the orders that it received.
#[derive(Debug)]
pub struct Orders {
    settings: OrderSettings,
    state: Mutex<State>,
}

impl Orders {
    /// Starts with the given models loaded, in the empty version.
    pub fn new(settings: OrderSettings, models: &[String]) -> Self {
        let loaded = |name: &String| (ModelId::from(name.as_str()), LoadedModel::default());
        let goal =
            DesiredState { models: models.iter().map(loaded).collect(), role: String::new() };
        let assignment = Assignment { goal, fence: settings.checks_fence.then_some(0) };
        Self { settings, state: Mutex::new(State { assignment, received: Vec::new() }) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the names of the loaded models.
    pub fn models(&self) -> Vec<String> {
        self.state().assignment.goal.models.keys().map(ToString::to_string).collect()
    }

    /// Returns the current assignment.
    pub fn assignment(&self) -> Assignment {
        self.state().assignment.clone()
    }

    /// Returns the received orders, oldest first.
    pub fn received(&self) -> Vec<ReceivedOrder> {
        self.state().received.clone()
    }

    /// Handles a call to the path of orders.
    pub fn answer(&self, exchange: &mut Exchange<'_>) {
        if exchange.head.method == "GET" {
            return reply::json(exchange, 200, &self.assignment());
        }
        let fence = exchange.head.header(FENCE).and_then(|v| v.parse().ok()).unwrap_or(0);
        match serde_json::from_slice::<DesiredState>(&exchange.body) {
            Ok(goal) => reply::empty(exchange, self.apply(fence, goal)),
            Err(e) => reply::json(exchange, 400, &e.to_string()),
        }
    }

    /// Applies an order; returns the status of the response.
    fn apply(&self, fence: u64, goal: DesiredState) -> u16 {
        let mut state = self.state();
        let outdated = state.assignment.fence.is_some_and(|last| fence < last);
        let loads = goal.needs_load(&state.assignment.goal);
        let limited = !outdated && loads && !self.load_weights(&goal);
        let status = match (outdated, limited) {
            (true, _) => STALE_FENCE,
            (_, true) => RATE_LIMITED,
            _ => 200,
        };
        if !outdated && self.settings.checks_fence {
            state.assignment.fence = Some(fence);
        }
        if status == 200 {
            state.assignment.goal = goal.clone();
        }
        state.received.push(ReceivedOrder { fence, goal, applied: status == 200 });
        status
    }

    /// Loads weights from the store; returns whether it allowed that.
    fn load_weights(&self, goal: &DesiredState) -> bool {
        let Some(store) = self.settings.weight_store else { return true };
        let names: Vec<&str> = goal.models.keys().map(AsRef::as_ref).collect();
        let url = format!("http://{store}/weights/{}", names.join("+"));
        let request = ureq::get(url).config().timeout_global(Some(WEIGHTS_TIMEOUT)).build();
        request.call().is_ok_and(|r| r.status() == 200)
    }
}

/// Numbers of loads that the weight store allowed and refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Loads {
    /// Allowed loads.
    pub given: u64,
    /// Loads refused by the rate limit.
    pub refused: u64,
}

/// A running weight store with a rate limit.
#[derive(Clone, Debug)]
pub struct WeightStore {
    server: Server,
    state: Arc<Mutex<(Bucket, Loads)>>,
}

impl WeightStore {
    /// Starts a store that allows `rate` loads per second.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(addr: SocketAddr, rate: f64) -> io::Result<Self> {
        let bucket = Bucket::new(rate, rate.max(1.0), Instant::now());
        let state = Arc::new(Mutex::new((bucket, Loads::default())));
        let shared = Arc::clone(&state);
        let server =
            Server::start(addr, Limits::default(), Arc::new(move |e| serve_load(e, &shared)))?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the numbers of loads so far.
    pub fn loads(&self) -> Loads {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).1
    }
}

fn serve_load(exchange: &mut Exchange<'_>, state: &Mutex<(Bucket, Loads)>) {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let given = state.0.take(Instant::now());
    state.1.given += u64::from(given);
    state.1.refused += u64::from(!given);
    drop(state);
    let body = BTreeMap::from([("given", given)]);
    reply::json(exchange, if given { 200 } else { RATE_LIMITED }, &body);
}
