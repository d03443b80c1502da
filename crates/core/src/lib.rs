//! Decisions of mimosapass, free of input and output.
//!
//! Every rule of the system stands in this package: which class a request
//! belongs to, which target serves it, who owns a role, which configuration
//! version is in force and what a caller is told when something fails. Time
//! is always an argument, so that each rule can be tested without a socket
//! or a clock.

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
pub mod version;
