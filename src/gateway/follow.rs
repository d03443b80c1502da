//! Follows the store: configuration, targets and peers.
//!
//! One watch covers all of them. It returns at the first change; watches have a
//! shortest interval, so that changes in quick succession are returned together. Data
//! stays in use during outages of the store. In a large zone only a few instances
//! watch, and the others get snapshots from them (`snapshot`).

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosapass_core::edge::fleet::{Change, Target};
use mimosapass_core::edge::position::Position;
use mimosapass_core::ids::TargetId;
use mimosapass_core::pace::Backoff;
use mimosapass_platform::store::{Entry, Page, Revision, StoreError};
use mimosapass_platform::{config, target};

use super::state::{Gateway, State, StoreStatus};
use super::{evacuation, member};

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
/// Longest delay, before jitter, after a listing that the store answers and that fails. Its calls
/// are charged, and count towards the rate of the fleet.
const MAX_LIST_DELAY: Duration = Duration::from_secs(16);
/// Interval between checks whether this instance has to watch the store.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive failed calls after which the store counts as unavailable.
const MAX_FAILURES: u32 = 2;
/// Consecutive failed calls of which one is logged; a second or more of refusals.
const FAILURES_PER_LINE: u32 = 4;

/// Follows the store until the process ends.
pub fn run(gateway: &Arc<Gateway>) {
    let mut failures = 0;
    let mut listed = false;
    let mut watching = true;
    let mut listings = Backoff::new(RETRY_DELAY, MAX_LIST_DELAY);
    loop {
        let begun = Instant::now();
        let watches = gateway.state().watches_store(gateway, begun);
        if watches != watching {
            let behind_ms = gateway.state().behind_ms(begun);
            log::info!(watches, behind_ms; "store: started or stopped watching.");
            watching = watches;
        }
        if listed && !watches {
            failures = 0;
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        listed &= !gateway.is_in_new_era();
        let result = if listed { watch(gateway) } else { list(gateway) };
        match result {
            Ok(()) => {
                listed = true;
                failures = 0;
                listings.succeeded();
                thread::sleep(WATCH_INTERVAL.saturating_sub(begun.elapsed()));
            }
            Err(e) if listed && needs_listing(&e) => {
                log::warn!("store: listing all entries again, {e}.");
                listed = false;
            }
            Err(e) => {
                failures += 1;
                record_failure(gateway, &e, begun.elapsed(), failures);
                if failures == MAX_FAILURES {
                    record_outage(gateway, &e);
                }
                if !listed && needs_listing(&e) {
                    listings.failed(Instant::now(), rand::random());
                    wait_until_ready(&listings);
                } else {
                    thread::sleep(RETRY_DELAY);
                }
            }
        }
    }
}

/// Returns whether the store answered, and only a listing can go on from its answer.
fn needs_listing(error: &StoreError) -> bool {
    match error {
        StoreError::Compacted
        | StoreError::Endless(_)
        | StoreError::Outdated
        | StoreError::TooLarge => true,
        StoreError::Conflict
        | StoreError::NotFound
        | StoreError::Refused(_)
        | StoreError::Unknown(_) => false,
    }
}

fn wait_until_ready(backoff: &Backoff) {
    while !backoff.ready(Instant::now()) {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Records and logs the failed call number `count` in a row; peers are told of the first one.
fn record_failure(gateway: &Gateway, error: &StoreError, took: Duration, count: u32) {
    gateway.metrics.store_failures.with_label_values(&[error.reason()]).inc();
    let mut state = gateway.state();
    let took_ms = took.as_millis() as u64;
    let revision = state.store.progress.watched.revision;
    if count <= MAX_FAILURES || count.is_multiple_of(FAILURES_PER_LINE) {
        log::info!(took_ms, revision, count; "store: a call failed: {error}.");
    }
    if state.store.failing_since.is_none() {
        state.store.failing_since = Some(Instant::now());
        state.announce = true;
        gateway.load_changed.notify_all();
    }
}

fn record_outage(gateway: &Gateway, error: &StoreError) {
    let mut state = gateway.state();
    if state.store.down_since.is_none() {
        state.store.down_since = Some(Instant::now());
        gateway.metrics.store_up.set(0);
        let revision = state.store.progress.watched.revision;
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
        let Position { revision, .. } = state.store.progress.targets;
        let next = state.store.progress.targets.at(revision + 1);
        state.target_changes.reset(next);
    }
    for id in expired {
        log::info!(
            target_id = &*id;
            "target: removed, its entry was not written again after an outage."
        );
        state.forget_target(&id);
    }
}

/// Lists and applies all entries.
fn list(gateway: &Gateway) -> Result<(), StoreError> {
    // One call for all keys: when a large fleet starts, each call counts hundreds of times.
    let Page { entries, position } = gateway.store.list("")?;
    record_success(gateway);
    begin_era(gateway, position);
    let (targets, others): (Vec<Entry>, Vec<Entry>) =
        entries.into_iter().partition(|e| e.key.starts_with(target::PREFIX));
    // First, so that no target of an evacuated zone is used meanwhile.
    evacuation::apply_listing(gateway, &others, position);
    for entry in &others {
        apply(gateway, entry, position);
    }
    list_targets(gateway, &targets, position);
    Ok(())
}

/// Applies the targets of a listing, all at once: peers are told of no position within it.
fn list_targets(gateway: &Gateway, entries: &[Entry], position: Position) {
    let listed: Vec<TargetId> = entries
        .iter()
        .filter_map(|e| e.key.strip_prefix(target::PREFIX))
        .map(TargetId::from)
        .collect();
    let decoded: Vec<(Target, Revision)> = std::iter::zip(&listed, entries)
        .filter_map(|(id, entry)| Some((decode_target(id, entry)?, entry.revision)))
        .collect();
    let mut state = gateway.state();
    let now = Instant::now();
    if state.store.progress.list(position) {
        for (target, revision) in decoded {
            let id = TargetId::clone(&target.id);
            let change = state.scheduler.fleet.report(target);
            apply_change(&mut state, &id, change, revision);
        }
        let outage = state.after_outage(now);
        for (id, change) in state.scheduler.fleet.reconcile(&listed, outage) {
            if change == Change::Lapsed {
                log_lapse(&id, position.revision);
                continue;
            }
            log::info!(target_id = &*id, revision = position.revision; "target: removed, the store does not list it.");
            state.forget_target(&id);
        }
        let known = state.store.progress.targets;
        state.target_changes.reset(known);
    } else {
        log::info!(
            revision = position.revision, known = state.store.progress.targets.revision;
            "store: targets listed before what a peer has told, not applied."
        );
    }
    if !state.store.listed {
        let targets = state.scheduler.fleet.all().count();
        log::info!(targets, revision = position.revision; "store: listed for the first time.");
    }
    state.store.listed = true;
    state.observe_fleet(now);
    count_targets(gateway, &state);
    state.dispatch(gateway, now);
    gateway.load_changed.notify_all();
}

/// Notes that the store came back from a copy, if it has since the last listing.
///
/// The copy may lack targets that run, so for a while a missing entry is no removal; and it
/// may have entries of targets that have left, which the fleet knows.
fn begin_era(gateway: &Gateway, position: Position) {
    let mut state = gateway.state();
    let before = state.store.progress.watched;
    // A peer's snapshot of the new era says itself which targets are kept, and until when.
    if before == Position::default()
        || position.era <= before.era.max(state.store.progress.targets.era)
    {
        return;
    }
    state.store.restored_at = Some(Instant::now());
    state.announce = true;
    let targets = state.scheduler.fleet.all().count();
    log::warn!(
        from = before.era, to = position.era, revision_before = before.revision,
        revision = position.revision, targets;
        "store: restored from a copy, known data stays in use until it is written again."
    );
}

/// Waits for changes and applies them.
fn watch(gateway: &Gateway) -> Result<(), StoreError> {
    let StoreStatus { progress, failing_since, .. } = gateway.state().store;
    let watched = progress.watched;
    let timeout = if failing_since.is_some() { PROBE_TIMEOUT } else { WATCH_TIMEOUT };
    let page = gateway.store.watch("", watched.revision, timeout)?;
    if page.position.era != watched.era {
        // The revision that was asked for is one of another era.
        return Err(StoreError::Outdated);
    }
    record_success(gateway);
    for entry in &page.entries {
        apply(gateway, entry, page.position.at(entry.revision));
    }
    let mut state = gateway.state();
    state.store.progress.watch(page.position);
    count_targets(gateway, &state);
    Ok(())
}

fn log_lapse(id: &str, revision: Revision) {
    log::info!(target_id = id, revision; "target: kept, its entry may have expired in an outage.");
}

fn count_targets(gateway: &Gateway, state: &State) {
    let fleet = &state.scheduler.fleet;
    let serving = fleet.all().filter(|t| fleet.accepts(&t.id)).count();
    gateway.metrics.store_era.set(state.store.progress.watched.era as i64);
    gateway.metrics.targets.set(serving as i64);
    gateway.metrics.lapsed_targets.set(fleet.lapsed_count() as i64);
}

/// Applies one entry of the store, as of `at`; targets only from a watch.
fn apply(gateway: &Gateway, entry: &Entry, at: Position) {
    if entry.key == config::KEY {
        apply_config(gateway, entry);
    } else if let Some(id) = entry.key.strip_prefix(target::PREFIX) {
        apply_target(gateway, id, entry, at);
    } else if let Some(name) = entry.key.strip_prefix(member::PREFIX) {
        member::apply_entry(gateway, name, entry.value.as_deref());
    } else {
        evacuation::apply_entry(gateway, entry, at);
    }
}

fn apply_config(gateway: &Gateway, entry: &Entry) {
    let Some(text) = &entry.value else { return };
    match config::decode(text) {
        Ok(table) => {
            if gateway.install(table, text, "store") {
                gateway.state().announce = true;
                gateway.load_changed.notify_all();
            }
        }
        Err(e) => log::error!(revision = entry.revision; "config: invalid, not applied: {e}."),
    }
}

/// Applies a change of a target in a watch.
fn apply_target(gateway: &Gateway, id: &str, entry: &Entry, at: Position) {
    let target = if entry.deleted { None } else { decode_target(id, entry) };
    let now = Instant::now();
    let mut state = gateway.state();
    if !state.store.progress.change(at) {
        return;
    }
    state.target_changes.record(at, TargetId::from(id));
    let outage = state.after_outage(now);
    let change = match target {
        Some(target) => state.scheduler.fleet.report(target),
        None if entry.deleted => state.scheduler.fleet.remove(id, outage),
        None => return,
    };
    if apply_change(&mut state, id, change, at.revision) {
        state.dispatch(gateway, now);
        gateway.load_changed.notify_all();
    }
}

/// Decodes the entry of a target; an invalid one is logged.
fn decode_target(id: &str, entry: &Entry) -> Option<Target> {
    // A value that is not valid base64 was logged when it was read.
    let decoded = target::decode(id, entry.value.as_deref()?);
    if let Err(e) = &decoded {
        log::warn!(target_id = id, revision = entry.revision; "target: ignored an invalid entry: {e}.");
    }
    decoded.ok()
}

/// Logs a change of a target and forgets what it makes void; returns whether it affects
/// requests.
fn apply_change(state: &mut State, id: &str, change: Change, revision: Revision) -> bool {
    match change {
        Change::Unchanged => return false,
        Change::Lapsed => {
            log_lapse(id, revision);
            return false;
        }
        Change::Joined if !state.store.listed => {}
        Change::Joined => log::info!(target_id = id, revision; "target: accepts requests."),
        Change::Draining => log::info!(target_id = id, revision; "target: draining."),
        Change::Gone => {
            let outage = state.after_outage(Instant::now());
            log::info!(target_id = id, revision, outage; "target: entry removed.");
        }
    }
    state.forget_target(id);
    state.announce = true;
    true
}
