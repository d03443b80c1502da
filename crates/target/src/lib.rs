//! The side towards targets: model engines and plain services.
//!
//! A client here reports facts only: what came, and how far a failed call may
//! have got. What to do about it is decided elsewhere.

pub mod client;
pub mod engine;
pub mod error;
pub mod http;
pub mod memory;
pub mod orders;
pub mod pool;
pub mod service;
pub mod stream_agents;
