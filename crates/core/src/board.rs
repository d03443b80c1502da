//! What one instance knows of the targets in its reach.
//!
//! The platform's list says which targets exist, the operators' configuration
//! relabels or drains them, reports say how loaded they are, and the
//! instance's own requests since the last report are added on top, so that a
//! lagging report does not draw a crowd.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::config::{Config, TargetKind};
use crate::ids::{ModelId, TargetId, ZoneId};
use crate::labels::{Labels, matches};

/// Failures in a row after which a target is ejected.
const EJECT_AFTER: u32 = 3;
/// Time for which an ejected target gets no work.
const EJECT_FOR: Duration = Duration::from_secs(5);

/// A target as the platform's list names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name of the target.
    pub name: TargetId,
    /// Kind of target.
    pub kind: TargetKind,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address, `IP:port`.
    pub addr: String,
    /// Labels of the platform.
    pub labels: Labels,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// Load report of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Start number of the engine's process.
    pub boot: u64,
    /// Number of the report, growing within one boot.
    pub number: u64,
    /// Prompt tokens accepted and not yet computed.
    pub prefill: u64,
    /// Requests that generate now.
    pub running: u32,
    /// Requests that may generate at once.
    pub slots: u32,
    /// Free KV cache, in tokens.
    pub free: u64,
    /// Whole KV cache, in tokens.
    pub capacity: u64,
    /// Measured prefill speed, in tokens a second.
    pub speed: u64,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// Models that are loaded.
    pub models: Vec<ModelId>,
}

/// What is known of one target.
#[derive(Clone, Debug)]
pub struct Known {
    /// Its entry in the platform's list, relabelled by the configuration.
    pub listed: Listed,
    /// Whether the operators drain it.
    pub drained: bool,
    /// Whether it refused because it is leaving.
    pub refused: bool,
    /// Latest report.
    pub report: Report,
    /// When the report was heard.
    pub heard: Option<Instant>,
    /// Prompt tokens that this instance sent and saw no first token of.
    pub own_prefill: u64,
    /// Requests of this instance in flight.
    pub own_running: u32,
    fails: u32,
    ejected: Option<Instant>,
}

impl Known {
    /// Returns whether the target may get new work at `now`.
    pub fn open(&self, now: Instant) -> bool {
        let ejected = self.ejected.is_some_and(|until| now < until);
        !(self.listed.leaving || self.drained || self.refused || self.report.leaving || ejected)
    }
}

/// All targets by name.
#[derive(Clone, Debug, Default)]
pub struct Board {
    targets: BTreeMap<TargetId, Known>,
}

impl Board {
    /// Takes over the platform's list and the operators' word on its targets.
    pub fn list(&mut self, listed: Vec<Listed>, config: &Config) {
        let mut old = std::mem::take(&mut self.targets);
        for mut entry in listed {
            relabel(&mut entry, config);
            let drained = config.drained.iter().any(|s| matches(s, &entry.labels));
            let name = TargetId::clone(&entry.name);
            let known = match old.remove(&name) {
                Some(known) if known.listed.addr == entry.addr => {
                    Known { listed: entry, drained, ..known }
                }
                _ => fresh(entry, drained),
            };
            self.targets.insert(name, known);
        }
    }

    /// Notes a report unless a newer one is known; returns whether it was new.
    pub fn report(&mut self, name: &str, report: Report, now: Instant) -> bool {
        let Some(known) = self.targets.get_mut(name) else { return false };
        let newer = (report.boot, report.number) > (known.report.boot, known.report.number);
        if newer {
            known.refused &= report.boot == known.report.boot;
            known.report = report;
            known.heard = Some(now);
        }
        newer
    }

    /// Notes a request that goes to the target.
    pub fn sent(&mut self, name: &str, tokens: u64) {
        if let Some(known) = self.targets.get_mut(name) {
            known.own_prefill += tokens;
            known.own_running += 1;
        }
    }

    /// Notes that the first token came, so that the prompt is computed.
    pub fn first_token(&mut self, name: &str, tokens: u64) {
        if let Some(known) = self.targets.get_mut(name) {
            known.own_prefill = known.own_prefill.saturating_sub(tokens);
        }
    }

    /// Notes the end of a request; `ok` tells whether the target did its part.
    pub fn ended(&mut self, name: &str, ok: bool, now: Instant) {
        let Some(known) = self.targets.get_mut(name) else { return };
        known.own_running = known.own_running.saturating_sub(1);
        known.fails = if ok { 0 } else { known.fails + 1 };
        if known.fails >= EJECT_AFTER {
            known.fails = 0;
            known.ejected = Some(now + EJECT_FOR);
        }
    }

    /// Notes that the target refused new work because it is leaving.
    pub fn refused(&mut self, name: &str) {
        if let Some(known) = self.targets.get_mut(name) {
            known.refused = true;
        }
    }

    /// Returns what is known of the target.
    pub fn get(&self, name: &str) -> Option<&Known> {
        self.targets.get(name)
    }

    /// Returns all targets in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = &Known> {
        self.targets.values()
    }
}

fn fresh(listed: Listed, drained: bool) -> Known {
    Known {
        listed,
        drained,
        refused: false,
        report: Report::default(),
        heard: None,
        own_prefill: 0,
        own_running: 0,
        fails: 0,
        ejected: None,
    }
}

fn relabel(entry: &mut Listed, config: &Config) {
    if let Some(word) = config.targets.iter().find(|t| t.name == entry.name) {
        for (name, value) in &word.labels {
            entry.labels.insert(name.clone(), value.clone());
        }
    }
}
