//! An instance that does not watch the store, and whose peers do not answer it.

use std::time::{Duration, Instant};

use mimosapass_standin::target::Reply;

use super::fake_peer::FakePeer;
use super::{Cluster, KEY, call, config, head, start_target};

/// Time after a change is known in the zone within which it has to be in force.
const CHANGE_TIME: Duration = Duration::from_millis(1_500);
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
