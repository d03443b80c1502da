//! Zones that the operator evacuates and takes back.
//!
//! The evacuated zone is that of the instances, whose targets they prefer.

use std::time::{Duration, Instant};

use mimosapass_standin::metastore::Fault;
use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Cluster, events, eventually, start_target};

/// Key whose presence orders zone `a` to be evacuated.
const ORDER: &str = "op/evacuate/a";
/// Time in which an order has to be in force at all instances.
const ORDER_TIME: Duration = Duration::from_secs(2);
/// Time in which a request without any target is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
const SHORT_PROMPT: &str = "x-token-usage: 100,50\r\n";

/// A cluster with a target in zone `b` and one in zone `a`.
struct Zones {
    cluster: Cluster,
    open: ScriptedTarget,
    evacuated: ScriptedTarget,
}

impl Zones {
    /// Starts `count` gateways, all of them ready.
    fn start(count: usize) -> Self {
        let cluster = Cluster::start(count);
        let open = start_target("i-b", Reply::Complete(200, "b"));
        let evacuated = start_target("i-a", Reply::Complete(200, "a"));
        cluster.register_in("b", &open, "desk");
        cluster.register_in("a", &evacuated, "desk");
        for number in 0..count {
            cluster.ready(number);
        }
        cluster.knows_targets(0, 2);
        Self { cluster, open, evacuated }
    }

    fn evacuate(&self) {
        self.cluster.store.set(ORDER, b"{}");
    }

    fn take_back(&self) {
        self.cluster.store.delete(ORDER);
    }

    /// Asserts that requests of the instances are served, and not in the evacuated zone.
    fn assert_evacuated(&self, numbers: impl IntoIterator<Item = usize>) {
        let before = self.evacuated.requests().len();
        for number in numbers {
            for _ in 0..6 {
                assert_eq!(self.cluster.ask(number, "/look/1", "id-1").response.status, 200);
            }
            assert_eq!(self.evacuated.requests().len(), before, "instance {number} sent there");
        }
    }

    /// Waits until an instance sends to the zone that was evacuated; the other one is gone.
    fn assert_taken_back(&self, number: usize) {
        self.cluster.store.delete("servers/i-b");
        eventually("the zone is used again", || {
            let before = self.evacuated.requests().len();
            self.cluster.ask(number, "/look/1", "id-1").response.status == 200
                && self.evacuated.requests().len() > before
        });
    }
}

#[test]
fn evacuated_zone_gets_no_requests_until_it_is_taken_back() {
    let zones = Zones::start(2);
    zones.evacuate();
    std::thread::sleep(ORDER_TIME);
    zones.assert_evacuated(0..2);
    zones.cluster.logged(0, &["zone: evacuated", "zone=a", "source=store"]);
    zones.take_back();
    for number in 0..2 {
        zones.cluster.logged(number, &["zone: taken back", "zone=a"]);
    }
    zones.assert_taken_back(0);
    zones.assert_taken_back(1);
}

#[test]
fn order_given_before_the_start_is_in_force_from_the_first_request_on() {
    let mut cluster = Cluster::start(0);
    let open = start_target("i-b", Reply::Complete(200, "b"));
    let evacuated = start_target("i-a", Reply::Complete(200, "a"));
    cluster.register_in("b", &open, "desk");
    cluster.register_in("a", &evacuated, "desk");
    cluster.store.set(ORDER, b"");
    let endpoint = cluster.endpoint.clone();
    cluster.add(&endpoint, &[]);
    cluster.ready(0);
    let zones = Zones { cluster, open, evacuated };
    zones.assert_evacuated([0]);
    assert!(!zones.open.requests().is_empty());
}

/// In a large zone most instances learn of the order from a peer, also of its end.
#[test]
fn instances_that_do_not_watch_follow_orders() {
    let zones = Zones::start(5);
    for number in [3, 4] {
        zones.cluster.logged(number, &["started or stopped watching", "watches=false"]);
    }
    zones.evacuate();
    std::thread::sleep(ORDER_TIME);
    zones.assert_evacuated(0..5);
    for number in [3, 4] {
        zones.cluster.logged(number, &["zone: evacuated", "zone=a", "source=gate-"]);
    }
    zones.take_back();
    for number in [3, 4] {
        zones.cluster.logged(number, &["zone: taken back", "zone=a", "source=gate-"]);
    }
    zones.assert_taken_back(4);
}

