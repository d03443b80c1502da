//! Availability zones that the operator has evacuated.
//!
//! Targets of an evacuated zone get no new requests until the operator takes the zone back;
//! what is under way there goes on. Answers the pattern of a zone that is emptied before its
//! power or network is taken away: requests that wait, or are retried or resumed, have to turn
//! to other zones within seconds, at every instance.
//!
//! An order is known from a listing, a watch or a peer, and these overtake each other. The
//! latest position decides for each zone alone, so that all instances come to the same result
//! in whatever order they learn of it. A zone that the store does not list was taken back,
//! since the order has no lease; a store that came back from a copy may lack an order that the
//! operator gave, which is kept.

use std::collections::BTreeMap;

use crate::edge::position::Position;
use crate::ids::ZoneId;

/// The latest known word of the operator on a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// Whether the zone is evacuated.
    pub evacuated: bool,
    /// Position as of which it is known.
    pub at: Position,
}

/// Orders by zone; a zone without one is not evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    orders: BTreeMap<ZoneId, Order>,
    /// Number of changes of the set of evacuated zones so far.
    generation: u64,
}

impl Evacuations {
    /// Applies what is known of a zone; returns whether the zone is newly evacuated or taken
    /// back by it.
    pub fn record(&mut self, zone: &ZoneId, order: Order) -> bool {
        let known = self.orders.get(zone);
        if known.is_some_and(|known| known.at >= order.at) {
            return false;
        }
        let changed = known.is_some_and(|known| known.evacuated) != order.evacuated;
        self.orders.insert(ZoneId::clone(zone), order);
        self.generation += u64::from(changed);
        changed
    }

    /// Applies a listing of all orders as of `at`; returns the zones that are newly evacuated
    /// or taken back by it.
    pub fn list(&mut self, listed: &[(ZoneId, Position)], at: Position) -> Vec<ZoneId> {
        let is_listed = |zone: &ZoneId| listed.iter().any(|(listed, _)| listed == zone);
        // Of an earlier era the listing tells nothing: the order may be missing from the copy.
        let taken_back = self
            .orders
            .iter()
            .filter(|(zone, known)| known.evacuated && known.at.era == at.era && !is_listed(zone))
            .map(|(zone, _)| (ZoneId::clone(zone), Order { evacuated: false, at }));
        let mut orders: Vec<(ZoneId, Order)> = taken_back.collect();
        orders.extend(
            listed
                .iter()
                .map(|(zone, at)| (ZoneId::clone(zone), Order { evacuated: true, at: *at })),
        );
        orders.retain(|(zone, order)| self.record(zone, *order));
        orders.into_iter().map(|(zone, _)| zone).collect()
    }

    /// Returns whether the targets of a zone get no new requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.orders.get(zone).is_some_and(|order| order.evacuated)
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.orders.values().filter(|order| order.evacuated).count()
    }

    /// Returns all known orders, those to take a zone back too.
    pub fn orders(&self) -> impl Iterator<Item = (&ZoneId, Order)> {
        self.orders.iter().map(|(zone, order)| (zone, *order))
    }

    /// Returns the position of the latest known order; the lowest one if there is none.
    pub fn latest(&self) -> Position {
        self.orders.values().map(|order| order.at).max().unwrap_or_default()
    }

    /// Returns a number that differs after each change of the set of evacuated zones.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}
