//! The order in which schedulers fill engines.
//!
//! Short prompts take engines from the front of an order that all schedulers share, so
//! that engines at its back stay free for long prompts. In a large fleet, schedulers that
//! fill one order choose the same engine at the same moment. The engines of a zone
//! therefore form blocks with an order of their own once there are enough of them, and a
//! scheduler fills its own block first.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::edge::fleet::{Fleet, Target};
use crate::ids::{TargetId, ZoneId};

/// Fewest engines of a zone, in the mean, for zones to have blocks of their own. With fewer
/// the long prompts of one zone would find no free engines in its block.
const MIN_ZONE: usize = 10;
/// Fewest engines in a block: enough for short prompts in front of free engines.
const MIN_BLOCK: usize = 6;

/// Which of the zone's blocks a scheduler fills first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Turn {
    /// Position among the schedulers of the zone, from 0.
    pub index: usize,
    /// Number of schedulers in the zone, 1 or more.
    pub count: usize,
}

impl Default for Turn {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}

/// Place of an engine in the order of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Position {
    /// Place in its block, above 0 and below 1.
    pub in_block: f64,
    /// Whether the block is filled by this scheduler first.
    pub own: bool,
}

/// Returns the positions of engines that are in the given `zones`, in the common order.
pub fn positions(zones: &[&ZoneId], own_zone: &str, turn: Turn) -> Vec<Position> {
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for zone in zones {
        *sizes.entry(zone).or_default() += 1;
    }
    // All schedulers have to come to the same result, so the mean over zones decides.
    if zones.len() < MIN_ZONE * sizes.len() {
        let place = |i: usize| (i as f64 + 0.5) / zones.len() as f64;
        return (0..zones.len()).map(|i| Position { in_block: place(i), own: true }).collect();
    }
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    zones
        .iter()
        .map(|zone| {
            let at = seen.entry(zone).or_default();
            let (index, size) = (*at, sizes[&***zone]);
            *at += 1;
            let blocks = (size / MIN_BLOCK).clamp(1, turn.count);
            let in_block = ((index / blocks) as f64 + 0.5) / size.div_ceil(blocks) as f64;
            let own = ***zone == *own_zone && index % blocks == turn.index % blocks;
            Position { in_block, own }
        })
        .collect()
}

/// A target and its place in the order.
#[derive(Clone, Debug)]
pub struct Member {
    /// Target.
    pub target: Arc<Target>,
    /// Its place.
    pub position: Position,
}

/// Targets that are excluded for a while.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Excluded {
    /// Single targets.
    pub targets: BTreeSet<TargetId>,
    /// All targets of availability zones.
    pub zones: BTreeSet<ZoneId>,
    /// Targets that do not help with the prompts of others; they get no long prompts.
    pub helpers: BTreeSet<TargetId>,
    /// Targets that asked for a pause, or have got as many requests as they take; they get
    /// nothing, also if no other one is there.
    pub closed: BTreeSet<TargetId>,
}

impl Excluded {
    fn contains(&self, target: &Target) -> bool {
        self.targets.contains(&target.id) || self.zones.contains(&target.zone)
    }
}

/// Targets of a service that accept requests, in the order of a scheduler.
///
/// It is kept between decisions, since targets change rarely.
#[derive(Clone, Debug, Default)]
pub struct Lineup {
    short: Vec<Member>,
    long: Vec<Member>,
    generation: u64,
    turn: Turn,
    excluded: Excluded,
}

impl Lineup {
    /// Sorts the targets of a service for a scheduler in `zone`.
    ///
    /// Excluded targets are left out unless no other one is there.
    pub fn new(fleet: &Fleet, service: &str, zone: &str, turn: Turn, excluded: &Excluded) -> Self {
        let open = || fleet.serving(service).filter(|t| !excluded.closed.contains(&t.id));
        let mut targets: Vec<&Arc<Target>> = open().filter(|t| !excluded.contains(t)).collect();
        if targets.is_empty() {
            targets = open().collect();
        }
        let zones: Vec<&ZoneId> = targets.iter().map(|t| &t.zone).collect();
        let positions = positions(&zones, zone, turn);
        let mut short: Vec<Member> = std::iter::zip(targets, positions)
            .map(|(target, position)| Member { target: Arc::clone(target), position })
            .collect();
        let by_place = |a: &Member, b: &Member| a.position.in_block.total_cmp(&b.position.in_block);
        let mut long = short.clone();
        if long.iter().any(|m| !excluded.helpers.contains(&m.target.id)) {
            long.retain(|m| !excluded.helpers.contains(&m.target.id));
        }
        long.sort_by(|a, b| by_place(b, a));
        short.sort_by(|a, b| b.position.own.cmp(&a.position.own).then(by_place(a, b)));
        Self { short, long, generation: fleet.generation(), turn, excluded: excluded.clone() }
    }

    /// Returns whether nothing that the order depends on has changed since.
    pub fn is_current(&self, fleet: &Fleet, turn: Turn, excluded: &Excluded) -> bool {
        self.generation == fleet.generation() && self.turn == turn && self.excluded == *excluded
    }

    /// Returns the targets in the order in which prompts fill them.
    pub fn members(&self, long: bool) -> &[Member] {
        if long { &self.long } else { &self.short }
    }
}
