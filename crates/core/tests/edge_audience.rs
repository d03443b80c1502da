//! Discovery of the schedulers of other zones.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use mimosapass_core::edge::audience::{Heard, Recipients, Registered, Sender, recipients};
use proptest::prelude::*;

/// Schedulers of a zone in these tests: its first instances.
const SCHEDULERS: usize = 3;

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index as u32), 7000))
}

/// Instances of several zones, with what each knows.
struct Fleet {
    zones: Vec<String>,
    /// Zone of each instance.
    zone_of: Vec<usize>,
    /// Registered instances that each has listed.
    listed: Vec<BTreeSet<usize>>,
    /// Instances that each has heard.
    heard: Vec<BTreeSet<usize>>,
}

impl Fleet {
    fn new(zones: usize, per_zone: usize, listed: Vec<BTreeSet<usize>>) -> Self {
        let count = zones * per_zone;
        Self {
            zones: (0..zones).map(|z| format!("z{z}")).collect(),
            zone_of: (0..count).map(|i| i % zones).collect(),
            listed,
            heard: vec![BTreeSet::new(); count],
        }
    }

    fn schedulers(&self, zone: usize) -> Vec<usize> {
        let in_zone = (0..self.zone_of.len()).filter(|i| self.zone_of[*i] == zone);
        in_zone.take(SCHEDULERS).collect()
    }

    fn recipients(&self, instance: usize) -> Recipients {
        let zone = self.zone_of[instance];
        let addrs: BTreeMap<usize, Vec<SocketAddr>> = (0..self.zones.len())
            .map(|z| (z, self.schedulers(z).into_iter().map(addr).collect()))
            .collect();
        let places = |i: usize| self.schedulers(self.zone_of[i]).contains(&i);
        let heard: Vec<Heard<'_>> = self.heard[instance]
            .iter()
            .map(|i| Heard {
                addr: addr(*i),
                zone: &self.zones[self.zone_of[*i]],
                delegating: !places(*i),
                schedulers: &addrs[&self.zone_of[*i]],
            })
            .collect();
        let registered: Vec<Registered<'_>> = self.listed[instance]
            .iter()
            .map(|i| Registered { addr: addr(*i), zone: Some(&self.zones[self.zone_of[*i]]) })
            .collect();
        let own =
            Sender { addr: addr(instance), zone: &self.zones[zone], places: places(instance) };
        recipients(own, &heard, &registered, &[addr(0), addr(1)])
    }

    /// Lets every instance send once.
    fn round(&mut self) {
        for sender in 0..self.zone_of.len() {
            let Recipients { exchange, heartbeat } = self.recipients(sender);
            for receiver in 0..self.zone_of.len() {
                if exchange.contains(&addr(receiver)) || heartbeat.contains(&addr(receiver)) {
                    self.heard[receiver].insert(sender);
                }
            }
        }
    }
}

proptest! {
    /// However little each has listed at the start, all schedulers tell each other soon.
    ///
    /// On quiet-1 of atlas-loc they did not: each had heard one of every zone by then and
    /// looked for no others.
    #[test]
    fn all_schedulers_find_each_other(
        zones in 2_usize..5,
        per_zone in 1_usize..7,
        seed in proptest::collection::vec(any::<prop::sample::Index>(), 1..60),
    ) {
        let count = zones * per_zone;
        // Each has listed those that registered before it.
        let listed = (0..count)
            .map(|i| {
                let before = seed[i % seed.len()].index(count);
                (0..before).filter(|other| *other != i).collect()
            })
            .collect();
        let mut fleet = Fleet::new(zones, per_zone, listed);
        (0..2).for_each(|_| fleet.round());
        // The watch names those that registered later.
        let all = |i: usize| (0..count).filter(|other| *other != i).collect();
        fleet.listed = (0..count).map(all).collect();
        (0..4).for_each(|_| fleet.round());
        let schedulers: Vec<usize> = (0..zones).flat_map(|z| fleet.schedulers(z)).collect();
        for scheduler in &schedulers {
            let told = fleet.recipients(*scheduler).exchange;
            for other in schedulers.iter().filter(|other| *other != scheduler) {
                prop_assert!(told.contains(&addr(*other)), "{scheduler} does not tell {other}");
            }
        }
    }
}

#[test]
fn messages_do_not_grow_with_the_fleet() {
    let all = |count: usize| vec![(0..count).collect::<BTreeSet<usize>>(); count];
    let mut fleet = Fleet::new(5, 39, all(195));
    (0..6).for_each(|_| fleet.round());
    let client = fleet.recipients(194);
    assert_eq!(client.exchange.len(), 3, "the schedulers of its zone");
    assert_eq!(client.heartbeat.len(), 35, "the others of its zone");
    let scheduler = fleet.recipients(0);
    assert_eq!(scheduler.exchange.len(), 14, "all other schedulers");
    assert_eq!(scheduler.heartbeat.len(), 36, "its zone");
}
