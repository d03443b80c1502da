//! Configuration and targets known to a gateway, also while the store fails.

use std::time::{Duration, Instant};

use mimosapass_standin::metastore::Fault;
use mimosapass_standin::relay::Relay;
use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Cluster, KEY, call, config, eventually, head, start_target};

/// Time after the store acknowledged a leave from which a target gets no requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time in which a confirmed change has to be in force where a zone has more than three instances.
const CHANGE_TIME: Duration = Duration::from_secs(3);

/// Time in which an instance learns from its peers what the store does not tell it: half of
/// the time in which a change has to be in force.
const PEER_TIME: Duration = Duration::from_secs(1);

/// Returns the status of a call with a key.
fn status(cluster: &Cluster, number: usize, path: &str, key: &str) -> u16 {
    call(cluster.callers(number), &head(path, "id-1", key, ""), b"question").response.status
}

/// Starts `count` gateways, all of them ready, and one target.
fn start_with_target(count: usize) -> (Cluster, ScriptedTarget) {
    let cluster = Cluster::start(count);
    let target = start_target("i-0", Reply::Complete(200, "yes"));
    cluster.register(&target, "desk");
    for number in 0..count {
        cluster.ready(number);
    }
    (cluster, target)
}

#[test]
fn gateway_without_configuration_refuses_and_is_not_ready() {
    let mut cluster = Cluster::start(0);
    let endpoint = cluster.store.open_endpoint();
    endpoint.set_fault(Fault::Reject(503));
    cluster.add(&endpoint, &[]);
    eventually("it listens", || std::net::TcpStream::connect(cluster.callers(0)).is_ok());
    assert_eq!(
        status(&cluster, 0, "/book/1", KEY),
        503,
        "not 404, since the routes are not known yet"
    );
}

#[test]
fn new_configuration_is_in_force_and_an_older_one_never_is() {
    let (cluster, _target) = start_with_target(1);
    cluster.configure(&config(9, &["key-two"], &["book", "new"]));
    eventually("the new route is served", || status(&cluster, 0, "/new/1", "key-two") == 200);
    assert_eq!(status(&cluster, 0, "/book/1", KEY), 401, "the old key is gone");
    assert_eq!(status(&cluster, 0, "/look/1", "key-two"), 404, "the old route is gone");
    cluster.configure(&config(5, &[KEY], &["look", "book"]));
    cluster.configure(&config(10, &["key-two"], &["book", "newer"]));
    eventually("the next one is served", || status(&cluster, 0, "/newer/1", "key-two") == 200);
    assert_eq!(status(&cluster, 0, "/book/1", KEY), 401);
}

#[test]
fn draining_target_gets_no_requests() {
    let (cluster, old) = start_with_target(1);
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    cluster.store.set("servers/i-0", &old.registration("desk", "draining", 1, 2));
    eventually("only the new target gets requests", || {
        let before = old.requests().len();
        (0..6).all(|_| status(&cluster, 0, "/look/1", KEY) == 200) && old.requests().len() == before
    });
    assert!(!new.requests().is_empty());
}

#[test]
fn target_restarted_under_its_id_is_used() {
    let (cluster, old) = start_with_target(1);
    cluster.store.set("servers/i-0", &old.registration("desk", "draining", 1, 9));
    eventually("the target gets no requests", || status(&cluster, 0, "/look/1", KEY) == 503);
    cluster.store.set("servers/i-0", &old.registration("desk", "ready", 2, 1));
    eventually("the target gets requests", || status(&cluster, 0, "/look/1", KEY) == 200);
}

#[test]
fn invalid_entries_are_skipped() {
    let (cluster, _target) = start_with_target(1);
    cluster.store.set("servers/i-7", b"{\"service\": 7}");
    cluster.store.set("servers/i-8", b"\xff\xfe");
    cluster.store.set_unreadable("servers/i-9");
    cluster.store.set("op/config", b"no configuration");
    cluster.configure(&config(9, &[KEY], &["book", "new"]));
    eventually("the next valid configuration is applied", || {
        status(&cluster, 0, "/new/1", KEY) == 200
    });
}

