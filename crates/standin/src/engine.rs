//! Stand-in for a model engine.
//!
//! It computes prompts at a set speed, one after the other, then generates
//! tokens at a set pace. Memory stays held for an attempt until its answer is
//! whole or it is cancelled: a cut connection frees nothing, since the stream
//! could be resumed.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::openai::{Call, read};
use mimosapass_caller::server::{Limits, Server};
use mimosapass_target::engine::{ATTEMPT, Event, Load, OFFSET, REFUSED};
use mimosapass_target::orders;
use serde::{Deserialize, Serialize};

use crate::orders::{Orders, Setup};
use crate::reply;

/// Bytes of JSON that make one token here.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens generated where the request states none.
const ANSWER: u32 = 16;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Start number.
    pub boot: u64,
    /// Prefill speed, in tokens a second.
    pub speed: u64,
    /// Time between tokens.
    pub pace: Duration,
    /// KV cache, in tokens.
    pub capacity: u64,
    /// Requests that may generate at once.
    pub slots: u32,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// How it takes orders.
    pub orders: Setup,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            boot: 1,
            speed: 1_000_000,
            pace: Duration::from_millis(1),
            capacity: 400_000,
            slots: 64,
            models: vec!["chat".to_owned()],
            orders: Setup::default(),
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
    /// Cut the connection after so many tokens.
    pub cut_after: Option<u64>,
    /// Hold back all tokens from this number on until the value changes.
    pub hold_from: Option<u64>,
    /// Answer no call at all until the value changes.
    pub frozen: bool,
    /// Refuse new work as a leaving engine does.
    pub leaving: bool,
    /// Refuse new work without running it.
    pub refuse: bool,
    /// Echo another attempt's identifier in every event.
    pub crossed: bool,
    /// Leave out the end mark.
    pub no_end: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    number: u64,
    prefill: u64,
    held: BTreeMap<String, u64>,
    runs: u64,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    server: Server,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    orders: Orders,
    settings: Settings,
    state: Mutex<State>,
    changed: Condvar,
    compute: Mutex<()>,
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
            settings,
            state: Mutex::default(),
            changed: Condvar::new(),
            compute: Mutex::new(()),
        });
        let serving = Arc::clone(&inner);
        let server = Server::start(addr, Limits::default(), Arc::new(move |e| serving.handle(e)))?;
        Ok(Self { server, inner })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the faults and wakes everything that they held back.
    pub fn set(&self, faults: Faults) {
        self.inner.set(faults);
    }

    /// Returns what it carries and the orders that it took.
    pub fn orders(&self) -> &Orders {
        &self.inner.orders
    }

    /// Returns how many load reports were asked for.
    pub fn reports(&self) -> u64 {
        self.inner.state().number
    }

    /// Returns how many generate calls began to run.
    pub fn runs(&self) -> u64 {
        self.inner.state().runs
    }

    /// Returns the tokens held for each attempt.
    pub fn held(&self) -> BTreeMap<String, u64> {
        self.inner.state().held.clone()
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, faults: Faults) {
        self.state().faults = faults;
        self.changed.notify_all();
    }

    /// Waits while `held_back` says so of the faults, then returns them.
    fn wait(&self, held_back: impl Fn(&Faults) -> bool) -> Faults {
        let state = self.state();
        let state = self
            .changed
            .wait_while(state, |s| held_back(&s.faults))
            .unwrap_or_else(PoisonError::into_inner);
        state.faults.clone()
    }

    fn handle(&self, exchange: &mut Exchange<'_>) {
        if exchange.head.path == "/control" {
            return self.control(exchange);
        }
        let faults = self.wait(|f| f.frozen);
        std::thread::sleep(Duration::from_millis(faults.delay_ms));
        match exchange.head.path.as_str() {
            "/load" => self.load(exchange),
            orders::PATH => self.orders.answer(exchange),
            "/held" => reply::json(exchange, 200, &self.state().held),
            "/cancel" => self.cancel(exchange),
            path => match Call::at(path) {
                Some(call) => self.generate(exchange, call, &faults),
                None => reply::empty(exchange, 404),
            },
        }
    }

    fn control(&self, exchange: &mut Exchange<'_>) {
        match serde_json::from_slice(&exchange.body) {
            Ok(faults) => {
                self.set(faults);
                reply::empty(exchange, 200);
            }
            Err(e) => reply::json(exchange, 400, &e.to_string()),
        }
    }

    fn load(&self, exchange: &mut Exchange<'_>) {
        let settings = &self.settings;
        let mut state = self.state();
        state.number += 1;
        let used: u64 = state.held.values().sum();
        let load = Load {
            boot: settings.boot,
            number: state.number,
            prefill: state.prefill,
            running: state.held.len() as u32,
            slots: settings.slots,
            free: settings.capacity.saturating_sub(used),
            capacity: settings.capacity,
            speed: settings.speed,
            leaving: state.faults.leaving,
            models: self.orders.models(),
        };
        drop(state);
        reply::json(exchange, 200, &load);
    }

    fn cancel(&self, exchange: &mut Exchange<'_>) {
        let attempt = exchange.head.header(ATTEMPT).unwrap_or_default().to_owned();
        self.state().held.remove(&attempt);
        self.changed.notify_all();
        reply::empty(exchange, 200);
    }

    fn generate(&self, exchange: &mut Exchange<'_>, call: Call, faults: &Faults) {
        if faults.leaving || faults.refuse {
            let why = if faults.leaving { "leaving" } else { "busy" };
            let headers = [(REFUSED, why.to_owned())];
            exchange.answer(503, &headers, b"").unwrap_or_default();
            return;
        }
        let prompt = match read(call, &exchange.body) {
            Ok(prompt) => prompt,
            Err(e) => return reply::json(exchange, 400, &e.to_string()),
        };
        let job = Job {
            attempt: exchange.head.header(ATTEMPT).unwrap_or_default().to_owned(),
            offset: exchange.head.header(OFFSET).and_then(|v| v.parse().ok()).unwrap_or(0),
            prompt: (prompt.bytes / BYTES_PER_TOKEN).max(1) as u64,
            tokens: u64::from(prompt.max_tokens.unwrap_or(ANSWER)),
        };
        let used: u64 = self.state().held.values().sum();
        if used + job.prompt + job.tokens > self.settings.capacity {
            let headers = [(REFUSED, "memory".to_owned())];
            exchange.answer(503, &headers, b"").unwrap_or_default();
            return;
        }
        self.run(exchange, &job);
    }

    fn run(&self, exchange: &mut Exchange<'_>, job: &Job) {
        self.hold(job);
        self.prefill(job);
        let headers =
            [("content-type", "text/event-stream".to_owned()), (ATTEMPT, job.attempt.clone())];
        let sent = exchange.begin(200, &headers).and_then(|()| self.tokens(exchange, job));
        if sent.is_ok() {
            exchange.finish();
        }
    }

    fn hold(&self, job: &Job) {
        let mut state = self.state();
        state.runs += 1;
        state.prefill += job.prompt;
        state.held.insert(job.attempt.clone(), job.prompt + job.tokens);
    }

    fn prefill(&self, job: &Job) {
        let computing = self.compute.lock().unwrap_or_else(PoisonError::into_inner);
        let micros = job.prompt * 1_000_000 / self.settings.speed;
        std::thread::sleep(Duration::from_micros(micros));
        drop(computing);
        self.state().prefill -= job.prompt;
    }

    fn tokens(&self, exchange: &mut Exchange<'_>, job: &Job) -> io::Result<()> {
        for index in job.offset..job.tokens {
            let faults = self.wait(|f| f.frozen || f.hold_from.is_some_and(|n| index >= n));
            let cancelled = !self.state().held.contains_key(&job.attempt);
            if cancelled || faults.cut_after.is_some_and(|n| index >= n) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            std::thread::sleep(self.settings.pace);
            let attempt = echoed(job, &faults);
            send(exchange, &Event::Token { attempt, index, text: format!("t{index} ") })?;
        }
        let faults = self.state().faults.clone();
        if !faults.no_end {
            send(
                exchange,
                &Event::End {
                    attempt: echoed(job, &faults),
                    tokens: job.tokens,
                    prompt: job.prompt,
                    reason: "stop".to_owned(),
                },
            )?;
        }
        self.state().held.remove(&job.attempt);
        Ok(())
    }
}

#[derive(Debug)]
struct Job {
    attempt: String,
    offset: u64,
    prompt: u64,
    tokens: u64,
}

fn echoed(job: &Job, faults: &Faults) -> String {
    if faults.crossed { format!("{}-other", job.attempt) } else { job.attempt.clone() }
}

fn send(exchange: &mut Exchange<'_>, event: &Event) -> io::Result<()> {
    let json = serde_json::to_string(event)?;
    exchange.send(format!("data: {json}\n\n").as_bytes())
}
