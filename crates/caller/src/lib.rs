//! The side towards callers: an HTTP server on plain threads, and its answers.
//!
//! The server is built on `httparse` and `chunked_transfer` over `std` sockets.
//! `rouille` holds back streamed bodies, and `tiny_http`, on which it stands,
//! lets a caller hold a thread forever by sending its headers slowly; here
//! every wait for a caller has a bound. One thread serves one connection.

mod bell;
mod body;
pub mod error_response;
pub mod exchange;
pub mod head;
pub mod openai;
mod paced;
pub mod server;
