//! Stand-in for the network between instances: forwards their datagrams and links until links
//! fall silent.
//!
//! Each instance has a second address, by which the others know it. What is sent there is
//! forwarded to it, datagrams with the second address of their sender as their source. Instances
//! name themselves by their own addresses, which are replaced.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use crate::relay::{Relay, Rewrites, rewrite};

/// Largest datagram that is forwarded.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// An instance and its second address.
#[derive(Debug)]
struct Node {
    own: SocketAddr,
    socket: UdpSocket,
    links: Relay,
}

/// A network between instances, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct Mesh {
    nodes: Arc<Mutex<Vec<Arc<Node>>>>,
    rewrites: Rewrites,
}

impl Mesh {
    /// Adds the instance at `own`; returns its second address, an IP address of `ips` with the
    /// same port.
    ///
    /// # Errors
    ///
    /// Fails when the second address cannot be bound.
    pub fn add(
        &self,
        own: SocketAddr,
        ips: impl Iterator<Item = Ipv4Addr>,
    ) -> io::Result<SocketAddr> {
        let mut addrs = ips.map(|ip| SocketAddr::from((ip, own.port())));
        let same_length = |addr: &SocketAddr| addr.to_string().len() == own.to_string().len();
        let addr = addrs.find(same_length).ok_or(io::ErrorKind::AddrNotAvailable)?;
        let names = (own.to_string(), addr.to_string());
        self.rewrites.lock().unwrap_or_else(PoisonError::into_inner).push(names);
        let node = Arc::new(Node {
            own,
            socket: UdpSocket::bind(addr)?,
            links: Relay::start_at(addr, own, Arc::clone(&self.rewrites))?,
        });
        self.lock().push(Arc::clone(&node));
        let mesh = self.clone();
        thread::spawn(move || mesh.forward(&node));
        Ok(addr)
    }

    /// Makes the open links to the instance number `index` silent for good; new ones work.
    pub fn silence(&self, index: usize) {
        self.lock()[index].links.silence_open();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Node>>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forwards datagrams to an instance.
    fn forward(&self, to: &Node) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((length, source)) = to.socket.recv_from(&mut buffer) {
            let from = self.lock().iter().find(|node| node.own == source).cloned();
            rewrite(&mut buffer[..length], &self.rewrites);
            // Datagrams may be lost.
            if let Some(from) = from {
                drop(from.socket.send_to(&buffer[..length], to.own));
            }
        }
    }
}
