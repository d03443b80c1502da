//! Reads responses of HTTP/1.1 (RFC 9112), without I/O.

mod chunks;
pub mod decoder;
pub mod defect;
pub mod response;
