//! The thread that keeps links to peers.
//!
//! Each peer address has one outgoing link; answers go out on the sender's own
//! outgoing link. A link that breaks is opened again at the next message. A
//! peer that is slow loses messages rather than holding up others: everything
//! sent here is repeated by its sender. The first message of a link names the
//! sender, so that heartbeats stay small; what goes to many peers is encoded
//! once.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::message::{Body, Envelope, MAX_FRAME_BYTES, VERSION};

/// Messages that wait for one peer, at most.
const QUEUE: usize = 64;
/// Time to open a link.
const OPEN: Duration = Duration::from_millis(500);
/// Time to write one message.
const WRITE: Duration = Duration::from_secs(2);
/// Time after which a silent incoming link is closed.
const SILENT: Duration = Duration::from_secs(30);
/// Time after which an unused outgoing link is closed.
const UNUSED: Duration = Duration::from_secs(30);

type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Who speaks on a link.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Identity {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Start number of the process.
    pub boot: u64,
}

/// A message from a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Incoming {
    /// The peer.
    pub from: Identity,
    /// Address on which the peer takes links.
    pub addr: String,
    /// The message.
    pub body: Body,
}

#[derive(Debug)]
struct Outgoing {
    to: Vec<SocketAddr>,
    frames: Vec<Bytes>,
}

/// Sends messages to peers without waiting.
#[derive(Clone, Debug)]
pub struct Links {
    out: mpsc::UnboundedSender<Outgoing>,
    addr: SocketAddr,
}

impl Links {
    /// Starts the thread of the links; what peers send goes to `sink`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(me: &Identity, listen: SocketAddr, sink: Sender<Incoming>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (out, outgoing) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let me = me.clone();
        thread::Builder::new().name("links".to_owned()).spawn(move || {
            runtime.block_on(async move {
                match TcpListener::from_std(listener) {
                    Ok(listener) => {
                        tokio::spawn(take(listener, sink));
                        send(me, addr, outgoing).await;
                    }
                    Err(e) => log::error!("links: cannot listen: {e}."),
                }
            });
        })?;
        Ok(Self { out, addr })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a message to the peer at `to`; it may be lost.
    pub fn send(&self, to: SocketAddr, body: Body) {
        self.post(vec![to], vec![body]);
    }

    /// Sends messages to each of `peers`; any of them may be lost.
    pub fn broadcast(&self, peers: &BTreeSet<SocketAddr>, bodies: Vec<Body>) {
        self.post(peers.iter().copied().collect(), bodies);
    }

    fn post(&self, to: Vec<SocketAddr>, bodies: Vec<Body>) {
        let frames = bodies.into_iter().map(|b| frame(&Envelope::with_body(b))).collect();
        if self.out.send(Outgoing { to, frames }).is_err() {
            log::error!("links: the thread has ended.");
        }
    }
}

fn frame(envelope: &Envelope) -> Bytes {
    Bytes::from(envelope.encode_to_vec())
}

async fn take(listener: TcpListener, sink: Sender<Incoming>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(receive(stream, sink.clone()))),
            Err(e) => {
                log::warn!("links: accept failed: {e}.");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn receive(stream: TcpStream, sink: Sender<Incoming>) {
    let mut framed = Framed::new(stream, codec());
    let (mut from, mut addr) = (Identity::default(), String::new());
    while let Ok(Some(Ok(frame))) = timeout(SILENT, framed.next()).await {
        let envelope = match Envelope::decode(frame.freeze()) {
            Ok(envelope) if envelope.version == VERSION => envelope,
            Ok(envelope) => {
                log::warn!("links: {} speaks version {}.", envelope.from, envelope.version);
                return;
            }
            Err(e) => {
                log::warn!("links: a message is broken: {e}.");
                return;
            }
        };
        if !envelope.from.is_empty() {
            from = Identity { name: envelope.from, zone: envelope.zone, boot: envelope.boot };
            addr = envelope.addr;
        }
        let Some(body) = envelope.body else { continue };
        if from.name.is_empty() {
            log::warn!("links: a peer did not name itself.");
            return;
        }
        let message = Incoming { from: from.clone(), addr: addr.clone(), body };
        if sink.send(message).is_err() {
            return;
        }
    }
}

async fn send(me: Identity, addr: SocketAddr, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
    let hello = Envelope {
        from: me.name,
        addr: addr.to_string(),
        zone: me.zone,
        boot: me.boot,
        ..Envelope::empty()
    };
    let hello = frame(&hello);
    let mut peers: HashMap<SocketAddr, mpsc::Sender<Vec<Bytes>>> = HashMap::new();
    while let Some(Outgoing { to, frames }) = outgoing.recv().await {
        peers.retain(|_, queue| !queue.is_closed());
        for to in to {
            let queue = peers.entry(to).or_insert_with(|| {
                let (queue, waiting) = mpsc::channel(QUEUE);
                tokio::spawn(write(to, hello.clone(), waiting));
                queue
            });
            if queue.try_send(frames.clone()).is_err() {
                log::debug!("links: a message to {to} was dropped.");
            }
        }
    }
}

/// Writes the messages for one peer and ends when the link breaks.
async fn write(to: SocketAddr, hello: Bytes, mut waiting: mpsc::Receiver<Vec<Bytes>>) {
    let Ok(Ok(stream)) = timeout(OPEN, TcpStream::connect(to)).await else {
        log::debug!("links: cannot reach {to}.");
        return;
    };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut framed = Framed::new(stream, codec());
    let mut first = vec![hello];
    while let Ok(Some(frames)) = timeout(UNUSED, waiting.recv()).await {
        first.extend(frames);
        let batch = std::mem::take(&mut first);
        if !matches!(timeout(WRITE, all(&mut framed, batch)).await, Ok(Ok(()))) {
            log::debug!("links: the link to {to} broke.");
            return;
        }
    }
}

/// Writes messages together, so that they share a packet where they fit.
async fn all(link: &mut Link, frames: Vec<Bytes>) -> io::Result<()> {
    for frame in frames {
        link.feed(frame).await?;
    }
    SinkExt::<Bytes>::flush(link).await
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
