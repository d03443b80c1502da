//! Clients of targets: model engines and plain services.
//!
//! A client reports only what it received and how far a failed call may have
//! got. Retries and other reactions are up to its user.

pub mod client;
pub mod engine;
pub mod error;
pub mod http;
pub mod memory;
pub mod orders;
pub mod pool;
mod reset;
pub mod service;
pub mod stream_agents;
