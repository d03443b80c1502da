//! HTTP server for callers, with one thread per connection, and its responses.
//!
//! The server is built on `httparse` and `chunked_transfer` over `std` sockets.
//! `rouille` buffers streamed bodies, and `tiny_http`, on which it is built, lets
//! a caller occupy a thread forever by sending its headers slowly; here every
//! wait for a caller has a time-out.

mod body;
pub mod error_response;
pub mod exchange;
pub mod head;
pub mod openai;
pub mod server;
mod shutdown_signal;
mod timed_writer;
