//! Datagrams in which instances tell their peers what they have in flight.
//!
//! A later datagram supersedes an earlier one, so a lost one does no harm and
//! no connection can fall silent. What must arrive goes over links instead.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use prost::Message;

/// Version of the datagrams; another one is dropped.
pub const VERSION: u32 = 1;
/// Longest datagram, in bytes; it stays whole on networks with small packets.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Longest datagram that is received; one target alone may go beyond [`MAX_DATAGRAM_BYTES`].
const MAX_RECEIVED_BYTES: usize = 16 * 1024;
/// Most bytes that one target's works take beside its name; checked before
/// another target is put into a datagram.
const ROOM: usize = 200;

/// What an instance tells its peers.
#[derive(Clone, PartialEq, prost::Message)]
#[expect(clippy::struct_excessive_bools, reason = "each is a separate fact on the wire")]
pub struct Datagram {
    /// Version of the datagrams.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sender.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Start number of the sender's process.
    #[prost(uint64, tag = "3")]
    pub boot: u64,
    /// Number of the datagram since the start.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    /// Configuration version in force.
    #[prost(uint64, tag = "5")]
    pub config_version: u64,
    /// Whether the store refuses the sender or does not answer it.
    #[prost(bool, tag = "6")]
    pub store_unreachable: bool,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// Whether targets that are not named have nothing of the sender in flight.
    #[prost(bool, tag = "8")]
    pub complete: bool,
    /// Requests in flight by target.
    #[prost(message, repeated, tag = "9")]
    pub targets: Vec<TargetRequests>,
    /// Availability zone of the sender.
    #[prost(string, tag = "12")]
    pub zone: String,
    /// Long prompts that wait for a place.
    #[prost(message, repeated, tag = "11")]
    pub waiting: Vec<WaitingPrompt>,
    /// Revision of the newest change of targets that the sender knows.
    #[prost(uint64, tag = "10")]
    pub revision: u64,
    /// Whether the sender watches the store for its zone.
    #[prost(bool, tag = "13")]
    pub watching: bool,
}

/// A long prompt that waits at the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WaitingPrompt {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Time since it came, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub waited_ms: u32,
    /// Time in which its first event is on time, in milliseconds; below 0 it is late.
    #[prost(sint32, tag = "3")]
    pub due_in_ms: i32,
    /// Time that it takes of its targets, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub work_ms: u32,
    /// Worth of an answer on time.
    #[prost(float, tag = "5")]
    pub worth: f32,
    /// Rank; 0 is the most urgent.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
}

/// Requests of the sender at one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetRequests {
    /// Target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The requests; none when all have ended.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<Request>,
}

/// One request in flight.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Request {
    /// Tokens of the prompt.
    #[prost(uint64, tag = "1")]
    pub prompt_tokens: u64,
    /// Parts in which the prompt is read.
    #[prost(uint32, tag = "2")]
    pub parts: u32,
    /// Whether the target reads a part only.
    #[prost(bool, tag = "3")]
    pub prefill_only: bool,
    /// Tokens expected of the answer.
    #[prost(uint64, tag = "4")]
    pub answer_tokens: u64,
    /// Longest pause between events, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub gap_ms: u32,
    /// Worth of an answer on time.
    #[prost(float, tag = "6")]
    pub worth: f32,
    /// Time since it was sent, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub since_sent_ms: u32,
    /// Time since its first event in milliseconds, plus one; 0 before it.
    #[prost(uint32, tag = "8")]
    pub streaming_ms: u32,
    /// Number of the request, unique at the sender.
    #[prost(uint64, tag = "9")]
    pub id: u64,
    /// Tokens of memory that it takes at the target.
    #[prost(uint64, tag = "10")]
    pub memory_tokens: u64,
}

/// The socket for datagrams.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        socket.set_read_timeout(Some(Duration::from_millis(500)))?;
        Ok(Self { socket })
    }

    /// Sends one datagram to each peer; a failed send is as good as a lost one.
    pub fn send(&self, datagram: &Datagram, peers: &[SocketAddr]) {
        let bytes = datagram.encode_to_vec();
        for peer in peers {
            if let Err(e) = self.socket.send_to(&bytes, peer) {
                log::debug!("datagram: not sent to {peer}: {e}.");
            }
        }
    }

    /// Waits for the next datagram; `None` when nothing readable came for a while.
    ///
    /// # Errors
    ///
    /// Fails when the socket is broken.
    pub fn receive(&self) -> io::Result<Option<(Datagram, SocketAddr)>> {
        let mut buffer = [0; MAX_RECEIVED_BYTES];
        match self.socket.recv_from(&mut buffer) {
            Ok((read, from)) => match Datagram::decode(&buffer[..read]) {
                Ok(datagram) if datagram.version == VERSION => Ok(Some((datagram, from))),
                Ok(_) => Ok(None),
                Err(e) => {
                    log::warn!("datagram: one from {from} is broken: {e}.");
                    Ok(None)
                }
            },
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Ok(None)
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(None),
            Err(e) => Err(e),
        }
    }
}

/// Splits targets into groups that fit into one datagram each.
pub fn split_targets(targets: Vec<TargetRequests>) -> Vec<Vec<TargetRequests>> {
    let mut groups = vec![Vec::new()];
    let mut size = ROOM;
    for target in targets {
        let more = target.encoded_len() + 4;
        if size + more > MAX_DATAGRAM_BYTES && groups.last().is_some_and(|g| !g.is_empty()) {
            groups.push(Vec::new());
            size = ROOM;
        }
        size += more;
        if let Some(group) = groups.last_mut() {
            group.push(target);
        }
    }
    groups
}