/// Guards against instances that end or stop following for one odd entry, listed or changed.
#[test]
fn odd_entries_of_targets_cost_nothing_else() {
    let deep = |depth: usize| format!("{}1{}", "[".repeat(depth), "]".repeat(depth));
    let entry = |address: &str, slots: &str, zone: &str| {
        format!(
            "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":{zone},\"slots\":{slots},\
             \"state\":\"ready\",\"seq\":1,\"born\":1}}"
        )
    };
    let odd = [
        deep(100_000),
        "[".repeat(200_000),
        entry("127.0.0.1:9", "1", &deep(50_000)),
        entry("127.0.0.1:9", "1e999", "\"a\""),
        entry("127.0.0.1:9", "123456789012345678901234567890", "\"a\""),
        entry("127.0.0.1:65536", "1", "\"a\""),
        entry("127.0.0.1:-1", "1", "\"a\""),
        entry("127.0.0.1:0", "1", "\"a\""),
        entry("127.0.0.1:9", "1", "\"a\",\"zone\":\"b\""),
        entry("0.0.0.0:9", "1", &format!("\"{}\"", "z".repeat(500_000))),
    ];
    let write = |cluster: &Cluster| {
        for (number, value) in odd.iter().enumerate() {
            cluster.store.set(&format!("servers/odd-{number}"), value.as_bytes());
        }
    };
    // In the first listing, and then as changes.
    let mut cluster = Cluster::start(0);
    write(&cluster);
    let endpoint = cluster.endpoint.clone();
    cluster.add(&endpoint, &[]);
    cluster.ready(0);
    for number in 0..3 {
        write(&cluster);
        let target = start_target(&format!("i-{number}"), Reply::Complete(200, "yes"));
        cluster.register(&target, "desk");
        cluster.knows_targets(0, 1);
        for _ in 0..5 {
            assert_eq!(status(&cluster, 0, "/book/1", KEY), 200);
        }
        cluster.store.delete(&format!("servers/i-{number}"));
        cluster.knows_targets(0, 0);
    }
    assert_eq!(cluster.log(0).matches("gateway: started").count(), 1);
}

#[test]
fn compacted_history_leads_to_a_new_listing() {
    let (cluster, _target) = start_with_target(1);
    cluster.endpoint.set_fault(Fault::Reject(503));
    cluster.configure(&config(9, &[KEY], &["book", "new"]));
    cluster.store.compact();
    cluster.endpoint.set_fault(Fault::None);
    eventually("the new route is served", || status(&cluster, 0, "/new/1", KEY) == 200);
}

/// Guards against a fault seen on days trouble-1, seeds 191208220829 and 975522294861,
/// of atlas-loc: a removed entry was treated as expired in an outage, although the store
/// had refused only one instance.
#[test]
fn target_removed_after_a_partial_outage_gets_no_requests() {
    let (mut cluster, old) = start_with_target(1);
    let other = cluster.store.open_endpoint();
    cluster.add(&other, &[]);
    cluster.ready(1);
    cluster.logged(0, &["peer: first datagram received."]);
    cluster.endpoint.set_fault(Fault::Reject(503));
    cluster.logged(0, &["store: unavailable"]);
    cluster.endpoint.set_fault(Fault::None);
    cluster.logged(0, &["store: available again", "whole=false"]);
    cluster.store.delete("servers/i-0");
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    cluster.logged(0, &["target: accepts requests", "target_id=i-1"]);
    let before = old.requests().len();
    for _ in 0..6 {
        assert_eq!(status(&cluster, 0, "/look/1", KEY), 200);
    }
    assert_eq!(
        old.requests().len(),
        before,
        "the removal precedes the registration of the new target"
    );
}

#[test]
fn known_data_stays_in_use_without_the_store() {
    let (cluster, _target) = start_with_target(1);
    cluster.endpoint.set_fault(Fault::Hang);
    for _ in 0..5 {
        assert_eq!(status(&cluster, 0, "/book/1", KEY), 200);
    }
}

/// The store serves the operator and one instance, and refuses the other.
#[test]
fn instance_refused_by_the_store_gets_snapshots_from_its_peer() {
    let mut cluster = Cluster::start(1);
    let target = start_target("i-0", Reply::Complete(200, "yes"));
    cluster.register(&target, "desk");
    let other = cluster.store.open_endpoint();
    cluster.add(&other, &[]);
    cluster.ready(0).ready(1);
    eventually("both are members", || cluster.store.keys("mimosapass/instances/").len() == 2);
    other.set_fault(Fault::Reject(429));
    cluster.configure(&config(9, &[KEY], &["book", "new"]));
    eventually("the new route is served", || status(&cluster, 1, "/new/1", KEY) == 200);
    let late = start_target("i-1", Reply::Complete(200, "late"));
    cluster.register(&late, "desk");
    cluster.store.delete("servers/i-0");
    eventually("the new target is used", || {
        let before = late.requests().len();
        status(&cluster, 1, "/book/1", KEY) == 200 && late.requests().len() > before
    });
}

