//! Protocol between entry instances.
//!
//! Messages are `prost` messages in length-delimited frames over TCP links, see
//! [`link`]; what only the latest value matters of goes into UDP datagrams, see
//! [`datagram`]. One thread runs the links on tokio, and the rest of the process
//! exchanges messages with it through channels. The length of a frame is limited, a
//! message of an unknown kind is skipped, and a message of another protocol version
//! ends the connection.

pub mod compact;
pub mod compression;
pub mod datagram;
pub mod delegation;
pub mod link;
pub mod message;
mod outgoing;
