//! Seeded simulation of load on the gateway's scheduling decisions.
//!
//! Each instance has its own view of the requests in flight and sends updates to
//! the others with a delay; engines follow the published cost model; callers retry
//! once, leave early, or retry without waiting. There are no sockets or threads, so
//! a minute of load takes well under a second, and runs with the same seed are equal.
//!
//! - [`engine`]: model of an engine.
//! - [`fleets`]: the same load on fleets of several sizes.
//! - [`load`]: kinds of request and the generated calls.
//! - [`pattern`]: load patterns with their faults.
//! - [`simulation`]: instances, engines and callers on one clock.
//! - [`policy`]: the gateway's placement, and two baselines that ignore lengths.
//! - [`report`]: shares of worth, quantiles and tables.
//! - [`timing`]: run time of one decision.
//! - [`plot`]: worth over load as a plot.

pub mod engine;
pub mod fleets;
pub mod load;
pub mod pattern;
pub mod plot;
pub mod policy;
pub mod report;
pub mod simulation;
pub mod timing;
