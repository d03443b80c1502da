//! Clients of the platform: key-value service and list of members.
//!
//! The key-value service is small and has outages, so every call here has a timeout,
//! and errors distinguish a write with a lost response from a rejected one.

pub mod http;
pub mod kv;
pub mod leases;
pub mod members;
pub mod throttle;
