//! The side towards the platform: key-value service, instance list, weights.
//!
//! The key-value service is small and has outages, so every call here has a
//! timeout, and a lost answer to a write is told apart from a refusal.

pub mod http;
pub mod kv;
pub mod leases;
pub mod members;
pub mod throttle;
