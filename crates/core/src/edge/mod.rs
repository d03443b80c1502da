//! Decisions of the gateway: which target serves a routed request, and when.
//!
//! The gateway serves routes that an operator publishes, over targets that
//! register themselves. Everything here is free of input and output, and time
//! is an argument.
//!
//! - [`plan`]: routes, services and workspaces of one configuration version.
//! - [`fleet`]: the targets that are known, and which of them may get work.
//! - [`cost`]: how long an engine takes to read a prompt and to write.
//! - [`load`]: requests in flight at each target, of all instances.
//! - [`slowdown`]: how much slower an engine writes than its peers.
//! - [`place`]: the choice of a target for one request.
//! - [`wait`]: the order in which waiting requests get a place.
//! - [`schedule`]: an instance's view, and the rounds in which places are given.
//! - [`retry`]: how many sends beyond the first an instance may make.
//! - [`watch`]: which instances watch the store for their zone.
//! - [`outcomes`]: targets that fail or stay silent are avoided for a while.

pub mod cost;
pub mod fleet;
pub mod load;
pub mod outcomes;
pub mod place;
pub mod plan;
pub mod retry;
pub mod schedule;
pub mod slowdown;
pub mod wait;
pub mod watch;
