//! Writes messages to one peer, over one link at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use mimosapass_core::unacked::{Message, Unacked};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::link::codec;
use crate::message::MAX_FRAME_BYTES;

/// Timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a message after which a link is closed: one that is not used may have fallen
/// silent, and the next message would be lost on it.
const LINK_IDLE: Duration = Duration::from_secs(1);
/// Time without a message after which nothing is kept for a peer.
const PEER_IDLE: Duration = Duration::from_secs(30);

/// How a link ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkEnd {
    /// It was not used for a while.
    Idle,
    /// It acknowledges nothing any more.
    Silent,
    /// It was closed or reset.
    Broken,
    /// No more messages come, or the peer does not keep to the protocol.
    Final,
}

/// A link, with a frame for each acknowledgement.
#[derive(Debug)]
struct Link {
    acks: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
}

/// Writes messages to one peer until none come for a while or it cannot be reached.
///
/// `greeting` is the first message of each link.
pub async fn write(to: SocketAddr, greeting: Bytes, mut batches: mpsc::Receiver<Vec<Message>>) {
    let mut unacked = Unacked::default();
    let mut next: Vec<(Message, u32)> = Vec::new();
    loop {
        if next.is_empty() {
            let Ok(Some(batch)) = timeout(PEER_IDLE, batches.recv()).await else { return };
            next = first_sends(batch);
        }
        let Some(mut link) = open(to).await else { return };
        let opened = Instant::now();
        let repeated = next.iter().filter(|(_, sends)| *sends > 0).count();
        let end = run(&mut link, &greeting, next, &mut unacked, &mut batches).await;
        let lost = unacked.count();
        if lost > 0 {
            let open_ms = opened.elapsed().as_millis() as u64;
            log::info!(
                peer:% = to, lost, repeated, open_ms, end:? = end;
                "links: closing a link, messages are not acknowledged."
            );
        }
        next = unacked.take_lost();
        if end == LinkEnd::Final {
            return;
        }
    }
}

fn first_sends(batch: Vec<Message>) -> Vec<(Message, u32)> {
    batch.into_iter().map(|message| (message, 0)).collect()
}

async fn open(to: SocketAddr) -> Option<Link> {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await else {
        log::debug!("links: cannot connect to {to}.");
        return None;
    };
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("links: cannot set up a link to {to}: {e}.");
        return None;
    }
    let (reader, writer) = stream.into_split();
    // An acknowledgement is an empty frame.
    let acks = FramedRead::new(reader, codec(0));
    Some(Link { acks, frames: FramedWrite::new(writer, codec(MAX_FRAME_BYTES)) })
}

/// Writes messages over a link until it ends.
async fn run(
    link: &mut Link,
    greeting: &Bytes,
    first: Vec<(Message, u32)>,
    unacked: &mut Unacked,
    batches: &mut mpsc::Receiver<Vec<Message>>,
) -> LinkEnd {
    if let Some(end) = send(link, Some(greeting), first, unacked).await {
        return end;
    }
    let mut last_use = Instant::now();
    loop {
        let silent_at = unacked.silent_at().map(Instant::from_std);
        tokio::select! {
            batch = batches.recv() => {
                let Some(batch) = batch else { return LinkEnd::Final };
                if let Some(end) = send(link, None, first_sends(batch), unacked).await {
                    return end;
                }
            }
            ack = link.acks.next() => {
                if !matches!(ack, Some(Ok(_))) {
                    return LinkEnd::Broken;
                }
                if !unacked.acknowledge(std::time::Instant::now()) {
                    log::warn!("links: closing a link: it acknowledges what was not sent.");
                    return LinkEnd::Final;
                }
            }
            () = sleep_until(silent_at.unwrap_or(last_use + LINK_IDLE)) => {
                return if silent_at.is_some() { LinkEnd::Silent } else { LinkEnd::Idle };
            }
        }
        last_use = Instant::now();
    }
}

/// Writes messages; returns how the link ended if it did.
async fn send(
    link: &mut Link,
    greeting: Option<&Bytes>,
    messages: Vec<(Message, u32)>,
    unacked: &mut Unacked,
) -> Option<LinkEnd> {
    let now = std::time::Instant::now();
    let mut frames: Vec<Bytes> = greeting.cloned().into_iter().collect();
    for (message, sends) in messages {
        frames.push(message.bytes.clone());
        unacked.sent(message, sends + 1, now);
    }
    let limit = unacked.silent_at().unwrap_or(now);
    match timeout_at(Instant::from_std(limit), write_frames(link, frames)).await {
        Ok(Ok(())) => None,
        Ok(Err(_)) => Some(LinkEnd::Broken),
        Err(_) => Some(LinkEnd::Silent),
    }
}

/// Writes frames with one flush, so that they share packets where they fit.
async fn write_frames(link: &mut Link, frames: Vec<Bytes>) -> std::io::Result<()> {
    for frame in frames {
        link.frames.feed(frame).await?;
    }
    SinkExt::<Bytes>::flush(&mut link.frames).await
}
