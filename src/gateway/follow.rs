//! Follows the store: configuration, targets and peers.
//!
//! One watch covers all of them. It returns at the first change; watches have a
//! shortest interval, so that changes in quick succession are returned together. Data
//! stays in use during outages of the store. In a large zone only a few instances
//! watch, and the others get snapshots from them (`snapshot`).

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::Change;
use mimosapass_core::ids::TargetId;
use mimosapass_platform::store::{Entry, Page, Revision, StoreError};
use mimosapass_platform::{config, target};

use super::member;
use super::state::{Gateway, State, StoreStatus};

/// Shortest interval between watches. Every call of every instance is charged, and a
/// change must take effect within two seconds.
const WATCH_INTERVAL: Duration = Duration::from_millis(600);
/// Time for which a watch waits for a change. A connection that fell silent is detected
/// within two seconds; an instance has to know all changes three seconds after it was cut off.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// As [`WATCH_TIMEOUT`], after a failed call: the store counts as unavailable until a watch
/// returns.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between checks whether this instance has to watch the store.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive failed calls after which the store counts as unavailable.
const MAX_FAILURES: u32 = 2;

/// Follows the store until the process ends.
pub fn run(gateway: &Arc<Gateway>) {
    let mut failures = 0;
    let mut listed = false;
    let mut watching = true;
    loop {
        let begun = Instant::now();
        let watches = gateway.state().watches_store(gateway, begun);
        if watches != watching {
            log::info!(watches; "store: started or stopped watching.");
            watching = watches;
        }
        if listed && !watches {
            failures = 0;
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let result = if listed { watch(gateway) } else { list(gateway) };
        match result {
            Ok(()) => {
                listed = true;
                failures = 0;
                thread::sleep(WATCH_INTERVAL.saturating_sub(begun.elapsed()));
            }
            Err(StoreError::Compacted) => {
                log::warn!("store: the history was compacted, listing all entries again.");
                listed = false;
            }
            Err(e) => {
                failures += 1;
                record_failure(gateway, &e, begun.elapsed());
                if failures == MAX_FAILURES {
                    record_outage(gateway, &e);
                }
                thread::sleep(RETRY_DELAY);
            }
        }
    }
}

/// Records a failed call. The first one is logged, since the connection may have failed long
/// before, and peers are told of it.
fn record_failure(gateway: &Gateway, error: &StoreError, took: Duration) {
    let mut state = gateway.state();
    if state.store.failing_since.is_none() {
        state.store.failing_since = Some(Instant::now());
        state.announce = true;
        let took_ms = took.as_millis() as u64;
        log::info!(took_ms, revision = state.store.revision; "store: a call failed: {error}.");
        gateway.load_changed.notify_all();
    }
}

fn record_outage(gateway: &Gateway, error: &StoreError) {
    let mut state = gateway.state();
    if state.store.down_since.is_none() {
        state.store.down_since = Some(Instant::now());
        gateway.metrics.store_up.set(0);
        let revision = state.store.revision;
        log::warn!(
            revision;
            "store: unavailable, {MAX_FAILURES} calls failed, known data stays in use: {error}."
        );
    }
}

/// Records that a call succeeded, before its result is applied.
fn record_success(gateway: &Gateway) {
    let now = Instant::now();
    let mut state = gateway.state();
    state.store.last_success = Some(now);
    state.record_success(now);
    gateway.metrics.store_up.set(1);
}

/// Removes targets whose entries expired in an outage and were not written again.
pub fn expire_targets(gateway: &Gateway) {
    let mut state = gateway.state();
    let now = Instant::now();
    let grace_end = state.grace_end(now);
    let expired = state.scheduler.fleet.expire(grace_end, now);
    if !expired.is_empty() {
        // The store states no revision for these; peers get all targets next time.
        let next = state.store.target_revision + 1;
        state.target_changes.reset(next);
    }
    for id in expired {
        log::info!(
            target_id = &*id;
            "target: removed, its entry was not written again after an outage."
        );
        state.scheduler.forget(&id);
    }
}

/// Lists and applies all entries.
fn list(gateway: &Gateway) -> Result<(), StoreError> {
    // One call for all keys: when a large fleet starts, each call counts hundreds of times.
    let Page { entries, revision } = gateway.store.list("")?;
    record_success(gateway);
    let listed: Vec<TargetId> = entries
        .iter()
        .filter_map(|e| e.key.strip_prefix(target::PREFIX))
        .map(TargetId::from)
        .collect();
    for entry in &entries {
        apply(gateway, entry);
    }
    let mut state = gateway.state();
    let now = Instant::now();
    let outage = state.after_outage(now);
    for (id, change) in state.scheduler.fleet.reconcile(&listed, outage) {
        if change == Change::Lapsed {
            log_lapse(&id, revision);
            continue;
        }
        log::info!(target_id = &*id, revision; "target: removed, the store does not list it.");
        state.scheduler.forget(&id);
    }
    state.store.revision = revision;
    let target_revision = state.store.target_revision.max(revision);
    state.store.target_revision = target_revision;
    state.target_changes.reset(target_revision);
    state.store.listed = true;
    count_targets(gateway, &state);
    Ok(())
}

/// Waits for changes and applies them.
fn watch(gateway: &Gateway) -> Result<(), StoreError> {
    let StoreStatus { revision, failing_since, .. } = gateway.state().store;
    let timeout = if failing_since.is_some() { PROBE_TIMEOUT } else { WATCH_TIMEOUT };
    let page = gateway.store.watch("", revision, timeout)?;
    record_success(gateway);
    for entry in &page.entries {
        apply(gateway, entry);
    }
    let mut state = gateway.state();
    state.store.revision = state.store.revision.max(page.revision);
    count_targets(gateway, &state);
    Ok(())
}

fn log_lapse(id: &str, revision: Revision) {
    log::info!(target_id = id, revision; "target: kept, its entry may have expired in an outage.");
}

fn count_targets(gateway: &Gateway, state: &State) {
    let fleet = &state.scheduler.fleet;
    let serving = fleet.all().filter(|t| !t.draining).count();
    gateway.metrics.targets.set(serving as i64);
    gateway.metrics.lapsed_targets.set(fleet.lapsed_count() as i64);
}

/// Applies one entry of the store.
pub fn apply(gateway: &Gateway, entry: &Entry) {
    if entry.key == config::KEY {
        apply_config(gateway, entry);
    } else if let Some(id) = entry.key.strip_prefix(target::PREFIX) {
        apply_target(gateway, id, entry);
    } else if let Some(name) = entry.key.strip_prefix(member::PREFIX) {
        member::apply_entry(gateway, name, entry.value.as_deref());
    }
}

fn apply_config(gateway: &Gateway, entry: &Entry) {
    let Some(text) = &entry.value else { return };
    match config::decode(text) {
        Ok(table) => {
            if gateway.install(table, text) {
                gateway.state().announce = true;
                gateway.load_changed.notify_all();
            }
        }
        Err(e) => log::error!(revision = entry.revision; "config: invalid, not applied: {e}."),
    }
}

fn apply_target(gateway: &Gateway, id: &str, entry: &Entry) {
    let now = Instant::now();
    let mut state = gateway.state();
    let outage = state.after_outage(now);
    let revision = entry.revision;
    state.store.target_revision = state.store.target_revision.max(revision);
    state.target_changes.record(revision, TargetId::from(id));
    let change = if entry.deleted {
        state.scheduler.fleet.remove(id, outage)
    } else {
        let value = entry.value.as_deref().unwrap_or_default();
        match target::decode(id, value) {
            Ok(target) => state.scheduler.fleet.report(target),
            Err(e) => {
                log::warn!(target_id = id, revision; "target: ignored an invalid entry: {e}.");
                return;
            }
        }
    };
    match change {
        Change::Unchanged => return,
        Change::Lapsed => return log_lapse(id, revision),
        Change::Joined => log::info!(target_id = id, revision; "target: accepts requests."),
        Change::Draining => log::info!(target_id = id, revision; "target: draining."),
        Change::Gone => log::info!(target_id = id, revision, outage; "target: entry removed."),
    }
    state.scheduler.forget(id);
    state.announce = true;
    state.dispatch(gateway, now);
    gateway.load_changed.notify_all();
}
