//! Stand-in for the platform's metadata store: revisions, watches, leases, faults.
//!
//! One store may have several endpoints, each with its own fault, so that some
//! instances lose the store while others do not.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use mimosapass_caller::exchange::Exchange;
use mimosapass_caller::server::{Limits, Server};
use serde_json::{Value, json};

use crate::reply::query_text;

/// Limit on the items of one page, unless a test sets another one.
const PAGE_ITEMS: usize = 500;

/// Fault of one endpoint of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Calls are refused with this status and not carried out.
    Reject(u16),
    /// Calls are neither carried out nor answered.
    Hang,
    /// Writes are carried out, but not answered.
    DropResponses,
    /// Calls are carried out after this many milliseconds.
    Delay(u64),
    /// Each page of a listing is the first one and states that another one follows.
    RepeatPage,
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Name of the header that states how often the store came back from a copy.
const ERA_HEADER: &str = "store-era";

#[derive(Debug, Default)]
struct State {
    era: u64,
    revision: u64,
    /// Limit on the items of one page, if a test sets one.
    page_items: Option<usize>,
    items: BTreeMap<String, Item>,
    /// Changes since `compacted_revision`, each with its revision and JSON form.
    history: Vec<(u64, Value)>,
    compacted_revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    calls: usize,
}

/// A metadata store, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct Metastore {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

/// A copy of the store's items, from which it can be restored.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// One endpoint of the store.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Address.
    pub addr: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    paths: Paths,
    received: Arc<AtomicUsize>,
}

/// Addresses in values, and what stands in their place at one endpoint.
type Paths = Arc<Mutex<BTreeMap<String, String>>>;

impl Endpoint {
    /// Returns the same endpoint as reached at another address.
    #[must_use]
    pub fn via(&self, addr: SocketAddr) -> Self {
        Self { addr, ..self.clone() }
    }

    /// Tells those who use this endpoint that what is at `target` is at `path`.
    pub fn set_path(&self, target: SocketAddr, path: SocketAddr) {
        let mut paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        paths.insert(target.to_string(), path.to_string());
    }

    /// Returns the number of calls that arrived here, also of those that were refused.
    pub fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl Metastore {
    /// Starts a server on a free port.
    ///
    /// # Panics
    ///
    /// Panics when no address can be bound.
    pub fn open_endpoint(&self) -> Endpoint {
        let fault = Arc::new(Mutex::new(Fault::None));
        let paths = Paths::default();
        let received = Arc::new(AtomicUsize::new(0));
        let (store, shared, told) = (self.clone(), Arc::clone(&fault), Arc::clone(&paths));
        let counter = Arc::clone(&received);
        let handler = move |exchange: &mut Exchange<'_>| {
            counter.fetch_add(1, Ordering::SeqCst);
            let current = *shared.lock().unwrap_or_else(PoisonError::into_inner);
            store.serve(exchange, current, &told);
        };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(any, Limits::default(), Arc::new(handler)).expect("an address");
        Endpoint { addr: server.addr(), fault, paths, received }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an item as the operator or a target does.
    pub fn set(&self, key: &str, value: &[u8]) {
        self.lock().set(key, BASE64_STANDARD.encode(value), 0);
        self.changed.notify_all();
    }

    /// Writes an item whose value is not valid base64.
    pub fn set_unreadable(&self, key: &str) {
        self.lock().set(key, "%%%".to_owned(), 0);
        self.changed.notify_all();
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        self.lock().delete(key);
        self.changed.notify_all();
    }

    /// Drops the history, so that watches from earlier revisions fail.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.compacted_revision = state.revision;
    }

    /// Returns a copy of the current state.
    pub fn copy(&self) -> Copy {
        let State { revision, items, leases, .. } = &*self.lock();
        Copy { revision: *revision, items: items.clone(), leases: leases.clone() }
    }

