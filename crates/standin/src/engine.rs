//! Stand-in for a model engine.
//!
//! It prefills prompts one after the other at a fixed rate, then sends tokens at a
//! fixed interval. Memory of an attempt is held until its answer is complete or the
//! attempt is cancelled: a broken connection frees nothing, since the stream could be
//! resumed, and neither does an expiry.

use std::collections::{BTreeMap, HashSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::openai::Call;
use mimosapass_caller::server::{Limits, Server};
use mimosapass_core::tiers::BAND_COUNT;
use mimosapass_target::engine::{Load, REFUSED};
use mimosapass_target::memory::{
    Allocations, Block, CacheEvent, Cancel, Claim, Export, Import, Purpose, Renew, Renewed, Reserve,
};
use mimosapass_target::orders;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::memory::Memory;
use crate::orders::{OrderSettings, Orders};
use crate::reply;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Boot number, which grows at each restart.
    pub boot: u64,
    /// Prefill rate, in tokens per second.
    pub prefill_rate: u64,
    /// Time between two tokens of an answer.
    pub token_interval: Duration,
    /// Size of the KV cache, in tokens.
    pub capacity: u64,
    /// Number of requests that may generate at once.
    pub slots: u32,
    /// Names of the loaded models.
    pub models: Vec<String>,
    /// How it handles orders.
    pub orders: OrderSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            boot: 1,
            prefill_rate: 1_000_000,
            token_interval: Duration::from_millis(1),
            capacity: 400_000,
            slots: 64,
            models: vec!["chat".to_owned()],
            orders: OrderSettings::default(),
        }
    }
}

/// Faults that can be set while the engine runs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each fault is set alone")]
pub struct Faults {
    /// Wait before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Close the connection after this many tokens.
    pub cut_after: Option<u64>,
    /// Hold back all tokens from this index on until the value changes.
    pub hold_from: Option<u64>,
    /// Answer no call until the value changes.
    pub frozen: bool,
    /// Start no generate call until the value changes.
    pub hold_start: bool,
    /// Refuse new requests as an engine that is shutting down does.
    pub leaving: bool,
    /// Refuse new requests without running them.
    pub refuse: bool,
    /// On a connection that was used before, write a refusal before each answer.
    pub repeat_refusal: bool,
    /// Send the identifier of another attempt in every event.
    pub crossed: bool,
    /// Omit the end event.
    pub no_end: bool,
    /// Close the connection once after this many tokens, then clear this fault.
    pub cut_once: Option<u64>,
    /// Start every answer at its first token, whatever the offset.
    pub no_resume: bool,
    /// Fall silent within the event of the token with this index, then go on.
    pub silent_at: Option<u64>,
    /// Length of that silence, in milliseconds.
    pub silent_ms: u64,
    /// From this token on, send bytes that are no event until the caller disconnects.
    pub endless_from: Option<u64>,
    /// Send the token with this index twice.
    pub repeat: Option<u64>,
    /// Omit the token with this index.
    pub skip: Option<u64>,
    /// State one token too many in the end event.
    pub miscount: bool,
    /// Carry out memory calls, but close the connection before the response is complete.
    pub lose_answers: bool,
    /// Repeat the last load report up to this age, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay cache events by this time, in milliseconds.
    pub event_lag_ms: u64,
    /// Omit each cache event whose number is a multiple of this one.
    pub event_gap: Option<u64>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) faults: Faults,
    pub(crate) boot: u64,
    pub(crate) prefill: u64,
    pub(crate) bands: [u64; BAND_COUNT],
    pub(crate) memory: Memory,
    pub(crate) runs: u64,
    /// Callers whose connections have carried a call.
    callers: HashSet<SocketAddr>,
    report_count: u64,
    last_report: Option<(Instant, Load)>,
    cache_events: Vec<(Instant, CacheEvent)>,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    server: Server,
    inner: Arc<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) settings: Settings,
    pub(crate) state_changed: Condvar,
    pub(crate) compute_lock: Mutex<()>,
    orders: Orders,
    state: Mutex<State>,
}