#[test]
fn instance_refused_by_the_store_follows_orders_that_its_peer_knows() {
    let mut zones = Zones::start(1);
    let apart = zones.cluster.store.open_endpoint();
    let number = zones.cluster.add(&apart, &[]);
    zones.cluster.ready(number);
    zones.cluster.logged(0, &["peer: first datagram received."]);
    apart.set_fault(Fault::Reject(503));
    zones.cluster.logged(number, &["store: unavailable"]);
    zones.evacuate();
    std::thread::sleep(ORDER_TIME);
    zones.assert_evacuated([0, number]);
    zones.take_back();
    zones.cluster.logged(number, &["zone: taken back", "source=gate-0"]);
    zones.assert_taken_back(number);
}

#[test]
fn order_is_kept_through_an_outage_and_its_removal_meanwhile_is_known_after() {
    let zones = Zones::start(1);
    zones.evacuate();
    zones.cluster.logged(0, &["zone: evacuated"]);
    zones.cluster.endpoint.set_fault(Fault::Reject(503));
    zones.cluster.logged(0, &["store: unavailable"]);
    zones.take_back();
    zones.cluster.store.compact();
    std::thread::sleep(ORDER_TIME);
    zones.assert_evacuated([0]);
    zones.cluster.endpoint.set_fault(Fault::None);
    zones.cluster.logged(0, &["store: listing all entries again"]);
    zones.cluster.logged(0, &["zone: taken back", "zone=a"]);
    zones.assert_taken_back(0);
}

#[test]
fn outage_of_the_store_is_no_evacuation() {
    let zones = Zones::start(1);
    zones.cluster.endpoint.set_fault(Fault::Reject(503));
    zones.cluster.logged(0, &["store: unavailable"]);
    zones.cluster.endpoint.set_fault(Fault::None);
    zones.cluster.logged(0, &["store: available again"]);
    zones.assert_taken_back(0);
    assert!(!zones.cluster.log(0).contains("zone: "));
}

#[test]
fn restore_of_the_store_from_a_copy_takes_no_order_back() {
    let zones = Zones::start(2);
    let copy = zones.cluster.store.copy();
    zones.evacuate();
    for number in 0..2 {
        zones.cluster.logged(number, &["zone: evacuated"]);
    }
    zones.cluster.store.restore(copy);
    for number in 0..2 {
        zones.cluster.logged(number, &["store: restored from a copy"]);
    }
    std::thread::sleep(ORDER_TIME);
    zones.assert_evacuated(0..2);
    zones.evacuate();
    zones.take_back();
    for number in 0..2 {
        zones.cluster.logged(number, &["zone: taken back"]);
    }
    zones.assert_taken_back(1);
}

/// Generates a test from the path of a request to a service whose zones are all evacuated.
macro_rules! refused {
    ($($name:ident: $path:literal;)+) => {
        $(#[test]
        fn $name() {
            let zones = Zones::start(1);
            zones.cluster.store.set("op/evacuate/b", b"{}");
            zones.evacuate();
            zones.cluster.logged(0, &["zone: evacuated", "zone=b"]);
            zones.cluster.logged(0, &["zone: evacuated", "zone=a"]);
            let begin = Instant::now();
            let answer = zones.cluster.ask(0, $path, "id-1");
            assert!(begin.elapsed() < REFUSAL_TIME, "took {:?}", begin.elapsed());
            assert_eq!(answer.response.status, 503);
            assert!(answer.response.header("retry-after").is_some());
            let received = zones.open.requests().len() + zones.evacuated.requests().len();
            assert_eq!(received, 0, "it has not run");
            zones.cluster.store.delete("op/evacuate/b");
            zones.cluster.logged(0, &["zone: taken back", "zone=b"]);
            assert_eq!(zones.cluster.ask(0, $path, "id-2").response.status, 200);
        })+
    };
}

refused! {
    idempotent_request_is_refused_while_all_zones_are_evacuated: "/look/1";
    other_request_is_refused_while_all_zones_are_evacuated: "/book/1";
}

#[test]
fn waiting_request_is_refused_when_the_last_zone_is_evacuated() {
    let cluster = Cluster::start(1);
    let busy = start_target("i-a", Reply::Hang);
    cluster.register_in("a", &busy, "desk");
    cluster.ready(0);
    std::thread::scope(|scope| {
        for n in 0..16 {
            let cluster = &cluster;
            scope.spawn(move || cluster.ask(0, "/book/1", &format!("id-{n}")));
        }
        eventually("all slots are taken", || busy.requests().len() == 16);
        let waiting = scope.spawn(|| cluster.ask(0, "/book/1", "id-waiting"));
        std::thread::sleep(REFUSAL_TIME);
        cluster.store.set(ORDER, b"{}");
        cluster.logged(0, &["zone: evacuated"]);
        let begin = Instant::now();
        let answer = waiting.join().expect("an answer");
        assert!(begin.elapsed() < REFUSAL_TIME, "took {:?}", begin.elapsed());
        assert_eq!(answer.response.status, 503);
    });
    assert_eq!(busy.requests().len(), 16);
}

