//! Requests of instances whose zone has schedulers.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use mimosapass_instance::datagram::{self, Datagram, DatagramSocket};
use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Cluster, KEY, call, eventually, head, start_target};
use crate::common::unique_ip;

/// An instance that is no scheduler: with equal machines the first three by name are.
const CLIENT: usize = 4;
/// Time within which a request is served although its scheduler does not answer: two
/// schedulers are asked in vain, then the instance places it itself.
const FAILOVER_TIME: Duration = Duration::from_millis(900);

/// Starts five instances in one zone, and a target.
fn start() -> (Cluster, ScriptedTarget) {
    let cluster = Cluster::start(5);
    let target = start_target("i-0", Reply::Complete(200, "yes"));
    cluster.register(&target, "desk");
    for number in 0..5 {
        cluster.ready(number);
    }
    // Until it has heard all three, it counts the next one among the schedulers.
    for scheduler in ["peer=gate-0", "peer=gate-1", "peer=gate-2"] {
        cluster.logged(CLIENT, &["first datagram received", scheduler]);
    }
    cluster.logged(CLIENT, &["started or stopped watching", "watches=false"]);
    (cluster, target)
}

fn serve(cluster: &Cluster, number: usize, id: &str) -> u16 {
    call(cluster.callers(number), &head("/look/1", id, KEY, ""), b"question").response.status
}

/// Returns the scheduler that placed a request, as the log of its instance names it.
fn placed_by(cluster: &Cluster, number: usize, id: &str) -> String {
    let line = cluster.logged(number, &["granted a target", &format!("id={id} ")]);
    let field = line.split(' ').find_map(|part| part.strip_prefix("placed_by="));
    field.unwrap_or_default().to_owned()
}

#[test]
fn scheduler_places_the_requests_of_another_instance() {
    let (cluster, _target) = start();
    assert_eq!(serve(&cluster, CLIENT, "one"), 200);
    let scheduler = placed_by(&cluster, CLIENT, "one");
    assert!(["gate-0", "gate-1", "gate-2"].contains(&&*scheduler), "{scheduler}");
    assert_eq!(serve(&cluster, 0, "two"), 200);
    assert_eq!(placed_by(&cluster, 0, "two"), "gate-0", "a scheduler places its own");
}

#[test]
fn requests_are_served_while_schedulers_are_suspended() {
    let (cluster, _target) = start();
    assert_eq!(serve(&cluster, CLIENT, "before"), 200);
    (0..3).for_each(|number| cluster.signal(number, "-STOP"));
    let begun = Instant::now();
    assert_eq!(serve(&cluster, CLIENT, "during"), 200);
    assert!(begun.elapsed() < FAILOVER_TIME, "{:?}", begun.elapsed());
    assert_eq!(placed_by(&cluster, CLIENT, "during"), "gate-4");
    (0..3).for_each(|number| cluster.signal(number, "-CONT"));
    eventually("schedulers place its requests again", || {
        assert_eq!(serve(&cluster, CLIENT, "after"), 200);
        cluster.log(CLIENT).lines().any(|line| {
            line.contains("granted a target")
                && line.contains("id=after ")
                && !line.contains("placed_by=gate-4")
        })
    });
}

#[test]
fn next_instances_become_schedulers_after_all_have_failed() {
    let (cluster, _target) = start();
    (0..3).for_each(|number| cluster.signal(number, "-KILL"));
    // Until the failed ones are silent for long enough, the next one alone is asked.
    let mut number = 0;
    eventually("the instance places its own requests", || {
        number += 1;
        let id = format!("late-{number}");
        assert_eq!(serve(&cluster, CLIENT, &id), 200);
        placed_by(&cluster, CLIENT, &id) == "gate-4"
    });
    assert_eq!(serve(&cluster, 3, "other"), 200);
    assert_eq!(placed_by(&cluster, 3, "other"), "gate-3");
}

/// An instance of the version before schedulers.
struct FormerPeer {
    socket: DatagramSocket,
    addr: SocketAddr,
    seq: u64,
}

impl FormerPeer {
    fn start(ip: Ipv4Addr) -> Self {
        let addr = SocketAddr::from((ip, 8082));
        Self { socket: DatagramSocket::bind(addr).expect("an address"), addr, seq: 0 }
    }

    /// Sends a datagram without any field that the former version does not know.
    fn send(&mut self, to: SocketAddr) {
        self.seq += 1;
        let datagram = Datagram {
            version: datagram::VERSION,
            from: "former".to_owned(),
            boot: 1,
            seq: self.seq,
            complete: true,
            zone: "a".to_owned(),
            ..Datagram::default()
        };
        self.socket.send(&datagram, &[to]);
    }

    /// Returns whether a datagram names a request at a target.
    fn is_told_of_a_request(&self) -> bool {
        let received = self.socket.receive().expect("it works");
        received.is_some_and(|(d, _)| d.targets.iter().any(|t| !t.requests.is_empty()))
    }
}

#[test]
fn peer_of_the_former_version_is_told_of_requests_and_is_no_scheduler() {
    let (cluster, _target) = start();
    let slow = ScriptedTarget::start("i-1", |_| {
        std::thread::sleep(Duration::from_millis(300));
        Reply::Complete(200, "slow")
    });
    cluster.register(&slow, "desk");
    let mut former = FormerPeer::start(unique_ip());
    let key = "mimosapass/instances/former";
    cluster.store.set(key, former.addr.to_string().as_bytes());
    eventually("it hears of a request of another instance", || {
        (0..5).for_each(|number| former.send(cluster.peers(number)));
        assert_eq!(serve(&cluster, CLIENT, "one"), 200);
        former.is_told_of_a_request()
    });
    let scheduler = placed_by(&cluster, CLIENT, "one");
    assert!(["gate-0", "gate-1", "gate-2"].contains(&&*scheduler), "{scheduler}");
}