/// An instance that starts while the store is unavailable requests data from a seed.
#[test]
fn instance_started_without_the_store_gets_a_snapshot_from_a_seed() {
    let (mut cluster, _target) = start_with_target(1);
    let away = cluster.store.open_endpoint();
    away.set_fault(Fault::Reject(503));
    let seed = cluster.peers(0);
    let number = cluster.add(&away, &[seed]);
    cluster.ready(number);
    assert_eq!(status(&cluster, number, "/book/1", KEY), 200);
}

/// In a large zone some instances do not watch the store. They still receive a new
/// configuration and the draining of a target, and the store gets fewer calls.
#[test]
fn instances_that_do_not_watch_get_snapshots_from_those_that_do() {
    let (cluster, old) = start_with_target(5);
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    for number in [3, 4] {
        cluster.logged(number, &["started or stopped watching", "watches=false"]);
    }
    cluster.configure(&config(9, &["key-two"], &["look", "new"]));
    cluster.store.set("servers/i-0", &old.registration("desk", "draining", 1, 2));
    for number in 0..5 {
        eventually("the new route", || status(&cluster, number, "/new/1", "key-two") == 200);
        eventually("only the new target gets requests", || {
            let before = old.requests().len();
            let served = (0..4).all(|_| status(&cluster, number, "/look/1", "key-two") == 200);
            served && old.requests().len() == before
        });
    }
    let log = cluster.log(4);
    assert!(log.contains("snapshot: applied the targets of a peer"), "a peer sent a snapshot");
    assert!(log.contains("changes_only=true"), "later ones name the changed targets only");
}

/// When all watching instances fail, others start to watch.
#[test]
fn other_instances_watch_after_all_watching_ones_fail() {
    let (cluster, target) = start_with_target(5);
    // One that still watches when the others fail logs no change.
    for number in [3, 4] {
        cluster.logged(number, &["started or stopped watching", "watches=false"]);
    }
    for number in 0..3 {
        cluster.signal(number, "-KILL");
    }
    cluster.configure(&config(9, &["key-two"], &["new"]));
    for number in [3, 4] {
        eventually("the new route", || status(&cluster, number, "/new/1", "key-two") == 200);
        cluster.logged(number, &["started or stopped watching", "watches=true"]);
    }
    assert!(!target.requests().is_empty());
}

/// Guards against requests to a leaving target of atlas-loc: the other instances had had one
/// failed call each, and the instance that was cut off took that for an outage of all.
#[test]
fn removal_after_an_instance_was_cut_off_alone_is_no_lapse() {
    let (mut cluster, old) = start_with_target(2);
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    let apart = cluster.store.open_endpoint();
    let number = cluster.add(&apart, &[]);
    cluster.ready(number);
    let others = [0, 1];
    for peer in others {
        cluster.logged(number, &["peer: first datagram received.", &format!("gate-{peer}")]);
    }
    apart.set_fault(Fault::Reject(503));
    cluster.logged(number, &["store: unavailable"]);
    cluster.endpoint.set_fault(Fault::Reject(503));
    for peer in others {
        cluster.logged(peer, &["store: a call failed"]);
    }
    cluster.endpoint.set_fault(Fault::None);
    // The others have had the store for a while when the cut ends.
    std::thread::sleep(Duration::from_secs(3));
    apart.set_fault(Fault::None);
    cluster.logged(number, &["store: available again"]);
    cluster.store.delete("servers/i-0");
    std::thread::sleep(DRAIN_TIME);
    let before = old.requests().len();
    for _ in 0..6 {
        assert_eq!(status(&cluster, number, "/look/1", KEY), 200);
    }
    assert_eq!(old.requests().len(), before);
}

/// Guards against requests to a leaving target: a peer that kept it for a while sent it on
/// as serving, and the watch of the receiver began after the removal.
#[test]
fn target_kept_by_a_peer_after_an_outage_is_gone_in_time() {
    let (mut cluster, old) = start_with_target(1);
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    let apart = cluster.store.open_endpoint();
    let number = cluster.add(&apart, &[]);
    cluster.ready(number);
    cluster.logged(0, &["peer: first datagram received."]);
    for endpoint in [&apart, &cluster.endpoint] {
        endpoint.set_fault(Fault::Reject(503));
    }
    for number in [0, number] {
        cluster.logged(number, &["store: unavailable"]);
    }
    // Heartbeats tell each of the other's outage.
    std::thread::sleep(Duration::from_secs(1));
    cluster.store.delete("servers/i-0");
    cluster.endpoint.set_fault(Fault::None);
    cluster.logged(0, &["target: removed, its entry was not written again"]);
    apart.set_fault(Fault::None);
    cluster.logged(number, &["store: available again"]);
    std::thread::sleep(DRAIN_TIME);
    let before = old.requests().len();
    for _ in 0..6 {
        assert_eq!(status(&cluster, number, "/look/1", KEY), 200);
    }
    assert_eq!(old.requests().len(), before);
}

