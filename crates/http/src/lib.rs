//! Reads responses of HTTP/1.1 (RFC 9112): a decoder without I/O, and connections of `ureq` that it
//! checks.

mod chunks;
pub mod decoder;
pub mod defect;
pub mod response;
pub mod strict;
