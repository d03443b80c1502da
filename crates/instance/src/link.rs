//! The thread that keeps links to peers.
//!
//! Each peer address has one outgoing link; answers go out on the sender's own
//! outgoing link. A link that breaks is opened again at the next message. A
//! peer that is slow loses messages rather than holding up others: everything
//! sent here is repeated by its sender.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::message::{Body, Envelope, LONGEST, VERSION};

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

/// A message from a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Incoming {
    /// Name of the peer.
    pub from: String,
    /// Address on which the peer takes links.
    pub addr: String,
    /// The message.
    pub body: Body,
}

#[derive(Debug)]
struct Outgoing {
    to: SocketAddr,
    body: Body,
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
    pub fn start(name: &str, listen: SocketAddr, sink: Sender<Incoming>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (out, outgoing) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let name = name.to_owned();
        thread::Builder::new().name("links".to_owned()).spawn(move || {
            runtime.block_on(async move {
                match TcpListener::from_std(listener) {
                    Ok(listener) => {
                        tokio::spawn(take(listener, sink));
                        send(name, addr, outgoing).await;
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
        if self.out.send(Outgoing { to, body }).is_err() {
            log::error!("links: the thread has ended.");
        }
    }
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
        let Some(body) = envelope.body else { continue };
        if sink.send(Incoming { from: envelope.from, addr: envelope.addr, body }).is_err() {
            return;
        }
    }
}

async fn send(name: String, addr: SocketAddr, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
    let mut peers: HashMap<SocketAddr, mpsc::Sender<Envelope>> = HashMap::new();
    while let Some(Outgoing { to, body }) = outgoing.recv().await {
        peers.retain(|_, queue| !queue.is_closed());
        let queue = peers.entry(to).or_insert_with(|| {
            let (queue, waiting) = mpsc::channel(QUEUE);
            tokio::spawn(write(to, waiting));
            queue
        });
        let envelope = Envelope {
            version: VERSION,
            from: name.clone(),
            addr: addr.to_string(),
            body: Some(body),
        };
        if queue.try_send(envelope).is_err() {
            log::debug!("links: a message to {to} was dropped.");
        }
    }
}

/// Writes the messages for one peer and ends when the link breaks.
async fn write(to: SocketAddr, mut waiting: mpsc::Receiver<Envelope>) {
    let Ok(Ok(stream)) = timeout(OPEN, TcpStream::connect(to)).await else {
        log::debug!("links: cannot reach {to}.");
        return;
    };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut framed = Framed::new(stream, codec());
    while let Ok(Some(envelope)) = timeout(UNUSED, waiting.recv()).await {
        let frame = bytes::Bytes::from(envelope.encode_to_vec());
        if !matches!(timeout(WRITE, framed.send(frame)).await, Ok(Ok(()))) {
            log::debug!("links: the link to {to} broke.");
            return;
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(LONGEST).new_codec()
}