/// Guards against requests to a target that left shortly after an outage: it was kept for as
/// long as if the store had returned at the moment of its removal.
#[test]
fn removal_after_the_end_of_an_outage_is_known_in_time() {
    let (cluster, old) = start_with_target(1);
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    cluster.endpoint.set_fault(Fault::Reject(503));
    cluster.logged(0, &["store: unavailable"]);
    std::thread::sleep(Duration::from_secs(1));
    cluster.endpoint.set_fault(Fault::None);
    cluster.logged(0, &["store: available again", "whole=true"]);
    std::thread::sleep(Duration::from_millis(1_300));
    cluster.store.delete("servers/i-0");
    std::thread::sleep(DRAIN_TIME);
    let before = old.requests().len();
    for _ in 0..6 {
        assert_eq!(status(&cluster, 0, "/look/1", KEY), 200);
    }
    assert_eq!(old.requests().len(), before);
}

/// Guards against requests to a leaving target from an instance that the store has just begun
/// to refuse: it asked its peers only after the store had been silent for a while.
#[test]
fn instance_that_the_store_refuses_learns_at_once_what_its_peers_know() {
    let (mut cluster, old) = start_with_target(1);
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    let apart = cluster.store.open_endpoint();
    let number = cluster.add(&apart, &[]);
    cluster.ready(number);
    cluster.logged(number, &["peer: first datagram received."]);
    apart.set_fault(Fault::Reject(503));
    cluster.logged(number, &["store: a call failed"]);
    cluster.store.set("servers/i-0", &old.registration("desk", "draining", 1, 2));
    cluster.configure(&config(9, &[KEY], &["look", "new"]));
    let begin = Instant::now();
    eventually("the new route is served", || status(&cluster, number, "/new/1", KEY) == 200);
    eventually("only the new target gets requests", || {
        let before = old.requests().len();
        (0..4).all(|_| status(&cluster, number, "/look/1", KEY) == 200)
            && old.requests().len() == before
    });
    let took = begin.elapsed();
    assert!(took <= PEER_TIME, "took {took:?}");
}

/// Guards against 404 and 401 for proper requests: an instance that was cut off refused them
/// by a configuration that was not the latest.
#[test]
fn instance_that_may_be_outdated_does_not_call_requests_wrong() {
    let mut cluster = Cluster::start(0);
    let target = start_target("i-0", Reply::Complete(200, "yes"));
    cluster.register(&target, "desk");
    let path = Relay::start(cluster.endpoint.addr).expect("a port");
    let endpoint = cluster.endpoint.via(path.addr());
    cluster.add(&endpoint, &[]);
    cluster.ready(0);
    assert_eq!(status(&cluster, 0, "/gone/1", KEY), 404);
    path.set_silent(true);
    cluster.logged(0, &["store: unavailable"]);
    cluster.configure(&config(9, &[KEY, "key-two"], &["book", "look", "new"]));
    assert_eq!(status(&cluster, 0, "/new/1", KEY), 503, "the route may be new");
    assert_eq!(status(&cluster, 0, "/book/1", "key-two"), 503, "the key may be new");
    assert_eq!(status(&cluster, 0, "/book/1", KEY), 200);
    path.set_silent(false);
    eventually("the new route is served", || status(&cluster, 0, "/new/1", KEY) == 200);
    assert_eq!(status(&cluster, 0, "/gone/1", KEY), 404);
}

/// Guards against a zone that stays behind while all its watching instances are cut off from the
/// store: the others reach it, and are in touch all the while.
#[test]
fn change_is_in_force_in_time_while_all_watching_instances_are_cut_off() {
    let mut cluster = Cluster::start(0);
    let mut paths = Vec::new();
    for number in 0..5 {
        let path = Relay::start(cluster.endpoint.addr).expect("a port");
        let endpoint = cluster.endpoint.via(path.addr());
        cluster.add(&endpoint, &[]);
        cluster.ready(number);
        paths.push(path);
    }
    let target = start_target("i-0", Reply::Complete(200, "yes"));
    cluster.register(&target, "desk");
    for number in [3, 4] {
        cluster.logged(number, &["started or stopped watching", "watches=false"]);
    }
    for path in &paths[..3] {
        path.set_silent(true);
    }
    cluster.configure(&config(9, &["key-two"], &["new"]));
    let begun = Instant::now();
    for number in [3, 4] {
        eventually("the new route", || status(&cluster, number, "/new/1", "key-two") == 200);
    }
    assert!(begun.elapsed() <= CHANGE_TIME, "{:?}", begun.elapsed());
}
