//! The gateway: serves the routes of a platform's operator.
//!
//! Imports run one way: `serve` wires the parts, the parts use `state`, and
//! `state` holds what `mimosapass-core` decides on.
//!
//! | Module | Job |
//! |---|---|
//! | `settings` | checked settings |
//! | `state` | what the parts of one instance share |
//! | `follow` | the views of configuration and targets, from the store |
//! | `member` | the entry by which peers find this instance |
//! | `mirror` | the store as peers see it, where this instance does not |
//! | `gossip` | requests in flight, told to peers and heard from them |
//! | `entry` | reads a request and finds its route and workspace |
//! | `turn` | waits for a place at a target |
//! | `attempt` | one send of a request to one target |
//! | `tickets` | memory set aside for a prompt that one engine cannot hold |
//! | `relay` | passes a stream on, event by event |
//! | `flow` | the way of one request through all of these |
//! | `serve` | starts and stops the parts |

pub mod serve;
pub mod settings;

mod attempt;
mod entry;
mod flow;
mod follow;
mod gossip;
mod member;
mod metrics;
mod mirror;
mod relay;
mod state;
mod tickets;
mod turn;
