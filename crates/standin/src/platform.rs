//! Stand-in for the platform: key-value service and instance list.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::server::{Limits, Server};
use mimosapass_keyvalue::members::Member;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

use crate::reply::{self, query_number};

/// Limit on the wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Faults that can be set while the platform runs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each fault is set alone")]
pub struct Faults {
    /// Answer every call to the key-value service with status 503.
    pub outage: bool,
    /// Wait before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Carry out this many writes of keys and drop their responses.
    pub lose_writes: u32,
    /// Neither carry out nor answer this many writes of keys.
    pub drop_writes: u32,
    /// Begin an outage after a write whose response was dropped.
    pub out_after_loss: bool,
    /// Wait between a write of a key and its response, in milliseconds.
    pub answer_ms: u64,
    /// Answer reads with the value before the last write.
    pub stale: bool,
    /// Let watches time out although the key has changed.
    pub skip_watches: bool,
    /// Answer watches immediately although the key has not changed.
    pub repeat_watches: bool,
}

#[derive(Clone, Debug, Serialize)]
struct Stored {
    revision: u64,
    value: String,
    #[serde(skip)]
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    end: Instant,
}

/// Numbers of calls by type.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Reads and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls during an outage.
    pub failed: u64,
    /// Reads of the list of members.
    pub lists: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    revision: u64,
    keys: BTreeMap<String, Stored>,
    previous: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    members: Vec<Member>,
    calls: Calls,
    write_counts: BTreeMap<String, u64>,
    read_counts: BTreeMap<String, u64>,
}

/// A running platform.
#[derive(Clone, Debug)]
pub struct Platform {
    server: Server,
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

impl Platform {
    /// Starts a platform on `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let inner = Arc::new(Inner::default());
        let handler = Arc::clone(&inner);
        let server = Server::start(addr, Limits::default(), Arc::new(move |e| handler.handle(e)))?;
        Ok(Self { server, inner })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the faults.
    pub fn set(&self, faults: Faults) {
        self.inner.state().faults = faults;
        self.inner.changed.notify_all();
    }

    /// Replaces the list of members.
    pub fn set_members(&self, members: Vec<Member>) {
        self.inner.state().members = members;
    }

    /// Returns the number of writes to keys whose first segment is `segment`.
    pub fn write_count(&self, segment: &str) -> u64 {
        self.inner.state().write_counts.get(segment).copied().unwrap_or(0)
    }

    /// Returns the number of reads of keys whose first segment is `segment`.
    pub fn read_count(&self, segment: &str) -> u64 {
        self.inner.state().read_counts.get(segment).copied().unwrap_or(0)
    }

    /// Returns the values under a first segment, and whether each has a lease.
    pub fn values_under(&self, name: &str) -> Vec<(String, bool)> {
        let state = self.inner.state();
        let keys = state.keys.iter().filter(|(key, _)| first_segment(key) == name);
        keys.map(|(_, k)| (k.value.clone(), k.lease.is_some())).collect()
    }

    /// Expires all leases now.
    pub fn expire_leases(&self) {
        let mut state = self.inner.state();
        state.leases.clear();
        state.expire();
    }

    /// Returns the numbers of calls so far.
    pub fn calls(&self) -> Calls {
        self.inner.state().calls
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.inner.state();
        state.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }
}

/// Returns the segment of a key before its first slash.
fn first_segment(key: &str) -> String {
    key.split('/').next().unwrap_or_default().to_owned()
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, exchange: &mut Exchange<'_>) {
        let method = exchange.head.method.clone();
        let path = exchange.head.path.clone();
        if path == "/control" {
            return self.set_faults(exchange);
        }
        if self.in_outage() {
            return reply::empty(exchange, 503);
        }
        match (method.as_str(), path.split_at(path.find('/').map_or(0, |_| 1)).1) {
            ("GET", "instances") => self.members(exchange),
            ("PUT", "instances") => self.put_members(exchange),
            ("POST", "leases") => self.grant_lease(exchange),
            (_, rest) => match rest.split_once('/') {
                Some(("kv", key)) => {
                    let key = percent_decode_str(key).decode_utf8_lossy().into_owned();
                    self.key(exchange, &method, &key);
                }
                Some(("leases", id)) => self.lease(exchange, &method, id.parse().unwrap_or(0)),
                _ => reply::empty(exchange, 404),
            },
        }
    }

    fn in_outage(&self) -> bool {
        let mut state = self.state();
        let (outage, delay) = (state.faults.outage, state.faults.delay_ms);
        if outage {
            state.calls.failed += 1;
        }
        drop(state);
        std::thread::sleep(Duration::from_millis(delay));
        outage
    }

    fn set_faults(&self, exchange: &mut Exchange<'_>) {
        match serde_json::from_slice(&exchange.body) {
            Ok(faults) => {
                self.state().faults = faults;
                reply::empty(exchange, 200);
            }
            Err(e) => reply::json(exchange, 400, &e.to_string()),
        }
    }

    /// Responds with the list, or with 304 if the caller's copy is current.
    fn members(&self, exchange: &mut Exchange<'_>) {
        let mut state = self.state();
        state.calls.lists += 1;
        let body = serde_json::to_vec(&state.members).unwrap_or_default();
        drop(state);
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        let known = exchange.head.header("if-none-match") == Some(&tag);
        let headers = [("content-type", "application/json".to_owned()), ("etag", tag)];
        let (status, body) = if known { (304, Vec::new()) } else { (200, body) };
        exchange.respond(status, &headers, &body).unwrap_or_default();
    }

