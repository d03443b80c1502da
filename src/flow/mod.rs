//! The way of one request through an instance.

pub mod admit;
pub mod entry;
pub mod group;
pub mod model;
pub mod once;
pub mod pick;
pub mod reader;
pub mod reply;
pub mod retry;
pub mod service;
pub mod stream;
pub mod turn;
