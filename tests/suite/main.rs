//! Tests that run the real binary, one module for each area.

mod answer_integrity;
mod common;
mod configuration;
mod deadlines;
mod end_to_end;
mod engine_groups;
mod figures;
mod gateway;
mod idempotency;
mod leaving;
mod membership;
mod memory;
mod orders;
mod queueing;
mod recovery;
mod refusals;
mod settings;
mod silent_targets;
mod stop;
mod trace;
