//! Stand-in for a plain service that counts its runs and echoes each call.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::server::{Limits, Server};
use mimosapass_target::engine::REFUSED;
use serde::{Deserialize, Serialize};

use crate::reply;

/// Faults that can be set while the service runs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each fault is set alone")]
pub struct Faults {
    /// Wait between the run and its response, in milliseconds.
    pub delay_ms: u64,
    /// Run, then close the connection before the response is complete.
    pub lose_answer: bool,
    /// Refuse new calls as a service that is shutting down does.
    pub leaving: bool,
    /// Refuse new calls without running them.
    pub refuse: bool,
    /// Run, then fall silent for this time within the response, in milliseconds.
    pub silent_ms: Option<u64>,
    /// Run, then send bytes until the caller disconnects.
    pub endless: bool,
    /// Run, then hold back the response until the value changes.
    pub hold: bool,
}

/// The response of the service: what it received, and how often.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EchoedCall {
    /// Method of the call.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Runs of this body, including this one.
    pub runs: u64,
    /// Length of the body, in bytes.
    pub bytes: usize,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    runs: BTreeMap<Vec<u8>, u64>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running service.
#[derive(Clone, Debug)]
pub struct Service {
    server: Server,
    inner: Arc<Inner>,
}

impl Service {
    /// Starts a service on `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let inner = Arc::new(Inner::default());
        let handler = Arc::clone(&inner);
        let server =
            Server::start(addr, Limits::default(), Arc::new(move |e| handle(e, &handler)))?;
        Ok(Self { server, inner })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the faults.
    pub fn set(&self, faults: Faults) {
        self.inner.set(faults);
    }

    /// Returns how often each body was run.
    pub fn runs(&self) -> Vec<u64> {
        self.inner.state().runs.values().copied().collect()
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

    fn wait_while_held(&self) {
        let held = self.changed.wait_while(self.state(), |s| s.faults.hold);
        drop(held.unwrap_or_else(PoisonError::into_inner));
    }
}

fn handle(exchange: &mut Exchange<'_>, inner: &Inner) {
    if exchange.head.path == "/control" {
        match serde_json::from_slice(&exchange.body) {
            Ok(faults) => {
                inner.set(faults);
                reply::empty(exchange, 200);
            }
            Err(e) => reply::json(exchange, 400, &e.to_string()),
        }
        return;
    }
    let faults = inner.state().faults.clone();
    if faults.leaving || faults.refuse {
        let reason = if faults.leaving { "leaving" } else { "busy" };
        exchange.respond(503, &[(REFUSED, reason.to_owned())], b"").unwrap_or_default();
        return;
    }
    let (call, faults) = record_run(exchange, inner);
    inner.wait_while_held();
    std::thread::sleep(Duration::from_millis(faults.delay_ms));
    if faults.lose_answer {
        // An unfinished streamed response closes the connection.
        exchange.begin(200, &[]).unwrap_or_default();
    } else if faults.endless {
        let sent = exchange.begin(200, &[]).and_then(|()| reply::endless(exchange));
        // Only the caller ends it.
        sent.unwrap_or_default();
    } else if let Some(silence) = faults.silent_ms {
        respond_in_halves(exchange, &call, Duration::from_millis(silence)).unwrap_or_default();
    } else {
        reply::json(exchange, 200, &call);
    }
}

fn record_run(exchange: &Exchange<'_>, inner: &Inner) -> (EchoedCall, Faults) {
    let mut state = inner.state();
    let runs = state.runs.entry(exchange.body.to_vec()).or_insert(0);
    *runs += 1;
    let head = &exchange.head;
    let query = if head.query.is_empty() { String::new() } else { format!("?{}", head.query) };
    let call = EchoedCall {
        method: head.method.clone(),
        path: format!("{}{query}", head.path),
        runs: *runs,
        bytes: exchange.body.len(),
    };
    (call, state.faults.clone())
}

fn respond_in_halves(
    exchange: &mut Exchange<'_>,
    call: &EchoedCall,
    silence: Duration,
) -> io::Result<()> {
    let body = serde_json::to_vec(call)?;
    exchange.begin(200, &[("content-type", "application/json".to_owned())])?;
    reply::in_halves(exchange, &body, Some(silence))?;
    exchange.finish();
    Ok(())
}
