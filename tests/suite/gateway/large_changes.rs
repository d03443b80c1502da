//! Large configurations over narrow links.

use std::time::{Duration, Instant};

use mimosapass_standin::metastore::Fault;
use mimosapass_standin::relay::Relay;
use mimosapass_standin::target::Reply;
use serde_json::Value;

use super::fake_peer::FakePeer;
use super::{Cluster, KEY, call, config, eventually, head, start_target};

/// Time in which a confirmed change has to be in force at size.
const CHANGE_TIME: Duration = Duration::from_secs(3);
/// Bandwidth of the smallest machines, 20 Mbit/s.
const NARROW_LINK: usize = 2_500_000;

/// Returns a configuration with `/look/`, a path of its own and `count` more routes.
fn large_config(version: u64, count: usize) -> Value {
    let mut config = config(version, &[KEY], &["look", &format!("v{version}")]);
    let routes = config["routes"].as_array_mut().expect("routes");
    let template = routes[0].clone();
    for number in 0..count {
        let mut route = template.clone();
        route["name"] = format!("more-{number}").into();
        route["prefix"] = format!("/more-{number}/").into();
        routes.push(route);
    }
    config
}

fn status(cluster: &Cluster, path: &str) -> u16 {
    call(cluster.callers(0), &head(path, "id-1", KEY, ""), b"question").response.status
}

/// Starts one gateway behind a link of `bytes_per_s` to the store, and a target.
fn start_behind_link(bytes_per_s: usize) -> (Cluster, Relay) {
    let mut cluster = Cluster::start(0);
    let relay = Relay::start(cluster.endpoint.addr).expect("a path");
    relay.set_rate(bytes_per_s);
    let endpoint = cluster.endpoint.via(relay.addr());
    cluster.add(&endpoint, &[]);
    let target = start_target("i-0", Reply::Complete(200, "yes"));
    cluster.register(&target, "desk");
    cluster.ready(0);
    (cluster, relay)
}

/// Guards against a watch that asks for the same superseded versions again and again.
#[test]
fn versions_written_during_a_cut_are_in_force_in_time() {
    let (cluster, relay) = start_behind_link(NARROW_LINK);
    relay.set_cut(true);
    for version in 10..22 {
        cluster.configure(&large_config(version, 1_400));
    }
    std::thread::sleep(Duration::from_secs(1));
    relay.set_cut(false);
    let begun = Instant::now();
    eventually("the last version is in force", || status(&cluster, "/v21/1") == 200);
    assert!(begun.elapsed() < CHANGE_TIME, "{:?}", begun.elapsed());
}

/// Guards against an answer that is dropped while it arrives, each time anew.
#[test]
fn configuration_that_takes_longer_than_a_call_arrives() {
    let (cluster, _relay) = start_behind_link(NARROW_LINK / 5);
    cluster.configure(&large_config(10, 3_500));
    eventually("it is in force", || status(&cluster, "/v10/1") == 200);
}

/// Guards against copies of a configuration that are asked for while the first is under way.
#[test]
fn configuration_under_way_is_not_asked_for_every_time() {
    let cluster = Cluster::start(1);
    cluster.ready(0);
    cluster.endpoint.set_fault(Fault::Reject(503));
    let mut peer = FakePeer::start("slow", 0);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(6) {
        peer.announce(99, cluster.peers(0));
        std::thread::sleep(Duration::from_millis(200));
    }
    let count = peer.requests().len();
    assert!((2..=5).contains(&count), "{count} requests");
}

/// Guards against whole copies of a configuration for each instance of a zone, which fill the
/// link of the peer that sends them.
#[test]
fn snapshot_holds_a_large_configuration_in_a_tenth_of_its_size() {
    let cluster = Cluster::start(1);
    let config = large_config(10, 1_400);
    cluster.configure(&config);
    cluster.ready(0);
    cluster.logged(0, &["config: now in force", "version=10"]);
    let peer = FakePeer::start("slow", 0);
    let sent = peer.snapshot(cluster.peers(0), true);
    assert!(sent.config_text.is_empty());
    assert!(sent.config_compressed.len() * 10 < config.to_string().len());
    let former = peer.snapshot(cluster.peers(0), false);
    assert_eq!(former.config_text, config.to_string(), "a peer of the former version");
    assert!(former.config_compressed.is_empty());
}