    /// Comes back from a copy: what was written since is lost, leases too, and its revisions
    /// are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.lock();
        let era = state.era + 1;
        let Copy { revision, items, leases } = copy;
        let page_items = state.page_items;
        *state = State { era, revision, page_items, items, leases, ..State::default() };
        state.compacted_revision = revision;
        drop(state);
        self.changed.notify_all();
    }

    /// Limits the items of one page.
    pub fn set_page_items(&self, items: usize) {
        self.lock().page_items = Some(items);
    }

    /// Returns the number of calls that were carried out.
    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, exchange: &mut Exchange<'_>, fault: Fault, paths: &Paths) {
        match fault {
            Fault::Reject(status) => return self.respond(exchange, status, &json!({})),
            Fault::Hang => {
                thread::sleep(Duration::from_secs(4));
                return;
            }
            Fault::Delay(ms) => thread::sleep(Duration::from_millis(ms)),
            Fault::None | Fault::DropResponses | Fault::RepeatPage => {}
        }
        let writes = exchange.head.method != "GET";
        let (status, body) = match (fault, exchange.head.path.as_str()) {
            (Fault::RepeatPage, "/kv-range") => {
                let (status, mut body) = self.lock().range("", "");
                body["truncated"] = true.into();
                (status, body)
            }
            _ => self.call(exchange),
        };
        if fault == Fault::DropResponses && writes {
            thread::sleep(Duration::from_secs(4));
            return;
        }
        let paths = paths.lock().unwrap_or_else(PoisonError::into_inner).clone();
        self.respond(exchange, status, &with_paths(body, &paths));
    }

    fn respond(&self, exchange: &mut Exchange<'_>, status: u16, body: &Value) {
        let era = self.lock().era.to_string();
        respond(exchange, status, body, era);
    }

    fn call(&self, exchange: &Exchange<'_>) -> (u16, Value) {
        let head = &exchange.head;
        let param = |name: &str| query_text(&head.query, name).unwrap_or_default();
        let body: Value = serde_json::from_slice(&exchange.body).unwrap_or_default();
        let number = |name: &str| param(name).parse::<u64>().unwrap_or_default();
        let mut state = self.lock();
        state.calls += 1;
        state.expire();
        match (head.method.as_str(), head.path.as_str()) {
            ("GET", "/kv-key") => state.get(&param("key")),
            ("GET", "/kv-range") => state.range(&param("prefix"), &param("after")),
            ("GET", "/kv-watch") => {
                drop(state);
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(&param("prefix"), number("after"), wait)
            }
            ("POST", "/kv-txn") => {
                let result = state.transact(&body);
                self.changed.notify_all();
                result
            }
            ("POST", "/kv-lease") => state.grant_lease(body["ttl_ms"].as_u64().unwrap_or(1_000)),
            ("POST", path) => state.renew_lease(path.rsplit('/').next().unwrap_or_default()),
            ("DELETE", path) => {
                let result = state.revoke_lease(path.rsplit('/').next().unwrap_or_default());
                self.changed.notify_all();
                result
            }
            _ => (400, json!({})),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if after < state.compacted_revision || after > state.revision {
                return (410, json!({}));
            }
            let events: Vec<&Value> = state
                .history
                .iter()
                .filter(|(at, e)| {
                    *at > after && e["key"].as_str().unwrap_or("").starts_with(prefix)
                })
                .map(|(_, event)| event)
                .collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                return (200, json!({ "events": events, "at": state.revision }));
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({ "key": key, "revision": self.revision, "deleted": true });
            self.history.push((self.revision, event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.drop_lease(lease);
        }
    }

    fn drop_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn get(&self, key: &str) -> (u16, Value) {
        match self.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, json!({})),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Value) {
        let matches = |key: &str| key.starts_with(prefix) && (after.is_empty() || key > after);
        let all: Vec<Value> =
            self.items.iter().filter(|(k, _)| matches(k)).map(|(k, i)| item_json(k, i)).collect();
        let limit = self.page_items.unwrap_or(PAGE_ITEMS);
        let truncated = all.len() > limit;
        let page = &all[..all.len().min(limit)];
        (200, json!({ "entries": page, "truncated": truncated, "at": self.revision }))
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let holds = rows("expected").iter().all(|row| {
            let key = row["key"].as_str().unwrap_or_default();
            let at = self.items.get(key).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(at)
        });
        if !holds {
            return (412, json!({ "entries": [] }));
        }
        for row in rows("set_keys") {
            let lease = row["lease"].as_u64().unwrap_or_default();
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, json!({}));
            }
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            self.set(row["key"].as_str().unwrap_or_default(), value, lease);
        }
        for key in rows("remove") {
            self.delete(key.as_str().unwrap_or_default());
        }
        (200, json!({ "revision": self.revision }))
    }

    fn grant_lease(&mut self, ttl_ms: u64) -> (u16, Value) {
        self.revision += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.revision, (Instant::now() + ttl, ttl));
        (200, json!({ "lease": self.revision, "ttl_ms": ttl_ms }))
    }

    fn renew_lease(&mut self, lease: &str) -> (u16, Value) {
        let lease = lease.parse().unwrap_or_default();
        match self.leases.get_mut(&lease) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                (200, json!({ "ttl_ms": ttl.as_millis() as u64 }))
            }
            None => (404, json!({})),
        }
    }

    fn revoke_lease(&mut self, lease: &str) -> (u16, Value) {
        self.drop_lease(lease.parse().unwrap_or_default());
        (200, json!({}))
    }
}

/// Replaces the addresses in the values of an answer.
fn with_paths(mut body: Value, paths: &BTreeMap<String, String>) -> Value {
    if paths.is_empty() {
        return body;
    }
    let lists = ["entries", "events"].into_iter().filter_map(|name| body.get(name)?.as_array());
    let items: Vec<Value> = lists.flatten().cloned().map(|item| with_path(item, paths)).collect();
    for name in ["entries", "events"] {
        if body.get(name).is_some() {
            body[name] = items.clone().into();
        }
    }
    body
}

fn with_path(mut item: Value, paths: &BTreeMap<String, String>) -> Value {
    let decoded = item["value"].as_str().and_then(|text| BASE64_STANDARD.decode(text).ok());
    let Some(mut text) = decoded.and_then(|bytes| String::from_utf8(bytes).ok()) else {
        return item;
    };
    for (target, path) in paths {
        text = text.replace(target.as_str(), path);
    }
    item["value"] = BASE64_STANDARD.encode(text).into();
    item
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    })
}

fn respond(exchange: &mut Exchange<'_>, status: u16, body: &Value, era: String) {
    let headers = [("content-type", "application/json".to_owned()), (ERA_HEADER, era)];
    if let Err(e) = exchange.respond(status, &headers, body.to_string().as_bytes()) {
        log::debug!("metastore stand-in: response not sent: {e}");
    }
}
