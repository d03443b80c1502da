//! Decisions of the gateway: which target serves a routed request, and when.
//!
//! An operator publishes routes, and targets register themselves. The code here
//! does no I/O and takes the current time as an argument.
//!
//! - [`route_table`]: the routes, services and workspaces of one configuration version.
//! - [`fleet`]: known targets, and which of them accept new requests.
//! - [`cost`]: cost model of an engine's prefill and decoding.
//! - [`load`]: requests in flight at each target, from all instances.
//! - [`slowdown`]: how much slower an engine decodes than its peers.
//! - [`placement`]: the choice of a target for one request.
//! - [`wait`]: the order of waiting requests, and when they are refused.
//! - [`schedule`]: the state of an instance, and the rounds that place waiting requests.
//! - [`retry`]: how many retries an instance may send.
//! - [`watch`]: which instances watch the store for their availability zone.
//! - [`outcomes`]: temporary exclusion of targets that fail or do not answer.

pub mod cost;
pub mod fleet;
pub mod load;
pub mod outcomes;
pub mod placement;
pub mod retry;
pub mod route_table;
pub mod schedule;
pub mod slowdown;
pub mod wait;
pub mod watch;
