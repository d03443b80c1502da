//! Addresses of loopback that stay taken while nothing listens at them.
//!
//! The port of a listener that was closed is free: the next stand-in that asks for any port may
//! get it, and then answers callers that are to be refused.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// An address that is held while nothing listens at it.
#[derive(Debug)]
pub struct Held {
    _socket: Socket,
}

/// Listens at an address; with port 0 at any that is free.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(addr)?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Holds the address of a listener of [`listen`]; connections are refused once that is dropped.
///
/// # Errors
///
/// Fails when another socket has the address.
pub fn hold(addr: SocketAddr) -> io::Result<Held> {
    bind(addr).map(|socket| Held { _socket: socket })
}

/// Returns a socket that shares its address with others that share it too.
fn bind(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}
