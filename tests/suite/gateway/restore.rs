//! A store that comes back from a copy: what was written since is gone, and its revisions are
//! given out again.

use std::time::Duration;

use mimosapass_standin::metastore::Fault;
use mimosapass_standin::target::{Reply, ScriptedTarget};

use super::{Cluster, KEY, call, config, eventually, head, start_target};

/// Key prefix of the entries that gateways write.
const INSTANCES: &str = "mimosapass/instances/";
/// Time in which a change has to be in force.
const CHANGE_TIME: Duration = Duration::from_secs(2);

fn status(cluster: &Cluster, number: usize, path: &str) -> u16 {
    call(cluster.callers(number), &head(path, "id-1", KEY, ""), b"question").response.status
}

/// Starts `count` gateways, all of them ready and registered, and one target.
fn start(count: usize) -> (Cluster, ScriptedTarget) {
    let cluster = Cluster::start(count);
    let target = start_target("i-0", Reply::Complete(200, "old"));
    cluster.register(&target, "desk");
    for number in 0..count {
        cluster.ready(number);
    }
    eventually("all are registered", || cluster.store.keys(INSTANCES).len() == count);
    cluster.knows_targets(0, 1);
    (cluster, target)
}

/// Writes entries until the store has given out its lost revisions again.
fn give_out_again(cluster: &Cluster, writes: usize) {
    for n in 0..writes {
        cluster.store.set("other/key", n.to_string().as_bytes());
    }
}

#[test]
fn configuration_with_a_revision_given_out_again_is_in_force() {
    let (cluster, _target) = start(1);
    let copy = cluster.store.copy();
    give_out_again(&cluster, 3);
    std::thread::sleep(CHANGE_TIME);
    // The instance sees no answer until the lost revisions are given out again.
    cluster.endpoint.set_fault(Fault::Reject(503));
    cluster.logged(0, &["store: unavailable"]);
    cluster.store.restore(copy);
    cluster.configure(&config(9, &[KEY], &["book", "look", "new"]));
    give_out_again(&cluster, 8);
    cluster.endpoint.set_fault(Fault::None);
    std::thread::sleep(CHANGE_TIME);
    assert_eq!(status(&cluster, 0, "/new/1"), 200);
    cluster.logged(0, &["store: restored from a copy", "from=0", "to=1"]);
}

