//! Short forms of records: what does not change is told only now and then.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::message::LoadReport;

/// Reports from one whole record to the next, where nothing else asks for one.
const WHOLE: u32 = 10;
/// Targets whose whole record is kept by a reader, at most.
const KEPT: usize = 4096;

/// Returns the number that stands for a target's name in short messages.
pub fn target_hash(target: &str) -> u64 {
    xxh3_64(target.as_bytes())
}

/// Returns the number that stands for a target's process in records.
fn process(record: &LoadReport) -> u64 {
    xxh3_64_with_seed(record.target.as_bytes(), record.boot)
}

/// Shortens the records that go to all peers.
#[derive(Clone, Debug, Default)]
pub struct Compactor {
    told: BTreeMap<u64, (LoadReport, u32)>,
}

impl Compactor {
    /// Shortens what the peers know; `whole` says that a new peer knows nothing.
    pub fn compact(&mut self, records: &[LoadReport], whole: bool) -> Vec<LoadReport> {
        let ids: Vec<u64> = records.iter().map(process).collect();
        self.told.retain(|id, _| ids.contains(id));
        records.iter().zip(ids).map(|(record, id)| self.one(record, id, whole)).collect()
    }

    fn one(&mut self, record: &LoadReport, id: u64, whole: bool) -> LoadReport {
        let fixed = LoadReport { id, ..fixed(record) };
        let known = self.told.get_mut(&id).filter(|(told, _)| *told == fixed);
        match known {
            Some((_, turns)) if !whole && *turns < WHOLE => {
                *turns += 1;
                LoadReport { id, target: String::new(), ..moving(record) }
            }
            _ => {
                self.told.insert(id, (fixed, 1));
                LoadReport { id, ..record.clone() }
            }
        }
    }
}

/// Completes short records by the last whole ones.
#[derive(Clone, Debug, Default)]
pub struct Expander {
    whole: BTreeMap<u64, LoadReport>,
}

impl Expander {
    /// Returns the whole record; `None` while too little is known of its target.
    pub fn expand(&mut self, record: LoadReport) -> Option<LoadReport> {
        if record.target.is_empty() {
            let known = self.whole.get(&record.id)?;
            return Some(LoadReport {
                target: known.target.clone(),
                boot: known.boot,
                slots: known.slots,
                capacity: known.capacity,
                speed: known.speed,
                models: known.models.clone(),
                ..record
            });
        }
        if self.whole.len() >= KEPT {
            self.whole.clear();
        }
        self.whole.insert(record.id, record.clone());
        Some(record)
    }
}

/// Returns the part of a record that seldom changes.
fn fixed(record: &LoadReport) -> LoadReport {
    LoadReport {
        target: record.target.clone(),
        boot: record.boot,
        slots: record.slots,
        capacity: record.capacity,
        speed: record.speed,
        models: record.models.clone(),
        ..LoadReport::default()
    }
}

/// Returns the part of a record that changes.
fn moving(record: &LoadReport) -> LoadReport {
    LoadReport {
        seq: record.seq,
        prefill: record.prefill,
        running: record.running,
        free: record.free,
        leaving: record.leaving,
        bands: record.bands.clone(),
        ..LoadReport::default()
    }
}
