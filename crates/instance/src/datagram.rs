//! UDP datagrams in which instances report their in-flight requests to peers.
//!
//! A later datagram supersedes an earlier one, so a lost one does no harm, and there
//! is no connection that could stall. Messages that must arrive use links instead.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use prost::Message;

use crate::delegation::{Ask, CostReport, Held, Observation, Reply};

/// Protocol version; a datagram of any other version is dropped.
pub const VERSION: u32 = 1;
/// Maximum length of a datagram, low enough to avoid IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Size of the receive buffer; one target alone may exceed [`MAX_DATAGRAM_BYTES`].
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes of a datagram that are reserved for fields other than its targets.
const RESERVED_BYTES: usize = 600;

impl Datagram {
    /// Returns whether it states the sender's requests in flight.
    pub fn has_requests(&self) -> bool {
        // Only former versions do not state how many instances they know.
        self.exchange || self.instances == 0
    }
}

/// State that an instance reports to its peers.
#[derive(Clone, PartialEq, prost::Message)]
#[expect(clippy::struct_excessive_bools, reason = "each is a separate field on the wire")]
pub struct Datagram {
    /// Protocol version, [`VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the sender.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Incarnation number of the sender's process.
    #[prost(uint64, tag = "3")]
    pub boot: u64,
    /// Sequence number of the datagram within that incarnation.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    /// Configuration version in force.
    #[prost(uint64, tag = "5")]
    pub config_version: u64,
    /// Whether the store rejects or does not answer the sender's calls.
    #[prost(bool, tag = "6")]
    pub store_unreachable: bool,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// Whether the sender has no requests at any target missing from `targets`.
    #[prost(bool, tag = "8")]
    pub complete: bool,
    /// In-flight requests by target.
    #[prost(message, repeated, tag = "9")]
    pub targets: Vec<TargetRequests>,
    /// Availability zone of the sender.
    #[prost(string, tag = "12")]
    pub zone: String,
    /// Long prompts that wait for a target.
    #[prost(message, repeated, tag = "11")]
    pub waiting: Vec<WaitingPrompt>,
    /// Store revision of the newest change of targets that the sender knows.
    #[prost(uint64, tag = "10")]
    pub revision: u64,
    /// Era of that revision: how often the store came back from a copy.
    #[prost(uint64, tag = "25")]
    pub era: u64,
    /// Store revision of the latest order to evacuate a zone, or to take it back, that the
    /// sender knows; 0 if there is none, and from former versions.
    #[prost(uint64, tag = "27")]
    pub order_revision: u64,
    /// Era of that revision.
    #[prost(uint64, tag = "28")]
    pub order_era: u64,
    /// Whether the sender watches the store for its zone.
    #[prost(bool, tag = "13")]
    pub watching: bool,
    /// Whether schedulers place the sender's requests, so that it need not be told of
    /// requests in flight.
    #[prost(bool, tag = "14")]
    pub delegating: bool,
    /// Processor share of the sender's machine, in thousandths of a core; 0 from versions
    /// that do not place requests of others.
    #[prost(uint32, tag = "15")]
    pub capacity: u32,
    /// Instances of the fleet that the sender knows.
    #[prost(uint32, tag = "16")]
    pub instances: u32,
    /// Whether `targets` and `waiting` state the sender's requests; former versions always
    /// state them.
    #[prost(bool, tag = "23")]
    pub exchange: bool,
    /// Addresses of the schedulers of the sender's zone; empty if not stated.
    #[prost(string, repeated, tag = "24")]
    pub schedulers: Vec<String>,
    /// Requests that the receiver is asked to place.
    #[prost(message, repeated, tag = "17")]
    pub asks: Vec<Ask>,
    /// Requests placed by the receiver whose first event has arrived.
    #[prost(uint64, repeated, tag = "18")]
    pub started: Vec<u64>,
    /// Requests placed by the receiver that have ended, or that it need not place.
    #[prost(uint64, repeated, tag = "19")]
    pub ended: Vec<u64>,
    /// All requests that the sender has at the receiver; absent if not stated.
    #[prost(message, optional, tag = "20")]
    pub held: Option<Held>,
    /// What the sender observed of targets.
    #[prost(message, repeated, tag = "21")]
    pub observations: Vec<Observation>,
    /// Answers to the receiver's requests.
    #[prost(message, repeated, tag = "22")]
    pub replies: Vec<Reply>,
    /// Targets that told the sender that they leave.
    #[prost(message, repeated, tag = "26")]
    pub leaving_targets: Vec<LeavingTarget>,
    /// Parts of prompts under which targets have crashed, and accused ones that are sound.
    #[prost(message, repeated, tag = "29")]
    pub parts: Vec<PartReport>,
    /// Limits that targets state.
    #[prost(message, repeated, tag = "30")]
    pub limits: Vec<TargetLimit>,
    /// Requests that wait at the sender for services of which all targets state limits; stated
    /// with `exchange`.
    #[prost(message, repeated, tag = "31")]
    pub limited_queues: Vec<LimitedQueue>,
    /// Services of which the sender cannot connect to most targets.
    #[prost(string, repeated, tag = "32")]
    pub cut_off: Vec<String>,
    /// Whether the sender takes requests that come over peers; former versions do not.
    #[prost(bool, tag = "33")]
    pub takes_detours: bool,
    /// Engine time that the sender's requests ask for; stated with `exchange`.
    #[prost(message, repeated, tag = "34")]
    pub demands: Vec<ServiceDemand>,
    /// Targets that do not help with the prompts of others.
    #[prost(message, repeated, tag = "35")]
    pub refusing_helpers: Vec<RefusingHelper>,
    /// What requests have cost; to a scheduler of the sender's zone.
    #[prost(message, repeated, tag = "36")]
    pub costs: Vec<CostReport>,
}

