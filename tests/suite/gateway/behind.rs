//! An instance that does not watch the store, and whose peers do not answer it.

use std::time::{Duration, Instant};

use mimosapass_standin::target::Reply;

use super::fake_peer::FakePeer;
use super::{Cluster, KEY, call, config, eventually, head, start_target};

/// Time after a change is known in the zone within which it has to be in force.
const CHANGE_TIME: Duration = Duration::from_millis(1_500);
/// Time after the loss of its connections from which an instance counts as in touch.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Interval between datagrams of schedulers.
const DATAGRAM_INTERVAL: Duration = Duration::from_millis(100);
/// Processor share of a machine that is larger than the gateway's.
const LARGE: u32 = 4_000;

/// Tells the gateway of a configuration, repeatedly, until `holds` or `limit` has passed.
fn announce_until(
    cluster: &Cluster,
    peers: &mut [FakePeer],
    version: u64,
    limit: Duration,
    mut holds: impl FnMut() -> bool,
) -> Duration {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        for peer in &mut *peers {
            peer.announce(version, cluster.peers(0));
        }
        if holds() {
            break;
        }
        std::thread::sleep(DATAGRAM_INTERVAL);
    }
    begun.elapsed()
}

/// Guards against requests on atlas-loc that were run as only an older version allows, at the one
/// instance of a zone that does not watch the store: its links to the others had fallen silent.
#[test]
fn change_is_in_force_in_time_after_links_between_instances_fell_silent() {
    let (cluster, mesh) = Cluster::start_meshed(5);
    let target = start_target("i-0", Reply::Complete(200, "yes"));
    cluster.register(&target, "desk");
    for number in 0..5 {
        cluster.ready(number);
    }
    for number in [3, 4] {
        cluster.logged(number, &["started or stopped watching", "watches=false"]);
    }
    let status = |number: usize, path: &str| {
        call(cluster.callers(number), &head(path, "id-1", KEY, ""), b"question").response.status
    };
    // Until each has a link to and from each instance that watches.
    let requested = |number: usize, peer: usize| {
        let names = format!("peer={}", cluster.second_addr(peer));
        cluster.log(number).lines().any(|l| l.contains("snapshot: requested") && l.contains(&names))
    };
    let linked = || [3, 4].iter().all(|n| (0..3).all(|peer| requested(*n, peer)));
    let last = (9..60).find(|version| {
        cluster.configure(&config(*version, &[KEY], &["look", &format!("v{version}")]));
        for number in [3, 4] {
            let path = format!("/v{version}/1");
            eventually("the change is in force", || status(number, &path) == 200);
        }
        linked()
    });
    let last = last.unwrap_or_else(|| {
        panic!("one asked not each that watches:\n{}\n{}", cluster.log(3), cluster.log(4))
    });
    (0..5).for_each(|number| mesh.silence(number));
    std::thread::sleep(IN_TOUCH);
    cluster.configure(&config(last + 1, &[KEY], &["look", "next"]));
    let begun = Instant::now();
    for number in 0..5 {
        eventually("the next change is in force", || status(number, "/next/1") == 200);
        assert_eq!(status(number, &format!("/v{last}/1")), 404);
    }
    assert!(begun.elapsed() <= CHANGE_TIME, "in force after {:?}", begun.elapsed());
}

/// Guards against an instance that watches the store for good although it misses nothing: what
/// others have listed later names no change of a target.
#[test]
fn instance_that_has_watched_everything_is_not_behind() {
    let cluster = Cluster::start(1);
    cluster.ready(0);
    for number in 0..5 {
        cluster.store.set(&format!("other/{number}"), b"");
    }
    cluster.configure(&config(9, &[KEY], &["new"]));
    cluster.logged(0, &["config: now in force", "version=9"]);
    let mut peers: Vec<FakePeer> =
        (0..3).map(|n| FakePeer::start(&format!("peer-{n}"), LARGE)).collect();
    for peer in &mut peers {
        peer.revision = cluster.store.revision();
    }
    announce_until(&cluster, &mut peers, 9, CHANGE_TIME * 2, || false);
    let log = cluster.log(0);
    let last = log.lines().rfind(|line| line.contains("started or stopped watching"));
    assert!(last.is_some_and(|line| line.contains("watches=false")), "{last:?}");
}

/// Guards against changes that were in force after five seconds on dokaz-zapad-grown: an
/// instance whose peers did not answer should have watched the store, and never began to.
#[test]
fn instance_whose_peers_do_not_answer_watches_the_store_itself() {
    let cluster = Cluster::start(1);
    let target = start_target("i-0", Reply::Complete(200, "yes"));
    cluster.register(&target, "desk");
    cluster.ready(0);
    let mut peers: Vec<FakePeer> =
        (0..3).map(|n| FakePeer::start(&format!("peer-{n}"), LARGE)).collect();
    let watches = |cluster: &Cluster| cluster.log(0).contains("watches=false");
    announce_until(&cluster, &mut peers, 3, Duration::from_secs(10), || watches(&cluster));
    assert!(watches(&cluster), "it leaves the store to its peers");
    cluster.configure(&config(9, &[KEY], &["new"]));
    let serves = || {
        let answer = call(cluster.callers(0), &head("/new/1", "id-1", KEY, ""), b"question");
        answer.response.status == 200
    };
    let took = announce_until(&cluster, &mut peers, 9, Duration::from_secs(8), serves);
    assert!(took <= CHANGE_TIME, "in force after {took:?}");
}
