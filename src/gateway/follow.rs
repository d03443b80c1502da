//! Follows the store: configuration, targets and peers.
//!
//! One watch covers all of them. It returns with the first change; its pace is
//! bounded, so that changes in quick succession gather and come together. Views
//! outlive outages of the store. In a large zone a few instances watch, and the
//! others are told by them (`mirror`).

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::Change;
use mimosapass_core::ids::TargetId;
use mimosapass_platform::store::{Entry, Page, StoreError};
use mimosapass_platform::{plan, runner};

use super::member;
use super::state::{Gateway, State};

/// Least time between two watches, for changes that come in quick succession: each
/// call of each instance is priced, and a change has two seconds to be in force.
const PACE: Duration = Duration::from_millis(600);
/// Time that a watch waits for a change. A connection that falls silent for good
/// is noticed after this and the time of a call, within the users' bounds.
const WAIT: Duration = Duration::from_secs(2);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks at whether this instance is to watch the store.
const LOOK: Duration = Duration::from_millis(100);
/// Failed calls in a row after which the store counts as away.
const AWAY_AFTER: u32 = 2;

/// Follows the store for as long as the process runs.
pub fn run(gateway: &Arc<Gateway>) {
    let mut failed = 0;
    let mut listed = false;
    let mut watching = true;
    loop {
        let begun = Instant::now();
        let watches = gateway.state().watches(&gateway.name, begun);
        if watches != watching {
            log::info!(watches; "store: whether it is watched from here has changed.");
            watching = watches;
        }
        if listed && !watches {
            failed = 0;
            thread::sleep(LOOK);
            continue;
        }
        let result = if listed { watch(gateway) } else { list(gateway) };
        match result {
            Ok(()) => {
                listed = true;
                failed = 0;
                thread::sleep(PACE.saturating_sub(begun.elapsed()));
            }
            Err(StoreError::Compacted) => {
                log::warn!("store: the history was dropped, all is listed again.");
                listed = false;
            }
            Err(e) => {
                failed += 1;
                gateway.state().store.failing.get_or_insert(begun);
                if failed == AWAY_AFTER {
                    away(gateway, &e);
                }
                thread::sleep(PAUSE);
            }
        }
    }
}

fn away(gateway: &Gateway, error: &StoreError) {
    let mut state = gateway.state();
    if state.store.away.is_none() {
        state.store.away = Some(Instant::now());
        gateway.metrics.store.set(0);
        let at = state.store.at;
        log::warn!(revision = at; "store: lost, views stay as they are: {error}.");
    }
}

/// Notes that a call was answered, before what it says is taken.
fn back(gateway: &Gateway) {
    let now = Instant::now();
    let mut state = gateway.state();
    state.store.heard = Some(now);
    state.regained(now);
    gateway.metrics.store.set(1);
}

/// Removes targets whose entries lapsed in an outage and did not come back.
pub fn expire(gateway: &Gateway) {
    let mut state = gateway.state();
    let away = state.store.failing.is_some();
    for id in state.scheduler.fleet.expire(away, Instant::now()) {
        log::info!(target_id = &*id; "target: gone, its entry did not come back.");
        state.scheduler.forget(&id);
    }
}

/// Lists everything anew.
fn list(gateway: &Gateway) -> Result<(), StoreError> {
    let targets = gateway.store.list(runner::PREFIX)?;
    if let Some(entry) = gateway.store.get(plan::KEY)? {
        take(gateway, &entry);
    }
    let members = gateway.store.list(member::PREFIX)?;
    back(gateway);
    let Page { entries, at } = targets;
    let named: Vec<TargetId> = entries
        .iter()
        .filter_map(|e| e.key.strip_prefix(runner::PREFIX))
        .map(TargetId::from)
        .collect();
    for entry in entries.iter().chain(&members.entries) {
        take(gateway, entry);
    }
    let mut state = gateway.state();
    let now = Instant::now();
    let outage = state.outage(now);
    for id in state.scheduler.fleet.reconcile(&named, outage, now) {
        log::info!(target_id = &*id, revision = at; "target: gone, it is not listed.");
        state.scheduler.forget(&id);
    }
    state.store.at = at;
    state.store.seen = state.store.seen.max(at);
    state.store.listed = true;
    count_targets(gateway, &state);
    Ok(())
}

/// Waits for changes and takes them.
fn watch(gateway: &Gateway) -> Result<(), StoreError> {
    let after = gateway.state().store.at;
    let page = gateway.store.watch("", after, WAIT)?;
    back(gateway);
    for entry in &page.entries {
        take(gateway, entry);
    }
    let mut state = gateway.state();
    state.store.at = state.store.at.max(page.at);
    count_targets(gateway, &state);
    Ok(())
}

fn count_targets(gateway: &Gateway, state: &State) {
    let serving = state.scheduler.fleet.all().filter(|t| !t.draining).count();
    gateway.metrics.targets.set(serving as i64);
}

/// Takes one entry of the store.
pub fn take(gateway: &Gateway, entry: &Entry) {
    if entry.key == plan::KEY {
        configure(gateway, entry);
    } else if let Some(id) = entry.key.strip_prefix(runner::PREFIX) {
        target(gateway, id, entry);
    } else if let Some(name) = entry.key.strip_prefix(member::PREFIX) {
        member::changed(gateway, name, entry.value.as_deref());
    }
}

fn configure(gateway: &Gateway, entry: &Entry) {
    let Some(text) = &entry.value else { return };
    match plan::decode(text) {
        Ok(plan) => {
            if gateway.install(plan, text) {
                gateway.state().scheduler.long_changed = true;
                gateway.bell.notify_all();
            }
        }
        Err(e) => log::error!(revision = entry.revision; "config: it cannot be read: {e}."),
    }
}

fn target(gateway: &Gateway, id: &str, entry: &Entry) {
    let now = Instant::now();
    let mut state = gateway.state();
    let outage = state.outage(now);
    let revision = entry.revision;
    state.store.seen = state.store.seen.max(revision);
    let change = if entry.deleted {
        state.scheduler.fleet.remove(id, outage, now)
    } else {
        let value = entry.value.as_deref().unwrap_or_default();
        match runner::decode(id, value) {
            Ok(target) => state.scheduler.fleet.report(target),
            Err(e) => {
                log::warn!(target_id = id, revision; "target: its entry cannot be read: {e}.");
                return;
            }
        }
    };
    match change {
        Change::Unchanged => return,
        Change::Joined => log::info!(target_id = id, revision; "target: takes work."),
        Change::Draining => log::info!(target_id = id, revision; "target: drains."),
        Change::Gone => log::info!(target_id = id, revision, outage; "target: gone."),
    }
    state.scheduler.forget(id);
    state.scheduler.long_changed = true;
    state.dispatch(gateway, now);
    gateway.bell.notify_all();
}