    fn put_members(&self, exchange: &mut Exchange<'_>) {
        match serde_json::from_slice(&exchange.body) {
            Ok(members) => {
                self.state().members = members;
                reply::empty(exchange, 200);
            }
            Err(e) => reply::json(exchange, 400, &e.to_string()),
        }
    }

    /// Handles a call to one key.
    fn key(&self, exchange: &mut Exchange<'_>, method: &str, key: &str) {
        match method {
            "GET" => self.get(exchange, key),
            "PUT" => self.write(exchange, key, true),
            "DELETE" => self.write(exchange, key, false),
            _ => reply::empty(exchange, 405),
        }
    }

    fn get(&self, exchange: &mut Exchange<'_>, key: &str) {
        let query = exchange.head.query.clone();
        let after = query_number(&query, "after");
        let wait = Duration::from_millis(query_number(&query, "wait_ms").unwrap_or(0));
        let mut state = self.state();
        state.calls.reads += 1;
        *state.read_counts.entry(first_segment(key)).or_default() += 1;
        state.expire();
        if let Some(after) = after {
            let keeps_waiting = |s: &mut State| {
                let unchanged = s.keys.get(key).is_none_or(|k| k.revision <= after);
                let faults = &s.faults;
                !faults.outage && !faults.repeat_watches && (unchanged || faults.skip_watches)
            };
            state.calls.waiting += 1;
            let (mut woken, timeout) = self
                .changed
                .wait_timeout_while(state, wait.min(MAX_WAIT), keeps_waiting)
                .unwrap_or_else(PoisonError::into_inner);
            woken.calls.waiting -= 1;
            state = woken;
            if timeout.timed_out() {
                drop(state);
                return reply::empty(exchange, 304);
            }
        }
        let outage = state.faults.outage;
        let found = state.read(key);
        drop(state);
        match found {
            _ if outage => reply::empty(exchange, 503),
            Some(stored) => reply::json(exchange, 200, &stored),
            None => reply::empty(exchange, 404),
        }
    }

    fn write(&self, exchange: &mut Exchange<'_>, key: &str, put: bool) {
        let expected = query_number(&exchange.head.query, "revision").unwrap_or(0);
        let lease = query_number(&exchange.head.query, "lease");
        let Ok(value) = String::from_utf8(exchange.body.to_vec()) else {
            return reply::empty(exchange, 400);
        };
        let mut state = self.state();
        if state.faults.drop_writes > 0 {
            state.faults.drop_writes -= 1;
            drop(state);
            return exchange.begin(200, &[]).unwrap_or_default();
        }
        state.calls.writes += 1;
        *state.write_counts.entry(first_segment(key)).or_default() += 1;
        state.expire();
        if lease.is_some_and(|id| !state.leases.contains_key(&id)) {
            drop(state);
            return reply::empty(exchange, 410);
        }
        let current = state.keys.get(key).map_or(0, |k| k.revision);
        let mut status = 409;
        let mut revision = current;
        if current == expected {
            status = 200;
            state.revision += 1;
            revision = state.revision;
            if let Some(old) = state.keys.get(key).cloned() {
                state.previous.insert(key.to_owned(), old);
            }
            if put {
                state.keys.insert(key.to_owned(), Stored { revision, value, lease });
            } else {
                state.keys.remove(key);
            }
        }
        let lost = status == 200 && state.faults.lose_writes > 0;
        state.faults.lose_writes -= u32::from(lost);
        state.faults.outage |= lost && state.faults.out_after_loss;
        let pause = Duration::from_millis(state.faults.answer_ms);
        drop(state);
        self.changed.notify_all();
        std::thread::sleep(pause);
        if lost {
            exchange.begin(200, &[]).unwrap_or_default();
        } else {
            reply::json(exchange, status, &BTreeMap::from([("revision", revision)]));
        }
    }

    /// Grants a lease.
    fn grant_lease(&self, exchange: &mut Exchange<'_>) {
        let ttl =
            Duration::from_millis(query_number(&exchange.head.query, "ttl_ms").unwrap_or(1000));
        let mut state = self.state();
        state.calls.writes += 1;
        state.revision += 1;
        let id = state.revision;
        state.leases.insert(id, Lease { ttl, end: Instant::now() + ttl });
        drop(state);
        reply::json(exchange, 200, &BTreeMap::from([("id", id)]));
    }

    /// Renews or ends a lease.
    fn lease(&self, exchange: &mut Exchange<'_>, method: &str, id: u64) {
        let mut state = self.state();
        state.calls.writes += 1;
        state.expire();
        let known = match method {
            "PUT" => state.leases.get_mut(&id).map(|l| l.end = Instant::now() + l.ttl).is_some(),
            "DELETE" => state.leases.remove(&id).is_some(),
            _ => false,
        };
        state.expire();
        drop(state);
        reply::empty(exchange, if known { 200 } else { 410 });
    }
}

impl State {
    /// Returns a key, or its previous value when reads are set to be stale.
    fn read(&self, key: &str) -> Option<Stored> {
        let previous = self.previous.get(key).filter(|_| self.faults.stale);
        previous.or_else(|| self.keys.get(key)).cloned()
    }

    /// Drops expired leases and the keys that belong to them.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, l| l.end > now);
        let leases = &self.leases;
        self.keys.retain(|_, k| k.lease.is_none_or(|id| leases.contains_key(&id)));
    }
}
