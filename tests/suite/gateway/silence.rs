//! Connections that fall silent without being closed, and partitions that end.
//!
//! The users count an instance as in touch three seconds after a partition or a reset of
//! its connections; from then on it must know what was written before.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mimosapass_standin::relay::Relay;
use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Cluster, KEY, call, config, eventually, head, start_target};

/// Time after a partition from which an instance counts as in touch.
const IN_TOUCH: Duration = Duration::from_secs(3);

/// A gateway that reaches the store over a path that can fall silent.
struct Fixture {
    cluster: Cluster,
    path: Relay,
    old: ScriptedTarget,
}

fn start() -> Fixture {
    let mut cluster = Cluster::start(0);
    let old = start_target("i-0", Reply::Complete(200, "old"));
    cluster.register(&old, "desk");
    let path = Relay::start(cluster.endpoint.addr).expect("a port");
    let endpoint = cluster.endpoint.via(path.addr());
    cluster.add(&endpoint, &[]);
    cluster.ready(0);
    Fixture { cluster, path, old }
}

/// Sends a request for a path to the only gateway, and returns the status.
fn status(addr: SocketAddr, path: &str) -> u16 {
    call(addr, &head(path, "id-1", KEY, ""), b"question").response.status
}

impl Fixture {
    /// Asserts that the route `new` is served from [`IN_TOUCH`] after `end` on.
    fn assert_configured_in_time(&self, end: Instant) {
        let addr = self.cluster.callers(0);
        eventually("the new route is served", || status(addr, "/new/1") == 200);
        let took = end.elapsed();
        assert!(took <= IN_TOUCH, "the new route was served after {took:?}");
    }
}

/// Guards against refused requests on new routes after a partition of atlas-loc: a call
/// that hung was given up after 3.5 seconds, and the next one used another dead connection.
#[test]
fn configuration_is_in_force_in_time_after_connections_fell_silent() {
    let fixture = start();
    fixture.path.silence_open();
    let begin = Instant::now();
    fixture.cluster.configure(&config(9, &[KEY], &["book", "look", "new"]));
    fixture.assert_configured_in_time(begin);
}

/// A partition whose length decides how far its last call is when it ends.
fn assert_views_are_renewed_after_a_partition(partition: Duration) {
    let fixture = start();
    let Fixture { cluster, path, old } = &fixture;
    let new = start_target("i-1", Reply::Complete(200, "new"));
    path.set_silent(true);
    std::thread::sleep(partition);
    cluster.register(&new, "desk");
    cluster.store.set("servers/i-0", &old.registration("desk", "draining", 1, 2));
    cluster.configure(&config(9, &[KEY], &["book", "look", "new"]));
    path.set_silent(false);
    let end = Instant::now();
    fixture.assert_configured_in_time(end);
    std::thread::sleep(IN_TOUCH.saturating_sub(end.elapsed()));
    let before = old.requests().len();
    for _ in 0..6 {
        assert_eq!(status(cluster.callers(0), "/look/1"), 200);
    }
    assert_eq!(old.requests().len(), before, "the target is draining");
}

/// Generates a test from the length of a partition.
macro_rules! partitions {
    ($($name:ident: $ms:expr;)+) => {
        $(#[test]
        fn $name() {
            assert_views_are_renewed_after_a_partition(Duration::from_millis($ms));
        })+
    };
}

partitions! {
    views_are_renewed_in_time_after_a_partition_of_a_second: 1_000;
    views_are_renewed_in_time_after_a_partition_of_two_seconds: 2_300;
    views_are_renewed_in_time_after_a_partition_of_four_seconds: 3_900;
}
