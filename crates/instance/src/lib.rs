//! Links between entry instances: `tokio-util` frames with `prost` messages.
//!
//! One thread runs the links on tokio; the rest of the system talks to it by
//! channels. A frame is bounded in length, a message of an unknown kind is
//! skipped, and a message of another major version ends the connection.

pub mod compact;
pub mod compression;
pub mod datagram;
pub mod link;
pub mod message;