/// A target that gets no parts of prompts for a while.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RefusingHelper {
    /// Identifier of the target.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Unix millisecond of its start.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Time that is left, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub left_ms: u32,
}

/// Engine time that requests for a service ask for.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Milliseconds of an engine in a second.
    #[prost(uint32, tag = "2")]
    pub ms_per_s: u32,
}

/// Requests that wait for a service of which all targets state limits.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitedQueue {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
}

/// What the sender knows of the limit that a target states.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetLimit {
    /// Identifier of the target.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of its process, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Version of the statement, higher with each change.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Requests a second from all instances together; absent if the limit has ended.
    #[prost(double, optional, tag = "4")]
    pub rate: Option<f64>,
}

/// What the sender knows of a part of prompts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PartReport {
    /// Identifier of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Crashes that are held against it; empty if it is sound.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<TargetCrash>,
}

/// A crash of a target.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TargetCrash {
    /// Digest of the target and its start.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Time since it was noticed, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Length of the series of crashes up to this one, each of a run that began after the one
    /// before; 0 from former versions.
    #[prost(uint32, tag = "3")]
    pub depth: u32,
}

/// A target that stated in an answer that it leaves.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeavingTarget {
    /// Identifier of the target.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start of its process, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
}

/// A long prompt that waits at the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WaitingPrompt {
    /// Requested service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Time since its arrival, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub waited_ms: u32,
    /// Time until its first event is due, in milliseconds; negative when overdue.
    #[prost(sint32, tag = "3")]
    pub due_in_ms: i32,
    /// Processing time that it needs of its targets, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub work_ms: u32,
    /// Value of an answer on time.
    #[prost(float, tag = "5")]
    pub worth: f32,
    /// Priority; 0 is the most urgent.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
}

/// In-flight requests of the sender at one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetRequests {
    /// Identifier of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The requests; empty when all have ended.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<Request>,
    /// Time since each of the sender's latest requests to it, ended ones too, in milliseconds;
    /// only if the target states a limit.
    #[prost(uint32, repeated, tag = "3")]
    pub sent_ms: Vec<u32>,
}

/// One in-flight request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Request {
    /// Tokens of the whole prompt.
    #[prost(uint64, tag = "1")]
    pub prompt_tokens: u64,
    /// Equal parts into which the prompt is split among targets.
    #[prost(uint32, tag = "2")]
    pub parts: u32,
    /// Whether the target only reads its part and another writes the answer.
    #[prost(bool, tag = "3")]
    pub prefill_only: bool,
    /// Expected tokens of the answer.
    #[prost(uint64, tag = "4")]
    pub answer_tokens: u64,
    /// Maximum pause between events that counts as on time, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub gap_ms: u32,
    /// Value of an answer on time.
    #[prost(float, tag = "6")]
    pub worth: f32,
    /// Time since it was sent, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub since_sent_ms: u32,
    /// Expected time of a call at a service, in milliseconds; 0 from former versions.
    #[prost(uint32, tag = "12")]
    pub work_ms: u32,
    /// Time since its first event in milliseconds, plus 1; 0 before that event.
    #[prost(uint32, tag = "8")]
    pub streaming_ms: u32,
    /// Identifier of the request, unique at the sender.
    #[prost(uint64, tag = "9")]
    pub id: u64,
    /// Memory that it takes at the target, in tokens.
    #[prost(uint64, tag = "10")]
    pub memory_tokens: u64,
}

/// UDP socket that sends and receives datagrams.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds the socket to `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        socket.set_read_timeout(Some(Duration::from_millis(500)))?;
        Ok(Self { socket })
    }

    /// Sends a datagram to each peer; a failed send counts as a lost datagram.
    pub fn send(&self, datagram: &Datagram, peers: &[SocketAddr]) {
        let bytes = datagram.encode_to_vec();
        for peer in peers {
            if let Err(e) = self.socket.send_to(&bytes, peer) {
                log::debug!("datagram: sending to {peer} failed: {e}.");
            }
        }
    }

    /// Waits for the next datagram; `None` on a timeout or an unusable datagram.
    ///
    /// # Errors
    ///
    /// Fails when reading from the socket fails.
    pub fn receive(&self) -> io::Result<Option<(Datagram, SocketAddr)>> {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        match self.socket.recv_from(&mut buffer) {
            Ok((len, from)) => match Datagram::decode(&buffer[..len]) {
                Ok(datagram) if datagram.version == VERSION => Ok(Some((datagram, from))),
                Ok(_) => Ok(None),
                Err(e) => {
                    log::warn!("datagram: dropping one from {from} that cannot be decoded: {e}.");
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

/// Splits targets into groups that each fit into one datagram.
pub fn split_targets(targets: Vec<TargetRequests>) -> Vec<Vec<TargetRequests>> {
    let mut groups = vec![Vec::new()];
    let mut size = RESERVED_BYTES;
    for target in targets {
        // 4 bytes: the tag and the length prefix.
        let added = target.encoded_len() + 4;
        if size + added > MAX_DATAGRAM_BYTES && groups.last().is_some_and(|g| !g.is_empty()) {
            groups.push(Vec::new());
            size = RESERVED_BYTES;
        }
        size += added;
        if let Some(group) = groups.last_mut() {
            group.push(target);
        }
    }
    groups
}
