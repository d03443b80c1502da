//! Tests of the real binary, one module for each theme.

mod common;
mod once;
mod path;
mod refusals;
mod stop;