#[test]
fn stream_under_way_goes_on_in_an_evacuated_zone() {
    let cluster = Cluster::start(1);
    let pause = Duration::from_millis(200);
    let target = start_target("i-a", Reply::Stream { last: 12, pause, cut_at: None });
    cluster.register_in("a", &target, "pool");
    cluster.ready(0);
    std::thread::scope(|scope| {
        let asking = scope.spawn(|| cluster.ask_with(0, "/chat/1", "id-1", SHORT_PROMPT));
        eventually("the stream runs", || !target.requests().is_empty());
        cluster.store.set(ORDER, b"{}");
        cluster.logged(0, &["zone: evacuated"]);
        let answer = asking.join().expect("an answer");
        assert_eq!((answer.body, answer.complete), (events(1, 12), true));
    });
}

#[test]
fn stream_cut_in_an_evacuated_zone_is_resumed_in_another() {
    let cluster = Cluster::start(1);
    let pause = Duration::from_millis(200);
    let script = move |head: &mimosapass_caller::head::Head| {
        let cut_at = head.header("last-event-id").is_none().then_some(9);
        Reply::Stream { last: 12, pause, cut_at }
    };
    let in_a: Vec<ScriptedTarget> =
        ["i-a0", "i-a1", "i-a2"].iter().map(|id| ScriptedTarget::start(id, script)).collect();
    for target in &in_a {
        cluster.register_in("a", target, "pool");
    }
    cluster.ready(0);
    cluster.knows_targets(0, 3);
    let other = ScriptedTarget::start("i-b", script);
    std::thread::scope(|scope| {
        let asking = scope.spawn(|| cluster.ask_with(0, "/chat/1", "id-1", SHORT_PROMPT));
        eventually("the stream runs", || in_a.iter().any(|t| !t.requests().is_empty()));
        cluster.register_in("b", &other, "pool");
        cluster.store.set(ORDER, b"{}");
        cluster.logged(0, &["zone: evacuated"]);
        let answer = asking.join().expect("an answer");
        assert_eq!((answer.body, answer.complete), (events(1, 12), true));
    });
    assert_eq!(other.requests().len(), 1);
    assert_eq!(in_a.iter().map(|t| t.requests().len()).sum::<usize>(), 1);
}

/// The order comes while memory is reserved for a request that was granted its targets.
#[test]
fn granted_request_is_not_sent_to_a_zone_evacuated_meanwhile() {
    let cluster = Cluster::start(1);
    let reply = Reply::Stream { last: 3, pause: Duration::ZERO, cut_at: None };
    let targets: Vec<(&str, ScriptedTarget)> = (0..32)
        .map(|i| (["b", "a"][i % 2], start_target(&format!("i-{i:02}"), reply.clone())))
        .collect();
    for (zone, target) in &targets {
        // Less than the time after which a reservation counts as failed.
        target.delay_orders(Duration::from_millis(300));
        cluster.register_in(zone, target, "pool");
    }
    cluster.ready(0);
    cluster.knows_targets(0, 32);
    let answer = std::thread::scope(|scope| {
        let headers = "x-token-usage: 600000,50\r\n";
        let asking = scope.spawn(|| cluster.ask_with(0, "/chat/1", "id-1", headers));
        eventually("memory is being reserved", || targets.iter().any(|(_, t)| t.memory().1 > 0));
        cluster.store.set(ORDER, b"{}");
        asking.join().expect("an answer")
    });
    let line = cluster.logged(0, &["request: granted a target.", "id=id-1"]);
    let in_a = |list: &str| {
        let in_a = targets.iter().filter(|(zone, _)| *zone == "a");
        in_a.filter(|(_, t)| list.contains(&t.id) || list.contains(&t.addr.to_string())).count()
    };
    assert!(in_a(&line) > 0, "the first grant has targets in the zone: {line}");
    assert_eq!((answer.response.status, answer.complete), (200, true));
    let requests: Vec<_> = targets.iter().flat_map(|(_, t)| t.requests()).collect();
    assert_eq!(requests.len(), 1);
    assert!(targets.iter().all(|(zone, t)| *zone == "b" || t.requests().is_empty()));
    let helpers = requests[0].head.header("x-helpers").unwrap_or_default();
    assert_eq!(in_a(helpers), 0, "{helpers}");
}
