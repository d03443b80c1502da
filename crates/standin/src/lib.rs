//! Stand-ins for the systems that mimosapass talks to, for tests and examples.
//!
//! They listen on loopback only and bound connections, sizes and times. Faults of the
//! engine, the platform and the service can also be set by `POST /control` with a
//! JSON body.

pub mod broken;
pub mod cut;
pub mod endless;
pub mod engine;
mod generate;
pub mod memory;
pub mod mesh;
pub mod metastore;
pub mod orders;
pub mod platform;
pub mod port;
pub mod relay;
pub mod reply;
mod script;
pub mod service;
pub mod target;
pub mod template;
