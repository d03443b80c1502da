//! The way of one request through an instance.

pub mod admit;
pub mod entry;
pub mod model;
pub mod service;
