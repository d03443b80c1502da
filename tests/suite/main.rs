//! Tests of the real binary, one module for each theme.

mod common;
mod configuration;
mod leaving;
mod membership;
mod once;
mod orders;
mod path;
mod refusals;
mod settings;
mod stop;
mod trace;
