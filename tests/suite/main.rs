//! Tests of the real binary, one module for each theme.

mod answers;
mod common;
mod configuration;
mod deadline;
mod gateway;
mod groups;
mod leaving;
mod membership;
mod memory;
mod once;
mod orders;
mod path;
mod recovery;
mod refusals;
mod settings;
mod stop;
mod trace;
mod turns;
