//! TCP links to peers, served by one thread.
//!
//! There is one outgoing link per peer address. A link carries messages in one
//! direction; the receiver responds on its own outgoing link. It acknowledges each
//! message with an empty frame. A link that is broken, or on which an acknowledgement is
//! missing because it fell silent, is opened again, and what may arrive twice is sent again.
//! Messages to a slow peer are dropped rather than
//! delaying other peers; senders repeat everything that they send here. The first
//! message of a link names the sender, so that heartbeats stay small, and a message
//! to many peers is encoded once.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{SyncSender, TrySendError};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use mimosapass_core::unacked::Message;
use prost::Message as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::message::{Body, Envelope, MAX_FRAME_BYTES, VERSION};
use crate::outgoing;

/// Number of received messages that may wait to be handled, for a channel of [`Links::start`].
pub const INBOX_LENGTH: usize = 256;

/// Pause before a message is handed over again while too many wait.
const FULL_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of batches that wait for one peer.
const QUEUE_LENGTH: usize = 64;
/// Timeout for writing an acknowledgement. Former versions read none, and fill up.
const ACK_WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without a message after which an incoming link is closed.
const INCOMING_IDLE: Duration = Duration::from_secs(30);

/// Identity of an instance on a link.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Identity {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Incarnation number of the process, higher after each restart.
    pub boot: u64,
}

/// A message from a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Incoming {
    /// Sender of the message.
    pub from: Identity,
    /// Address on which the peer accepts links.
    pub addr: String,
    /// The message.
    pub body: Body,
}

/// Encoded messages and the peers that they go to.
#[derive(Debug)]
struct Outgoing {
    to: Vec<SocketAddr>,
    messages: Vec<Message>,
}

/// Sends messages to peers without blocking.
#[derive(Clone, Debug)]
pub struct Links {
    queue: mpsc::UnboundedSender<Outgoing>,
    addr: SocketAddr,
}

impl Links {
    /// Starts the thread that serves the links; received messages go to `sink`, and while
    /// that is full, no more are read.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(
        identity: &Identity,
        listen: SocketAddr,
        sink: SyncSender<Incoming>,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (queue, outgoing) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let identity = identity.clone();
        thread::Builder::new().name("links".to_owned()).spawn(move || {
            runtime.block_on(async move {
                match TcpListener::from_std(listener) {
                    Ok(listener) => {
                        tokio::spawn(accept(listener, sink));
                        dispatch(identity, addr, outgoing).await;
                    }
                    Err(e) => log::error!("links: cannot listen on {addr}: {e}."),
                }
            });
        })?;
        Ok(Self { queue, addr })
    }

    /// Returns the address on which links are accepted.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a message to the peer at `to`; delivery is not guaranteed.
    pub fn send(&self, to: SocketAddr, body: Body) {
        self.enqueue(vec![to], vec![body]);
    }

    /// Sends messages to each of `peers`; delivery is not guaranteed.
    pub fn broadcast(&self, peers: &BTreeSet<SocketAddr>, bodies: Vec<Body>) {
        self.enqueue(peers.iter().copied().collect(), bodies);
    }

    fn enqueue(&self, to: Vec<SocketAddr>, bodies: Vec<Body>) {
        let messages = bodies.into_iter().map(|body| {
            let repeatable = body.is_repeatable();
            Message { bytes: encode(&Envelope::with_body(body)), repeatable }
        });
        let messages = messages.collect();
        if self.queue.send(Outgoing { to, messages }).is_err() {
            log::error!("links: message dropped, the thread has ended.");
        }
    }
}

fn encode(envelope: &Envelope) -> Bytes {
    Bytes::from(envelope.encode_to_vec())
}

/// Accepts links until the process ends.
async fn accept(listener: TcpListener, sink: SyncSender<Incoming>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(receive(stream, sink.clone()))),
            Err(e) => {
                log::warn!("links: accepting a connection failed: {e}.");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Passes on the messages of one incoming link until it is closed or invalid.
async fn receive(stream: TcpStream, sink: SyncSender<Incoming>) {
    let mut framed = Framed::new(stream, codec(MAX_FRAME_BYTES));
    let (mut from, mut addr) = (Identity::default(), String::new());
    let mut acknowledges = true;
    while let Ok(Some(Ok(frame))) = timeout(INCOMING_IDLE, framed.next()).await {
        let envelope = match Envelope::decode(frame.freeze()) {
            Ok(envelope) if envelope.version == VERSION => envelope,
            Ok(envelope) => {
                log::warn!(
                    "links: closing a link from {}: protocol version {} instead of {VERSION}.",
                    envelope.from,
                    envelope.version
                );
                return;
            }
            Err(e) => {
                log::warn!("links: closing a link: a message cannot be decoded: {e}.");
                return;
            }
        };
        if !envelope.from.is_empty() {
            from = Identity { name: envelope.from, zone: envelope.zone, boot: envelope.boot };
            addr = envelope.addr;
        }
        let Some(body) = envelope.body else { continue };
        if from.name.is_empty() {
            log::warn!("links: closing a link: its first message did not name the sender.");
            return;
        }
        let message = Incoming { from: from.clone(), addr: addr.clone(), body };
        if !hand_over(message, &sink).await {
            return;
        }
        if acknowledges {
            let written = timeout(ACK_WRITE_TIMEOUT, framed.send(Bytes::new())).await;
            acknowledges = matches!(written, Ok(Ok(())));
        }
    }
}

/// Hands over a message, and waits while too many are not handled yet; returns whether any
/// more are wanted.
async fn hand_over(mut message: Incoming, sink: &SyncSender<Incoming>) -> bool {
    loop {
        match sink.try_send(message) {
            Ok(()) => return true,
            Err(TrySendError::Disconnected(_)) => return false,
            Err(TrySendError::Full(full)) => message = full,
        }
        tokio::time::sleep(FULL_PAUSE).await;
    }
}

/// Hands messages to the writer of each peer and starts writers as needed.
async fn dispatch(
    identity: Identity,
    addr: SocketAddr,
    mut queued: mpsc::UnboundedReceiver<Outgoing>,
) {
    let greeting = Envelope {
        from: identity.name,
        addr: addr.to_string(),
        zone: identity.zone,
        boot: identity.boot,
        ..Envelope::empty()
    };
    let greeting = encode(&greeting);
    let mut peers: HashMap<SocketAddr, mpsc::Sender<Vec<Message>>> = HashMap::new();
    while let Some(Outgoing { to, messages }) = queued.recv().await {
        peers.retain(|_, queue| !queue.is_closed());
        for to in to {
            let queue = peers.entry(to).or_insert_with(|| {
                let (queue, batches) = mpsc::channel(QUEUE_LENGTH);
                tokio::spawn(outgoing::write(to, greeting.clone(), batches));
                queue
            });
            if queue.try_send(messages.clone()).is_err() {
                log::debug!("links: messages to {to} dropped, its queue is full or closed.");
            }
        }
    }
}

/// Returns the framing of links, with a limit on the length of a frame.
pub(crate) fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec()
}
