//! TCP links to peers, served by one thread.
//!
//! There is one outgoing link per peer address. A link carries messages in one
//! direction; the receiver responds on its own outgoing link. It acknowledges each
//! message with an empty frame. A link that is broken, or on which an acknowledgement is
//! missing because it fell silent, is reopened for the next message. Messages to a slow peer are dropped rather than
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
use prost::Message;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{Framed, FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::message::{Body, Envelope, MAX_FRAME_BYTES, VERSION};

/// Number of received messages that may wait to be handled, for a channel of [`Links::start`].
pub const INBOX_LENGTH: usize = 256;

/// Pause before a message is handed over again while too many wait.
const FULL_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of batches that wait for one peer.
const QUEUE_LENGTH: usize = 64;
/// Timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for writing one batch, besides the time for its bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Least rate of a link in bytes a second: small machines send large messages to many peers
/// at once.
const MIN_RATE: usize = 32 * 1024;
/// Time within which a message is acknowledged, besides the time for its bytes. Former versions acknowledge none: to them a
/// link is reopened for each message that comes later.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for writing an acknowledgement. Former versions read none, and fill up.
const ACK_WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without a message after which an incoming link is closed.
const INCOMING_IDLE: Duration = Duration::from_secs(30);
/// Time without a message after which an outgoing link is closed.
const OUTGOING_IDLE: Duration = Duration::from_secs(30);

type LinkWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

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
    frames: Vec<Bytes>,
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
        let frames = bodies.into_iter().map(|b| encode(&Envelope::with_body(b))).collect();
        if self.queue.send(Outgoing { to, frames }).is_err() {
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
    mut outgoing: mpsc::UnboundedReceiver<Outgoing>,
) {
    let greeting = Envelope {
        from: identity.name,
        addr: addr.to_string(),
        zone: identity.zone,
        boot: identity.boot,
        ..Envelope::empty()
    };
    let greeting = encode(&greeting);
    let mut peers: HashMap<SocketAddr, mpsc::Sender<Vec<Bytes>>> = HashMap::new();
    while let Some(Outgoing { to, frames }) = outgoing.recv().await {
        peers.retain(|_, queue| !queue.is_closed());
        for to in to {
            let queue = peers.entry(to).or_insert_with(|| {
                let (queue, batches) = mpsc::channel(QUEUE_LENGTH);
                tokio::spawn(write(to, greeting.clone(), batches));
                queue
            });
            if queue.try_send(frames.clone()).is_err() {
                log::debug!("links: messages to {to} dropped, its queue is full or closed.");
            }
        }
    }
}

/// Writes messages to one peer until a link breaks or there are no messages for a while.
async fn write(to: SocketAddr, greeting: Bytes, mut batches: mpsc::Receiver<Vec<Bytes>>) {
    while let Ok(Some(frames)) = timeout(OUTGOING_IDLE, batches.recv()).await {
        if !write_link(to, &greeting, frames, &mut batches).await {
            return;
        }
    }
}

/// Opens a link and writes messages; returns whether it ended as idle or silent, so that the
/// next message may open another one.
async fn write_link(
    to: SocketAddr,
    greeting: &Bytes,
    frames: Vec<Bytes>,
    batches: &mut mpsc::Receiver<Vec<Bytes>>,
) -> bool {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await else {
        log::debug!("links: cannot connect to {to}.");
        return false;
    };
    if stream.set_nodelay(true).is_err() {
        return false;
    }
    let (reader, writer) = stream.into_split();
    // An acknowledgement is an empty frame.
    let mut acks = FramedRead::new(reader, codec(0));
    let mut link = FramedWrite::new(writer, codec(MAX_FRAME_BYTES));
    let mut unacked = frames.len();
    let opened = Instant::now();
    let mut last_ack = opened;
    let mut end = opened + ACK_TIMEOUT + transfer_time(&frames);
    let first = std::iter::once(greeting.clone()).chain(frames).collect();
    if !write_in_time(&mut link, first, to).await {
        return false;
    }
    loop {
        tokio::select! {
            batch = batches.recv() => {
                let Some(frames) = batch else { return false };
                if unacked == 0 {
                    end = Instant::now() + ACK_TIMEOUT;
                }
                end += transfer_time(&frames);
                unacked += frames.len();
                if !write_in_time(&mut link, frames, to).await {
                    return false;
                }
            }
            ack = acks.next() => {
                if !matches!(ack, Some(Ok(_))) {
                    return false;
                }
                if unacked == 0 {
                    log::warn!("links: closing a link to {to}: it acknowledges what was not sent.");
                    return false;
                }
                unacked -= 1;
                let now = Instant::now();
                last_ack = now;
                // What was written before may need its time still.
                end = if unacked > 0 { end.max(now + ACK_TIMEOUT) } else { now + OUTGOING_IDLE };
            }
            () = sleep_until(end) => {
                if unacked > 0 {
                    let (open_ms, silent_ms) = (opened.elapsed().as_millis(), last_ack.elapsed().as_millis());
                    log::info!(
                        peer:% = to, unacked, open_ms = open_ms as u64, silent_ms = silent_ms as u64;
                        "links: closing a silent link, messages are not acknowledged."
                    );
                }
                return true;
            }
        }
    }
}

/// Returns the longest time in which frames are sent over a link that works.
fn transfer_time(frames: &[Bytes]) -> Duration {
    let bytes: usize = frames.iter().map(Bytes::len).sum();
    Duration::from_secs(1).mul_f64(bytes as f64 / MIN_RATE as f64)
}

async fn write_in_time(link: &mut LinkWriter, frames: Vec<Bytes>, to: SocketAddr) -> bool {
    let limit = WRITE_TIMEOUT + transfer_time(&frames);
    let written = matches!(timeout(limit, write_batch(link, frames)).await, Ok(Ok(())));
    if !written {
        log::debug!("links: writing to {to} failed or timed out.");
    }
    written
}

/// Writes messages with one flush, so that they share packets where they fit.
async fn write_batch(link: &mut LinkWriter, frames: Vec<Bytes>) -> io::Result<()> {
    for frame in frames {
        link.feed(frame).await?;
    }
    SinkExt::<Bytes>::flush(link).await
}

fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec()
}
