//! Compacted load reports, which omit fields that rarely change.
//!
//! A sender includes these fields in every tenth report of a target and whenever they
//! change or a new peer joins; a receiver fills them in from the last full report.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::message::LoadReport;

/// One of this many reports of a target is full, unless one is needed earlier.
const FULL_INTERVAL: u32 = 10;
/// Maximum number of full reports that a receiver keeps.
const MAX_KEPT: usize = 4096;

/// Returns the hash that replaces a target's name in compact messages.
pub fn target_hash(target: &str) -> u64 {
    xxh3_64(target.as_bytes())
}

/// Returns the hash that identifies a target's process in compacted reports.
fn process_hash(report: &LoadReport) -> u64 {
    xxh3_64_with_seed(report.target.as_bytes(), report.boot)
}

/// Compacts the load reports that go to all peers.
#[derive(Clone, Debug, Default)]
pub struct Compactor {
    /// Static fields last sent of each process, and the reports since then.
    sent: BTreeMap<u64, (LoadReport, u32)>,
}

impl Compactor {
    /// Omits what the peers know; `full` forces full reports, as for a new peer.
    pub fn compact(&mut self, reports: &[LoadReport], full: bool) -> Vec<LoadReport> {
        let ids: Vec<u64> = reports.iter().map(process_hash).collect();
        self.sent.retain(|id, _| ids.contains(id));
        reports.iter().zip(ids).map(|(report, id)| self.compact_one(report, id, full)).collect()
    }

    fn compact_one(&mut self, report: &LoadReport, id: u64, full: bool) -> LoadReport {
        let fields = LoadReport { id, ..static_fields(report) };
        let known = self.sent.get_mut(&id).filter(|(sent, _)| *sent == fields);
        match known {
            Some((_, count)) if !full && *count < FULL_INTERVAL => {
                *count += 1;
                LoadReport { id, target: String::new(), ..dynamic_fields(report) }
            }
            _ => {
                self.sent.insert(id, (fields, 1));
                LoadReport { id, ..report.clone() }
            }
        }
    }
}

/// Completes compacted reports from the last full ones.
#[derive(Clone, Debug, Default)]
pub struct Expander {
    full: BTreeMap<u64, LoadReport>,
}

impl Expander {
    /// Returns the full report; `None` while no full one is known.
    pub fn expand(&mut self, report: LoadReport) -> Option<LoadReport> {
        if report.target.is_empty() {
            let known = self.full.get(&report.id)?;
            return Some(LoadReport {
                target: known.target.clone(),
                boot: known.boot,
                slots: known.slots,
                capacity_tokens: known.capacity_tokens,
                tokens_per_s: known.tokens_per_s,
                models: known.models.clone(),
                ..report
            });
        }
        if self.full.len() >= MAX_KEPT {
            self.full.clear();
        }
        self.full.insert(report.id, report.clone());
        Some(report)
    }
}

/// Returns the fields of a report that rarely change.
fn static_fields(report: &LoadReport) -> LoadReport {
    LoadReport {
        target: report.target.clone(),
        boot: report.boot,
        slots: report.slots,
        capacity_tokens: report.capacity_tokens,
        tokens_per_s: report.tokens_per_s,
        models: report.models.clone(),
        ..LoadReport::default()
    }
}

/// Returns the fields of a report that change from report to report.
fn dynamic_fields(report: &LoadReport) -> LoadReport {
    LoadReport {
        seq: report.seq,
        prefill_tokens: report.prefill_tokens,
        running: report.running,
        free_tokens: report.free_tokens,
        leaving: report.leaving,
        bands: report.bands.clone(),
        ..LoadReport::default()
    }
}
