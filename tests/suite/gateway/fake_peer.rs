//! A peer of the test's own, which says what it has and answers no request for it.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::Instant;

use mimosapass_instance::datagram::{self, Datagram, DatagramSocket};
use mimosapass_instance::link::{INBOX_LENGTH, Identity, Incoming, Links};
use mimosapass_instance::message::{Body, SnapshotRequest, StoreSnapshot};

use crate::common::{WAIT_TIMEOUT, unique_ip};

/// A peer in the zone of all gateways that watches the store.
pub struct FakePeer {
    name: String,
    /// Processor share that it states, in thousandths of a core.
    capacity: u32,
    socket: DatagramSocket,
    inbox: Receiver<Incoming>,
    links: Links,
    seq: u64,
    /// Revision of the latest change of targets that it states.
    pub revision: u64,
}

impl FakePeer {
    /// Starts it.
    pub fn start(name: &str, capacity: u32) -> Self {
        let addr = SocketAddr::from((unique_ip(), 8082));
        let identity = Identity { name: name.to_owned(), zone: "a".to_owned(), boot: 1 };
        let (sink, inbox) = sync_channel(INBOX_LENGTH);
        let links = Links::start(&identity, addr, sink).expect("it starts");
        let socket = DatagramSocket::bind(addr).expect("an address");
        Self { name: name.to_owned(), capacity, socket, inbox, links, seq: 0, revision: 0 }
    }

    /// Tells the gateway at `to` of a configuration.
    pub fn announce(&mut self, config_version: u64, to: SocketAddr) {
        self.seq += 1;
        let datagram = Datagram {
            version: datagram::VERSION,
            from: self.name.clone(),
            boot: 1,
            seq: self.seq,
            config_version,
            watching: true,
            capacity: self.capacity,
            revision: self.revision,
            zone: "a".to_owned(),
            ..Datagram::default()
        };
        self.socket.send(&datagram, &[to]);
    }

    /// Returns the snapshot that the gateway at `addr` sends for a request.
    pub fn snapshot(&self, addr: SocketAddr, accepts_compressed: bool) -> StoreSnapshot {
        let request =
            SnapshotRequest { accepts_compressed, accepts_changes: true, ..Default::default() };
        self.links.send(addr, Body::SnapshotRequest(request));
        let end = Instant::now() + WAIT_TIMEOUT;
        while let Ok(incoming) = self.inbox.recv_timeout(end - Instant::now()) {
            if let Body::Snapshot(snapshot) = incoming.body {
                return snapshot;
            }
        }
        panic!("no snapshot came");
    }

    /// Returns the requests for snapshots since the last call.
    pub fn requests(&self) -> Vec<SnapshotRequest> {
        let requests = self.inbox.try_iter().filter_map(|incoming| match incoming.body {
            Body::SnapshotRequest(request) => Some(request),
            _ => None,
        });
        requests.collect()
    }
}