impl Engine {
    /// Starts an engine on `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(addr: SocketAddr, settings: Settings) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            orders: Orders::new(settings.orders.clone(), &settings.models),
            state: Mutex::new(State { boot: settings.boot, ..State::default() }),
            settings,
            state_changed: Condvar::new(),
            compute_lock: Mutex::new(()),
        });
        let handler = Arc::clone(&inner);
        let server = Server::start(addr, Limits::default(), Arc::new(move |e| handler.handle(e)))?;
        Ok(Self { server, inner })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the faults and wakes all threads that wait for a change.
    pub fn set(&self, faults: Faults) {
        self.inner.set(faults);
    }

    /// Returns its assignment and the orders that it received.
    pub fn orders(&self) -> &Orders {
        &self.inner.orders
    }

    /// Returns how many load reports it has made.
    pub fn reports(&self) -> u64 {
        self.inner.state().report_count
    }

    /// Returns how many generate calls were started.
    pub fn runs(&self) -> u64 {
        self.inner.state().runs
    }

    /// Returns the tokens held by each identifier.
    pub fn held(&self) -> BTreeMap<String, u64> {
        self.inner.state().memory.sizes()
    }

    /// Drops all memory and every stream, as a restart does.
    pub fn restart(&self) {
        let mut state = self.inner.state();
        state.boot += 1;
        state.report_count = 0;
        state.last_report = None;
        state.memory = Memory::default();
        drop(state);
        self.inner.state_changed.notify_all();
    }
}

