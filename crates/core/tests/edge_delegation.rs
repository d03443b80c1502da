//! Placement of an instance's requests by schedulers, over messages that get lost.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use mimosapass_core::edge::clients::{ClientRequests, Reply};
use mimosapass_core::edge::fleet::Target;
use mimosapass_core::edge::history::Kind;
use mimosapass_core::edge::remote::{Outgoing, RemoteRequests};
use mimosapass_core::edge::route_table::{RouteTable, Service};
use mimosapass_core::edge::schedule::{Grant, Refusal, Requirements, Scheduler};
use mimosapass_core::edge::wait::QueueEntry;
use mimosapass_core::ids::InstanceId;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const CLIENT: &str = "client";
const SCHEDULERS: [&str; 2] = ["one", "two"];
const STEP: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn table() -> RouteTable {
    let desk = Service {
        name: "desk".into(),
        health_path: "/".to_owned(),
        max_connections: 10,
        engine: None,
    };
    RouteTable::new(1, Vec::new(), vec![desk])
}

fn requirements(now: Instant, due: Duration) -> Requirements {
    Requirements {
        service: "desk".into(),
        engine: None,
        prompt: 0,
        answer: 0,
        max_gap: ms(200),
        long: false,
        whole: false,
        kind: Kind::default(),
        stated: None,
        max_answer: 0,
        call_time: Duration::from_millis(60),
        entry: QueueEntry {
            arrived: now,
            due: now + due,
            expires: now + due * 2,
            value: 1.0,
            work: ms(20),
            min_work: ms(20),
            priority: 1,
        },
        avoid: Vec::new(),
    }
}

/// A scheduler with one target of `slots` places.
struct Node {
    scheduler: Scheduler,
    clients: ClientRequests,
    next_number: u64,
}

impl Node {
    fn new(slots: u32) -> Self {
        let mut scheduler = Scheduler::new("a".into());
        scheduler.fleet.report(Target {
            id: "t0".into(),
            service: "desk".into(),
            addr: "127.0.0.1:9000".parse().expect("an address"),
            zone: "a".into(),
            slots,
            draining: false,
            started_ms: 1,
            seq: 1,
            warmup: Duration::ZERO,
        });
        Self { scheduler, clients: ClientRequests::default(), next_number: 1_000 }
    }

    fn receive(&mut self, outgoing: Outgoing, now: Instant) {
        let client = InstanceId::from(CLIENT);
        for id in outgoing.started {
            self.clients.first_event(&mut self.scheduler, &client, id, now);
        }
        for id in outgoing.ended {
            self.clients.end(&mut self.scheduler, &client, id);
        }
        for (id, requirements) in outgoing.asks {
            self.next_number += 1;
            let number = self.next_number;
            self.clients.ask(&mut self.scheduler, &client, id, requirements, number);
        }
    }

    /// Places what waits; returns the answers to the client.
    fn round(&mut self, now: Instant) -> Vec<(u64, Reply)> {
        self.clients.refuse(&mut self.scheduler, now);
        for grant in self.scheduler.dispatch(&table(), now) {
            assert!(self.clients.grant(&grant).is_some(), "all requests are those of the client");
        }
        let mut replies = self.clients.take_replies();
        replies.remove(CLIENT).unwrap_or_default().into_iter().collect()
    }

    fn in_flight(&self) -> usize {
        self.scheduler.load.assignments("t0").count() + self.scheduler.waiting_count()
    }
}

/// A client and its schedulers.
struct Zone {
    now: Instant,
    remote: RemoteRequests,
    nodes: HashMap<&'static str, Node>,
    dead: HashSet<&'static str>,
    granted: Vec<(u64, Grant)>,
    refused: Vec<(u64, Refusal)>,
    unplaced: Vec<u64>,
}

impl Zone {
    fn new(slots: u32) -> Self {
        Self {
            now: Instant::now(),
            remote: RemoteRequests::default(),
            nodes: SCHEDULERS.map(|name| (name, Node::new(slots))).into(),
            dead: HashSet::new(),
            granted: Vec::new(),
            refused: Vec::new(),
            unplaced: Vec::new(),
        }
    }

