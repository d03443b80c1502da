//! Stand-ins for the systems that mimosapass talks to, for tests and examples.
//!
//! They keep to loopback and are bounded in everything. Faults are set by a
//! `POST /control` call with a JSON body, by tests and people alike.

pub mod engine;
mod generate;
pub mod memory;
pub mod metastore;
pub mod orders;
pub mod platform;
pub mod relay;
pub mod reply;
pub mod service;
pub mod target;