#[test]
fn target_missing_from_the_copy_is_kept_until_it_writes_again() {
    let (cluster, old) = start(2);
    let copy = cluster.store.copy();
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    cluster.store.set("servers/i-0", &old.registration("desk", "draining", 1, 2));
    for number in 0..2 {
        cluster.logged(number, &["target: draining.", "target_id=i-0"]);
    }
    cluster.store.restore(copy);
    for number in 0..2 {
        cluster.logged(number, &["store: restored from a copy"]);
    }
    let before = old.requests().len();
    for n in 0..10 {
        for number in 0..2 {
            assert_eq!(status(&cluster, number, "/look/1"), 200, "request {n}");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    cluster.store.set("servers/i-1", &new.registration("desk", "ready", 1, 2));
    std::thread::sleep(CHANGE_TIME * 2);
    for number in 0..2 {
        assert_eq!(status(&cluster, number, "/look/1"), 200);
    }
    assert_eq!(old.requests().len(), before, "it was draining before the restore");
}

#[test]
fn target_missing_from_the_copy_that_does_not_write_again_is_gone() {
    let (cluster, _old) = start(1);
    let copy = cluster.store.copy();
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    cluster.logged(0, &["target: accepts requests.", "target_id=i-1"]);
    cluster.store.restore(copy);
    cluster.logged(0, &["target: kept", "target_id=i-1"]);
    cluster.logged(0, &["target: removed", "target_id=i-1"]);
}

#[test]
fn instances_register_again_after_a_restore() {
    let cluster = Cluster::start(0);
    let copy = cluster.store.copy();
    let mut cluster = cluster;
    let endpoint = cluster.endpoint.clone();
    for number in 0..3 {
        cluster.add(&endpoint, &[]);
        cluster.ready(number);
    }
    eventually("all are registered", || cluster.store.keys(INSTANCES).len() == 3);
    for _ in 0..2 {
        cluster.store.restore(copy.clone());
        assert!(cluster.store.keys(INSTANCES).is_empty());
        let calls = cluster.store.calls();
        let begin = std::time::Instant::now();
        eventually("all are registered again", || cluster.store.keys(INSTANCES).len() == 3);
        assert!(begin.elapsed() < Duration::from_secs(8), "took {:?}", begin.elapsed());
        assert!(cluster.store.calls() - calls < 60, "{} calls", cluster.store.calls() - calls);
    }
}

/// An instance that the store refuses knows of the restore from its peers only.
#[test]
fn instance_refused_across_a_restore_gets_the_new_targets() {
    let (mut cluster, old) = start(1);
    let apart = cluster.store.open_endpoint();
    let number = cluster.add(&apart, &[]);
    cluster.ready(number);
    cluster.logged(0, &["peer: first datagram received."]);
    let copy = cluster.store.copy();
    give_out_again(&cluster, 20);
    cluster.store.set("servers/i-0", &old.registration("desk", "ready", 1, 2));
    std::thread::sleep(CHANGE_TIME);
    apart.set_fault(Fault::Reject(503));
    cluster.logged(number, &["store: unavailable"]);
    cluster.store.restore(copy);
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    cluster.store.set("servers/i-0", &old.registration("desk", "draining", 1, 3));
    std::thread::sleep(CHANGE_TIME);
    let before = old.requests().len();
    for _ in 0..6 {
        assert_eq!(status(&cluster, number, "/look/1"), 200);
    }
    assert_eq!(old.requests().len(), before);
    apart.set_fault(Fault::None);
    cluster.configure(&config(9, &[KEY], &["book", "look", "new"]));
    std::thread::sleep(CHANGE_TIME);
    assert_eq!(status(&cluster, number, "/new/1"), 200);
}

/// A copy with an older configuration, read by an instance that has just started.
#[test]
fn instance_started_after_a_restore_does_not_call_requests_wrong() {
    let (mut cluster, _target) = start(1);
    let copy = cluster.store.copy();
    cluster.configure(&config(9, &[KEY], &["book", "look", "new"]));
    eventually("the new route is served", || status(&cluster, 0, "/new/1") == 200);
    cluster.store.restore(copy);
    let endpoint = cluster.endpoint.clone();
    let seed = cluster.peers(0);
    let number = cluster.add(&endpoint, &[seed]);
    eventually("it listens", || std::net::TcpStream::connect(cluster.callers(number)).is_ok());
    cluster.logged(number, &["peer: first datagram received."]);
    eventually("the new route is served", || {
        let status = status(&cluster, number, "/new/1");
        assert_ne!(status, 404, "a peer has a newer configuration");
        status == 200
    });
    assert_eq!(status(&cluster, 0, "/new/1"), 200, "no instance goes back");
}

#[test]
fn instance_frozen_across_two_restores_is_up_to_date_in_time() {
    let (cluster, old) = start(2);
    let copy = cluster.store.copy();
    give_out_again(&cluster, 10);
    cluster.signal(1, "-STOP");
    for version in [9, 12] {
        cluster.store.restore(copy.clone());
        std::thread::sleep(Duration::from_millis(700));
        cluster.configure(&config(version, &[KEY], &["book", "look", "new"]));
    }
    let new = start_target("i-1", Reply::Complete(200, "new"));
    cluster.register(&new, "desk");
    cluster.store.set("servers/i-0", &old.registration("desk", "draining", 1, 2));
    give_out_again(&cluster, 10);
    cluster.signal(1, "-CONT");
    std::thread::sleep(CHANGE_TIME);
    let before = old.requests().len();
    for number in 0..2 {
        assert_eq!(status(&cluster, number, "/new/1"), 200);
        assert_eq!(status(&cluster, number, "/look/1"), 200);
    }
    assert_eq!(old.requests().len(), before);
    cluster.logged(1, &["store: restored from a copy", "from=0", "to=2"]);
}
