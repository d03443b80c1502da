//! Large configurations over narrow links.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::{Duration, Instant};

use mimosapass_instance::datagram::{self, Datagram, DatagramSocket};
use mimosapass_instance::link::{INBOX_LENGTH, Identity, Incoming, Links};
use mimosapass_instance::message::{Body, SnapshotRequest, StoreSnapshot};
use mimosapass_standin::metastore::Fault;
use mimosapass_standin::relay::Relay;
use mimosapass_standin::target::Reply;
use serde_json::Value;

use super::{Cluster, KEY, call, config, eventually, head, start_target};
use crate::common::{WAIT_TIMEOUT, unique_ip};

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

/// A peer that has a newer configuration, if it says so, and answers no request for it.
struct SlowPeer {
    socket: DatagramSocket,
    inbox: Receiver<Incoming>,
    seq: u64,
}

impl SlowPeer {
    /// Starts it; messages are received until the links are dropped.
    fn start() -> (Self, Links) {
        let addr = SocketAddr::from((unique_ip(), 8082));
        let identity = Identity { name: "slow".to_owned(), zone: "a".to_owned(), boot: 1 };
        let (sink, inbox) = sync_channel(INBOX_LENGTH);
        let links = Links::start(&identity, addr, sink).expect("it starts");
        let socket = DatagramSocket::bind(addr).expect("an address");
        (Self { socket, inbox, seq: 0 }, links)
    }

    fn announce(&mut self, to: SocketAddr) {
        self.seq += 1;
        let datagram = Datagram {
            version: datagram::VERSION,
            from: "slow".to_owned(),
            boot: 1,
            seq: self.seq,
            config_version: 99,
            watching: true,
            zone: "a".to_owned(),
            ..Datagram::default()
        };
        self.socket.send(&datagram, &[to]);
    }

    /// Returns the snapshot that the gateway at `addr` sends for a request.
    fn snapshot(&self, links: &Links, addr: SocketAddr, accepts_compressed: bool) -> StoreSnapshot {
        let request =
            SnapshotRequest { accepts_compressed, accepts_changes: true, ..Default::default() };
        links.send(addr, Body::SnapshotRequest(request));
        let end = Instant::now() + WAIT_TIMEOUT;
        while let Ok(incoming) = self.inbox.recv_timeout(end - Instant::now()) {
            if let Body::Snapshot(snapshot) = incoming.body {
                return snapshot;
            }
        }
        panic!("no snapshot came");
    }

    fn requests(&self) -> Vec<SnapshotRequest> {
        let requests = self.inbox.try_iter().filter_map(|incoming| match incoming.body {
            Body::SnapshotRequest(request) => Some(request),
            _ => None,
        });
        requests.collect()
    }
}

/// Guards against copies of a configuration that are asked for while the first is under way.
#[test]
fn configuration_under_way_is_not_asked_for_every_time() {
    let cluster = Cluster::start(1);
    cluster.ready(0);
    cluster.endpoint.set_fault(Fault::Reject(503));
    let (mut peer, links) = SlowPeer::start();
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(6) {
        peer.announce(cluster.peers(0));
        std::thread::sleep(Duration::from_millis(200));
    }
    drop(links);
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
    let (peer, links) = SlowPeer::start();
    let sent = peer.snapshot(&links, cluster.peers(0), true);
    assert!(sent.config_text.is_empty());
    assert!(sent.config_compressed.len() * 10 < config.to_string().len());
    let former = peer.snapshot(&links, cluster.peers(0), false);
    assert_eq!(former.config_text, config.to_string(), "a peer of the former version");
    assert!(former.config_compressed.is_empty());
}