    fn ask(&mut self, id: u64) -> &'static str {
        let asked = self.remote.choose(CLIENT, &SCHEDULERS, self.now).expect("a scheduler");
        let name = SCHEDULERS.into_iter().find(|name| **name == *asked).expect("one of them");
        self.remote.ask(id, requirements(self.now, ms(300)), asked, self.now);
        name
    }

    fn other(name: &str) -> &'static str {
        SCHEDULERS.into_iter().find(|other| *other != name).expect("two schedulers")
    }

    /// Exchanges messages once; `lost` decides for each.
    fn step(&mut self, confirm: bool, mut lost: impl FnMut() -> bool) {
        self.now += STEP;
        let now = self.now;
        for (id, _) in self.remote.reassign(CLIENT, &SCHEDULERS, |_| false, now) {
            self.unplaced.push(id);
        }
        let mut outgoing = self.remote.take_outgoing(now);
        if confirm {
            for name in self.remote.to_confirm(now) {
                outgoing.entry(name).or_default();
            }
        }
        for (name, message) in outgoing {
            let held = confirm.then(|| self.remote.held_by(&name));
            if lost() || self.dead.contains(&*name) {
                continue;
            }
            let node = self.nodes.get_mut(&*name).expect("a scheduler");
            node.receive(message, now);
            if let Some(held) = held {
                node.clients.retain(&mut node.scheduler, CLIENT, &held);
            }
        }
        let dead = self.dead.clone();
        for name in SCHEDULERS.into_iter().filter(|name| !dead.contains(name)) {
            let replies = self.nodes.get_mut(name).expect("a scheduler").round(now);
            for (id, reply) in replies.into_iter().filter(|_| !lost()).collect::<Vec<_>>() {
                self.apply(&name.into(), id, reply);
            }
        }
    }

    fn apply(&mut self, from: &InstanceId, id: u64, reply: Reply) {
        if self.remote.waiting(id, from).is_none() {
            if matches!(reply, Reply::Granted(_)) {
                self.remote.decline(id, from);
            }
            return;
        }
        match reply {
            Reply::Queued => self.remote.queued(id, from),
            Reply::Granted(grant) => {
                let grant = Grant { id, ..grant };
                self.remote.granted(&grant);
                self.granted.push((id, grant));
            }
            Reply::Refused(refusal) => {
                self.remote.withdraw(id);
                self.refused.push((id, refusal));
            }
        }
    }
}

#[test]
fn request_is_granted_by_its_scheduler_and_counted_until_it_ends() {
    let mut zone = Zone::new(4);
    let asked = zone.ask(7);
    zone.step(false, || false);
    assert_eq!(zone.granted.len(), 1);
    assert_eq!(zone.nodes[asked].in_flight(), 1);
    assert_eq!(zone.nodes[Zone::other(asked)].in_flight(), 0);
    assert!(zone.remote.end(7));
    zone.step(false, || false);
    assert_eq!(zone.nodes[asked].in_flight(), 0);
}

#[test]
fn scheduler_that_does_not_answer_is_replaced_in_time_for_a_short_prompt() {
    let mut zone = Zone::new(4);
    let asked = zone.ask(7);
    zone.dead.insert(asked);
    let begun = zone.now;
    while zone.granted.is_empty() {
        zone.step(false, || false);
        assert!(zone.now < begun + ms(200), "no grant within two thirds of the goal");
    }
    assert_eq!(zone.ask(8), Zone::other(asked), "the silent one is not asked again");
}

#[test]
fn without_any_scheduler_the_instance_places_its_requests_itself() {
    let mut zone = Zone::new(4);
    zone.ask(7);
    zone.dead.extend(SCHEDULERS);
    (0..40).for_each(|_| zone.step(false, || false));
    assert_eq!(zone.unplaced, [7]);
}

#[test]
fn lost_end_is_repaired_by_the_list_of_held_requests() {
    let mut zone = Zone::new(4);
    let asked = zone.ask(7);
    zone.step(false, || false);
    zone.remote.end(7);
    zone.step(false, || true);
    assert_eq!(zone.nodes[asked].in_flight(), 1, "the message was lost");
    zone.step(true, || false);
    assert_eq!(zone.nodes[asked].in_flight(), 0);
}

