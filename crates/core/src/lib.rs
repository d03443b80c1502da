//! Decision logic of mimosapass, without I/O.
//!
//! This package decides which class a request belongs to, which target serves
//! it, which instance holds a role, which configuration version is active and
//! which error a caller gets. Time is always passed as an argument, so that
//! the logic can be tested without sockets or a clock.

pub mod answer;
pub mod attempts;
pub mod cancels;
mod check;
pub mod claim;
pub mod classify;
pub mod config;
pub mod edge;
pub mod error;
pub mod estimate;
pub mod figure;
pub mod forecast;
pub mod group;
pub mod health;
pub mod idempotency;
pub mod ids;
pub mod labels;
pub mod lease;
pub mod membership;
pub mod memory;
pub mod orders;
pub mod pace;
pub mod prefix;
pub mod queue;
pub mod readiness;
pub mod rendezvous;
pub mod retry_budget;
pub mod roles;
pub mod route;
mod sampling;
pub mod spillover;
pub mod summary;
pub mod target_state;
pub mod target_table;
pub mod tiers;
pub mod unacked;
pub mod version;
pub mod whole;