impl Inner {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, faults: Faults) {
        self.state().faults = faults;
        self.state_changed.notify_all();
    }

    /// Waits while `held_back` is true of the faults, then returns them.
    pub(crate) fn wait_while(&self, held_back: impl Fn(&Faults) -> bool) -> Faults {
        let state = self.state();
        let state = self
            .state_changed
            .wait_while(state, |s| held_back(&s.faults))
            .unwrap_or_else(PoisonError::into_inner);
        state.faults.clone()
    }

    fn handle(&self, exchange: &mut Exchange<'_>) {
        if exchange.head.path == "/control" {
            return self.set_faults(exchange);
        }
        let faults = self.wait_while(|f| f.frozen);
        std::thread::sleep(Duration::from_millis(faults.delay_ms));
        if let Some(call) = Call::from_path(&exchange.head.path) {
            self.write_former_refusal(exchange, &faults);
            return self.generate(exchange, call, &faults);
        }
        match exchange.head.path.as_str() {
            "/load" => self.load(exchange),
            orders::PATH => self.orders.answer(exchange),
            "/held" => self.held(exchange),
            "/events" => self.events(exchange),
            "/renew" => self.memory_call(exchange, &faults, |s, request| Some(s.renew(request))),
            "/cancel" => self.memory_call(exchange, &faults, |s, request| Some(s.cancel(request))),
            "/reserve" => self.memory_call(exchange, &faults, Self::reserve),
            "/export" => self.memory_call(exchange, &faults, Self::export),
            "/import" => self.memory_call(exchange, &faults, Self::import),
            _ => reply::empty(exchange, 404),
        }
    }

    /// Writes a refusal that belongs to no request of the connection.
    fn write_former_refusal(&self, exchange: &Exchange<'_>, faults: &Faults) {
        let Ok(caller) = exchange.socket().peer_addr() else { return };
        let is_kept = !self.state().callers.insert(caller);
        if faults.repeat_refusal && is_kept {
            let refusal =
                format!("HTTP/1.1 503 Busy\r\n{REFUSED}: full\r\ncontent-length: 0\r\n\r\n");
            exchange.socket().write_all(refusal.as_bytes()).unwrap_or_default();
        }
    }

    fn set_faults(&self, exchange: &mut Exchange<'_>) {
        match serde_json::from_slice(&exchange.body) {
            Ok(faults) => {
                self.set(faults);
                reply::empty(exchange, 200);
            }
            Err(e) => reply::json(exchange, 400, &e.to_string()),
        }
    }

    fn load(&self, exchange: &mut Exchange<'_>) {
        let mut state = self.state();
        let lag = Duration::from_millis(state.faults.load_lag_ms);
        let load = match &state.last_report {
            Some((at, load)) if at.elapsed() < lag => load.clone(),
            _ => self.report(&mut state),
        };
        drop(state);
        reply::json(exchange, 200, &load);
    }

    fn report(&self, state: &mut State) -> Load {
        let settings = &self.settings;
        state.report_count += 1;
        let load = Load {
            boot: state.boot,
            number: state.report_count,
            prefill: state.prefill,
            bands: state.bands.to_vec(),
            running: state.memory.stream_count(),
            slots: settings.slots,
            free: settings.capacity.saturating_sub(state.memory.used_tokens()),
            capacity: settings.capacity,
            speed: settings.prefill_rate,
            leaving: state.faults.leaving,
            models: self.orders.models(),
        };
        state.last_report = Some((Instant::now(), load.clone()));
        load
    }

    fn held(&self, exchange: &mut Exchange<'_>) {
        let expired = reply::query_number(&exchange.head.query, "expired") == Some(1);
        let state = self.state();
        let allocations = Allocations { boot: state.boot, held: state.memory.list(expired) };
        drop(state);
        reply::json(exchange, 200, &allocations);
    }

    /// Records a cache event for the prefix of a prompt.
    pub(crate) fn record_cached(&self, prefix: u64, tokens: u64) {
        let mut state = self.state();
        let number = state.cache_events.last().map_or(1, |(_, e)| e.number + 1);
        state.cache_events.push((Instant::now(), CacheEvent { number, prefix, tokens }));
    }

    fn events(&self, exchange: &mut Exchange<'_>) {
        let after = reply::query_number(&exchange.head.query, "after").unwrap_or(0);
        let state = self.state();
        let lag = Duration::from_millis(state.faults.event_lag_ms);
        let gap = |n: u64| state.faults.event_gap.is_some_and(|g| n.is_multiple_of(g));
        let events: Vec<CacheEvent> = state
            .cache_events
            .iter()
            .filter(|(at, e)| e.number > after && at.elapsed() >= lag && !gap(e.number))
            .map(|(_, e)| e.clone())
            .collect();
        drop(state);
        reply::json(exchange, 200, &events);
    }

    /// Carries out a memory call; a fault may drop the response afterwards.
    fn memory_call<A, B>(
        &self,
        exchange: &mut Exchange<'_>,
        faults: &Faults,
        run: fn(&Self, &A) -> Option<B>,
    ) where
        A: DeserializeOwned,
        B: Serialize,
    {
        let request: A = match serde_json::from_slice(&exchange.body) {
            Ok(request) => request,
            Err(e) => return reply::json(exchange, 400, &e.to_string()),
        };
        let response = run(self, &request);
        self.state_changed.notify_all();
        match response {
            _ if faults.lose_answers => exchange.begin(200, &[]).unwrap_or_default(),
            Some(response) => reply::json(exchange, 200, &response),
            None => refuse(exchange, "memory"),
        }
    }

    fn renew(&self, request: &Renew) -> Renewed {
        let mut state = self.state();
        let unknown = state.memory.renew(request);
        Renewed { boot: state.boot, unknown }
    }

    fn cancel(&self, request: &Cancel) -> BTreeMap<String, u64> {
        self.state().memory.cancel(request);
        BTreeMap::new()
    }

    fn reserve(&self, request: &Reserve) -> Option<BTreeMap<String, u64>> {
        let allocated = self.allocate(&request.claim, Purpose::Reservation, request.tokens);
        allocated.then(BTreeMap::new)
    }

    fn export(&self, request: &Export) -> Option<Block> {
        let tokens = self.state().memory.size(&request.attempt)?;
        self.allocate(&request.claim, Purpose::Block, tokens).then_some(Block { tokens })
    }

    fn import(&self, request: &Import) -> Option<BTreeMap<String, u64>> {
        self.allocate(&request.claim, Purpose::Block, request.tokens).then(BTreeMap::new)
    }

    pub(crate) fn allocate(&self, claim: &Claim, purpose: Purpose, tokens: u64) -> bool {
        self.state().memory.allocate(claim, purpose, tokens, self.settings.capacity)
    }
}

/// Refuses a request that has not run; `reason` is `leaving` during a shutdown.
pub(crate) fn refuse(exchange: &mut Exchange<'_>, reason: &str) {
    let headers = [(REFUSED, reason.to_owned())];
    exchange.respond(503, &headers, b"").unwrap_or_default();
}
