//! Tests of the real binary, one module for each theme.

mod answers;
mod common;
mod memory;
mod path;
mod refusals;
mod stop;