#[test]
fn grant_that_comes_after_the_request_went_elsewhere_is_declined() {
    let mut zone = Zone::new(4);
    let asked = zone.ask(7);
    // The scheduler gets the request, but none of its answers arrive.
    let name = InstanceId::from(asked);
    while zone.granted.is_empty() {
        zone.now += STEP;
        zone.remote.reassign(CLIENT, &SCHEDULERS, |_| false, zone.now);
        for (to, message) in zone.remote.take_outgoing(zone.now) {
            zone.nodes.get_mut(&*to).expect("a scheduler").receive(message, zone.now);
        }
        for scheduler in SCHEDULERS {
            let replies = zone.nodes.get_mut(scheduler).expect("one").round(zone.now);
            if *scheduler != *name {
                for (id, reply) in replies {
                    zone.apply(&scheduler.into(), id, reply);
                }
            }
        }
    }
    zone.step(false, || false);
    zone.step(false, || false);
    let counted: usize = zone.nodes.values().map(Node::in_flight).sum();
    assert_eq!(counted, 1, "only the scheduler whose grant was used counts it");
}

#[test]
fn request_that_waits_is_refused_when_it_can_no_longer_be_served() {
    let mut zone = Zone::new(0);
    let asked = zone.ask(7);
    (0..80).for_each(|at| zone.step(at % 30 == 0, || false));
    assert_eq!(zone.refused, [(7, Refusal::Late)]);
    assert_eq!(zone.nodes[asked].in_flight(), 0);
}

#[test]
fn requests_of_a_failed_scheduler_are_returned_with_their_first_event() {
    let mut zone = Zone::new(4);
    let asked = zone.ask(7);
    zone.step(false, || false);
    assert!(zone.remote.first_event(7, zone.now));
    let orphans = zone.remote.forget(asked);
    assert_eq!(orphans.len(), 1);
    assert_eq!(orphans[0].first_event, Some(zone.now));
    let mut own = Scheduler::new("a".into());
    own.adopt(&orphans[0]);
    assert_eq!(own.load.own_targets().count(), 1, "announced as its own from now on");
    assert!(!zone.remote.end(7), "no scheduler counts it any more");
}

#[test]
fn client_that_fails_leaves_nothing_behind() {
    let mut zone = Zone::new(1);
    let asked = zone.ask(7);
    zone.ask(8);
    zone.step(false, || false);
    let node = zone.nodes.get_mut(asked).expect("a scheduler");
    assert_eq!(node.in_flight(), 2, "one is granted and one waits");
    node.clients.forget(&mut node.scheduler, CLIENT);
    assert_eq!(node.in_flight(), 0);
}

proptest! {
    /// With any losses each request ends in one way, and nothing stays counted.
    #[test]
    fn nothing_is_counted_twice_or_for_good(
        seed in any::<u64>(),
        restarts in proptest::collection::vec(0_usize..150, 0..3),
        slots in 1_u32..6,
    ) {
        let mut zone = Zone::new(slots);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut ends = 0;
        for at in 0..150 {
            if at % 5 == 0 && at < 100 {
                if zone.remote.choose(CLIENT, &SCHEDULERS, zone.now).is_some() {
                    zone.ask(at as u64);
                } else {
                    zone.unplaced.push(at as u64);
                }
            }
            if restarts.contains(&at) {
                // A new process under the same name knows nothing of before.
                zone.nodes.insert(SCHEDULERS[at % 2], Node::new(slots));
            }
            zone.step(at % 30 == 0, || rng.random_bool(0.4));
            for (id, _) in std::mem::take(&mut zone.granted) {
                prop_assert!(zone.remote.end(id), "granted once");
                ends += 1;
            }
        }
        for at in 0..120 {
            zone.step(at % 30 == 0, || false);
            for (id, _) in std::mem::take(&mut zone.granted) {
                prop_assert!(zone.remote.end(id), "granted once");
                ends += 1;
            }
        }
        zone.step(true, || false);
        zone.step(true, || false);
        prop_assert_eq!(ends + zone.refused.len() + zone.unplaced.len(), 20);
        for node in zone.nodes.values() {
            prop_assert_eq!(node.in_flight(), 0);
        }
    }
}
