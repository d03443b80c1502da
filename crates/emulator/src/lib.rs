//! Seeded replays of load on the gateway's decisions, in simulated time.
//!
//! Instances with their own views tell each other of requests in flight, with
//! delay; engines follow the published cost model; callers return once, leave,
//! or repeat at once. Nothing here has sockets or threads, so a minute of load
//! takes well under a second and a seed gives the same run each time.
//!
//! - [`engine`]: the model of an engine.
//! - [`load`]: who asks for what, and when.
//! - [`pattern`]: load patterns with their faults.
//! - [`world`]: instances, engines and callers on one clock.
//! - [`policy`]: the product's decision, and two that know no lengths.
//! - [`report`]: shares of worth, quantiles and tables.
//! - [`speed`]: the time of one decision.
//! - [`plot`]: the same as a plot.

pub mod engine;
pub mod load;
pub mod pattern;
pub mod plot;
pub mod policy;
pub mod report;
pub mod simulation;
pub mod timing;
